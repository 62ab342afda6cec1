//! A new version that is bad in ways that leave no answer to count: it says nothing, or callers don't wait for it.
//!
//! Seen: a bad version went on getting requests, and was said to have succeeded. How it came about: a try counted once its answer had
//! ended; one that was given up, and one whose caller had left, counted for nothing. Cause: only answers were taken for evidence, so
//! that the slowest ones were none. Proof: without any other fault, versions that never answer, or too late for their callers,
//! succeed below.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use havengrade_core::published::{
    directory::DirectoryEvent,
    rollout::{RolloutOrder, RolloutOutcome, RouteEvidence},
};
use havengrade_dev::stand_in::published::{Replies, Reply, signed, signed_late};
use havengrade_router::published::ports::OperatorEvent;
use support::published::{Bench, FAILED, get, listed, status};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time between two callers.
const PERIOD: Duration = Duration::from_millis(20);
/// The order's time.
const DURATION: Duration = Duration::from_secs(20);
/// Requests that a version may get until it is found to be bad.
const MOST: usize = 60;

/// Callers that wait for `patience` each, all through an order, while endpoint 1 of the new version gives `reply`.
async fn roll_out(reply: Reply, patience: Duration) -> Arc<Bench> {
    let fine: Replies = Arc::new(Mutex::new(vec![signed("fine"); 3_000].into()));
    let bad: Replies = Arc::new(Mutex::new(vec![reply; 3_000].into()));
    let bench = Arc::new(Bench::start_with(vec![fine, bad]).await);
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    bench.store.operate(OperatorEvent::Rollout(RolloutOrder {
        service: "events".into(),
        version: "v2".into(),
        duration: DURATION,
    }));
    sleep(Duration::from_secs(1)).await;
    let mut callers = JoinSet::new();
    for id in 0..(DURATION.as_millis() / PERIOD.as_millis()) {
        let bench = bench.clone();
        callers.spawn(async move { timeout(patience, bench.ask(&get("/read/", &format!("r{id}")))).await.is_ok() });
        sleep(PERIOD).await;
    }
    callers.join_all().await;
    bench
}

fn assert_rolled_back(bench: &Bench, name: &str) {
    let requests = bench.log_of(1).len();
    assert!((1..MOST).contains(&requests), "{name}: {requests} requests reached the bad version");
    let last = bench.store.statuses().last().map(|status| status.outcome);
    assert_eq!(last, Some(RolloutOutcome::RolledBack), "{name}");
}

#[tokio::test(start_paused = true)]
async fn answers_that_never_come_count_against_a_new_version() {
    let silent = roll_out(Reply::Hang, Duration::from_secs(9)).await;
    assert_rolled_back(&silent, "a version that never answers");
    let late = signed_late("fine", Duration::from_secs(2));
    let left = roll_out(late, Duration::from_millis(300)).await;
    assert_rolled_back(&left, "a version whose callers don't wait so long");
}

/// Asks one after the other, a request each 20 ms; gives the statuses.
async fn ask_each(bench: &Bench, name: &str, count: u32) -> Vec<String> {
    let mut statuses = Vec::new();
    for id in 0..count {
        statuses.push(status(&bench.ask(&get("/read/", &format!("{name}{id}"))).await).to_owned());
        sleep(PERIOD).await;
    }
    statuses
}

#[tokio::test(start_paused = true)]
async fn a_version_that_fails_after_its_success_gets_nothing_more() {
    let fine: Replies = Arc::new(Mutex::new(vec![signed("fine"); 3_000].into()));
    let turning: Replies = Arc::new(Mutex::new(vec![signed("fine"); 3_000].into()));
    let bench = Bench::start_with(vec![fine, turning.clone()]).await;
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    let duration = Duration::from_secs(12);
    let order = RolloutOrder { service: "events".into(), version: "v2".into(), duration };
    bench.store.operate(OperatorEvent::Rollout(order));
    ask_each(&bench, "good", 700).await;
    let outcomes = || bench.store.statuses().into_iter().map(|status| status.outcome).collect::<Vec<_>>();
    assert_eq!(outcomes().last(), Some(&RolloutOutcome::Succeeded));
    bench.store.list(DirectoryEvent::Gone("e0".into()));
    sleep(Duration::from_secs(1)).await;

    *turning.lock().unwrap() = vec![Reply::Write(FAILED.into()); 3_000].into();
    let statuses = ask_each(&bench, "bad", 200).await;
    let last = bench.ask(&get("/read/", "last")).await;
    assert!(last.contains("bad_version") && last.contains("retry-after: "), "{last}");
    let failed = statuses.iter().filter(|status| *status == "500").count();
    assert!((20..80).contains(&failed), "{failed} failed before the version was found to be bad");
    assert!(statuses.iter().skip(failed).all(|status| status == "503"), "{statuses:?}");
    assert_eq!(outcomes().last(), Some(&RolloutOutcome::RolledBack));
}

#[tokio::test(start_paused = true)]
async fn a_start_of_all_vms_takes_what_was_usual_from_the_store() {
    let replies = || Arc::new(Mutex::new(vec![signed("fine"); 3_000].into()));
    let bench = Bench::start_with(vec![replies(), replies()]).await;
    bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, 1, "v2")));
    let duration = Duration::from_secs(12);
    let order = RolloutOrder { service: "events".into(), version: "v2".into(), duration };
    bench.store.operate(OperatorEvent::Rollout(order));
    ask_each(&bench, "good", 700).await;
    let usual = bench.router.context().shared.rollouts().baseline("events", "v2");
    assert_eq!(bench.store.known_versions().len(), 1);
    let Bench { store, router, .. } = bench;
    router.kill();

    let again = Bench::begin(Vec::new(), store).await;
    sleep(Duration::from_secs(2)).await;
    let known = again.router.context().shared.rollouts().baseline("events", "v2");
    let ended = |evidence: &[RouteEvidence]| evidence.iter().map(|evidence| evidence.seen.ended).sum::<u64>();
    assert!(ended(&known) > 500 && ended(&known) <= ended(&usual), "{} of {}", ended(&known), ended(&usual));
}
