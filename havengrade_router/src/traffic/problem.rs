//! Errors as callers see them: `application/problem+json` that states whether the request ran.

use std::time::Duration;

use bytes::Bytes;
use havengrade_core::{admission::AccountLimit, routing::Refusal};
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

use crate::shared::NotServingReason;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// An error answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status of the answer.
    pub status: u16,
    /// Cause of the error and what the caller can do about it.
    pub detail: String,
    /// Whether the request ran.
    pub run_state: RunState,
    /// Id of the request, if it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Content type of a problem.
pub(crate) const PROBLEM_JSON: &str = "application/problem+json";

impl Problem {
    /// Creates the problem of a request that did not run.
    pub fn not_run(status: StatusCode, kind: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            status: status.as_u16(),
            detail: detail.into(),
            run_state: RunState::NotRun,
            request_id: None,
            retry_after_ms: None,
        }
    }

    /// Creates the problem of a request that may have run.
    pub fn may_have_run(status: StatusCode, kind: &str, detail: impl Into<String>) -> Self {
        Self { run_state: RunState::MayHaveRun, ..Self::not_run(status, kind, detail) }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn with_request_id(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Encodes the problem as JSON.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Returns the problem as an HTTP response.
    pub fn to_response(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.to_json()));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        if let Some(millis) = self.retry_after_ms {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1000)));
        }
        response
    }
}

impl From<&Refusal> for Problem {
    fn from(refusal: &Refusal) -> Self {
        let (status, kind) = match refusal {
            Refusal::Unauthenticated => (StatusCode::UNAUTHORIZED, "unauthenticated"),
            Refusal::UnknownClass { .. } => (StatusCode::FORBIDDEN, "unknown_class"),
            Refusal::ClassNotAllowed { .. } => (StatusCode::FORBIDDEN, "class_not_allowed"),
            Refusal::VersionNotAllowed { .. } => (StatusCode::FORBIDDEN, "version_not_allowed"),
            Refusal::NoVersion { .. } => (StatusCode::FORBIDDEN, "no_version"),
            Refusal::WrongPath { .. } => (StatusCode::BAD_REQUEST, "wrong_path"),
            Refusal::UnknownService { .. } => (StatusCode::NOT_FOUND, "unknown_service"),
            Refusal::KeyNeeded { .. } => (StatusCode::BAD_REQUEST, "idempotency_key_needed"),
            Refusal::BadSession { .. } => (StatusCode::BAD_REQUEST, "bad_session"),
            Refusal::SessionEnded { .. } => (StatusCode::CONFLICT, "session_ended"),
        };
        Self::not_run(status, kind, refusal.to_string())
    }
}

impl From<(AccountLimit, Duration)> for Problem {
    fn from((limit, after): (AccountLimit, Duration)) -> Self {
        let detail = match limit {
            AccountLimit::Concurrency => {
                "the client account has as many requests in progress as it may; come back later"
            },
            AccountLimit::Rate => {
                "the client account has started as many requests as it may in a second; come back later"
            },
        };
        Self::not_run(StatusCode::TOO_MANY_REQUESTS, "account_limit", detail).with_retry_after(after)
    }
}

impl From<NotServingReason> for Problem {
    fn from(reason: NotServingReason) -> Self {
        /// Time after which another VM, or this one, is expected to serve requests.
        const RETRY_DELAY: Duration = Duration::from_secs(1);
        let (kind, detail) = match reason {
            NotServingReason::Starting => {
                ("starting", "this VM has not caught up with the configuration yet; try another")
            },
            NotServingReason::StaleConfig => {
                ("stale", "this VM can't tell whether its configuration is the newest; try another")
            },
            NotServingReason::Draining => ("draining", "this VM is about to stop; try another"),
            NotServingReason::TooManyWaitingBills => {
                ("bills_waiting", "too many bills wait for the log service; come back later")
            },
        };
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, detail).with_retry_after(RETRY_DELAY)
    }
}
