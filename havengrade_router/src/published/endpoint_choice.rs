//! Chooses the endpoint for an attempt, or the refusal if there is none.

use std::time::SystemTime;

use havengrade_core::{
    endpoint_selection::EndpointStates as _,
    published::{
        admission::Forecast,
        directory::ListedEndpoint,
        endpoint_memory::{added_prompt_tokens, free_tokens},
        peers::Work,
        placement::{Candidate, PlacementContext, Prompt, place},
        rollout::AllowedVersions,
        send_limits::Readiness,
        sent_prefixes::Prefix,
        time_histogram::Load,
    },
};

use crate::{
    endpoints::RequestTokens,
    published::{
        active_request::ActiveRequest, admission, context::PublishedContext, ports::PromptPart, quarantine,
        refusal::Refusal, send_limits::ServiceSendLimits,
    },
};

/// An endpoint chosen for an attempt.
#[derive(Clone, Debug)]
pub(super) struct ChosenEndpoint {
    /// Chosen endpoint.
    pub(super) endpoint: ListedEndpoint,
    /// Tokens of the request at the endpoint.
    pub(super) tokens: RequestTokens,
    /// Load of the endpoint.
    pub(super) load: Load,
    /// Prompt tokens that the endpoint has to read before the first event: those that are pending there and those of the
    /// request.
    pub(super) tokens_to_read: u32,
    /// Prompt tokens of the request that no other request shares, counted as tokens of the largest model.
    pub(super) own_tokens: u32,
}

/// Chooses the endpoint for the next attempt and reserves a send there.
///
/// # Errors
///
/// [`Refusal`] if there is no endpoint, or if the endpoints are short of capacity and other requests are served first.
pub(super) fn choose_endpoint(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
    now: SystemTime,
) -> Result<ChosenEndpoint, Refusal> {
    request.endpoint_list_age = cx.shared.endpoint_list_age(now);
    loop {
        let Some(ready) = choose_ready_endpoint(cx, request, now) else {
            return Err(request.refusal(refusal_without_endpoint(cx, request, now), Refusal::Lost));
        };
        if let Some(forecast) = ready.forecast {
            admission::decide(cx, request, forecast, now)?;
        }
        let chosen = ready.chosen;
        cx.shared.sent_prefixes().record(&ready.prefixes, &chosen.endpoint.id, now);
        if let Some(memory) = ready.memory {
            record_memory_use(request, &chosen, memory, ready.free_tokens);
        }
        // Another request may have reserved the last send to this endpoint in the meantime.
        if ServiceSendLimits::new(cx, request).try_reserve(&chosen.endpoint, now) {
            return Ok(chosen);
        }
    }
}

/// An endpoint that may get a request, before admission is decided.
struct ReadyEndpoint {
    chosen: ChosenEndpoint,
    /// Prefixes that will be cached there.
    prefixes: Vec<Prefix>,
    /// What is expected at the endpoints; none for a plain request.
    forecast: Option<Forecast>,
    /// What the request needs of its memory; none if the memory is not known.
    memory: Option<MemoryDemand>,
    /// Free memory of the endpoint, as in [`Candidate::free_tokens`].
    free_tokens: Option<u32>,
}

