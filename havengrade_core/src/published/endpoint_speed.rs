//! Speed of endpoints: how much longer work takes at each one than at an average endpoint of its service.
//!
//! A measured time is compared with the mean of the same service, model, load and kind at this VM. The logarithms of the
//! ratios are averaged for each endpoint; older ones count less. VMs report to each other only what they measured
//! themselves since their last report, so that no measurement counts twice. The median of a service is subtracted, so that
//! a change of load that concerns all endpoints is not taken for slowness. The slowness that an endpoint reports about
//! itself applies in addition, for a short time.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, ModelId, ServiceId},
    published::{
        directory::{EndpointStart, ListedEndpoint, SoftwareVersion},
        time_histogram::Load,
    },
};

/// Smallest and largest factor; a larger ratio is rather a fault of the endpoint than its speed.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);
/// Time for which the slowness that an endpoint reports applies: machines slow down for about this time.
const REPORTED_LIFETIME: Duration = Duration::from_millis(600);
/// Time in which the weight of a measurement halves. A VM learns of one or two measurements per endpoint and second, and
/// needs some twenty of them; a longer time would hide a recovery.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Weight of the assumption that an endpoint is as fast as the others, in measurements.
const PRIOR_WEIGHT: f64 = 2.0;
/// Weight of the measurements from which it is known whether an endpoint is as fast as the others: a factor of 1.5 nearly
/// always shows by then.
const KNOWN_WEIGHT: f64 = 16.0;
/// Weight of the measurements from which a factor applies. Fewer ones may have been delayed by the same long prompt at
/// the endpoint.
const MIN_WEIGHT: f64 = 8.0;
/// Highest weight of the measurements of an endpoint, so that a change shows although many are known.
const MAX_WEIGHT: f64 = 150.0;
/// Variance of the logarithm of a measurement that has weight 1.
const UNIT_VARIANCE: f64 = 0.25;
/// Highest weight of one measurement: even exact times depend on what else runs at the endpoint.
const MAX_SAMPLE_WEIGHT: f64 = 2.0;
/// Factors from the inverse of this value up to this value count as 1, so that endpoints of equal speed are chosen by
/// their load alone.
const DEAD_BAND: f64 = 1.1;
/// Number of standard errors by which a factor has to differ from 1. At 3, endpoints of equal speed differ by chance in
/// 3 of 1,000 cases.
const SIGNIFICANCE: f64 = 3.0;
/// Number of measurements after which the mean of a kind is used; before, a ratio to it would say little.
const MIN_BASELINE_SAMPLES: u32 = 8;
/// Number of recent measurements over which the mean of a kind is taken, some five seconds of a VM's requests.
const BASELINE_WINDOW: u32 = 32;
/// Highest number of kinds whose means are kept. The models of a request may be named by its caller.
const MAX_BASELINES: usize = 256;
/// Highest number of endpoints in a report, for which there is room in one packet.
const MAX_REPORTED: usize = 16;
/// Highest weight that an entry of a report may have, so that a faulty VM does not outweigh the others.
const MAX_REPORTED_WEIGHT: u32 = 32;
/// Learned factor from which an endpoint counts as slow in the log and the metrics.
const SLOW: f64 = 1.5;
/// Learned factor below which a slow endpoint no longer counts as slow; the distance avoids repeated log lines.
const NO_LONGER_SLOW: f64 = 1.3;

/// The speed of an endpoint, as an entry of a report: the mean of the sender's own measurements since its last report.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedSpeed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How much longer work takes there than at an average endpoint of the service; above 0.
    pub slowness: f64,
    /// Number of measurements, where one with twice the usual variance counts half.
    pub samples: u32,
}

/// What was measured. Only times of the same kind are compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SpeedKind {
    /// Time to the first event of a stream, divided by the tokens to be read before it.
    FirstEvent,
    /// Time per event of a stream.
    PerEvent,
    /// Time to the whole answer of a plain request.
    WholeAnswer,
}

/// A measured time.
#[derive(Clone, Copy, Debug)]
pub struct SpeedSample<'a> {
    /// The endpoint, as it was listed when the request was sent.
    pub endpoint: &'a ListedEndpoint,
    /// The model.
    pub model: Option<&'a str>,
    /// Load of the endpoint when the request was sent.
    pub load: Load,
    /// What was measured.
    pub kind: SpeedKind,
    /// Work to which the time is proportional, in any unit that is the same for all times of the kind.
    pub work: f64,
    /// The time.
    pub time: Duration,
    /// Whether the work was done by then; otherwise the time is a lower bound.
    pub is_complete: bool,
}

/// An endpoint that became slow or is no longer slow by its learned factor.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its learned factor.
    pub slowness: f64,
    /// Weight of the measurements that it rests on.
    pub samples: f64,
    /// Whether it is slow from now on.
    pub is_slow: bool,
}

