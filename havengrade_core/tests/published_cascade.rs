//! Second runs of low-confidence answers under load.
//!
//! Load pattern: the endpoints of a service share three models, and half of the answers of the smallest one have low
//! confidence. On a quiet day 500 to 2,500 prompt tokens wait at the mean endpoint; in a shortage 4,000 to 9,000, in
//! swings that are shorter than the time that a second run takes. If all low-confidence answers are replaced then, the
//! largest model delays every request beyond its longest pause.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    congestion::{CongestionTracker, EndpointWork, congestion, mean_waiting_tokens, mean_waiting_tokens_of_all},
    model_choice::{Escalation, EscalationInput, KeepReason, confidence_threshold, decide_escalation},
    peers::{Peer, Peers, REPORT_LIFETIME, Work, WorkReport},
    read_rate::ReadRates,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

const START: SystemTime = SystemTime::UNIX_EPOCH;
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// Interval between two reports of a VM.
const INTERVAL: Duration = Duration::from_millis(400);
/// Requests at an endpoint in the load pattern.
const REQUESTS: u32 = 10;
const DOMAINS: usize = 3;
const MIN_ENDPOINTS_PER_DOMAIN: usize = 20;

fn at(millis: u64) -> SystemTime {
    START + Duration::from_millis(millis)
}

fn share_of_pause(tokens: f64) -> f64 {
    congestion(ReadRates::default().time_to_read("models", tokens), Some(LONGEST_PAUSE), Duration::from_secs(2))
}

fn input(confidence: u8, congestion: f64) -> EscalationInput {
    EscalationInput {
        confidence,
        priority: 0,
        congestion,
        first_event_in: Duration::from_millis(500),
        time_to_target: Duration::from_secs(2),
        time_left: Duration::from_secs(6),
    }
}

fn work(requests: u32, tokens: u32) -> Work {
    Work { requests, tokens, memory_tokens: 0 }
}

fn endpoint(failure_domain: &str, reported: Work) -> EndpointWork<'_> {
    EndpointWork { failure_domain, own: Work::default(), reported }
}

/// Congestion of 20 endpoints at which so many prompt tokens wait.
fn load(tokens: u32) -> f64 {
    let endpoints = vec![endpoint("d1", work(REQUESTS, tokens)); MIN_ENDPOINTS_PER_DOMAIN];
    share_of_pause(mean_waiting_tokens(endpoints, "d1", 1.0))
}

#[test]
fn each_low_confidence_answer_is_replaced_at_low_load() {
    for confidence in 0..50 {
        for priority in 0..=2 {
            let calm = EscalationInput { priority, ..input(confidence, load(500)) };
            assert_eq!(decide_escalation(&calm), Escalation::Run, "confidence {confidence}, priority {priority}");
            let late = EscalationInput { time_to_target: Duration::ZERO, ..calm };
            assert_eq!(decide_escalation(&late), Escalation::Run, "late, confidence {confidence}");
        }
    }
}

#[test]
fn only_answers_that_are_almost_certainly_wrong_are_replaced_in_a_shortage() {
    for tokens in [4000, 6000, 9000] {
        assert_eq!(decide_escalation(&input(9, load(tokens))), Escalation::Run, "{tokens} tokens");
        assert_eq!(
            decide_escalation(&input(10, load(tokens))),
            Escalation::Keep(KeepReason::Congested),
            "{tokens} tokens"
        );
    }
    assert_eq!(decide_escalation(&input(0, load(16_000))), Escalation::Keep(KeepReason::Congested));
}

#[test]
fn the_threshold_stays_low_between_the_waves_of_a_shortage() {
    let mut tracker = CongestionTracker::default();
    let waves = [6000.0, 1000.0, 5000.0, 800.0, 7000.0, 1200.0];
    for (index, tokens) in waves.into_iter().enumerate() {
        let smoothed = tracker.record("models", tokens, START + INTERVAL * index as u32);
        assert!(confidence_threshold(share_of_pause(smoothed), 1) < 20.0, "wave {index}: {smoothed} tokens");
    }
    let calm = tracker.record("models", 500.0, at(6000));
    assert_eq!(confidence_threshold(share_of_pause(calm), 1), 50.0, "the shortage is over");
}

