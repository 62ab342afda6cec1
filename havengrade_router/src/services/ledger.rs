//! The service that appends claims, voided attempts and outcomes to the ledger and replays the ledger.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use havengrade_core::{
    claim::{ApplyResult, ClaimKey, KeyState},
    ids::{Attempt, Incarnation, Offset, RequestId},
    ledger::{Batch, Ledger, LedgerRecord},
    secret::uniform_hash,
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::Context,
    platform::{LogSlice, LogStream},
    services::{
        outbox::{Outbox, OutboxMessage, SubmitOutcome},
        peers::OutboxOwner,
    },
};

/// Name of the service.
pub const NAME: &str = "ledger";

/// Maximum number of batches per read of the stream.
const MAX_READ_BATCHES: usize = 512;
/// Delay before a failed read of the stream is retried.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which overdue records and abandoned claims are handled.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Messages to the service.
pub enum LedgerMessage {
    /// Replay a slice of the stream that was read from the log.
    Replay {
        /// The slice.
        slice: LogSlice,
        /// Answered once the slice is replayed.
        reply: RpcReplyPort<()>,
    },
    /// Append a record.
    Submit {
        /// The record.
        record: Box<LedgerRecord>,
        /// Receives the outcome; `None` for records that no caller waits for.
        reply: Option<RpcReplyPort<SubmitOutcome>>,
    },
    /// The log service acknowledged a batch, which only counts once it is read back.
    Appended,
    /// Enough peers store replicas of the records of these requests.
    Replicated(Vec<RequestId>),
    /// Look up the state of a key.
    KeyState(ClaimKey, RpcReplyPort<Option<KeyState>>),
    /// Look up the key that a request claimed, and its state.
    RequestState(RequestId, RpcReplyPort<Option<(ClaimKey, KeyState)>>),
    /// Ask whether all submitted records are in the log.
    IsEmpty(RpcReplyPort<bool>),
    /// Incarnations of the live VMs; claims of other incarnations are settled as abandoned after a time.
    LiveIncarnations(Vec<Incarnation>),
    /// Handle overdue records and abandoned claims.
    Tick,
}

impl OutboxMessage for LedgerMessage {
    fn appended(_seq: u64) -> Self {
        Self::Appended
    }

    fn unanswered(_seq: u64) -> Self {
        // The same batch is retried. In a new batch, its claims would fail if the first one is in the log.
        Self::Tick
    }

    fn wake() -> Self {
        Self::Tick
    }
}

/// Actor of the service.
pub(crate) struct LedgerActor;

