//! Choice of an endpoint among those that can serve a request.

use std::time::{Duration, SystemTime};

use rand::{Rng, RngExt as _};

use crate::{
    config::{Catalog, Endpoint},
    ids::EndpointId,
    secret::uniform_hash,
};

/// Endpoints that are looked at for one choice.
pub const SAMPLE_SIZE: usize = 3;
/// Load that another failure domain adds to an endpoint, in thousandths of its capacity.
const DISTANCE: u64 = 50;
/// Thousandths in a whole.
const WHOLE: u64 = 1000;

/// What is known of an endpoint's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointState {
    /// Requests that this VM has in progress there.
    pub in_flight: u32,
    /// Requests that the endpoint reported, ours included, with a lag.
    pub reported: u32,
    /// Requests of ours among the reported ones.
    pub own_in_report: u32,
    /// Whether the endpoint leaves, or has fallen silent.
    pub unavailable: bool,
    /// Until when the endpoint is passed over after failures.
    pub ejected_until: Option<SystemTime>,
    /// Until when the endpoint asked for rest.
    pub backoff_until: Option<SystemTime>,
    /// Whether the last that it did with a request was to turn it away.
    pub last_rejected: bool,
}

impl EndpointState {
    /// Requests that are likely to be there now: the report, corrected by what we did since.
    pub fn load(&self) -> u32 {
        (self.reported + self.in_flight).saturating_sub(self.own_in_report)
    }

    /// Whether it may receive new work.
    pub fn is_usable(&self, now: SystemTime) -> bool {
        !self.unavailable && self.ejected_until.is_none_or(|until| until <= now) && self.backoff_left(now).is_none()
    }

    /// Time for which it wants rest.
    pub fn backoff_left(&self, now: SystemTime) -> Option<Duration> {
        let left = self.backoff_until?.duration_since(now).ok()?;
        (!left.is_zero()).then_some(left)
    }
}

/// Where the states of endpoints are looked up.
pub trait EndpointStates {
    /// The state of an endpoint.
    fn state(&self, endpoint: &str) -> EndpointState;
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Failure domain of the VM that chooses.
    pub failure_domain: &'a str,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointId],
    /// The present time.
    pub now: SystemTime,
}

/// Chooses an endpoint: the least loaded of a few that are drawn at random.
///
/// Where none of the drawn ones is usable, all are looked at.
pub fn choose<'a>(
    catalog: &'a Catalog,
    candidates: &'a [EndpointId],
    states: &dyn EndpointStates,
    context: SelectionContext<'_>,
    rng: &mut dyn Rng,
) -> Option<&'a Endpoint> {
    let drawn = draw(candidates, rng);
    let best = least_loaded(catalog, drawn.iter().flatten().copied(), states, context);
    best.or_else(|| least_loaded(catalog, candidates.iter(), states, context))
}

/// Time until the first of the endpoints no longer wants rest; none where one of them wants none, or all are gone.
pub fn backoff_left(candidates: &[EndpointId], states: &dyn EndpointStates, now: SystemTime) -> Option<Duration> {
    let present = candidates.iter().map(|id| states.state(id)).filter(|state| !state.unavailable);
    let left: Option<Vec<Duration>> = present.map(|state| state.backoff_left(now)).collect();
    left?.into_iter().min()
}

/// The endpoint at which a key belongs, among those that recognise keys: the same on every VM.
///
/// An endpoint that is added or removed moves only the keys that come to it or were there.
pub fn endpoint_for_key<'a>(catalog: &'a Catalog, candidates: &[EndpointId], key: &str) -> Option<&'a Endpoint> {
    candidates
        .iter()
        .filter_map(|id| catalog.config.endpoints.get(id))
        .filter(|endpoint| endpoint.deduplicates)
        .max_by_key(|endpoint| uniform_hash(&[key, &endpoint.id]))
}

fn draw<'a>(candidates: &'a [EndpointId], rng: &mut dyn Rng) -> [Option<&'a EndpointId>; SAMPLE_SIZE] {
    let mut drawn = [None; SAMPLE_SIZE];
    if candidates.is_empty() {
        return drawn;
    }
    for slot in &mut drawn {
        *slot = candidates.get(rng.random_range(0..candidates.len()));
    }
    drawn
}

fn least_loaded<'a>(
    catalog: &'a Catalog,
    candidates: impl Iterator<Item = &'a EndpointId>,
    states: &dyn EndpointStates,
    context: SelectionContext<'_>,
) -> Option<&'a Endpoint> {
    candidates
        .filter(|id| !context.tried.contains(id))
        .filter_map(|id| catalog.config.endpoints.get(id))
        .map(|endpoint| (endpoint, states.state(&endpoint.id)))
        .filter(|(_, state)| state.is_usable(context.now))
        .min_by_key(|(endpoint, state)| weight(endpoint, state, context.failure_domain))
        .map(|(endpoint, _)| endpoint)
}

/// Load in thousandths of the capacity, with a little for the distance.
fn weight(endpoint: &Endpoint, state: &EndpointState, failure_domain: &str) -> u64 {
    let load = u64::from(state.load()) * WHOLE / u64::from(endpoint.capacity.max(1));
    let is_far = endpoint.failure_domain != failure_domain;
    load + if is_far { DISTANCE } else { 0 }
}
