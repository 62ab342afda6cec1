//! One try at an endpoint: the request is sent, and the head of its answer is checked.

use std::time::{Duration, SystemTime};

use havengrade_core::published::{attempt::RunState, directory::ListedEndpoint, time_histogram::Load};
use hyper::{Response, StatusCode, body::Incoming, http::response};
use tokio::time::timeout;

use crate::{
    endpoints::InFlight,
    published::{
        active_request::ActiveRequest,
        connection_pool::{ConnectionError, EndpointConnection},
        context::PublishedContext,
        endpoint_choice::{ChosenEndpoint, known_work},
        outcomes::{FirstByteTimer, record_broken_outcome},
        ports::AnswerHead,
        quarantine::record_broken_attempt,
        rewrite::encode_request,
        signals,
    },
    quarantine::format_fingerprint,
};

/// Time for which a kept connection may have rested before a request that must not be repeated; a longer
/// rest makes it likelier that the endpoint closes it just then.
const MAX_IDLE_IF_NOT_REPEATABLE: Duration = Duration::from_millis(600);
/// Time for which a kept connection may have rested before a request that may be repeated.
const MAX_IDLE_IF_REPEATABLE: Duration = Duration::from_secs(8);
/// Time beyond a route's limit by which an endpoint may end its own work before we end it.
pub(super) const DEADLINE_SLACK: Duration = Duration::from_millis(30);
/// Failures in a row after which an endpoint is passed over.
const MAX_FAILURES_IN_A_ROW: u32 = 2;
/// Time for which it is passed over.
const EJECTION_TIME: Duration = Duration::from_secs(2);

/// A try at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// The endpoint.
    pub(super) endpoint: ListedEndpoint,
    /// How busy it was.
    pub(super) load: Load,
    /// When the request was sent.
    pub(super) sent_at: SystemTime,
}

/// A try at an endpoint that got the head of an answer.
pub(super) struct AnsweredAttempt {
    /// The try.
    pub(super) attempt: Attempt,
    /// The connection; dropping it ends the work on it.
    pub(super) connection: EndpointConnection,
    /// Head of the answer.
    pub(super) head: response::Parts,
    /// Body of the answer.
    pub(super) body: Incoming,
    /// Counts the request as in progress there.
    pub(super) in_flight: InFlight,
    /// The model's opinion of its answer, from 0 to 100.
    pub(super) confidence: Option<u8>,
}

/// Sends a request to an endpoint and waits for the head of its answer.
pub(super) async fn send_attempt(
    cx: &PublishedContext,
    request: &ActiveRequest,
    chosen: ChosenEndpoint,
    resume_after: Option<&str>,
) -> Result<AnsweredAttempt, RunState> {
    let endpoint = &chosen.endpoint;
    let in_flight = cx.shared.endpoint_states.enter_with(&endpoint.id, chosen.prompt_tokens);
    let begun = cx.shared.clock.now();
    let max_idle = if request.attempts.is_repeatable() { MAX_IDLE_IF_REPEATABLE } else { MAX_IDLE_IF_NOT_REPEATABLE };
    let (mut connection, response, mut attempt) = match exchange(cx, request, &chosen, resume_after, max_idle).await {
        // A kept connection may have ended just before; whether the endpoint lives, a new one tells.
        Err(ConnectionError::NotSent { .. }) => exchange(cx, request, &chosen, resume_after, Duration::ZERO).await,
        exchanged => exchanged,
    }
    .map_err(|error| record_connection_failure(cx, request, endpoint, begun, &error))?;
    let (head, body) = response.into_parts();
    let answer_head = cx.shared.dialect.decode_answer(head.status, &head.headers);
    if let Some(keep) = answer_head.keep_alive {
        connection.set_idle_timeout(keep);
    }
    signals::record_answer_signals(cx, request, endpoint, head.status, &answer_head);
    if let Some(load) = answer_head.load {
        // A VM that has just started does not know what the others sent there.
        attempt.load = attempt.load.max(Load::of(load.running + load.waiting, endpoint.slots));
    }
    check_answer_head(cx, request, endpoint, head.status, &answer_head)?;
    Ok(AnsweredAttempt { attempt, connection, head, body, in_flight, confidence: answer_head.confidence })
}