/// State of the service.
pub(crate) struct LedgerState {
    cx: Context,
    ledger: Ledger,
    next_offset: Arc<AtomicU64>,
    outbox: Outbox,
    /// Records of cancelled batches by sequence number. A batch can still reach the log after its cancellation.
    cancelled: BTreeMap<u64, Vec<LedgerRecord>>,
    /// Time at which each live incarnation was last reported.
    last_live: HashMap<Incarnation, SystemTime>,
    last_sweep: SystemTime,
    _reader: AbortOnDropHandle<()>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for LedgerActor {
    type Msg = LedgerMessage;
    type State = LedgerState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<LedgerState, ActorProcessingErr> {
        let next_offset = Arc::new(AtomicU64::new(0));
        let reader = tokio::spawn(read_stream(cx.clone(), myself.clone(), next_offset.clone()));
        let now = cx.shared.clock.now();
        let outbox = Outbox::new(cx.clone(), LogStream::Ledger);
        Ok(LedgerState {
            cx,
            ledger: Ledger::default(),
            next_offset,
            outbox,
            cancelled: BTreeMap::new(),
            last_live: HashMap::new(),
            last_sweep: now,
            _reader: AbortOnDropHandle::new(reader),
            _ticker: super::send_periodically(myself, TICK_INTERVAL, || LedgerMessage::Tick),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: LedgerMessage,
        state: &mut LedgerState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LedgerMessage::Replay { slice, reply } => {
                state.replay_slice(&slice);
                let _ = reply.send(());
            },
            LedgerMessage::Submit { record, reply } => state.outbox.push(*record, reply),
            LedgerMessage::Appended => {},
            LedgerMessage::Replicated(requests) => state.outbox.record_replicated(&requests),
            LedgerMessage::KeyState(key, reply) => {
                let _ = reply.send(state.ledger.key_state(&key).cloned());
            },
            LedgerMessage::RequestState(id, reply) => {
                let _ = reply.send(state.ledger.claimed_request(&id).map(|(key, state)| (key.clone(), state.clone())));
            },
            LedgerMessage::IsEmpty(reply) => {
                let _ = reply.send(state.outbox.is_empty());
            },
            LedgerMessage::LiveIncarnations(live) => {
                state.record_live(&live);
                state.outbox.set_live(live);
            },
            LedgerMessage::Tick => state.tick(&myself),
        }
        state.outbox.send_due(&myself);
        Ok(())
    }
}

/// Reads the stream from the next offset to replay, in a loop.
async fn read_stream(cx: Context, service: ActorRef<LedgerMessage>, next_offset: Arc<AtomicU64>) {
    let wait = Duration::from_millis(cx.shared.settings.log_service.read_wait_ms);
    loop {
        let from = next_offset.load(Ordering::Acquire);
        match cx.log.read(LogStream::Ledger, from, MAX_READ_BATCHES, wait).await {
            Ok(slice) => {
                if service.call(|reply| LedgerMessage::Replay { slice, reply }, None).await.is_err() {
                    return;
                }
            },
            Err(error) => {
                log::debug!(service = NAME; "failed to read the ledger stream: {error}");
                sleep(LOG_RETRY_DELAY).await;
            },
        }
    }
}

impl LedgerState {
    fn replay_slice(&mut self, slice: &LogSlice) {
        for record in &slice.records {
            match serde_json::from_str::<Batch>(&record.data) {
                Ok(batch) => self.replay_batch(record.offset, &batch),
                Err(error) => {
                    log::error!(service = NAME, offset = record.offset; "skipping a malformed ledger batch: {error}");
                },
            }
        }
        let after = slice.records.last().map_or(slice.first, |record| record.offset + 1);
        self.next_offset.fetch_max(after, Ordering::AcqRel);
        self.ledger.evict_expired(Duration::from_secs(self.cx.shared.settings.claims.horizon_s));
    }

    fn replay_batch(&mut self, offset: Offset, batch: &Batch) {
        let Some(results) = self.ledger.replay(offset, batch) else { return };
        if batch.writer != self.cx.shared.incarnation {
            return;
        }
        if let Some(claims) = self.cancelled.remove(&batch.seq) {
            self.void_late_claims(&claims, &results);
            return;
        }
        if !self.outbox.complete(batch.seq, results) {
            return;
        }
        // Replay ignores a batch that reaches the log after a later one of the same writer, so cancelled batches
        // before this one can't take effect any more.
        self.cancelled = self.cancelled.split_off(&batch.seq);
    }

    /// Voids claims that reached the log after this VM cancelled them; their requests never ran.
    fn void_late_claims(&mut self, records: &[LedgerRecord], results: &[ApplyResult]) {
        for (record, result) in records.iter().zip(results) {
            if let (LedgerRecord::Claim(claim), ApplyResult::Applied) = (record, result) {
                let (key, up_to): (_, Attempt) = (claim.key.clone(), claim.attempt);
                let (holder, request_id) = (claim.holder, claim.request_id.clone());
                self.outbox.push(LedgerRecord::Void { key, up_to, holder, request_id }, None);
            }
        }
    }

    fn tick(&mut self, myself: &ActorRef<LedgerMessage>) {
        if let Some(batch) = self.outbox.cancel_overdue() {
            self.cancelled.insert(batch.seq, batch.records);
        }
        self.outbox.replicate_overdue(OutboxOwner::Ledger(myself.clone()));
        self.settle_abandoned_claims(self.cx.shared.clock.now());
    }

    fn record_live(&mut self, live: &[Incarnation]) {
        let now = self.cx.shared.clock.now();
        self.last_live.extend(live.iter().map(|incarnation| (*incarnation, now)));
    }

    /// Settles claims whose holder is gone as "may have run", so that no caller waits forever.
    fn settle_abandoned_claims(&mut self, now: SystemTime) {
        /// Interval between two sweeps.
        const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
        if now.duration_since(self.last_sweep).unwrap_or_default() < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let limit = Duration::from_secs(self.cx.shared.settings.claims.abandoned_s);
        self.last_live.retain(|_, last_live| now.duration_since(*last_live).unwrap_or_default() < limit);
        let is_past_limit = |at: SystemTime| now.duration_since(at).unwrap_or_default() >= limit;
        // Each claim is settled by one responsible VM, and by the others only if it is still unsettled after
        // twice the limit.
        let live = self.cx.shared.live_vms();
        let own_index = live.iter().position(|vm| vm == self.cx.shared.vm()).unwrap_or_default() as u64;
        let is_responsible = |key: &ClaimKey, at: SystemTime| {
            let responsible = uniform_hash(&[&key.account, &key.key]) % live.len().max(1) as u64;
            responsible == own_index || now.duration_since(at).unwrap_or_default() >= 2 * limit
        };
        let abandoned: Vec<LedgerRecord> = self
            .ledger
            .unsettled_claims()
            .filter(|(_, claim)| claim.holder != self.cx.shared.incarnation)
            .filter(|(_, claim)| is_past_limit(claim.at) && !self.last_live.contains_key(&claim.holder))
            .filter(|(key, claim)| is_responsible(key, claim.at))
            .map(|(key, claim)| LedgerRecord::settle_abandoned(key, claim, now))
            .collect();
        for record in abandoned {
            let is_pending = record.request_id().is_some_and(|id| self.outbox.contains(id));
            if !is_pending {
                self.outbox.push(record, None);
            }
        }
    }
}