/// A sum of logarithms of ratios whose weight decreases with time.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    sum: f64,
    weight: f64,
    at: SystemTime,
}

impl DecayingSum {
    fn new(now: SystemTime) -> Self {
        Self { sum: 0.0, weight: 0.0, at: now }
    }

    fn at(self, now: SystemTime) -> Self {
        let age = now.duration_since(self.at).unwrap_or_default();
        let share = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self { sum: self.sum * share, weight: self.weight * share, at: now.max(self.at) }
    }

    fn add(&mut self, log_ratio: f64, weight: f64, now: SystemTime) {
        *self = self.at(now);
        self.sum += log_ratio * weight;
        self.weight += weight;
        let excess = (self.weight / MAX_WEIGHT).max(1.0);
        self.sum /= excess;
        self.weight /= excess;
    }

    /// The sum that the same measurements would have in relation to another mean.
    fn relative_to(self, median: f64) -> Self {
        Self { sum: self.sum - median * self.weight, ..self }
    }

    /// The logarithm of the estimated factor, which approaches 0 without measurements.
    fn log_factor(self) -> f64 {
        self.sum / (self.weight + PRIOR_WEIGHT)
    }

    /// The factor; 1 unless it clearly differs from 1.
    fn factor(self) -> f64 {
        if self.weight < MIN_WEIGHT {
            return 1.0;
        }
        let log_factor = self.log_factor();
        let standard_error = (UNIT_VARIANCE * self.weight).sqrt() / (self.weight + PRIOR_WEIGHT);
        if log_factor.abs() <= DEAD_BAND.ln().max(standard_error * SIGNIFICANCE) {
            return 1.0;
        }
        log_factor.exp().clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }
}

/// Mean and variance of the logarithms of recent times of a kind, as if all endpoints were equally fast.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl Baseline {
    fn record(&mut self, value: f64) {
        self.samples = (self.samples + 1).min(BASELINE_WINDOW);
        let share = 1.0 / f64::from(self.samples);
        let difference = value - self.mean;
        self.mean += difference * share;
        // The initial variance counts as one measurement.
        self.variance += (difference * difference - self.variance) / f64::from(self.samples + 1);
    }

    fn sample_weight(&self) -> f64 {
        (UNIT_VARIANCE / self.variance.max(f64::EPSILON)).min(MAX_SAMPLE_WEIGHT)
    }
}

/// What is compared with each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BaselineKey {
    service: ServiceId,
    model: Option<ModelId>,
    is_light: bool,
    kind: SpeedKind,
}

/// What is known of a process of an endpoint.
#[derive(Clone, Debug)]
struct SpeedState {
    service: ServiceId,
    start: Option<EndpointStart>,
    version: SoftwareVersion,
    /// Measurements of all VMs.
    learned: DecayingSum,
    /// Measurements of this VM that no report has carried yet.
    unreported: DecayingSum,
    reported: Option<(f64, SystemTime)>,
    is_slow: bool,
}

impl SpeedState {
    fn new(endpoint: &ListedEndpoint, now: SystemTime) -> Self {
        Self {
            service: endpoint.service.clone(),
            start: endpoint.start,
            version: endpoint.version.clone(),
            learned: DecayingSum::new(now),
            unreported: DecayingSum::new(now),
            reported: None,
            is_slow: false,
        }
    }

    fn is_of(&self, endpoint: &ListedEndpoint) -> bool {
        self.start == endpoint.start && self.version == endpoint.version
    }

    /// The slowness that the endpoint reported recently; 1 if there is none.
    fn reported_slowness(&self, now: SystemTime) -> f64 {
        let recent = self.reported.filter(|(_, at)| now < *at + REPORTED_LIFETIME);
        recent.map_or(1.0, |(slowness, _)| slowness)
    }
}

/// The speeds of all listed endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointSpeeds {
    states: HashMap<EndpointId, SpeedState>,
    baselines: HashMap<BaselineKey, Baseline>,
    /// Median of the logarithms of the endpoints' ratios by service, as of the last [`EndpointSpeeds::take_changes`].
    medians: HashMap<ServiceId, f64>,
}

