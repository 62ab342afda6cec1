//! Keys that operators withdraw while a VM can't know it, while a request arrives, and while a configuration changes.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use havengrade_core::published::route::{Publication, PublishedRoute, RouteTable};
use havengrade_dev::stand_in::memory_store::MemoryStore;
use havengrade_router::{clock::Clock, published::ports::OperatorEvent, settings::Settings};
use tokio::{
    io::AsyncWriteExt as _,
    time::{Instant, sleep},
};

use support::published::{Bench, FIRST_ENDPOINT, ROUTER, get, publication, read_all, request, status};

/// Time after which a withdrawn key must no longer be accepted, and after which an unknown one is not refused as such.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(3);
/// Slashes in a path. The lookup of its route takes tens of milliseconds, since it tries a prefix at each of them.
const SLASHES: usize = 12_000;
const CALLERS: usize = 6;

fn publish(store: &MemoryStore, version: u64, key: &str) {
    store.operate(OperatorEvent::Publication(publication(version, &[key])));
}

/// Publishes a configuration with a prefix that is as long as a path, so that all of its slashes are tried.
fn publish_with_long_prefix(store: &MemoryStore, version: u64, key: &str) {
    let mut changed = publication(version, &[key]);
    changed.routes.push(PublishedRoute {
        name: "long".into(),
        path_prefix: format!("/read/{}long/", "/".repeat(SLASHES)),
        ..changed.routes[0].clone()
    });
    store.operate(OperatorEvent::Publication(changed));
}

/// A request with a key whose lookup takes long, and which so is often under way when the configuration changes.
fn slow_request(id: &str, key: &str) -> String {
    let path = format!("/read/{}", "/".repeat(SLASHES));
    request("GET", &path, id, "", "").replace("havengrade-key: k1", &format!("havengrade-key: {key}"))
}

/// Sends requests with a key until a time; returns how many were refused because the key is unknown.
async fn send_until(bench: &Bench, ids: &AtomicU64, key: &str, until: Instant) -> usize {
    let mut unknown = 0;
    while Instant::now() < until {
        let id = format!("{key}-{}", ids.fetch_add(1, Ordering::Relaxed));
        unknown += usize::from(status(&bench.ask(&slow_request(&id, key)).await) == "401");
    }
    unknown
}

