//! Choice of an endpoint for a request of a published route.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::SystemTime,
};

use rand::{Rng, RngExt as _};

use crate::{ids::EndpointId, published::directory::ListedEndpoint, selection::EndpointState};

/// Load that another failure domain adds to an endpoint, as a share of its slots.
///
/// Bytes between failure domains are paid for; a quarter of the slots is what a request may wait for that.
const DISTANCE: f64 = 0.15;

/// Load above the mean at which an endpoint no longer attracts requests by what it has cached, as a share of
/// its slots.
const CACHE_HEADROOM: f64 = 0.15;

/// An endpoint that may be chosen, with what is known of its load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// What is known of its state.
    pub state: EndpointState,
}

impl Candidate<'_> {
    /// Work in progress as a share of the slots, with the distance from `domain`.
    fn cost(&self, domain: &str) -> f64 {
        let is_far = self.endpoint.failure_domain != domain;
        self.occupancy() + if is_far { DISTANCE } else { 0.0 }
    }

    /// Work in progress as a share of the slots; above 1 requests wait.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.state.load()) / f64::from(self.endpoint.slots.max(1))
    }
}

/// What an endpoint is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Failure domain of the VM that chooses.
    pub failure_domain: &'a str,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointId],
    /// Id of the shared prompt part that an endpoint should have cached.
    pub shared_part: Option<&'a str>,
    /// The present time.
    pub now: SystemTime,
}

/// Chooses an endpoint: one that has the prompt's shared part cached where its load allows, else the least loaded.
///
/// Endpoints that are passed over after failures are taken only where no other is left.
pub fn place<'a>(
    candidates: &[Candidate<'a>],
    placement: Placement<'_>,
    rng: &mut dyn Rng,
) -> Option<&'a ListedEndpoint> {
    let untried = || candidates.iter().filter(|c| !placement.tried.contains(&c.endpoint.id));
    let usable: Vec<&Candidate<'a>> = untried().filter(|c| c.state.is_usable(placement.now)).collect();
    if usable.is_empty() {
        return least_loaded(untried(), placement.failure_domain, rng);
    }
    let cached = placement.shared_part.and_then(|part| holder(&usable, part));
    cached.or_else(|| least_loaded(usable.iter().copied(), placement.failure_domain, rng))
}

/// The first endpoint, in an order that depends on the part only, whose load is near the mean.
fn holder<'a>(usable: &[&Candidate<'a>], part: &str) -> Option<&'a ListedEndpoint> {
    let mean = usable.iter().map(|c| c.occupancy()).sum::<f64>() / usable.len() as f64;
    let limit = mean + CACHE_HEADROOM;
    let near = usable.iter().filter(|c| c.occupancy() <= limit);
    near.max_by_key(|c| rank(part, &c.endpoint.id)).map(|c| c.endpoint)
}

/// Where an endpoint stands in the order of a part; the same on every VM of one build.
fn rank(part: &str, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
}

fn least_loaded<'a: 'b, 'b>(
    candidates: impl Iterator<Item = &'b Candidate<'a>>,
    domain: &str,
    rng: &mut dyn Rng,
) -> Option<&'a ListedEndpoint> {
    let mut best: Option<(f64, &'a ListedEndpoint)> = None;
    let mut equals = 0u32;
    for candidate in candidates {
        let cost = candidate.cost(domain);
        match best {
            Some((least, _)) if cost > least => continue,
            Some((least, _)) if cost == least => {
                equals += 1;
                // Each of the equally loaded ones has the same chance.
                if rng.random_range(0..=equals) > 0 {
                    continue;
                }
            },
            _ => equals = 0,
        }
        best = Some((cost, candidate.endpoint));
    }
    best.map(|(_, endpoint)| endpoint)
}
