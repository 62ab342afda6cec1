//! Choice of an endpoint for a request of a published route.
//!
//! A generation goes where it costs least, all counted in prompt tokens of the largest model: the prompts that
//! are still to be read there, of all VMs; its own without what the endpoint has cached; and the distance, by the
//! bytes that cross it. So a small model, which reads quickly, is asked nearby, and each failure domain caches
//! the parts for it; the large one is asked where the part is cached. A plain request goes where the smallest
//! part of the slots is taken, of all endpoints or, in a large fleet, of two that are drawn.

use std::time::SystemTime;

use rand::{Rng, RngExt as _};

use crate::{
    endpoint_selection::EndpointState,
    ids::EndpointId,
    published::{directory::ListedEndpoint, peers::Work, sent_prefixes::PrefixKey},
    ranking::rank,
};

/// Share of the slots that another failure domain costs a plain request, since bytes between them are paid for.
const FAR_SLOTS: f64 = 0.12;
/// Tokens that another failure domain costs a generation, for the bytes of its answer.
const FAR_TOKENS: f64 = 150.0;
/// Tokens that another failure domain costs for each token of the prompt, whatever the model, for its bytes.
///
/// Measured: 0.12 to 0.18 are alike, 0.25 is worse; with 0, fewer answers are late and more bytes are paid for.
const FAR_SHARE: f64 = 0.15;
/// Weight of reading a shared part anew: it holds up all others there, and puts other parts out of the cache.
///
/// Measured: 1.5 and 2 are alike, and better than 1.
const READ_ANEW: f64 = 1.5;
/// Tokens that a running generation costs another one, by the time that its own steps take.
const RUNNING_TOKENS: f64 = 60.0;
/// Endpoints that are drawn for a generation beside those that may have its prompt cached; all VMs know
/// much the same, and would meet at one endpoint if each took the best of all.
const DRAWN: usize = 3;
/// Endpoints that are drawn for a plain request in a fleet whose VMs don't see all work.
///
/// What they see is half a second old, and the endpoint with the least of it is the same one for all of them: each turn of reports
/// it got everything, and rejected some. With 84 VMs before six endpoints, three days were worth 0.012 more than with the least of
/// all; with 7 VMs, whose reports all hear, the least of all is better.
const PLAIN_DRAWN: usize = 2;
/// Endpoints of the own failure domain that are drawn beside them.
const NEAR_DRAWN: usize = 2;

/// An endpoint that may be chosen, with what is known of its load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// What is known of its state.
    pub state: EndpointState,
    /// Work of this VM and of the others that is in progress there.
    pub work: Work,
    /// Shared tokens of the prompt that this VM sent there lately, in those of the largest model.
    pub cached_tokens: u32,
}

impl Candidate<'_> {
    /// Share of the slots that is taken, with the distance from `domain`.
    fn occupancy(&self, domain: &str) -> f64 {
        let taken = f64::from(self.work.requests) / f64::from(self.endpoint.slots.max(1));
        taken + if self.endpoint.failure_domain == domain { 0.0 } else { FAR_SLOTS }
    }

    /// Shared tokens of a prompt that have to be read here.
    fn read_anew(&self, prompt: &Prompt, home: Option<&str>) -> u32 {
        let is_home = home == Some(self.endpoint.id.as_str());
        if is_home { 0 } else { prompt.shared_tokens.saturating_sub(self.cached_tokens) }
    }

    /// What a generation costs here, in prompt tokens, seen from `domain`.
    fn cost(&self, prompt: &Prompt, home: Option<&str>, domain: &str) -> f64 {
        let queue = f64::from(self.work.tokens) + f64::from(self.work.requests) * RUNNING_TOKENS;
        let read = f64::from(prompt.own_tokens) + f64::from(self.read_anew(prompt, home)) * READ_ANEW;
        let is_near = self.endpoint.failure_domain == domain;
        let distance = if is_near { 0.0 } else { FAR_TOKENS + f64::from(prompt.sent_tokens) * FAR_SHARE };
        queue + read + distance
    }
}

/// The prompt of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// What the shared parts are known by, model included; an endpoint is expected to have them cached.
    pub shared_prefix: Option<PrefixKey>,
    /// Tokens of the shared parts, in those of the largest model.
    pub shared_tokens: u32,
    /// Tokens that no other request has, in those of the largest model.
    pub own_tokens: u32,
    /// Tokens of the whole prompt as it is sent, whichever model reads it.
    pub sent_tokens: u32,
}

/// What an endpoint is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Failure domain of the VM that chooses.
    pub failure_domain: &'a str,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointId],
    /// Whether this VM hears each report of all others, so that the work it knows of is nearly all that there is.
    pub sees_all_work: bool,
    /// The prompt, where the request is a generation.
    pub prompt: Option<&'a Prompt>,
    /// The present time.
    pub now: SystemTime,
}

/// An endpoint that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedEndpoint<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// Tokens of the prompt that it has to read, in those of the largest model.
    pub tokens: u32,
}

