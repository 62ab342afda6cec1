//! Choice of an endpoint for a request of a published route.
//!
//! A generation goes to the endpoint with the lowest cost in prompt tokens of the largest model. The cost is the sum of
//! the prompts that the endpoint still has to read, of all VMs; of the request's own prompt without the tokens that the
//! endpoint has cached; and of the distance, by the bytes that cross it. The first two are multiplied by the slowness of
//! the endpoint. A small model, which reads quickly, is therefore asked nearby, and each failure domain caches the shared
//! prefixes for it; the large model is asked where the prefix is cached. A plain request goes to the endpoint with the
//! smallest share of occupied slots, multiplied by its slowness, among all endpoints or, in a large fleet, among two
//! random ones.

use std::time::SystemTime;

use rand::{Rng, RngExt as _};

use crate::{
    endpoint_selection::EndpointState,
    ids::EndpointId,
    published::{
        directory::ListedEndpoint, endpoint_memory::added_prompt_tokens, peers::Work, sent_prefixes::PrefixKey,
    },
    ranking::rank,
};

/// Share of the slots that another failure domain adds to the occupancy for a plain request, since bytes between
/// failure domains are paid for.
const FAR_OCCUPANCY: f64 = 0.12;
/// Tokens that another failure domain costs a generation, for the bytes of its answer.
const FAR_ANSWER_COST: f64 = 150.0;
/// Tokens that another failure domain costs a generation for each token of the prompt, for its bytes, whatever the
/// model.
///
/// From 0.12 to 0.18 the value makes no difference to callers, and 0.25 serves them worse; 0 delays fewer answers, but
/// sends more bytes between failure domains.
const FAR_COST_PER_TOKEN: f64 = 0.15;
/// Weight of reading an uncached shared prefix, which delays all other requests at the endpoint and evicts other
/// prefixes.
///
/// 1.5 and 2 serve callers equally well, and better than 1.
const UNCACHED_WEIGHT: f64 = 1.5;
/// Tokens that each running generation costs another one, for the time that its own steps take.
const RUNNING_COST: f64 = 60.0;
/// Number of random endpoints that a generation considers beside those that may have its prompt cached. All VMs know
/// much the same, so they would meet at one endpoint if each considered all of them.
const SAMPLE_SIZE: usize = 3;
/// Number of random endpoints that a plain request considers in a fleet whose VMs don't see all work.
///
/// The VMs' view is half a second old, and all of them agree on the endpoint with the least work. If all chose that
/// one, it would get every request until the next reports, and reject some. With 84 VMs and six endpoints, callers are
/// served better by a sample; with 7 VMs, which receive all reports, by the least occupied endpoint of all.
const PLAIN_SAMPLE_SIZE: usize = 2;
/// Number of random endpoints of the VM's own failure domain that a generation considers in addition.
const NEAR_SAMPLE_SIZE: usize = 2;

/// An endpoint that may be chosen, with its load as far as this VM knows.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// The state of the endpoint as this VM sees it.
    pub state: EndpointState,
    /// Work in progress at the endpoint, of this VM and of all others.
    pub work: Work,
    /// Shared tokens of the prompt that this VM recently sent there, in tokens of the largest model.
    pub cached_tokens: u32,
    /// How much longer work takes at the endpoint now than at an average one of its service; 1 if it is not known.
    pub slowness: f64,
    /// Prompt tokens, whatever the model, that fit into the endpoint's memory beside the known work and the expected
    /// output of the request; none if the memory is not known.
    pub free_tokens: Option<u32>,
}

