//! Final answers of the router's own.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use havengrade_core::published::retry_after::{self, RetryReason};
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use crate::published::context::PublishedContext;

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;
/// Why a body that has begun can't be finished; the connection then ends visibly unfinished.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request's head or body can't be understood in one way only.
    Malformed,
    /// No route has this host and path.
    NoRoute,
    /// The key belongs to no client account.
    UnknownKey,
    /// The body is larger than the limit.
    TooLarge,
    /// The configuration or the endpoints are not known yet.
    Starting,
    /// It can't be known whether the key still holds.
    StaleConfig,
    /// A planned stop would cut the answer off.
    Stopping,
    /// No endpoint could take the request, which did not run.
    NoEndpoint,
    /// No endpoint that could serve the request takes another one now: each is cold, at its limit, or wants rest.
    EndpointsAtLimit {
        /// Time until the first of them does.
        retry_after: Duration,
    },
    /// All endpoints that could serve the request leave.
    EndpointsShuttingDown,
    /// All endpoints that could serve the request stand in emptied failure domains.
    DomainsEmptied {
        /// Time for which they have been, as far as is known.
        known_for: Duration,
    },
    /// The only version that is there was found to be bad.
    BadVersion,
    /// The version of its session is gone; it may begin a new one after a time.
    SessionVersionGone {
        /// Time until the session ends.
        left: Duration,
    },
    /// Endpoints end under the request, and it is held back.
    Quarantined {
        /// Time after which it may come back.
        retry_after: Duration,
    },
    /// The time was over before the request could be sent.
    NoTimeLeft,
    /// The request may have run, and no answer came.
    Lost,
    /// The request may have run, and no answer came in time.
    TimedOut,
}

impl Refusal {
    /// Its name in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::Starting => "starting",
            Self::StaleConfig => "stale_configuration",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::EndpointsAtLimit { .. } => "endpoints_at_limit",
            Self::EndpointsShuttingDown => "endpoints_leave",
            Self::DomainsEmptied { .. } => "domain_emptied",
            Self::BadVersion => "bad_version",
            Self::SessionVersionGone { .. } => "session_version_gone",
            Self::Quarantined { .. } => "quarantined",
            Self::NoTimeLeft => "no_time_left",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Status of the answer; 503 promises that the request did not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Starting
            | Self::StaleConfig
            | Self::Stopping
            | Self::NoEndpoint
            | Self::EndpointsAtLimit { .. }
            | Self::EndpointsShuttingDown
            | Self::DomainsEmptied { .. }
            | Self::BadVersion
            | Self::SessionVersionGone { .. }
            | Self::Quarantined { .. }
            | Self::NoTimeLeft => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// What keeps a request that did not run from being served; none where it may have run or never can.
    fn retry_reason(self, cx: &PublishedContext, now: SystemTime) -> Option<RetryReason> {
        match self {
            Self::Starting => Some(RetryReason::StoreUnreachable { known_for: cx.shared.uptime(now) }),
            Self::StaleConfig | Self::Stopping => Some(RetryReason::VmUnavailable),
            Self::NoEndpoint | Self::NoTimeLeft => Some(RetryReason::EndpointsFull),
            Self::EndpointsAtLimit { retry_after } => Some(RetryReason::EndpointsAtLimit { retry_after }),
            Self::EndpointsShuttingDown => Some(RetryReason::EndpointsShuttingDown),
            Self::DomainsEmptied { known_for } => Some(RetryReason::DomainsEmptied { known_for }),
            Self::BadVersion => Some(RetryReason::BadVersion),
            Self::SessionVersionGone { left } => Some(RetryReason::SessionVersionGone { left }),
            Self::Quarantined { retry_after } => Some(RetryReason::Quarantine { retry_after }),
            _ => None,
        }
    }

    /// Whether the connection should end, so that the caller's next one reaches a VM that can serve.
    fn closes_connection(self) -> bool {
        matches!(self, Self::Malformed | Self::TooLarge | Self::Starting | Self::StaleConfig | Self::Stopping)
    }

    /// The answer, with the time to come back where the request did not run.
    pub fn answer(self, cx: &PublishedContext, now: SystemTime) -> Response<AnswerBody> {
        let body = format!("{{\"error\":\"{}\"}}", self.name());
        let mut answer = Response::new(full_body(Bytes::from(body)));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(reason) = self.retry_reason(cx, now) {
            let after = retry_after::retry_delay(reason, &mut *cx.shared.rng());
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// A body that is there as a whole.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
