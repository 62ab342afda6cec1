//! Errors of the last seconds by endpoint: whether a version is to blame, or some of its endpoints.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, Incarnation},
    published::peers::REPORT_LIFETIME,
};

/// Time for which answers count: a service with 25 requests a second, of which half go to a route that fails a third of them, gives
/// its fiftieth error after twelve seconds.
const WINDOW: Duration = Duration::from_secs(12);
/// Time whose answers are kept together.
const SLICE: Duration = Duration::from_millis(500);
/// Answers of an endpoint at least where its errors are compared with those of others.
const LEAST_ANSWERS: u64 = 8;
/// Endpoints that are compared at least, where there are so many.
const LEAST_COMPARED: usize = 3;
/// Errors of an endpoint that are no accident.
const LEAST_ERRORS: u64 = 2;
/// Errors of an endpoint, in the mean, below which it can't be told who gives them.
const LEAST_MEAN: f64 = 3.0;
/// Part of the share of errors of all together that each endpoint must show to be one of those that fail.
const LEAST_PART: f64 = 0.6;
/// Part of the endpoints that must give errors where the version is to blame; other faults rarely hit so many at once.
const MOST: f64 = 0.8;

/// Answers, and the errors among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recent {
    /// Answers.
    pub answers: u64,
    /// Those that were errors of the endpoint's own.
    pub errors: u64,
}

impl Recent {
    fn share(self) -> f64 {
        self.errors as f64 / (self.answers as f64).max(1.0)
    }

    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.errors += other.errors;
    }
}

/// The answers of the last seconds, as one VM saw them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeenLately {
    /// Answers by endpoint.
    pub endpoints: BTreeMap<EndpointId, Recent>,
    /// Answers that are not told by endpoint, since there are hardly any errors.
    pub rest: Recent,
}

impl SeenLately {
    /// All answers together.
    pub(super) fn sum(&self) -> Recent {
        sum(self.endpoints.values().copied().chain([self.rest]))
    }

    /// The same without endpoints.
    pub(super) fn in_sum(&self) -> Self {
        Self { endpoints: BTreeMap::new(), rest: self.sum() }
    }
}

fn sum(parts: impl IntoIterator<Item = Recent>) -> Recent {
    parts.into_iter().fold(Recent::default(), |mut sum, part| {
        sum.add(part);
        sum
    })
}

/// The answers of the last seconds that this VM saw of a version.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnRecent {
    slices: VecDeque<(SystemTime, HashMap<EndpointId, Recent>)>,
}

impl OwnRecent {
    pub(super) fn note(&mut self, endpoint: &str, is_error: bool, now: SystemTime) {
        let is_current = self.slices.back().is_some_and(|(since, _)| now < *since + SLICE);
        if !is_current {
            self.slices.push_back((now, HashMap::new()));
        }
        let Some((_, slice)) = self.slices.back_mut() else { return };
        let seen = Recent { answers: 1, errors: u64::from(is_error) };
        slice.entry(endpoint.to_owned()).or_default().add(seen);
    }

    /// The sums over the window.
    pub(super) fn seen(&self, now: SystemTime) -> SeenLately {
        let mut seen = SeenLately::default();
        let recent = self.slices.iter().filter(|(since, _)| now < *since + WINDOW);
        for (endpoint, answers) in recent.flat_map(|(_, slice)| slice) {
            seen.endpoints.entry(endpoint.clone()).or_default().add(*answers);
        }
        seen
    }

    /// Forgets what lies before the window.
    pub(super) fn prune(&mut self, now: SystemTime) {
        self.slices.retain(|(since, _)| now < *since + WINDOW);
    }
}

/// What other VMs saw in their last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct HeardRecent {
    by_vm: HashMap<Incarnation, (SystemTime, SeenLately)>,
}

impl HeardRecent {
    /// Takes what a VM tells, in place of what it told before.
    pub(super) fn hear(&mut self, from: Incarnation, recent: SeenLately, now: SystemTime) {
        self.by_vm.insert(from, (now, recent));
    }

    /// Forgets VMs that are silent.
    pub(super) fn prune(&mut self, now: SystemTime) {
        self.by_vm.retain(|_, (heard, _)| now < *heard + REPORT_LIFETIME);
    }
}

/// Whether a version is to blame for errors: there are so many, and nearly all of its endpoints give them.
pub(super) fn is_version_to_blame(own: &SeenLately, heard: &HeardRecent, least: u64) -> bool {
    let vms = heard.by_vm.values().map(|(_, seen)| seen).chain([own]);
    let mut by_endpoint: BTreeMap<&EndpointId, Recent> = BTreeMap::new();
    let mut all = Recent::default();
    for seen in vms {
        all.add(seen.sum());
        for (endpoint, answers) in &seen.endpoints {
            by_endpoint.entry(endpoint).or_default().add(*answers);
        }
    }
    let by_endpoint: Vec<Recent> = by_endpoint.into_values().collect();
    all.errors >= least && is_common(&by_endpoint)
}

/// Whether nearly all endpoints give errors, each a fair part of them, among those with enough answers; not where too few of them can
/// be compared.
fn is_common(endpoints: &[Recent]) -> bool {
    let compared: Vec<Recent> = endpoints.iter().copied().filter(|part| part.answers >= LEAST_ANSWERS).collect();
    if compared.is_empty() || compared.len() < LEAST_COMPARED.min(endpoints.len()) {
        return false;
    }
    let all = sum(compared.iter().copied());
    if (all.errors as f64) < compared.len() as f64 * LEAST_MEAN {
        return false;
    }
    let fair = all.share() * LEAST_PART;
    let failing = compared.iter().filter(|part| part.errors >= LEAST_ERRORS && part.share() >= fair).count();
    failing as f64 >= compared.len() as f64 * MOST
}