impl Candidate<'_> {
    /// Share of occupied slots, multiplied by the slowness, plus a surcharge if the endpoint isn't in `domain`.
    ///
    /// The request itself counts as well, so that an idle slow endpoint costs more than an idle fast one. The slot that
    /// it takes at an average endpoint is left out, since it is no reason to prefer an endpoint with more slots.
    fn occupancy(&self, domain: &str) -> f64 {
        let requests = f64::from(self.work.requests) * self.slowness + (self.slowness - 1.0);
        let occupied = requests / f64::from(self.endpoint.slots.max(1));
        occupied + if self.endpoint.failure_domain == domain { 0.0 } else { FAR_OCCUPANCY }
    }

    /// Shared tokens of a prompt that this endpoint has to read; none if it is the preferred endpoint of the prefix.
    fn uncached_tokens(&self, prompt: &Prompt, preferred: Option<&str>) -> u32 {
        let is_preferred = preferred == Some(self.endpoint.id.as_str());
        if is_preferred { 0 } else { prompt.shared_tokens.saturating_sub(self.cached_tokens) }
    }

    /// Whether a prompt fits into the endpoint's memory, as far as it is known. A prefix that the endpoint is expected to
    /// have cached needs no room.
    fn has_room(&self, prompt: &Prompt, preferred: Option<&str>) -> bool {
        let Some(free) = self.free_tokens else { return true };
        let read_tokens = prompt.own_tokens + self.uncached_tokens(prompt, preferred);
        free > 0 && added_prompt_tokens(prompt, read_tokens) <= free
    }

    /// The cost of a generation at this endpoint for a VM in `domain`, in prompt tokens.
    fn cost(&self, prompt: &Prompt, preferred: Option<&str>, domain: &str) -> f64 {
        let queue = f64::from(self.work.tokens) + f64::from(self.work.requests) * RUNNING_COST;
        let read = f64::from(prompt.own_tokens) + f64::from(self.uncached_tokens(prompt, preferred)) * UNCACHED_WEIGHT;
        let is_near = self.endpoint.failure_domain == domain;
        let distance = if is_near { 0.0 } else { FAR_ANSWER_COST + f64::from(prompt.sent_tokens) * FAR_COST_PER_TOKEN };
        (queue + read) * self.slowness + distance
    }
}

/// The prompt of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Key of the shared prefix, including the model, by which its preferred endpoint is found; that endpoint is
    /// expected to have the prefix cached.
    pub shared_prefix: Option<PrefixKey>,
    /// Tokens of the shared prefix, in tokens of the largest model.
    pub shared_tokens: u32,
    /// Tokens that no other request shares, in tokens of the largest model.
    pub own_tokens: u32,
    /// Tokens of the whole prompt as it is sent, whatever the model.
    pub sent_tokens: u32,
}

/// The request that an endpoint is chosen for, and the VM that chooses.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Failure domain of this VM.
    pub failure_domain: &'a str,
    /// Endpoints at which the request was tried before.
    pub tried: &'a [EndpointId],
    /// Whether this VM receives each report of all other VMs, so that it knows of nearly all work.
    pub sees_all_work: bool,
    /// The prompt, if the request is a generation.
    pub prompt: Option<&'a Prompt>,
    /// The present time.
    pub now: SystemTime,
}

/// The endpoint that was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedEndpoint<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// Tokens of the prompt that the endpoint has to read, in tokens of the largest model.
    pub tokens: u32,
}

/// Chooses an endpoint for a request; endpoints into whose memory it doesn't fit, and those that are ejected after
/// failures, are considered only if no other is left.
pub fn place<'a>(
    candidates: &[Candidate<'a>],
    placement: PlacementContext<'_>,
    rng: &mut dyn Rng,
) -> Option<PlacedEndpoint<'a>> {
    let untried: Vec<&Candidate<'a>> =
        candidates.iter().filter(|c| !placement.tried.contains(&c.endpoint.id)).collect();
    let is_usable = |c: &&Candidate<'a>| c.state.is_usable(placement.now);
    let usable: Vec<&Candidate<'a>> = untried.iter().copied().filter(is_usable).collect();
    // A first attempt may go to an endpoint that rejected its last request, and so find out whether the endpoint
    // accepts requests again; retries, of which a request has few, don't.
    let is_accepting = |c: &&Candidate<'a>| placement.tried.is_empty() || !c.state.last_rejected;
    let accepting: Vec<&Candidate<'a>> = usable.iter().copied().filter(is_accepting).collect();
    // An ejected endpoint is no better than one without room, where the request waits or replaces another.
    let choices =
        [with_room(&accepting, placement.prompt), with_room(&usable, placement.prompt), accepting, usable, untried]
            .into_iter()
            .find(|some| !some.is_empty())?;
    let other_domains = in_other_domains(candidates, &choices, placement.tried);
    let choices = if other_domains.is_empty() { choices } else { other_domains };
    match placement.prompt {
        Some(prompt) => place_generation(&choices, prompt, placement.failure_domain, rng),
        None => {
            let sampled: Vec<&Candidate<'a>> = if placement.sees_all_work {
                choices
            } else {
                (0..PLAIN_SAMPLE_SIZE).filter_map(|_| sample(&choices, rng)).collect()
            };
            let costs = sampled.into_iter().map(|c| (c.occupancy(placement.failure_domain), c));
            Some(PlacedEndpoint { endpoint: cheapest(costs, rng)?.endpoint, tokens: 0 })
        },
    }
}

