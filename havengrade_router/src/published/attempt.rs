//! One attempt at an endpoint: sends the request and checks the head of the answer.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use havengrade_core::published::{
    attempt::RunState, directory::ListedEndpoint, route::AnswerShape, time_histogram::Load,
};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, http::response};
use tokio::time::timeout;

use crate::{
    endpoints::InFlightGuard,
    published::{
        active_request::ActiveRequest,
        connection_pool::{ConnectionError, EndpointConnection, NotConnectedSnafu},
        context::PublishedContext,
        endpoint_body::EndpointBody,
        endpoint_choice::{ChosenEndpoint, known_work},
        outcomes::{FirstByteTimer, record_broken_outcome},
        ports::AnswerHead,
        quarantine::record_broken_attempt,
        reach_monitor::{start_check, wait_until_unreachable},
        replacement::wait_until_replaceable,
        rewrite::encode_request,
        signals,
        silence_monitor::DueAnswer,
    },
    quarantine::{format_fingerprint, format_fingerprints},
};

/// Longest idle time of a reused connection for a request that must not be repeated; after a longer time it is
/// likelier that the endpoint closes the connection at the same moment.
const MAX_IDLE_IF_NOT_REPEATABLE: Duration = Duration::from_millis(600);
/// Longest idle time of a reused connection for a request that may be repeated.
const MAX_IDLE_IF_REPEATABLE: Duration = Duration::from_secs(8);
/// Time past the deadline that an endpoint is given to end the request by itself.
pub(super) const DEADLINE_SLACK: Duration = Duration::from_millis(30);
/// Consecutive failures after which an endpoint is ejected.
const MAX_FAILURES_IN_A_ROW: u32 = 2;
/// Time for which a failing endpoint is ejected.
const EJECTION_TIME: Duration = Duration::from_secs(2);

/// A request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Endpoint of the attempt.
    pub(super) endpoint: ListedEndpoint,
    /// Load of the endpoint when the request was sent.
    pub(super) load: Load,
    /// Prompt tokens that the endpoint had to read before the first event, counted as tokens of the largest model.
    pub(super) tokens_to_read: u32,
    /// Prompt tokens of the request that no other request shares, counted as tokens of the largest model.
    pub(super) own_tokens: u32,
    /// When the request was sent.
    pub(super) sent_at: SystemTime,
}

/// An attempt that received the head of an answer.
pub(super) struct AnsweredAttempt {
    /// Attempt that is answered.
    pub(super) attempt: Attempt,
    /// Connection of the attempt; dropping it cancels the request at the endpoint.
    pub(super) connection: EndpointConnection,
    /// Head of the answer.
    pub(super) head: response::Parts,
    /// Body of the answer.
    pub(super) body: EndpointBody,
    /// Counts the request as in flight at the endpoint.
    pub(super) in_flight: InFlightGuard,
    /// Confidence of the model in its answer, from 0 to 100.
    pub(super) confidence: Option<u8>,
}

/// Sends a request to an endpoint and waits for the head of its answer.
///
/// # Errors
///
/// [`RunState`] of a request that got no usable answer: how far it may have run.
pub(super) async fn send_attempt(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
    chosen: ChosenEndpoint,
    resume_after: Option<&str>,
) -> Result<AnsweredAttempt, RunState> {
    let endpoint = &chosen.endpoint;
    let in_flight = cx.shared.endpoint_states.begin_generation(&endpoint.id, chosen.tokens);
    let begun = cx.shared.clock.now();
    let max_idle = max_idle(request);
    let (mut connection, response, mut attempt) = match exchange(cx, request, &chosen, resume_after, max_idle).await {
        // The endpoint may have closed the idle connection; only a new one shows whether it is reachable.
        Err(ConnectionError::NotSent { .. }) => exchange(cx, request, &chosen, resume_after, Duration::ZERO).await,
        exchanged => exchanged,
    }
    .map_err(|error| {
        request.has_reserved_retry |= matches!(error, ConnectionError::Replaced);
        record_connection_failure(cx, request, endpoint, begun, &error)
    })?;
    let (head, body) = response.into_parts();
    let answer_head = cx.shared.dialect.decode_answer(head.status, &head.headers);
    if let Some(idle_timeout) = answer_head.keep_alive {
        connection.set_idle_timeout(idle_timeout);
    }
    signals::record_answer_signals(cx, request, endpoint, head.status, &answer_head);
    if let Some(load) = answer_head.load {
        // A VM that has just started does not know the requests that other VMs have sent to the endpoint.
        attempt.load = attempt.load.max(Load::of(load.running.saturating_add(load.waiting), endpoint.slots));
    }
    check_answer_head(cx, request, endpoint, head.status, &answer_head)?;
    Ok(AnsweredAttempt { attempt, connection, head, body, in_flight, confidence: answer_head.confidence })
}

