//! Two roll-outs of a service, the second ordered right after the first one's end: sessions keep their version.
#![allow(clippy::unwrap_used)]

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use havengrade_core::published::rollout::{AllowedVersions, RolloutBounds, RolloutOrder, RolloutOutcome, Rollouts};

const BOUNDS: RolloutBounds = RolloutBounds { max_share: 0.15, session_idle_timeout: Duration::from_secs(5) };
const DURATION: Duration = Duration::from_secs(14);
/// When the orders are given, in milliseconds: the second one 0.5 s after the first one's deadline.
const ORDERS: [(u64, &str, &str); 2] = [(2_000, "v1", "v2"), (16_500, "v2", "v3")];
const SESSIONS: u64 = 400;
/// Time between two requests of a session, well below the pause after which it ends.
const PERIOD: u64 = 3_000;
/// Requests that may run on another version than the one before in their session.
const MOST_MOVED: usize = 3;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

/// The version that serves a request, and whether its session had to keep another one.
fn serve(rollouts: &Rollouts, session: &str, before: Option<&String>, now: u64) -> (String, bool) {
    let running = ORDERS.iter().rev().find(|(ordered, _, _)| *ordered <= now);
    let Some((ordered, old, new)) = running else { return ("v1".into(), false) };
    let version = match rollouts.allowed_versions("models", session, Some(session), BOUNDS, at(now)) {
        AllowedVersions::Only(version) => version,
        AllowedVersions::Any | AllowedVersions::Not(_) => (*old).to_owned(),
    };
    let is_first_half = now < ordered + DURATION.as_millis() as u64 / 2;
    let may_move = version == *new && !is_first_half;
    let is_moved = before.is_some_and(|before| *before != version) && !may_move;
    (version, is_moved)
}

#[test]
fn sessions_keep_their_version_through_two_roll_outs_back_to_back() {
    let mut rollouts = Rollouts::default();
    let mut last: HashMap<String, String> = HashMap::new();
    let mut moved = 0;
    for now in (0..32_000).step_by(10) {
        for (ordered, _, new) in ORDERS.iter().filter(|(ordered, _, _)| *ordered == now) {
            let order = RolloutOrder { service: "models".into(), version: (*new).to_owned(), duration: DURATION };
            assert!(rollouts.add_order(order, at(*ordered)));
        }
        for verdict in rollouts.status_updates(BOUNDS, at(now)) {
            assert_ne!(verdict.status.outcome, RolloutOutcome::RolledBack);
            rollouts.record_status(verdict.status);
        }
        for id in (0..SESSIONS).filter(|id| (now + id * 10) % PERIOD == 0) {
            let session = format!("s{id}");
            let (version, is_moved) = serve(&rollouts, &session, last.get(&session), now);
            moved += usize::from(is_moved);
            rollouts.begin_session_request(&session, &version, at(now), at(now));
            last.insert(session, version);
        }
    }
    assert!(moved <= MOST_MOVED, "{moved} requests ran on another version than the one before in their session");
}

/// Seen: a session's request ran on another version than the one before it, after a second order had followed the first one's end by half a
/// second. How it came about: the session went on at another VM, which took it for a new one. Cause: VMs tell each other of sessions that
/// keep to an old version only while an order runs, and not to which version. Proof: with one VM the test above passes; with two, that
/// tell each other all they know five times a second, sessions move.
#[test]
fn sessions_keep_their_version_through_two_roll_outs_also_at_another_vm() {
    let mut vms = [Rollouts::default(), Rollouts::default()];
    let mut last: HashMap<String, String> = HashMap::new();
    let mut moved = 0;
    for now in (0..32_000).step_by(10) {
        for (ordered, _, new) in ORDERS.iter().filter(|(ordered, _, _)| *ordered == now) {
            for rollouts in &mut vms {
                let order = RolloutOrder { service: "models".into(), version: (*new).to_owned(), duration: DURATION };
                assert!(rollouts.add_order(order, at(*ordered)));
            }
        }
        let status_updates = vms[0].status_updates(BOUNDS, at(now));
        for verdict in status_updates {
            for rollouts in &mut vms {
                rollouts.record_status(verdict.status.clone());
            }
        }
        if now % 200 == 0 {
            let news: Vec<_> =
                (0..).zip(&mut vms).map(|(vm, rollouts)| rollouts.next_report(BOUNDS, vm, at(now))).collect();
            for (vm, news) in (0..).zip(news) {
                vms[1 - vm as usize].merge_report(vm, news, at(now));
            }
        }
        for id in (0..SESSIONS).filter(|id| (now + id * 10) % PERIOD == 0) {
            let session = format!("s{id}");
            let rollouts = &mut vms[((now / PERIOD + id) % 2) as usize];
            let (version, is_moved) = serve(rollouts, &session, last.get(&session), now);
            moved += usize::from(is_moved);
            rollouts.begin_session_request(&session, &version, at(now), at(now));
            last.insert(session, version);
        }
    }
    assert!(moved <= MOST_MOVED, "{moved} requests ran on another version than the one before in their session");
}

