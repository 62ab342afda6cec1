//! Quarantine of requests that crash endpoints, and its distinction from requests that merely were in progress there.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::quarantine::{Quarantine, QuarantineChange, QuarantineEntry, QuarantineStatus, next_trial};

const V1: u64 = 1;
const V2: u64 = 2;
const NO_REQUESTS: [u64; 0] = [];

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + Duration::from_millis(millis)
}

/// Crashes an endpoint while requests are in progress there, each with its run time in milliseconds.
fn crash(quarantine: &mut Quarantine, endpoint: &str, requests: &[(u64, u64)], millis: u64) {
    for (fingerprint, ran_for) in requests {
        quarantine.record_broken_attempt(
            ((*fingerprint).into(), V1),
            endpoint,
            Duration::from_millis(*ran_for),
            at(millis),
        );
    }
    quarantine.record_endpoint_exit(endpoint, at(millis + 2));
}

fn newly_quarantined(quarantine: &mut Quarantine, millis: u64) -> Vec<u64> {
    let changes = quarantine.quarantine_suspects(at(millis)).into_iter();
    let mut fingerprints: Vec<u64> = changes
        .filter_map(|change| match change {
            QuarantineChange::Quarantined { fingerprint, .. } => Some(fingerprint),
            _ => None,
        })
        .collect();
    fingerprints.sort_unstable();
    fingerprints
}

/// A quarantine with a request that caused three crashes, the last one at 2 s.
fn quarantine_with_request() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (endpoint, millis) in [("e1", 0), ("e2", 1000), ("e3", 2000)] {
        crash(&mut quarantine, endpoint, &[(7, 60)], millis);
    }
    assert_eq!(newly_quarantined(&mut quarantine, 2500), NO_REQUESTS, "reports of other VMs may still be in transit");
    assert!(matches!(quarantine.status(&7.into(), at(2500)), QuarantineStatus::Pending { .. }));
    assert_eq!(newly_quarantined(&mut quarantine, 3100), [7]);
    quarantine
}

#[test]
fn lost_connections_to_live_endpoints_are_no_evidence() {
    let mut quarantine = Quarantine::default();
    for millis in (0..20_000).step_by(1000) {
        quarantine.record_broken_attempt((7.into(), V1), "e1", Duration::ZERO, at(millis));
        quarantine.record_endpoint_alive("e1");
    }
    assert_eq!(newly_quarantined(&mut quarantine, 30_000), NO_REQUESTS);
    assert!(!quarantine.needs_fingerprints());
}

/// A request whose attempts are abandoned some ten milliseconds before their endpoints crash, as when the router
/// falls back to another model, must still be attributed these crashes. One such request was sent six times more
/// after it had crashed three endpoints.
#[test]
fn a_crash_is_attributed_to_an_attempt_that_was_abandoned_just_before() {
    let mut quarantine = Quarantine::default();
    let abandon_and_crash = |quarantine: &mut Quarantine, endpoint: &str, left: u64, ended: u64| {
        quarantine.record_abandoned_attempt((7.into(), V1), endpoint, Duration::from_millis(30), at(left));
        crash(quarantine, endpoint, &[(100 + ended, 500)], ended);
    };
    abandon_and_crash(&mut quarantine, "e1", 0, 70);
    abandon_and_crash(&mut quarantine, "e2", 1000, 1070);
    abandon_and_crash(&mut quarantine, "e3", 2000, 2600);
    assert_eq!(
        newly_quarantined(&mut quarantine, 4000),
        NO_REQUESTS,
        "the third endpoint crashed too late to be attributed to it"
    );
    abandon_and_crash(&mut quarantine, "e4", 5000, 5070);
    assert_eq!(newly_quarantined(&mut quarantine, 7000), [7]);
}

/// As above, but only another VM has an attempt that failed there.
#[test]
fn a_crash_that_another_vm_reports_is_attributed_to_an_abandoned_attempt() {
    let (mut here, mut other) = (Quarantine::default(), Quarantine::default());
    for (index, endpoint) in ["e1", "e2", "e3"].into_iter().enumerate() {
        let left = 1000 * index as u64;
        here.record_abandoned_attempt((7.into(), V1), endpoint, Duration::from_millis(30), at(left));
        crash(&mut other, endpoint, &[(100 + left, 500)], left + 70);
        here.merge_report(other.next_report(at(left + 90)), at(left + 100));
    }
    assert_eq!(newly_quarantined(&mut here, 5000), [7]);
}