/// Sends a request over a connection that rested for less than `max_idle`, or a new one.
async fn exchange(
    cx: &PublishedContext,
    request: &ActiveRequest,
    ChosenEndpoint { endpoint, load, .. }: &ChosenEndpoint,
    resume_after: Option<&str>,
    max_idle: Duration,
) -> Result<(EndpointConnection, Response<Incoming>, Attempt), ConnectionError> {
    let now = cx.shared.clock.now();
    let mut connection = cx.shared.connection_pool.acquire(&endpoint.id, endpoint.address, max_idle, now).await?;
    let sent_at = cx.shared.clock.now();
    let outgoing = encode_request(cx, request, endpoint, resume_after, sent_at);
    let attempt = Attempt { endpoint: endpoint.clone(), load: *load, sent_at };
    let first_byte_timer = FirstByteTimer::new(cx, request, &attempt);
    let Ok(response) = timeout(request.attempt_timeout(sent_at) + DEADLINE_SLACK, connection.send(outgoing)).await
    else {
        return Err(ConnectionError::NoAnswer);
    };
    first_byte_timer.stop();
    Ok((connection, response?, attempt))
}

/// Tells an answer that can be used from one that can't.
fn check_answer_head(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    status: StatusCode,
    answer_head: &AnswerHead,
) -> Result<(), RunState> {
    let is_for_other_request = answer_head.request.as_ref().is_some_and(|id| *id != request.id);
    if is_for_other_request {
        log_failed_attempt(request, endpoint, "the answer belongs to another request");
        record_broken_outcome(cx, request, endpoint);
        return Err(RunState::MayHaveRun);
    }
    if answer_head.run.is_surely_not_run() {
        log_failed_attempt(
            request,
            endpoint,
            if status == StatusCode::MISDIRECTED_REQUEST { "not the endpoint" } else { "full" },
        );
        if status == StatusCode::MISDIRECTED_REQUEST {
            record_failure(cx, endpoint);
        } else if has_free_slots(cx, endpoint, answer_head)
            && let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id)
        {
            slot.reject(cx.shared.clock.now());
        }
        return Err(RunState::NotRun);
    }
    if !answer_head.is_authentic {
        log_failed_attempt(request, endpoint, "the answer has no id or no signature");
        record_broken_outcome(cx, request, endpoint);
        return Err(RunState::MayHaveRun);
    }
    Ok(())
}

/// Whether an endpoint that turned a request away has room for it, by its own word or as far as is known.
///
/// One that is full looks full, and takes requests again as soon as some of its own have ended.
fn has_free_slots(cx: &PublishedContext, endpoint: &ListedEndpoint, answer_head: &AnswerHead) -> bool {
    let told = answer_head.load.map(|load| load.running + load.waiting);
    let requests = told.unwrap_or_else(|| known_work(cx, endpoint).requests);
    requests < endpoint.slots
}

/// Notes a failure of the connection; tells how far the request got.
fn record_connection_failure(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    begun: SystemTime,
    error: &ConnectionError,
) -> RunState {
    log_failed_attempt(request, endpoint, &error.to_string());
    let state = run_state(error);
    if matches!(error, ConnectionError::Lost { .. }) {
        record_broken_outcome(cx, request, endpoint);
    }
    if state == RunState::MayHaveRun {
        record_broken_attempt(cx, request, endpoint, begun);
    }
    // One refused connection says more than a failed answer does.
    record_failure_with_threshold(cx, endpoint, if state == RunState::NotSent { 1 } else { MAX_FAILURES_IN_A_ROW });
    state
}

fn run_state(error: &ConnectionError) -> RunState {
    match error {
        ConnectionError::NotSent { .. } => RunState::NotSent,
        ConnectionError::Lost { .. } | ConnectionError::NoAnswer => RunState::MayHaveRun,
    }
}

pub(super) fn record_failure(cx: &PublishedContext, endpoint: &ListedEndpoint) {
    record_failure_with_threshold(cx, endpoint, MAX_FAILURES_IN_A_ROW);
}

/// Notes a failure; after so many in a row the endpoint is passed over for a time.
fn record_failure_with_threshold(cx: &PublishedContext, endpoint: &ListedEndpoint, failures: u32) {
    if let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id) {
        slot.fail(failures, EJECTION_TIME, cx.shared.clock.now());
    }
}

pub(super) fn log_failed_attempt(request: &ActiveRequest, endpoint: &ListedEndpoint, outcome: &str) {
    log::info!(
        request = request.id.as_str(),
        endpoint = endpoint.id.as_str(),
        version = endpoint.version.as_str(),
        mark = format_fingerprint(request.fingerprint()).as_str(),
        tries = request.tried_endpoints.len();
        "try failed: {outcome}"
    );
}
