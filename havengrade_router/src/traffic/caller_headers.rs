//! Request headers of callers.

use std::time::Duration;

use havengrade_core::ids::{Attempt, ClassId};
use hyper::{
    HeaderMap, StatusCode,
    header::{AUTHORIZATION, HeaderName},
};

use crate::traffic::Problem;

/// Class of the request.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-havengrade-class");
/// Session token, in requests and answers.
pub(crate) const SESSION: HeaderName = HeaderName::from_static("x-havengrade-session");
/// Number of the caller's attempt at one request, from 1.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-havengrade-attempt");
/// Time for which the caller waits before the request is reported as pending, in milliseconds.
pub(crate) const PATIENCE: HeaderName = HeaderName::from_static("x-havengrade-patience-ms");
/// Key of a request that may not be repeated.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of the request, in answers and in calls to endpoints.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Version that answered.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-havengrade-version");
/// Endpoint that answered.
pub(crate) const ENDPOINT: HeaderName = HeaderName::from_static("x-havengrade-endpoint");

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Values of a caller's request headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallerHeaders {
    pub(crate) class: ClassId,
    pub(crate) session: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    /// Number of the caller's attempt; `None` if the caller doesn't count attempts.
    pub(crate) attempt: Option<Attempt>,
    pub(crate) wait_limit: Option<Duration>,
}

/// Parses the headers of a request.
pub(crate) fn parse_headers(headers: &HeaderMap) -> Result<CallerHeaders, Problem> {
    let class =
        text_header(headers, &CLASS)?.ok_or_else(|| bad_header(&CLASS, "is missing; name the request class"))?;
    let idempotency_key = text_header(headers, &IDEMPOTENCY_KEY)?;
    if idempotency_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(bad_header(&IDEMPOTENCY_KEY, "must have 1 to 255 characters"));
    }
    let attempt = number_header::<Attempt>(headers, &ATTEMPT)?;
    if attempt == Some(0) {
        return Err(bad_header(&ATTEMPT, "must be 1 for the first attempt, 2 for the second, and so on"));
    }
    let wait_limit = number_header::<u64>(headers, &PATIENCE)?.map(Duration::from_millis);
    Ok(CallerHeaders { class, session: text_header(headers, &SESSION)?, idempotency_key, attempt, wait_limit })
}

/// Returns the token of an `Authorization: Bearer` header.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

fn text_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad_header(name, "must be printable ASCII"))?;
    Ok(Some(text.trim().to_owned()))
}

fn number_header<N: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<N>, Problem> {
    let Some(text) = text_header(headers, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|_| bad_header(name, "must be a whole number"))
}

fn bad_header(name: &HeaderName, remedy: &str) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "bad_header", format!("{name}: {remedy}"))
}
