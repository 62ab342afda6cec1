//! Interfaces of published routes that a deployment's adapter implements.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use havengrade_core::{
    fingerprint::SubjectFingerprint,
    ids::{RequestId, ServiceId, SessionId},
    published::{
        attempt::RunState,
        directory::{DirectoryEvent, SoftwareVersion},
        emptied_domains::DomainEvent,
        peers::Peer,
        rollout::{RolloutOrder, RolloutStatus},
        route::Publication,
        signals::Signal,
    },
    quarantine::QuarantineEntry,
};
use hyper::{HeaderMap, StatusCode};
use snafu::Snafu;

/// Part of a prompt, which other prompts may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's text.
    pub id: String,
    /// Length in tokens.
    pub tokens: u32,
}

/// Attributes of a caller's request, decoded from its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Id of the caller's attempt.
    pub id: Option<RequestId>,
    /// Time that the caller waits for an answer.
    pub time_limit: Option<Duration>,
    /// Key of the client account.
    pub key: Option<String>,
    /// Session that the request belongs to.
    pub session: Option<SessionId>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
    /// Whether the router chooses the model.
    pub lets_router_choose_model: bool,
    /// Parts of the prompt in order; the last one is specific to this request.
    pub prompt_parts: Vec<PromptPart>,
    /// Length of the prompt and the limit of generated tokens.
    pub tokens: Option<TokenCounts>,
}

/// Token counts of a generation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Length of the prompt.
    pub prompt: u32,
    /// Maximum number of generated tokens.
    pub max_generated: u32,
}

/// Attributes that the router adds to a caller's request for the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardAttributes<'a> {
    /// Endpoint that the request is for; another endpoint at the same address must not run it.
    pub endpoint: &'a str,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Client account.
    pub account: Option<&'a str>,
    /// Model that the router chose.
    pub model: Option<&'a str>,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<&'a str>,
    /// Priority; 0 is served before 1.
    pub priority: u8,
    /// Whether the request is a generation, for which endpoints support a priority.
    pub is_generation: bool,
}

/// Load that an endpoint reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Number of requests that the endpoint processes concurrently, if it reports it.
    pub slots: Option<u32>,
    /// How much longer work takes at the endpoint's machine at this moment than usual, if the endpoint reports it.
    pub slowness: Option<f64>,
}

/// Attributes of an endpoint's answer, decoded from its status and headers.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Whether the request ran.
    pub run: RunState,
    /// Id of the answered request.
    pub request: Option<RequestId>,
    /// Whether the answer carries all the proofs of origin that an answer of its status can carry.
    pub is_authentic: bool,
    /// Load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// Send limit, shutdown notice and requested backoff of the endpoint.
    pub signal: Signal,
    /// Rejections a second, of requests of all VMs together, above which the endpoint crashes.
    pub tolerated_rejections: Option<f64>,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Time for which the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// Encoding of request and answer attributes in HTTP headers.
pub trait Dialect: Send + Sync {
    /// Decodes the attributes of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes;

    /// Adds the router's attributes, and replaces headers that callers may not set.
    fn encode_request(&self, headers: &mut HeaderMap, attributes: &ForwardAttributes<'_>);

    /// Sets the time left for a request that is relayed to another VM with its caller's other headers.
    fn encode_time_left(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Decodes the status and headers of an endpoint's answer.
    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Removes headers that are meant for the router only from an answer.
    fn strip_answer(&self, headers: &mut HeaderMap);
}

/// Failure of a store operation.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The operation was not performed.
    #[snafu(display("the store did not perform the operation: {reason}"))]
    NotDone {
        /// Cause as far as it is known.
        reason: String,
    },
    /// The operation may have been performed, or may still be.
    #[snafu(display("the store may have performed the operation: {reason}"))]
    Unknown {
        /// Cause as far as it is known.
        reason: String,
    },
    /// The store's answer is malformed.
    #[snafu(display("the store's answer is malformed: {reason}"))]
    Unreadable {
        /// Description of the fault.
        reason: String,
    },
}

/// Change that operators make.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// Complete configuration.
    Publication(Publication),
    /// Complete configuration that can't be decoded, so that the one before it is not the newest any more.
    UnreadablePublication,
    /// Order to roll a service out to a new version.
    Rollout(RolloutOrder),
    /// Change of the emptied failure domains, or the list of all of them.
    Domains(DomainEvent),
}

/// Feed of records; each read returns the records since the previous one.
///
/// The first read, and one after a gap, returns the newest record of each key.
#[async_trait]
pub trait Feed<T>: Send + Sync {
    /// Waits up to `wait` for new records.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store could not be read; the next call tries again.
    async fn next(&mut self, wait: Duration) -> Result<Vec<T>, StoreError>;