impl EndpointSpeeds {
    /// Sets the endpoints whose speeds are kept. What is known of one that restarted, changed its version or is no
    /// longer listed is dropped.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::{directory::ListedEndpoint, endpoint_speed::EndpointSpeeds};
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let endpoint = ListedEndpoint {
    ///     id: "a".into(), service: "models".into(), address: ([10, 0, 0, 1], 80).into(), failure_domain: "d1".into(),
    ///     version: "v1".into(), slots: 8, is_leaving: false, cold_for: Duration::ZERO, start: Some(1),
    /// };
    /// let mut speeds = EndpointSpeeds::default();
    /// speeds.retain_listed([&endpoint].into_iter(), now);
    /// assert_eq!(speeds.slowness(&endpoint, now), 1.0);
    /// speeds.record_reported(&endpoint, 2.5, now);
    /// assert_eq!(speeds.slowness(&endpoint, now), 2.5);
    /// assert_eq!(speeds.slowness(&endpoint, now + Duration::from_millis(600)), 1.0);
    /// ```
    pub fn retain_listed<'a>(&mut self, listed: impl Iterator<Item = &'a ListedEndpoint>, now: SystemTime) {
        let mut before = std::mem::take(&mut self.states);
        for endpoint in listed {
            let known = before.remove(&endpoint.id).filter(|state| state.is_of(endpoint));
            let state = known.unwrap_or_else(|| SpeedState::new(endpoint, now));
            self.states.insert(endpoint.id.clone(), state);
        }
    }