/// An attempt that got no answer in time is abandoned, and its endpoint is probed. The endpoint answers the probe, since
/// it crashes only 0.2 s later; the attempt must still count. The request was known for one crash less than it had
/// caused, and was sent four times more where three sends are allowed.
#[test]
fn an_endpoint_that_answers_a_probe_may_still_crash_under_an_abandoned_attempt() {
    let mut quarantine = Quarantine::default();
    for (index, endpoint) in ["e1", "e2", "e3"].into_iter().enumerate() {
        let left = 1000 * index as u64;
        quarantine.record_abandoned_attempt((7.into(), V1), endpoint, Duration::from_millis(1530), at(left));
        quarantine.record_broken_attempt((7.into(), V1), endpoint, Duration::from_millis(1530), at(left));
        quarantine.record_endpoint_alive(endpoint);
        crash(&mut quarantine, endpoint, &[(100 + left, 500)], left + 200);
    }
    assert_eq!(newly_quarantined(&mut quarantine, 4000), [7]);
}

#[test]
fn a_crash_counts_once_however_many_attempts_fail_at_it() {
    let mut quarantine = Quarantine::default();
    for endpoint in ["e1", "e2"] {
        crash(&mut quarantine, endpoint, &[(7, 60), (7, 40), (7, 10)], 0);
        quarantine.record_broken_attempt((7.into(), V1), endpoint, Duration::ZERO, at(300));
    }
    assert_eq!(newly_quarantined(&mut quarantine, 5000), NO_REQUESTS);
    crash(&mut quarantine, "e1", &[(7, 60)], 4000);
    assert_eq!(newly_quarantined(&mut quarantine, 6000), [7], "a restarted endpoint crashed again");
}

#[test]
fn of_requests_with_common_crashes_the_one_with_the_most_is_quarantined() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "e1", &[(7, 60), (1, 400), (2, 10)], 0);
    crash(&mut quarantine, "e2", &[(7, 60), (1, 900), (3, 50)], 100);
    crash(&mut quarantine, "e3", &[(7, 60), (1, 200), (4, 50)], 200);
    crash(&mut quarantine, "e4", &[(7, 60), (2, 30)], 300);
    assert_eq!(newly_quarantined(&mut quarantine, 2000), [7], "the crashes of the slower request are explained by it");
}

#[test]
fn several_causes_are_all_quarantined() {
    let mut quarantine = Quarantine::default();
    for (index, fingerprint) in [7, 8, 7, 8, 8, 7].into_iter().enumerate() {
        crash(
            &mut quarantine,
            &format!("e{index}"),
            &[(fingerprint, 60), (1, 300 + 100 * index as u64)],
            200 * index as u64,
        );
    }
    assert_eq!(newly_quarantined(&mut quarantine, 3000), [7, 8]);
}

/// Requests that wait at busy endpoints before they crash them have long run times. Suspects with shorter run times
/// at other crashes must not make them look harmless, which delayed their quarantine until the twelfth crash.
#[test]
fn a_cause_that_waits_before_it_runs_is_quarantined_despite_faster_suspects() {
    let mut quarantine = Quarantine::default();
    for (index, ran_for) in [1047, 259, 173, 306, 855, 78].into_iter().enumerate() {
        let bystander = 100 + index as u64 / 2;
        crash(&mut quarantine, &format!("e{index}"), &[(7, ran_for), (bystander, 15)], 100 * index as u64);
    }
    for index in 10..13 {
        crash(&mut quarantine, &format!("e{index}"), &[(8, 20)], 100 * index);
    }
    assert_eq!(newly_quarantined(&mut quarantine, 3000), [7, 8]);
}

#[test]
fn an_answered_request_is_quarantined_only_after_many_more_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer((1.into(), V1), at(0));
    for index in 0..11 {
        crash(&mut quarantine, &format!("e{index}"), &[(1, 60)], 1000 + index);
    }
    assert_eq!(newly_quarantined(&mut quarantine, 5000), NO_REQUESTS);
    crash(&mut quarantine, "e11", &[(1, 60)], 4000);
    assert_eq!(newly_quarantined(&mut quarantine, 6000), [1]);
}

#[test]
fn an_answer_of_the_old_version_is_no_evidence_for_the_new_one() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer((7.into(), V2), at(0));
    for (endpoint, millis) in [("e1", 1000), ("e2", 2000), ("e3", 3000)] {
        crash(&mut quarantine, endpoint, &[(7, 60)], millis);
        quarantine.record_answer((7.into(), V2), at(millis + 500));
    }
    assert_eq!(newly_quarantined(&mut quarantine, 5000), [7]);
    assert_eq!(quarantine.record_answer((7.into(), V2), at(6000)), []);
    assert_eq!(quarantine.record_answer((7.into(), V1), at(7000)), [QuarantineChange::Released { fingerprint: 7 }]);
}

