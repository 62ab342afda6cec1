//! The service that appends claims, outcomes and bills in batches and replays the request stream.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    claim::{ClaimKey, KeyState, Verdict},
    ids::{Attempt, Incarnation, Offset, RequestId},
    ledger::{Batch, Ledger, LedgerRecord},
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::{Context, Service, StartError, spawn},
    platform::{LogSlice, Stream},
    services::peers::{self, PeersMessage},
};

/// Name of the service.
pub const NAME: &str = "ledger";

/// Batches that are read at once.
const READ_BATCHES: usize = 512;
/// Records that one batch carries at the most.
const MAX_BATCH: usize = 512;
/// Time between two tries to reach the log service.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time after which a record that is not in the log yet is given to peers to hold.
const HOLD_AFTER: Duration = Duration::from_millis(500);

/// How a submitted record fared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It stands in the log; this is how it fared there.
    Logged(Verdict),
    /// It is not in the log yet, but other VMs hold it until it is.
    Held,
    /// It was given up; if it lands after all, what it claims is given back.
    GivenUp,
}

/// What the service is told and asked.
pub enum LedgerMessage {
    /// A part of the stream; answered once it is replayed.
    Read {
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
        reply: Option<RpcReplyPort<Submitted>>,
    },
    /// The log service answered an append, or did not.
    Appended {
        /// Number of the batch.
        seq: u64,
        /// Whether it answered that the batch is in.
        is_in: bool,
    },
    /// Peers hold records, or could not.
    Held {
        /// The requests that the records are about.
        requests: Vec<RequestId>,
        /// Whether enough peers hold them.
        held: bool,
    },
    /// What is known of a key.
    Key(ClaimKey, RpcReplyPort<Option<KeyState>>),
    /// What is known of the key that a request holds.
    Request(RequestId, RpcReplyPort<Option<KeyState>>),
    /// Whether everything that was submitted is in the log.
    IsEmpty(RpcReplyPort<bool>),
    /// VMs that were heard from, so that what is left behind by others can be closed.
    Live(Vec<Incarnation>),
    /// Time to look at what is due.
    Tick,
}

/// The service.
pub struct LedgerService;

#[async_trait]
impl Service for LedgerService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &Context) -> Result<ActorCell, StartError> {
        spawn(NAME, cx, LedgerActor, cx.clone()).await
    }
}

struct LedgerActor;

/// A record on its way into the log.
struct Pending {
    record: LedgerRecord,
    reply: Option<RpcReplyPort<Submitted>>,
    since: SystemTime,
    /// When peers were asked to hold it.
    offered: Option<SystemTime>,
    is_held: bool,
}

impl Pending {
    /// A claim, or a refusal that a caller waits for, is worth nothing once its request is over; the
    /// rest is never given up.
    fn may_be_given_up(&self) -> bool {
        match self.record {
            LedgerRecord::Claim(_) => true,
            LedgerRecord::Void { .. } => self.reply.is_some(),
            LedgerRecord::Settle { .. } | LedgerRecord::Ran { .. } | LedgerRecord::Bill(_) => false,
        }
    }

    fn answer(&mut self, submitted: Submitted) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(submitted);
        }
    }
}

/// A batch that has been sent but not read back.
struct InFlightBatch {
    seq: u64,
    records: Vec<Pending>,
    is_acknowledged: bool,
    _append: AbortOnDropHandle<()>,
}