#[test]
fn a_stronger_run_that_comes_too_late_is_started_only_for_answers_that_are_almost_certainly_wrong() {
    let late = |confidence| EscalationInput {
        first_event_in: Duration::from_millis(1500),
        time_to_target: Duration::from_millis(1400),
        ..input(confidence, 0.2)
    };
    assert_eq!(decide_escalation(&late(20)), Escalation::Keep(KeepReason::TooLate));
    assert_eq!(decide_escalation(&late(9)), Escalation::Run);
    let in_time = EscalationInput { time_to_target: Duration::from_secs(2), ..late(20) };
    assert_eq!(decide_escalation(&in_time), Escalation::Run);
}

#[test]
fn a_run_that_can_not_begin_within_the_time_limit_is_never_started() {
    for congestion in [0.0, 0.5] {
        let hopeless = EscalationInput { time_left: Duration::from_millis(500), ..input(0, congestion) };
        assert_eq!(decide_escalation(&hopeless), Escalation::Keep(KeepReason::NoTimeLeft));
    }
}

/// Guards against low-confidence answers that are kept in calm in a small fleet: of 18 endpoints in four failure domains,
/// three busy ones in one domain looked like a shortage, since VMs of a small fleet know the work of all VMs.
#[test]
fn a_few_busy_endpoints_are_no_shortage_in_a_small_fleet() {
    let mut endpoints = vec![endpoint("d1", work(5, 6000)); 3];
    endpoints.extend(vec![endpoint("d2", work(3, 1200)); 15]);
    let known = mean_waiting_tokens_of_all(endpoints.iter().copied());
    assert_eq!(confidence_threshold(share_of_pause(known), 0), 50.0, "{known} tokens");
    let shortage = mean_waiting_tokens_of_all(vec![endpoint("d1", work(20, 12_000)); 18]);
    assert_eq!(confidence_threshold(share_of_pause(shortage), 0), 10.0, "{shortage} tokens");
}

#[test]
fn work_of_single_requests_is_no_congestion() {
    let endpoints = [endpoint("d1", work(1, 9190)), endpoint("d1", work(1, 9190))];
    assert_eq!(mean_waiting_tokens(endpoints, "d1", 1.0), 0.0);
}

#[test]
fn a_pause_below_the_time_of_one_prompt_does_not_count_as_congested() {
    let waiting = ReadRates::default().time_to_read("models", 700.0);
    assert!(congestion(waiting, Some(Duration::from_millis(40)), Duration::from_millis(600)) < 0.15);
}

#[test]
fn without_usable_endpoints_in_the_own_domain_the_others_count() {
    let others = [endpoint("d2", work(REQUESTS, 9000)), endpoint("d3", work(REQUESTS, 3000))];
    assert_eq!(mean_waiting_tokens(others, "d1", 1.0), 6600.0);
    assert_eq!(mean_waiting_tokens([], "d1", 1.0), 0.0);
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn more_congestion_and_less_urgency_never_raise_the_threshold(
        congestion in 0.0..2.0f64, more in 0.0..1.0f64, priority in 0u8..8, later in 0u8..8,
    ) {
        let threshold = confidence_threshold(congestion, priority);
        prop_assert!((0.0..=50.0).contains(&threshold));
        prop_assert!(confidence_threshold(congestion + more, priority.saturating_add(later)) <= threshold);
    }
}

fn peer(index: usize) -> Peer {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80));
    Peer { vm: format!("vm-{index}"), incarnation: 1, address, failure_domain: format!("d{}", index % DOMAINS) }
}

fn endpoint_id(domain: usize, index: usize) -> String {
    format!("e{domain}-{index}")
}

/// Endpoints of a domain in a fleet with this number of VMs; large fleets have as many endpoints as VMs.
fn endpoints_per_domain(vms: usize) -> usize {
    (vms / DOMAINS).max(MIN_ENDPOINTS_PER_DOMAIN)
}

