//! Orders of events around claimed sends after which a harmless request must be served, and a cause must not be sent on.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::quarantine::{Quarantine, QuarantineEntry, QuarantineStatus, next_trial};

const V1: u64 = 1;
const V2: u64 = 2;
const HARMLESS: u64 = 1;
/// Time for which callers of the harmless request wait, without the quarter that a claimed send needs.
const PATIENCE_MS: u64 = 6750;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + Duration::from_millis(millis)
}

/// Crashes an endpoint of a version while requests are in progress there, each with its run time in milliseconds.
fn crash_version(quarantine: &mut Quarantine, version: u64, endpoint: &str, requests: &[(u64, u64)], millis: u64) {
    for (fingerprint, ran_for) in requests {
        let ran_for = Duration::from_millis(*ran_for);
        quarantine.record_broken_attempt(((*fingerprint).into(), version), endpoint, ran_for, at(millis));
    }
    quarantine.record_endpoint_exit(endpoint, at(millis + 2));
}

fn crash(quarantine: &mut Quarantine, endpoint: &str, requests: &[(u64, u64)], millis: u64) {
    crash_version(quarantine, V1, endpoint, requests, millis);
}

/// A quarantine in which the harmless request was at three crashes, the last one at 2 s, each of another cause.
fn quarantine_with_harmless_suspect() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (index, (ran_for, millis)) in [(900, 0), (400, 1000), (200, 2000)].into_iter().enumerate() {
        crash(&mut quarantine, &format!("e{index}"), &[(HARMLESS, ran_for), (20 + index as u64, 60)], millis);
    }
    assert!(quarantine.quarantine_suspects(at(3100)).is_empty());
    quarantine
}

/// Claims what is due for a request: its send as a suspect, or a trial.
fn claim(quarantine: &mut Quarantine, fingerprint: u64, millis: u64) -> QuarantineEntry {
    let status = quarantine.status(&fingerprint.into(), at(millis));
    let (QuarantineStatus::Suspected(entry) | QuarantineStatus::TrialDue(entry)) = status else {
        panic!("nothing is due: {status:?}")
    };
    let claimed = next_trial(&quarantine.entries(), &entry, at(millis)).unwrap();
    quarantine.record_claim(claimed);
    claimed
}

/// The first time from which the request may be sent, checked every 50 ms until its callers have no time left.
fn sendable_at(quarantine: &mut Quarantine, fingerprint: u64, from: u64) -> Option<u64> {
    (from..from + PATIENCE_MS).step_by(50).find(|millis| {
        quarantine.quarantine_suspects(at(*millis));
        let status = quarantine.status(&fingerprint.into(), at(*millis));
        matches!(status, QuarantineStatus::Free | QuarantineStatus::Suspected(_) | QuarantineStatus::TrialDue(_))
    })
}

/// Guards against a second suspect at the endpoint of a claimed send that runs for longer than two seconds.
#[test]
fn a_claimed_send_keeps_its_turn_until_its_outcome_is_known() {
    let mut quarantine = quarantine_with_harmless_suspect();
    for (index, millis) in [500, 1500, 2050].into_iter().enumerate() {
        crash(&mut quarantine, &format!("f{index}"), &[(8, 40 + millis)], millis);
    }
    quarantine.quarantine_suspects(at(3100));
    claim(&mut quarantine, 8, 3100);
    let status = quarantine.status(&HARMLESS.into(), at(5200));
    assert!(matches!(status, QuarantineStatus::Pending { .. }), "the other one still runs: {status:?}");
}

/// Guards against a second send of a request whose claimed send still runs.
#[test]
fn no_trial_is_due_while_the_claimed_send_of_the_same_request_runs() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    let status = quarantine.status(&HARMLESS.into(), at(5200));
    assert!(matches!(status, QuarantineStatus::Pending { .. }), "its send still runs: {status:?}");
}

/// Guards against ten minutes of quarantine after one broken send beside a cause that was at no other crash yet.
#[test]
fn a_suspect_whose_send_broke_beside_a_cause_that_is_found_later_gets_its_trial() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    crash(&mut quarantine, "e4", &[(HARMLESS, 500), (8, 60)], 3600);
    quarantine.quarantine_suspects(at(4700));
    for (index, millis) in [4800, 5000, 5200].into_iter().enumerate() {
        crash(&mut quarantine, &format!("f{index}"), &[(8, 60)], millis);
    }
    let sendable = sendable_at(&mut quarantine, HARMLESS, 5300);
    assert!(sendable.is_some(), "{:?}", quarantine.status(&HARMLESS.into(), at(12_000)));
}