#[test]
fn a_trial_releases_a_request_that_is_answered() {
    let mut quarantine = quarantine_with_request();
    assert!(matches!(quarantine.status(&7.into(), at(4000)), QuarantineStatus::Pending { .. }));
    let QuarantineStatus::TrialDue(entry) = quarantine.status(&7.into(), at(5200)) else { panic!("no trial") };
    let claimed = next_trial(&[], &entry, at(5200)).unwrap();
    quarantine.record_claim(claimed);
    assert!(matches!(quarantine.status(&7.into(), at(5300)), QuarantineStatus::Pending { .. }), "its trial is running");
    assert!(
        matches!(quarantine.status(&7.into(), at(9000)), QuarantineStatus::Pending { decided_in } if decided_in.as_secs() > 500)
    );
    quarantine.record_answer((7.into(), V1), at(9100));
    assert_eq!(quarantine.status(&7.into(), at(9200)), QuarantineStatus::Free);
}

#[test]
fn no_trial_starts_while_endpoints_crash() {
    let mut quarantine = quarantine_with_request();
    crash(&mut quarantine, "e9", &[(8, 60)], 5000);
    assert!(matches!(quarantine.status(&7.into(), at(5200)), QuarantineStatus::Pending { .. }));
    assert!(matches!(quarantine.status(&7.into(), at(6600)), QuarantineStatus::TrialDue(_)));
}

#[test]
fn trials_of_all_requests_run_one_at_a_time() {
    let entry = |fingerprint| QuarantineEntry {
        fingerprint,
        version: V1,
        first_crash: at(0),
        since: at(0),
        until: at(90_000),
        trials: 0,
        last_trial: None,
        endpoint: None,
    };
    let first = next_trial(&[entry(7), entry(8)], &entry(7), at(5000)).unwrap();
    assert_eq!((first.trials, first.last_trial), (1, Some(at(5000))));
    assert_eq!(next_trial(&[first, entry(8)], &entry(8), at(6900)), None);
    assert_eq!(next_trial(&[first, entry(8)], &entry(7), at(9000)), None, "its first trial is claimed");
    assert!(next_trial(&[first, entry(8)], &entry(8), at(7100)).is_some());
    let from_a_wrong_clock = QuarantineEntry { last_trial: Some(at(60_000)), ..first };
    assert!(next_trial(&[from_a_wrong_clock], &entry(8), at(7100)).is_some());
}

#[test]
fn crashes_from_three_vms_add_up_despite_duplicate_or_late_reports() {
    let mut vms: Vec<Quarantine> = vec![Quarantine::default(); 3];
    for (index, vm) in vms.iter_mut().enumerate() {
        crash(vm, &format!("e{index}"), &[(7, 60)], 100 * index as u64);
    }
    let reports: Vec<_> = vms.iter_mut().map(|vm| vm.next_report(at(400))).collect();
    for (index, vm) in vms.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != index) {
            vm.merge_report(report.clone(), at(410 + 20 * from as u64));
            vm.merge_report(report.clone(), at(460 + 20 * from as u64));
        }
        assert_eq!(newly_quarantined(vm, 1600), [7]);
    }
}

#[test]
fn an_answer_at_one_vm_is_evidence_at_all_vms() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    there.record_answer((1.into(), V1), at(0));
    for (endpoint, millis) in [("e1", 1000), ("e2", 1100), ("e3", 1200)] {
        crash(&mut here, endpoint, &[(1, 60)], millis);
    }
    there.merge_report(here.next_report(at(1300)), at(1310));
    here.merge_report(there.next_report(at(1400)), at(1410));
    assert_eq!(newly_quarantined(&mut here, 2500), NO_REQUESTS);
    assert_eq!(newly_quarantined(&mut there, 2500), NO_REQUESTS);
}

#[test]
fn a_starting_vm_learns_quarantined_requests_and_observed_crashes() {
    let mut here = quarantine_with_request();
    crash(&mut here, "e8", &[(9, 60)], 3200);
    assert_eq!(here.full_report(at(3300)), None, "it has not loaded the entries from before its own start");
    here.set_loaded();
    let mut started = Quarantine::default();
    let changes = started.merge_report(here.full_report(at(3300)).unwrap(), at(3310));
    assert_eq!(changes, [QuarantineChange::Learned { fingerprint: 7 }]);
    for (endpoint, millis) in [("e6", 3400), ("e7", 3500)] {
        crash(&mut started, endpoint, &[(9, 60)], millis);
    }
    assert_eq!(newly_quarantined(&mut started, 5000), [9]);
}

