//! A roll-out through the routers: evidence from all VMs halts it, or takes it to its next step.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_core::config::{BaseRevision, Change, Item, Rollout, RolloutState, ScopedChange};
use havengrade_dev::scenario::{CHEAP, CHEAP_NEXT, OPERATOR, OPERATOR_KEY};
use havengrade_router::services::operators::execute_call;
use havengrade_rpc::{OperatorCall, operators::Credentials};
use support::{Bench, chat};
use tokio::time::sleep;

async fn begin(bench: &Bench, step_evidence: u64) {
    let rollout = Rollout {
        id: "swift-2".into(),
        from: CHEAP.into(),
        to: CHEAP_NEXT.into(),
        steps: vec![500, 1000],
        step: 0,
        step_evidence,
        state: RolloutState::Running,
    };
    let change = Change::Put { item: Item::Rollout(rollout) };
    let changes_json = serde_json::to_string(&[ScopedChange { base: BaseRevision::Absent, change }]).unwrap();
    let credentials = Credentials::new(OPERATOR.to_owned(), OPERATOR_KEY.to_owned());
    let apply = OperatorCall::Apply { change_id: "begin".into(), reason: "new version".into(), changes_json };
    execute_call(bench.fleet.routers["vm-1"].context(), &credentials, apply).await.unwrap();
}

async fn send(bench: &Bench, count: usize, tag: &str) {
    for number in 0..count {
        let index = u8::try_from(number % 3).unwrap();
        let got = bench.ask("harvest", index, &chat("lot-question", &format!("{tag} {number}"))).await;
        assert_eq!(got.status, 200);
    }
    sleep(Duration::from_secs(5)).await;
}

fn states(bench: &Bench) -> Vec<(RolloutState, usize)> {
    let rollout = |router: &havengrade_router::router::Router| {
        let catalog = router.context().shared.catalog.load();
        let rollout = &catalog.config.rollouts["swift-2"];
        (rollout.state, rollout.step)
    };
    bench.fleet.routers.values().map(rollout).collect()
}

fn started(bench: &Bench) -> usize {
    let engines = bench.fleet.engines.values();
    engines.flat_map(|engine| engine.started()).filter(|started| started.version == CHEAP_NEXT).count()
}

#[tokio::test(start_paused = true)]
async fn poor_version_is_halted_everywhere_by_one_record() {
    let bench = Bench::start_tuned(3, |settings| settings.rating.sample = 1000).await;
    bench.fleet.rating.set_quality(CHEAP_NEXT, 300);
    begin(&bench, 0).await;
    send(&bench, 150, "before").await;
    assert_eq!(states(&bench), [(RolloutState::Halted, 0); 3]);
    let before = started(&bench);
    assert!(before > 0);
    send(&bench, 60, "after").await;
    assert_eq!(started(&bench), before, "no new request goes to the halted version");
    let records = bench.fleet.log.records(havengrade_router::platform::LogStream::Config);
    let halts: std::collections::BTreeSet<&str> =
        records.iter().filter_map(|record| record.split("\"change_id\":\"halt-").nth(1)).collect();
    assert!(!halts.is_empty());
}

#[tokio::test(start_paused = true)]
async fn good_version_goes_on_to_the_next_step() {
    let bench = Bench::start_tuned(3, |settings| settings.rating.sample = 1000).await;
    begin(&bench, 20).await;
    send(&bench, 90, "good").await;
    assert_eq!(states(&bench), [(RolloutState::Running, 1); 3]);
}
