//! Items that operators configure.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Scope, ScopeKind},
    ids::{
        AccountId, CascadeId, ClassId, DomainId, EndpointId, Micros, ModelId, Permille, RolloutId, ServiceId, VersionId,
    },
};

/// A client account: whose requests are served, on which versions, within which limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the client account, which is also the part of its key before the dot.
    pub id: AccountId,
    /// SHA-256 digest of the whole key, in hexadecimal.
    pub key_sha256: String,
    /// Versions that the client account allows: `model@version`, or `model@*` for all of a model.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Request classes that the client account may use.
    #[serde(default)]
    pub classes: Vec<ClassId>,
    /// Maximum number of concurrent requests over all VMs.
    pub max_concurrent: u32,
    /// Maximum rate of new requests over all VMs.
    pub requests_per_second: u32,
    /// Weight of the client account relative to others when they compete for an endpoint.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Whether a version may receive new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// The version may receive new work.
    #[default]
    Active,
    /// The version never receives new work again.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the version, `model@version`.
    pub id: VersionId,
    /// Name of the model.
    pub model: ModelId,
    /// Cost per 1000 input tokens.
    pub input_cost_micros: Micros,
    /// Cost per 1000 output tokens.
    pub output_cost_micros: Micros,
    /// Expected quality while no answer has been rated.
    pub prior_quality: Permille,
    /// Whether the version may receive new work.
    #[serde(default)]
    pub state: VersionState,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Versions that the engine has loaded.
        versions: Vec<VersionId>,
    },
    /// A plain service.
    Service {
        /// Name of the plain service.
        service: ServiceId,
    },
    /// The legacy scripts that still serve a class or a client account during the migration.
    Scripts,
}

/// An endpoint that answers requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// IP address and port on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: DomainId,
    /// Number of requests that it can run concurrently.
    pub capacity: u32,
    /// Whether it rejects requests with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether it recognises a repeated idempotency key and answers it without running the request again.
    #[serde(default)]
    pub deduplicates: bool,
    /// What it serves.
    #[serde(flatten)]
    pub kind: EndpointKind,
}

/// A class of requests, which sets their priority, deadline and whether they may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub id: ClassId,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time from arrival by which the answer must be complete, in milliseconds.
    pub deadline_ms: u64,
    /// Whether requests are idempotent, so that running one twice does no harm.
    pub repeatable: bool,
    /// Whether answers are stored in the log, so that a caller can fetch its answer from any VM after the VM
    /// that produced it has gone. A request in progress is lost with its VM, and the caller may send it again.
    #[serde(default)]
    pub durable: bool,
    /// Cascade that answers the class; `None` for classes of plain services.
    #[serde(default)]
    pub cascade: Option<CascadeId>,
    /// Whether the class has session affinity: all requests of a session go to the same version.
    #[serde(default)]
    pub pins_sessions: bool,
    /// Lifetime of a session, in seconds.
    #[serde(default = "default_session_s")]
    pub session_s: u64,
}

fn default_session_s() -> u64 {
    24 * 3600
}

/// A cascade that tries cheap versions first and escalates to stronger ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Name of the cascade.
    pub id: CascadeId,
    /// Versions, from the cheapest to the strongest.
    pub steps: Vec<VersionId>,
    /// Target quality of an answer.
    pub quality_target: Permille,
    /// Share of requests that are used for exploration: they try a version to collect evidence about it.
    #[serde(default)]
    pub explore: Permille,
    /// Whether a non-streamed answer is rated before it is returned, and a poor one escalated.
    #[serde(default)]
    pub check_answers: bool,
}

/// A key that signs session tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionKey {
    /// Name of the key, carried in each token.
    pub id: String,
    /// Secret, in hexadecimal.
    pub secret_hex: String,
    /// Whether new tokens are signed with it; other keys only verify tokens.
    pub signs: bool,
}

/// Which system serves a class or a client account during the migration from the legacy scripts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state", deny_unknown_fields)]
pub enum MigrationState {
    /// The legacy scripts still serve it.
    Scripts {
        /// Endpoint of the scripts.
        endpoint: EndpointId,
    },
    /// The router serves it.
    Moved,
}

/// A migration rule; a rule for one client account takes precedence over the rule for the whole class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationRule {
    /// Class that the rule applies to.
    pub class: ClassId,
    /// Client account that the rule applies to; all client accounts if absent.
    #[serde(default)]
    pub account: Option<AccountId>,
    /// Which system serves it.
    #[serde(flatten)]
    pub state: MigrationState,
}

