//! The items that operators configure, each a plain struct.

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
    /// Name of the client account; it is also the part of its key before the dot.
    pub id: AccountId,
    /// SHA-256 of the whole key, in hexadecimal.
    pub key_sha256: String,
    /// Versions that the client account allows: `model@version`, or `model@*` for all of a model.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Request classes that the client account may use.
    #[serde(default)]
    pub classes: Vec<ClassId>,
    /// Largest number of requests in progress at once over all VMs.
    pub max_concurrent: u32,
    /// Largest number of requests started in a second over all VMs.
    pub requests_per_second: u32,
    /// Share of a contended endpoint relative to the other client accounts.
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
    /// The version receives no new work, for good.
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
    /// Cost of a thousand input tokens.
    pub input_cost_micros: Micros,
    /// Cost of a thousand output tokens.
    pub output_cost_micros: Micros,
    /// Quality expected before any answer has been rated.
    pub prior_quality: Permille,
    /// Whether the version may receive new work.
    #[serde(default)]
    pub state: VersionState,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum EndpointKind {
    /// A model engine that has these versions loaded.
    Engine {
        /// Versions that the engine can serve.
        versions: Vec<VersionId>,
    },
    /// A plain service.
    Service {
        /// Name of the plain service.
        service: ServiceId,
    },
    /// The home-grown scripts that still serve a class or a client account.
    Scripts,
}

/// An endpoint that answers requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// IP number and port at which it answers.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub failure_domain: DomainId,
    /// Requests that it can run at once.
    pub capacity: u32,
    /// Whether it checks the fence of an order.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether it recognises a repeated idempotency key and answers it without a second run.
    #[serde(default)]
    pub deduplicates: bool,
    /// What it serves.
    #[serde(flatten)]
    pub kind: EndpointKind,
}

/// A class of requests: how urgent they are and whether they may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub id: ClassId,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Time from arrival in which the answer must be complete, in milliseconds.
    pub deadline_ms: u64,
    /// Whether running a request twice does no harm.
    pub repeatable: bool,
    /// Whether an answer is kept in the log, so that its caller can fetch it from any VM, also when the one
    /// that gave it is gone. A request in progress ends with its VM, and may be asked again.
    #[serde(default)]
    pub durable: bool,
    /// Cascade that answers the class; none for classes of plain services.
    #[serde(default)]
    pub cascade: Option<CascadeId>,
    /// Whether sessions of the class keep their version.
    #[serde(default)]
    pub pins_sessions: bool,
    /// Time for which a session lasts, in seconds.
    #[serde(default = "default_session_s")]
    pub session_s: u64,
}

fn default_session_s() -> u64 {
    24 * 3600
}

/// A cascade from cheap to strong versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Name of the cascade.
    pub id: CascadeId,
    /// Versions from cheap to strong.
    pub steps: Vec<VersionId>,
    /// Quality that an answer should reach.
    pub quality_target: Permille,
    /// Share of requests that try a version for its evidence.
    #[serde(default)]
    pub explore: Permille,
    /// Whether a whole answer is rated before it is given, and a poor one escalated.
    #[serde(default)]
    pub check_answers: bool,
}

/// A key that signs session tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionKey {
    /// Name of the key, carried in each token.
    pub id: String,
    /// Secret of the key, in hexadecimal.
    pub secret_hex: String,
    /// Whether new tokens are signed with it; the others only verify.
    pub signs: bool,
}

/// Who serves a class or a client account during the migration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state", deny_unknown_fields)]
pub enum MigrationState {
    /// The scripts at this endpoint still serve it.
    Scripts {
        /// Name of the scripts' endpoint.
        endpoint: EndpointId,
    },
    /// The router serves it.
    Moved,
}

/// A migration rule; one with an account goes before one without.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationRule {
    /// Class that the rule is about.
    pub class: ClassId,
    /// Client account that the rule is about; all of them where absent.
    #[serde(default)]
    pub account: Option<AccountId>,
    /// Who serves it.
    #[serde(flatten)]
    pub state: MigrationState,
}

impl MigrationRule {
    /// Name of the rule, `class` or `class/account`.
    pub fn name(&self) -> String {
        match &self.account {
            Some(account) => format!("{}/{account}", self.class),
            None => self.class.clone(),
        }
    }
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The roll-out serves the share of its present step.
    #[default]
    Running,
    /// The roll-out takes no new sessions to the new version until it is resumed.
    Paused,
    /// The evidence spoke against the new version, which receives no new sessions.
    Halted,
}

/// A roll-out of a new version in the place of an old one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the roll-out.
    pub id: RolloutId,
    /// Version that it replaces.
    pub from: VersionId,
    /// Version that it brings.
    pub to: VersionId,
    /// Shares of the traffic, step by step.
    pub steps: Vec<Permille>,
    /// Index of the present step.
    #[serde(default)]
    pub step: usize,
    /// Answers of the new version, since the first step, that each step needs before the next one begins
    /// by itself; 0 leaves every step to the operators.
    #[serde(default)]
    pub step_evidence: u64,
    /// How far it has come.
    #[serde(default)]
    pub state: RolloutState,
}

impl Rollout {
    /// Share of new sessions and requests that go to the new version now.
    pub fn share(&self) -> Permille {
        match self.state {
            RolloutState::Running => self.steps.get(self.step).copied().unwrap_or(0),
            RolloutState::Paused | RolloutState::Halted => 0,
        }
    }
}

/// The shape of a published route's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAnswers {
    /// One body each.
    #[default]
    Whole,
    /// A stream of numbered events.
    Events,
    /// A stream of numbered events that may go on at another endpoint.
    ResumableEvents,
}

/// A published route: existing HTTP requests that pass unchanged to the endpoints of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub id: String,
    /// Host that callers name, without a port.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash, and the longest one counts.
    pub path_prefix: String,
    /// Plain service that answers.
    pub service: ServiceId,
    /// Whether running a request twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Shape of the answers.
    #[serde(default)]
    pub answers: RouteAnswers,
    /// Longest time for which a request may be held, in milliseconds.
    pub time_limit_ms: u64,
    /// Time in which an answer, or the first event of one, should be there, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events that counts as in time, in milliseconds.
    #[serde(default)]
    pub pause_target_ms: Option<u64>,
    /// Priority; 0 comes first.
    #[serde(default)]
    pub priority: u8,
    /// Most endpoints that one request may be sent to.
    #[serde(default = "default_tries")]
    pub max_tries: u32,
    /// Whether requests need no key.
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
    /// The scope that the item fills.
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

    /// The item as it may be shown: without the secret of a session key.
    pub fn without_secrets(self) -> Self {
        match self {
            Self::SessionKey(key) => Self::SessionKey(SessionKey { secret_hex: REDACTED.into(), ..key }),
            shown => shown,
        }
    }
}

/// What is shown in the place of a secret.
const REDACTED: &str = "(hidden)";
