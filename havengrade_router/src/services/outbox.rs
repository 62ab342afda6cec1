//! Records on their way into a stream of the log: gathered, sent in batches, and held by peers in an outage.

use std::time::{Duration, SystemTime};

use havengrade_core::{
    claim::ApplyResult,
    ids::{Incarnation, RequestId},
    ledger::{Batch, LedgerRecord},
};
use ractor::{ActorRef, Message, RpcReplyPort};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::Context,
    platform::Stream,
    services::peers::{self, OutboxOwner, PeersMessage},
};

/// Records that one batch carries at the most.
const MAX_BATCH: usize = 512;
/// Time between two tries to reach the log service.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a record that is not in the log yet is given to peers to hold.
const HOLD_AFTER: Duration = Duration::from_millis(500);

/// How a submitted record fared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It stands in the log; this is how it fared there.
    Logged(ApplyResult),
    /// It is not in the log yet, but other VMs hold it until it is.
    Replicated,
    /// It was given up; if it lands after all, what it claims is given back.
    Cancelled,
}

/// A record on its way into the log.
pub(super) struct Pending {
    pub(super) record: LedgerRecord,
    reply: Option<RpcReplyPort<SubmitOutcome>>,
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

    fn answer(&mut self, submitted: SubmitOutcome) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(submitted);
        }
    }
}

/// A batch that has been sent but is not known to be in.
struct Sent {
    seq: u64,
    records: Vec<Pending>,
    _append: AbortOnDropHandle<()>,
}

/// A batch that was given up although it may still land.
pub(super) struct GivenUpBatch {
    /// Its number.
    pub(super) seq: u64,
    /// Its records.
    pub(super) records: Vec<LedgerRecord>,
}

/// What a service that has an outbox is told by it.
pub(super) trait OutboxMessage: Message {
    /// The log service answered that a batch is in.
    fn appended(seq: u64) -> Self;

    /// The log service did not answer; the batch may be in all the same.
    fn unanswered(seq: u64) -> Self;

    /// Something may be due.
    fn wake() -> Self;
}

/// Records on their way into a stream of the log.
pub(super) struct Outbox {
    cx: Context,
    stream: Stream,
    queue: Vec<Pending>,
    sent: Option<Sent>,
    last_seq: u64,
    /// When a message to ourselves was last asked for.
    wakes_at: Option<SystemTime>,
    counted: usize,
    live: Vec<Incarnation>,
}

impl Outbox {
    pub(super) fn new(cx: Context, stream: Stream) -> Self {
        Self { cx, stream, queue: Vec::new(), sent: None, last_seq: 0, wakes_at: None, counted: 0, live: Vec::new() }
    }

    fn now(&self) -> SystemTime {
        self.cx.shared.clock.now()
    }

