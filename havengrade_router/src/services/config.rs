//! The service that replays the configuration stream and publishes what is in force.

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
    platform::{LogRecord, LogSlice, Stream},
};

/// Name of the service.
pub const NAME: &str = "config";

/// Records that are kept for peers who are behind.
const KEPT_RECORDS: usize = 4096;
/// Records that are read at once.
const READ_RECORDS: usize = 512;
/// Time between two tries to reach the log service.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What the service is told and asked.
pub enum ConfigMessage {
    /// A part of the stream; answered once it is replayed.
    Replay {
        /// The part.
        slice: LogSlice,
        /// When it was asked for.
        asked: SystemTime,
        /// Is told that the part is replayed.
        reply: RpcReplyPort<()>,
    },
    /// Records that a peer knows.
    ReplayFromPeer {
        /// The records, in order.
        records: Vec<LogRecord>,
        /// The whole configuration of a peer that keeps no older records.
        snapshot: Option<Box<Config>>,
    },
    /// Append a change and tell what became of it.
    Propose {
        /// The change.
        record: ChangeRecord,
        /// Is told the outcome; dropped if none is known in time.
        reply: RpcReplyPort<ChangeOutcome>,
    },
    /// Records for a peer that is behind.
    Fetch {
        /// Offset of the first.
        from: Offset,
        /// Most records.
        limit: usize,
        /// Is given the records.
        reply: RpcReplyPort<FetchedRecords>,
    },
}

/// What a peer that is behind is given.
pub struct FetchedRecords {
    /// The records, in order and without a gap.
    pub records: Vec<LogRecord>,
    /// Offset after the newest record that is known here.
    pub next: Offset,
    /// The whole configuration, where the records don't reach back far enough.
    pub snapshot: Option<Box<Config>>,
}

/// The actor of the service.
pub(crate) struct ConfigActor;

/// State of the service.
pub(crate) struct ConfigState {
    cx: Context,
    config: Config,
    kept: VecDeque<LogRecord>,
    waiting: HashMap<ChangeId, Vec<RpcReplyPort<ChangeOutcome>>>,
    since_snapshot: u64,
    appends: Vec<AbortOnDropHandle<()>>,
    _tail: AbortOnDropHandle<()>,
}

impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<ConfigState, ActorProcessingErr> {
        let tail = tokio::spawn(tail(cx.clone(), myself));
        Ok(ConfigState {
            cx,
            config: Config::default(),
            kept: VecDeque::new(),
            waiting: HashMap::new(),
            since_snapshot: 0,
            appends: Vec::new(),
            _tail: AbortOnDropHandle::new(tail),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigMessage::Replay { slice, asked, reply } => {
                state.read(&slice, asked);
                let _ = reply.send(());
            },
            ConfigMessage::ReplayFromPeer { records, snapshot } => state.relayed(&records, snapshot),
            ConfigMessage::Propose { record, reply } => state.propose(record, reply),
            ConfigMessage::Fetch { from, limit, reply } => {
                let _ = reply.send(state.fetch(from, limit));
            },
        }
        Ok(())
    }
}

/// Reads the stream from where the replay stands, again and again.
async fn tail(cx: Context, service: ActorRef<ConfigMessage>) {
    let wait = Duration::from_millis(cx.shared.settings.log_service.read_wait_ms);
    loop {
        let asked = cx.shared.clock.now();
        let from = cx.shared.config_next();
        match cx.log.read(Stream::Config, from, READ_RECORDS, wait).await {
            Ok(slice) => {
                cx.shared.set_log_reachable(true);
                let replayed = service.call(|reply| ConfigMessage::Replay { slice, asked, reply }, None).await;
                if replayed.is_err() {
                    return;
                }
            },
            Err(error) => {
                cx.shared.set_log_reachable(false);
                log::debug!(service = NAME; "{error}");
                sleep(RETRY_PAUSE).await;
            },
        }
    }
}

impl ConfigState {
    fn read(&mut self, slice: &LogSlice, asked: SystemTime) {
        self.replay_all(&slice.records, slice.first);
        let newest = slice.next;
        if self.config.next_offset >= newest {
            self.cx.shared.confirm(asked);
        }
    }

    fn relayed(&mut self, records: &[LogRecord], snapshot: Option<Box<Config>>) {
        if let Some(snapshot) = snapshot {
            self.replay(snapshot.next_offset, &ConfigRecord::Snapshot(snapshot));
            self.publish();
        }
        self.replay_all(records, 0);
    }

