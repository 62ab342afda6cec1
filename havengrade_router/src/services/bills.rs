//! The service that appends the bills of requests without a claim.

use std::time::Duration;

use havengrade_core::{
    ids::{Incarnation, RequestId},
    ledger::LedgerRecord,
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::Context,
    platform::LogStream,
    services::{
        outbox::{Outbox, OutboxMessage, SubmitOutcome},
        peers::OutboxOwner,
    },
};

/// Name of the service.
pub const NAME: &str = "bills";

/// Interval at which overdue bills are replicated to peers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages to the service.
pub enum BillsMessage {
    /// Append a bill.
    Submit {
        /// The bill.
        record: Box<LedgerRecord>,
        /// Receives the outcome once the bill is logged or replicated; `None` for bills that no caller waits for.
        reply: Option<RpcReplyPort<SubmitOutcome>>,
    },
    /// The log service acknowledged the batch with this sequence number.
    Appended(u64),
    /// The log service did not answer. The batch is requeued, since a bill may occur in the stream twice.
    Unanswered(u64),
    /// Enough peers store replicas of the bills of these requests.
    Replicated(Vec<RequestId>),
    /// Incarnations of the live VMs.
    LiveIncarnations(Vec<Incarnation>),
    /// Ask whether all submitted bills are in the log.
    IsEmpty(RpcReplyPort<bool>),
    /// Replicate overdue bills to peers.
    Tick,
}

impl OutboxMessage for BillsMessage {
    fn appended(seq: u64) -> Self {
        Self::Appended(seq)
    }

    fn unanswered(seq: u64) -> Self {
        Self::Unanswered(seq)
    }

    fn wake() -> Self {
        Self::Tick
    }
}

/// Actor of the service.
pub(crate) struct BillsActor;

/// State of the service.
pub(crate) struct BillsState {
    outbox: Outbox,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for BillsActor {
    type Msg = BillsMessage;
    type State = BillsState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<BillsState, ActorProcessingErr> {
        let ticker = super::send_periodically(myself, TICK_INTERVAL, || BillsMessage::Tick);
        Ok(BillsState { outbox: Outbox::new(cx, LogStream::Bills), _ticker: ticker })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: BillsMessage,
        state: &mut BillsState,
    ) -> Result<(), ActorProcessingErr> {
        let outbox = &mut state.outbox;
        match message {
            BillsMessage::Submit { record, reply } => outbox.push(*record, reply),
            BillsMessage::Appended(seq) => outbox.complete_all(seq),
            BillsMessage::Unanswered(seq) => outbox.requeue(seq),
            BillsMessage::Replicated(requests) => outbox.record_replicated(&requests),
            BillsMessage::LiveIncarnations(live) => outbox.set_live(live),
            BillsMessage::IsEmpty(reply) => {
                let _ = reply.send(outbox.is_empty());
            },
            BillsMessage::Tick => outbox.replicate_overdue(OutboxOwner::Bills(myself.clone())),
        }
        outbox.send_due(&myself);
        Ok(())
    }
}
