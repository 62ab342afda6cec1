//! Refusals: the router's own answers to requests that got no answer from an endpoint.

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
/// Error that aborts a body after its start; the connection is closed before the end of the body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request gets no answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The head or body of the request is invalid or ambiguous.
    Malformed,
    /// No route matches the host and path.
    NoRoute,
    /// The key belongs to no client account.
    UnknownKey,
    /// The body is larger than the limit.
    TooLarge,
    /// This VM has no room for the body beside those of other requests; the request did not run.
    BodiesFull,
    /// The VM is starting: the configuration or the endpoints are not known yet.
    Starting,
    /// The configuration is too old to tell whether the key or the route is valid.
    StaleConfig,
    /// The graceful shutdown of the VM would cut the answer off.
    Stopping,
    /// No endpoint was available; the request did not run.
    NoEndpoint,
    /// This VM reaches no endpoint, and no other VM accepted the request; it did not run.
    EndpointsUnreachable,
    /// All endpoints that could serve the request are cold, at their limits, or in a backoff that they requested.
    EndpointsAtLimit {
        /// Time until the first of them accepts another request.
        retry_after: Duration,
    },
    /// All endpoints that could serve the request are shutting down.
    EndpointsShuttingDown,
    /// All endpoints that could serve the request are in emptied failure domains.
    DomainsEmptied {
        /// Time for which the domains are known to have been emptied.
        known_for: Duration,
    },
    /// All listed endpoints run a version whose roll-out was halted.
    BadVersion,
    /// No endpoint runs the version of the session any longer; the caller may start a new session later.
    SessionVersionGone {
        /// Time until the session ends.
        left: Duration,
    },
    /// The request is quarantined because endpoints crash when they run it.
    Quarantined {
        /// Time after which the request may be retried.
        retry_after: Duration,
    },
    /// The endpoints are short of capacity, and other requests are served first.
    Shortage {
        /// Time after which the request should be retried.
        retry_after: Duration,
    },
    /// The time limit was reached before the request could be sent.
    NoTimeLeft,
    /// An endpoint ran the request, which must not run again, and answered with a status that would guarantee that it did
    /// not run.
    FailedAfterRun,
    /// The request may have run, but no answer came.
    Lost,
    /// The request may have run, but no answer came in time.
    TimedOut,
}

impl Refusal {
    /// Name of the refusal in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::BodiesFull => "bodies_full",
            Self::Starting => "starting",
            Self::StaleConfig => "stale_configuration",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::EndpointsUnreachable => "endpoints_unreachable",
            Self::EndpointsAtLimit { .. } => "endpoints_at_limit",
            Self::EndpointsShuttingDown => "endpoints_leave",
            Self::DomainsEmptied { .. } => "domain_emptied",
            Self::BadVersion => "bad_version",
            Self::SessionVersionGone { .. } => "session_version_gone",
            Self::Quarantined { .. } => "quarantined",
            Self::Shortage { .. } => "shortage",
            Self::NoTimeLeft => "no_time_left",
            Self::FailedAfterRun => "failed_after_run",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Status of the answer; 503 guarantees that the request did not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodiesFull
            | Self::Starting
            | Self::StaleConfig
            | Self::Stopping
            | Self::NoEndpoint
            | Self::EndpointsUnreachable
            | Self::EndpointsAtLimit { .. }
            | Self::EndpointsShuttingDown
            | Self::DomainsEmptied { .. }
            | Self::BadVersion
            | Self::SessionVersionGone { .. }
            | Self::Quarantined { .. }
            | Self::Shortage { .. }
            | Self::NoTimeLeft => StatusCode::SERVICE_UNAVAILABLE,
            Self::FailedAfterRun | Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Reason that determines the `retry-after` header; none if the request may have run or can never succeed.
    fn retry_reason(self, cx: &PublishedContext, now: SystemTime) -> Option<RetryReason> {
        match self {
            Self::Starting => Some(RetryReason::StoreUnreachable { known_for: cx.shared.uptime(now) }),
            Self::StaleConfig | Self::Stopping | Self::BodiesFull => Some(RetryReason::VmUnavailable),
            Self::EndpointsUnreachable => Some(RetryReason::EndpointsUnreachable),
            Self::NoEndpoint | Self::NoTimeLeft => Some(RetryReason::EndpointsFull),
            Self::EndpointsAtLimit { retry_after } => Some(RetryReason::EndpointsAtLimit { retry_after }),
            Self::EndpointsShuttingDown => Some(RetryReason::EndpointsShuttingDown),
            Self::DomainsEmptied { known_for } => Some(RetryReason::DomainsEmptied { known_for }),
            Self::BadVersion => Some(RetryReason::BadVersion),
            Self::SessionVersionGone { left } => Some(RetryReason::SessionVersionGone { left }),
            Self::Quarantined { retry_after } => Some(RetryReason::Quarantine { retry_after }),
            Self::Shortage { retry_after } => Some(RetryReason::Shortage { retry_after }),
            _ => None,
        }
    }

    /// Whether the connection is closed, so that the load balancer can send the caller's next one to another VM.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::Malformed
                | Self::TooLarge
                | Self::BodiesFull
                | Self::Starting
                | Self::StaleConfig
                | Self::Stopping
                | Self::EndpointsUnreachable
        )
    }

    /// Builds the answer, with a `retry-after` header if the request did not run and may be retried.
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

/// Whether a status guarantees callers that their request did not run and never will.
pub(super) fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Creates a body from bytes that are all available.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