/// Chooses the best endpoint whose send limits allow another request now.
fn choose_ready_endpoint(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Option<ReadyEndpoint> {
    let usable = cx.shared.usable_endpoints.load();
    let endpoints = outside_emptied_domains(cx, usable.get(&request.service)?);
    let session = request.attributes.session.as_deref();
    let share = connection_share(cx, request);
    let has_room = |endpoint: &&ListedEndpoint| share.is_none_or(|share| own_in_flight(cx, endpoint) < share);
    let send_limits = ServiceSendLimits::new(cx, request);
    let eligible = send_limits.ready_endpoints(with_allowed_version(cx, request, &endpoints, session, now), now);
    let eligible = if eligible.is_empty() {
        send_limits.ready_endpoints(with_old_version(cx, request, &endpoints, now), now)
    } else {
        eligible
    };
    let eligible = quarantine::without_reserved(cx, request, eligible.into_iter().filter(has_room).collect(), now);
    let (prompt, prefixes) = weighted_prompt(cx, request, request.model.as_deref()).unzip();
    let prefixes = prefixes.unwrap_or_default();
    let memory = MemoryDemand::of(cx, request);
    let candidates = candidates(cx, eligible.into_iter(), &prefixes, memory, now);
    let domain = &cx.shared.settings.vm.failure_domain;
    let sees_all_work = !cx.shared.peers().is_large();
    let placement = PlacementContext {
        failure_domain: domain,
        tried: &request.tried_endpoints,
        sees_all_work,
        prompt: prompt.as_ref(),
        now,
    };
    let placed = place(&candidates, placement, &mut *cx.shared.rng())?;
    let forecast = prompt.is_some().then(|| admission::forecast(cx, &request.service, &candidates, placed, now));
    let endpoint = placed.endpoint.clone();
    let work = known_work(cx, &endpoint);
    let load = Load::of(work.requests, endpoint.slots);
    let tokens_to_read = work.tokens.saturating_add(placed.tokens);
    let memory_tokens = memory.zip(prompt.as_ref()).map_or(0, |(memory, prompt)| {
        added_prompt_tokens(prompt, placed.tokens).saturating_add(memory.expected_output)
    });
    let free_tokens = candidates.iter().find(|c| c.endpoint.id == endpoint.id).and_then(|c| c.free_tokens);
    let tokens = RequestTokens { pending_prompt: placed.tokens, memory: memory_tokens };
    let own_tokens = prompt.as_ref().map_or(0, |prompt| prompt.own_tokens);
    let chosen = ChosenEndpoint { endpoint, tokens, load, tokens_to_read, own_tokens };
    Some(ReadyEndpoint { chosen, prefixes, forecast, memory, free_tokens })
}

/// Whether another endpoint than this one may get a request now.
pub(super) fn has_other_ready_endpoint(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    now: SystemTime,
) -> bool {
    choose_ready_endpoint(cx, request, now).is_some_and(|ready| ready.chosen.endpoint.id != endpoint.id)
}

/// The memory of the endpoints of a request's service, and what the request is expected to generate there.
#[derive(Clone, Copy, Debug)]
struct MemoryDemand {
    /// Tokens that fit into the memory of one endpoint.
    memory_tokens: u32,
    /// Tokens that the request is expected to generate.
    expected_output: u32,
}

impl MemoryDemand {
    /// None if the memory is not configured, the request is no generation, or its route chooses no models.
    fn of(cx: &PublishedContext, request: &ActiveRequest) -> Option<Self> {
        let memory_tokens = endpoint_memory_tokens(cx, request)?;
        let limit = request.attributes.tokens?.max_generated;
        let expected_output = cx.shared.output_lengths().expected(&request.route.name, limit);
        Some(Self { memory_tokens, expected_output })
    }
}

/// Tokens that fit into the memory of an endpoint of the request's service; none if it is not configured or the route
/// chooses no models.
pub(super) fn endpoint_memory_tokens(cx: &PublishedContext, request: &ActiveRequest) -> Option<u32> {
    let routes = cx.shared.routes.load();
    let memory_tokens = routes.service(&request.service)?.memory_tokens;
    (memory_tokens > 0 && !request.route.models.is_empty()).then_some(memory_tokens)
}

/// Counts and logs a request that is sent to an endpoint whose free memory is known to be too small for it.
fn record_memory_use(request: &ActiveRequest, chosen: &ChosenEndpoint, memory: MemoryDemand, free_tokens: Option<u32>) {
    let free = free_tokens.unwrap_or_default();
    let memory_tokens = chosen.tokens.memory;
    if free > 0 && memory_tokens <= free.saturating_add(memory.expected_output) {
        return;
    }
    metrics::counter!("requests_beyond_memory", "service" => request.service.clone()).increment(1);
    log::debug!(
        request = request.id.as_str(),
        endpoint = chosen.endpoint.id.as_str(),
        free_tokens = free,
        memory_tokens = memory_tokens,
        expected_output = memory.expected_output;
        "sent to an endpoint without room"
    );
}

/// Returns the endpoints outside emptied failure domains.
pub(super) fn outside_emptied_domains<'a>(
    cx: &PublishedContext,
    endpoints: &'a [ListedEndpoint],
) -> Vec<&'a ListedEndpoint> {
    let emptied = cx.shared.emptied_domains.load();
    endpoints.iter().filter(|endpoint| !emptied.is_emptied(&endpoint.failure_domain)).collect()
}

