//! Queue of records to append to a stream of the log, in batches, with replicas at peers during an outage.

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
    platform::LogStream,
    services::peers::{self, OutboxOwner, PeersMessage},
};

/// Maximum number of records per batch.
const MAX_BATCH_RECORDS: usize = 512;
/// Delay before a failed append is retried.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a record that is not in the log yet is replicated to peers.
const REPLICATE_AFTER: Duration = Duration::from_millis(500);

/// Outcome of a submitted record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The record is in the log, and had this result when it was replayed.
    Logged(ApplyResult),
    /// The record is not in the log yet; other VMs store replicas until it is.
    Replicated,
    /// The record was cancelled; if it reaches the log after all, its claim is voided.
    Cancelled,
}

/// A record that is not known to be in the log.
pub(super) struct PendingRecord {
    pub(super) record: LedgerRecord,
    reply: Option<RpcReplyPort<SubmitOutcome>>,
    submitted_at: SystemTime,
    /// Time at which peers were last asked to store replicas.
    offered_at: Option<SystemTime>,
    is_replicated: bool,
}

impl PendingRecord {
    /// Returns whether the record may be cancelled: a claim, or a refusal that a caller waits for, is of no use
    /// once its request has ended. Other records are never cancelled.
    fn is_cancellable(&self) -> bool {
        match self.record {
            LedgerRecord::Claim(_) => true,
            LedgerRecord::Void { .. } => self.reply.is_some(),
            LedgerRecord::Settle { .. } | LedgerRecord::Ran { .. } | LedgerRecord::Bill(_) => false,
        }
    }

    fn answer(&mut self, outcome: SubmitOutcome) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(outcome);
        }
    }
}

/// A batch that was sent but is not known to be in the log.
struct SentBatch {
    seq: u64,
    records: Vec<PendingRecord>,
    _append: AbortOnDropHandle<()>,
}

/// A cancelled batch, which may still reach the log.
pub(super) struct CancelledBatch {
    /// Sequence number of the batch.
    pub(super) seq: u64,
    /// Records of the batch.
    pub(super) records: Vec<LedgerRecord>,
}

/// Messages from an outbox to the service that owns it.
pub(super) trait OutboxMessage: Message {
    /// The log service acknowledged a batch.
    fn appended(seq: u64) -> Self;

    /// The log service did not answer; the batch may be in the log nevertheless.
    fn unanswered(seq: u64) -> Self;

    /// A batch may be due.
    fn wake() -> Self;
}

/// Queue of records to append to a stream of the log, with at most one batch in flight.
pub(super) struct Outbox {
    cx: Context,
    stream: LogStream,
    queue: Vec<PendingRecord>,
    in_flight: Option<SentBatch>,
    last_seq: u64,
    /// Time for which the latest wake message to the service is scheduled.
    wake_at: Option<SystemTime>,
    /// Number of records that the VM's count of waiting records includes for this outbox.
    counted_waiting: usize,
    live_incarnations: Vec<Incarnation>,
}

impl Outbox {
    pub(super) fn new(cx: Context, stream: LogStream) -> Self {
        Self {
            cx,
            stream,
            queue: Vec::new(),
            in_flight: None,
            last_seq: 0,
            wake_at: None,
            counted_waiting: 0,
            live_incarnations: Vec::new(),
        }
    }

    fn now(&self) -> SystemTime {
        self.cx.shared.clock.now()
    }

