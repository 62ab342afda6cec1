//! Endpoints that turn a request away and ask for rest, at the router's own interface.

use hyper::{HeaderMap, StatusCode, header::RETRY_AFTER};

use crate::{
    kernel::Context,
    published::dialect::{parse_decimal, requested_backoff},
};

/// Notes the time for which an endpoint that turned a request away wants nothing more from this VM.
pub(crate) fn note_rest(cx: &Context, endpoint: &str, status: StatusCode, headers: &HeaderMap) {
    let Some(rest) = requested_backoff(status, parse_decimal(headers, &RETRY_AFTER)) else { return };
    let Some(slot) = cx.shared.endpoints.slot(endpoint) else { return };
    slot.rest(rest, cx.shared.clock.now());
    log::info!(endpoint = endpoint, rest_ms = rest.as_millis() as u64; "endpoint asks this VM for rest");
}
