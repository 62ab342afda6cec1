//! What VMs keep to when the store comes back from an older copy.
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
fn an_older_list_neither_takes_endpoints_away_nor_brings_back_those_that_left() {
    let mut directory = Directory::default();
    directory.apply(vec![DirectoryEvent::All(["a", "b", "c"].map(endpoint).to_vec())], at(0), at(0));
    directory.apply(vec![DirectoryEvent::Gone("b".into())], at(600), at(600));
    let leaving = ListedEndpoint { is_leaving: true, ..endpoint("c") };
    directory.apply(vec![DirectoryEvent::Seen(leaving)], at(1200), at(1200));
    // The copy is of before b left, c was about to, and a was entered.
    directory.apply(vec![DirectoryEvent::Restored(["b", "c"].map(endpoint).to_vec())], at(1800), at(1800));
    assert_eq!(usable(&directory), ["a"]);
    // Read again, it shows those that left as before, and a as it is written again.
    let grace = u64::try_from(RELIST_GRACE.as_millis()).unwrap();
    directory.apply(vec![DirectoryEvent::All(["a", "b"].map(endpoint).to_vec())], at(1900 + grace), at(1900 + grace));
    assert_eq!(usable(&directory), ["a"]);
    directory.apply(vec![DirectoryEvent::Seen(endpoint("b"))], at(5000), at(5000));
    assert_eq!(usable(&directory), ["a", "b"], "its own new entry says that it is there");
}

#[test]
fn an_endpoint_that_is_not_entered_again_is_gone_after_the_grace() {
    let mut directory = Directory::default();
    directory.apply(vec![DirectoryEvent::All(["a", "b"].map(endpoint).to_vec())], at(0), at(0));
    directory.apply(vec![DirectoryEvent::Restored(vec![endpoint("a")])], at(600), at(600));
    assert_eq!(usable(&directory), ["a", "b"]);
    directory.apply(Vec::new(), at(3000), at(3000));
    assert_eq!(usable(&directory), ["a"]);
}

#[test]
fn a_store_that_loses_entries_twice_is_borne_twice() {
    let mut directory = Directory::default();
    directory.apply(vec![DirectoryEvent::All(["a", "b"].map(endpoint).to_vec())], at(0), at(0));
    for loss in [600, 1200, 1800] {
        directory.apply(vec![DirectoryEvent::Restored(Vec::new())], at(loss), at(loss));
        assert_eq!(usable(&directory), ["a", "b"]);
    }
}

#[test]
fn an_order_that_is_missing_in_an_older_copy_stands_until_all_is_written_again() {
    let mut domains = EmptiedDomains::default();
    domains.apply(DomainEvent::Emptied("d1".into()), at(0));
    domains.apply(DomainEvent::All { emptied: vec!["d2".into()], is_sure: false }, at(100));
    assert!(domains.is_emptied("d1") && domains.is_emptied("d2"));
    assert_eq!(
        domains.snapshot(),
        DomainEvent::All { emptied: vec!["d1".into(), "d2".into()], is_sure: false },
        "who is told of it keeps to what it knows as well"
    );
    let (_, refilled) = domains.apply(DomainEvent::All { emptied: vec!["d2".into()], is_sure: true }, at(3000));
    assert_eq!(refilled, ["d1"]);
}

#[test]
fn states_that_an_older_copy_lacks_are_known_and_later_ones_stand() {
    let status = |service: &str, outcome| RolloutStatus { service: service.into(), version: "v2".into(), outcome };
    let mut rollouts = Rollouts::default();
    for (service, outcome) in
        [("x", RolloutOutcome::Succeeded), ("y", RolloutOutcome::RolledBack), ("z", RolloutOutcome::Running)]
    {
        rollouts.record_status(status(service, outcome));
    }
    let there = [status("x", RolloutOutcome::Running), status("z", RolloutOutcome::RolledBack)];
    let missing = rollouts.statuses_missing_from(&there);
    assert_eq!(missing, [status("x", RolloutOutcome::Succeeded), status("y", RolloutOutcome::RolledBack)]);
    assert!(!rollouts.record_status(status("x", RolloutOutcome::Running)), "an end stands");
    assert!(rollouts.statuses_missing_from(&missing).iter().all(|status| status.service == "z"));
}

#[test]
fn a_request_that_was_answered_since_is_taken_off_an_older_list() {
    let hold = QuarantineEntry {
        fingerprint: 7,
        version: 1,
        first_crash: at(0),
        since: at(0),
        until: at(90_000),
        trials: 0,
        last_trial: None,
    };
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&[hold], at(100));
    quarantine.record_answer((7, 1), at(2000));
    assert_eq!(quarantine.released(), [7]);
    quarantine.set_removed(7);
    assert!(quarantine.merge_stored(&[hold], at(5000)).is_empty(), "it is not held again");
    assert_eq!(quarantine.released(), [7], "and goes off the list once more");
}
