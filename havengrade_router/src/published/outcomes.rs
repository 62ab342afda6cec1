//! Records requests in progress and the outcomes of attempts: metrics, log lines and evidence on versions.

use std::{
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    directory::ListedEndpoint,
    rollout::{AttemptOutcome, AttemptTime, Failure, KIND_SEPARATOR, TimeKind},
    time_histogram::Load,
};
use hyper::StatusCode;

use crate::published::{
    active_request::ActiveRequest, attempt::Attempt, context::PublishedContext, quarantine::record_abandoned_attempt,
    speeds,
};

/// Counts a request as in progress at this VM until it is dropped.
pub(super) struct InProgressGuard(PublishedContext);

impl InProgressGuard {
    pub(super) fn new(cx: &PublishedContext) -> Self {
        cx.shared.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(cx.clone())
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Prompt tokens whose processing takes as long as all other work until the first token.
const FIRST_BYTE_BASE_WORK: f64 = 500.0;

/// Records the outcome of an attempt as evidence on its version.
pub(super) fn record_outcome(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    failure: Option<Failure>,
) {
    let kind = comparison_kind(request);
    let (version, endpoint) = (endpoint.version.as_str(), endpoint.id.as_str());
    let outcome = AttemptOutcome { kind: &kind, version, endpoint, failure };
    cx.shared.rollouts().record_outcome(&request.service, outcome, cx.shared.incarnation, cx.shared.clock.now());
}

/// Records the version that serves the session of a request from now on.
pub(super) fn record_session_version(cx: &PublishedContext, request: &ActiveRequest, version: &str, now: SystemTime) {
    let Some(session) = &request.attributes.session else { return };
    let bounds = cx.shared.rollout_bounds();
    let mut rollouts = cx.shared.rollouts();
    let may_be_mixed = rollouts.may_have_mixed_sessions(&request.service, bounds, now);
    let known = rollouts.session_version(session, bounds, now).cloned();
    rollouts.begin_session_request(session, version, request.deadline, now);
    drop(rollouts);
    if may_be_mixed && known.as_deref() != Some(version) {
        log_session_placement(request, session, known.as_deref(), version);
    }
}

/// Logs that a session is sent to a version that this VM does not know as that of the session.
fn log_session_placement(request: &ActiveRequest, session: &str, known: Option<&str>, version: &str) {
    let (change, level) = if known.is_some() { ("moved", log::Level::Info) } else { ("unknown", log::Level::Debug) };
    metrics::counter!("sessions_placed", "change" => change).increment(1);
    log::log!(
        level,
        request = request.id.as_str(),
        session = session,
        known_version = known.unwrap_or("none"),
        version = version;
        "session assigned to a version during a roll-out"
    );
}

/// Records that a request of a session is no longer in progress, whatever its outcome.
pub(super) fn release_session(cx: &PublishedContext, session: Option<&str>) {
    if let Some(session) = session {
        cx.shared.rollouts().mark_session_idle(session, cx.shared.clock.now());
    }
}

/// Records that a request of a session has succeeded; the session's idle time starts anew.
pub(super) fn extend_session(cx: &PublishedContext, request: &ActiveRequest, version: &str) {
    if let Some(session) = &request.attributes.session {
        cx.shared.rollouts().extend_session(session, version, cx.shared.clock.now());
    }
}

/// Records that an endpoint answered without failure.
pub(super) fn record_success(cx: &PublishedContext, endpoint: &ListedEndpoint) {
    if let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id) {
        slot.record_success(cx.shared.clock.now());
    }
}

/// Records a missing, invalid or truncated answer as a failure of the version.
pub(super) fn record_broken_outcome(cx: &PublishedContext, request: &ActiveRequest, endpoint: &ListedEndpoint) {
    record_outcome(cx, request, endpoint, Some(Failure::Broken));
}

/// Records the time to the first byte of an answer, or the time that was waited if none came.
pub(super) fn record_first_byte_time(
    cx: &PublishedContext,
    request: &ActiveRequest,
    attempt: &Attempt,
    took: Duration,
) {
    record_time(cx, request, attempt, TimeKind::FirstByte { work: first_byte_work(request) }, took);
}

/// Records the time per event of a stream.
pub(super) fn record_event_time(cx: &PublishedContext, request: &ActiveRequest, attempt: &Attempt, pause: Duration) {
    record_time(cx, request, attempt, TimeKind::PerEvent, pause);
    speeds::record_event_time(cx, request, attempt, pause);
}

fn record_time(cx: &PublishedContext, request: &ActiveRequest, attempt: &Attempt, of: TimeKind, time: Duration) {
    let kind = comparison_kind(request);
    let (version, endpoint) = (attempt.endpoint.version.as_str(), attempt.endpoint.id.as_str());
    // A cold endpoint is slow for a time, whatever its version, as one that is busy is.
    let is_cold = cx.shared.send_limits().cold.is_cold(endpoint, attempt.sent_at);
    let load = if is_cold { Load::Heavy } else { attempt.load };
    let attempt_time = AttemptTime { kind: &kind, version, endpoint, load, of, time };
    cx.shared.rollouts().record_time(&request.service, attempt_time, cx.shared.incarnation, cx.shared.clock.now());
}

/// Kind of a request; versions are compared by their answers to requests of the same kind.
fn comparison_kind(request: &ActiveRequest) -> String {
    format!("{}{KIND_SEPARATOR}{}", request.route.name, request.model.as_deref().unwrap_or_default())
}

/// Work until the first byte, to which the time to the first byte is proportional.
fn first_byte_work(request: &ActiveRequest) -> f64 {
    request.attributes.tokens.map_or(1.0, |tokens| f64::from(tokens.prompt) + FIRST_BYTE_BASE_WORK)
}

/// Failure of the version that an answer shows: any server error but those of a full endpoint or an elapsed time limit.
pub(super) fn version_failure(status: StatusCode) -> Option<Failure> {
    let is_busy = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    (status.is_server_error() && !is_busy).then_some(Failure::Error)
}

/// Times the wait of an attempt for its first byte.
///
/// When dropped without [`Self::stop`], because the caller left or the attempt was given up, it records the time waited
/// so far as a lower bound; otherwise a slow version would lose its slowest attempts from the evidence.
pub(super) struct FirstByteTimer<'a> {
    cx: &'a PublishedContext,
    request: &'a ActiveRequest,
    attempt: &'a Attempt,
    is_stopped: bool,
}

