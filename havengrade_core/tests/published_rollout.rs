//! Roll-outs of a published service: which requests go to the new version, when it is halted, and which statuses are
//! written.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::published::{
    retry_after::{RetryReason, retry_delay},
    rollout::{
        AllowedVersions, AttemptOutcome, AttemptStats, AttemptTime, Failure, RolloutBounds, RolloutOrder,
        RolloutOutcome, RolloutStatus, Rollouts, RouteEvidence, TimeKind,
    },
    time_histogram::Load,
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

const START: SystemTime = SystemTime::UNIX_EPOCH;

fn at(millis: u64) -> SystemTime {
    START + Duration::from_millis(millis)
}

const BOUNDS: RolloutBounds = RolloutBounds { max_share: 0.15, session_idle_timeout: Duration::from_secs(5) };
const OWN: u64 = 7;

fn order(version: &str) -> RolloutOrder {
    RolloutOrder { service: "events".into(), version: version.into(), duration: Duration::from_secs(20) }
}

fn running() -> Rollouts {
    let mut rollouts = Rollouts::default();
    assert!(rollouts.add_order(order("v2"), at(0)));
    rollouts
}

fn allowed(rollouts: &Rollouts, subject: &str, session: Option<&str>, millis: u64) -> AllowedVersions {
    rollouts.allowed_versions("events", subject, session, BOUNDS, at(millis))
}

/// An answer to a request of some kind, for an amount of work.
struct Answer<'a> {
    kind: &'a str,
    version: &'a str,
    failed: bool,
    millis: f64,
    size: f64,
}

impl Answer<'_> {
    fn record(&self, rollouts: &mut Rollouts, now: u64) {
        let Self { kind, version, .. } = *self;
        let endpoint = "e1";
        if !self.failed {
            let (of, time) = (TimeKind::FirstByte { work: self.size }, Duration::from_secs_f64(self.millis / 1000.0));
            let attempt_time = AttemptTime { kind, version, endpoint, load: Load::Light, of, time };
            rollouts.record_time("events", attempt_time, OWN, at(now));
        }
        let failure = self.failed.then_some(Failure::Error);
        rollouts.record_outcome("events", AttemptOutcome { kind, version, endpoint, failure }, OWN, at(now));
    }
}

fn answer(version: &str, failed: bool, millis: u64) -> Answer<'_> {
    Answer { kind: "tags", version, failed, millis: millis as f64, size: 1.0 }
}

fn outcome(rollouts: &mut Rollouts, millis: u64) -> RolloutOutcome {
    rollouts.status_updates(BOUNDS, at(millis)).first().unwrap().status.outcome
}

#[test]
fn a_new_version_gets_less_than_its_bound_while_it_is_tried() {
    let rollouts = running();
    let new = (0..4000).filter(|id| allowed(&rollouts, &format!("r{id}"), None, 5_000).includes("v2")).count();
    assert!((240..480).contains(&new), "{new} of 4000");
}

#[test]
fn a_session_of_the_old_version_stays_there_in_the_first_half() {
    let mut rollouts = running();
    for id in 0..300 {
        let session = format!("s{id}");
        rollouts.begin_session_request(&session, "v1", at(4_000), at(4_000));
        assert_eq!(allowed(&rollouts, "r", Some(&session), 6_000), AllowedVersions::Only("v1".into()));
    }
}

#[test]
fn a_session_of_the_new_version_stays_there() {
    let mut rollouts = running();
    rollouts.begin_session_request("s", "v2", at(4_000), at(4_000));
    assert_eq!(allowed(&rollouts, "r", Some("s"), 8_000), AllowedVersions::Only("v2".into()));
}

#[test]
fn a_version_that_fails_is_rolled_back_and_gets_nothing_more() {
    let mut rollouts = running();
    for _ in 0..40 {
        answer("v1", false, 50).record(&mut rollouts, 5_000);
    }
    for id in 0..16 {
        answer("v2", id % 2 == 0, 50).record(&mut rollouts, 5_000);
    }
    assert_eq!(outcome(&mut rollouts, 6_000), RolloutOutcome::RolledBack);
    assert!((0..500).all(|id| !allowed(&rollouts, &format!("r{id}"), None, 6_000).includes("v2")));
}

#[test]
fn a_version_that_is_several_times_slower_is_rolled_back() {
    let mut rollouts = running();
    for _ in 0..60 {
        answer("v1", false, 50).record(&mut rollouts, 5_000);
    }
    for id in 0..16 {
        answer("v2", false, if id % 2 == 0 { 400 } else { 50 }).record(&mut rollouts, 5_000);
    }
    assert_eq!(outcome(&mut rollouts, 6_000), RolloutOutcome::RolledBack);
}