    /// Records the slowness of the moment that an endpoint reports in an answer.
    pub fn record_reported(&mut self, endpoint: &ListedEndpoint, slowness: f64, now: SystemTime) {
        if let Some(state) = self.state_of(endpoint) {
            state.reported = Some((slowness.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1), now));
        }
    }

    /// Records a measured time; returns whether it counts as a measurement of the endpoint's speed.
    ///
    /// Times of an endpoint that has restarted since don't count, nor do lower bounds that are below the expected time.
    pub fn record_sample(&mut self, sample: SpeedSample<'_>, now: SystemTime) -> bool {
        let median = self.median(&sample.endpoint.service);
        let Some(state) = self.states.get_mut(&sample.endpoint.id).filter(|state| state.is_of(sample.endpoint)) else {
            return false;
        };
        let usual_time = sample.time.as_secs_f64() / state.reported_slowness(now);
        let value = (usual_time / sample.work).ln();
        if !value.is_finite() {
            return false;
        }
        let log_factor = state.learned.at(now).relative_to(median).log_factor();
        let key = BaselineKey {
            service: sample.endpoint.service.clone(),
            model: sample.model.map(str::to_owned),
            is_light: sample.load < Load::Heavy,
            kind: sample.kind,
        };
        if !self.baselines.contains_key(&key) && self.baselines.len() >= MAX_BASELINES {
            return false;
        }
        let new = Baseline { mean: value, variance: UNIT_VARIANCE, samples: 0 };
        let baseline = self.baselines.entry(key).or_insert(new);
        let log_ratio = (value - baseline.mean).clamp(FACTOR_RANGE.0.ln(), FACTOR_RANGE.1.ln());
        if !sample.is_complete && log_ratio <= log_factor {
            return false;
        }
        let is_known_kind = baseline.samples >= MIN_BASELINE_SAMPLES;
        let weight = baseline.sample_weight();
        // The mean is that of an average endpoint, so it does not follow requests that move to faster endpoints.
        baseline.record(baseline.mean + log_ratio - log_factor);
        if is_known_kind {
            state.learned.add(log_ratio, weight, now);
            state.unreported.add(log_ratio, weight, now);
        }
        is_known_kind
    }

    fn state_of(&mut self, endpoint: &ListedEndpoint) -> Option<&mut SpeedState> {
        self.states.get_mut(&endpoint.id).filter(|state| state.is_of(endpoint))
    }

    /// How much longer work takes at an endpoint now than at an average one of its service; 1 while it is not known.
    pub fn slowness(&self, endpoint: &ListedEndpoint, now: SystemTime) -> f64 {
        let Some(state) = self.states.get(&endpoint.id).filter(|state| state.is_of(endpoint)) else { return 1.0 };
        let learned = state.learned.at(now).relative_to(self.median(&state.service));
        learned.factor() * state.reported_slowness(now)
    }

    /// The learned factor of [`slowness`](Self::slowness), without what the endpoint reports about itself; none until there
    /// are enough measurements to tell whether the endpoint is as fast as the others.
    ///
    /// ```
    /// use std::{net::SocketAddr, time::{Duration, SystemTime}};
    /// use havengrade_core::published::{
    ///     directory::ListedEndpoint,
    ///     endpoint_speed::{EndpointSpeeds, ReportedSpeed},
    /// };
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let endpoint = ListedEndpoint {
    ///     id: "e1".into(),
    ///     service: "models".into(),
    ///     address: SocketAddr::from(([10, 0, 0, 1], 80)),
    ///     failure_domain: "d1".into(),
    ///     version: "v1".into(),
    ///     slots: 4,
    ///     is_leaving: false,
    ///     cold_for: Duration::ZERO,
    ///     start: None,
    /// };
    /// let mut speeds = EndpointSpeeds::default();
    /// speeds.retain_listed([&endpoint].into_iter(), now);
    /// assert_eq!(speeds.known_slowness(&endpoint, now), None);
    /// speeds.merge_reported(vec![ReportedSpeed { endpoint: "e1".into(), slowness: 1.0, samples: 20 }], now);
    /// assert_eq!(speeds.known_slowness(&endpoint, now), Some(1.0));
    /// ```
    pub fn known_slowness(&self, endpoint: &ListedEndpoint, now: SystemTime) -> Option<f64> {
        let state = self.states.get(&endpoint.id).filter(|state| state.is_of(endpoint))?;
        let learned = state.learned.at(now);
        (learned.weight >= KNOWN_WEIGHT).then(|| learned.relative_to(self.median(&state.service)).factor())
    }

    fn median(&self, service: &str) -> f64 {
        self.medians.get(service).copied().unwrap_or_default()
    }

    /// The entries of the next report: this VM's measurements since its last one, of the endpoints with most of them.
    ///
    /// Each measurement is reported once. If the report is lost, its measurements are known to this VM only.
    pub fn next_report(&mut self, now: SystemTime) -> Vec<ReportedSpeed> {
        let mut news: Vec<(&EndpointId, &mut SpeedState)> = self.states.iter_mut().collect();
        news.iter_mut().for_each(|(_, state)| state.unreported = state.unreported.at(now));
        news.retain(|(_, state)| state.unreported.weight.round() >= 1.0);
        news.sort_by(|a, b| b.1.unreported.weight.total_cmp(&a.1.unreported.weight).then_with(|| a.0.cmp(b.0)));
        news.truncate(MAX_REPORTED);
        let entry = |(endpoint, state): (&EndpointId, &mut SpeedState)| {
            let DecayingSum { sum, weight, .. } = std::mem::replace(&mut state.unreported, DecayingSum::new(now));
            let samples = (weight.round() as u32).min(MAX_REPORTED_WEIGHT);
            ReportedSpeed { endpoint: endpoint.clone(), slowness: (sum / weight).exp(), samples }
        };
        news.into_iter().map(entry).collect()
    }

    /// Merges the measurements that another VM reports. They are not reported again by this VM.
    ///
    /// The caller leaves out reports that it has received before.
    pub fn merge_reported(&mut self, reported: Vec<ReportedSpeed>, now: SystemTime) {
        for ReportedSpeed { endpoint, slowness, samples } in reported {
            let Some(state) = self.states.get_mut(&endpoint) else { continue };
            if !slowness.is_finite() || slowness <= 0.0 {
                continue;
            }
            let log_ratio = slowness.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1).ln();
            state.learned.add(log_ratio, f64::from(samples.min(MAX_REPORTED_WEIGHT)), now);
        }
    }

    /// Updates the medians of the services, and returns the endpoints that became slow or are no longer slow since the
    /// last call.
    pub fn take_changes(&mut self, now: SystemTime) -> Vec<SpeedChange> {
        self.medians = medians(&self.states, now);
        let mut changes = Vec::new();
        for (endpoint, state) in &mut self.states {
            let median = self.medians.get(&state.service).copied().unwrap_or_default();
            let learned = state.learned.at(now).relative_to(median);
            let slowness = learned.factor();
            let is_slow = slowness >= if state.is_slow { NO_LONGER_SLOW } else { SLOW };
            if is_slow != state.is_slow {
                state.is_slow = is_slow;
                changes.push(SpeedChange { endpoint: endpoint.clone(), slowness, samples: learned.weight, is_slow });
            }
        }
        changes.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        changes
    }

    /// Number of endpoints that counted as slow at the last [`Self::take_changes`].
    pub fn slow_count(&self) -> usize {
        self.states.values().filter(|state| state.is_slow).count()
    }
}

/// Median of the logarithms of the endpoints' ratios by service, weighted by their measurements.
fn medians(states: &HashMap<EndpointId, SpeedState>, now: SystemTime) -> HashMap<ServiceId, f64> {
    let mut by_service: HashMap<&ServiceId, Vec<DecayingSum>> = HashMap::new();
    for state in states.values() {
        by_service.entry(&state.service).or_default().push(state.learned.at(now));
    }
    by_service.into_iter().map(|(service, sums)| (service.clone(), weighted_median(sums))).collect()
}

fn weighted_median(mut sums: Vec<DecayingSum>) -> f64 {
    sums.retain(|sum| sum.weight >= 1.0);
    let mean = |sum: &DecayingSum| sum.sum / sum.weight;
    sums.sort_by(|a, b| mean(a).total_cmp(&mean(b)));
    let half = sums.iter().map(|sum| sum.weight).sum::<f64>() / 2.0;
    let mut passed = 0.0;
    let median = sums.iter().find(|sum| {
        passed += sum.weight;
        passed >= half
    });
    median.map_or(0.0, mean)
}