    /// Returns whether all submitted records are in the log.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    fn pending_records(&mut self) -> impl Iterator<Item = &mut PendingRecord> {
        let sent = self.in_flight.iter_mut().flat_map(|sent| sent.records.iter_mut());
        self.queue.iter_mut().chain(sent)
    }

    /// Returns whether a record of the request is pending.
    pub(super) fn contains(&self, request_id: &str) -> bool {
        let sent = self.in_flight.iter().flat_map(|sent| sent.records.iter());
        self.queue.iter().chain(sent).any(|it| it.record.request_id().is_some_and(|id| id == request_id))
    }

    /// Queues a record; `reply` receives its outcome.
    pub(super) fn push(&mut self, record: LedgerRecord, reply: Option<RpcReplyPort<SubmitOutcome>>) {
        let submitted_at = self.now();
        self.queue.push(PendingRecord { record, reply, submitted_at, offered_at: None, is_replicated: false });
    }

    /// Sends the queue as a batch if no batch is in flight and the VM's append budget allows it.
    pub(super) fn send_due<M: OutboxMessage>(&mut self, service: &ActorRef<M>) {
        self.update_waiting_count();
        let now = self.now();
        let Some(first) = self.queue.first().filter(|_| self.in_flight.is_none()) else { return };
        let window = Duration::from_millis(self.cx.shared.settings.claims.batch_window_ms);
        let is_full = self.queue.len() >= MAX_BATCH_RECORDS;
        let gathering_wait =
            (first.submitted_at + window).duration_since(now).ok().filter(|wait| !wait.is_zero() && !is_full);
        let wait = gathering_wait.or_else(|| self.cx.shared.try_acquire_append(now).err());
        match wait {
            Some(wait) => self.schedule_wake(wait, now, service),
            None => self.send_batch(now, service),
        }
    }

    fn schedule_wake<M: OutboxMessage>(&mut self, wait: Duration, now: SystemTime, service: &ActorRef<M>) {
        if self.wake_at.is_none_or(|at| at <= now) {
            self.wake_at = Some(now + wait);
            drop(service.send_after(wait, M::wake));
        }
    }

    fn send_batch<M: OutboxMessage>(&mut self, now: SystemTime, service: &ActorRef<M>) {
        let remaining = self.queue.split_off(self.queue.len().min(MAX_BATCH_RECORDS));
        let records = std::mem::replace(&mut self.queue, remaining);
        self.last_seq += 1;
        let batch = Batch {
            writer: self.cx.shared.incarnation,
            seq: self.last_seq,
            at: now,
            records: records.iter().map(|pending| pending.record.clone()).collect(),
        };
        self.record_batch_metrics(batch.records.len());
        let append = tokio::spawn(append_until_acknowledged(self.cx.clone(), self.stream, service.clone(), batch));
        self.in_flight = Some(SentBatch { seq: self.last_seq, records, _append: AbortOnDropHandle::new(append) });
    }

    fn record_batch_metrics(&self, records: usize) {
        let (vm, stream) = (self.cx.shared.vm().clone(), self.stream.to_string());
        metrics::counter!("havengrade_log_appends", "vm" => vm.clone(), "stream" => stream.clone()).increment(1);
        metrics::counter!("havengrade_log_records", "vm" => vm, "stream" => stream).increment(records as u64);
    }

    /// Completes the records of a logged batch with their results; returns whether it was the batch in flight.
    pub(super) fn complete(&mut self, seq: u64, results: Vec<ApplyResult>) -> bool {
        let Some(sent) = self.in_flight.take_if(|sent| sent.seq == seq) else { return false };
        let mut replicated = Vec::new();
        for (mut pending, result) in sent.records.into_iter().zip(results) {
            pending.answer(SubmitOutcome::Logged(result));
            replicated.extend(pending.record.request_id().filter(|_| pending.offered_at.is_some()).cloned());
        }
        self.release_replicas(replicated);
        true
    }

    /// Completes an acknowledged batch with all its records applied, without waiting for its replay.
    pub(super) fn complete_all(&mut self, seq: u64) {
        let count = self.in_flight.as_ref().map_or(0, |sent| sent.records.len());
        self.complete(seq, vec![ApplyResult::Applied; count]);
    }

    /// Puts the records of an unanswered batch back at the front of the queue, to be sent in a new batch.
    ///
    /// Only for records that may occur in the log twice; for others, the same batch is retried.
    pub(super) fn requeue(&mut self, seq: u64) {
        if let Some(sent) = self.in_flight.take_if(|sent| sent.seq == seq) {
            self.queue.splice(0..0, sent.records);
        }
    }

    /// Asks peers to drop their replicas of records that are in the log now.
    fn release_replicas(&self, requests: Vec<RequestId>) {
        if requests.is_empty() {
            return;
        }
        if let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) {
            let _ = peers.cast(PeersMessage::ReleaseReplicas { requests });
        }
    }

    /// Cancels claims past their deadline; the remaining records of their batch are requeued for a new batch.
    ///
    /// Returns the batch in flight if it contained one of them.
    pub(super) fn cancel_overdue(&mut self) -> Option<CancelledBatch> {
        let now = self.now();
        let deadline = Duration::from_millis(self.cx.shared.settings.claims.deadline_ms);
        let is_overdue = |pending: &PendingRecord| {
            pending.is_cancellable() && now.duration_since(pending.submitted_at).unwrap_or_default() >= deadline
        };
        let (overdue, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(is_overdue);
        self.queue = remaining;
        overdue.into_iter().for_each(|mut pending| pending.answer(SubmitOutcome::Cancelled));
        let sent = self.in_flight.take_if(|sent| sent.records.iter().any(is_overdue))?;
        let records = sent.records.iter().map(|pending| pending.record.clone()).collect();
        let (overdue, remaining): (Vec<_>, Vec<_>) = sent.records.into_iter().partition(PendingRecord::is_cancellable);
        overdue.into_iter().for_each(|mut pending| pending.answer(SubmitOutcome::Cancelled));
        self.queue.splice(0..0, remaining);
        Some(CancelledBatch { seq: sent.seq, records })
    }

    /// Replicates bills and outcomes to peers if the log service has not acknowledged them in time.
    pub(super) fn replicate_overdue(&mut self, owner: OutboxOwner) {
        let now = self.now();
        let is_due = |pending: &&mut PendingRecord| {
            let waiting_since = pending.offered_at.unwrap_or(pending.submitted_at);
            let is_overdue = now.duration_since(waiting_since).unwrap_or_default() >= REPLICATE_AFTER;
            is_overdue && !pending.is_replicated && !pending.is_cancellable()
        };
        let mut records = Vec::new();
        for pending in self.pending_records().filter(is_due) {
            pending.offered_at = Some(now);
            records.push(pending.record.clone());
        }
        if records.is_empty() {
            return;
        }
        if let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) {
            let _ = peers.cast(PeersMessage::Replicate { records, owner });
        }
    }

    /// Sets the live incarnations; if they change, pending records are replicated again.
    ///
    /// A VM that was replaced has lost its replicas, and its successor can store them again.
    pub(super) fn set_live(&mut self, mut live_incarnations: Vec<Incarnation>) {
        live_incarnations.sort_unstable();
        if self.live_incarnations == live_incarnations {
            return;
        }
        self.live_incarnations = live_incarnations;
        self.pending_records().for_each(|pending| pending.is_replicated = false);
    }

    /// Records that enough peers store replicas of the records of these requests.
    pub(super) fn record_replicated(&mut self, requests: &[RequestId]) {
        for pending in self.pending_records() {
            if pending.record.request_id().is_some_and(|id| requests.contains(id)) {
                pending.is_replicated = true;
                pending.answer(SubmitOutcome::Replicated);
            }
        }
    }

    fn update_waiting_count(&mut self) {
        let waiting = self.queue.len() + self.in_flight.as_ref().map_or(0, |sent| sent.records.len());
        self.cx.shared.adjust_waiting_bills(self.counted_waiting, waiting);
        self.counted_waiting = waiting;
    }
}

/// Retries to append a batch until the log service acknowledges it; a duplicate batch has no effect.
async fn append_until_acknowledged<M: OutboxMessage>(
    cx: Context,
    stream: LogStream,
    service: ActorRef<M>,
    batch: Batch,
) {
    let Ok(data) = serde_json::to_string(&batch) else { return };
    while cx.log.append(stream, data.clone()).await.is_err() {
        sleep(LOG_RETRY_DELAY).await;
        if service.cast(M::unanswered(batch.seq)).is_err() {
            return;
        }
    }
    let _ = service.cast(M::appended(batch.seq));
}
