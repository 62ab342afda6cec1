//! When an attempt that has not answered may be given up for one at another endpoint.

use std::{
    future::pending,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{attempt::RunState, common_silence::Silence, directory::ListedEndpoint};
use tokio::time::sleep;

use crate::published::{
    active_request::{ActiveRequest, Trial},
    attempt::DEADLINE_SLACK,
    context::PublishedContext,
    endpoint_choice::has_other_ready_endpoint,
};

/// Time between two checks whether an attempt may be given up.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until an attempt that was sent at `sent_at` may be given up, and takes a retry for the next one from the budget.
///
/// The endpoint may still answer, so it is waited for unless another attempt is certain to follow. Never ends if the
/// request may not be sent again.
pub(super) async fn wait_until_replaceable(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent_at: SystemTime,
) {
    let mut attempts = request.attempts.clone();
    attempts.record(RunState::MayHaveRun);
    let patience = request.attempt_timeout(sent_at);
    // A request that is sent under a claim is sent once.
    if !attempts.may_try_again() || request.trial != Trial::None || patience >= request.time_left(sent_at) {
        return pending().await;
    }
    let waited = cx.shared.clock.now().duration_since(sent_at).unwrap_or_default();
    sleep((patience + DEADLINE_SLACK).saturating_sub(waited)).await;
    let mut logged = "";
    while let Err(reason) = reserve_replacement(cx, request, endpoint, sent_at, patience) {
        if reason != logged {
            logged = reason;
            log::info!(
                request = request.id.as_str(),
                endpoint = endpoint.id.as_str(),
                reason = reason;
                "waiting for an endpoint that has not answered"
            );
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Takes a retry from the budget if another endpoint may get the request now.
///
/// # Errors
///
/// The reason for which the endpoint is waited for.
fn reserve_replacement(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent_at: SystemTime,
    patience: Duration,
) -> Result<(), &'static str> {
    let now = cx.shared.clock.now();
    let silence = Silence { endpoint: &endpoint.id, since: sent_at, patience };
    if !cx.shared.silences.may_replace(&request.service, silence, now) {
        return Err("the other endpoints are silent as well");
    }
    if !cx.shared.retry_budgets.has_retry(&request.service) {
        return Err("the retry budget is exhausted");
    }
    if !has_other_ready_endpoint(cx, request, endpoint, now) {
        return Err("no other endpoint may get the request");
    }
    let is_reserved = cx.shared.retry_budgets.try_acquire(&request.service);
    is_reserved.then_some(()).ok_or("the retry budget is exhausted")
}
