//! What traffic asks of the services for the ledger and for bills.

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

/// Time for a look-up, which needs no other system.
const LOOK_UP_LIMIT: Duration = Duration::from_secs(1);

/// Submits a record and waits until it is known how it fared.
pub(crate) async fn submit(cx: &Context, record: LedgerRecord) -> SubmitOutcome {
    let record = Box::new(record);
    let submitted = if let LedgerRecord::Bill(_) = *record {
        let Some(service) = cx.find::<BillsMessage>(bills::NAME) else { return SubmitOutcome::Cancelled };
        service.call(|reply| BillsMessage::Submit { record, reply: Some(reply) }, None).await.ok()
    } else {
        let Some(service) = cx.find::<LedgerMessage>(ledger::NAME) else { return SubmitOutcome::Cancelled };
        service.call(|reply| LedgerMessage::Submit { record, reply: Some(reply) }, None).await.ok()
    };
    submitted.and_then(|submitted| submitted.success_or(()).ok()).unwrap_or(SubmitOutcome::Cancelled)
}

/// Submits a record that is never given up and that nobody waits for.
pub(crate) fn submit_detached(cx: &Context, record: LedgerRecord) {
    let record = Box::new(record);
    // A service that is gone takes its records along, as a crash would; peers may hold them.
    if let LedgerRecord::Bill(_) = *record {
        if let Some(service) = cx.find::<BillsMessage>(bills::NAME) {
            let _ = service.cast(BillsMessage::Submit { record, reply: None });
        }
    } else if let Some(service) = cx.find::<LedgerMessage>(ledger::NAME) {
        let _ = service.cast(LedgerMessage::Submit { record, reply: None });
    }
}

/// What is known of a key.
pub(crate) async fn find_key(cx: &Context, key: ClaimKey) -> Option<KeyState> {
    let service = cx.find::<LedgerMessage>(ledger::NAME)?;
    let state = service.call(|reply| LedgerMessage::KeyState(key, reply), Some(LOOK_UP_LIMIT)).await;
    state.ok()?.success_or(()).ok().flatten()
}

/// What is known of the key that a request holds.
pub(crate) async fn find_request(cx: &Context, id: RequestId) -> Option<(ClaimKey, KeyState)> {
    let service = cx.find::<LedgerMessage>(ledger::NAME)?;
    let state = service.call(|reply| LedgerMessage::RequestState(id, reply), Some(LOOK_UP_LIMIT)).await;
    state.ok()?.success_or(()).ok().flatten()
}
