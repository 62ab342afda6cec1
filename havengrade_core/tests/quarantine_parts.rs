//! Parts of prompts under which endpoints crash, whichever requests contain them.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::quarantine::{JudgedRequest, Quarantine, QuarantineStatus, next_trial};

const V1: u64 = 1;
const V2: u64 = 2;
/// The part that crashes endpoints.
const BAD: u64 = 1_000;
/// A part that many harmless requests contain.
const COMMON: u64 = 1_001;
/// A part that few requests contain.
const RARE: u64 = 1_002;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + Duration::from_millis(millis)
}

fn request(request: u64, parts: &[u64]) -> JudgedRequest {
    JudgedRequest { request, parts: parts.to_vec() }
}

/// Crashes an endpoint while requests are in progress there, each for 60 ms.
fn crash(quarantine: &mut Quarantine, endpoint: &str, requests: &[JudgedRequest], millis: u64) {
    for judged in requests {
        quarantine.record_broken_attempt((judged.clone(), V1), endpoint, Duration::from_millis(60), at(millis));
    }
    quarantine.record_endpoint_exit(endpoint, at(millis + 2));
}

/// Crashes endpoints under requests with these parts of which no two are alike, one each 100 ms from 1 s on.
fn crash_under(quarantine: &mut Quarantine, parts: &[u64], crashes: u64) {
    for index in 0..crashes {
        crash(quarantine, &format!("e{index}"), &[request(1 + index, parts)], 1000 + 100 * index);
    }
}

fn is_free(quarantine: &Quarantine, judged: &JudgedRequest, millis: u64) -> bool {
    quarantine.status(judged, at(millis)) == QuarantineStatus::Free
}

fn answer(quarantine: &mut Quarantine, judged: &JudgedRequest, millis: u64) {
    quarantine.record_answer((judged.clone(), V1), at(millis));
}

/// A quarantine that holds the bad part from 2.5 s on, and knows the common one by answers.
fn quarantine_with_held_part() -> Quarantine {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, &request(500, &[COMMON]), 500);
    crash_under(&mut quarantine, &[COMMON, BAD], 4);
    quarantine.quarantine_suspects(at(1400));
    quarantine.quarantine_suspects(at(2500));
    quarantine
}

/// Guards against sends of further requests with a part under which four different ones crashed endpoints, and against
/// holding back what they share with harmless ones.
#[test]
fn a_part_under_which_different_requests_crash_endpoints_is_held_and_the_others_are_free() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, &request(500, &[COMMON]), 500);
    crash_under(&mut quarantine, &[COMMON, BAD], 4);
    quarantine.quarantine_suspects(at(1400));
    let new = request(99, &[COMMON, BAD]);
    assert!(!is_free(&quarantine, &new, 1400), "not sent while reports of other VMs may arrive");
    assert!(is_free(&quarantine, &request(98, &[COMMON, RARE]), 1400));
    quarantine.quarantine_suspects(at(2500));
    assert!(!is_free(&quarantine, &new, 2500));
    assert!(is_free(&quarantine, &request(98, &[COMMON, RARE]), 2500));
    assert!(is_free(&quarantine, &request(97, &[]), 2500));
}

/// Guards against holding a common part that was answered only at another VM.
#[test]
fn an_answer_at_another_vm_keeps_a_part_free() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    answer(&mut there, &request(500, &[COMMON]), 500);
    crash_under(&mut here, &[COMMON, BAD], 4);
    here.quarantine_suspects(at(1400));
    there.merge_report(here.next_report(at(1500)), at(1510));
    here.merge_report(there.next_report(at(1600)), at(1610));
    here.quarantine_suspects(at(2500));
    assert!(is_free(&here, &request(98, &[COMMON]), 2500));
    assert!(!is_free(&here, &request(99, &[BAD]), 2500));
}

/// Guards against holding all parts of a request that crashes endpoints by itself and is repeated.
#[test]
fn the_parts_of_one_request_that_is_repeated_stay_free() {
    let mut quarantine = Quarantine::default();
    for index in 0..5 {
        crash(&mut quarantine, &format!("e{index}"), &[request(7, &[RARE])], 1000 + 100 * index);
    }
    quarantine.quarantine_suspects(at(2500));
    assert!(!is_free(&quarantine, &request(7, &[RARE]), 2500));
    assert!(is_free(&quarantine, &request(8, &[RARE]), 2500));
}