/// The endpoints into whose memory a prompt fits, or is not known not to fit.
fn with_room<'a, 'b>(choices: &[&'b Candidate<'a>], prompt: Option<&Prompt>) -> Vec<&'b Candidate<'a>> {
    let Some(prompt) = prompt.filter(|_| choices.iter().any(|c| c.free_tokens.is_some())) else {
        return choices.to_vec();
    };
    let preferred = prompt.shared_prefix.as_deref().and_then(|prefix| highest_ranked(choices, prefix));
    let preferred = preferred.map(|c| c.endpoint.id.as_str());
    choices.iter().copied().filter(|c| c.has_room(prompt, preferred)).collect()
}

/// The endpoints in failure domains where the request wasn't tried: the failure of one endpoint may concern others
/// beside it.
///
/// If 35 endpoints of a domain fail at once, a request would be tried at three of them and then rejected. This rule
/// lowers the share of such rejections by 0.4 percentage points, of 38,600 requests.
fn in_other_domains<'a, 'b>(
    candidates: &[Candidate<'a>],
    choices: &[&'b Candidate<'a>],
    tried: &[EndpointId],
) -> Vec<&'b Candidate<'a>> {
    if tried.is_empty() {
        return choices.to_vec();
    }
    let tried = candidates.iter().filter(|c| tried.contains(&c.endpoint.id));
    let domains: Vec<&str> = tried.map(|c| c.endpoint.failure_domain.as_str()).collect();
    choices.iter().copied().filter(|c| !domains.contains(&c.endpoint.failure_domain.as_str())).collect()
}

/// Chooses among the preferred endpoints of the shared prefix, those that have it cached, and a few random ones.
fn place_generation<'a>(
    choices: &[&Candidate<'a>],
    prompt: &Prompt,
    domain: &str,
    rng: &mut dyn Rng,
) -> Option<PlacedEndpoint<'a>> {
    let near: Vec<&Candidate<'a>> = choices.iter().copied().filter(|c| c.endpoint.failure_domain == domain).collect();
    let prefix = prompt.shared_prefix.as_deref();
    let preferred = prefix.and_then(|prefix| highest_ranked(choices, prefix));
    let near_preferred = prefix.and_then(|prefix| highest_ranked(&near, prefix));
    let mut considered: Vec<&Candidate<'a>> = (0..SAMPLE_SIZE).filter_map(|_| sample(choices, rng)).collect();
    considered.extend((0..NEAR_SAMPLE_SIZE).filter_map(|_| sample(&near, rng)));
    considered.extend(preferred.into_iter().chain(near_preferred));
    considered.extend(choices.iter().copied().filter(|c| c.cached_tokens > 0));
    let preferred = preferred.map(|c| c.endpoint.id.as_str());
    let chosen = cheapest(considered.into_iter().map(|c| (c.cost(prompt, preferred, domain), c)), rng)?;
    let tokens = prompt.own_tokens + chosen.uncached_tokens(prompt, preferred);
    Some(PlacedEndpoint { endpoint: chosen.endpoint, tokens })
}

fn sample<'a, 'b>(choices: &[&'b Candidate<'a>], rng: &mut dyn Rng) -> Option<&'b Candidate<'a>> {
    if choices.is_empty() {
        return None;
    }
    choices.get(rng.random_range(0..choices.len())).copied()
}

/// The preferred endpoint of a prefix: the highest in an order that depends on the prefix only, and so is the same at
/// all VMs.
fn highest_ranked<'a, 'b>(choices: &[&'b Candidate<'a>], prefix: &str) -> Option<&'b Candidate<'a>> {
    choices.iter().copied().max_by_key(|c| rank(&[prefix, &c.endpoint.id]))
}

/// The candidate with the lowest cost; a random one if several have it.
fn cheapest<'a, 'b>(
    costs: impl Iterator<Item = (f64, &'b Candidate<'a>)>,
    rng: &mut dyn Rng,
) -> Option<&'b Candidate<'a>> {
    let mut best: Option<(f64, &'b Candidate<'a>)> = None;
    let mut ties = 0u32;
    for (cost, candidate) in costs {
        match best {
            Some((lowest, _)) if cost > lowest => continue,
            Some((lowest, _)) if cost == lowest => {
                ties += 1;
                if rng.random_range(0..=ties) > 0 {
                    continue;
                }
            },
            _ => ties = 0,
        }
        best = Some((cost, candidate));
    }
    best.map(|(_, candidate)| candidate)
}