/// Guards against ten minutes of quarantine where the report on the cause of the crash arrives after it was judged.
#[test]
fn a_late_report_on_the_cause_of_the_crash_under_a_claimed_send_restores_the_trial() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    crash(&mut quarantine, "e4", &[(HARMLESS, 500)], 3600);
    quarantine.quarantine_suspects(at(4700));
    let mut other = Quarantine::default();
    for (endpoint, millis) in [("f1", 2900), ("f2", 3200), ("e4", 3600)] {
        crash(&mut other, endpoint, &[(8, 60)], millis);
    }
    quarantine.merge_report(other.next_report(at(4800)), at(4810));
    let sendable = sendable_at(&mut quarantine, HARMLESS, 4900);
    assert!(sendable.is_some(), "{:?}", quarantine.status(&HARMLESS.into(), at(12_000)));
}

/// Guards against ten minutes of quarantine after a claimed send and a trial that both broke beside a cause.
#[test]
fn a_trial_that_broke_beside_a_cause_that_is_found_later_is_given_back() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    crash(&mut quarantine, "f1", &[(8, 60)], 3400);
    crash(&mut quarantine, "e4", &[(HARMLESS, 500), (8, 60)], 3600);
    let trial_at = sendable_at(&mut quarantine, HARMLESS, 4700).unwrap();
    claim(&mut quarantine, HARMLESS, trial_at);
    crash(&mut quarantine, "e5", &[(HARMLESS, 500), (8, 60)], trial_at + 500);
    let sendable = sendable_at(&mut quarantine, HARMLESS, trial_at + 600);
    assert!(!matches!(quarantine.status(&8.into(), at(trial_at + 2000)), QuarantineStatus::Free), "the cause is found");
    assert!(sendable.is_some(), "{:?}", quarantine.status(&HARMLESS.into(), at(trial_at + 7500)));
}

/// Guards against ten minutes of quarantine without any claimed send, for a frequent request at the crashes of several
/// causes.
#[test]
fn a_request_at_six_crashes_of_different_causes_gets_a_send() {
    let mut quarantine = Quarantine::default();
    for (index, ran_for) in [900, 400, 200, 700, 100, 1100].into_iter().enumerate() {
        let requests = [(HARMLESS, ran_for), (20 + index as u64, 60)];
        crash(&mut quarantine, &format!("e{index}"), &requests, 100 * index as u64);
    }
    let sendable = sendable_at(&mut quarantine, HARMLESS, 600);
    assert!(sendable.is_some(), "{:?}", quarantine.status(&HARMLESS.into(), at(8000)));
}

/// Guards against a trial that is put off by each crash elsewhere until the caller has no time left.
#[test]
fn crashes_at_other_endpoints_do_not_put_off_a_trial_for_longer_than_callers_wait() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    crash(&mut quarantine, "e4", &[(HARMLESS, 500), (20, 60)], 3600);
    let mut sendable = None;
    for index in 0..6 {
        let millis = 4700 + 1200 * index;
        crash(&mut quarantine, &format!("f{index}"), &[(50 + index, 60)], millis);
        sendable = sendable.or((millis..millis + 1200).step_by(50).find(|millis| {
            quarantine.quarantine_suspects(at(*millis));
            matches!(quarantine.status(&HARMLESS.into(), at(*millis)), QuarantineStatus::TrialDue(_))
        }));
    }
    assert!(sendable.is_some());
}

/// Guards against a quarantine that outlasts a claimed send which an endpoint of another version answered.
#[test]
fn a_suspect_that_another_version_answers_is_not_held_for_ten_minutes() {
    let mut quarantine = quarantine_with_harmless_suspect();
    for millis in [3100, 6000] {
        let Some(millis) = sendable_at(&mut quarantine, HARMLESS, millis) else { panic!("no send from {millis}") };
        if matches!(quarantine.status(&HARMLESS.into(), at(millis)), QuarantineStatus::Free) {
            return;
        }
        claim(&mut quarantine, HARMLESS, millis);
        quarantine.record_answer((HARMLESS.into(), V2), at(millis + 500));
    }
    let sendable = sendable_at(&mut quarantine, HARMLESS, 9000);
    assert!(sendable.is_some(), "{:?}", quarantine.status(&HARMLESS.into(), at(9000)));
}

