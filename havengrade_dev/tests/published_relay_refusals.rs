//! Requests that a VM without any reachable endpoint relays to one that refuses them, while a third VM serves.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_core::published::route::RouteTable;
use havengrade_dev::stand_in::memory_store::MemoryStore;
use havengrade_router::published::router::PublishedRouter;
use tokio::time::sleep;

use support::published::{Bench, FIRST_ENDPOINT, ROUTER, get, publication, start_vm, status};

const ENDPOINTS: u16 = 3;
const PAUSE: Duration = Duration::from_millis(200);

/// Three VMs of which the first one reaches no endpoint and knows it.
async fn start() -> (Bench, [PublishedRouter; 2]) {
    let bench = Bench::begin(vec![Default::default(); usize::from(ENDPOINTS)], MemoryStore::default()).await;
    let others = [start_vm(&bench, 2, bench.network(2)).await, start_vm(&bench, 3, bench.network(3)).await];
    sleep(Duration::from_secs(3)).await;
    for endpoint in FIRST_ENDPOINT..FIRST_ENDPOINT + ENDPOINTS {
        bench.pipes.cut(ROUTER, endpoint);
        bench.pipes.cut(endpoint, ROUTER);
    }
    assert_eq!(status(&bench.ask(&get("/read/", "first")).await), "200");
    (bench, others)
}

/// Asks the first VM so many times; returns the statuses that are not 200.
async fn refusals(bench: &Bench, requests: u32, key: &str) -> Vec<String> {
    let mut refusals = Vec::new();
    for number in 0..requests {
        let request =
            get("/read/", &format!("r{number}")).replace("havengrade-key: k1", &format!("havengrade-key: {key}"));
        let answer = bench.ask(&request).await;
        if status(&answer) != "200" {
            refusals.push(format!("{number}: {}", status(&answer)));
        }
        sleep(PAUSE).await;
    }
    refusals
}

/// Guards against a denial by the older configuration of the VM that a request is relayed to.
#[tokio::test(start_paused = true)]
async fn a_relayed_request_is_not_denied_by_an_older_configuration() {
    let (bench, [_older, other]) = start().await;
    for router in [&bench.router, &other] {
        let shared = &router.context().shared;
        shared.set_routes(RouteTable::new(publication(2, &["k2"])), shared.clock.now());
    }
    assert_eq!(refusals(&bench, 10, "k2").await, Vec::<String>::new());
}

/// Guards against a refusal by a VM that stops, which the relaying VM passed on although others serve.
#[tokio::test(start_paused = true)]
async fn a_relayed_request_that_a_stopping_vm_refuses_is_served_by_another() {
    let (bench, [stopping, _other]) = start().await;
    let shared = &stopping.context().shared;
    shared.start_drain(shared.clock.now());
    // The VM goes on to serve until the balancer has noticed, on connections that are kept as well.
    assert_eq!(refusals(&bench, 25, "k1").await, Vec::<String>::new());
}