    /// Returns the position in the store up to which all records were returned; `None` before the first read.
    fn position(&self) -> Option<u64>;

    /// Returns the time at which the last read is confirmed to be complete, for a read that began at `asked`.
    ///
    /// `None` while a restored store may still lack records that their writers have yet to rewrite.
    fn confirmed_at(&self, asked: SystemTime) -> Option<SystemTime> {
        Some(asked)
    }

    /// Skips forward to a position, because another VM transferred the state up to it; ignores an earlier position.
    fn advance(&mut self, position: u64);

    /// Returns a feed of the same records that has read none of them.
    fn rewound(&self) -> Box<dyn Feed<T>>;
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record is written.
    Written,
    /// Another record was written first; it must be read before the next attempt.
    Conflict,
}

/// Store of roll-out statuses and baselines.
#[async_trait]
pub trait RolloutStore: Send + Sync {
    /// Reads the statuses written since the last call; the first call returns all of them.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store could not be read.
    async fn read(&mut self) -> Result<Vec<RolloutStatus>, StoreError>;

    /// Reads the newest status of each service, including those that were read before.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store could not be read.
    async fn read_all(&mut self) -> Result<Vec<RolloutStatus>, StoreError>;

    /// Writes a status unless another one was written since the last read.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the status was not written, or it is unknown whether it was.
    async fn write(&mut self, status: &RolloutStatus) -> Result<WriteOutcome, StoreError>;

    /// Saves the baseline of a roll-out, overwriting the entry of its service.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the entry was not saved, or it is unknown whether it was.
    async fn save_replaced_version(&mut self, replaced: &ReplacedVersion) -> Result<(), StoreError>;

    /// Reads the saved baselines.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store could not be read.
    async fn read_replaced_versions(&mut self) -> Result<Vec<ReplacedVersion>, StoreError>;

    /// Returns access to the same store that has read nothing.
    fn rewound(&self) -> Box<dyn RolloutStore>;
}

/// Baseline of a roll-out: the evidence on the version that it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacedVersion {
    /// Service of the roll-out.
    pub service: ServiceId,
    /// Version that replaces it.
    pub replaced_by: SoftwareVersion,
    /// Evidence in the router's own encoding; a store returns it unchanged.
    pub baseline: Bytes,
}

/// Stored list of quarantined requests, which crash the endpoints that run them.
#[async_trait]
pub trait QuarantineList: Send + Sync {
    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the list could not be read.
    async fn read(&self) -> Result<Vec<QuarantineEntry>, StoreError>;

    /// Adds an entry unless its request is on the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the entry was not added, or it is unknown whether it was.
    async fn add(&self, entry: &QuarantineEntry) -> Result<(), StoreError>;

    /// Removes the entry of a request that is no longer quarantined.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the entry was not removed, or it is unknown whether it was.
    async fn release(&self, fingerprint: SubjectFingerprint) -> Result<(), StoreError>;

    /// Claims the next trial of a request for this VM, as [`havengrade_core::quarantine::next_trial`] permits.
    ///
    /// Returns the written entry, or `None` if another VM claimed the trial first.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the trial was not claimed, or it is unknown whether it was.
    async fn claim_trial(
        &self,
        entry: &QuarantineEntry,
        now: SystemTime,
    ) -> Result<Option<QuarantineEntry>, StoreError>;
}

/// Stored list of the VMs that serve published routes.
#[async_trait]
pub trait Roster: Send + Sync {
    /// Registers a VM, replacing the entry of an earlier run.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the VM was not registered, or it is unknown whether it was.
    async fn register(&self, peer: &Peer) -> Result<(), StoreError>;

    /// Removes a VM that stops.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the VM was not removed, or it is unknown whether it was.
    async fn deregister(&self, vm: &str) -> Result<(), StoreError>;

    /// Reads all VMs on the list; some may no longer run.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the list could not be read.
    async fn read(&self) -> Result<Vec<Peer>, StoreError>;
}

/// Implementations that an adapter provides.
pub struct Ports {
    /// Header encoding of requests and answers.
    pub dialect: Box<dyn Dialect>,
    /// Feed of operators' changes.
    pub operators: Box<dyn Feed<OperatorEvent>>,
    /// Feed of the endpoint list.
    pub endpoints: Box<dyn Feed<DirectoryEvent>>,
    /// Store of roll-out statuses.
    pub statuses: Box<dyn RolloutStore>,
    /// List of quarantined requests.
    pub quarantine: Arc<dyn QuarantineList>,
    /// List of the VMs that serve published routes.
    pub roster: Box<dyn Roster>,
    /// Whether VMs transfer the active state to each other, because reading it from the store is expensive.
    pub uses_state_transfer: bool,
}
