//! Answers and errors of the last seconds by endpoint, which show whether a version is faulty or only some of its
//! endpoints.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, Incarnation},
    published::peers::REPORT_LIFETIME,
};

/// Length of the window: a service with 25 requests a second, of which half go to a route that fails a third of them,
/// gives its fiftieth error after twelve seconds.
const WINDOW: Duration = Duration::from_secs(12);
/// Length of a slice of the window, whose answers are counted together.
const SLICE: Duration = Duration::from_millis(500);
/// Lowest number of answers of an endpoint whose error rate is compared with that of the others.
const MIN_ANSWERS: u64 = 8;
/// Lowest number of endpoints that are compared, unless there are fewer.
const MIN_COMPARED_ENDPOINTS: usize = 3;
/// Lowest number of errors of an endpoint that can't be an accident.
const MIN_ERRORS: u64 = 2;
/// Mean number of errors per endpoint below which the errors can't be attributed.
const MIN_MEAN_ERRORS: f64 = 3.0;
/// Fraction of the overall error rate that an endpoint must reach to count as failing.
const MIN_RELATIVE_ERROR_RATE: f64 = 0.6;
/// Fraction of the endpoints that must be failing if the version is faulty; other faults rarely hit so many at once.
const MIN_FAILING_FRACTION: f64 = 0.8;

/// A number of answers, and of the errors among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers.
    pub answers: u64,
    /// Errors that the endpoint itself caused.
    pub errors: u64,
}

impl AnswerCounts {
    fn error_rate(self) -> f64 {
        self.errors as f64 / (self.answers as f64).max(1.0)
    }

    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.errors += other.errors;
    }
}

/// The answers of the last seconds that one VM received from a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecentAnswerCounts {
    /// Answers by endpoint.
    pub by_endpoint: BTreeMap<EndpointId, AnswerCounts>,
    /// Answers that are reported without their endpoints, since there are hardly any errors.
    pub unattributed: AnswerCounts,
}

impl RecentAnswerCounts {
    /// All answers together.
    pub(super) fn sum(&self) -> AnswerCounts {
        sum(self.by_endpoint.values().copied().chain([self.unattributed]))
    }

    /// The same answers without their endpoints.
    pub(super) fn without_endpoints(&self) -> Self {
        Self { by_endpoint: BTreeMap::new(), unattributed: self.sum() }
    }
}

fn sum(parts: impl IntoIterator<Item = AnswerCounts>) -> AnswerCounts {
    parts.into_iter().fold(AnswerCounts::default(), |mut sum, part| {
        sum.add(part);
        sum
    })
}

/// Sliding window over the answers that this VM received from a version.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalAnswerWindow {
    slices: VecDeque<(SystemTime, HashMap<EndpointId, AnswerCounts>)>,
}

impl LocalAnswerWindow {
    pub(super) fn record(&mut self, endpoint: &str, is_error: bool, now: SystemTime) {
        let is_current = self.slices.back().is_some_and(|(since, _)| now < *since + SLICE);
        if !is_current {
            self.slices.push_back((now, HashMap::new()));
        }
        let Some((_, slice)) = self.slices.back_mut() else { return };
        let answer = AnswerCounts { answers: 1, errors: u64::from(is_error) };
        slice.entry(endpoint.to_owned()).or_default().add(answer);
    }

    /// The sums over the window.
    pub(super) fn counts(&self, now: SystemTime) -> RecentAnswerCounts {
        let mut counts = RecentAnswerCounts::default();
        let recent = self.slices.iter().filter(|(since, _)| now < *since + WINDOW);
        for (endpoint, answers) in recent.flat_map(|(_, slice)| slice) {
            counts.by_endpoint.entry(endpoint.clone()).or_default().add(*answers);
        }
        counts
    }

    /// Removes slices that are older than the window.
    pub(super) fn prune(&mut self, now: SystemTime) {
        self.slices.retain(|(since, _)| now < *since + WINDOW);
    }
}

