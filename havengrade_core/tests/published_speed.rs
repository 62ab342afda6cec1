//! Load: endpoints whose speeds differ by a factor of 2.7 (0.6, 1 and 1.6 times the usual time), of which each VM sees four
//! answers a second, and single endpoints that become slow and recover. Times vary at random, by more than the speeds.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    endpoint_selection::EndpointState,
    published::{
        directory::ListedEndpoint,
        endpoint_speed::{EndpointSpeeds, ReportedSpeed, SpeedKind, SpeedSample},
        peers::{Peer, Peers, Work, WorkReport},
        placement::{Candidate, PlacementContext, Prompt, place},
        read_rate::ReadRates,
        time_histogram::Load,
    },
};
use rand::{RngExt as _, seq::IteratorRandom as _};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

/// Interval between two reports of a VM.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of VMs that receive a report.
const REPORT_TARGETS: usize = 23;
/// Answers that a VM of a large fleet gets between two of its reports.
const ANSWERS_PER_REPORT: f64 = 1.6;
/// Answers that all VMs of a small fleet get in this time.
const ANSWERS_OF_SMALL_FLEET: f64 = 100.0;
/// Number of endpoints in use.
const ENDPOINTS: usize = 60;
/// Highest random factor of a time, in either direction.
const SPREAD: f64 = 3.0;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

fn endpoint(index: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{index:02}"),
        service: "models".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        failure_domain: "d1".into(),
        version: "v1".into(),
        slots: 4,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: Some(1),
    }
}

fn speeds_of(endpoints: &[ListedEndpoint]) -> EndpointSpeeds {
    let mut speeds = EndpointSpeeds::default();
    speeds.retain_listed(endpoints.iter(), at(0));
    speeds
}

fn sample(endpoint: &ListedEndpoint, seconds: f64) -> SpeedSample<'_> {
    let time = Duration::from_secs_f64(seconds);
    let kind = SpeedKind::PerEvent;
    SpeedSample { endpoint, model: Some("small"), load: Load::Light, kind, work: 1.0, time, is_complete: true }
}

/// VMs that send requests to random endpoints and exchange reports.
struct Fleet {
    endpoints: Vec<ListedEndpoint>,
    vms: Vec<EndpointSpeeds>,
    /// Share of the reports that get lost.
    loss: f64,
    now: SystemTime,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(vms: usize, loss: f64) -> Self {
        let endpoints: Vec<ListedEndpoint> = (0..ENDPOINTS).map(endpoint).collect();
        let vms = (0..vms).map(|_| speeds_of(&endpoints)).collect();
        Self { endpoints, vms, loss, now: at(0), rng: ChaCha8Rng::seed_from_u64(7) }
    }

