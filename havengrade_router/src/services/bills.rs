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
    platform::Stream,
    services::{
        outbox::{Outbox, OutboxMessage, SubmitOutcome},
        peers::OutboxOwner,
    },
};

/// Name of the service.
pub const NAME: &str = "bills";

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// What the service is told and asked.
pub enum BillsMessage {
    /// Append a bill.
    Submit {
        /// The bill.
        record: Box<LedgerRecord>,
        /// Is told once the bill is safe; none for bills that nobody waits for.
        reply: Option<RpcReplyPort<SubmitOutcome>>,
    },
    /// The log service answered that a batch is in.
    Appended(u64),
    /// The log service did not answer; a bill may stand in the stream twice, so it is sent again.
    Unanswered(u64),
    /// Enough peers hold the bills of these requests.
    Replicated(Vec<RequestId>),
    /// VMs that were heard from.
    LiveIncarnations(Vec<Incarnation>),
    /// Whether everything that was submitted is in the log.
    IsEmpty(RpcReplyPort<bool>),
    /// Time to look at what is due.
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

/// The actor of the service.
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
        let ticker = super::send_periodically(myself, TICK, || BillsMessage::Tick);
        Ok(BillsState { outbox: Outbox::new(cx, Stream::Bills), _ticker: ticker })
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
            BillsMessage::Appended(seq) => outbox.resolve_all(seq),
            BillsMessage::Unanswered(seq) => outbox.send_again(seq),
            BillsMessage::Replicated(requests) => outbox.held(&requests),
            BillsMessage::LiveIncarnations(live) => outbox.note_live(live),
            BillsMessage::IsEmpty(reply) => {
                let _ = reply.send(outbox.is_empty());
            },
            BillsMessage::Tick => outbox.offer_to_peers(OutboxOwner::Bills(myself.clone())),
        }
        outbox.send_due(&myself);
        Ok(())
    }
}
