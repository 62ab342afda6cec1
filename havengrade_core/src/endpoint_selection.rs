//! Endpoint selection: sampled least-load balancing and rendezvous hashing.

use std::time::{Duration, SystemTime};

use rand::{Rng, RngExt as _};

use crate::{
    config::{Catalog, Endpoint},
    ids::EndpointId,
    secret::uniform_hash,
};

/// Number of endpoints that are sampled for one selection.
pub const SAMPLE_SIZE: usize = 3;
/// Load added to an endpoint in another failure domain, in thousandths of its capacity.
const REMOTE_DOMAIN_PENALTY: u64 = 50;
/// Thousandths in a whole.
const PERMILLE_SCALE: u64 = 1000;

/// Known state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointState {
    /// Requests of this VM that are in progress at the endpoint.
    pub in_flight: u32,
    /// Requests in the endpoint's last report, which lags and includes those of this VM.
    pub reported: u32,
    /// Requests of this VM among the reported ones.
    pub own_in_report: u32,
    /// Whether the endpoint is shutting down or has stopped reporting.
    pub unavailable: bool,
    /// End of the endpoint's ejection after failures.
    pub ejected_until: Option<SystemTime>,
    /// End of the backoff that the endpoint requested.
    pub backoff_until: Option<SystemTime>,
    /// Whether the endpoint rejected the last request that it responded to.
    pub last_rejected: bool,
}

impl EndpointState {
    /// Estimates the current number of requests: the reported one, corrected by this VM's changes since.
    pub fn load(&self) -> u32 {
        (self.reported + self.in_flight).saturating_sub(self.own_in_report)
    }

    /// Returns whether the endpoint may receive new requests.
    pub fn is_usable(&self, now: SystemTime) -> bool {
        !self.unavailable && self.ejected_until.is_none_or(|until| until <= now) && self.backoff_left(now).is_none()
    }

    /// Returns the remaining backoff that the endpoint requested, if any.
    pub fn backoff_left(&self, now: SystemTime) -> Option<Duration> {
        let left = self.backoff_until?.duration_since(now).ok()?;
        (!left.is_zero()).then_some(left)
    }
}

/// Source of endpoint states.
pub trait EndpointStates {
    /// Returns the state of an endpoint.
    fn state(&self, endpoint: &str) -> EndpointState;
}

/// Parameters of a selection, beside the candidates.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Failure domain of this VM.
    pub failure_domain: &'a str,
    /// Endpoints that have already been tried.
    pub tried_endpoints: &'a [EndpointId],
    /// Current time.
    pub now: SystemTime,
}

/// Chooses the least loaded of a few randomly sampled endpoints.
///
/// If none of the sampled endpoints is usable, all candidates are considered.
pub fn choose<'a>(
    catalog: &'a Catalog,
    candidates: &'a [EndpointId],
    states: &dyn EndpointStates,
    context: SelectionContext<'_>,
    rng: &mut dyn Rng,
) -> Option<&'a Endpoint> {
    let sampled = sample(candidates, rng);
    let best = least_loaded(catalog, sampled.iter().flatten().copied(), states, context);
    best.or_else(|| least_loaded(catalog, candidates.iter(), states, context))
}

/// Returns the time until the first backoff ends among the endpoints.
///
/// Returns `None` if one of the endpoints requests no backoff, or if all are unavailable.
pub fn backoff_left(candidates: &[EndpointId], states: &dyn EndpointStates, now: SystemTime) -> Option<Duration> {
    let available = candidates.iter().map(|id| states.state(id)).filter(|state| !state.unavailable);
    let left: Option<Vec<Duration>> = available.map(|state| state.backoff_left(now)).collect();
    left?.into_iter().min()
}

/// Returns the endpoint for an idempotency key, among those that deduplicate requests by key.
///
/// Rendezvous hashing: the endpoint is the same on every VM, and adding or removing one moves only the
/// keys that belong to it.
pub fn endpoint_for_key<'a>(catalog: &'a Catalog, candidates: &[EndpointId], key: &str) -> Option<&'a Endpoint> {
    candidates
        .iter()
        .filter_map(|id| catalog.config.endpoints.get(id))
        .filter(|endpoint| endpoint.deduplicates)
        .max_by_key(|endpoint| uniform_hash(&[key, &endpoint.id]))
}

fn sample<'a>(candidates: &'a [EndpointId], rng: &mut dyn Rng) -> [Option<&'a EndpointId>; SAMPLE_SIZE] {
    let mut sampled = [None; SAMPLE_SIZE];
    if candidates.is_empty() {
        return sampled;
    }
    for slot in &mut sampled {
        *slot = candidates.get(rng.random_range(0..candidates.len()));
    }
    sampled
}

fn least_loaded<'a>(
    catalog: &'a Catalog,
    candidates: impl Iterator<Item = &'a EndpointId>,
    states: &dyn EndpointStates,
    context: SelectionContext<'_>,
) -> Option<&'a Endpoint> {
    candidates
        .filter(|id| !context.tried_endpoints.contains(id))
        .filter_map(|id| catalog.config.endpoints.get(id))
        .map(|endpoint| (endpoint, states.state(&endpoint.id)))
        .filter(|(_, state)| state.is_usable(context.now))
        .min_by_key(|(endpoint, state)| weighted_load(endpoint, state, context.failure_domain))
        .map(|(endpoint, _)| endpoint)
}

/// Returns the load in thousandths of the capacity, plus the penalty for another failure domain.
fn weighted_load(endpoint: &Endpoint, state: &EndpointState, failure_domain: &str) -> u64 {
    let load = u64::from(state.load()) * PERMILLE_SCALE / u64::from(endpoint.capacity.max(1));
    let is_remote = endpoint.failure_domain != failure_domain;
    load + if is_remote { REMOTE_DOMAIN_PENALTY } else { 0 }
}