/// Returns the endpoints whose versions may answer the request.
fn with_allowed_version<'a>(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoints: &[&'a ListedEndpoint],
    session: Option<&str>,
    now: SystemTime,
) -> Vec<&'a ListedEndpoint> {
    let rollouts = cx.shared.rollouts();
    let allowed = rollouts.allowed_versions(&request.service, &request.id, session, cx.shared.rollout_bounds(), now);
    let is_not_rolled_back = |endpoint: &&ListedEndpoint| !rollouts.is_rolled_back(&request.service, &endpoint.version);
    let not_rolled_back = endpoints.iter().copied().filter(is_not_rolled_back);
    let eligible: Vec<_> = not_rolled_back.clone().filter(|e| allowed.includes(&e.version)).collect();
    let is_old = |endpoint: &&ListedEndpoint| !rollouts.is_target_version(&request.service, &endpoint.version);
    let has_affinity_to_old =
        matches!(&allowed, AllowedVersions::Only(version) if !rollouts.is_target_version(&request.service, version));
    if !eligible.is_empty()
        || !rollouts.may_use_any_version(&request.service)
        || (has_affinity_to_old && endpoints.iter().any(is_old))
    {
        // If another version has replaced that of the session, no endpoint may serve the session.
        return eligible;
    }
    // The old version is no longer listed: the roll-out has ended, but its end has not reached this VM yet.
    not_rolled_back.collect()
}

/// Returns the endpoints of old versions, for a request that was assigned to the new version.
fn with_old_version<'a>(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoints: &[&'a ListedEndpoint],
    now: SystemTime,
) -> Vec<&'a ListedEndpoint> {
    let rollouts = cx.shared.rollouts();
    let session = request.attributes.session.as_deref();
    if !rollouts.may_use_old_versions(&request.service, session, cx.shared.rollout_bounds(), now) {
        return Vec::new();
    }
    let is_old = |endpoint: &&ListedEndpoint| !rollouts.is_target_version(&request.service, &endpoint.version);
    let is_not_rolled_back = |endpoint: &&ListedEndpoint| !rollouts.is_rolled_back(&request.service, &endpoint.version);
    endpoints.iter().copied().filter(is_old).filter(is_not_rolled_back).collect()
}

/// Determines the refusal for a request for which [`choose_endpoint`] found no endpoint.
fn refusal_without_endpoint(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Refusal {
    let usable = cx.shared.usable_endpoints.load();
    let listed = usable.get(&request.service).map(Vec::as_slice).unwrap_or_default();
    let endpoints = outside_emptied_domains(cx, listed);
    if endpoints.is_empty() && !listed.is_empty() {
        return Refusal::DomainsEmptied { known_for: cx.shared.emptied_domains.load().emptied_for(now) };
    }
    let session = request.attributes.session.as_deref();
    let eligible = with_allowed_version(cx, request, &endpoints, session, now);
    if !eligible.is_empty() {
        return match ServiceSendLimits::new(cx, request).earliest_readiness(&eligible, now) {
            Readiness::Now => Refusal::NoEndpoint,
            Readiness::After(retry_after) => Refusal::EndpointsAtLimit { retry_after },
            Readiness::Never => Refusal::EndpointsShuttingDown,
        };
    }
    let rollouts = cx.shared.rollouts();
    let is_bad = |endpoint: &&ListedEndpoint| rollouts.is_halted(&request.service, &endpoint.version);
    if !rollouts.may_use_any_version(&request.service) && endpoints.iter().all(is_bad) {
        return Refusal::BadVersion;
    }
    let time_left = session.and_then(|session| rollouts.session_time_left(session, cx.shared.rollout_bounds(), now));
    match time_left {
        Some(left) if !endpoints.is_empty() => Refusal::SessionVersionGone { left },
        _ => Refusal::NoEndpoint,
    }
}

/// Maximum number of connections of this VM to each endpoint of the request's service.
fn connection_share(cx: &PublishedContext, request: &ActiveRequest) -> Option<u32> {
    let vms = cx.shared.peers().len() + 1;
    cx.shared.routes.load().service(&request.service)?.connection_share(vms)
}

/// Number of connections of this VM to an endpoint that are in use; idle ones are reused before new ones are opened.
fn own_in_flight(cx: &PublishedContext, endpoint: &ListedEndpoint) -> u32 {
    cx.shared.endpoint_states.slot(&endpoint.id).map_or(0, |slot| slot.in_flight())
}

/// Adds to each endpoint its known load, its speed and the prompt tokens that it has cached.
fn candidates<'a>(
    cx: &PublishedContext,
    endpoints: impl Iterator<Item = &'a ListedEndpoint>,
    prefixes: &[Prefix],
    memory: Option<MemoryDemand>,
    now: SystemTime,
) -> Vec<Candidate<'a>> {
    let sent = cx.shared.sent_prefixes();
    let cached = sent.cached_tokens(prefixes, now);
    let cached_at = |endpoint: &ListedEndpoint| cached.get(endpoint.id.as_str()).copied().unwrap_or_default();
    let speeds = cx.shared.endpoint_speeds();
    let with_speed = |endpoint: &'a ListedEndpoint| Candidate {
        cached_tokens: cached_at(endpoint),
        slowness: speeds.slowness(endpoint, now),
        ..candidate(cx, endpoint, memory, now)
    };
    endpoints.map(with_speed).collect()
}

