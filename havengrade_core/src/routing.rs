//! Routing: authenticates a request and decides which versions and endpoints serve it.

use std::time::{Duration, SystemTime};

use rand::Rng;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::{
    cascade,
    config::{Account, Catalog, Endpoint, MigrationState, RequestClass},
    endpoint_selection::{self, EndpointStates, SelectionContext},
    evidence::EvidenceTotals,
    ids::{ClassId, EndpointId, Permille, ServiceId, SessionId, VersionId},
    rollout, secret,
    session::{self, SessionError},
};

/// Routing metadata of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta {
    /// Request class.
    pub class: ClassId,
    /// Plain service that is called; `None` for chat.
    pub service: Option<ServiceId>,
    /// Version that the caller requires.
    pub version: Option<VersionId>,
    /// Session token, as the caller sent it.
    pub session_token: Option<String>,
    /// Id of the session or the request, by which roll-outs assign it to a version.
    pub bucketing_id: SessionId,
    /// Whether the request has an idempotency key.
    pub has_key: bool,
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Model engines.
    Engines {
        /// Versions to try, in order.
        versions: Vec<VersionId>,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: ServiceId,
    },
    /// Legacy scripts that still serve the request during a migration.
    Scripts {
        /// The scripts' endpoint.
        endpoint: EndpointId,
    },
}

/// Routing decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingDecision {
    /// Destination of the request.
    pub route: Route,
    /// Request class.
    pub class: RequestClass,
    /// Time limit, counted from the arrival of the request.
    pub deadline: Duration,
    /// Whether session affinity determines the version.
    pub has_session_affinity: bool,
    /// Whether the request must hold a claim before it is sent.
    pub needs_claim: bool,
    /// Quality that an answer should reach; `None` for plain services.
    pub quality_target: Option<Permille>,
    /// Whether a complete answer is rated before delivery, and a poor one passed to the next version.
    pub checks_answers: bool,
}

/// Reason for refusing a request, which was not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Refusal {
    /// The key is missing or belongs to no client account.
    #[snafu(display("Authorization: the key is missing or unknown; send `Bearer <account>.<secret>`"))]
    Unauthenticated,
    /// The class does not exist.
    #[snafu(display("X-Havengrade-Class: class {class} does not exist; name one of the account's classes"))]
    UnknownClass {
        /// The class.
        class: ClassId,
    },
    /// The client account may not use the class.
    #[snafu(display("X-Havengrade-Class: the client account may not use class {class}; ask your operator for it"))]
    ClassNotAllowed {
        /// The class.
        class: ClassId,
    },
    /// The client account may not use the version, or it is withdrawn.
    #[snafu(display("model: the client account may not use {version}, or it is withdrawn; leave it out"))]
    VersionNotAllowed {
        /// The version.
        version: VersionId,
    },
    /// No version of the cascade is both allowed and in use.
    #[snafu(display("class {class}: no version of its cascade is both in use and allowed for the client account"))]
    NoVersion {
        /// The class.
        class: ClassId,
    },
    /// The class is for chat and the path for plain services, or the other way round.
    #[snafu(display("X-Havengrade-Class: class {class} does not fit this call; use the path that it is meant for"))]
    WrongPath {
        /// The class.
        class: ClassId,
    },
    /// The service does not exist.
    #[snafu(display("service {service} has no endpoint; name one that `havengradectl show endpoint` lists"))]
    UnknownService {
        /// The service.
        service: ServiceId,
    },
    /// A request that must not be repeated has no idempotency key.
    #[snafu(display("Idempotency-Key: class {class} may not be repeated; send a key that is new for each request"))]
    KeyNeeded {
        /// The class.
        class: ClassId,
    },
    /// The session token is invalid.
    #[snafu(display("X-Havengrade-Session: {source}"))]
    BadSession {
        /// Reason why the token is invalid.
        source: SessionError,
    },
    /// The session's version was withdrawn or is no longer allowed.
    #[snafu(display("X-Havengrade-Session: the session's version {version} was withdrawn; open a new session"))]
    SessionEnded {
        /// The version.
        version: VersionId,
    },
}

/// Returns the client account of a key of the form `account.secret`.
///
/// # Errors
///
/// [`Refusal::Unauthenticated`], which takes as long for an unknown account as for a wrong secret.
pub fn authenticate<'a>(catalog: &'a Catalog, key: &str) -> Result<&'a Account, Refusal> {
    let id = key.split('.').next().unwrap_or_default();
    let account = catalog.config.accounts.get(id);
    let stored = account.map_or("", |account| account.key_sha256.as_str());
    let fits = secret::matches(key, stored);
    account.filter(|_| fits).context(UnauthenticatedSnafu)
}

/// Decides the route of a client account's request.
///
/// # Errors
///
/// [`Refusal`], which names the invalid field and the remedy; the request was not run.
pub fn decide_route(
    catalog: &Catalog,
    account: &Account,
    meta: &RequestMeta,
    evidence: &EvidenceTotals,
    rng: &mut dyn Rng,
    now: SystemTime,
) -> Result<RoutingDecision, Refusal> {
    let class = find_class(catalog, account, &meta.class)?;
    ensure!(class.repeatable || meta.has_key, KeyNeededSnafu { class: &class.id });
    let (route, has_session_affinity) = route(catalog, account, class, meta, evidence, rng, now)?;
    let cascade = class.cascade.as_ref().and_then(|cascade| catalog.config.cascades.get(cascade));
    Ok(RoutingDecision {
        route,
        quality_target: cascade.map(|cascade| cascade.quality_target),
        checks_answers: cascade.is_some_and(|cascade| cascade.check_answers),
        class: class.clone(),
        deadline: Duration::from_millis(class.deadline_ms),
        has_session_affinity,
        needs_claim: !class.repeatable || class.durable,
    })
}