/// Connects to an endpoint ahead of an attempt there; the connection is kept for the attempt.
///
/// # Errors
///
/// [`RunState`] of a request whose endpoint can't be reached.
pub(super) async fn prepare_attempt(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
) -> Result<(), RunState> {
    let begun = cx.shared.clock.now();
    let connected = connect(cx, endpoint, max_idle(request)).await;
    let connection = connected.map_err(|error| record_connection_failure(cx, request, endpoint, begun, &error))?;
    cx.shared.connection_pool.release(&endpoint.id, connection, cx.shared.clock.now());
    Ok(())
}

/// Returns a connection to an endpoint, unless it turns out meanwhile that no endpoint can be reached.
async fn connect(
    cx: &PublishedContext,
    endpoint: &ListedEndpoint,
    max_idle: Duration,
) -> Result<EndpointConnection, ConnectionError> {
    let now = cx.shared.clock.now();
    let connected = tokio::select! {
        biased;
        connected = cx.shared.connection_pool.acquire(&endpoint.id, endpoint.address, max_idle, now) => connected,
        () = wait_until_unreachable(cx, now) => NotConnectedSnafu { reason: "no endpoint can be reached" }.fail(),
    };
    match &connected {
        Ok(connection) if connection.is_new() => cx.shared.reach.record_connect(cx.shared.clock.now()),
        Ok(_) => {},
        Err(_) => start_check(cx),
    }
    connected
}

/// Sends a request and waits for the head of its answer.
///
/// One that may be repeated is given up once it is known that no endpoint can be reached, or for another attempt.
async fn send(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    connection: &mut EndpointConnection,
    outgoing: Request<Full<Bytes>>,
    sent_at: SystemTime,
) -> Result<Response<EndpointBody>, ConnectionError> {
    let unreachable = async {
        wait_until_unreachable(cx, sent_at).await;
        if !request.attempts.is_repeatable() {
            std::future::pending::<()>().await;
        }
    };
    // The first event of a stream may be due late, for the length of a queue.
    let is_whole = request.route.shape == AnswerShape::Whole;
    let _due = is_whole.then(|| DueAnswer::new(cx, endpoint));
    let answered = tokio::select! {
        biased;
        answered = timeout(request.time_left(sent_at) + DEADLINE_SLACK, connection.send(outgoing)) => answered,
        () = unreachable => return Err(ConnectionError::NoAnswer),
        () = wait_until_replaceable(cx, request, endpoint, sent_at) => return Err(ConnectionError::Replaced),
    };
    let response = answered.unwrap_or(Err(ConnectionError::NoAnswer))?;
    let now = cx.shared.clock.now();
    cx.shared.reach.record_heard(now);
    cx.shared.silences.record_heard(&endpoint.service, now);
    Ok(response)
}

/// Longest idle time of a reused connection for a request.
fn max_idle(request: &ActiveRequest) -> Duration {
    if request.attempts.is_repeatable() { MAX_IDLE_IF_REPEATABLE } else { MAX_IDLE_IF_NOT_REPEATABLE }
}

