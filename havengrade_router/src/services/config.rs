//! The service that replays the configuration stream and publishes the active configuration.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    config::{ChangeOutcome, ChangeRecord, Config, ConfigRecord, ReplayOutcome},
    ids::{ChangeId, Offset},
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::Context,
    platform::{LogRecord, LogSlice, LogStream},
};

/// Name of the service.
pub const NAME: &str = "config";

/// Maximum number of records that are cached for peers that are behind.
const MAX_CACHED_RECORDS: usize = 4096;
/// Maximum number of records per read of the stream.
const MAX_READ_RECORDS: usize = 512;
/// Delay before a failed call to the log service is retried.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Messages to the service.
pub enum ConfigMessage {
    /// Replay a slice of the stream that was read from the log.
    Replay {
        /// The slice.
        slice: LogSlice,
        /// Time at which the read was requested.
        requested_at: SystemTime,
        /// Answered once the slice is replayed.
        reply: RpcReplyPort<()>,
    },
    /// Replay records, or a snapshot, that a peer sent.
    ReplayFromPeer {
        /// The records, in offset order.
        records: Vec<LogRecord>,
        /// The whole configuration, from a peer that no longer caches the records.
        snapshot: Option<Box<Config>>,
    },
    /// Append a change and report its outcome.
    Propose {
        /// The change.
        record: ChangeRecord,
        /// Receives the outcome; dropped if there is none in time.
        reply: RpcReplyPort<ChangeOutcome>,
    },
    /// Fetch records for a peer that is behind.
    Fetch {
        /// Offset of the first record.
        from: Offset,
        /// Maximum number of records.
        limit: usize,
        /// Receives the records.
        reply: RpcReplyPort<FetchedRecords>,
    },
}

/// Records, or a snapshot, for a peer that is behind.
pub struct FetchedRecords {
    /// The records, in offset order and without a gap.
    pub records: Vec<LogRecord>,
    /// Offset after the newest record that this VM has replayed.
    pub next: Offset,
    /// The whole configuration, if the cached records don't reach back far enough.
    pub snapshot: Option<Box<Config>>,
}

/// Actor of the service.
pub(crate) struct ConfigActor;

/// State of the service.
pub(crate) struct ConfigState {
    cx: Context,
    config: Config,
    /// The newest records without a gap, cached for peers that are behind.
    recent_records: VecDeque<LogRecord>,
    outcome_waiters: HashMap<ChangeId, Vec<RpcReplyPort<ChangeOutcome>>>,
    /// Number of changes replayed since the last snapshot.
    changes_since_snapshot: u64,
    append_tasks: Vec<AbortOnDropHandle<()>>,
    _reader: AbortOnDropHandle<()>,
}

impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<ConfigState, ActorProcessingErr> {
        let reader = tokio::spawn(read_stream(cx.clone(), myself));
        Ok(ConfigState {
            cx,
            config: Config::default(),
            recent_records: VecDeque::new(),
            outcome_waiters: HashMap::new(),
            changes_since_snapshot: 0,
            append_tasks: Vec::new(),
            _reader: AbortOnDropHandle::new(reader),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigMessage::Replay { slice, requested_at, reply } => {
                state.replay_slice(&slice, requested_at);
                let _ = reply.send(());
            },
            ConfigMessage::ReplayFromPeer { records, snapshot } => state.replay_from_peer(&records, snapshot),
            ConfigMessage::Propose { record, reply } => state.propose(record, reply),
            ConfigMessage::Fetch { from, limit, reply } => {
                let _ = reply.send(state.fetch(from, limit));
            },
        }
        Ok(())
    }
}

/// Reads the stream from the next offset to replay, in a loop.
async fn read_stream(cx: Context, service: ActorRef<ConfigMessage>) {
    let wait = Duration::from_millis(cx.shared.settings.log_service.read_wait_ms);
    loop {
        let requested_at = cx.shared.clock.now();
        let from = cx.shared.config_next();
        match cx.log.read(LogStream::Config, from, MAX_READ_RECORDS, wait).await {
            Ok(slice) => {
                cx.shared.set_log_reachable(true);
                let replayed = service.call(|reply| ConfigMessage::Replay { slice, requested_at, reply }, None).await;
                if replayed.is_err() {
                    return;
                }
            },
            Err(error) => {
                cx.shared.set_log_reachable(false);
                log::debug!(service = NAME; "failed to read the configuration stream: {error}");
                sleep(LOG_RETRY_DELAY).await;
            },
        }
    }
}

impl ConfigState {
    fn replay_slice(&mut self, slice: &LogSlice, requested_at: SystemTime) {
        self.replay_records(&slice.records, slice.first);
        let log_end = slice.next;
        if self.config.next_offset >= log_end {
            self.cx.shared.confirm_config(requested_at);
        }
    }

    fn replay_from_peer(&mut self, records: &[LogRecord], snapshot: Option<Box<Config>>) {
        if let Some(snapshot) = snapshot {
            self.replay(snapshot.next_offset, &ConfigRecord::Snapshot(snapshot));
            self.publish();
        }
        self.replay_records(records, 0);
    }