/// The latest counts that other VMs reported.
#[derive(Clone, Debug, Default)]
pub(super) struct RemoteAnswerCounts {
    by_vm: HashMap<Incarnation, (SystemTime, RecentAnswerCounts)>,
}

impl RemoteAnswerCounts {
    /// Replaces the counts that a VM reported before.
    pub(super) fn merge(&mut self, from: Incarnation, counts: RecentAnswerCounts, now: SystemTime) {
        self.by_vm.insert(from, (now, counts));
    }

    /// Removes VMs that have stopped reporting.
    pub(super) fn prune(&mut self, now: SystemTime) {
        self.by_vm.retain(|_, (received, _)| now < *received + REPORT_LIFETIME);
    }
}

/// Whether errors are the fault of a version: there are at least `min_errors`, and nearly all of its endpoints give
/// them.
pub(super) fn is_version_faulty(local: &RecentAnswerCounts, remote: &RemoteAnswerCounts, min_errors: u64) -> bool {
    let vms = remote.by_vm.values().map(|(_, counts)| counts).chain([local]);
    let mut by_endpoint: BTreeMap<&EndpointId, AnswerCounts> = BTreeMap::new();
    let mut all = AnswerCounts::default();
    for counts in vms {
        all.add(counts.sum());
        for (endpoint, answers) in &counts.by_endpoint {
            by_endpoint.entry(endpoint).or_default().add(*answers);
        }
    }
    let by_endpoint: Vec<AnswerCounts> = by_endpoint.into_values().collect();
    all.errors >= min_errors && are_errors_widespread(&by_endpoint)
}

/// Whether nearly all endpoints with enough answers fail at a similar rate. False if too few endpoints can be compared.
fn are_errors_widespread(endpoints: &[AnswerCounts]) -> bool {
    let compared: Vec<AnswerCounts> = endpoints.iter().copied().filter(|part| part.answers >= MIN_ANSWERS).collect();
    if compared.is_empty() || compared.len() < MIN_COMPARED_ENDPOINTS.min(endpoints.len()) {
        return false;
    }
    let all = sum(compared.iter().copied());
    if (all.errors as f64) < compared.len() as f64 * MIN_MEAN_ERRORS {
        return false;
    }
    let min_rate = all.error_rate() * MIN_RELATIVE_ERROR_RATE;
    let failing = compared.iter().filter(|part| part.errors >= MIN_ERRORS && part.error_rate() >= min_rate).count();
    failing as f64 >= compared.len() as f64 * MIN_FAILING_FRACTION
}

/// Highest number of standard deviations by which evenly spread errors may exceed their expected dispersion.
const MAX_DISPERSION_DEVIATIONS: f64 = 3.0;

/// The recent answers of all VMs, if their errors are spread over the endpoints as evenly as chance spreads those of a
/// version that fails some of its requests anywhere.
pub(super) fn evenly_failing(local: &RecentAnswerCounts, remote: &RemoteAnswerCounts) -> Option<AnswerCounts> {
    let vms = remote.by_vm.values().map(|(_, counts)| counts).chain([local]);
    let mut by_endpoint: BTreeMap<&EndpointId, AnswerCounts> = BTreeMap::new();
    for (endpoint, answers) in vms.flat_map(|counts| &counts.by_endpoint) {
        by_endpoint.entry(endpoint).or_default().add(*answers);
    }
    let all = sum(by_endpoint.values().copied());
    let rate = all.error_rate();
    let chi_squared: f64 = by_endpoint
        .values()
        .map(|part| {
            let expected = rate * part.answers as f64;
            (part.errors as f64 - expected).powi(2) / expected.max(f64::MIN_POSITIVE)
        })
        .sum();
    let freedom = by_endpoint.len().saturating_sub(1) as f64;
    let max = freedom + MAX_DISPERSION_DEVIATIONS * (2.0 * freedom).sqrt();
    (all.errors > 0 && chi_squared <= max).then_some(all)
}