#[test]
fn a_good_version_takes_over_before_the_deadline() {
    let mut rollouts = running();
    for _ in 0..200 {
        answer("v1", false, 50).record(&mut rollouts, 5_000);
        answer("v2", false, 60).record(&mut rollouts, 5_000);
    }
    assert_eq!(outcome(&mut rollouts, 6_000), RolloutOutcome::Running);
    assert!((0..500).all(|id| allowed(&rollouts, &format!("r{id}"), None, 18_800).includes("v2")));
    for millis in (18_700..19_200).step_by(100) {
        assert_eq!(outcome(&mut rollouts, millis), RolloutOutcome::Running);
        for _ in 0..4 {
            answer("v2", false, 60).record(&mut rollouts, millis);
        }
    }
    assert_eq!(outcome(&mut rollouts, 19_200), RolloutOutcome::Succeeded);
}

#[test]
fn a_version_has_not_succeeded_before_it_was_seen_to_serve_all_requests() {
    let mut rollouts = running();
    for _ in 0..200 {
        answer("v1", false, 50).record(&mut rollouts, 5_000);
        answer("v2", false, 60).record(&mut rollouts, 5_000);
    }
    for millis in (18_700..30_000).step_by(100) {
        assert_eq!(outcome(&mut rollouts, millis), RolloutOutcome::Running);
    }
    for _ in 0..12 {
        answer("v2", false, 60).record(&mut rollouts, 30_000);
    }
    assert_eq!(outcome(&mut rollouts, 30_100), RolloutOutcome::Succeeded);
}

#[test]
fn a_vm_that_starts_during_a_roll_out_takes_over_with_the_others() {
    let mut rollouts = Rollouts::default();
    rollouts.add_order(order("v2"), at(9_000));
    let status = |version: &str, outcome| RolloutStatus { service: "events".into(), version: version.into(), outcome };
    let running = status("v2", RolloutOutcome::Running);
    assert!(!rollouts.merge_start_time(&status("v3", RolloutOutcome::Running), at(0)));
    assert!(!rollouts.merge_start_time(&status("v2", RolloutOutcome::RolledBack), at(0)), "of an earlier order");
    assert_eq!(outcome(&mut rollouts, 19_200), RolloutOutcome::Running, "another order says nothing");
    assert!(rollouts.merge_start_time(&running, at(0)));
    assert!(!rollouts.merge_start_time(&running, at(5_000)));
    assert_eq!(rollouts.order_age("events", "v2", at(10_000)), Some(Duration::from_secs(10)));
    assert!((0..500).all(|id| allowed(&rollouts, &format!("r{id}"), None, 18_800).includes("v2")));
    assert_eq!(outcome(&mut rollouts, 19_200), RolloutOutcome::Succeeded);
    let tried = (0..500).any(|id| allowed(&rollouts, "r", Some(&format!("s{id}")), 10_900).includes("v2"));
    assert!(!tried, "sessions of the old version must be learned first");
}

#[test]
fn other_vms_evidence_counts_once_however_often_it_is_reported() {
    let mut rollouts = running();
    let evidence = |version: &str, ended, failed| RouteEvidence {
        service: "events".into(),
        version: version.into(),
        route: "tags".into(),
        seen: AttemptStats { ended, failed, ..AttemptStats::default() },
    };
    for _ in 0..50 {
        rollouts.merge_evidence(8, &evidence("", 100, 0));
        rollouts.merge_evidence(8, &evidence("v2", 10, 1));
    }
    assert_eq!(outcome(&mut rollouts, 6_000), RolloutOutcome::Running);
    for writer in 10..18 {
        rollouts.merge_evidence(writer, &evidence("v2", 4, 2));
    }
    assert_eq!(outcome(&mut rollouts, 6_000), RolloutOutcome::RolledBack);
}

#[test]
fn a_terminal_status_is_final() {
    let mut rollouts = running();
    let status = |outcome| RolloutStatus { service: "events".into(), version: "v2".into(), outcome };
    rollouts.record_status(status(RolloutOutcome::RolledBack));
    rollouts.record_status(status(RolloutOutcome::Succeeded));
    assert_eq!(allowed(&rollouts, "r", None, 1_000), AllowedVersions::Not("v2".into()));
    assert!(rollouts.is_settled(&status(RolloutOutcome::RolledBack)));
    assert!(rollouts.status_updates(BOUNDS, at(19_000)).is_empty());
}