impl MigrationRule {
    /// Returns the name of the rule, `class` or `class/account`.
    pub fn name(&self) -> String {
        match &self.account {
            Some(account) => format!("{}/{account}", self.class),
            None => self.class.clone(),
        }
    }
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The new version receives the traffic share of the current step.
    #[default]
    Running,
    /// The new version receives no new sessions until the roll-out is resumed.
    Paused,
    /// The evidence was against the new version, which receives no new sessions.
    Halted,
}

/// A roll-out that replaces a version by a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the roll-out.
    pub id: RolloutId,
    /// Version that is replaced.
    pub from: VersionId,
    /// Version that replaces it.
    pub to: VersionId,
    /// Traffic share of the new version at each step.
    pub steps: Vec<Permille>,
    /// Index of the current step.
    #[serde(default)]
    pub step: usize,
    /// Number of answers of the new version, counted from the first step, that each step needs before the
    /// roll-out advances automatically; with 0, operators start every step.
    #[serde(default)]
    pub step_evidence: u64,
    /// State of the roll-out.
    #[serde(default)]
    pub state: RolloutState,
}

impl Rollout {
    /// Returns the current share of new sessions and requests that go to the new version.
    pub fn share(&self) -> Permille {
        match self.state {
            RolloutState::Running => self.steps.get(self.step).copied().unwrap_or(0),
            RolloutState::Paused | RolloutState::Halted => 0,
        }
    }
}

/// Format of a published route's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAnswers {
    /// One body for each answer.
    #[default]
    Whole,
    /// A stream of numbered events.
    Events,
    /// A stream of numbered events that another endpoint can resume.
    ResumableEvents,
}

/// A published route, which forwards existing HTTP requests unchanged to the endpoints of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub id: String,
    /// Host name in the requests, without a port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash; the route with the longest matching prefix is used.
    pub path_prefix: String,
    /// Plain service that answers the requests.
    pub service: ServiceId,
    /// Whether requests are idempotent, so that running one twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Format of the answers.
    #[serde(default)]
    pub answers: RouteAnswers,
    /// Maximum time for which a request may be held, in milliseconds.
    pub time_limit_ms: u64,
    /// Target time to the answer or to its first event, in milliseconds.
    pub target_ms: u64,
    /// Target for the longest pause between two events, in milliseconds.
    #[serde(default)]
    pub pause_target_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Maximum number of endpoints that one request may be sent to.
    #[serde(default = "default_tries")]
    pub max_tries: u32,
    /// Whether the route accepts requests without a key.
    #[serde(default)]
    pub public: bool,
}

fn default_tries() -> u32 {
    2
}

/// Any item of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "item")]
pub enum Item {
    /// A client account.
    Account(Account),
    /// A version of a model.
    Version(ModelVersion),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A request class.
    Class(RequestClass),
    /// A cascade.
    Cascade(Cascade),
    /// A key for session tokens.
    SessionKey(SessionKey),
    /// A migration rule.
    Migration(MigrationRule),
    /// A roll-out.
    Rollout(Rollout),
    /// A published route.
    Route(Route),
}

impl Item {
    /// Returns the scope of the item.
    pub fn scope(&self) -> Scope {
        let (kind, name) = match self {
            Self::Account(item) => (ScopeKind::Account, item.id.clone()),
            Self::Version(item) => (ScopeKind::Version, item.id.clone()),
            Self::Endpoint(item) => (ScopeKind::Endpoint, item.id.clone()),
            Self::Class(item) => (ScopeKind::Class, item.id.clone()),
            Self::Cascade(item) => (ScopeKind::Cascade, item.id.clone()),
            Self::SessionKey(item) => (ScopeKind::SessionKey, item.id.clone()),
            Self::Migration(item) => (ScopeKind::Migration, item.name()),
            Self::Rollout(item) => (ScopeKind::Rollout, item.id.clone()),
            Self::Route(item) => (ScopeKind::Route, item.id.clone()),
        };
        Scope { kind, name }
    }

    /// Returns the item for display, with the secret of a session key redacted.
    pub fn without_secrets(self) -> Self {
        match self {
            Self::SessionKey(key) => Self::SessionKey(SessionKey { secret_hex: REDACTED.into(), ..key }),
            shown => shown,
        }
    }
}

/// Text that is shown in place of a secret.
const REDACTED: &str = "(hidden)";