struct LedgerState {
    cx: Context,
    ledger: Ledger,
    next: Arc<AtomicU64>,
    queue: Vec<Pending>,
    in_flight: Option<InFlightBatch>,
    last_seq: u64,
    /// Claims of batches that were given up, by the batch's number.
    given_up: BTreeMap<u64, Vec<LedgerRecord>>,
    window_ends: Option<SystemTime>,
    /// Window for whose end a message to ourselves is on its way.
    wakes_at: Option<SystemTime>,
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
        Ok(LedgerState {
            cx,
            ledger: Ledger::default(),
            next,
            queue: Vec::new(),
            in_flight: None,
            last_seq: 0,
            given_up: BTreeMap::new(),
            window_ends: None,
            wakes_at: None,
            live: HashMap::new(),
            last_sweep: now,
            _tail: AbortOnDropHandle::new(tail),
            _ticker: super::tick(myself, TICK, || LedgerMessage::Tick),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: LedgerMessage,
        state: &mut LedgerState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LedgerMessage::Read { slice, reply } => {
                state.read(&slice);
                let _ = reply.send(());
            },
            LedgerMessage::Submit { record, reply } => state.submit(*record, reply),
            LedgerMessage::Appended { seq, is_in } => state.appended(seq, is_in),
            LedgerMessage::Held { requests, held } => state.held(&requests, held),
            LedgerMessage::Key(key, reply) => {
                let _ = reply.send(state.ledger.key(&key).cloned());
            },
            LedgerMessage::Request(id, reply) => {
                let _ = reply.send(state.ledger.request(&id).cloned());
            },
            LedgerMessage::IsEmpty(reply) => {
                let _ = reply.send(state.queue.is_empty() && state.in_flight.is_none());
            },
            LedgerMessage::Live(live) => state.note_live(&live),
            LedgerMessage::Tick => state.tick(&myself),
        }
        state.send_due(&myself);
        state.count_waiting();
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
                if service.call(|reply| LedgerMessage::Read { slice, reply }, None).await.is_err() {
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
        self.ledger.forget(Duration::from_secs(self.cx.shared.settings.claims.horizon_s));
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
        let Some(own) = self.in_flight.take_if(|own| own.seq == batch.seq) else { return };
        let mut no_longer_held = Vec::new();
        for (mut pending, verdict) in own.records.into_iter().zip(verdicts) {
            pending.answer(Submitted::Logged(verdict));
            no_longer_held.extend(pending.record.request_id().filter(|_| pending.is_held).cloned());
        }
        self.release(no_longer_held);
        // An earlier batch that has not come by yet is passed over by all from now on.
        self.given_up = self.given_up.split_off(&batch.seq);
    }

    /// Tells peers that they need no longer hold what is in the log now.
    fn release(&self, requests: Vec<RequestId>) {
        if requests.is_empty() {
            return;
        }
        if let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) {
            let _ = peers.cast(PeersMessage::ReleaseAtPeers { requests });
        }
    }

    /// Gives back claims that landed after this VM had given them up; it never sent them.
    fn give_back(&mut self, records: &[LedgerRecord], verdicts: &[Verdict]) {
        for (record, verdict) in records.iter().zip(verdicts) {
            if let (LedgerRecord::Claim(claim), Verdict::Effective) = (record, verdict) {
                let (key, up_to): (_, Attempt) = (claim.key.clone(), claim.attempt);
                let (holder, request_id) = (claim.holder, claim.request_id.clone());
                self.submit(LedgerRecord::Void { key, up_to, holder, request_id }, None);
            }
        }
    }

    fn submit(&mut self, record: LedgerRecord, reply: Option<RpcReplyPort<Submitted>>) {
        let since = self.cx.shared.clock.now();
        let window = Duration::from_millis(self.cx.shared.settings.claims.batch_window_ms);
        self.queue.push(Pending { record, reply, since, offered: None, is_held: false });
        self.window_ends.get_or_insert(since + window);
    }

    /// Sends the queue as a batch once its window is over and no other batch is on its way.
    fn send_due(&mut self, myself: &ActorRef<LedgerMessage>) {
        let now = self.cx.shared.clock.now();
        if self.in_flight.is_some() || self.queue.is_empty() {
            return;
        }
        let Some(ends) = self.window_ends else { return };
        if now < ends && self.queue.len() < MAX_BATCH {
            if self.wakes_at.replace(ends) != Some(ends) {
                drop(myself.send_after(ends.duration_since(now).unwrap_or_default(), || LedgerMessage::Tick));
            }
            return;
        }
        let rest = self.queue.split_off(self.queue.len().min(MAX_BATCH));
        let records = std::mem::replace(&mut self.queue, rest);
        self.window_ends = (!self.queue.is_empty()).then_some(now);
        self.send(records, myself);
    }

    fn send(&mut self, records: Vec<Pending>, myself: &ActorRef<LedgerMessage>) {
        self.last_seq += 1;
        let batch = Batch {
            writer: self.cx.shared.incarnation,
            seq: self.last_seq,
            at: self.cx.shared.clock.now(),
            records: records.iter().map(|pending| pending.record.clone()).collect(),
        };
        metrics::counter!("havengrade_ledger_batches", "vm" => self.cx.shared.vm().clone()).increment(1);
        metrics::counter!("havengrade_ledger_records", "vm" => self.cx.shared.vm().clone())
            .increment(batch.records.len() as u64);
        let append = tokio::spawn(append(self.cx.clone(), myself.clone(), batch));
        let append = AbortOnDropHandle::new(append);
        self.in_flight = Some(InFlightBatch { seq: self.last_seq, records, is_acknowledged: false, _append: append });
    }