#[test]
fn a_version_that_fails_as_often_as_the_old_one_is_not_rolled_back() {
    let mut mistaken = 0;
    for seed in 0..200u64 {
        let mut rollouts = running();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..400 {
            let version = if rng.random_bool(0.1) { "v2" } else { "v1" };
            answer(version, rng.random_bool(0.14), 50).record(&mut rollouts, 5_000);
        }
        mistaken += u32::from(outcome(&mut rollouts, 6_000) != RolloutOutcome::Running);
    }
    assert!(mistaken <= 4, "{mistaken} of 200 at the end; one in twenty is accepted over all evaluations");
}

#[test]
fn a_version_whose_answers_fail_by_a_third_more_is_found_within_fifty_bad_ones() {
    for seed in 0..200u64 {
        let mut rollouts = running();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bad = 0;
        while outcome(&mut rollouts, 6_000) == RolloutOutcome::Running {
            let version = if rng.random_bool(0.1) { "v2" } else { "v1" };
            let failed = rng.random_bool(if version == "v2" { 0.45 } else { 0.14 });
            bad += u32::from(failed && version == "v2");
            answer(version, failed, 50).record(&mut rollouts, 5_000);
            assert!(bad < 50, "seed {seed}");
        }
    }
}

/// Records answers of an old version, of which many are slow since the prompt prefix was not cached, and of a new
/// version that fails with a probability. Returns the number of the new version's answers until it was halted.
fn answers_until_halted(rollouts: &mut Rollouts, failure_rate: f64, max_answers: u32, seed: u64) -> Option<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut new = 0;
    while new < max_answers {
        let version = if rng.random_bool(0.08) { "v2" } else { "v1" };
        let millis = if rng.random_bool(0.3) { rng.random_range(400..900) } else { rng.random_range(60..160) };
        let failed = rng.random_bool(if version == "v2" { failure_rate } else { 0.01 });
        let kind = ["a/small", "a/large", "b/small", "b/large"][rng.random_range(0..4)];
        Answer { kind, ..answer(version, failed, millis) }.record(rollouts, 5_000);
        new += u32::from(version == "v2");
        if outcome(rollouts, 6_000) == RolloutOutcome::RolledBack {
            return Some(new);
        }
    }
    None
}

#[test]
fn failures_show_although_many_answers_of_both_versions_are_slow() {
    let halted = |seed| answers_until_halted(&mut running(), 0.35, 60, seed);
    let late = (0..100).filter(|seed| halted(*seed).is_none_or(|answers| answers > 40)).count();
    assert!(late <= 5, "{late} of 100 bad versions took more than 40 answers");
    let mistaken = (0..100).filter(|seed| answers_until_halted(&mut running(), 0.01, 60, *seed).is_some()).count();
    assert!(mistaken <= 5, "{mistaken} of 100 good versions were halted");
}

#[test]
fn a_version_that_shows_nothing_bad_stays_under_its_bound_until_the_deadline() {
    for (share, is_session) in [(0.1, true), (0.15, false), (0.15, true), (0.3, false), (0.5, true)] {
        let bounds = RolloutBounds { max_share: share, ..BOUNDS };
        let rollouts = running();
        let requests = 20_000;
        let new = (0..requests).filter(|millis| {
            let subject = format!("r{millis}");
            let session = is_session.then_some(subject.as_str());
            rollouts.allowed_versions("events", &subject, session, bounds, at(*millis)).includes("v2")
        });
        let exposed = new.count() as f64 / requests as f64;
        assert!(exposed < share, "{exposed} of {share}");
        assert!(exposed > share * 0.7, "{exposed} of {share}");
    }
}

#[test]
fn a_session_that_another_vm_keeps_at_the_old_version_stays_there() {
    let (mut here, mut there) = (running(), running());
    let candidates: Vec<String> =
        (0..4000).map(|id| format!("s{id}")).filter(|id| allowed(&here, "r", Some(id), 7_000).includes("v2")).collect();
    assert!(candidates.len() > 100);
    for session in &candidates {
        here.begin_session_request(session, "v1", at(4_000), at(4_000));
    }
    for millis in (6_000..6_900).step_by(100) {
        for affinity in here.next_session_report(BOUNDS, at(millis)) {
            there.merge_session(affinity, at(millis + 2));
        }
    }
    assert!(candidates.iter().all(|id| allowed(&there, "r", Some(id), 7_000) == AllowedVersions::Only("v1".into())));
    assert!(
        candidates.iter().all(|id| allowed(&there, "r", Some(id), 9_100) == AllowedVersions::Only("v2".into())),
        "ended"
    );
}

