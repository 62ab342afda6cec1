//! The borders of published routes: what an adapter of a deployment provides.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use havengrade_core::{
    fingerprint::RequestFingerprint,
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

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's text.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request's headers tell the router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Id of this attempt of the caller.
    pub id: Option<RequestId>,
    /// Time for which the caller waits.
    pub time_limit: Option<Duration>,
    /// Key of the client account.
    pub key: Option<String>,
    /// Session that the request belongs to.
    pub session: Option<SessionId>,
    /// Id of the last event that the caller has, where it resumes a stream.
    pub last_event: Option<String>,
    /// Whether the router chooses the model.
    pub lets_router_choose_model: bool,
    /// Parts of the prompt in order; the last one is the request's own.
    pub prompt_parts: Vec<PromptPart>,
    /// Tokens of the prompt and the most that may be generated.
    pub tokens: Option<TokenCounts>,
}

/// Sizes of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens that may be generated.
    pub max_generated: u32,
}

/// What the router tells an endpoint beside the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardAttributes<'a> {
    /// The endpoint that is meant; another one at its address must not run the request.
    pub endpoint: &'a str,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Client account.
    pub account: Option<&'a str>,
    /// Model that the router chose.
    pub model: Option<&'a str>,
    /// Id of the event after which a stream goes on.
    pub resume_after: Option<&'a str>,
    /// Urgency, 0 before 1.
    pub priority: u8,
    /// Whether the endpoint generates, so that it understands an urgency.
    pub is_generation: bool,
}

/// Load that an endpoint tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an endpoint's answer tells the router.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Whether the request ran.
    pub run: RunState,
    /// Id of the request that is answered.
    pub request: Option<RequestId>,
    /// Whether the answer shows that it is the endpoint's own to this request, as far as its like can.
    pub is_authentic: bool,
    /// Load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// What the endpoint says of itself beside that.
    pub signal: Signal,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Time for which the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// How requests and answers are written on the wire.
pub trait Dialect: Send + Sync {
    /// Reads what a request's headers tell the router.
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes;

    /// Replaces what callers may not set, and adds the order.
    fn encode_request(&self, headers: &mut HeaderMap, order: &ForwardAttributes<'_>);

    /// Reads the head of an endpoint's answer.
    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Takes out of an answer what is meant for the router only.
    fn strip_answer(&self, headers: &mut HeaderMap);
}

/// Why a store did not do what it was asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// Nothing was done.
    #[snafu(display("the store did nothing: {reason}"))]
    NotDone {
        /// What is known of the cause.
        reason: String,
    },
    /// It may have been done, or may still be.
    #[snafu(display("the store may have done it: {reason}"))]
    Unknown {
        /// What is known of the cause.
        reason: String,
    },
    /// The store answered with something that can't be read.
    #[snafu(display("the store's answer can't be read: {reason}"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// What operators write.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// A whole configuration.
    Publication(Publication),
    /// An order to shift a service to a new version.
    Rollout(RolloutOrder),
    /// What is to get nothing, or no longer nothing.
    Domains(DomainEvent),
}

/// Records that are followed; each call gives what is new since the one before.
///
/// The first call, and one after records were missed, gives the newest of everything.
#[async_trait]
pub trait Feed<T>: Send + Sync {
    /// Waits up to `wait` for something new.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store could not be read; the next call tries again.
    async fn next(&mut self, wait: Duration) -> Result<Vec<T>, StoreError>;

    /// Position in the store up to which everything was given; none before the first call.
    fn position(&self) -> Option<u64>;

    /// When what the last call gave was the newest for sure, where the call began at `asked`; none where a store may miss what it
    /// held before, and it is written again by and by.
    fn confirmed_at(&self, asked: SystemTime) -> Option<SystemTime> {
        Some(asked)
    }

    /// Goes on from a position, if that is later, since what lies before it was learned from another VM.
    fn advance(&mut self, position: u64);
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is written.
    Written,
    /// Something else was written first; it must be read before another try.
    Conflict,
}

/// The store's record of how roll-outs stand.
#[async_trait]
pub trait RolloutStore: Send + Sync {
    /// Reads the states that were written since the last call; the first gives all.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store could not be read.
    async fn read(&mut self) -> Result<Vec<RolloutStatus>, StoreError>;

    /// Reads the newest state of each service, also those that were read before.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store could not be read.
    async fn read_all(&mut self) -> Result<Vec<RolloutStatus>, StoreError>;

    /// Writes a state if nothing was written since the last read.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not written, or may have been.
    async fn write(&mut self, status: &RolloutStatus) -> Result<WriteOutcome, StoreError>;

    /// Keeps what is known of a version that a roll-out replaces, in place of what was kept for its service.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not kept, or may not have been.
    async fn save_replaced_version(&mut self, known: &ReplacedVersion) -> Result<(), StoreError>;

    /// Reads what is kept of versions that were replaced.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store could not be read.
    async fn read_replaced_versions(&mut self) -> Result<Vec<ReplacedVersion>, StoreError>;
}

/// What is known of a version that a roll-out replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacedVersion {
    /// The service.
    pub service: ServiceId,
    /// The version that replaces it.
    pub replaced_by: SoftwareVersion,
    /// What was seen of it, in the router's own words: a store keeps it as it is.
    pub text: Bytes,
}

/// The kept list of requests that are held back, since they crash the endpoints that run them.
#[async_trait]
pub trait QuarantineList: Send + Sync {
    /// All that are on the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the list could not be read.
    async fn read(&self) -> Result<Vec<QuarantineEntry>, StoreError>;

    /// Enters a request, unless it is on the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not entered, or may not have been.
    async fn add(&self, hold: &QuarantineEntry) -> Result<(), StoreError>;

    /// Takes a request off the list, since it is free.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not taken off, or may not have been.
    async fn release(&self, mark: RequestFingerprint) -> Result<(), StoreError>;

    /// Claims the next trial of a request for this VM, by [`havengrade_core::quarantine::next_trial`]; gives the entry that was written, unless another VM was first.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not claimed, or may not have been.
    async fn claim_trial(&self, hold: &QuarantineEntry, now: SystemTime)
    -> Result<Option<QuarantineEntry>, StoreError>;
}

/// The kept list of the VMs that serve published routes.
#[async_trait]
pub trait Roster: Send + Sync {
    /// Enters a VM, in place of an earlier run of it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not entered, or may not have been.
    async fn register(&self, peer: &Peer) -> Result<(), StoreError>;

    /// Takes a VM out that stops.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where it was not taken out, or may not have been.
    async fn deregister(&self, vm: &str) -> Result<(), StoreError>;

    /// All VMs on the list; some may be gone.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the list could not be read.
    async fn read(&self) -> Result<Vec<Peer>, StoreError>;
}

/// All that an adapter provides.
pub struct Ports {
    /// How requests and answers are written.
    pub dialect: Box<dyn Dialect>,
    /// What operators write.
    pub operators: Box<dyn Feed<OperatorEvent>>,
    /// The list of endpoints.
    pub endpoints: Box<dyn Feed<DirectoryEvent>>,
    /// States of roll-outs.
    pub statuses: Box<dyn RolloutStore>,
    /// Requests that are held back.
    pub quarantine: Arc<dyn QuarantineList>,
    /// The VMs that serve published routes.
    pub roster: Box<dyn Roster>,
    /// Whether VMs take what operators wrote from each other, since reading it has its price.
    pub uses_state_transfer: bool,
}
