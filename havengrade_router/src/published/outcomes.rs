//! What is noted of requests in progress and of their answers: counters, the line in the log, evidence on versions.

use std::{
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    directory::ListedEndpoint,
    rollout::{AttemptOutcome, AttemptTime, Failure, KIND_SEPARATOR, TimeKind},
};
use hyper::StatusCode;

use crate::published::{
    active_request::ActiveRequest, attempt::Attempt, context::PublishedContext, quarantine::record_abandoned_attempt,
};

/// Counts a request as in progress at this VM.
pub(super) struct InProgress(PublishedContext);

impl InProgress {
    pub(super) fn new(cx: &PublishedContext) -> Self {
        cx.shared.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(cx.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Prompt tokens that take as long to read as everything else takes until a first token.
const FIRST_TOKEN_WORK: f64 = 500.0;

/// Notes how a try ended.
pub(super) fn note_end(
    cx: &PublishedContext,
    job: &ActiveRequest,
    endpoint: &ListedEndpoint,
    failure: Option<Failure>,
) {
    let kind = kind_of(job);
    let (version, endpoint) = (endpoint.version.as_str(), endpoint.id.as_str());
    let sample = AttemptOutcome { kind: &kind, version, endpoint, failure };
    cx.shared.rollouts().record_outcome(&job.service, sample, cx.shared.incarnation, cx.shared.clock.now());
}

/// Notes that a version serves the session of a request, which keeps to it.
pub(super) fn note_session(cx: &PublishedContext, job: &ActiveRequest, version: &str, now: SystemTime) {
    let Some(session) = &job.facts.session else { return };
    let bounds = cx.shared.rollout_bounds();
    let mut rollouts = cx.shared.rollouts();
    let is_unsettled = rollouts.may_have_mixed_sessions(&job.service, bounds, now);
    let known = rollouts.session_version(session, bounds, now).cloned();
    rollouts.begin_session_request(session, version, job.limit, now);
    drop(rollouts);
    if is_unsettled && known.as_deref() != Some(version) {
        log_placed(job, session, known.as_deref(), version);
    }
}

/// Writes the line of a session that goes to a version of which this VM does not know that it keeps to it.
fn log_placed(job: &ActiveRequest, session: &str, known: Option<&str>, version: &str) {
    let (change, level) = if known.is_some() { ("moved", log::Level::Info) } else { ("unknown", log::Level::Debug) };
    metrics::counter!("sessions_placed", "change" => change).increment(1);
    log::log!(
        level,
        request = job.id.as_str(),
        session = session,
        known_version = known.unwrap_or("none"),
        version = version;
        "a session is given a version during a roll-out"
    );
}

/// Notes that a request of a session is no longer in progress, however it ended.
pub(super) fn release_session(cx: &PublishedContext, session: Option<&str>) {
    if let Some(session) = session {
        cx.shared.rollouts().mark_session_idle(session, cx.shared.clock.now());
    }
}

/// Notes that a request of a session has ended; the session's pause counts from then.
pub(super) fn note_session_end(cx: &PublishedContext, job: &ActiveRequest, version: &str) {
    if let Some(session) = &job.facts.session {
        cx.shared.rollouts().extend_session(session, version, cx.shared.clock.now());
    }
}

/// Notes that an endpoint answered as it should.
pub(super) fn succeed(cx: &PublishedContext, endpoint: &ListedEndpoint) {
    if let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id) {
        slot.succeed(cx.shared.clock.now());
    }
}

/// Notes an answer that broke off or was none.
pub(super) fn note_broken(cx: &PublishedContext, job: &ActiveRequest, endpoint: &ListedEndpoint) {
    note_end(cx, job, endpoint, Some(Failure::Broken));
}

/// Notes the time from a request to the first byte of its answer, or for which it was waited in vain.
pub(super) fn note_first(cx: &PublishedContext, job: &ActiveRequest, made: &Attempt, took: Duration) {
    note_time(cx, job, made, TimeKind::FirstByte { work: work_of(job) }, took);
}

/// Notes the time between two events of a stream.
pub(super) fn note_pace(cx: &PublishedContext, job: &ActiveRequest, made: &Attempt, pause: Duration) {
    note_time(cx, job, made, TimeKind::PerEvent, pause);
}

fn note_time(cx: &PublishedContext, job: &ActiveRequest, made: &Attempt, of: TimeKind, time: Duration) {
    let kind = kind_of(job);
    let (version, endpoint) = (made.endpoint.version.as_str(), made.endpoint.id.as_str());
    let note = AttemptTime { kind: &kind, version, endpoint, load: made.load, of, time };
    cx.shared.rollouts().record_time(&job.service, note, cx.shared.incarnation, cx.shared.clock.now());
}

/// What a request's answers are compared with.
fn kind_of(job: &ActiveRequest) -> String {
    format!("{}{KIND_SEPARATOR}{}", job.route.name, job.model.as_deref().unwrap_or_default())
}

/// The work until a first byte, to which its time is in proportion.
fn work_of(job: &ActiveRequest) -> f64 {
    job.facts.tokens.map_or(1.0, |tokens| f64::from(tokens.prompt) + FIRST_TOKEN_WORK)
}

/// Whether an endpoint's own answer shows that its version fails: an error that is neither "full" nor "out of time".
pub(super) fn failure_of(status: StatusCode) -> Option<Failure> {
    let is_busy = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    (status.is_server_error() && !is_busy).then_some(Failure::Error)
}

/// A try that waits for its first byte: where its caller leaves, or it is given up, the time that was waited says that the
/// endpoint took longer, which a slow version must not hide.
pub(super) struct Awaited<'a> {
    cx: &'a PublishedContext,
    job: &'a ActiveRequest,
    made: &'a Attempt,
    is_over: bool,
}

impl<'a> Awaited<'a> {
    pub(super) fn new(cx: &'a PublishedContext, job: &'a ActiveRequest, made: &'a Attempt) -> Self {
        Self { cx, job, made, is_over: false }
    }

    /// Ends the waiting, since the byte has come, or the try has ended in a way that is noted otherwise.
    pub(super) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let waited = self.cx.shared.clock.now().duration_since(self.made.sent).unwrap_or_default();
            note_first(self.cx, self.job, self.made, waited);
            record_abandoned_attempt(self.cx, self.job, &self.made.endpoint, self.made.sent);
        }
    }
}

/// Counts an answered request by its route and status.
pub(super) fn count_answer(job: &ActiveRequest, status: StatusCode, now: SystemTime) {
    let took = now.duration_since(job.arrived).unwrap_or_default();
    metrics::histogram!("request_seconds", "route" => job.route.name.clone()).record(took.as_secs_f64());
    metrics::counter!("requests_answered", "route" => job.route.name.clone(), "status" => status.as_str().to_owned())
        .increment(1);
}

/// Writes the line of a request that got a whole answer.
pub(super) fn log_answer(job: &ActiveRequest, endpoint: &ListedEndpoint, status: StatusCode, now: SystemTime) {
    count_answer(job, status, now);
    let took = now.duration_since(job.arrived).unwrap_or_default();
    log::info!(
        request = job.id.as_str(),
        route = job.route.name.as_str(),
        endpoint = endpoint.id.as_str(),
        version = endpoint.version.as_str(),
        status = status.as_u16(),
        tries = job.tried.len(),
        took_ms = took.as_millis() as u64;
        "request answered"
    );
}
