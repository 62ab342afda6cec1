//! A request in progress: its state and its admission.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    fingerprint::{RequestFingerprint, fingerprint, prompt_part_fingerprint},
    ids::{AccountId, EndpointId, ServiceId},
    published::{
        attempt::{Attempts, Guarantee, RunState},
        model_choice,
        route::{AnswerShape, PublishedRoute, Repeat, RouteTable},
    },
    quarantine::JudgedRequest,
};
use hyper::{Version, body::Incoming, header, http::request};

use crate::published::{
    context::PublishedContext,
    ports::RequestAttributes,
    refusal::Refusal,
    request_body::KeptBody,
    request_relay::{RelayedRequest, learn_tolerated_rejections, take_sent_attempts},
    shutdown::may_outlast_shutdown,
};

/// Time to the first event after which another endpoint is tried, as a multiple of the route's target.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 1.5;
/// Time to a whole answer after which another endpoint is tried, as a multiple of the route's target.
const WHOLE_ANSWER_TIMEOUT_FACTOR: f64 = 3.0;
/// Age of the configuration up to which a route or key that it lacks is refused as unknown.
const MAX_TRUSTED_CONFIG_AGE: Duration = Duration::from_millis(2500);

/// Parts of a prompt that are judged; a caller chooses how many there are.
const MAX_JUDGED_PARTS: usize = 64;

/// The single send of a quarantined or suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// The request needs no claim.
    None,
    /// The next send must be claimed first.
    Required,
    /// This VM claimed the send, and no endpoint may have run the request since.
    Claimed,
    /// An endpoint may have run the request under the claim, so that it must not be sent again.
    Spent,
}

/// A request in progress.
#[derive(Clone)]
pub(super) struct ActiveRequest {
    /// Id that the caller gave this attempt.
    pub(super) id: String,
    /// Method, URI and headers.
    pub(super) head: request::Parts,
    /// Whole body.
    pub(super) body: KeptBody,
    /// Attributes that the caller's headers give.
    pub(super) attributes: RequestAttributes,
    /// Matched route.
    pub(super) route: PublishedRoute,
    /// Service that answers.
    pub(super) service: ServiceId,
    /// Client account; none where the route needs no key.
    pub(super) account: Option<AccountId>,
    /// Version of the configuration in which the route and the key were looked up.
    pub(super) config_version: u64,
    /// Age of that configuration at the lookup.
    pub(super) config_age: Duration,
    /// Priority; 0 is the most urgent.
    pub(super) priority: u8,
    /// Model that the router chose.
    pub(super) model: Option<String>,
    /// When its head was read.
    pub(super) received_at: SystemTime,
    /// Time by which the answer must be complete.
    pub(super) deadline: SystemTime,
    /// Whether the retry budget has already been charged for the next attempt.
    pub(super) has_reserved_retry: bool,
    /// Single send that this VM claimed because endpoints crashed while the request was in progress.
    pub(super) trial: Trial,
    /// Whether it was decided that the request is sent; it is decided once, before the first send.
    pub(super) is_admitted: bool,
    /// Cached result of [`Self::judged`].
    judged: OnceLock<JudgedRequest>,
    /// Attempts so far.
    pub(super) attempts: Attempts,
    /// Endpoints of the attempts so far.
    pub(super) tried_endpoints: Vec<EndpointId>,
    /// Whether another VM, which reaches no endpoint, relayed the request.
    pub(super) is_relayed: bool,
    /// Age of the endpoint list at the latest choice of an endpoint.
    pub(super) endpoint_list_age: Duration,
}

impl ActiveRequest {
    /// Whether the request needs a valid key.
    pub(super) fn requires_key(&self) -> bool {
        self.account.is_some()
    }

