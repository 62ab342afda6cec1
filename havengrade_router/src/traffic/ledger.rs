//! What traffic asks of the ledger service.

use std::time::Duration;

use havengrade_core::{
    claim::{ClaimKey, KeyState},
    ids::RequestId,
    ledger::LedgerRecord,
};

use crate::{
    kernel::Context,
    services::ledger::{self, LedgerMessage, Submitted},
};

/// Time for a look-up, which needs no other system.
const LOOK_UP_LIMIT: Duration = Duration::from_secs(1);

/// Submits a record and waits until it is known how it fared.
pub(crate) async fn submit(cx: &Context, record: LedgerRecord) -> Submitted {
    let Some(service) = cx.find::<LedgerMessage>(ledger::NAME) else { return Submitted::GivenUp };
    let submitted =
        service.call(|reply| LedgerMessage::Submit { record: Box::new(record), reply: Some(reply) }, None).await;
    submitted.ok().and_then(|submitted| submitted.success_or(()).ok()).unwrap_or(Submitted::GivenUp)
}

/// Submits a record that is never given up and that nobody waits for.
pub(crate) fn leave(cx: &Context, record: LedgerRecord) {
    if let Some(service) = cx.find::<LedgerMessage>(ledger::NAME) {
        let _ = service.cast(LedgerMessage::Submit { record: Box::new(record), reply: None });
    }
}

/// What is known of a key.
pub(crate) async fn key(cx: &Context, key: ClaimKey) -> Option<KeyState> {
    let service = cx.find::<LedgerMessage>(ledger::NAME)?;
    let state = service.call(|reply| LedgerMessage::Key(key, reply), Some(LOOK_UP_LIMIT)).await;
    state.ok()?.success_or(()).ok().flatten()
}

/// What is known of the key that a request holds.
pub(crate) async fn request(cx: &Context, id: RequestId) -> Option<KeyState> {
    let service = cx.find::<LedgerMessage>(ledger::NAME)?;
    let state = service.call(|reply| LedgerMessage::Request(id, reply), Some(LOOK_UP_LIMIT)).await;
    state.ok()?.success_or(()).ok().flatten()
}
