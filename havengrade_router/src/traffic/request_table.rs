//! The requests in progress and the answers that are kept for callers who come for them later.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use havengrade_core::ids::{AccountId, EndpointId, RequestId, VersionId};
use tokio::sync::watch;

use crate::{shared::lock, traffic::Problem};

use super::problem::PROBLEM_JSON;

/// Where an answer comes from; known from its first piece on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    /// Version that answers.
    pub(crate) version: Option<VersionId>,
    /// Endpoint that answers.
    pub(crate) endpoint: EndpointId,
    /// Token of the session, if the class has sessions.
    pub(crate) session: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// With a whole answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Its body.
        body: Bytes,
    },
    /// With an error.
    Failed(Problem),
    /// Another request holds its key and has not ended; the caller may ask for that one.
    PendingElsewhere(RequestId),
}

#[derive(Debug, Default)]
struct Progress {
    head: Option<Head>,
    pieces: Vec<Arc<str>>,
    end: Option<End>,
}

/// A request, from its arrival until its answer is no longer kept.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// Client account that it belongs to.
    pub(crate) account: AccountId,
    progress: Mutex<Progress>,
    changes: watch::Sender<u64>,
}

/// What a reader has not seen yet.
pub(crate) struct News {
    /// New pieces of the answer.
    pub(crate) pieces: Vec<Arc<str>>,
    /// The end, if it has come.
    pub(crate) end: Option<End>,
}

impl RequestEntry {
    pub(crate) fn new(id: RequestId, account: AccountId) -> Self {
        Self { id, account, progress: Mutex::default(), changes: watch::Sender::new(0) }
    }

    /// Notes where the answer comes from.
    pub(crate) fn begin(&self, head: Head) {
        lock(&self.progress).head = Some(head);
        self.notify();
    }

    /// Adds a piece of the answer.
    pub(crate) fn push(&self, piece: Arc<str>) {
        lock(&self.progress).pieces.push(piece);
        self.notify();
    }

    /// Ends the request; the first end stands.
    pub(crate) fn end(&self, end: End) {
        lock(&self.progress).end.get_or_insert(end);
        self.notify();
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Where the answer comes from, if it has begun.
    pub(crate) fn head(&self) -> Option<Head> {
        lock(&self.progress).head.clone()
    }

    /// What has come after the first `seen` pieces.
    pub(crate) fn news(&self, seen: usize) -> News {
        let progress = lock(&self.progress);
        let pieces = progress.pieces.get(seen..).unwrap_or_default().to_vec();
        News { pieces, end: progress.end.clone() }
    }

    /// Waits until the answer has begun or ended.
    pub(crate) async fn begun(&self) {
        self.wait(|progress| !progress.pieces.is_empty() || progress.end.is_some()).await;
    }

    /// Waits until there are more than `seen` pieces, or the end.
    pub(crate) async fn more_than(&self, seen: usize) {
        self.wait(|progress| progress.pieces.len() > seen || progress.end.is_some()).await;
    }

    /// Waits for the end.
    pub(crate) async fn ended(&self) -> End {
        self.wait(|progress| progress.end.is_some()).await;
        lock(&self.progress).end.clone().unwrap_or_else(|| unreachable!("an end was waited for"))
    }

    async fn wait(&self, is_there: impl Fn(&Progress) -> bool) {
        let mut changes = self.changes.subscribe();
        while !is_there(&lock(&self.progress)) {
            // The sender lives as long as we do.
            let _ = changes.changed().await;
        }
    }
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Nothing.
    Unknown,
    /// It is in progress.
    Pending,
    /// It has ended.
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
    ended: VecDeque<RequestId>,
    in_progress: usize,
}

/// All requests that are known here.
pub struct RequestTable {
    entries: Mutex<Entries>,
    max_kept: usize,
}

impl RequestTable {
    /// A table that keeps so many answers after their requests ended.
    pub fn new(max_kept: usize) -> Self {
        Self { entries: Mutex::default(), max_kept }
    }

    /// Adds a request unless as many as `limit` are in progress.
    pub(crate) fn insert(&self, entry: Arc<RequestEntry>, limit: usize) -> bool {
        let mut entries = lock(&self.entries);
        if entries.in_progress >= limit {
            return false;
        }
        entries.in_progress += 1;
        entries.by_id.insert(entry.id.clone(), entry);
        true
    }

    /// Notes that a request has ended; the oldest answers are dropped where there are too many.
    pub(crate) fn finish(&self, id: &str) {
        let mut entries = lock(&self.entries);
        entries.in_progress = entries.in_progress.saturating_sub(1);
        entries.ended.push_back(id.to_owned());
        while entries.ended.len() > self.max_kept {
            if let Some(oldest) = entries.ended.pop_front() {
                entries.by_id.remove(&oldest);
            }
        }
    }

    pub(crate) fn get(&self, id: &str) -> Option<Arc<RequestEntry>> {
        lock(&self.entries).by_id.get(id).cloned()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        lock(&self.entries).in_progress
    }

    /// What is known of a client account's request; another's is unknown to it.
    pub fn look_up(&self, id: &str, account: &str) -> RequestStatus {
        let Some(entry) = self.get(id).filter(|entry| entry.account == account) else {
            return RequestStatus::Unknown;
        };
        match entry.news(0).end {
            None | Some(End::PendingElsewhere(_)) => RequestStatus::Pending,
            Some(End::Answered { status, content_type, body }) => RequestStatus::Ended { status, content_type, body },
            Some(End::Failed(problem)) => RequestStatus::Ended {
                status: problem.status,
                content_type: PROBLEM_JSON.to_owned(),
                body: problem.to_json(),
            },
        }
    }
}