/// Guards against holding parts of harmless requests that were in progress at the crashes of a bad part.
#[test]
fn a_rare_part_beside_the_bad_one_stays_free() {
    let mut quarantine = Quarantine::default();
    for index in 0..6 {
        let beside = request(100 + index, &[RARE]);
        crash(&mut quarantine, &format!("e{index}"), &[request(1 + index, &[BAD]), beside], 1000 + 100 * index);
    }
    for index in 6..9 {
        crash(&mut quarantine, &format!("e{index}"), &[request(1 + index, &[BAD])], 1000 + 100 * index);
    }
    quarantine.quarantine_suspects(at(3500));
    assert!(!is_free(&quarantine, &request(99, &[BAD]), 3500));
    assert!(is_free(&quarantine, &request(98, &[RARE]), 3500));
}

/// Guards against claims for harmless requests that broke three times beside a part that is known to crash endpoints.
#[test]
fn a_request_that_broke_beside_a_held_part_is_no_suspect() {
    let mut quarantine = Quarantine::default();
    let harmless = request(500, &[COMMON]);
    answer(&mut quarantine, &request(501, &[COMMON]), 500);
    for index in 0..4 {
        let requests = [request(1 + index, &[COMMON, BAD]), harmless.clone()];
        crash(&mut quarantine, &format!("e{index}"), &requests, 1000 + 100 * index);
    }
    quarantine.quarantine_suspects(at(1400));
    assert!(is_free(&quarantine, &harmless, 1400));
    quarantine.quarantine_suspects(at(2500));
    assert!(is_free(&quarantine, &harmless, 2500));
}

/// Guards against a second bad part that is hidden by the first one, and against sends of requests with both.
#[test]
fn two_bad_parts_are_both_held() {
    const OTHER: u64 = 1_003;
    let mut quarantine = Quarantine::default();
    crash_under(&mut quarantine, &[BAD], 4);
    for index in 10..14 {
        let parts: &[u64] = if index == 10 { &[BAD, OTHER] } else { &[OTHER] };
        crash(&mut quarantine, &format!("e{index}"), &[request(1 + index, parts)], 1000 + 100 * index);
    }
    crash(&mut quarantine, "e20", &[request(50, &[OTHER])], 2500);
    quarantine.quarantine_suspects(at(3600));
    for parts in [&[BAD][..], &[OTHER], &[BAD, OTHER]] {
        assert!(!is_free(&quarantine, &request(99, parts), 3600), "{parts:?}");
    }
}

/// Guards against a part that is held on after a request with it was answered, and against a release by an answer of a
/// version under which it never crashed endpoints.
#[test]
fn an_answer_of_the_same_version_releases_a_part() {
    let mut quarantine = quarantine_with_held_part();
    let new = request(99, &[COMMON, BAD]);
    quarantine.record_answer((new.clone(), V2), at(3000));
    assert!(!is_free(&quarantine, &new, 3000));
    answer(&mut quarantine, &new, 3100);
    assert!(is_free(&quarantine, &request(98, &[BAD]), 3200));
    assert_eq!(quarantine.released(), [BAD]);
}

/// Guards against more than three sends of a held part by all VMs, and against one that is never tried again.
#[test]
fn a_held_part_is_tried_twice() {
    let mut quarantine = quarantine_with_held_part();
    let mut sends = 0;
    for millis in (2500..3_000_000).step_by(100) {
        let new = request(10_000 + millis, &[COMMON, BAD]);
        let QuarantineStatus::TrialDue(entry) = quarantine.status(&new, at(millis)) else { continue };
        let claimed = next_trial(&quarantine.entries(), &entry, at(millis)).unwrap();
        quarantine.record_claim(claimed);
        crash(&mut quarantine, &format!("t{millis}"), &[new], millis + 60);
        sends += 1;
    }
    assert_eq!(sends, 2);
}