fn find_class<'a>(catalog: &'a Catalog, account: &Account, class: &ClassId) -> Result<&'a RequestClass, Refusal> {
    let found = catalog.config.classes.get(class).context(UnknownClassSnafu { class })?;
    ensure!(account.classes.contains(class), ClassNotAllowedSnafu { class });
    Ok(found)
}

fn route(
    catalog: &Catalog,
    account: &Account,
    class: &RequestClass,
    meta: &RequestMeta,
    evidence: &EvidenceTotals,
    rng: &mut dyn Rng,
    now: SystemTime,
) -> Result<(Route, bool), Refusal> {
    let rule = catalog.config.migration_rule(&class.id, &account.id);
    if let Some(MigrationState::Scripts { endpoint }) = rule.map(|rule| &rule.state) {
        return Ok((Route::Scripts { endpoint: endpoint.clone() }, false));
    }
    if let Some(service) = &meta.service {
        ensure!(class.cascade.is_none(), WrongPathSnafu { class: &class.id });
        ensure!(!catalog.endpoints_of(service).is_empty(), UnknownServiceSnafu { service });
        return Ok((Route::Service { service: service.clone() }, false));
    }
    if let Some(token) = &meta.session_token {
        let version = affinity_version(catalog, account, class, token, now)?;
        return Ok((Route::Engines { versions: vec![version] }, true));
    }
    let versions = plan_versions(catalog, account, class, meta, evidence, rng)?;
    Ok((Route::Engines { versions }, false))
}

fn affinity_version(
    catalog: &Catalog,
    account: &Account,
    class: &RequestClass,
    token: &str,
    now: SystemTime,
) -> Result<VersionId, Refusal> {
    let session = session::verify(token, &catalog.config, &account.id, &class.id, now).context(BadSessionSnafu)?;
    let version = session.version;
    let usable = catalog.config.is_active(&version) && account.allows(&version);
    ensure!(usable, SessionEndedSnafu { version });
    Ok(version)
}

fn plan_versions(
    catalog: &Catalog,
    account: &Account,
    class: &RequestClass,
    meta: &RequestMeta,
    evidence: &EvidenceTotals,
    rng: &mut dyn Rng,
) -> Result<Vec<VersionId>, Refusal> {
    let cfg = &catalog.config;
    if let Some(version) = &meta.version {
        ensure!(account.allows(version) && cfg.is_active(version), VersionNotAllowedSnafu { version });
        return Ok(vec![version.clone()]);
    }
    let cascade = class.cascade.as_ref().and_then(|cascade| cfg.cascades.get(cascade));
    let cascade = cascade.context(WrongPathSnafu { class: &class.id })?;
    let planned = cascade::plan(cfg, account, &class.id, cascade, evidence, rng.next_u64());
    ensure!(!planned.versions.is_empty(), NoVersionSnafu { class: &class.id });
    let assign = |version: &VersionId| rollout::version_for(cfg, account, evidence, version, &meta.bucketing_id);
    Ok(planned.versions.iter().map(assign).collect())
}

/// Chooses the endpoint for a version of the route, a plain service or the scripts.
///
/// The version is checked again, since it may have been withdrawn after the routing decision.
pub fn choose_endpoint<'a>(
    catalog: &'a Catalog,
    route: &Route,
    version: Option<&VersionId>,
    states: &dyn EndpointStates,
    context: SelectionContext<'_>,
    rng: &mut dyn Rng,
) -> Option<&'a Endpoint> {
    match (route, version) {
        (Route::Engines { .. }, Some(version)) if catalog.config.is_active(version) => {
            endpoint_selection::choose(catalog, catalog.engines_for(version), states, context, rng)
        },
        (Route::Engines { .. }, _) => None,
        (Route::Service { service }, _) => {
            endpoint_selection::choose(catalog, catalog.endpoints_of(service), states, context, rng)
        },
        (Route::Scripts { endpoint }, _) => catalog.config.endpoints.get(endpoint).filter(|found| {
            !context.tried_endpoints.contains(&found.id) && states.state(&found.id).is_usable(context.now)
        }),
    }
}

/// Returns the time until the first backoff ends among the endpoints of a version, a service or the scripts.
///
/// Returns `None` if one of the endpoints requests no backoff.
pub fn backoff_left(
    catalog: &Catalog,
    route: &Route,
    version: Option<&VersionId>,
    states: &dyn EndpointStates,
    now: SystemTime,
) -> Option<Duration> {
    match (route, version) {
        (Route::Engines { .. }, Some(version)) => {
            endpoint_selection::backoff_left(catalog.engines_for(version), states, now)
        },
        (Route::Engines { .. }, None) => None,
        (Route::Service { service }, _) => endpoint_selection::backoff_left(catalog.endpoints_of(service), states, now),
        (Route::Scripts { endpoint }, _) => states.state(endpoint).backoff_left(now),
    }
}