/// Sends a request over a connection that was idle for less than `max_idle`, or a new one.
async fn exchange(
    cx: &PublishedContext,
    request: &ActiveRequest,
    ChosenEndpoint { endpoint, load, tokens_to_read, own_tokens, .. }: &ChosenEndpoint,
    resume_after: Option<&str>,
    max_idle: Duration,
) -> Result<(EndpointConnection, Response<EndpointBody>, Attempt), ConnectionError> {
    let mut connection = connect(cx, endpoint, max_idle).await?;
    let sent_at = cx.shared.clock.now();
    let outgoing = encode_request(cx, request, endpoint, resume_after, sent_at);
    let (load, tokens_to_read, own_tokens) = (*load, *tokens_to_read, *own_tokens);
    let attempt = Attempt { endpoint: endpoint.clone(), load, tokens_to_read, own_tokens, sent_at };
    let first_byte_timer = FirstByteTimer::new(cx, request, &attempt);
    let response = match send(cx, request, endpoint, &mut connection, outgoing, sent_at).await {
        // Dropping the timer records that the attempt was given up.
        Err(error @ (ConnectionError::NoAnswer | ConnectionError::Replaced)) => return Err(error),
        sent => sent,
    };
    first_byte_timer.stop();
    Ok((connection, response?, attempt))
}

/// Checks that an endpoint ran the request and that the answer is authentic and belongs to it.
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
            return Err(RunState::NotRun);
        }
        let (vms, now) = (cx.shared.peers().len() + 1, cx.shared.clock.now());
        cx.shared.send_limits().brittle.record_rejection(&endpoint.service, &endpoint.id, vms, now);
        if has_free_slots(cx, endpoint, answer_head)
            && let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id)
        {
            slot.record_rejection(cx.shared.clock.now());
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

/// Whether an endpoint that rejected a request has free slots, by its reported load or else by the known work.
///
/// A full endpoint needs no penalty: its load shows that it is full, and it accepts requests as soon as others end.
fn has_free_slots(cx: &PublishedContext, endpoint: &ListedEndpoint, answer_head: &AnswerHead) -> bool {
    let reported = answer_head.load.map(|load| load.running.saturating_add(load.waiting));
    let requests = reported.unwrap_or_else(|| known_work(cx, endpoint).requests);
    requests < endpoint.slots
}

/// Records a failed connection and returns how far the request may have run.
fn record_connection_failure(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    begun: SystemTime,
    error: &ConnectionError,
) -> RunState {
    log_failed_attempt(request, endpoint, &error.to_string());
    let state = run_state(error);
    if matches!(error, ConnectionError::Lost { .. } | ConnectionError::InvalidStatus { .. }) {
        record_broken_outcome(cx, request, endpoint);
    }
    if state == RunState::MayHaveRun {
        record_broken_attempt(cx, request, endpoint, begun);
    }
    // A single failed connect is stronger evidence of an unavailable endpoint than a failed answer.
    record_failure_with_threshold(cx, endpoint, if state == RunState::NotSent { 1 } else { MAX_FAILURES_IN_A_ROW });
    state
}

fn run_state(error: &ConnectionError) -> RunState {
    match error {
        ConnectionError::NotConnected { .. } | ConnectionError::NotSent { .. } => RunState::NotSent,
        ConnectionError::Lost { .. }
        | ConnectionError::InvalidStatus { .. }
        | ConnectionError::NoAnswer
        | ConnectionError::Replaced => RunState::MayHaveRun,
    }
}

/// Records a failure of an endpoint, which is ejected after [`MAX_FAILURES_IN_A_ROW`].
pub(super) fn record_failure(cx: &PublishedContext, endpoint: &ListedEndpoint) {
    record_failure_with_threshold(cx, endpoint, MAX_FAILURES_IN_A_ROW);
}

/// Records a failure of an endpoint, which is ejected after `threshold` failures in a row.
fn record_failure_with_threshold(cx: &PublishedContext, endpoint: &ListedEndpoint, threshold: u32) {
    if let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id) {
        slot.record_failure(threshold, EJECTION_TIME, cx.shared.clock.now());
    }
}

/// Logs a failed attempt and its reason.
pub(super) fn log_failed_attempt(request: &ActiveRequest, endpoint: &ListedEndpoint, reason: &str) {
    log::info!(
        request = request.id.as_str(),
        endpoint = endpoint.id.as_str(),
        version = endpoint.version.as_str(),
        mark = format_fingerprint(request.fingerprint()).as_str(),
        parts = format_fingerprints(&request.judged().parts).as_str(),
        tries = request.tried_endpoints.len(),
        list_age_ms = request.endpoint_list_age.as_millis() as u64;
        "try failed: {reason}"
    );
}