/// Guards against a send by a VM that starts, and by one that was cut off and hears of the part by the stored list.
#[test]
fn a_vm_that_starts_knows_held_parts() {
    let mut here = quarantine_with_held_part();
    here.set_loaded();
    let (mut started, mut read) = (Quarantine::default(), Quarantine::default());
    started.merge_report(here.full_report(at(2600)).unwrap(), at(2610));
    read.merge_stored(&here.entries(), at(2610));
    for vm in [started, read] {
        assert!(!is_free(&vm, &request(99, &[COMMON, BAD]), 2700));
        assert!(is_free(&vm, &request(98, &[COMMON]), 2700));
    }
}

/// Guards against evidence that ends with the VM that saw it: here each VM sees one crash only.
#[test]
fn crashes_that_different_vms_saw_add_up() {
    let mut vms = vec![Quarantine::default(); 4];
    for (index, vm) in (0..).zip(&mut vms) {
        crash(vm, &format!("e{index}"), &[request(1 + index, &[BAD])], 1000 + 100 * index);
    }
    let reports: Vec<_> = vms.iter_mut().map(|vm| vm.next_report(at(1400))).collect();
    let mut here = vms.swap_remove(0);
    for report in reports {
        here.merge_report(report, at(1410));
    }
    assert!(!is_free(&here, &request(99, &[BAD]), 1500));
}

/// Guards against holding a common part on and on where nothing had been answered before the crashes: the answer to a
/// request without the bad part frees it, and the bad one is held in its place.
#[test]
fn a_common_part_that_was_never_answered_is_held_until_the_first_answer_only() {
    let mut quarantine = Quarantine::default();
    crash_under(&mut quarantine, &[COMMON, BAD], 5);
    quarantine.quarantine_suspects(at(2500));
    let harmless = request(98, &[COMMON]);
    let due = (2500..9000).step_by(50).find(|millis| {
        quarantine.quarantine_suspects(at(*millis));
        matches!(quarantine.status(&harmless, at(*millis)), QuarantineStatus::TrialDue(_) | QuarantineStatus::Free)
    });
    let due = due.unwrap();
    let ambiguous = quarantine.status(&request(97, &[COMMON, BAD]), at(due));
    assert!(!matches!(ambiguous, QuarantineStatus::TrialDue(_)), "a crash under it would show nothing: {ambiguous:?}");
    answer(&mut quarantine, &harmless, due + 300);
    quarantine.quarantine_suspects(at(due + 400));
    quarantine.quarantine_suspects(at(due + 1500));
    assert!(is_free(&quarantine, &request(96, &[COMMON]), due + 1500));
    assert!(!is_free(&quarantine, &request(95, &[COMMON, BAD]), due + 1500));
}

/// Guards against a caller who has a part of others held by requests that crash endpoints by themselves.
#[test]
fn a_part_that_others_get_answers_with_is_not_held_by_one_who_crashes_endpoints() {
    let mut quarantine = Quarantine::default();
    for index in 0..30 {
        crash(&mut quarantine, &format!("e{index}"), &[request(1 + index, &[COMMON])], 1000 + 200 * index);
        if index % 10 == 0 {
            answer(&mut quarantine, &request(500 + index, &[COMMON]), 1100 + 200 * index);
        }
        quarantine.quarantine_suspects(at(1150 + 200 * index));
        assert!(is_free(&quarantine, &request(99, &[COMMON]), 1150 + 200 * index));
    }
}

/// Guards against a bad part that other VMs hear of late, because the requests that crash endpoints contain many parts
/// that come only once.
#[test]
fn parts_at_several_crashes_are_reported_before_parts_that_came_once() {
    let mut quarantine = Quarantine::default();
    for index in 0..3 {
        let once = (0..40).map(|part| 100 + 40 * index + part);
        let parts: Vec<u64> = once.chain([BAD]).collect();
        crash(&mut quarantine, &format!("e{index}"), &[request(1 + index, &parts)], 1000 + 100 * index);
    }
    let report = quarantine.next_report(at(1400));
    let of_bad = report.crashes.iter().filter(|crash| crash.fingerprint == BAD).count();
    assert_eq!(of_bad, 3, "of {} crashes in the report", report.crashes.len());
}