    /// Replays records that follow what is known; `first` is the oldest offset that the log keeps.
    fn replay_all(&mut self, records: &[LogRecord], first: Offset) {
        let mut has_changed = false;
        for record in records {
            let is_gap = record.offset > self.config.next_offset;
            let parsed: Result<ConfigRecord, _> = serde_json::from_str(&record.data);
            match parsed {
                // Only a snapshot leads over records that the log no longer keeps.
                Ok(ConfigRecord::Change(_)) if is_gap && first > self.config.next_offset => continue,
                Ok(_) if is_gap && first <= self.config.next_offset => break,
                Ok(parsed) => has_changed |= self.replay(record.offset, &parsed),
                Err(error) => {
                    log::error!(service = NAME, offset = record.offset; "record can't be read, passed over: {error}");
                    if !is_gap {
                        self.config.next_offset = self.config.next_offset.max(record.offset + 1);
                    }
                },
            }
            self.keep(record);
        }
        if has_changed {
            self.publish();
        }
        self.cx.shared.set_config_next(self.config.next_offset);
    }

    fn replay(&mut self, offset: Offset, record: &ConfigRecord) -> bool {
        let effect = self.config.replay(offset, record);
        match (&effect, record) {
            (ReplayOutcome::Effective, ConfigRecord::Change(change)) => {
                let (change_id, author, reason) = (&change.change_id, &change.author, &change.reason);
                log::info!(service = NAME, offset, change_id, author, reason; "change in force");
            },
            (ReplayOutcome::Void(why), ConfigRecord::Change(change)) => {
                let change_id = &change.change_id;
                log::warn!(service = NAME, offset, change_id; "change is void: {why}");
            },
            _ => {},
        }
        if let ConfigRecord::Change(change) = record {
            self.since_snapshot += 1;
            self.answer(&change.change_id);
        } else {
            self.since_snapshot = 0;
        }
        self.write_snapshot();
        matches!(effect, ReplayOutcome::Effective | ReplayOutcome::Restored)
    }

    /// Tells those who wait for a change what became of it.
    fn answer(&mut self, change_id: &str) {
        let Some(outcome) = self.config.change_outcome(change_id).cloned() else { return };
        for reply in self.waiting.remove(change_id).unwrap_or_default() {
            let _ = reply.send(outcome.clone());
        }
    }

    fn keep(&mut self, record: &LogRecord) {
        let follows = self.kept.back().is_none_or(|last| last.offset + 1 == record.offset);
        let is_known = self.kept.back().is_some_and(|last| last.offset >= record.offset);
        if is_known {
            return;
        }
        if !follows {
            self.kept.clear();
        }
        self.kept.push_back(record.clone());
        if self.kept.len() > KEPT_RECORDS {
            self.kept.pop_front();
        }
    }

    fn publish(&self) {
        let known = self.cx.shared.catalog.load();
        let catalog = known.with_config(self.config.clone());
        if !known.shares_endpoints_with(&self.config) {
            self.cx.shared.endpoints.configure(catalog.config.endpoints.keys());
        }
        self.cx.shared.catalog.store(Arc::new(catalog));
    }

    fn propose(&mut self, record: ChangeRecord, reply: RpcReplyPort<ChangeOutcome>) {
        if let Some(outcome) = self.config.change_outcome(&record.change_id) {
            let _ = reply.send(outcome.clone());
            return;
        }
        self.waiting.entry(record.change_id.clone()).or_default().push(reply);
        self.append(&ConfigRecord::Change(record));
    }

    /// Appends a record; a lost answer does no harm, since the record is read back or tried again.
    fn append(&mut self, record: &ConfigRecord) {
        /// Tries before the operator has to ask again.
        const TRIES: u32 = 3;
        let Ok(data) = serde_json::to_string(record) else { return };
        let log = self.cx.log.clone();
        let task = tokio::spawn(async move {
            for _ in 0..TRIES {
                if log.append(Stream::Config, data.clone()).await.is_ok() {
                    return;
                }
                sleep(RETRY_PAUSE).await;
            }
        });
        self.appends.retain(|task| !task.is_finished());
        self.appends.push(AbortOnDropHandle::new(task));
    }

    fn fetch(&self, from: Offset, limit: usize) -> FetchedRecords {
        let next = self.config.next_offset;
        let oldest = self.kept.front().map_or(next, |record| record.offset);
        let snapshot = (from < oldest && from < next).then(|| Box::new(self.config.clone()));
        let records = match snapshot {
            Some(_) => Vec::new(),
            None => self.kept.iter().filter(|record| record.offset >= from).take(limit).cloned().collect(),
        };
        FetchedRecords { records, next, snapshot }
    }

    /// Writes a snapshot once enough records have come since the last one.
    ///
    /// Each VM waits for a different number of records, so that one of them writes it as a rule; a
    /// second one has the same content and does no harm.
    fn write_snapshot(&mut self) {
        let every = self.cx.shared.settings.log_service.snapshot_every;
        let own_turn = every + self.cx.shared.incarnation % every.max(2) / 2;
        if self.since_snapshot >= own_turn {
            self.since_snapshot = 0;
            let snapshot = ConfigRecord::Snapshot(Box::new(self.config.clone()));
            self.append(&snapshot);
        }
    }
}