    /// Runs for a time in which endpoint `i` takes `pace(i)` times as long as usual.
    fn run(&mut self, time: Duration, pace: impl Fn(usize) -> f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += REPORT_INTERVAL;
            for vm in 0..self.vms.len() {
                self.answer(vm, &pace);
                self.report(vm);
            }
        }
    }

    fn answer(&mut self, vm: usize, pace: &impl Fn(usize) -> f64) {
        let answers = ANSWERS_PER_REPORT.max(ANSWERS_OF_SMALL_FLEET / self.vms.len() as f64);
        let more = u32::from(self.rng.random_bool(answers.fract()));
        for _ in 0..answers as u32 + more {
            let index = self.rng.random_range(0..self.endpoints.len());
            for kind in [SpeedKind::FirstEvent, SpeedKind::PerEvent] {
                let seconds = 0.05 * pace(index) * SPREAD.powf(self.rng.random_range(-1.0..1.0));
                let sample = SpeedSample { kind, ..sample(&self.endpoints[index], seconds) };
                self.vms[vm].record_sample(sample, self.now);
            }
        }
    }

    fn report(&mut self, vm: usize) {
        self.vms[vm].take_changes(self.now);
        let report = self.vms[vm].next_report(self.now);
        assert!(report.len() <= 16);
        for to in (0..self.vms.len()).filter(|to| *to != vm).sample(&mut self.rng, REPORT_TARGETS) {
            if !self.rng.random_bool(self.loss) {
                self.vms[to].merge_reported(report.clone(), self.now);
            }
        }
    }

    /// Factors of the endpoints that `is_meant`, at up to twenty VMs.
    fn factors(&self, is_meant: impl Fn(usize) -> bool) -> Vec<f64> {
        let meant: Vec<&ListedEndpoint> = (0..ENDPOINTS).filter(|i| is_meant(*i)).map(|i| &self.endpoints[i]).collect();
        let some = self.vms.iter().step_by(self.vms.len().div_ceil(20));
        some.flat_map(|vm| meant.iter().map(|endpoint| vm.slowness(endpoint, self.now))).collect()
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn share(values: &[f64], of: impl Fn(f64) -> bool) -> f64 {
    values.iter().filter(|value| of(**value)).count() as f64 / values.len() as f64
}

const UNEVEN: [f64; 3] = [0.6, 1.0, 1.6];

/// Guards against VMs of any fleet that see too few answers to tell slow endpoints, also if a third of the reports are
/// lost.
#[test]
fn vms_of_fleets_of_all_sizes_learn_which_endpoints_are_slow() {
    for (vms, loss) in [(7, 0.0), (69, 0.0), (69, 0.3), (300, 0.0), (1000, 0.0)] {
        let mut fleet = Fleet::new(vms, loss);
        fleet.run(Duration::from_secs(20), |i| UNEVEN[i % 3]);
        let [fast, usual, slow] = [0, 1, 2].map(|group| fleet.factors(|i| i % 3 == group));
        let means = [mean(&fast), mean(&usual), mean(&slow)];
        assert!(means[2] > 1.25 * means[1] && means[1] > 1.15 * means[0], "{vms} VMs, {loss} lost: {means:?}");
        assert_eq!(share(&fast, |factor| factor > 1.0), 0.0, "{vms} VMs: fast endpoints that count as slow");
        assert_eq!(share(&slow, |factor| factor < 1.0), 0.0, "{vms} VMs: slow endpoints that count as fast");
    }
}

/// Guards against random differences that send the requests of other deployments elsewhere, and against a change of load
/// that is taken for slowness.
#[test]
fn endpoints_of_equal_speed_count_as_equal_also_while_the_load_changes() {
    for vms in [7, 69, 300, 1000] {
        let mut fleet = Fleet::new(vms, 0.0);
        for pace in [1.0, 3.0, 1.0] {
            fleet.run(Duration::from_secs(8), |_| pace);
            let factors = fleet.factors(|_| true);
            let other = share(&factors, |factor| factor != 1.0);
            // Three standard errors are exceeded by chance in 0.003 of the cases; those of VMs that share reports are
            // not independent.
            assert!(other < 0.01, "{vms} VMs: {other} of the factors differ from 1");
            assert!(share(&factors, |factor| factor > 1.5) < 0.003, "{vms} VMs: endpoints that count as slow");
        }
    }
}

/// Guards against an endpoint that is avoided although it has recovered.
#[test]
fn a_recovery_shows_with_and_without_samples() {
    let mut fleet = Fleet::new(69, 0.0);
    fleet.run(Duration::from_secs(20), |i| if i == 5 { 3.0 } else { 1.0 });
    assert!(fleet.factors(|i| i == 5).iter().all(|factor| *factor > 1.8), "{:?}", fleet.factors(|i| i == 5));
    let learned = fleet.vms[0].clone();
    let later = fleet.now + Duration::from_secs(75);
    assert_eq!(learned.slowness(&fleet.endpoints[5], later), 1.0, "no samples");
    fleet.run(Duration::from_secs(30), |_| 1.0);
    assert!(mean(&fleet.factors(|i| i == 5)) < 1.3, "{:?}", fleet.factors(|i| i == 5));
}

/// An endpoint that one VM knows to be slow, and another one.
fn known_as_slow() -> (EndpointSpeeds, [ListedEndpoint; 2]) {
    let endpoints = [endpoint(0), endpoint(1)];
    let mut speeds = speeds_of(&endpoints);
    for _ in 0..4 {
        let slow = ReportedSpeed { endpoint: "e00".into(), slowness: 3.0, samples: 20 };
        let usual = ReportedSpeed { endpoint: "e01".into(), slowness: 1.0, samples: 30 };
        speeds.merge_reported(vec![slow, usual], at(0));
    }
    assert!(speeds.slowness(&endpoints[0], at(0)) > 2.0);
    (speeds, endpoints)
}

/// Guards against a new process that is taken for its slow predecessor.
#[test]
fn a_factor_ends_with_the_start_the_version_or_the_listing_of_its_endpoint() {
    let restarted = ListedEndpoint { start: Some(2), ..endpoint(0) };
    let updated = ListedEndpoint { version: "v2".into(), ..endpoint(0) };
    for listed in [vec![restarted], vec![updated], vec![]] {
        let (mut speeds, [slow, other]) = known_as_slow();
        speeds.retain_listed(listed.iter().chain([&other]), at(10));
        speeds.retain_listed([listed.first().unwrap_or(&slow), &other].into_iter(), at(20));
        assert!(listed.iter().all(|endpoint| speeds.slowness(endpoint, at(20)) == 1.0));
        // An answer of the process before, and its reported slowness, come late.
        if !listed.is_empty() {
            assert!(!speeds.record_sample(sample(&slow, 9.0), at(30)));
            speeds.record_reported(&slow, 2.5, at(30));
        }
        assert!(listed.iter().all(|endpoint| speeds.slowness(endpoint, at(30)) == 1.0));
    }
    let (mut speeds, endpoints) = known_as_slow();
    speeds.retain_listed(endpoints.iter(), at(10));
    assert!(speeds.slowness(&endpoints[0], at(10)) > 2.0, "a list without change keeps the factor");
}

/// Guards against measurements that count twice: by a repeated report, by a report that is passed on, or by a VM that
/// reports them again.
#[test]
fn a_measurement_counts_once() {
    let endpoints = [endpoint(0), endpoint(1)];
    let mut speeds = speeds_of(&endpoints);
    for _ in 0..40 {
        speeds.record_sample(sample(&endpoints[0], 0.05), at(0));
    }
    let report = speeds.next_report(at(0));
    assert_eq!(report.len(), 1);
    assert_eq!(speeds.next_report(at(0)), [], "reported once");
    let mut other = speeds_of(&endpoints);
    other.merge_reported(report, at(0));
    assert_eq!(other.next_report(at(0)), [], "not passed on");
    let address = SocketAddr::from(([10, 0, 0, 2], 80));
    let peer = Peer { vm: "vm-2".into(), incarnation: 1, address, failure_domain: "d1".into() };
    let received = WorkReport { peer, seq: 3, work: Vec::new() };
    let mut peers = Peers::default();
    assert!(peers.apply_report(received.clone(), at(0)));
    assert!(!peers.apply_report(received, at(1)), "a duplicate is not new");
}

/// Guards against a faulty VM or endpoint that makes others useless by absurd figures.
#[test]
fn absurd_figures_are_bounded() {
    let endpoints = [endpoint(0), endpoint(1)];
    let mut speeds = speeds_of(&endpoints);
    let entry = |slowness| ReportedSpeed { endpoint: "e00".into(), slowness, samples: u32::MAX };
    speeds.merge_reported(vec![entry(f64::NAN), entry(0.0), entry(-1.0)], at(0));
    assert_eq!(speeds.slowness(&endpoints[0], at(0)), 1.0);
    for _ in 0..50 {
        speeds.merge_reported(vec![entry(1e9)], at(0));
    }
    let factor = speeds.slowness(&endpoints[0], at(0));
    assert!(factor > 3.5 && factor <= 4.0, "{factor}");
    for _ in 0..5 {
        let fast = ReportedSpeed { endpoint: "e00".into(), slowness: 1.0, samples: 32 };
        speeds.merge_reported(vec![fast], at(0));
    }
    assert!(speeds.slowness(&endpoints[0], at(0)) < 2.0, "later reports count as much");
    speeds.record_reported(&endpoints[1], 1e9, at(0));
    assert_eq!(speeds.slowness(&endpoints[1], at(0)), 4.0);
    assert!(!speeds.record_sample(sample(&endpoints[1], 0.0), at(0)));
}

/// Guards against an endpoint that is too slow to answer in time and therefore has no samples.
#[test]
fn waits_without_an_answer_count_only_if_they_exceed_the_expected_time() {
    let endpoints = [endpoint(0), endpoint(1)];
    let mut speeds = speeds_of(&endpoints);
    for _ in 0..40 {
        speeds.record_sample(sample(&endpoints[1], 0.1), at(0));
    }
    let wait = |seconds| SpeedSample { is_complete: false, ..sample(&endpoints[0], seconds) };
    assert!(!speeds.record_sample(wait(0.05), at(0)));
    assert_eq!(speeds.slowness(&endpoints[0], at(0)), 1.0);
    for _ in 0..12 {
        assert!(speeds.record_sample(wait(0.4), at(0)));
    }
    assert!(speeds.slowness(&endpoints[0], at(0)) > 1.5);
}

/// Guards against a short slow-down of the machine that is learned as the speed of the endpoint.
#[test]
fn reported_slowness_applies_for_a_short_time_and_is_not_learned() {
    let endpoints = [endpoint(0), endpoint(1)];
    let mut speeds = speeds_of(&endpoints);
    for _ in 0..60 {
        speeds.record_sample(sample(&endpoints[1], 0.1), at(0));
        speeds.record_reported(&endpoints[0], 2.5, at(0));
        speeds.record_sample(sample(&endpoints[0], 0.25), at(0));
    }
    assert_eq!(speeds.slowness(&endpoints[0], at(599)), 2.5);
    assert_eq!(speeds.slowness(&endpoints[0], at(600)), 1.0);
}

/// Guards against operators who do not see why an endpoint gets few requests, and against a line for each report.
#[test]
fn an_endpoint_that_becomes_slow_is_told_once() {
    let (mut speeds, _) = known_as_slow();
    let changes = speeds.take_changes(at(0));
    assert_eq!(
        changes.iter().map(|change| (change.endpoint.as_str(), change.is_slow)).collect::<Vec<_>>(),
        [("e00", true)]
    );
    assert_eq!((speeds.take_changes(at(400)), speeds.slow_count()), (Vec::new(), 1));
    let changes = speeds.take_changes(at(200_000));
    assert!(changes.len() == 1 && !changes[0].is_slow && speeds.slow_count() == 0, "{changes:?}");
}

fn candidate(endpoint: &ListedEndpoint, requests: u32, tokens: u32, slowness: f64) -> Candidate<'_> {
    let work = Work { requests, tokens, memory_tokens: 0 };
    Candidate { endpoint, state: EndpointState::default(), work, cached_tokens: 0, slowness, free_tokens: None }
}

