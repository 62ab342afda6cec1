//! Replay of arbitrary configuration records of several operators.
#![allow(clippy::unwrap_used)]

use std::time::SystemTime;

use havengrade_core::config::{
    BaseRevision, Cascade, Change, ChangeRecord, Config, ConfigRecord, Endpoint, EndpointKind, Item, MigrationRule,
    MigrationState, ModelVersion, ReplayOutcome, RequestClass, Scope, ScopeKind, ScopedChange, SessionKey,
    VersionState,
};
use proptest::prelude::*;

fn version(number: u8) -> Item {
    Item::Version(ModelVersion {
        id: format!("m@{number}"),
        model: "m".into(),
        input_cost_micros: 1,
        output_cost_micros: 1,
        prior_quality: 500,
        state: VersionState::Active,
    })
}

fn class(number: u8, pins_sessions: bool) -> Item {
    Item::Class(RequestClass {
        id: format!("class-{number}"),
        priority: 1,
        deadline_ms: 1,
        repeatable: true,
        durable: false,
        cascade: Some(format!("cascade-{number}")),
        pins_sessions,
        session_s: 1,
    })
}

fn cascade(number: u8) -> Item {
    let steps = vec![format!("m@{number}")];
    Item::Cascade(Cascade {
        id: format!("cascade-{number}"),
        steps,
        quality_target: 1,
        explore: 0,
        check_answers: false,
    })
}

fn endpoint(number: u8, is_scripts: bool) -> Item {
    let kind = if is_scripts { EndpointKind::Scripts } else { EndpointKind::Service { service: "s".into() } };
    Item::Endpoint(Endpoint {
        id: format!("endpoint-{number}"),
        address: ([127, 0, 0, 1], 80).into(),
        failure_domain: "d".into(),
        capacity: 1,
        checks_fence: false,
        deduplicates: false,
        kind,
    })
}

fn migration(number: u8) -> Item {
    let state = MigrationState::Scripts { endpoint: format!("endpoint-{number}") };
    Item::Migration(MigrationRule { class: format!("class-{number}"), account: None, state })
}

fn session_key(signs: bool) -> Item {
    Item::SessionKey(SessionKey { id: "k".into(), secret_hex: "ab".repeat(16), signs })
}

fn item() -> impl Strategy<Value = Item> {
    let number = 0..3_u8;
    prop_oneof![
        number.clone().prop_map(version),
        (number.clone(), any::<bool>()).prop_map(|(number, pins)| class(number, pins)),
        number.clone().prop_map(cascade),
        (number.clone(), any::<bool>()).prop_map(|(number, scripts)| endpoint(number, scripts)),
        number.prop_map(migration),
        any::<bool>().prop_map(session_key),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        8 => item().prop_map(|item| Change::Put { item }),
        2 => item().prop_map(|item| Change::Remove { scope: item.scope() }),
        1 => (0..3_u8).prop_map(|number| Change::Withdraw { version: format!("m@{number}") }),
    ]
}

/// A change that is based on the current revision, or on one that may be outdated.
#[derive(Clone, Debug)]
struct Step {
    change: Change,
    has_stale_base: bool,
    change_id: u8,
}

fn step() -> impl Strategy<Value = Step> {
    (change(), prop::bool::weighted(0.2), any::<u8>()).prop_map(|(change, has_stale_base, change_id)| Step {
        change,
        has_stale_base,
        change_id,
    })
}

fn record(step: &Step, config: &Config) -> ConfigRecord {
    let scope = step.change.scope();
    let base = if step.has_stale_base { BaseRevision::Absent } else { config.base_revision(&scope) };
    ConfigRecord::Change(ChangeRecord {
        change_id: step.change_id.to_string(),
        author: "a".into(),
        reason: "r".into(),
        at: SystemTime::UNIX_EPOCH,
        changes: vec![ScopedChange { base, change: step.change.clone() }],
    })
}