    /// Whether everything is in the log.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.sent.is_none()
    }

    fn pending(&mut self) -> impl Iterator<Item = &mut Pending> {
        let sent = self.sent.iter_mut().flat_map(|sent| sent.records.iter_mut());
        self.queue.iter_mut().chain(sent)
    }

    /// Whether a record about the request is on its way.
    pub(super) fn has(&self, request_id: &str) -> bool {
        let sent = self.sent.iter().flat_map(|sent| sent.records.iter());
        self.queue.iter().chain(sent).any(|it| it.record.request_id().is_some_and(|id| id == request_id))
    }

    pub(super) fn push(&mut self, record: LedgerRecord, reply: Option<RpcReplyPort<SubmitOutcome>>) {
        let since = self.now();
        self.queue.push(Pending { record, reply, since, offered: None, is_held: false });
    }

    /// Sends the queue as a batch if none is on its way and the VM's share of appends allows it.
    pub(super) fn send_due<M: OutboxMessage>(&mut self, service: &ActorRef<M>) {
        self.count_waiting();
        let now = self.now();
        let Some(first) = self.queue.first().filter(|_| self.sent.is_none()) else { return };
        let window = Duration::from_millis(self.cx.shared.settings.claims.batch_window_ms);
        let is_full = self.queue.len() >= MAX_BATCH;
        let gathers = (first.since + window).duration_since(now).ok().filter(|wait| !wait.is_zero() && !is_full);
        let wait = gathers.or_else(|| self.cx.shared.take_append(now).err());
        match wait {
            Some(wait) => self.wake_after(wait, now, service),
            None => self.send(now, service),
        }
    }

    fn wake_after<M: OutboxMessage>(&mut self, wait: Duration, now: SystemTime, service: &ActorRef<M>) {
        if self.wakes_at.is_none_or(|at| at <= now) {
            self.wakes_at = Some(now + wait);
            drop(service.send_after(wait, M::wake));
        }
    }

    fn send<M: OutboxMessage>(&mut self, now: SystemTime, service: &ActorRef<M>) {
        let rest = self.queue.split_off(self.queue.len().min(MAX_BATCH));
        let records = std::mem::replace(&mut self.queue, rest);
        self.last_seq += 1;
        let batch = Batch {
            writer: self.cx.shared.incarnation,
            seq: self.last_seq,
            at: now,
            records: records.iter().map(|pending| pending.record.clone()).collect(),
        };
        self.count_batch(batch.records.len());
        let append = tokio::spawn(append(self.cx.clone(), self.stream, service.clone(), batch));
        self.sent = Some(Sent { seq: self.last_seq, records, _append: AbortOnDropHandle::new(append) });
    }

    fn count_batch(&self, records: usize) {
        let (vm, stream) = (self.cx.shared.vm().clone(), self.stream.to_string());
        metrics::counter!("havengrade_log_appends", "vm" => vm.clone(), "stream" => stream.clone()).increment(1);
        metrics::counter!("havengrade_log_records", "vm" => vm, "stream" => stream).increment(records as u64);
    }

    /// Ends a batch that is in, each record with its verdict; tells whether it was the one on its way.
    pub(super) fn resolve(&mut self, seq: u64, verdicts: Vec<ApplyResult>) -> bool {
        let Some(sent) = self.sent.take_if(|sent| sent.seq == seq) else { return false };
        let mut no_longer_held = Vec::new();
        for (mut pending, verdict) in sent.records.into_iter().zip(verdicts) {
            pending.answer(SubmitOutcome::Logged(verdict));
            no_longer_held.extend(pending.record.request_id().filter(|_| pending.offered.is_some()).cloned());
        }
        self.release(no_longer_held);
        true
    }

    /// Ends the batch on its way once the log service has answered that it is in.
    pub(super) fn resolve_all(&mut self, seq: u64) {
        let count = self.sent.as_ref().map_or(0, |sent| sent.records.len());
        self.resolve(seq, vec![ApplyResult::Applied; count]);
    }

    /// Puts the records of an unanswered batch back, to be sent again with those that came since.
    ///
    /// Only for records that may stand in the log twice; the others wait behind their batch.
    pub(super) fn send_again(&mut self, seq: u64) {
        if let Some(sent) = self.sent.take_if(|sent| sent.seq == seq) {
            self.queue.splice(0..0, sent.records);
        }
    }

    /// Tells peers that they need no longer hold what is in the log now.
    fn release(&self, requests: Vec<RequestId>) {
        if requests.is_empty() {
            return;
        }
        if let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) {
            let _ = peers.cast(PeersMessage::ReleaseReplicas { requests });
        }
    }

    /// Gives up claims that have waited too long; the rest of their batch goes on under another number.
    pub(super) fn give_up_late(&mut self) -> Option<GivenUpBatch> {
        let now = self.now();
        let deadline = Duration::from_millis(self.cx.shared.settings.claims.deadline_ms);
        let is_late = |pending: &Pending| {
            pending.may_be_given_up() && now.duration_since(pending.since).unwrap_or_default() >= deadline
        };
        let (late, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(is_late);
        self.queue = rest;
        late.into_iter().for_each(|mut pending| pending.answer(SubmitOutcome::Cancelled));
        let sent = self.sent.take_if(|sent| sent.records.iter().any(is_late))?;
        let records = sent.records.iter().map(|pending| pending.record.clone()).collect();
        let (late, rest): (Vec<_>, Vec<_>) = sent.records.into_iter().partition(Pending::may_be_given_up);
        late.into_iter().for_each(|mut pending| pending.answer(SubmitOutcome::Cancelled));
        self.queue.splice(0..0, rest);
        Some(GivenUpBatch { seq: sent.seq, records })
    }

    /// Offers bills and outcomes to peers while the log service is away.
    pub(super) fn offer_to_peers(&mut self, holder: OutboxOwner) {
        let now = self.now();
        let is_due = |pending: &&mut Pending| {
            let waits_since = pending.offered.unwrap_or(pending.since);
            let has_waited = now.duration_since(waits_since).unwrap_or_default() >= HOLD_AFTER;
            has_waited && !pending.is_held && !pending.may_be_given_up()
        };
        let mut records = Vec::new();
        for pending in self.pending().filter(is_due) {
            pending.offered = Some(now);
            records.push(pending.record.clone());
        }
        if records.is_empty() {
            return;
        }
        if let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) {
            let _ = peers.cast(PeersMessage::Replicate { records, holder });
        }
    }

    /// Takes over which VMs live; when that changes, what peers hold is offered again.
    ///
    /// A VM that was replaced has lost what it held, and its successor can hold it again.
    pub(super) fn note_live(&mut self, mut live: Vec<Incarnation>) {
        live.sort_unstable();
        if self.live == live {
            return;
        }
        self.live = live;
        self.pending().for_each(|pending| pending.is_held = false);
    }

    /// Notes that enough peers hold the records about these requests.
    pub(super) fn held(&mut self, requests: &[RequestId]) {
        for pending in self.pending() {
            if pending.record.request_id().is_some_and(|id| requests.contains(id)) {
                pending.is_held = true;
                pending.answer(SubmitOutcome::Replicated);
            }
        }
    }

    fn count_waiting(&mut self) {
        let waiting = self.queue.len() + self.sent.as_ref().map_or(0, |sent| sent.records.len());
        self.cx.shared.change_waiting(self.counted, waiting);
        self.counted = waiting;
    }
}

/// Appends a batch until the log service answers; the same batch twice has no effect.
async fn append<M: OutboxMessage>(cx: Context, stream: Stream, service: ActorRef<M>, batch: Batch) {
    let Ok(data) = serde_json::to_string(&batch) else { return };
    while cx.log.append(stream, data.clone()).await.is_err() {
        sleep(RETRY_PAUSE).await;
        if service.cast(M::unanswered(batch.seq)).is_err() {
            return;
        }
    }
    let _ = service.cast(M::appended(batch.seq));
}
