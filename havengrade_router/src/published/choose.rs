//! The endpoint for a try at a request.

use std::time::SystemTime;

use havengrade_core::{
    published::{
        directory::ListedEndpoint,
        peers::Work,
        placement::{Candidate, Placement, Prompt, place},
        sent_parts::Prefix,
    },
    selection::EndpointStates as _,
};

use crate::published::{context::PublishedContext, job::Job, ports::PromptPart};

/// An endpoint for a try, and the prompt tokens that it will have to read.
#[derive(Clone, Debug)]
pub(super) struct Chosen {
    /// The endpoint.
    pub(super) endpoint: ListedEndpoint,
    /// Prompt tokens, in those of the largest model.
    pub(super) tokens: u32,
}

/// The endpoint for the next try.
pub(super) fn choose(cx: &PublishedContext, job: &Job, now: SystemTime) -> Option<Chosen> {
    let usable = cx.shared.usable.load();
    let endpoints = usable.get(&job.service)?;
    let session = job.facts.session.as_deref();
    let allowed = cx.shared.rollouts().allowed(&job.service, &job.id, session, cx.shared.rollout_bounds(), now);
    let share = connection_share(cx, job);
    let has_room = |endpoint: &&ListedEndpoint| share.is_none_or(|share| in_flight(cx, endpoint) < share);
    let mut versioned: Vec<&ListedEndpoint> = endpoints.iter().filter(|e| allowed.includes(&e.version)).collect();
    if versioned.is_empty() && cx.shared.rollouts().may_take_any(&job.service) {
        // The old version has left the list: the roll-out has ended, and this VM has not heard of it yet.
        versioned = endpoints.iter().collect();
    }
    let (prompt, prefixes) = prompt(cx, job).unzip();
    let prefixes = prefixes.unwrap_or_default();
    let candidates = candidates(cx, versioned.into_iter().filter(has_room), &prefixes, now);
    let domain = &cx.shared.settings.vm.failure_domain;
    let placement = Placement { failure_domain: domain, tried: &job.tried, prompt: prompt.as_ref(), now };
    let placed = place(&candidates, placement, &mut *cx.shared.rng())?;
    cx.shared.sent_parts().note(&prefixes, &placed.endpoint.id, now);
    Some(Chosen { endpoint: placed.endpoint.clone(), tokens: placed.tokens })
}

/// Connections to one endpoint of the request's service that this VM may have.
fn connection_share(cx: &PublishedContext, job: &Job) -> Option<u32> {
    let vms = cx.shared.peers().len() + 1;
    cx.shared.routes.load().service(&job.service)?.connection_share(vms)
}

/// Connections of this VM to an endpoint that are in use; kept ones are used before new ones are opened.
fn in_flight(cx: &PublishedContext, endpoint: &ListedEndpoint) -> u32 {
    cx.shared.states.slot(&endpoint.id).map_or(0, |slot| slot.in_flight())
}

/// The endpoints with what is known of their load, and what they have cached of a prompt.
fn candidates<'a>(
    cx: &PublishedContext,
    endpoints: impl Iterator<Item = &'a ListedEndpoint>,
    prefixes: &[Prefix],
    now: SystemTime,
) -> Vec<Candidate<'a>> {
    let sent = cx.shared.sent_parts();
    let cached = sent.cached(prefixes, now);
    let cached_at = |endpoint: &ListedEndpoint| cached.get(endpoint.id.as_str()).copied().unwrap_or_default();
    endpoints.map(|endpoint| Candidate { cached: cached_at(endpoint), ..candidate(cx, endpoint) }).collect()
}

fn candidate<'a>(cx: &PublishedContext, endpoint: &'a ListedEndpoint) -> Candidate<'a> {
    let own = cx.shared.states.slot(&endpoint.id);
    let (requests, tokens) = own.map_or((0, 0), |slot| (slot.in_flight(), slot.unread()));
    let others = cx.shared.peers().work(&endpoint.id);
    let work = Work { requests: requests + others.requests, tokens: tokens.saturating_add(others.tokens) };
    Candidate { endpoint, state: cx.shared.states.state(&endpoint.id), work, cached: 0 }
}

/// The prompt of a generation, weighed by how much work its model is, and its beginnings that others share.
fn prompt(cx: &PublishedContext, job: &Job) -> Option<(Prompt, Vec<Prefix>)> {
    let total = job.facts.tokens?.prompt;
    let routes = cx.shared.routes.load();
    let weight = routes.service(&job.service).map_or(1.0, |service| service.work_of(job.model.as_deref()));
    let weigh = |tokens: u32| (f64::from(tokens) * weight) as u32;
    let shared = job.facts.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    // What is cached is cached for one model.
    let model = job.model.as_deref().unwrap_or_default();
    let mut shared_tokens = 0u32;
    let prefix = |part: &PromptPart| {
        shared_tokens = shared_tokens.saturating_add(part.tokens).min(total);
        Prefix { key: format!("{model}/{}", part.id), tokens: weigh(shared_tokens) }
    };
    let prefixes: Vec<Prefix> = shared.iter().map(prefix).collect();
    let prompt = Prompt {
        shared_part: prefixes.last().map(|prefix| prefix.key.clone()),
        shared_tokens: weigh(shared_tokens),
        own_tokens: weigh(total - shared_tokens),
        sent_tokens: total,
    };
    Some((prompt, prefixes))
}