    /// Identifies the request across repeats, by method, host, path, client account and body.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        self.judged().request
    }

    /// What the quarantine judges of the request: itself, and all parts of its prompt but the last one, which is its own;
    /// computed on first use.
    pub(super) fn judged(&self) -> &JudgedRequest {
        self.judged.get_or_init(|| {
            let host = self.head.headers.get(header::HOST).map(|host| host.as_bytes().to_ascii_lowercase());
            let path = self.head.uri.path_and_query().map_or("", |path| path.as_str());
            let request = fingerprint(&[
                self.head.method.as_str().as_bytes(),
                &host.unwrap_or_default(),
                path.as_bytes(),
                self.account.as_deref().unwrap_or_default().as_bytes(),
                &self.body.bytes,
            ]);
            let shared = self.attributes.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
            let parts = shared.iter().take(MAX_JUDGED_PARTS).map(|part| prompt_part_fingerprint(&part.id)).collect();
            JudgedRequest { request, parts }
        })
    }

    /// Records how far the request ran in an attempt.
    pub(super) fn record_attempt(&mut self, state: RunState) {
        self.attempts.record(state);
        if self.trial == Trial::Claimed && !state.is_surely_not_run() {
            self.trial = Trial::Spent;
        }
    }

    /// Sets whether the next send must be claimed, unless it already is.
    pub(super) fn set_claim_required(&mut self, is_required: bool) {
        if matches!(self.trial, Trial::None | Trial::Required) {
            self.trial = if is_required { Trial::Required } else { Trial::None };
        }
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self, now: SystemTime) -> Duration {
        self.deadline.duration_since(now).unwrap_or_default()
    }

    /// Time to wait for an endpoint before another one is tried; all the time left if no further attempt is allowed.
    pub(super) fn attempt_timeout(&self, now: SystemTime) -> Duration {
        let mut attempts = self.attempts.clone();
        attempts.record(RunState::MayHaveRun);
        let left = self.time_left(now);
        if !attempts.may_try_again() {
            return left;
        }
        let factor = match self.route.shape {
            AnswerShape::Events { .. } => FIRST_EVENT_TIMEOUT_FACTOR,
            AnswerShape::Whole => WHOLE_ANSWER_TIMEOUT_FACTOR,
        };
        self.route.target.mul_f64(factor).min(left)
    }

    /// Selects the refusal by whether it is guaranteed that the request did not run.
    pub(super) fn refusal(&self, if_not_run: Refusal, if_unknown: Refusal) -> Refusal {
        match self.attempts.guarantee() {
            Guarantee::NotRun => if_not_run,
            Guarantee::None => if_unknown,
        }
    }
}

/// Reads a request and determines its route, client account, deadline and model.
pub(super) async fn admit(
    cx: &PublishedContext,
    mut head: request::Parts,
    body: Incoming,
    attributes: RequestAttributes,
    received_at: SystemTime,
) -> Result<ActiveRequest, Refusal> {
    if !cx.shared.knows_routes() {
        return Err(Refusal::Starting);
    }
    check_host(&head)?;
    let id = attributes.id.clone().ok_or(Refusal::Malformed)?;
    let routes = cx.shared.routes.load_full();
    let found = look_up(cx, &routes, &head, &attributes, received_at)?;
    if may_outlast_shutdown(cx, found.time_limit, received_at) {
        return Err(Refusal::Stopping);
    }
    let body = cx.shared.request_bodies.read(body, routes.limits().body_bytes, found.time_limit).await?;
    let RouteLookup { route, account, time_limit, config_version, config_age } =
        look_up_again(cx, found, &head, &attributes)?;
    let service = route.service_for(&id).ok_or(Refusal::NoEndpoint)?.clone();
    let repeat = match route.shape {
        AnswerShape::Events { is_resumable: true } => Repeat::Allowed,
        AnswerShape::Events { is_resumable: false } => Repeat::Never,
        AnswerShape::Whole => route.repeat,
    };
    let may_escalate = model_choice::may_escalate(&route, repeat == Repeat::Allowed, attributes.last_event.is_some());
    let model = attributes
        .lets_router_choose_model
        .then(|| model_choice::initial_model(&route.models, may_escalate).cloned())
        .flatten();
    let is_relayed = head.extensions.get::<RelayedRequest>().is_some();
    let sent_attempts = take_sent_attempts(&mut head);
    learn_tolerated_rejections(cx, &mut head, &service, received_at);
    let (account, account_priority) = account.unzip();
    Ok(ActiveRequest {
        id,
        attempts: Attempts::new(repeat, route.max_tries).after_sends(sent_attempts),
        priority: account_priority.flatten().unwrap_or(route.priority),
        deadline: received_at + time_limit,
        head,
        body,
        attributes,
        route,
        service,
        account,
        config_version,
        config_age,
        model,
        received_at,
        has_reserved_retry: false,
        trial: Trial::None,
        is_admitted: false,
        judged: OnceLock::new(),
        tried_endpoints: Vec::new(),
        endpoint_list_age: Duration::ZERO,
        is_relayed,
    })
}

