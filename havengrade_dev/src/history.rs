//! Histories of concurrent runs: what callers, endpoints, operators and VMs did, in the order of time.

use std::sync::Mutex;

use havengrade_core::{
    billing::Bill,
    ids::{AccountId, Attempt, ClassId, EndpointId, Offset, RequestId, VersionId, VmId},
};
use havengrade_router::{shared::lock, traffic::RunState};
use serde::{Deserialize, Serialize};

/// What a caller found in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// The whole answer to its own request.
    Whole,
    /// Something that looks whole but is not the answer to its request.
    Wrong,
    /// An answer that tells that it broke off.
    Broken,
    /// No answer, but an error or "pending".
    None,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A client account allows these versions; `*` stands for all of a model.
    Allowed {
        /// The client account.
        account: AccountId,
        /// The versions.
        versions: Vec<VersionId>,
    },
    /// A caller sent an attempt at a request.
    Asked {
        /// When, in milliseconds.
        at_ms: u64,
        /// Number of this attempt in the whole history.
        id: u64,
        /// Number of the request that it is an attempt at.
        request: u64,
        /// Client account of the caller.
        account: AccountId,
        /// Request class.
        class: ClassId,
        /// Whether a second run does no harm.
        repeatable: bool,
        /// Idempotency key.
        key: Option<String>,
        /// The caller's number of the attempt.
        attempt: Attempt,
        /// VM that it was sent to.
        vm: VmId,
        /// Number of the session that it belongs to.
        session: Option<u64>,
    },
    /// A caller got an answer to an attempt.
    Answered {
        /// When, in milliseconds.
        at_ms: u64,
        /// Number of the attempt.
        id: u64,
        /// Status of the answer.
        status: u16,
        /// What it says about the run, if it is an error.
        run_state: Option<RunState>,
        /// Id of the request.
        request_id: RequestId,
        /// Version that answered.
        version: Option<VersionId>,
        /// What the caller found in it.
        content: Content,
    },
    /// No connection came about, or it broke before an answer came.
    Lost {
        /// When, in milliseconds.
        at_ms: u64,
        /// Number of the attempt.
        id: u64,
        /// Whether there was a connection, so that something may have been sent.
        #[serde(default = "was_sent")]
        sent: bool,
    },
    /// A plain service ran a call.
    Ran {
        /// Idempotency key of the call.
        key: String,
        /// Id of the request.
        request_id: RequestId,
    },
    /// An engine started a stream.
    Started {
        /// When, in milliseconds.
        at_ms: u64,
        /// The engine.
        endpoint: EndpointId,
        /// Id of the request.
        request_id: RequestId,
        /// The version.
        version: VersionId,
    },
    /// A version was withdrawn in the log.
    Withdrawn {
        /// When, in milliseconds.
        at_ms: u64,
        /// The version.
        version: VersionId,
    },
    /// An endpoint showed the first sign that it leaves.
    Leaving {
        /// When, in milliseconds.
        at_ms: u64,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A change took effect in the log.
    Accepted {
        /// When, in milliseconds.
        at_ms: u64,
        /// Its offset.
        offset: Offset,
    },
    /// A VM that takes requests has replayed the configuration up to an offset.
    InForce {
        /// When, in milliseconds.
        at_ms: u64,
        /// The VM.
        vm: VmId,
        /// Number of the process on the VM.
        run: u64,
        /// Offset after the last record that it has replayed.
        next: Offset,
        /// Whether it takes requests.
        open: bool,
    },
    /// A planned stop began on a VM while these attempts were in progress there.
    DrainBegan {
        /// When, in milliseconds.
        at_ms: u64,
        /// The VM.
        vm: VmId,
    },
    /// A planned stop ended.
    DrainEnded {
        /// When, in milliseconds.
        at_ms: u64,
        /// The VM.
        vm: VmId,
    },
    /// A bill that counts, read from the log at the end.
    Billed {
        /// The bill.
        bill: Bill,
    },
}

fn was_sent() -> bool {
    true
}

/// Takes events down.
#[derive(Debug, Default)]
pub struct Recorder {
    events: Mutex<Vec<Event>>,
}

impl Recorder {
    /// Takes an event down.
    pub fn note(&self, event: Event) {
        lock(&self.events).push(event);
    }

    /// Takes all events out.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut *lock(&self.events))
    }
}

/// A history as JSON lines.
pub fn to_lines(history: &[Event]) -> String {
    history.iter().map(|event| serde_json::to_string(event).unwrap_or_default() + "\n").collect()
}

/// Reads a history from JSON lines.
///
/// # Errors
///
/// Names the line at fault.
///
/// ```
/// let history = havengrade_dev::history::from_lines("{\"event\":\"lost\",\"at_ms\":1,\"id\":2}\n").unwrap();
/// assert_eq!(history.len(), 1);
/// assert!(havengrade_dev::history::from_lines("{}\n").unwrap_err().starts_with("line 1"));
/// ```
pub fn from_lines(text: &str) -> Result<Vec<Event>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| serde_json::from_str(line).map_err(|error| format!("line {}: {error}", index + 1)))
        .collect()
}
