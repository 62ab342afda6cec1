//! Engines that run a request and fail it, at the router's own interface.
#![allow(clippy::unwrap_used)]

mod support;

use havengrade_dev::{
    caller::{Ask, Got},
    scenario::CHEAP,
    stand_in::{EngineFault, expected_answer},
};
use serde_json::Value;
use support::{Bench, ONCE, chat, start_with_once};

/// Sends a request whose next run has a fault at each engine; returns the answer and the number of runs.
async fn ask(bench: &Bench, key: &str, fault: EngineFault) -> (Got, usize) {
    let runs = || bench.fleet.engines.values().flat_map(|engine| engine.started()).count();
    let before = runs();
    bench.fleet.engines.values().for_each(|engine| engine.add_fault(fault));
    let ask = Ask { key: Some(key.into()), ..chat(ONCE, "which lot?") };
    let got = bench.ask(ONCE, 0, &ask).await;
    (got, runs() - before)
}

/// Guards against a request that runs again, and whose caller is told that it did not run, because the failure of the
/// engine that ran it was taken for a rejection.
#[tokio::test(start_paused = true)]
async fn a_failure_of_an_engine_after_a_run_is_no_rejection() {
    for fault in [EngineFault::Fails, EngineFault::BreaksAndRefuses] {
        let bench = start_with_once().await;
        let (got, runs) = ask(&bench, "k1", fault).await;
        let problem: Value = serde_json::from_slice(&got.body).unwrap();
        assert_eq!(
            (got.status.as_u16(), problem["run_state"].as_str()),
            (502, Some("may_have_run")),
            "{fault:?}: {problem}"
        );
        assert_eq!(runs, 1, "{fault:?}: the request must not run twice");
    }
}

/// Guards against a rejection for load that is taken for a run.
#[tokio::test(start_paused = true)]
async fn a_request_that_an_engine_rejects_for_load_runs_at_another_one() {
    let bench = start_with_once().await;
    bench.fleet.engines.values().take(2).for_each(|engine| engine.add_fault(EngineFault::Refuses));
    let ask = Ask { key: Some("k1".into()), ..chat(ONCE, "which lot?") };
    let got = bench.ask(ONCE, 0, &ask).await;
    assert_eq!(got.text(), Some(expected_answer(CHEAP, "which lot?")), "{got:?}");
}
