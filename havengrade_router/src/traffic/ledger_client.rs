//! Calls to the ledger service and the billing service.

use std::time::Duration;

use havengrade_core::{
    claim::{ClaimKey, KeyState},
    ids::RequestId,
    ledger::LedgerRecord,
};

use crate::{
    kernel::Context,
    services::{
        bills::{self, BillsMessage},
        ledger::{self, LedgerMessage},
        outbox::SubmitOutcome,
    },
};

/// Time limit of a look-up, which is answered from memory.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Submits a record and waits for the result of its submission.
pub(crate) async fn submit(cx: &Context, record: LedgerRecord) -> SubmitOutcome {
    let record = Box::new(record);
    let result = if let LedgerRecord::Bill(_) = *record {
        let Some(service) = cx.find::<BillsMessage>(bills::NAME) else { return SubmitOutcome::Cancelled };
        service.call(|reply| BillsMessage::Submit { record, reply: Some(reply) }, None).await.ok()
    } else {
        let Some(service) = cx.find::<LedgerMessage>(ledger::NAME) else { return SubmitOutcome::Cancelled };
        service.call(|reply| LedgerMessage::Submit { record, reply: Some(reply) }, None).await.ok()
    };
    result.and_then(|result| result.success_or(()).ok()).unwrap_or(SubmitOutcome::Cancelled)
}

/// Submits a record that is never cancelled, without waiting for the result.
pub(crate) fn submit_detached(cx: &Context, record: LedgerRecord) {
    let record = Box::new(record);
    // A service that has stopped loses its records as in a crash, except for those that peers hold.
    if let LedgerRecord::Bill(_) = *record {
        if let Some(service) = cx.find::<BillsMessage>(bills::NAME) {
            let _ = service.cast(BillsMessage::Submit { record, reply: None });
        }
    } else if let Some(service) = cx.find::<LedgerMessage>(ledger::NAME) {
        let _ = service.cast(LedgerMessage::Submit { record, reply: None });
    }
}

/// Returns the state of an idempotency key.
pub(crate) async fn find_key(cx: &Context, key: ClaimKey) -> Option<KeyState> {
    let service = cx.find::<LedgerMessage>(ledger::NAME)?;
    let state = service.call(|reply| LedgerMessage::KeyState(key, reply), Some(LOOKUP_TIMEOUT)).await;
    state.ok()?.success_or(()).ok().flatten()
}

/// Returns the idempotency key that a request has claimed, and its state.
pub(crate) async fn find_request(cx: &Context, id: RequestId) -> Option<(ClaimKey, KeyState)> {
    let service = cx.find::<LedgerMessage>(ledger::NAME)?;
    let state = service.call(|reply| LedgerMessage::RequestState(id, reply), Some(LOOKUP_TIMEOUT)).await;
    state.ok()?.success_or(()).ok().flatten()
}