/// Chooses an endpoint; those that are passed over after failures are taken only where no other is left.
pub fn place<'a>(
    candidates: &[Candidate<'a>],
    placement: PlacementContext<'_>,
    rng: &mut dyn Rng,
) -> Option<PlacedEndpoint<'a>> {
    let untried: Vec<&Candidate<'a>> =
        candidates.iter().filter(|c| !placement.tried.contains(&c.endpoint.id)).collect();
    let is_usable = |c: &&Candidate<'a>| c.state.is_usable(placement.now);
    let usable: Vec<&Candidate<'a>> = untried.iter().copied().filter(is_usable).collect();
    // Whether an endpoint takes requests again, a first try may find out; there are few others.
    let is_sure = |c: &&Candidate<'a>| placement.tried.is_empty() || !c.state.last_rejected;
    let sure: Vec<&Candidate<'a>> = usable.iter().copied().filter(is_sure).collect();
    let among = [sure, usable, untried].into_iter().find(|some| !some.is_empty())?;
    let elsewhere = elsewhere(candidates, &among, placement.tried);
    let among = if elsewhere.is_empty() { among } else { elsewhere };
    match placement.prompt {
        Some(prompt) => place_generation(&among, prompt, placement.failure_domain, rng),
        None => {
            let drawn: Vec<&Candidate<'a>> = if placement.sees_all_work {
                among
            } else {
                (0..PLAIN_DRAWN).filter_map(|_| draw(&among, rng)).collect()
            };
            let costs = drawn.into_iter().map(|c| (c.occupancy(placement.failure_domain), c));
            Some(PlacedEndpoint { endpoint: least(costs, rng)?.endpoint, tokens: 0 })
        },
    }
}

/// Those that stand in failure domains where the request was not tried: what lost one endpoint may have lost others beside it.
///
/// Where 35 endpoints of a domain were lost at once, a request was tried at three of them in turn and refused; of 38,600 requests
/// 0.4 in 100 less are refused this way.
fn elsewhere<'a, 'b>(
    candidates: &[Candidate<'a>],
    among: &[&'b Candidate<'a>],
    tried: &[EndpointId],
) -> Vec<&'b Candidate<'a>> {
    if tried.is_empty() {
        return among.to_vec();
    }
    let tried = candidates.iter().filter(|c| tried.contains(&c.endpoint.id));
    let domains: Vec<&str> = tried.map(|c| c.endpoint.failure_domain.as_str()).collect();
    among.iter().copied().filter(|c| !domains.contains(&c.endpoint.failure_domain.as_str())).collect()
}

/// Chooses among the place of the prompt's shared part, those that have it cached, and a few that are drawn.
fn place_generation<'a>(
    among: &[&Candidate<'a>],
    prompt: &Prompt,
    domain: &str,
    rng: &mut dyn Rng,
) -> Option<PlacedEndpoint<'a>> {
    let near: Vec<&Candidate<'a>> = among.iter().copied().filter(|c| c.endpoint.failure_domain == domain).collect();
    let part = prompt.shared_prefix.as_deref();
    let home = part.and_then(|part| first_ranked(among, part));
    let near_home = part.and_then(|part| first_ranked(&near, part));
    let mut looked_at: Vec<&Candidate<'a>> = (0..DRAWN).filter_map(|_| draw(among, rng)).collect();
    looked_at.extend((0..NEAR_DRAWN).filter_map(|_| draw(&near, rng)));
    looked_at.extend(home.into_iter().chain(near_home));
    looked_at.extend(among.iter().copied().filter(|c| c.cached_tokens > 0));
    let home = home.map(|c| c.endpoint.id.as_str());
    let chosen = least(looked_at.into_iter().map(|c| (c.cost(prompt, home, domain), c)), rng)?;
    let tokens = prompt.own_tokens + chosen.read_anew(prompt, home);
    Some(PlacedEndpoint { endpoint: chosen.endpoint, tokens })
}

fn draw<'a, 'b>(among: &[&'b Candidate<'a>], rng: &mut dyn Rng) -> Option<&'b Candidate<'a>> {
    if among.is_empty() {
        return None;
    }
    among.get(rng.random_range(0..among.len())).copied()
}

/// The first endpoint in an order that depends on the part only, so that all VMs send the part there.
fn first_ranked<'a, 'b>(among: &[&'b Candidate<'a>], part: &str) -> Option<&'b Candidate<'a>> {
    among.iter().copied().max_by_key(|c| rank(&[part, &c.endpoint.id]))
}

/// The candidate with the least cost; each of several with the same cost has the same chance.
fn least<'a, 'b>(
    costs: impl Iterator<Item = (f64, &'b Candidate<'a>)>,
    rng: &mut dyn Rng,
) -> Option<&'b Candidate<'a>> {
    let mut best: Option<(f64, &'b Candidate<'a>)> = None;
    let mut equals = 0u32;
    for (cost, candidate) in costs {
        match best {
            Some((least, _)) if cost > least => continue,
            Some((least, _)) if cost == least => {
                equals += 1;
                if rng.random_range(0..=equals) > 0 {
                    continue;
                }
            },
            _ => equals = 0,
        }
        best = Some((cost, candidate));
    }
    best.map(|(_, candidate)| candidate)
}
