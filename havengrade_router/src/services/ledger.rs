//! The service that appends claims, refusals and outcomes and replays the ledger.

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
    platform::{LogSlice, Stream},
    services::{
        outbox::{Outbox, OutboxMessage, SubmitOutcome},
        peers::OutboxOwner,
    },
};

/// Name of the service.
pub const NAME: &str = "ledger";

/// Batches that are read at once.
const READ_BATCHES: usize = 512;
/// Time between two tries to reach the log service.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// What the service is told and asked.
pub enum LedgerMessage {
    /// A part of the stream; answered once it is replayed.
    Replay {
        /// The part.
        slice: LogSlice,
        /// Is told that the part is replayed.
        reply: RpcReplyPort<()>,
    },
    /// Append a record.
    Submit {
        /// The record.
        record: Box<LedgerRecord>,
        /// Is told how it fared; none for records that nobody waits for.
        reply: Option<RpcReplyPort<SubmitOutcome>>,
    },
    /// The log service answered that a batch is in; what counts is that it is read back.
    Appended,
    /// Enough peers hold the records about these requests.
    Replicated(Vec<RequestId>),
    /// What is known of a key.
    KeyState(ClaimKey, RpcReplyPort<Option<KeyState>>),
    /// What is known of the key that a request holds.
    RequestState(RequestId, RpcReplyPort<Option<(ClaimKey, KeyState)>>),
    /// Whether everything that was submitted is in the log.
    IsEmpty(RpcReplyPort<bool>),
    /// VMs that were heard from, so that what is left behind by others can be closed.
    LiveIncarnations(Vec<Incarnation>),
    /// Time to look at what is due.
    Tick,
}

impl OutboxMessage for LedgerMessage {
    fn appended(_seq: u64) -> Self {
        Self::Appended
    }

    fn unanswered(_seq: u64) -> Self {
        // The same batch goes on; a second one with its claims would find the first.
        Self::Tick
    }

    fn wake() -> Self {
        Self::Tick
    }
}

/// The actor of the service.
pub(crate) struct LedgerActor;

/// State of the service.
pub(crate) struct LedgerState {
    cx: Context,
    ledger: Ledger,
    next: Arc<AtomicU64>,
    outbox: Outbox,
    /// Claims of batches that were given up, by the batch's number.
    given_up: BTreeMap<u64, Vec<LedgerRecord>>,
    live: HashMap<Incarnation, SystemTime>,
    last_sweep: SystemTime,
    _tail: AbortOnDropHandle<()>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for LedgerActor {
    type Msg = LedgerMessage;
    type State = LedgerState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<LedgerState, ActorProcessingErr> {
        let next = Arc::new(AtomicU64::new(0));
        let tail = tokio::spawn(tail(cx.clone(), myself.clone(), next.clone()));
        let now = cx.shared.clock.now();
        let outbox = Outbox::new(cx.clone(), Stream::Ledger);
        Ok(LedgerState {
            cx,
            ledger: Ledger::default(),
            next,
            outbox,
            given_up: BTreeMap::new(),
            live: HashMap::new(),
            last_sweep: now,
            _tail: AbortOnDropHandle::new(tail),
            _ticker: super::send_periodically(myself, TICK, || LedgerMessage::Tick),
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
                state.read(&slice);
                let _ = reply.send(());
            },
            LedgerMessage::Submit { record, reply } => state.outbox.push(*record, reply),
            LedgerMessage::Appended => {},
            LedgerMessage::Replicated(requests) => state.outbox.held(&requests),
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
                state.note_live(&live);
                state.outbox.note_live(live);
            },
            LedgerMessage::Tick => state.tick(&myself),
        }
        state.outbox.send_due(&myself);
        Ok(())
    }
}

/// Reads the stream from where the replay stands, again and again.
async fn tail(cx: Context, service: ActorRef<LedgerMessage>, next: Arc<AtomicU64>) {
    let wait = Duration::from_millis(cx.shared.settings.log_service.read_wait_ms);
    loop {
        let from = next.load(Ordering::Acquire);
        match cx.log.read(Stream::Ledger, from, READ_BATCHES, wait).await {
            Ok(slice) => {
                if service.call(|reply| LedgerMessage::Replay { slice, reply }, None).await.is_err() {
                    return;
                }
            },
            Err(error) => {
                log::debug!(service = NAME; "{error}");
                sleep(RETRY_PAUSE).await;
            },
        }
    }
}