/// Guards against a quarantine that rests on crashes which an answer has refuted since.
#[test]
fn a_suspect_is_released_once_an_answer_leaves_it_with_fewer_than_three_crashes() {
    let mut quarantine = Quarantine::default();
    for (endpoint, ran_for, version, millis) in [("e1", 900, V1, 0), ("e2", 400, V1, 1000), ("e3", 200, V2, 2000)] {
        crash_version(&mut quarantine, version, endpoint, &[(HARMLESS, ran_for), (millis + 9, 60)], millis);
    }
    claim(&mut quarantine, HARMLESS, 3100);
    quarantine.record_answer((HARMLESS.into(), V1), at(3500));
    assert_eq!(quarantine.crash_count(HARMLESS), 1);
    assert_eq!(quarantine.status(&HARMLESS.into(), at(3600)), QuarantineStatus::Free);
}

/// Guards against a suspect that stays held since the VM that claimed its send exited before it sent it.
#[test]
fn a_claim_of_a_vm_that_exited_leaves_the_trial() {
    let mut quarantine = quarantine_with_harmless_suspect();
    let claimed = claim(&mut quarantine.clone(), HARMLESS, 3100);
    quarantine.merge_stored(&[claimed], at(3200));
    let sendable = sendable_at(&mut quarantine, HARMLESS, 3200).unwrap();
    let trial = claim(&mut quarantine, HARMLESS, sendable);
    assert_eq!(trial.trials, 1);
}

/// Guards against ten minutes of quarantine since a VM exited after it claimed the trial and before it sent it.
#[test]
fn a_trial_claimed_by_a_vm_that_exited_is_given_back() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    crash(&mut quarantine, "f1", &[(8, 60)], 3400);
    crash(&mut quarantine, "e4", &[(HARMLESS, 500), (8, 60)], 3600);
    let trial_at = sendable_at(&mut quarantine, HARMLESS, 4700).unwrap();
    let trial = claim(&mut quarantine.clone(), HARMLESS, trial_at);
    quarantine.merge_stored(&[trial], at(trial_at + 100));
    let sendable = sendable_at(&mut quarantine, HARMLESS, trial_at + 200);
    assert!(sendable.is_some(), "{:?}", quarantine.status(&HARMLESS.into(), at(trial_at + 7000)));
}

/// Guards against a fourth send of a cause, by a VM that has heard of no claim and judges it later than others.
#[test]
fn vms_that_hear_of_no_claim_send_a_cause_three_times_in_all() {
    let suspected = quarantine_with_harmless_suspect();
    let mut list: Vec<QuarantineEntry> = Vec::new();
    let mut sends = 0;
    for millis in (3100..1_300_000).step_by(300) {
        // Each claim is tried by a VM that has not heard of the earlier ones, and by one that has read the list.
        for has_read in [false, true] {
            let mut vm = suspected.clone();
            if has_read {
                vm.merge_stored(&list, at(millis));
            }
            let (QuarantineStatus::Suspected(entry) | QuarantineStatus::TrialDue(entry)) =
                vm.status(&HARMLESS.into(), at(millis))
            else {
                continue;
            };
            if let Some(claimed) = next_trial(&list, &entry, at(millis)) {
                list = vec![claimed];
                sends += 1;
            }
        }
    }
    assert_eq!(sends, 3);
}

/// Guards against two sends of a suspect that two VMs claim at the same moment.
#[test]
fn of_two_vms_that_claim_the_same_suspect_at_the_same_moment_one_sends_it() {
    let quarantine = quarantine_with_harmless_suspect();
    let QuarantineStatus::Suspected(entry) = quarantine.status(&HARMLESS.into(), at(3100)) else {
        panic!("no suspect")
    };
    let first = next_trial(&[], &entry, at(3100)).unwrap();
    assert_eq!(next_trial(&[first], &entry, at(3100)), None);
    assert_eq!(next_trial(&[first], &entry, at(3600)), None);
}

/// Guards against a suspect that its answer at one VM does not release at a VM which hears of the answer first and of
/// the claim later.
#[test]
fn an_answer_that_is_reported_before_its_claim_releases_the_suspect() {
    let mut here = quarantine_with_harmless_suspect();
    let mut there = here.clone();
    let claimed = claim(&mut there, HARMLESS, 3100);
    there.record_answer((HARMLESS.into(), V1), at(3300));
    here.merge_report(there.next_report(at(3400)), at(3410));
    here.merge_stored(&[claimed], at(3500));
    assert_eq!(here.status(&HARMLESS.into(), at(3600)), QuarantineStatus::Free);
}