fn candidate<'a>(
    cx: &PublishedContext,
    endpoint: &'a ListedEndpoint,
    memory: Option<MemoryDemand>,
    now: SystemTime,
) -> Candidate<'a> {
    let work = known_work(cx, endpoint);
    let state = cx.shared.endpoint_states.state(&endpoint.id);
    let free_tokens = memory.map(|memory| free_tokens_at(cx, endpoint, work, memory, now));
    Candidate { endpoint, state, work, cached_tokens: 0, slowness: 1.0, free_tokens }
}

/// Prompt tokens for which an endpoint has room.
fn free_tokens_at(
    cx: &PublishedContext,
    endpoint: &ListedEndpoint,
    work: Work,
    memory: MemoryDemand,
    now: SystemTime,
) -> u32 {
    let slot = cx.shared.endpoint_states.slot(&endpoint.id);
    let reported = slot.and_then(|slot| slot.reported_occupancy(endpoint.slots));
    free_tokens(memory.memory_tokens, work, reported, memory.expected_output, now)
}

/// Work in progress at an endpoint: that of this VM and that reported by other VMs.
pub(super) fn known_work(cx: &PublishedContext, endpoint: &ListedEndpoint) -> Work {
    let own = cx.shared.endpoint_states.slot(&endpoint.id);
    let own = own.map_or_else(Work::default, |slot| slot.work());
    own + cx.shared.peers().work(&endpoint.id)
}

/// Returns the prompt of a generation, weighted by the work of its model, and the prefixes that others may share.
pub(super) fn weighted_prompt(
    cx: &PublishedContext,
    request: &ActiveRequest,
    model: Option<&str>,
) -> Option<(Prompt, Vec<Prefix>)> {
    let total = request.attributes.tokens?.prompt;
    let routes = cx.shared.routes.load();
    let weight = routes.service(&request.service).map_or(1.0, |service| service.relative_work(model));
    let weighted = |tokens: u32| (f64::from(tokens) * weight) as u32;
    let shared = request.attributes.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    // Prompt caches are separate for each model.
    let model = model.unwrap_or_default();
    let mut shared_tokens = 0u32;
    let prefix = |part: &PromptPart| {
        shared_tokens = shared_tokens.saturating_add(part.tokens).min(total);
        Prefix { key: format!("{model}/{}", part.id), tokens: weighted(shared_tokens) }
    };
    let prefixes: Vec<Prefix> = shared.iter().map(prefix).collect();
    let prompt = Prompt {
        shared_prefix: prefixes.last().map(|prefix| prefix.key.clone()),
        shared_tokens: weighted(shared_tokens),
        own_tokens: weighted(total - shared_tokens),
        sent_tokens: total,
    };
    Some((prompt, prefixes))
}
