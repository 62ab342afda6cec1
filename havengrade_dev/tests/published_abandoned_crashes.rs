//! Guards against a cause that is sent on and on because its endpoints crash just after its attempts are given up, when
//! no VM looks whether they exit.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use havengrade_dev::{
    fabric::{Fabric as _, Pipes},
    stand_in::{
        frail::{FrailEndpoint, Frailty, Record},
        memory_store::MemoryStore,
    },
};
use havengrade_router::{
    clock::Clock,
    published::{ports::OperatorEvent, router::PublishedRouter},
    router::RouterEnvironment,
    settings::Settings,
};
use support::published::{CALLERS, FIRST_ENDPOINT, ROUTER, listed, publication, read_all, request};
use tokio::{
    io::AsyncWriteExt as _,
    runtime::Handle,
    time::{Instant, sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

/// Time in which a router finds its endpoints.
const START: Duration = Duration::from_secs(3);
/// Time for which callers wait.
const PATIENCE: Duration = Duration::from_secs(9);
/// Largest number of sends of a cause that are later than three seconds after its third crash.
const MAX_LATE_SENDS: usize = 3;
const ENDPOINTS: u16 = 8;
const CAUSE: &str = "deadly-1";
/// Endpoints crash 1.7 s after they got the cause, each attempt of which is given up after 1.5 s.
const FRAILTY: Frailty = Frailty {
    fuse: Duration::from_millis(1700),
    most_wait: Duration::ZERO,
    answers_first: false,
    down: Duration::from_millis(2500),
    keeps_id: false,
};

async fn start_router(pipes: &Pipes, store: &MemoryStore) -> PublishedRouter {
    let mut settings = Settings::default();
    settings.vm.id = format!("vm-{ROUTER}");
    settings.published.callers = Some(pipes.address(ROUTER, 0));
    settings.listen.peers = pipes.address(ROUTER, 1);
    settings.published.readiness = pipes.address(ROUTER, 2);
    settings.published.metrics = pipes.address(ROUTER, 3);
    let clock = Clock::starting_at(SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000));
    let parts = RouterEnvironment { network: pipes.network(ROUTER), clock, seed: u64::from(ROUTER) };
    let ports = store.ports(&settings.vm.id);
    PublishedRouter::start(settings, parts, ports, &Handle::current()).await.unwrap()
}

async fn ask(pipes: Pipes, path: &'static str, body: String) {
    let asked = async {
        let mut connection = pipes.network(CALLERS).connect(pipes.address(ROUTER, 0)).await.unwrap();
        connection.write_all(request("POST", path, "r1", "", &body).as_bytes()).await.unwrap();
        read_all(&mut connection).await
    };
    drop(timeout(PATIENCE, asked).await);
}

/// How often the cause is sent later than three seconds after its third crash.
async fn late_sends(is_beside_others: bool) -> usize {
    let (pipes, store, record) = (Pipes::default(), MemoryStore::default(), Arc::<Mutex<Record>>::default());
    store.operate(OperatorEvent::Publication(publication(1, &["k1"])));
    let _router = start_router(&pipes, &store).await;
    let mut endpoints = Vec::new();
    for index in 0..ENDPOINTS {
        let (network, entry) = (pipes.network(FIRST_ENDPOINT + index), listed(&pipes, index, "v1"));
        let started = FrailEndpoint::start(network, entry, FRAILTY, store.clone(), record.clone());
        endpoints.push(started.await.unwrap());
    }
    sleep(START).await;
    let begin = Instant::now();
    let others = pipes.clone();
    let _others = is_beside_others.then(|| {
        AbortOnDropHandle::new(tokio::spawn(async move {
            for number in 0_u32.. {
                drop(tokio::spawn(ask(others.clone(), "/once/", format!("other-{number} 500"))));
                sleep(Duration::from_millis(15)).await;
            }
        }))
    });
    sleep(Duration::from_millis(500)).await;
    while begin.elapsed() < Duration::from_secs(24) {
        ask(pipes.clone(), "/stream/", CAUSE.to_owned()).await;
        sleep(Duration::from_millis(700)).await;
    }
    let record = record.lock().unwrap();
    let third = record.ends_by_body()[CAUSE][2];
    record.taken_after(CAUSE, third + Duration::from_secs(3))
}

/// Nothing else runs at the endpoints, so that no other attempt shows their crashes.
#[tokio::test(start_paused = true)]
async fn a_cause_whose_endpoints_crash_soon_after_its_attempts_are_given_up_is_not_sent_on() {
    let sends = late_sends(false).await;
    assert!(sends <= MAX_LATE_SENDS, "sent {sends} times more");
}

/// Other requests break at the crash, but the endpoint was probed less than 0.3 s before, when the attempt was given up.
#[tokio::test(start_paused = true)]
async fn a_crash_right_after_a_probe_is_noticed() {
    let sends = late_sends(true).await;
    assert!(sends <= MAX_LATE_SENDS, "sent {sends} times more");
}