    fn appended(&mut self, seq: u64, is_in: bool) {
        if let Some(own) = self.in_flight.as_mut().filter(|own| own.seq == seq) {
            own.is_acknowledged = is_in;
        }
    }

    fn tick(&mut self, myself: &ActorRef<LedgerMessage>) {
        let now = self.cx.shared.clock.now();
        self.give_up_late(now);
        self.offer_to_peers(now, myself);
        self.close_abandoned(now);
    }

    /// Gives up claims that have waited too long; their batch takes another number if it must go on.
    fn give_up_late(&mut self, now: SystemTime) {
        let deadline = Duration::from_millis(self.cx.shared.settings.claims.deadline_ms);
        let is_late = |pending: &Pending| {
            pending.may_be_given_up() && now.duration_since(pending.since).unwrap_or_default() >= deadline
        };
        let (late, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(is_late);
        self.queue = rest;
        late.into_iter().for_each(|mut pending| pending.answer(Submitted::GivenUp));
        let Some(own) = self.in_flight.take_if(|own| own.records.iter().any(is_late)) else { return };
        self.given_up.insert(own.seq, own.records.iter().map(|pending| pending.record.clone()).collect());
        let (late, rest): (Vec<_>, Vec<_>) = own.records.into_iter().partition(Pending::may_be_given_up);
        late.into_iter().for_each(|mut pending| pending.answer(Submitted::GivenUp));
        self.queue.splice(0..0, rest);
        self.window_ends = (!self.queue.is_empty()).then_some(now);
    }

    /// Offers bills and outcomes to peers while the log service is away.
    fn offer_to_peers(&mut self, now: SystemTime, myself: &ActorRef<LedgerMessage>) {
        let is_due = |pending: &&mut Pending| {
            let waits_since = pending.offered.unwrap_or(pending.since);
            let has_waited = now.duration_since(waits_since).unwrap_or_default() >= HOLD_AFTER;
            has_waited && !pending.is_held && !pending.may_be_given_up()
        };
        let in_flight = self.in_flight.iter_mut().flat_map(|own| own.records.iter_mut());
        let mut records = Vec::new();
        for pending in self.queue.iter_mut().chain(in_flight).filter(is_due) {
            pending.offered = Some(now);
            records.push(pending.record.clone());
        }
        if records.is_empty() {
            return;
        }
        let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) else { return };
        let _ = peers.cast(PeersMessage::Hold { records, ledger: myself.clone() });
    }

    fn held(&mut self, requests: &[RequestId], held: bool) {
        let in_flight = self.in_flight.iter_mut().flat_map(|own| own.records.iter_mut());
        for pending in self.queue.iter_mut().chain(in_flight) {
            let is_one = pending.record.request_id().is_some_and(|id| requests.contains(id));
            if is_one && held {
                pending.is_held = true;
                pending.answer(Submitted::Held);
            }
        }
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
        let abandoned: Vec<LedgerRecord> = self
            .ledger
            .unsettled()
            .filter(|claim| claim.holder != self.cx.shared.incarnation)
            .filter(|claim| is_old(claim.at) && !self.live.contains_key(&claim.holder))
            .map(|claim| LedgerRecord::abandoned(claim, now))
            .collect();
        for record in abandoned {
            let is_queued = self.queue.iter().any(|pending| pending.record.request_id() == record.request_id());
            let in_flight = self.in_flight.iter().flat_map(|own| &own.records);
            if !is_queued && !in_flight.clone().any(|pending| pending.record.request_id() == record.request_id()) {
                self.submit(record, None);
            }
        }
    }

    fn count_waiting(&self) {
        let in_flight = self.in_flight.as_ref().map_or(0, |own| own.records.len());
        self.cx.shared.set_waiting_bills(self.queue.len() + in_flight);
    }
}

/// Appends a batch until the log service answers; the same batch twice has no effect.
async fn append(cx: Context, service: ActorRef<LedgerMessage>, batch: Batch) {
    let Ok(data) = serde_json::to_string(&batch) else { return };
    loop {
        let is_in = cx.log.append(Stream::Ledger, data.clone()).await.is_ok();
        if service.cast(LedgerMessage::Appended { seq: batch.seq, is_in }).is_err() || is_in {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}
