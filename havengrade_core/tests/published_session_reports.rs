//! Which sessions a VM reports during a roll-out, of its own and of other VMs.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::published::rollout::{RolloutBounds, RolloutOrder, RolloutReport, Rollouts, SessionAffinity};

const BOUNDS: RolloutBounds = RolloutBounds { max_share: 0.15, session_idle_timeout: Duration::from_secs(5) };
const ORDERED: u64 = 2_000;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

/// A VM that knows of an order for `v2`.
fn vm() -> Rollouts {
    let mut rollouts = Rollouts::default();
    let order = RolloutOrder { service: "models".into(), version: "v2".into(), duration: Duration::from_secs(14) };
    assert!(rollouts.add_order(order, at(ORDERED)));
    rollouts
}

/// A report with one session at `v1`.
fn report_of(session: u64, used_ms_ago: u64) -> RolloutReport {
    let used_ago = Duration::from_millis(used_ms_ago);
    RolloutReport {
        sessions: vec![SessionAffinity { session, version: "v1".into(), used_ago }],
        ..RolloutReport::default()
    }
}

/// The sessions in the next report of a VM.
fn reported_sessions(rollouts: &mut Rollouts, own: u64, now: u64) -> Vec<SessionAffinity> {
    rollouts.next_report(BOUNDS, own, at(now)).sessions
}

/// Guards against reports that are full of repeated entries: each VM that relays a session makes its last use look up to
/// 50 ms older, so that a report that arrived over fewer VMs was taken for one of a later use, and relayed again.
#[test]
fn a_use_that_reports_over_fewer_vms_state_as_later_is_not_relayed_again() {
    let mut here = vm();
    here.merge_report(1, report_of(7, 500), at(14_000));
    assert_eq!(reported_sessions(&mut here, 0, 14_100).len(), 1);
    here.merge_report(2, report_of(7, 580), at(14_200));
    assert_eq!(reported_sessions(&mut here, 0, 14_300), [], "the same use, 120 ms later");
    here.merge_report(2, report_of(7, 0), at(14_400));
    assert_eq!(reported_sessions(&mut here, 0, 14_500).len(), 1, "a later use");
}

/// Guards against VMs that miss a session because others which served it before do not relay it, and report its earlier
/// request instead.
#[test]
fn a_vm_relays_a_session_that_continued_at_another_one() {
    let mut here = vm();
    here.begin_session_request("s", "v1", at(13_500), at(13_500));
    let own = reported_sessions(&mut here, 0, 13_600);
    assert_eq!(own.len(), 1);
    here.merge_report(1, report_of(own[0].session, 100), at(15_000));
    let relayed = reported_sessions(&mut here, 0, 15_100);
    assert_eq!(relayed.len(), 1);
    assert!(relayed[0].used_ago < Duration::from_millis(500), "{relayed:?}");
    assert_eq!(reported_sessions(&mut here, 0, 15_200), [], "the earlier request is outdated");
}

/// Guards against VMs that are told of a session by nobody: a report reaches 20 of 27 VMs of a failure domain, and VMs
/// that had received two reports of a session did not relay it, whether the others had or not. Nine reports that each miss
/// a third of the VMs, lost ones included, miss a VM with a probability of 1 in 20,000.
#[test]
fn nine_vms_of_a_failure_domain_relay_each_session_however_often_they_received_it() {
    const VMS: u64 = 28;
    let mut vms: Vec<Rollouts> = (0..VMS).map(|_| vm()).collect();
    for (own, rollouts) in (0..).zip(&mut vms) {
        for from in (0..VMS).filter(|from| *from != own) {
            rollouts.record_sender(from, true, at(13_000));
        }
    }
    for (index, session) in (0..100).zip((0..u64::MAX).step_by(usize::MAX / 100)) {
        let now = 14_000 + index * 100;
        for rollouts in vms.iter_mut().skip(1) {
            for _ in 0..3 {
                rollouts.merge_report(0, report_of(session, 0), at(now));
            }
        }
        let is_relayed = |(own, rollouts): (u64, &mut Rollouts)| {
            reported_sessions(rollouts, own, now + 50).iter().any(|entry| entry.session == session)
        };
        let relays = (0..).zip(&mut vms).filter_map(|vm| is_relayed(vm).then_some(())).count();
        assert!((8..=9).contains(&relays), "{relays} VMs and at most the one that served it relay session {session}");
    }
}