/// What a VM reports if `mean_tokens` wait at the mean endpoint, and each VM has requests at three of its domain.
fn report(index: usize, seq: u64, vms: usize, mean_tokens: f64, rng: &mut ChaCha8Rng) -> WorkReport {
    let vms_per_domain = vms as f64 / DOMAINS as f64;
    let endpoints = endpoints_per_domain(vms);
    let tokens = (mean_tokens * endpoints as f64 / vms_per_domain / 3.0) as u32;
    let id = |at| endpoint_id(index % DOMAINS, at);
    let work = (0..3).map(|_| (id(rng.random_range(0..endpoints)), work(2, tokens))).collect();
    WorkReport { peer: peer(index), seq, work }
}

/// What the first VM of a fleet knows after reports were sent for longer than their lifetime.
fn known_after_reports(vms: usize, mean_tokens: f64, lost: f64, rng: &mut ChaCha8Rng) -> Peers {
    let (mut fleet, mut known) = (Peers::default(), Peers::default());
    (0..vms).for_each(|index| fleet.add_listed(peer(index), START));
    (1..vms).for_each(|index| known.add_listed(peer(index), START));
    for round in 0..8u32 {
        for index in 1..vms {
            let is_target = fleet.report_targets(&peer(index).failure_domain, rng).contains(&peer(0).address);
            if is_target && !rng.random_bool(lost) {
                let report = report(index, u64::from(round), vms, mean_tokens, rng);
                known.apply_report(report, START + INTERVAL * round);
            }
        }
    }
    known
}

fn known_tokens(known: &Peers) -> f64 {
    let endpoints =
        (0..endpoints_per_domain(known.len())).map(|index| endpoint("d0", known.work(&endpoint_id(0, index))));
    mean_waiting_tokens(endpoints, "d0", known.report_coverage("d0", INTERVAL))
}

/// In large fleets a VM gets reports from a part of the others only, so that a shortage would look like low load.
#[test]
fn a_shortage_is_recognized_in_fleets_of_all_sizes() {
    for vms in [7, 69, 300, 1000] {
        let mut rng = ChaCha8Rng::seed_from_u64(vms as u64);
        let shortage = known_tokens(&known_after_reports(vms, 7000.0, 0.0, &mut rng));
        assert!(confidence_threshold(share_of_pause(shortage), 0) <= 10.0, "{vms} VMs: {shortage} tokens");
        let calm = known_tokens(&known_after_reports(vms, 300.0, 0.0, &mut rng));
        assert!(confidence_threshold(share_of_pause(calm), 1) >= 40.0, "{vms} VMs: {calm} tokens");
    }
}

#[test]
fn lost_reports_lead_back_to_the_threshold_of_low_load() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let few_lost = known_tokens(&known_after_reports(69, 7000.0, 0.3, &mut rng));
    assert!(confidence_threshold(share_of_pause(few_lost), 0) <= 10.0, "{few_lost} tokens");
    let mut known = known_after_reports(69, 7000.0, 0.0, &mut rng);
    let mut tracker = CongestionTracker::default();
    tracker.record("models", known_tokens(&known), at(3000));
    known.expire(at(3000) + REPORT_LIFETIME);
    let without_reports = tracker.record("models", known_tokens(&known), at(3000) + REPORT_LIFETIME);
    let threshold = confidence_threshold(share_of_pause(without_reports), 0);
    assert_eq!(threshold, 50.0, "{without_reports} tokens");
}

/// Work that a lost VM reported no longer counts, so that its requests don't keep the congestion up.
#[test]
fn work_of_a_lost_vm_does_not_count_longer_than_its_last_report() {
    let mut known = Peers::default();
    let work = vec![(endpoint_id(0, 0), work(40, 200_000))];
    known.apply_report(WorkReport { peer: peer(3), seq: 1, work }, START);
    assert!(known_tokens(&known) > 10_000.0);
    known.expire(START + REPORT_LIFETIME);
    assert_eq!(known_tokens(&known), 0.0);
}