/// Builds the log records of the steps, each based on the configuration after the ones before it.
fn build_log(steps: &[Step]) -> Vec<ConfigRecord> {
    let mut config = Config::default();
    let mut records = Vec::new();
    for (offset, step) in (0..).zip(steps) {
        let record = record(step, &config);
        config.replay(offset, &record);
        records.push(record);
    }
    records
}

fn replay(records: &[ConfigRecord]) -> Config {
    let mut config = Config::default();
    (0..).zip(records).for_each(|(offset, record)| drop(config.replay(offset, record)));
    config
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// The active configuration is always valid, although each change is validated only where it can break something.
    #[test]
    fn active_configuration_has_no_faults(steps in prop::collection::vec(step(), 1..60)) {
        let mut config = Config::default();
        for (offset, step) in (0..).zip(&steps) {
            let record = record(step, &config);
            config.replay(offset, &record);
            prop_assert!(config.faults().is_empty(), "{:?} after {step:?}", config.faults());
        }
    }

    /// A withdrawn version never becomes active again, whatever changes follow.
    #[test]
    fn withdrawn_versions_stay_withdrawn(steps in prop::collection::vec(step(), 1..60)) {
        let mut config = Config::default();
        let mut withdrawn = Vec::new();
        for (offset, step) in (0..).zip(&steps) {
            let record = record(step, &config);
            let outcome = config.replay(offset, &record);
            if let (ReplayOutcome::Effective, Change::Withdraw { version }) = (&outcome, &step.change) {
                withdrawn.push(version.clone());
            }
            if let (ReplayOutcome::Effective, Change::Remove { scope }) = (&outcome, &step.change) {
                withdrawn.retain(|version| *version != scope.name);
            }
            for version in &withdrawn {
                prop_assert!(!config.is_active(version), "{version} after {step:?}");
            }
        }
    }

    /// VMs that replay records repeatedly, late or from a snapshot all reach the same configuration.
    #[test]
    fn vms_converge_with_repeated_records_and_snapshots(
        steps in prop::collection::vec(step(), 1..40),
        snapshot_index in any::<prop::sample::Index>(),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let records = build_log(&steps);
        let mut in_order = replay(&records);
        let snapshot_end = snapshot_index.index(records.len());
        let snapshot = ConfigRecord::Snapshot(Box::new(replay(&records[..snapshot_end])));
        // In the log, the snapshot follows the records.
        in_order.replay(records.len() as u64, &snapshot);
        let json = serde_json::to_string(&snapshot).unwrap();
        let mut late = Config::default();
        late.replay(records.len() as u64, &serde_json::from_str(&json).unwrap());
        for (offset, record) in (0..).zip(&records) {
            late.replay(offset, record);
            for repeat in &repeats {
                let old = repeat.index(usize::try_from(offset).unwrap() + 1);
                late.replay(old as u64, &records[old]);
            }
            late.replay(records.len() as u64, &snapshot);
        }
        prop_assert_eq!(late, in_order);
    }
}

#[test]
fn removed_version_keeps_its_revision() {
    let mut config = Config::default();
    let scope = Scope { kind: ScopeKind::Version, name: "m@1".into() };
    let put = Step { change: Change::Put { item: version(1) }, has_stale_base: true, change_id: 1 };
    let remove = Step { change: Change::Remove { scope: scope.clone() }, has_stale_base: false, change_id: 2 };
    let stale = Step { change_id: 3, ..put.clone() };
    assert_eq!(config.replay(0, &record(&put, &config.clone())), ReplayOutcome::Effective);
    assert_eq!(config.replay(1, &record(&remove, &config.clone())), ReplayOutcome::Effective);
    assert_eq!(config.base_revision(&scope), BaseRevision::At(1));
    assert!(matches!(config.replay(2, &record(&stale, &config.clone())), ReplayOutcome::Void(_)));
}
