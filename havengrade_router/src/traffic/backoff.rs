//! Backoff that endpoints request when they reject a request, for the router's own API.

use hyper::{HeaderMap, StatusCode, header::RETRY_AFTER};

use crate::{
    kernel::Context,
    published::dialect::{parse_decimal, requested_backoff},
};

/// Records the backoff that an endpoint requested of this VM in an answer that rejects a request.
pub(crate) fn record_backoff(cx: &Context, endpoint: &str, status: StatusCode, headers: &HeaderMap) {
    let Some(backoff) = requested_backoff(status, parse_decimal(headers, &RETRY_AFTER)) else { return };
    let Some(slot) = cx.shared.endpoints.slot(endpoint) else { return };
    slot.back_off(backoff, cx.shared.clock.now());
    log::info!(endpoint = endpoint, rest_ms = backoff.as_millis() as u64; "endpoint asks this VM for rest");
}