/// Guards against a withdrawn key that runs on a VM which has just reached the store again.
///
/// The key was looked up in the old configuration. Before the age of the configuration was read, another thread put the
/// new one in force and confirmed it, so that the key counted as recently confirmed. In the same moment a key that the new
/// configuration has was refused as unknown, although the old one was too old to tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn a_confirmation_of_a_new_configuration_does_not_vouch_for_keys_of_the_old_one() {
    let mut settings = Settings::default();
    settings.published.withdrawal_ms = WITHDRAWAL_TIME.as_millis() as u64;
    let clock = Clock::starting_at(SystemTime::now());
    let bench = Bench::begin_with(vec![Default::default()], MemoryStore::default(), settings, clock).await;
    bench.wait_until_ready().await;
    publish_with_long_prefix(&bench.store, 2, "k2");
    sleep(Duration::from_secs(1)).await;
    let ids = AtomicU64::default();
    for version in 3..5 {
        let (withdrawn, added) = (format!("k{}", version - 1), format!("k{version}"));
        bench.store.set_away(true);
        sleep(Duration::from_millis(100)).await;
        publish_with_long_prefix(&bench.store, version, &added);
        sleep(WITHDRAWAL_TIME + Duration::from_millis(100)).await;
        let arrived = bench.arrivals().len();
        let until = Instant::now() + Duration::from_millis(1200);
        let callers = futures::future::join_all((0..CALLERS).map(|caller| {
            let key = if caller % 2 == 0 { &withdrawn } else { &added };
            send_until(&bench, &ids, key, until)
        }));
        let store = bench.store.clone();
        let back = async move {
            sleep(Duration::from_millis(150)).await;
            store.set_away(false);
        };
        let (unknown, ()) = tokio::join!(callers, back);
        let prefix = format!("{withdrawn}-");
        let ran = bench.arrivals()[arrived..].iter().filter(|id| id.starts_with(&prefix)).count();
        assert_eq!(ran, 0, "requests ran with key {withdrawn}, which version {version} had withdrawn");
        let refused: usize = unknown.iter().skip(1).step_by(2).sum();
        assert_eq!(refused, 0, "requests were refused for key {added}, which version {version} has");
        let id = format!("{added}-last");
        while status(&bench.ask(&slow_request(&id, &added)).await) != "200" {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a table that is kept young by confirmations of a newer one, with the order of events forced.
#[tokio::test(start_paused = true)]
async fn a_configuration_that_was_replaced_ages_on() {
    let bench = Bench::start(vec![vec![]]).await;
    bench.store.set_away(true);
    let shared = &bench.router.context().shared;
    let replaced = shared.routes.load_full();
    sleep(Duration::from_secs(6)).await;
    let now = shared.clock.now();
    shared.set_routes(RouteTable::new(publication(2, &["k2"])), now);
    shared.confirm_config(now);
    assert!(shared.may_use_key(now), "the configuration in force is recent");
    assert!(!shared.may_use_key_of(&replaced, now), "the replaced configuration counts as recent");
}

/// Guards against a request that is sent with a key that was withdrawn while it waited for a connection.
#[tokio::test(start_paused = true)]
async fn a_request_whose_key_is_withdrawn_before_another_endpoint_is_tried_does_not_run() {
    let bench = Bench::start(vec![vec![], vec![]]).await;
    bench.pipes.cut(ROUTER, FIRST_ENDPOINT);
    let ids: Vec<String> = (0..8).map(|index| format!("r{index}")).collect();
    let answers = futures::future::join_all(ids.iter().map(|id| async { bench.ask(&get("/read/1", id)).await }));
    let withdrawn = async {
        sleep(Duration::from_millis(100)).await;
        publish(&bench.store, 2, "k2");
        bench.arrivals().len()
    };
    let (answers, arrived) = tokio::join!(answers, withdrawn);
    let refused = answers.iter().filter(|answer| status(answer) == "401").count();
    assert!(refused > 0, "every request chose the endpoint that is reached: {answers:#?}");
    assert_eq!(bench.arrivals().len(), arrived, "requests ran after their key was withdrawn");
}

/// Asserts that a request whose body arrives after a change is refused with a status and does not run.
async fn assert_refused_after_body(changed: Publication, expected: &str) {
    let bench = Bench::start(vec![vec![]]).await;
    let text = request("POST", "/read/1", "a", "", "body");
    let (head, body) = text.split_at(text.len() - 2);
    let mut connection = bench.connect(0).await;
    connection.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    bench.store.operate(OperatorEvent::Publication(changed));
    sleep(Duration::from_secs(1)).await;
    connection.write_all(body.as_bytes()).await.unwrap();
    let answer = read_all(&mut connection).await;
    assert_eq!(status(&answer), expected, "{answer}");
    assert!(bench.arrivals().is_empty(), "the request ran");
}

/// Guards against a request that runs with a key that was withdrawn while its body arrived.
///
/// The key was looked up when the head had been read; before the send only the age of the configuration was looked at.
#[tokio::test(start_paused = true)]
async fn a_request_whose_key_is_withdrawn_while_its_body_arrives_does_not_run() {
    assert_refused_after_body(publication(2, &["k2"]), "401").await;
}

/// Guards against a request that goes to the service of a route that was removed while its body arrived.
#[tokio::test(start_paused = true)]
async fn a_request_whose_route_is_removed_while_its_body_arrives_does_not_run() {
    let mut changed = publication(2, &["k1"]);
    changed.routes.retain(|route| route.name != "read");
    assert_refused_after_body(changed, "404").await;
}

/// Start of the time of the test on a suspended VM.
static START: OnceLock<Instant> = OnceLock::new();
/// Time for which the VM of that test was suspended so far, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Time of a machine that was suspended; timers of the runtime do not count that time.
fn time_with_suspension() -> Duration {
    let running = START.get().map(Instant::elapsed).unwrap_or_default();
    running + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Guards against a withdrawn key that is accepted after the machine was suspended, which its steady clock does not count.
#[tokio::test(start_paused = true)]
async fn a_vm_that_was_suspended_counts_that_time_for_the_age_of_its_configuration() {
    START.set(Instant::now()).unwrap();
    let clock = Clock::with_timer(SystemTime::now(), time_with_suspension);
    let bench = Bench::begin_with(vec![Default::default()], MemoryStore::default(), Settings::default(), clock).await;
    bench.wait_until_ready().await;
    bench.store.set_away(true);
    sleep(Duration::from_millis(100)).await;
    publish(&bench.store, 2, "k2");
    assert_eq!(status(&bench.ask(&get("/read/1", "before")).await), "200");
    SUSPENDED_MS.store(10_000, Ordering::Relaxed);
    assert_eq!(status(&bench.ask(&get("/read/1", "after")).await), "503");
    assert_eq!(bench.arrivals(), ["before"]);
    assert!(!bench.is_ready().await, "the VM does not know which keys are valid");
}