impl LedgerState {
    fn read(&mut self, slice: &LogSlice) {
        for record in &slice.records {
            match serde_json::from_str::<Batch>(&record.data) {
                Ok(batch) => self.replay(record.offset, &batch),
                Err(error) => {
                    log::error!(service = NAME, offset = record.offset; "batch can't be read, passed over: {error}");
                },
            }
        }
        let after = slice.records.last().map_or(slice.first, |record| record.offset + 1);
        self.next.fetch_max(after, Ordering::AcqRel);
        self.ledger.evict_expired(Duration::from_secs(self.cx.shared.settings.claims.horizon_s));
    }

    fn replay(&mut self, offset: Offset, batch: &Batch) {
        let Some(verdicts) = self.ledger.replay(offset, batch) else { return };
        if batch.writer != self.cx.shared.incarnation {
            return;
        }
        if let Some(claims) = self.given_up.remove(&batch.seq) {
            self.give_back(&claims, &verdicts);
            return;
        }
        if !self.outbox.resolve(batch.seq, verdicts) {
            return;
        }
        // An earlier batch that has not come by yet is passed over by all from now on.
        self.given_up = self.given_up.split_off(&batch.seq);
    }

    /// Gives back claims that landed after this VM had given them up; it never sent them.
    fn give_back(&mut self, records: &[LedgerRecord], verdicts: &[ApplyResult]) {
        for (record, verdict) in records.iter().zip(verdicts) {
            if let (LedgerRecord::Claim(claim), ApplyResult::Applied) = (record, verdict) {
                let (key, up_to): (_, Attempt) = (claim.key.clone(), claim.attempt);
                let (holder, request_id) = (claim.holder, claim.request_id.clone());
                self.outbox.push(LedgerRecord::Void { key, up_to, holder, request_id }, None);
            }
        }
    }

    fn tick(&mut self, myself: &ActorRef<LedgerMessage>) {
        if let Some(batch) = self.outbox.give_up_late() {
            self.given_up.insert(batch.seq, batch.records);
        }
        self.outbox.offer_to_peers(OutboxOwner::Ledger(myself.clone()));
        self.close_abandoned(self.cx.shared.clock.now());
    }

    fn note_live(&mut self, live: &[Incarnation]) {
        let now = self.cx.shared.clock.now();
        self.live.extend(live.iter().map(|incarnation| (*incarnation, now)));
    }

    /// Settles claims whose holder is gone as "may have run", so that no caller waits for ever.
    fn close_abandoned(&mut self, now: SystemTime) {
        /// Time between two sweeps.
        const SWEEP_EVERY: Duration = Duration::from_secs(1);
        if now.duration_since(self.last_sweep).unwrap_or_default() < SWEEP_EVERY {
            return;
        }
        self.last_sweep = now;
        let limit = Duration::from_secs(self.cx.shared.settings.claims.abandoned_s);
        self.live.retain(|_, heard| now.duration_since(*heard).unwrap_or_default() < limit);
        let is_old = |at: SystemTime| now.duration_since(at).unwrap_or_default() >= limit;
        // One VM settles each of them; the others only where it has not done so for as long again.
        let live = self.cx.shared.live_vms();
        let own = live.iter().position(|vm| vm == self.cx.shared.vm()).unwrap_or_default() as u64;
        let is_ours = |key: &ClaimKey, at: SystemTime| {
            let turn = uniform_hash(&[&key.account, &key.key]) % live.len().max(1) as u64;
            turn == own || now.duration_since(at).unwrap_or_default() >= 2 * limit
        };
        let abandoned: Vec<LedgerRecord> = self
            .ledger
            .unsettled_claims()
            .filter(|(_, claim)| claim.holder != self.cx.shared.incarnation)
            .filter(|(_, claim)| is_old(claim.at) && !self.live.contains_key(&claim.holder))
            .filter(|(key, claim)| is_ours(key, claim.at))
            .map(|(key, claim)| LedgerRecord::settle_abandoned(key, claim, now))
            .collect();
        for record in abandoned {
            let is_on_its_way = record.request_id().is_some_and(|id| self.outbox.has(id));
            if !is_on_its_way {
                self.outbox.push(record, None);
            }
        }
    }
}