/// Guards against two causes that are sent together, since a harmless request whose send and trial broke beside one of
/// them explains the crashes of both.
#[test]
fn suspects_whose_crashes_a_wrongly_quarantined_request_explains_take_turns() {
    let mut quarantine = Quarantine::default();
    for (index, ran_for) in [900, 400, 200, 700, 100, 1100].into_iter().enumerate() {
        let cause = if index < 3 { 8 } else { 9 };
        let requests = [(HARMLESS, ran_for), (cause, 300 * (index as u64 % 3) + 10)];
        crash(&mut quarantine, &format!("e{index}"), &requests, 100 * index as u64);
    }
    quarantine.quarantine_suspects(at(1600));
    let trial_at = sendable_at(&mut quarantine, HARMLESS, 1700).unwrap();
    assert_eq!(claim(&mut quarantine, HARMLESS, trial_at).trials, 1);
    crash(&mut quarantine, "e6", &[(HARMLESS, 500), (8, 900)], trial_at + 500);
    quarantine.quarantine_suspects(at(trial_at + 1600));
    claim(&mut quarantine, 8, trial_at + 1600);
    let status = quarantine.status(&9.into(), at(trial_at + 2200));
    assert!(matches!(status, QuarantineStatus::Pending { .. }), "the other one still runs: {status:?}");
}

/// Guards against a suspect that is sent without a claim by a VM which started after its crashes.
#[test]
fn a_starting_vm_learns_all_crashes_of_a_suspect() {
    let mut here = quarantine_with_harmless_suspect();
    for index in 0..12 {
        let requests: Vec<(u64, u64)> = (0..10).map(|other| (100 + 10 * index + other, 60)).collect();
        crash(&mut here, &format!("f{index}"), &requests, 3000 + 100 * index);
    }
    here.set_loaded();
    let mut started = Quarantine::default();
    started.merge_report(here.full_report(at(4300)).unwrap(), at(4310));
    assert_ne!(
        started.status(&HARMLESS.into(), at(4400)),
        QuarantineStatus::Free,
        "{} known",
        started.crash_count(HARMLESS)
    );
}

/// Guards against a fourth send, by VMs that lost the claims of the others while the list was restored to an older
/// copy.
#[test]
fn a_restored_list_without_the_claim_does_not_permit_another_first_send_to_a_vm_that_knows_of_it() {
    let mut quarantine = quarantine_with_harmless_suspect();
    claim(&mut quarantine, HARMLESS, 3100);
    quarantine.merge_stored(&[], at(3200));
    let status = quarantine.status(&HARMLESS.into(), at(3300));
    assert!(matches!(status, QuarantineStatus::Pending { .. }), "{status:?}");
}

/// Guards against a suspect that waits for the turn of a VM whose claim another VM knows, after that VM's send has been
/// answered.
#[test]
fn an_answer_ends_the_turn_of_a_claimed_send_at_other_vms() {
    let mut here = quarantine_with_harmless_suspect();
    for (index, millis) in [500, 1500, 2050].into_iter().enumerate() {
        crash(&mut here, &format!("f{index}"), &[(8, 40 + millis)], millis);
    }
    let mut there = here.clone();
    let claimed = claim(&mut there, 8, 3100);
    here.merge_stored(&[claimed], at(3150));
    assert!(matches!(here.status(&HARMLESS.into(), at(3200)), QuarantineStatus::Pending { .. }));
    there.record_answer((8.into(), V1), at(3300));
    here.merge_report(there.next_report(at(3400)), at(3410));
    assert!(matches!(here.status(&HARMLESS.into(), at(3500)), QuarantineStatus::Suspected(_)));
}

/// Guards against an endless turn of a claimed send whose attempt failed without a crash of its endpoint.
#[test]
fn a_claimed_send_that_only_lost_its_connection_ends_its_turn_at_once() {
    let mut quarantine = quarantine_with_harmless_suspect();
    for (index, millis) in [500, 1500, 2050].into_iter().enumerate() {
        crash(&mut quarantine, &format!("f{index}"), &[(8, 40 + millis)], millis);
    }
    claim(&mut quarantine, 8, 3100);
    quarantine.record_broken_attempt((8.into(), V1), "e9", Duration::from_millis(100), at(3200));
    quarantine.record_endpoint_alive("e9");
    let status = quarantine.status(&HARMLESS.into(), at(3300));
    assert!(matches!(status, QuarantineStatus::Suspected(_)), "{status:?}");
}
