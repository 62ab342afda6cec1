//! Callers who all come to one VM, and a VM that reaches few endpoints, while the other VMs could serve more.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use havengrade_dev::{
    fabric::{Fabric as _, Host},
    stand_in::published::{Replies, Reply, ScriptedEndpoint},
};
use support::{
    frail_fleet::FrailFleet,
    published::{FIRST_ENDPOINT, listed, publication, status},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const VMS: Host = 9;
/// Requests a second of all callers together.
const PER_S: u32 = 30;
/// Requests a second that each endpoint accepts from all VMs together.
const LIMIT_PER_S: usize = 10;
/// Time in which requests go to all VMs, and in which they go to one.
const SPAN: Duration = Duration::from_secs(4);
/// Share of what was served before that must still be served once the traffic is uneven.
const MIN_KEPT: f64 = 0.75;
/// Share of first tries that must be served at a VM that reaches few endpoints.
const MIN_SERVED: f64 = 0.98;

/// Endpoints that give the same answer to all requests, and note when these came.
async fn start_endpoints(fleet: &FrailFleet, endpoints: Host, reply: Reply) -> Vec<ScriptedEndpoint> {
    let mut started = Vec::new();
    for index in 0..endpoints {
        let replies = vec![reply.clone(); 2000];
        let replies: Replies = Arc::new(Mutex::new(replies.into()));
        let network = fleet.pipes.network(FIRST_ENDPOINT + index);
        let at = fleet.pipes.address(FIRST_ENDPOINT + index, 0);
        started.push(ScriptedEndpoint::start(&*network, at, replies).await.unwrap());
        fleet.store.list(havengrade_core::published::directory::DirectoryEvent::Seen(listed(
            &fleet.pipes,
            index,
            "v1",
        )));
    }
    sleep(Duration::from_secs(2)).await;
    started
}

/// A fleet without endpoints of its own that crash.
async fn start_vms() -> FrailFleet {
    let frailty = havengrade_dev::stand_in::frail::Frailty {
        fuse: Duration::ZERO,
        most_wait: Duration::ZERO,
        answers_first: false,
        down: Duration::ZERO,
        keeps_id: false,
    };
    FrailFleet::start(VMS, 0, frailty, 0, publication(1, &["k1"])).await.0
}

/// Asks for a time, at the VM that each number selects; returns the share that was served.
async fn served(fleet: &Arc<FrailFleet>, path: &'static str, vm: impl Fn(u32) -> u32) -> f64 {
    let (mut callers, begin) = (JoinSet::new(), Instant::now());
    let mut number = 0;
    while begin.elapsed() < SPAN {
        let (fleet, host) = (fleet.clone(), fleet.host(vm(number)).unwrap());
        callers.spawn(async move { status(&fleet.ask(host, path, "", &format!("b{number}")).await) == "200" });
        number += 1;
        sleep(Duration::from_secs(1) / PER_S).await;
    }
    let served = callers.join_all().await.into_iter().filter(|is_served| *is_served).count();
    served as f64 / f64::from(number)
}

fn answer(header: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nhavengrade-request: {{id}}\r\nhavengrade-signature: s\r\n{header}content-length: 4\r\n\r\nfine"
    )
}

/// Guards against callers who get nothing because all come to one VM, which may send nothing or a ninth to endpoints
/// that name a limit, and against more requests than the limit allows.
#[tokio::test(start_paused = true)]
async fn callers_who_all_come_to_one_vm_are_served_under_a_limit_as_before() {
    let fleet = Arc::new(start_vms().await);
    let endpoints =
        start_endpoints(&fleet, 4, Reply::Write(answer(&format!("havengrade-limit-per-s: {LIMIT_PER_S}\r\n")))).await;
    // The first answers tell the limit.
    served(&fleet, "/read/", |number| number % u32::from(VMS)).await;
    let count = || endpoints.iter().map(|endpoint| endpoint.seen().len()).collect::<Vec<_>>();
    let before = count();
    let spread = served(&fleet, "/read/", |number| number % u32::from(VMS)).await;
    let between = count();
    let at_one = served(&fleet, "/read/", |_| 0).await;
    let after = count();
    println!("served {spread:.2} by nine VMs, {at_one:.2} at one; sent {before:?} {between:?} {after:?}");
    assert!(at_one >= MIN_KEPT * spread, "{at_one:.2} at one VM, {spread:.2} at nine");
    let allowed = (SPAN.as_secs() as usize + 1) * LIMIT_PER_S;
    for (from, to) in before.iter().zip(&between).chain(between.iter().zip(&after)) {
        assert!(to - from <= allowed, "{} requests in {SPAN:?}", to - from);
    }
}

/// Guards against callers of a VM who are refused because it reaches only a few endpoints, though other VMs reach all.
#[tokio::test(start_paused = true)]
async fn callers_of_a_vm_that_reaches_two_of_sixteen_endpoints_are_served() {
    let fleet = Arc::new(start_vms().await);
    let _endpoints = start_endpoints(&fleet, 16, Reply::Late(Duration::from_millis(800), answer(""))).await;
    served(&fleet, "/read/", |number| number % u32::from(VMS)).await;
    let host = fleet.host(0).unwrap();
    for endpoint in FIRST_ENDPOINT + 2..FIRST_ENDPOINT + 16 {
        fleet.pipes.cut(host, endpoint);
        fleet.pipes.cut(endpoint, host);
    }
    for path in ["/read/", "/once/"] {
        let share = served(&fleet, path, |_| 0).await;
        println!("{path}: {share:.2} served at a VM that reaches two of sixteen endpoints");
        assert!(share >= MIN_SERVED, "{path}: {share:.2} served");
    }
}

/// Guards against a VM that takes the answer of an endpoint for a refusal of the VM which relayed the request to it.
#[tokio::test(start_paused = true)]
async fn an_endpoint_can_not_pose_as_a_vm_without_room() {
    let fleet = Arc::new(start_vms().await);
    let marked = answer("havengrade-no-room-ms: 500\r\nhavengrade-unreachable: 1\r\n");
    let _endpoints = start_endpoints(&fleet, 1, Reply::Write(marked)).await;
    let answered = fleet.ask(fleet.host(0).unwrap(), "/read/", "", "b").await;
    assert!(
        status(&answered) == "200" && !answered.contains("no-room") && !answered.contains("unreachable"),
        "{answered}"
    );
}
