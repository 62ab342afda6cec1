//! Table of requests in progress and of finished answers that callers may still fetch.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use havengrade_core::ids::{AccountId, EndpointId, RequestId, VersionId};
use tokio::sync::watch;

use crate::{shared::lock, traffic::Problem};

use super::problem::PROBLEM_JSON;

/// Source of an answer, known from its first piece on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AnswerSource {
    /// Version that answers.
    pub(crate) version: Option<VersionId>,
    /// Endpoint that answers.
    pub(crate) endpoint: EndpointId,
    /// Token of the session that the request started, if any.
    pub(crate) session: Option<String>,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// A complete answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer.
        body: Bytes,
    },
    /// An error.
    Failed(Problem),
    /// Another request, still in progress, holds the same idempotency key; the caller may ask for its status.
    PendingElsewhere(RequestId),
}

/// Answer of a request as far as it has been received.
#[derive(Debug, Default)]
struct Progress {
    source: Option<AnswerSource>,
    pieces: Vec<Arc<str>>,
    outcome: Option<RequestOutcome>,
}

/// A request, from its arrival until its answer is evicted.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// Client account that sent the request.
    pub(crate) account: AccountId,
    progress: Mutex<Progress>,
    changes: watch::Sender<u64>,
}

/// Progress of a request since a reader last looked.
pub(crate) struct ProgressUpdate {
    /// New pieces of the answer.
    pub(crate) pieces: Vec<Arc<str>>,
    /// Outcome of the request, if it has ended.
    pub(crate) outcome: Option<RequestOutcome>,
}

impl RequestEntry {
    pub(crate) fn new(id: RequestId, account: AccountId) -> Self {
        Self { id, account, progress: Mutex::default(), changes: watch::Sender::new(0) }
    }

    /// Sets the source of the answer.
    pub(crate) fn set_source(&self, source: AnswerSource) {
        lock(&self.progress).source = Some(source);
        self.notify();
    }

    /// Appends a piece of the answer.
    pub(crate) fn push_piece(&self, piece: Arc<str>) {
        lock(&self.progress).pieces.push(piece);
        self.notify();
    }

    /// Ends the request; only the first outcome counts. Returns whether this is the first one.
    pub(crate) fn complete(&self, outcome: RequestOutcome) -> bool {
        let is_first = {
            let mut progress = lock(&self.progress);
            let is_first = progress.outcome.is_none();
            progress.outcome.get_or_insert(outcome);
            is_first
        };
        self.notify();
        is_first
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Source of the answer, if the answer has begun.
    pub(crate) fn source(&self) -> Option<AnswerSource> {
        lock(&self.progress).source.clone()
    }

    /// Returns the progress after the first `piece_count` pieces.
    pub(crate) fn updates_after(&self, piece_count: usize) -> ProgressUpdate {
        let progress = lock(&self.progress);
        let pieces = progress.pieces.get(piece_count..).unwrap_or_default().to_vec();
        ProgressUpdate { pieces, outcome: progress.outcome.clone() }
    }

    /// Waits for the first piece of the answer or the outcome.
    pub(crate) async fn wait_for_first_piece(&self) {
        self.wait(|progress| !progress.pieces.is_empty() || progress.outcome.is_some()).await;
    }

    /// Waits for more than `piece_count` pieces or the outcome.
    pub(crate) async fn wait_for_pieces_after(&self, piece_count: usize) {
        self.wait(|progress| progress.pieces.len() > piece_count || progress.outcome.is_some()).await;
    }

    /// Waits for the outcome.
    pub(crate) async fn wait_for_outcome(&self) -> RequestOutcome {
        self.wait(|progress| progress.outcome.is_some()).await;
        lock(&self.progress).outcome.clone().unwrap_or_else(|| unreachable!("the outcome was waited for"))
    }

    async fn wait(&self, is_reached: impl Fn(&Progress) -> bool) {
        let mut changes = self.changes.subscribe();
        while !is_reached(&lock(&self.progress)) {
            // `self` owns the sender, so the channel can't be closed here.
            let _ = changes.changed().await;
        }
    }
}

/// Status of a request, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// This VM doesn't know the request.
    Unknown,
    /// The request is in progress.
    Pending,
    /// The request has ended.
    Ended {
        /// Status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer.
        body: Bytes,
    },
}

#[derive(Default)]
struct Entries {
    by_id: HashMap<RequestId, Arc<RequestEntry>>,
    finished: VecDeque<RequestId>,
    in_progress: usize,
}

/// All requests that this VM knows.
pub struct RequestTable {
    entries: Mutex<Entries>,
    max_finished: usize,
}

impl RequestTable {
    /// Creates a table that keeps up to `max_finished` requests after their end.
    pub fn new(max_finished: usize) -> Self {
        Self { entries: Mutex::default(), max_finished }
    }

    /// Adds a request unless `limit` requests are in progress; returns whether it was added.
    pub(crate) fn insert(&self, entry: Arc<RequestEntry>, limit: usize) -> bool {
        let mut entries = lock(&self.entries);
        if entries.in_progress >= limit {
            return false;
        }
        entries.in_progress += 1;
        entries.by_id.insert(entry.id.clone(), entry);
        true
    }

    /// Marks a request as finished and evicts the oldest finished requests beyond the limit.
    pub(crate) fn finish(&self, id: &str) {
        let mut entries = lock(&self.entries);
        entries.in_progress = entries.in_progress.saturating_sub(1);
        entries.finished.push_back(id.to_owned());
        while entries.finished.len() > self.max_finished {
            if let Some(oldest) = entries.finished.pop_front() {
                entries.by_id.remove(&oldest);
            }
        }
    }

    pub(crate) fn get(&self, id: &str) -> Option<Arc<RequestEntry>> {
        lock(&self.entries).by_id.get(id).cloned()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        lock(&self.entries).in_progress
    }

    /// Returns the status of a request; a request of another client account is reported as unknown.
    pub fn look_up(&self, id: &str, account: &str) -> RequestStatus {
        let Some(entry) = self.get(id).filter(|entry| entry.account == account) else {
            return RequestStatus::Unknown;
        };
        match entry.updates_after(0).outcome {
            None | Some(RequestOutcome::PendingElsewhere(_)) => RequestStatus::Pending,
            Some(RequestOutcome::Answered { status, content_type, body }) => {
                RequestStatus::Ended { status, content_type, body }
            },
            Some(RequestOutcome::Failed(problem)) => RequestStatus::Ended {
                status: problem.status,
                content_type: PROBLEM_JSON.to_owned(),
                body: problem.to_json(),
            },
        }
    }
}
