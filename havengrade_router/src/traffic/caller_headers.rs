//! What callers say in headers.

use std::time::Duration;

use havengrade_core::ids::{Attempt, ClassId};
use hyper::{
    HeaderMap, StatusCode,
    header::{AUTHORIZATION, HeaderName},
};

use crate::traffic::Problem;

/// Names the request class.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-havengrade-class");
/// Carries the session token, both ways.
pub(crate) const SESSION: HeaderName = HeaderName::from_static("x-havengrade-session");
/// Counts the caller's attempts at one request, from 1.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-havengrade-attempt");
/// Time for which the caller waits for an answer, in milliseconds.
pub(crate) const PATIENCE: HeaderName = HeaderName::from_static("x-havengrade-patience-ms");
/// Carries the key of a request that may not be repeated.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Carries the id of a request in its answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Names the version that answered.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-havengrade-version");
/// Names the endpoint that answered.
pub(crate) const ENDPOINT: HeaderName = HeaderName::from_static("x-havengrade-endpoint");

/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 255;

/// What a caller says in headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallerHeaders {
    pub(crate) class: ClassId,
    pub(crate) session: Option<String>,
    pub(crate) key: Option<String>,
    /// Number of the attempt; none where the caller does not count.
    pub(crate) attempt: Option<Attempt>,
    pub(crate) patience: Option<Duration>,
}

/// Reads the headers of a request.
pub(crate) fn read(headers: &HeaderMap) -> Result<CallerHeaders, Problem> {
    let class = text(headers, &CLASS)?.ok_or_else(|| bad(&CLASS, "is missing; name the request class"))?;
    let key = text(headers, &IDEMPOTENCY_KEY)?;
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
        return Err(bad(&IDEMPOTENCY_KEY, "must have 1 to 255 characters"));
    }
    let attempt = number::<Attempt>(headers, &ATTEMPT)?;
    if attempt == Some(0) {
        return Err(bad(&ATTEMPT, "must be 1 for the first attempt, 2 for the second, and so on"));
    }
    let patience = number::<u64>(headers, &PATIENCE)?.map(Duration::from_millis);
    Ok(CallerHeaders { class, session: text(headers, &SESSION)?, key, attempt, patience })
}

/// The caller's key, from `Authorization: Bearer`.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad(name, "must be printable ASCII"))?;
    Ok(Some(text.trim().to_owned()))
}

fn number<N: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<N>, Problem> {
    let Some(text) = text(headers, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|_| bad(name, "must be a whole number"))
}

fn bad(name: &HeaderName, remedy: &str) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "bad_header", format!("{name}: {remedy}"))
}