fn placed(candidates: &[Candidate<'_>], prompt: Option<&Prompt>, seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let now = at(0);
    let context = PlacementContext { failure_domain: "d1", tried: &[], sees_all_work: true, prompt, now };
    place(candidates, context, &mut rng).unwrap().endpoint.id.clone()
}

/// Guards against an idle slow endpoint that looks as good as an idle fast one, and against a factor that excludes an
/// endpoint.
#[test]
fn requests_prefer_fast_endpoints_until_their_work_takes_as_long() {
    let endpoints = [endpoint(0), endpoint(1)];
    let prompt = Prompt { shared_prefix: None, shared_tokens: 0, own_tokens: 1000, sent_tokens: 1000 };
    for prompt in [None, Some(&prompt)] {
        let ids = |fast_requests, fast_tokens| -> Vec<String> {
            let fast = candidate(&endpoints[1], fast_requests, fast_tokens, 1.0);
            let both = [candidate(&endpoints[0], 0, 0, 2.5), fast];
            (0..20).map(|seed| placed(&both, prompt, seed)).collect()
        };
        // A generation considers a few random endpoints, which may be the same one.
        assert!(ids(0, 0).iter().filter(|id| *id == "e01").count() >= 18);
        assert!(ids(3, 6000).iter().filter(|id| *id == "e00").count() >= 18);
    }
}

/// Guards against an endpoint with more slots that is preferred, or no longer preferred, by the added request.
#[test]
fn occupancy_at_endpoints_of_equal_speed_depends_on_known_requests_only() {
    let large = ListedEndpoint { slots: 40, ..endpoint(0) };
    let small = endpoint(1);
    let idle = [candidate(&large, 0, 0, 1.0), candidate(&small, 0, 0, 1.0)];
    let chosen: std::collections::BTreeSet<String> = (0..20).map(|seed| placed(&idle, None, seed)).collect();
    assert_eq!(chosen.len(), 2, "both are equally free");
}

/// Guards against a learned rate that other delays spoil, and against one that stays at the default.
#[test]
fn the_read_rate_is_learned_for_each_service_and_bounded() {
    let mut rates = ReadRates::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..300 {
        let tokens = if rng.random_bool(0.5) { 200.0 } else { 4000.0 };
        let seconds = 0.03 + tokens * 150e-6 * rng.random_range(0.5..1.5);
        rates.record("slow", tokens, Duration::from_secs_f64(seconds * 1.6), 1.6);
        rates.record("stuck", tokens, Duration::from_secs(60), 1.0);
        rates.record("stuck", tokens, Duration::from_millis(10), 1.0);
    }
    let learned = rates.time_to_read("slow", 1000.0);
    assert!(learned > Duration::from_millis(115) && learned < Duration::from_millis(165), "{learned:?}");
    assert!(rates.time_to_read("stuck", 1000.0) <= Duration::from_millis(750));
    assert_eq!(rates.time_to_read("other", 1000.0), Duration::from_millis(75));
}