#[test]
fn stored_entries_outlive_all_vms_with_their_trials() {
    let mut here = quarantine_with_request();
    let kept = here.unstored();
    here.set_stored(7);
    assert!(here.unstored().is_empty());
    let tried_twice = QuarantineEntry { trials: 2, ..kept[0] };
    let mut started = Quarantine::default();
    started.merge_stored(&[tried_twice], at(20_000));
    assert!(matches!(
        started.status(&7.into(), at(20_000)),
        QuarantineStatus::Quarantined { retry_after } if retry_after.as_secs() > 3600
    ));
    assert!(started.unstored().is_empty());
    let mut later = Quarantine::default();
    later.merge_stored(&[tried_twice], at(25 * 3600 * 1000));
    assert_eq!(later.status(&7.into(), at(25 * 3600 * 1000)), QuarantineStatus::Free);
}

#[test]
fn reports_are_small_and_cover_everything_in_turn() {
    let mut here = Quarantine::default();
    for index in 0..200 {
        crash(&mut here, &format!("e{index}"), &[(index, 60)], 0);
    }
    let mut there = Quarantine::default();
    let mut reports = 0;
    while here.has_unreported() {
        let report = here.next_report(at(100));
        assert!(report.crashes.len() <= 16, "{} in a report", report.crashes.len());
        there.merge_report(report, at(110));
        reports += 1;
    }
    assert!(reports <= 200 / 16 + 1, "{reports}");
    for (fingerprint, endpoint) in [(5, "f1"), (5, "f2"), (150, "f3"), (150, "f4")] {
        crash(&mut there, endpoint, &[(fingerprint, 60)], 500);
    }
    assert_eq!(newly_quarantined(&mut there, 3000), [5, 150]);
}

#[test]
fn memory_stays_bounded_while_endpoints_crash_all_the_time() {
    let mut quarantine = Quarantine::default();
    for index in 0..10_000 {
        crash(&mut quarantine, &format!("e{index}"), &[(index, 60)], index);
        if index % 500 == 0 {
            quarantine.prune(at(index));
        }
    }
    quarantine.prune(at(10_000));
    quarantine.set_loaded();
    let transferred = quarantine.full_report(at(10_000)).unwrap();
    assert_eq!(transferred.crashes.len(), 96);
    assert!(
        transferred.crashes.iter().all(|crash| crash.age < Duration::from_millis(200)),
        "the latest crashes are kept"
    );
}

/// A quarantine in which request 1 was at three crashes that request 7 explains, the last one at 2 s.
fn quarantine_with_suspect() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (endpoint, ran_for, millis) in [("e1", 900, 0), ("e2", 400, 1000), ("e3", 200, 2000)] {
        crash(&mut quarantine, endpoint, &[(7, 60), (1, ran_for)], millis);
    }
    assert_eq!(newly_quarantined(&mut quarantine, 3100), [7]);
    quarantine
}

/// Claims the send of a suspect.
fn claim_suspect(quarantine: &mut Quarantine, fingerprint: u64, millis: u64) -> QuarantineEntry {
    let QuarantineStatus::Suspected(entry) = quarantine.status(&fingerprint.into(), at(millis)) else {
        panic!("no suspect")
    };
    let claimed = next_trial(&[], &entry, at(millis)).unwrap();
    quarantine.record_claim(claimed);
    claimed
}

/// Requests were sent on and on while they were suspected and not judged, by callers that came back and by retries, of
/// VMs that all knew of three crashes and more. From the third crash on, a send needs a claim, which one VM gets.
#[test]
fn a_suspect_is_sent_once_by_the_vm_that_claims_it() {
    let mut quarantine = quarantine_with_suspect();
    assert!(
        matches!(quarantine.status(&1.into(), at(2500)), QuarantineStatus::Pending { .. }),
        "reports on its last crash may still be in transit"
    );
    let QuarantineStatus::Suspected(elsewhere) = quarantine.status(&1.into(), at(3150)) else { panic!("no suspect") };
    let claimed = claim_suspect(&mut quarantine, 1, 3200);
    assert_eq!((claimed.trials, claimed.last_trial), (0, Some(at(3200))));
    assert_eq!(next_trial(&[claimed], &elsewhere, at(3900)), None, "another VM has claimed it");
    assert!(matches!(quarantine.status(&1.into(), at(3300)), QuarantineStatus::Pending { .. }), "its send is running");
    quarantine.record_answer((1.into(), V1), at(4400));
    assert_eq!(quarantine.status(&1.into(), at(4500)), QuarantineStatus::Free);
}

