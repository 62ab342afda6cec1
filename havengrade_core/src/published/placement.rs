//! Choice of an endpoint for a request of a published route.
//!
//! A generation goes where its first token is likely to come soonest: the prompts that are still to be read
//! there, of all VMs, and its own without what the endpoint has cached. A plain request goes where the
//! smallest part of the slots is taken.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::SystemTime,
};

use rand::{Rng, RngExt as _};

use crate::{
    ids::EndpointId,
    published::{directory::ListedEndpoint, peers::Work},
    selection::EndpointState,
};

/// Share of the slots that another failure domain costs a plain request, since bytes between them are paid for.
const FAR_SLOTS: f64 = 0.12;
/// Tokens that another failure domain costs a generation, for the same reason.
const FAR_TOKENS: f64 = 150.0;
/// Tokens that a running generation costs another one, by the time that its own steps take.
const RUNNING_TOKENS: f64 = 60.0;
/// Endpoints that are drawn for a generation beside the one that may have its prompt cached; all VMs know
/// much the same, and would meet at one endpoint if each took the best of all.
const DRAWN: usize = 4;

/// An endpoint that may be chosen, with what is known of its load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// What is known of its state.
    pub state: EndpointState,
    /// Work of this VM and of the others that is in progress there.
    pub work: Work,
}

impl Candidate<'_> {
    /// Share of the slots that is taken, with the distance from `domain`.
    fn occupancy(&self, domain: &str) -> f64 {
        let taken = f64::from(self.work.requests) / f64::from(self.endpoint.slots.max(1));
        taken + if self.endpoint.failure_domain == domain { 0.0 } else { FAR_SLOTS }
    }

    /// Tokens that are read before a generation's first one comes, with the distance from `domain`.
    fn wait(&self, prompt: &Prompt, holder: Option<&str>, domain: &str) -> f64 {
        let is_holder = holder == Some(self.endpoint.id.as_str());
        let own = if is_holder { prompt.own_tokens } else { prompt.own_tokens + prompt.shared_tokens };
        let far = if self.endpoint.failure_domain == domain { 0.0 } else { FAR_TOKENS };
        let running = f64::from(self.work.requests) * RUNNING_TOKENS;
        f64::from(self.work.tokens) + running + f64::from(own) + far
    }
}

/// The prompt of a generation, its tokens counted in those of the largest model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// What the shared parts are known by, model included; an endpoint is expected to have them cached.
    pub shared_part: Option<String>,
    /// Tokens of the shared parts.
    pub shared_tokens: u32,
    /// Tokens that no other request has.
    pub own_tokens: u32,
}

/// What an endpoint is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Failure domain of the VM that chooses.
    pub failure_domain: &'a str,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointId],
    /// The prompt, where the request is a generation.
    pub prompt: Option<&'a Prompt>,
    /// The present time.
    pub now: SystemTime,
}

/// An endpoint that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// Tokens of the prompt that it has to read, in those of the largest model.
    pub tokens: u32,
}

/// Chooses an endpoint; those that are passed over after failures are taken only where no other is left.
pub fn place<'a>(candidates: &[Candidate<'a>], placement: Placement<'_>, rng: &mut dyn Rng) -> Option<Placed<'a>> {
    let untried: Vec<&Candidate<'a>> =
        candidates.iter().filter(|c| !placement.tried.contains(&c.endpoint.id)).collect();
    let usable: Vec<&Candidate<'a>> = untried.iter().copied().filter(|c| c.state.is_usable(placement.now)).collect();
    let among = if usable.is_empty() { untried } else { usable };
    let domain = placement.failure_domain;
    let Some(prompt) = placement.prompt else {
        let endpoint = least(among.iter().map(|c| (c.occupancy(domain), *c)), rng)?.endpoint;
        return Some(Placed { endpoint, tokens: 0 });
    };
    let holder = prompt.shared_part.as_deref().and_then(|part| holder(&among, part));
    let drawn = (0..DRAWN).filter_map(|_| draw(&among, rng)).chain(holder).collect::<Vec<_>>();
    let holder = holder.map(|c| c.endpoint.id.as_str());
    let chosen = least(drawn.iter().map(|c| (c.wait(prompt, holder, domain), *c)), rng)?;
    let is_holder = holder == Some(chosen.endpoint.id.as_str());
    let tokens = prompt.own_tokens + if is_holder { 0 } else { prompt.shared_tokens };
    Some(Placed { endpoint: chosen.endpoint, tokens })
}

fn draw<'a, 'b>(among: &[&'b Candidate<'a>], rng: &mut dyn Rng) -> Option<&'b Candidate<'a>> {
    if among.is_empty() {
        return None;
    }
    among.get(rng.random_range(0..among.len())).copied()
}

/// The endpoint that is expected to have a part cached: the first in an order that depends on the part only.
fn holder<'a, 'b>(among: &[&'b Candidate<'a>], part: &str) -> Option<&'b Candidate<'a>> {
    among.iter().copied().max_by_key(|c| rank(part, &c.endpoint.id))
}

/// Where an endpoint stands in the order of a part; the same on every VM of one build.
fn rank(part: &str, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
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
