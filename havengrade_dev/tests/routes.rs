//! Published routes of the router's own configuration: existing callers and services that know nothing of it.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_core::config::{Change, ChangeFile, ScopeKind};
use havengrade_dev::{
    fabric::{Fabric as _, Host},
    fleet::router_host,
    scenario::{OPERATOR, OPERATOR_KEY, key_of},
};
use havengrade_router::{services::operators::execute_call, settings::Settings};
use havengrade_rpc::{
    OperatorCall, OperatorReply,
    operators::{ChangeStatus, Credentials},
};
use support::Bench;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{sleep, timeout},
};

/// Host from which callers call.
const CALLERS: Host = 251;
/// Ports of published routes.
const PUBLISHED: u16 = 5;

const ROUTES: &str = r#"
[[route]]
id = "receipts"
host = "office.example"
path_prefix = "/receipts/"
service = "events"
time_limit_ms = 5000
target_ms = 200

[[route]]
id = "open-days"
host = "office.example"
path_prefix = "/receipts/open/"
service = "crates"
repeatable = true
time_limit_ms = 5000
target_ms = 200
public = true
"#;

fn publish(settings: &mut Settings) {
    let port = settings.listen.callers.port() + PUBLISHED;
    let on = |more| std::net::SocketAddr::new(settings.listen.callers.ip(), port + more);
    settings.published.callers = Some(on(0));
    settings.published.readiness = on(1);
    settings.published.metrics = on(2);
}

async fn apply(bench: &Bench, id: &str, file: &str) {
    let router = bench.fleet.routers["vm-1"].context();
    let credentials = Credentials::new(OPERATOR.to_owned(), OPERATOR_KEY.to_owned());
    let plan = execute_call(router, &credentials, OperatorCall::Plan { change_file: file.to_owned() }).await.unwrap();
    let OperatorReply::Plan(plan) = plan else { panic!("{plan:?}") };
    let (change_id, reason) = (id.to_owned(), "test".to_owned());
    let call = OperatorCall::Apply { change_id, reason, changes_json: plan.changes_json };
    match execute_call(router, &credentials, call).await.unwrap() {
        OperatorReply::Change(reply) => assert_eq!(reply.status, ChangeStatus::ACCEPTED),
        other => panic!("{other:?}"),
    }
}

async fn start() -> Bench {
    let bench = Bench::start_tuned(2, publish).await;
    apply(&bench, "routes", ROUTES).await;
    sleep(Duration::from_secs(1)).await;
    bench
}

async fn ask(bench: &Bench, index: u8, path: &str, key: Option<&str>) -> String {
    let at = bench.pipes.address(router_host(index), PUBLISHED);
    let mut connection = bench.pipes.network(CALLERS).connect(at).await.unwrap();
    let key = key.map(|key| format!("havengrade-key: {key}\r\n")).unwrap_or_default();
    let request = format!("GET {path} HTTP/1.1\r\nhost: office.example\r\n{key}connection: close\r\n\r\n");
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut got = Vec::new();
    let read = timeout(Duration::from_secs(8), connection.read_to_end(&mut got)).await;
    assert!(read.is_ok(), "no answer in time");
    String::from_utf8_lossy(&got).into_owned()
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

#[tokio::test(start_paused = true)]
async fn existing_requests_pass_to_the_service_of_the_longest_prefix() {
    let bench = start().await;
    let key = key_of("gate");
    let receipt = ask(&bench, 0, "/receipts/7", Some(&key)).await;
    assert!(status(&receipt) == "200" && receipt.contains("events-"), "{receipt}");
    let open = ask(&bench, 1, "/receipts/open/7", None).await;
    assert!(status(&open) == "200" && open.contains("crates-1"), "{open}");
    assert_eq!(status(&ask(&bench, 0, "/receipts/7", Some("gate.other")).await), "401");
    assert_eq!(status(&ask(&bench, 0, "/receipts/7", None).await), "401");
    assert_eq!(status(&ask(&bench, 0, "/elsewhere/", Some(&key)).await), "404");
    let runs: usize = bench.fleet.services.values().map(|service| service.runs().len()).sum();
    assert_eq!(runs, 2);
}

#[tokio::test(start_paused = true)]
async fn a_route_that_is_removed_is_gone_on_every_vm() {
    let bench = start().await;
    apply(&bench, "less", "[[remove]]\nkind = \"route\"\nname = \"open-days\"\n").await;
    sleep(Duration::from_secs(1)).await;
    for index in 0..2 {
        let answer = ask(&bench, index, "/receipts/open/7", None).await;
        assert_eq!(status(&answer), "401", "the shorter prefix counts now: {answer}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_ends_published_routes_too() {
    let mut bench = start().await;
    let router = bench.fleet.routers.remove("vm-1").unwrap();
    router.context().shared.start_drain();
    assert!(router.wait_for_drain().await);
    router.stop().await;
    let at = bench.pipes.address(router_host(0), PUBLISHED);
    assert!(bench.pipes.network(CALLERS).connect(at).await.is_err());
}

#[test]
fn faulty_routes_are_refused_with_field_and_remedy() {
    let file = ChangeFile::parse(
        "[[route]]\nid = \"r\"\nhost = \"a:80\"\npath_prefix = \"x\"\nservice = \"none\"\ntime_limit_ms = 0\ntarget_ms = 1\n",
    )
    .unwrap();
    let mut cfg = havengrade_core::config::Config::default();
    let changes = file.changes_against(&cfg);
    assert!(matches!(&changes[0].change, Change::Put { item } if item.scope().kind == ScopeKind::Route));
    cfg.routes.insert("r".into(), file.route[0].clone());
    let faults: Vec<String> = cfg.faults().iter().map(ToString::to_string).collect();
    for field in ["route r.host", "route r.path_prefix", "route r.service", "route r.time_limit_ms"] {
        assert!(faults.iter().any(|fault| fault.starts_with(field)), "{field}: {faults:?}");
    }
}