/// A suspect that has just been answered is no likely cause: an endpoint crashes soon after the cause was sent to it.
#[test]
fn an_answered_request_needs_no_claim_until_its_sixth_crash() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer((1.into(), V1), at(0));
    for index in 0..5 {
        crash(&mut quarantine, &format!("e{index}"), &[(1, 60)], 1000 + index);
    }
    assert_eq!(quarantine.status(&1.into(), at(3000)), QuarantineStatus::Free);
    crash(&mut quarantine, "e5", &[(1, 60)], 3000);
    assert!(matches!(quarantine.status(&1.into(), at(4100)), QuarantineStatus::Suspected(_)));
}

/// Suspects that were sent at the same moment went to the same endpoints, where those that are harmless broke with the
/// causes and were held back for ten minutes.
#[test]
fn suspects_are_sent_one_after_the_other() {
    let mut quarantine = Quarantine::default();
    for (endpoint, millis) in [("e1", 0), ("e2", 100), ("e3", 200)] {
        crash(&mut quarantine, endpoint, &[(1, 900 - 3 * millis), (2, 40 + millis)], millis);
    }
    assert_eq!(newly_quarantined(&mut quarantine, 1300), NO_REQUESTS, "the run times of both differ widely");
    let QuarantineStatus::Suspected(waiting) = quarantine.status(&1.into(), at(1300)) else { panic!("no suspect") };
    let claimed = claim_suspect(&mut quarantine, 2, 1300);
    assert!(
        matches!(quarantine.status(&1.into(), at(1700)), QuarantineStatus::Pending { .. }),
        "another one is running"
    );
    assert_eq!(next_trial(&[claimed], &waiting, at(1600)), None, "this VM may not have the report on the other claim");
    assert!(next_trial(&[claimed], &waiting, at(1800)).is_some());
    crash(&mut quarantine, "e4", &[(2, 500)], 1800);
    assert!(matches!(quarantine.status(&1.into(), at(1900)), QuarantineStatus::Suspected(_)), "its crash has ended it");
}

/// A trial of a request that alone explains the crash under its claimed send costs another endpoint for nothing.
#[test]
fn a_suspect_that_alone_explains_the_crash_under_its_send_gets_no_early_trial() {
    let mut quarantine = quarantine_with_suspect();
    let claimed = claim_suspect(&mut quarantine, 1, 3200);
    let mut with_other_suspect = quarantine.clone();
    crash(&mut quarantine, "e4", &[(1, 800), (50, 100)], 4100);
    quarantine.quarantine_suspects(at(5200));
    assert!(
        matches!(quarantine.status(&1.into(), at(5300)), QuarantineStatus::Pending { decided_in } if decided_in.as_secs() > 500)
    );
    crash(&mut with_other_suspect, "e5", &[(8, 100)], 3500);
    crash(&mut with_other_suspect, "e4", &[(1, 800), (8, 100)], 4100);
    with_other_suspect.quarantine_suspects(at(5000));
    assert!(matches!(with_other_suspect.status(&1.into(), at(5000)), QuarantineStatus::Pending { .. }), "not settled");
    with_other_suspect.quarantine_suspects(at(5700));
    let QuarantineStatus::TrialDue(entry) = with_other_suspect.status(&1.into(), at(5700)) else { panic!("no trial") };
    let trial = next_trial(&[claimed], &entry, at(5700)).unwrap();
    assert_eq!((trial.trials, trial.last_trial), (1, Some(at(5700))));
}

/// The crash of an earlier attempt of the same request, which becomes known after the claim, is not that of the claimed
/// send; it let another suspect be sent to the same endpoint.
#[test]
fn a_crash_of_an_earlier_attempt_does_not_end_a_claimed_send() {
    let mut quarantine = quarantine_with_suspect();
    claim_suspect(&mut quarantine, 1, 3200);
    crash(&mut quarantine, "e4", &[(1, 800), (7, 50)], 3210);
    for (endpoint, millis) in [("f1", 3300), ("f2", 3310), ("f3", 3320)] {
        crash(&mut quarantine, endpoint, &[(2, millis - 3200)], millis);
    }
    assert!(
        matches!(quarantine.status(&2.into(), at(4400)), QuarantineStatus::Pending { .. }),
        "the other send is running"
    );
}