/// Seen: on every seed that was tried of a day with two orders and 84 VMs, 66 to 172 requests of sessions on another version than the one before. How it
/// comes about: a session that `v1` served last goes on right after the second order at a VM that takes it for a new one, and goes to `v2`. Cause: a report
/// names 48 sessions and reaches 23 VMs, while thousands of sessions are between two requests. Proof: the VMs' own lines at the moved requests name no
/// known version; with two VMs, which hear of all sessions, the test above passes.
#[test]
fn sessions_keep_their_version_through_two_roll_outs_in_a_fleet_of_84_vms() {
    const VMS: u64 = 84;
    const HEARERS: u64 = 23;
    let mut vms: Vec<Rollouts> = (0..VMS).map(|_| Rollouts::default()).collect();
    let mut last: HashMap<String, String> = HashMap::new();
    let mut moved = 0;
    for now in (0..32_000).step_by(10) {
        for (ordered, _, new) in ORDERS.iter().filter(|(ordered, _, _)| *ordered == now) {
            for rollouts in &mut vms {
                let order = RolloutOrder { service: "models".into(), version: (*new).to_owned(), duration: DURATION };
                assert!(rollouts.add_order(order, at(*ordered)));
            }
        }
        if now % 200 == 0 {
            for verdict in vms[0].status_updates(BOUNDS, at(now)) {
                for rollouts in &mut vms {
                    rollouts.record_status(verdict.status.clone());
                }
            }
            let news: Vec<_> =
                (0..).zip(&mut vms).map(|(vm, rollouts)| rollouts.next_report(BOUNDS, vm, at(now))).collect();
            for (vm, news) in (0..).zip(news) {
                for step in 0..HEARERS {
                    // Prime to the number of VMs, so that each report goes to others.
                    let to = (vm + 1 + (now / 200 * HEARERS + step) * 5) % VMS;
                    if to != vm {
                        vms[to as usize].merge_report(vm, news.clone(), at(now));
                    }
                }
            }
        }
        for id in (0..10 * SESSIONS).filter(|id| (now + id * 10) % PERIOD == 0) {
            let session = format!("s{id}");
            let rollouts = &mut vms[((now / PERIOD * 31 + id) % VMS) as usize];
            let (version, is_moved) = serve(rollouts, &session, last.get(&session), now);
            moved += usize::from(is_moved);
            rollouts.begin_session_request(&session, &version, at(now), at(now));
            last.insert(session, version);
        }
    }
    assert!(moved <= MOST_MOVED, "{moved} requests ran on another version than the one before in their session");
}

/// Seen: a session whose request at one VM took longer than the session's pause went on with another version at another VM. Cause: its pause counted from the begin of
/// the request until that ended, so that nobody was told of it.
#[test]
fn a_session_is_known_to_other_vms_while_its_request_is_in_progress() {
    let mut vms = [Rollouts::default(), Rollouts::default()];
    for rollouts in &mut vms {
        let order = RolloutOrder { service: "models".into(), version: "v2".into(), duration: DURATION };
        assert!(rollouts.add_order(order, at(2_000)));
    }
    let [here, there] = &mut vms;
    let takes_new = |id: &String| {
        here.allowed_versions("models", id, Some(id), BOUNDS, at(5_000)) == AllowedVersions::Only("v2".into())
    };
    let session = (0..4000).map(|id| format!("s{id}")).find(takes_new).unwrap();
    here.begin_session_request(&session, "v1", at(20_000), at(3_000));
    there.merge_report(1, here.next_report(BOUNDS, 1, at(8_900)), at(8_901));
    let allowed =
        |rollouts: &Rollouts, now| rollouts.allowed_versions("models", &session, Some(&session), BOUNDS, at(now));
    assert_eq!(allowed(there, 8_950), AllowedVersions::Only("v1".into()));
    here.mark_session_idle(&session, at(9_000));
    assert_eq!(allowed(here, 13_900), AllowedVersions::Only("v1".into()));
    assert_eq!(allowed(here, 14_100), AllowedVersions::Only("v2".into()), "its pause is over");
}

/// What a VM tells on comes back to it over others; each word has to end, however long the reports are under way.
#[test]
fn a_word_on_a_session_does_not_go_round_for_ever() {
    let mut vms = [Rollouts::default(), Rollouts::default(), Rollouts::default()];
    for rollouts in &mut vms {
        let order = RolloutOrder { service: "models".into(), version: "v2".into(), duration: DURATION };
        assert!(rollouts.add_order(order, at(2_000)));
    }
    let takes_new = |id: &String| {
        vms[0].allowed_versions("models", id, Some(id), BOUNDS, at(5_000)) == AllowedVersions::Only("v2".into())
    };
    let session = (0..4000).map(|id| format!("s{id}")).find(takes_new).unwrap();
    vms[0].begin_session_request(&session, "v1", at(3_000), at(3_000));
    let mut told = 0;
    for now in (3_200..7_800).step_by(200) {
        for from in 0..3 {
            let news = vms[from].next_report(BOUNDS, from as u64, at(now));
            told += news.sessions.len();
            for to in (0..3).filter(|to| *to != from) {
                vms[to].merge_report(from as u64, news.clone(), at(now + 4));
            }
        }
    }
    assert!(told <= 6, "told {told} times: three by its VM, and once by each that hears of it, its own included");
}