impl<'a> FirstByteTimer<'a> {
    pub(super) fn new(cx: &'a PublishedContext, request: &'a ActiveRequest, attempt: &'a Attempt) -> Self {
        Self { cx, request, attempt, is_stopped: false }
    }

    /// Stops the timer: the byte has come, or the outcome of the attempt is recorded in another way.
    pub(super) fn stop(mut self) {
        self.is_stopped = true;
    }
}

impl Drop for FirstByteTimer<'_> {
    fn drop(&mut self) {
        if !self.is_stopped {
            let waited = self.cx.shared.clock.now().duration_since(self.attempt.sent_at).unwrap_or_default();
            record_first_byte_time(self.cx, self.request, self.attempt, waited);
            speeds::record_wait(self.cx, self.request, self.attempt, waited);
            record_abandoned_attempt(self.cx, self.request, &self.attempt.endpoint, self.attempt.sent_at);
        }
    }
}

/// Counts an answered request by route and status and records its duration.
pub(super) fn record_answer_metrics(request: &ActiveRequest, status: StatusCode, now: SystemTime) {
    let took = now.duration_since(request.received_at).unwrap_or_default();
    metrics::histogram!("request_seconds", "route" => request.route.name.clone()).record(took.as_secs_f64());
    metrics::counter!(
        "requests_answered",
        "route" => request.route.name.clone(),
        "status" => status.as_str().to_owned()
    )
    .increment(1);
}

/// Logs a request that got a whole answer.
pub(super) fn log_answered_request(
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    status: StatusCode,
    now: SystemTime,
) {
    record_answer_metrics(request, status, now);
    let took = now.duration_since(request.received_at).unwrap_or_default();
    log::info!(
        request = request.id.as_str(),
        route = request.route.name.as_str(),
        endpoint = endpoint.id.as_str(),
        version = endpoint.version.as_str(),
        status = status.as_u16(),
        tries = request.tried_endpoints.len(),
        list_age_ms = request.endpoint_list_age.as_millis() as u64,
        configuration = request.config_version,
        config_age_ms = request.config_age.as_millis() as u64,
        took_ms = took.as_millis() as u64;
        "request answered"
    );
}