/// What a configuration has for a request.
struct RouteLookup {
    route: PublishedRoute,
    account: AccountAndPriority,
    /// Longest time that the request may take.
    time_limit: Duration,
    config_version: u64,
    config_age: Duration,
}

/// Looks up the route and the client account of a request, all in one configuration.
fn look_up(
    cx: &PublishedContext,
    routes: &RouteTable,
    head: &request::Parts,
    attributes: &RequestAttributes,
    now: SystemTime,
) -> Result<RouteLookup, Refusal> {
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let route = routes.find(host, head.uri.path());
    let route = route.ok_or_else(|| refuse_unknown(routes, Refusal::NoRoute, now))?.clone();
    let account = find_account(cx, routes, &route, attributes, now)?;
    Ok(RouteLookup {
        time_limit: attributes.time_limit.unwrap_or(route.time_limit).min(route.time_limit),
        route,
        account,
        config_version: routes.version(),
        config_age: routes.age(now).unwrap_or_default(),
    })
}

/// Looks up a request again if another configuration was activated while its body arrived.
fn look_up_again(
    cx: &PublishedContext,
    found: RouteLookup,
    head: &request::Parts,
    attributes: &RequestAttributes,
) -> Result<RouteLookup, Refusal> {
    let routes = cx.shared.routes.load_full();
    if routes.version() == found.config_version {
        return Ok(found);
    }
    look_up(cx, &routes, head, attributes, cx.shared.clock.now())
}

/// Checks the key of a request that is about to be sent, which may have waited since its key was looked up.
///
/// Only the first send needs a key that is still valid: a request that has begun is finished.
///
/// # Errors
///
/// [`Refusal`] if the key was withdrawn, or if it is not known whether it was.
pub(super) fn check_key(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Result<(), Refusal> {
    if !request.requires_key() {
        return Ok(());
    }
    let routes = cx.shared.routes.load_full();
    if !cx.shared.may_use_key_of(&routes, now) {
        return Err(request.refusal(Refusal::StaleConfig, Refusal::Lost));
    }
    if routes.version() == request.config_version || request.attempts.is_repeat() {
        return Ok(());
    }
    let found = look_up(cx, &routes, &request.head, &request.attributes, now)?;
    let account = found.account.map(|(account, _)| account);
    if account.is_some() && account != request.account { Err(Refusal::StaleConfig) } else { Ok(()) }
}

/// Returns the given refusal, or [`Refusal::StaleConfig`] if the configuration is too old for it.
fn refuse_unknown(routes: &RouteTable, refusal: Refusal, now: SystemTime) -> Refusal {
    let is_trusted = routes.age(now).is_some_and(|age| age <= MAX_TRUSTED_CONFIG_AGE);
    if is_trusted { refusal } else { Refusal::StaleConfig }
}

/// Client account and its priority; none where the route needs no key.
type AccountAndPriority = Option<(AccountId, Option<u8>)>;

fn find_account(
    cx: &PublishedContext,
    routes: &RouteTable,
    route: &PublishedRoute,
    attributes: &RequestAttributes,
    now: SystemTime,
) -> Result<AccountAndPriority, Refusal> {
    if route.is_public || !routes.needs_keys() {
        return Ok(None);
    }
    let account = attributes.key.as_deref().and_then(|key| routes.account(key));
    let account = account.ok_or_else(|| refuse_unknown(routes, Refusal::UnknownKey, now))?;
    if !cx.shared.may_use_key_of(routes, now) {
        return Err(Refusal::StaleConfig);
    }
    Ok(Some((account.name.clone(), account.priority)))
}

/// Refuses requests of other versions than HTTP/1.1 and those without exactly one host.
fn check_host(head: &request::Parts) -> Result<(), Refusal> {
    let hosts = head.headers.get_all(header::HOST).iter().count();
    let is_valid = hosts == 1 && head.version == Version::HTTP_11;
    if is_valid { Ok(()) } else { Err(Refusal::Malformed) }
}