#[test]
fn no_session_tries_a_new_version_before_those_of_the_old_one_are_known() {
    let rollouts = running();
    assert!((0..4000).all(|id| !allowed(&rollouts, "r", Some(&format!("s{id}")), 1_900).includes("v2")));
}

#[test]
fn a_slow_version_is_found_among_requests_of_many_sizes() {
    for seed in 0..100u64 {
        let mut rollouts = running();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bad = 0;
        while outcome(&mut rollouts, 6_000) == RolloutOutcome::Running {
            let is_new = rng.random_bool(0.06);
            let size = rng.random_range(500.0..20_000.0f64);
            let is_slow = is_new && rng.random_bool(0.5);
            let millis = size / 60.0 * rng.random_range(0.5..2.0) * if is_slow { 8.0 } else { 1.0 };
            bad += u32::from(is_slow);
            let version = if is_new { "v2" } else { "v1" };
            Answer { millis, size, ..answer(version, false, 0) }.record(&mut rollouts, 5_000);
            assert!(bad < 50, "seed {seed}");
        }
    }
}

#[test]
fn a_reported_status_does_not_replace_a_terminal_one() {
    let mut rollouts = running();
    let status = |version: &str, outcome| RolloutStatus { service: "events".into(), version: version.into(), outcome };
    assert!(rollouts.merge_status(status("v2", RolloutOutcome::Running)));
    assert!(rollouts.merge_status(status("v2", RolloutOutcome::RolledBack)));
    assert!(!rollouts.merge_status(status("v2", RolloutOutcome::Running)));
    assert!(!rollouts.merge_status(status("v1", RolloutOutcome::Succeeded)));
    assert_eq!(rollouts.written_status("events"), Some(&status("v2", RolloutOutcome::RolledBack)));
}

#[test]
fn a_session_leaves_a_version_that_was_rolled_back_also_for_a_later_order() {
    let mut rollouts = running();
    rollouts.begin_session_request("s", "v2", at(4_000), at(4_000));
    let rolled_back =
        RolloutStatus { service: "events".into(), version: "v2".into(), outcome: RolloutOutcome::RolledBack };
    rollouts.record_status(rolled_back);
    assert_eq!(allowed(&rollouts, "r", Some("s"), 4_500), AllowedVersions::Not("v2".into()));
    assert!(rollouts.add_order(order("v3"), at(5_000)));
    assert_eq!(allowed(&rollouts, "r", Some("s"), 5_500), AllowedVersions::Not("v3".into()));
    assert!(rollouts.is_rolled_back("events", "v2") && !rollouts.is_rolled_back("events", "v1"));
    assert!(rollouts.add_order(order("v2"), at(6_000)), "ordered again");
}

#[test]
fn the_idle_time_of_a_session_counts_from_the_end_of_its_last_request() {
    let mut rollouts = running();
    rollouts.begin_session_request("s", "v1", at(4_000), at(4_000));
    rollouts.extend_session("s", "v1", at(8_000));
    assert_eq!(allowed(&rollouts, "r", Some("s"), 12_000), AllowedVersions::Only("v1".into()));
    assert_eq!(rollouts.session_time_left("s", BOUNDS, at(12_000)), Some(Duration::from_secs(1)));
    assert_eq!(rollouts.session_time_left("s", BOUNDS, at(13_500)), None);
}

/// Guards against sessions that move just before their idle timeout: with a timeout of 5 s, requests ran on another
/// version 4.99 s after the last one. Callers were told to retry at the end of the session by the VM's clock, which
/// starts the idle time before the caller has received the end of the answer.
#[test]
fn the_retry_delay_exceeds_the_time_until_the_session_ends() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let left = Duration::from_secs(2);
    assert!(retry_delay(RetryReason::SessionVersionGone { left }, &mut rng) >= left + Duration::from_millis(50));
}

/// Guards against a caller being refused again after its session has ended: the end of the refused request counted as
/// the end of a served one.
#[test]
fn a_refused_request_does_not_prolong_its_session() {
    let mut rollouts = running();
    rollouts.begin_session_request("s", "v1", at(10_000), at(4_000));
    rollouts.mark_session_idle("s", at(5_000));
    rollouts.mark_session_idle("s", at(9_000));
    assert_eq!(rollouts.session_time_left("s", BOUNDS, at(9_000)), Some(Duration::from_secs(1)));
}