    /// Replays records; `first` is the oldest offset that the log retains.
    fn replay_records(&mut self, records: &[LogRecord], first: Offset) {
        let mut has_changed = false;
        for record in records {
            let leaves_gap = record.offset > self.config.next_offset;
            let parsed: Result<ConfigRecord, _> = serde_json::from_str(&record.data);
            match parsed {
                // Only a snapshot can replace records that the log no longer retains.
                Ok(ConfigRecord::Change(_)) if leaves_gap && first > self.config.next_offset => continue,
                Ok(_) if leaves_gap && first <= self.config.next_offset => break,
                Ok(parsed) => has_changed |= self.replay(record.offset, &parsed),
                Err(error) => {
                    log::error!(service = NAME, offset = record.offset; "skipping a malformed record: {error}");
                    if !leaves_gap {
                        self.config.next_offset = self.config.next_offset.max(record.offset + 1);
                    }
                },
            }
            self.cache_record(record);
        }
        if has_changed {
            self.publish();
        }
        self.cx.shared.set_config_next(self.config.next_offset);
    }

    fn replay(&mut self, offset: Offset, record: &ConfigRecord) -> bool {
        let outcome = self.config.replay(offset, record);
        match (&outcome, record) {
            (ReplayOutcome::Effective, ConfigRecord::Change(change)) => {
                let (change_id, author, reason) = (&change.change_id, &change.author, &change.reason);
                log::info!(service = NAME, offset, change_id, author, reason; "configuration change applied");
            },
            (ReplayOutcome::Void(reason), ConfigRecord::Change(change)) => {
                let change_id = &change.change_id;
                log::warn!(service = NAME, offset, change_id; "configuration change rejected: {reason}");
            },
            _ => {},
        }
        if let ConfigRecord::Change(change) = record {
            self.changes_since_snapshot += 1;
            self.answer_waiters(&change.change_id);
        } else {
            self.changes_since_snapshot = 0;
        }
        self.append_due_snapshot();
        matches!(outcome, ReplayOutcome::Effective | ReplayOutcome::Restored)
    }

    /// Sends the outcome of a change to the callers that wait for it.
    fn answer_waiters(&mut self, change_id: &str) {
        let Some(outcome) = self.config.change_outcome(change_id).cloned() else { return };
        for reply in self.outcome_waiters.remove(change_id).unwrap_or_default() {
            let _ = reply.send(outcome.clone());
        }
    }

    /// Adds a record to the cache, which restarts at a record that leaves a gap.
    fn cache_record(&mut self, record: &LogRecord) {
        let is_contiguous = self.recent_records.back().is_none_or(|last| last.offset + 1 == record.offset);
        let is_cached = self.recent_records.back().is_some_and(|last| last.offset >= record.offset);
        if is_cached {
            return;
        }
        if !is_contiguous {
            self.recent_records.clear();
        }
        self.recent_records.push_back(record.clone());
        if self.recent_records.len() > MAX_CACHED_RECORDS {
            self.recent_records.pop_front();
        }
    }

    fn publish(&self) {
        let known = self.cx.shared.catalog.load();
        let catalog = known.with_config(self.config.clone());
        if !known.shares_endpoints_with(&self.config) {
            self.cx.shared.endpoints.update_endpoints(catalog.config.endpoints.keys());
        }
        self.cx.shared.catalog.store(Arc::new(catalog));
    }

    fn propose(&mut self, record: ChangeRecord, reply: RpcReplyPort<ChangeOutcome>) {
        if let Some(outcome) = self.config.change_outcome(&record.change_id) {
            let _ = reply.send(outcome.clone());
            return;
        }
        self.outcome_waiters.entry(record.change_id.clone()).or_default().push(reply);
        self.append(&ConfigRecord::Change(record));
    }

    /// Appends a record in the background.
    ///
    /// A lost answer does no harm: the record is read back from the stream, or its append is retried, and a
    /// repeated change has no effect.
    fn append(&mut self, record: &ConfigRecord) {
        /// Number of attempts before the operator has to repeat the call.
        const MAX_ATTEMPTS: u32 = 3;
        let Ok(data) = serde_json::to_string(record) else { return };
        let log = self.cx.log.clone();
        let task = tokio::spawn(async move {
            for _ in 0..MAX_ATTEMPTS {
                if log.append(LogStream::Config, data.clone()).await.is_ok() {
                    return;
                }
                sleep(LOG_RETRY_DELAY).await;
            }
        });
        self.append_tasks.retain(|task| !task.is_finished());
        self.append_tasks.push(AbortOnDropHandle::new(task));
    }

    fn fetch(&self, from: Offset, limit: usize) -> FetchedRecords {
        let next = self.config.next_offset;
        let oldest = self.recent_records.front().map_or(next, |record| record.offset);
        let snapshot = (from < oldest && from < next).then(|| Box::new(self.config.clone()));
        let records = match snapshot {
            Some(_) => Vec::new(),
            None => self.recent_records.iter().filter(|record| record.offset >= from).take(limit).cloned().collect(),
        };
        FetchedRecords { records, next, snapshot }
    }

    /// Appends a snapshot once enough changes have been replayed since the last one.
    ///
    /// The number of changes differs between VMs, so that usually only one of them writes the snapshot. A second
    /// snapshot has the same content and does no harm.
    fn append_due_snapshot(&mut self) {
        let interval = self.cx.shared.settings.log_service.snapshot_every;
        let own_interval = interval + self.cx.shared.incarnation % interval.max(2) / 2;
        if self.changes_since_snapshot >= own_interval {
            self.changes_since_snapshot = 0;
            let snapshot = ConfigRecord::Snapshot(Box::new(self.config.clone()));
            self.append(&snapshot);
        }
    }
}
