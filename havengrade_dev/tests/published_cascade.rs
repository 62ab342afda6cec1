//! Low-confidence answers under load, through a whole router on a paused clock.
//!
//! Load pattern: another VM reports that many requests and prompt tokens wait at the endpoint of a service, while this
//! VM itself has hardly any work there.
#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use havengrade_core::published::route::{ModelPrice, Publication, PublishedService};
use havengrade_dev::{
    fabric::{Fabric as _, Host},
    stand_in::published::{LAST_CHUNK, Reply, STREAM_HEAD, event},
};
use havengrade_router::{net::DatagramSocket, published::ports::OperatorEvent};
use havengrade_rpc::reports::{Datagram, EndpointWork, VmReport};
use support::published::{Bench, ROUTER, publication, request, status};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync::Mutex,
    time::sleep,
};

const OTHER_VM: Host = 2;
/// Held by the tests that read the metrics page, whose gauges all routers of the process set.
static METRICS: Mutex<()> = Mutex::const_new(());
/// Time in which a report is received, or a configuration read.
const SETTLE: Duration = Duration::from_millis(1500);

fn answer(confidence: u32) -> Reply {
    let head = STREAM_HEAD.replace("content-type", &format!("havengrade-confidence: {confidence}\r\ncontent-type"));
    Reply::Write(format!("{head}{}{LAST_CHUNK}", event(1)))
}

/// A router before an endpoint that gives answers of this confidence, and a socket of another VM.
async fn start(confidence: u32, answers: usize) -> (Bench, Arc<dyn DatagramSocket>) {
    havengrade_router::metrics::install();
    let bench = Bench::start(vec![vec![answer(confidence); answers]]).await;
    let price = |name: &str, cost| ModelPrice { name: name.into(), cost };
    let models = vec![price("small", 0.02), price("large", 0.3)];
    let services = vec![PublishedService { name: "events".into(), models, ..PublishedService::default() }];
    let config = Publication { services, ..publication(2, &["k1"]) };
    bench.store.operate(OperatorEvent::Publication(config));
    sleep(SETTLE).await;
    let other = bench.pipes.network(OTHER_VM);
    let socket = other.bind_datagrams(bench.pipes.address(OTHER_VM, 1)).await.unwrap();
    (bench, socket)
}

/// Prompt tokens that wait at the endpoint in a shortage. A third of them counts, since the VMs of this small fleet know the
/// work of all VMs.
const SHORTAGE_TOKENS: i32 = 18_000;

/// Reports work of another VM at the endpoint.
async fn report(bench: &Bench, socket: &dyn DatagramSocket, requests: i32, tokens: i32) {
    let work = vec![EndpointWork::new("e0".into(), requests, tokens, None)];
    let address = bench.pipes.address(OTHER_VM, 1).to_string();
    let report =
        VmReport::new("vm-2".into(), 1, 1, address, work, None, None, None, None, None, None, None, None, None, None);
    let bytes = havengrade_rpc::encode(&Datagram::Report(report)).unwrap();
    socket.send(&bytes, bench.pipes.address(ROUTER, 1)).await.unwrap();
    sleep(Duration::from_millis(20)).await;
}

/// The models that the endpoint ran for a request.
async fn models_run(bench: &Bench, id: &str) -> Vec<String> {
    let any = request("POST", "/sized/", id, "havengrade-model: any\r\n", "");
    assert_eq!(status(&bench.ask(&any).await), "200");
    let of_request =
        bench.log_of(0).into_iter().filter(|seen| seen.header("havengrade-request") == Some(id)).collect::<Vec<_>>();
    of_request.iter().map(|seen| seen.header("havengrade-model").unwrap().to_owned()).collect()
}

async fn metrics_page(bench: &Bench) -> String {
    let mut connection = bench.connect(3).await;
    connection.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await.unwrap();
    let mut page = String::new();
    connection.read_to_string(&mut page).await.unwrap();
    page
}

#[tokio::test(start_paused = true)]
async fn a_low_confidence_answer_is_kept_while_other_vms_report_a_shortage() {
    let _metrics = METRICS.lock().await;
    let (bench, socket) = start(20, 5).await;
    assert_eq!(models_run(&bench, "calm").await, ["small", "large"]);
    report(&bench, &*socket, 20, SHORTAGE_TOKENS).await;
    assert_eq!(models_run(&bench, "shortage").await, ["small"]);
    let page = metrics_page(&bench).await;
    assert!(page.contains("low_confidence_answers{decision=\"congested\"}"), "{page}");
    assert!(page.contains("low_confidence_answers{decision=\"replaced\"}"), "{page}");
    let gauge = page.lines().find(|line| line.starts_with("congestion_seconds{service=\"events\"}")).unwrap();
    let seconds: f64 = gauge.rsplit(' ').next().unwrap().parse().unwrap();
    assert!((0.4..0.7).contains(&seconds), "{gauge}");
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_almost_certainly_wrong_is_replaced_in_a_shortage() {
    let (bench, socket) = start(5, 2).await;
    report(&bench, &*socket, 20, SHORTAGE_TOKENS).await;
    assert_eq!(models_run(&bench, "shortage").await, ["small", "large"]);
}

/// The VM that reported the shortage is lost: its report expires, and answers are replaced again as at low load.
#[tokio::test(start_paused = true)]
async fn a_shortage_ends_when_its_reports_expire() {
    let (bench, socket) = start(20, 4).await;
    report(&bench, &*socket, 20, SHORTAGE_TOKENS).await;
    assert_eq!(models_run(&bench, "shortage").await, ["small"]);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(models_run(&bench, "lost").await, ["small", "large"]);
}

/// The time limit of the route ends before a stronger model could begin.
#[tokio::test(start_paused = true)]
async fn a_stronger_run_that_can_not_begin_in_time_is_not_started() {
    let _metrics = METRICS.lock().await;
    let (bench, socket) = start(1, 2).await;
    report(&bench, &*socket, 20, 600_000).await;
    assert_eq!(models_run(&bench, "hopeless").await, ["small"]);
    assert!(metrics_page(&bench).await.contains("low_confidence_answers{decision=\"no_time_left\"}"));
}
