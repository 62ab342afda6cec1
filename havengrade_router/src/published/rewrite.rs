//! Rewrites the heads of requests and answers that the router forwards; hop-by-hop headers are removed.

use std::time::SystemTime;

use bytes::Bytes;
use havengrade_core::published::directory::ListedEndpoint;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Uri, Version,
    header::{self, HeaderName, HeaderValue},
    http::response,
};

use crate::published::{
    active_request::ActiveRequest,
    context::PublishedContext,
    ports::ForwardAttributes,
    request_relay::{SENT_ATTEMPTS, encode_tolerated_rejections, strip_relay_marks},
};

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Builds the request to an endpoint from that of the caller.
pub(super) fn encode_request(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    resume_after: Option<&str>,
    now: SystemTime,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.bytes.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    let path = request.head.uri.path_and_query().cloned();
    *outgoing.uri_mut() = path.map_or_else(|| request.head.uri.clone(), Uri::from);
    let mut headers = request.head.headers.clone();
    strip_hop_by_hop(&mut headers);
    if request.body.bytes.is_empty() && !headers.contains_key(header::CONTENT_LENGTH) {
        headers.remove(header::CONTENT_LENGTH);
    }
    let attributes = ForwardAttributes {
        endpoint: &endpoint.id,
        time_left: request.time_left(now),
        account: request.account.as_deref(),
        model: request.model.as_deref(),
        resume_after,
        priority: request.priority,
        is_generation: request.attributes.tokens.is_some(),
    };
    cx.shared.dialect.encode_request(&mut headers, &attributes);
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Builds the request to another VM that relays it, from that of the caller.
pub(super) fn encode_relayed_request(
    cx: &PublishedContext,
    request: &ActiveRequest,
    now: SystemTime,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.bytes.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let mut headers = request.head.headers.clone();
    strip_hop_by_hop(&mut headers);
    cx.shared.dialect.encode_time_left(&mut headers, request.time_left(now));
    headers.insert(SENT_ATTEMPTS, HeaderValue::from(request.attempts.sent()));
    encode_tolerated_rejections(cx, &mut headers, &request.service, now);
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Builds the head of the answer to the caller from that of a VM that relayed the request.
pub(super) fn encode_relayed_answer(mut head: response::Parts) -> response::Parts {
    strip_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
    head
}

/// Removes hop-by-hop headers and those that the `connection` header lists.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Builds the head of the answer to the caller from that of the endpoint.
pub(super) fn encode_answer_head(cx: &PublishedContext, mut head: response::Parts) -> response::Parts {
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    strip_relay_marks(&mut head.headers);
    cx.shared.dialect.strip_answer(&mut head.headers);
    head.version = Version::HTTP_11;
    head
}
