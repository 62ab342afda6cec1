//! The state that VMs retain when the store is restored from an older copy.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::{
    published::{
        directory::{Directory, DirectoryEvent, ListedEndpoint, RELIST_GRACE},
        emptied_domains::{DomainEvent, EmptiedDomains},
        rollout::{RolloutOutcome, RolloutStatus, Rollouts},
    },
    quarantine::{Quarantine, QuarantineEntry},
};

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(1_800_000_000_000 + millis)
}

fn endpoint(id: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        service: "x".into(),
        address: ([10, 0, 0, 9], 80).into(),
        failure_domain: "d1".into(),
        version: "v1".into(),
        slots: 8,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    }
}

fn usable(directory: &Directory) -> Vec<&str> {
    directory.usable().map(|endpoint| endpoint.id.as_str()).collect()
}

#[test]
fn an_older_list_neither_removes_endpoints_nor_restores_removed_ones() {
    let mut directory = Directory::default();
    directory.apply(vec![DirectoryEvent::All(["a", "b", "c"].map(endpoint).to_vec())], at(0), at(0));
    directory.apply(vec![DirectoryEvent::Gone("b".into())], at(600), at(600));
    let leaving = ListedEndpoint { is_leaving: true, ..endpoint("c") };
    directory.apply(vec![DirectoryEvent::Seen(leaving)], at(1200), at(1200));
    // The copy is from before b was removed, c began to shut down and a was added.
    directory.apply(vec![DirectoryEvent::Restored(["b", "c"].map(endpoint).to_vec())], at(1800), at(1800));
    assert_eq!(usable(&directory), ["a"]);
    // The next read still lists the removed endpoint, and a, whose entry was written again.
    let grace = u64::try_from(RELIST_GRACE.as_millis()).unwrap();
    directory.apply(vec![DirectoryEvent::All(["a", "b"].map(endpoint).to_vec())], at(1900 + grace), at(1900 + grace));
    assert_eq!(usable(&directory), ["a"]);
    directory.apply(vec![DirectoryEvent::Seen(endpoint("b"))], at(5000), at(5000));
    assert_eq!(usable(&directory), ["a", "b"], "a new entry of its own proves that it is alive");
}

#[test]
fn an_endpoint_that_is_not_listed_again_is_removed_after_the_grace_period() {
    let mut directory = Directory::default();
    directory.apply(vec![DirectoryEvent::All(["a", "b"].map(endpoint).to_vec())], at(0), at(0));
    directory.apply(vec![DirectoryEvent::Restored(vec![endpoint("a")])], at(600), at(600));
    assert_eq!(usable(&directory), ["a", "b"]);
    directory.apply(Vec::new(), at(3000), at(3000));
    assert_eq!(usable(&directory), ["a"]);
}

#[test]
fn endpoints_survive_repeated_restores_of_the_store() {
    let mut directory = Directory::default();
    directory.apply(vec![DirectoryEvent::All(["a", "b"].map(endpoint).to_vec())], at(0), at(0));
    for loss in [600, 1200, 1800] {
        directory.apply(vec![DirectoryEvent::Restored(Vec::new())], at(loss), at(loss));
        assert_eq!(usable(&directory), ["a", "b"]);
    }
}

#[test]
fn a_drain_order_that_an_older_copy_lacks_applies_until_all_is_written_again() {
    let mut domains = EmptiedDomains::default();
    domains.apply(DomainEvent::Emptied("d1".into()), at(0));
    domains.apply(DomainEvent::All { emptied: vec!["d2".into()], is_sure: false }, at(100));
    assert!(domains.is_emptied("d1") && domains.is_emptied("d2"));
    assert_eq!(
        domains.snapshot(),
        DomainEvent::All { emptied: vec!["d1".into(), "d2".into()], is_sure: false },
        "a VM that receives this state retains its own as well"
    );
    let (_, refilled) = domains.apply(DomainEvent::All { emptied: vec!["d2".into()], is_sure: true }, at(3000));
    assert_eq!(refilled, ["d1"]);
}

#[test]
fn states_that_an_older_copy_lacks_are_found_and_terminal_ones_remain() {
    let status = |service: &str, outcome| RolloutStatus { service: service.into(), version: "v2".into(), outcome };
    let mut rollouts = Rollouts::default();
    for (service, outcome) in
        [("x", RolloutOutcome::Succeeded), ("y", RolloutOutcome::RolledBack), ("z", RolloutOutcome::Running)]
    {
        rollouts.record_status(status(service, outcome));
    }
    let stored = [status("x", RolloutOutcome::Running), status("z", RolloutOutcome::RolledBack)];
    let missing = rollouts.statuses_missing_from(&stored);
    assert_eq!(missing, [status("x", RolloutOutcome::Succeeded), status("y", RolloutOutcome::RolledBack)]);
    assert!(!rollouts.record_status(status("x", RolloutOutcome::Running)), "a terminal state remains");
    assert!(rollouts.statuses_missing_from(&missing).iter().all(|status| status.service == "z"));
}

#[test]
fn a_request_that_was_answered_since_is_removed_from_an_older_list() {
    let entry = QuarantineEntry {
        fingerprint: 7,
        version: 1,
        first_crash: at(0),
        since: at(0),
        until: at(90_000),
        trials: 0,
        last_trial: None,
        endpoint: None,
    };
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&[entry], at(100));
    quarantine.record_answer((7.into(), 1), at(2000));
    assert_eq!(quarantine.released(), [7]);
    quarantine.set_removed(7);
    assert!(quarantine.merge_stored(&[entry], at(5000)).is_empty(), "it is not quarantined again");
    assert_eq!(quarantine.released(), [7], "and is removed from the list once more");
}
