//! Forwards a request: admits it and tries endpoints until one answers or the request is refused.

use std::time::{Duration, SystemTime};

use havengrade_core::{
    ids::ModelId,
    published::{
        attempt::RunState,
        model_choice::{self, Escalation},
        route::AnswerShape,
    },
};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response,
};
use tokio::time::{sleep, timeout};

use crate::published::{
    active_request::{ActiveRequest, Trial, admit, check_key},
    answer_body::{AnswerError, MAX_FRAMED_ANSWER_BYTES, read_answer},
    attempt::{AnsweredAttempt, DEADLINE_SLACK, log_failed_attempt, prepare_attempt, record_failure, send_attempt},
    context::PublishedContext,
    endpoint_choice::{ChosenEndpoint, choose_endpoint},
    escalation::EscalationSituation,
    event_stream,
    outcomes::{
        FirstByteTimer, InProgressGuard, log_answered_request, record_broken_outcome, record_first_byte_time,
        record_outcome, record_session_version, record_success, release_session, version_failure,
    },
    quarantine::{
        self, check_unframed_answer, log_send_after_crashes, record_abandoned_attempt, record_answer,
        record_broken_attempt,
    },
    refusal::{AnswerBody, Refusal, guarantees_not_run},
    request_relay::{
        RelayTarget, RelayedRequest, holder_targets, mark_not_accepted, other_targets, relay_request, relay_targets,
    },
    rewrite::encode_answer_head,
    speeds,
    stream_buffer::CallerConnection,
};

/// Delay before another endpoint is chosen for a request that can't be sent because of claimed sends or whose endpoint
/// refused the connection.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Least time before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Result of an attempt.
enum AttemptResult {
    /// An answer for the caller; if it is a failure, another attempt may replace it.
    Answered { answer: Response<AnswerBody>, is_failure: bool },
    /// No answer.
    Failed(RunState),
    /// The router's own answer, in place of the endpoint's.
    Refused(Refusal),
    /// An answer in which its model has low confidence; the stronger model is used instead.
    LowConfidence { stronger: ModelId },
}

/// Logs, when dropped, a request that was cancelled because the caller left before an answer, or the router stopped.
struct UnansweredRequest<'a> {
    cx: &'a PublishedContext,
    id: &'a str,
    received_at: SystemTime,
    is_answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let elapsed = self.cx.shared.clock.now().duration_since(self.received_at).unwrap_or_default();
        metrics::counter!("callers_left").increment(1);
        log::info!(
            request = self.id,
            held_ms = elapsed.as_millis() as u64,
            is_cut = self.cx.forced_shutdown.is_cancelled();
            "the caller left before an answer"
        );
    }
}

/// Forwards a caller's request to an endpoint and returns the answer, or the router's refusal.
pub async fn forward(cx: &PublishedContext, incoming: Request<Incoming>) -> Response<AnswerBody> {
    let guard = InProgressGuard::new(cx);
    let received_at = cx.shared.clock.now();
    let (head, body) = incoming.into_parts();
    let is_relayed = head.extensions.get::<RelayedRequest>().is_some();
    let attributes = cx.shared.dialect.decode_request(&head.headers);
    let id = attributes.id.clone().unwrap_or_default();
    let mut unanswered = UnansweredRequest { cx, id: &id, received_at, is_answered: false };
    let answered = match admit(cx, head, body, attributes, received_at).await {
        Ok(request) => {
            let session = request.attributes.session.clone();
            let is_stream = matches!(request.route.shape, AnswerShape::Events { .. });
            let answered = run_attempts(cx, request, guard).await;
            let continues_as_stream = is_stream && answered.as_ref().is_ok_and(|answer| answer.status().is_success());
            if !continues_as_stream {
                release_session(cx, session.as_deref());
            }
            answered
        },
        Err(refusal) => Err(refusal),
    };
    unanswered.is_answered = true;
    answered.unwrap_or_else(|refusal| {
        let now = cx.shared.clock.now();
        log_refusal(cx, &id, refusal, received_at, now);
        let mut answer = refusal.answer(cx, now);
        if is_relayed {
            mark_not_accepted(&mut answer, refusal);
        }
        answer
    })
}

fn log_refusal(cx: &PublishedContext, id: &str, refusal: Refusal, received_at: SystemTime, now: SystemTime) {
    let elapsed = now.duration_since(received_at).unwrap_or_default();
    let age = cx.shared.config_age(now).unwrap_or_default();
    metrics::counter!("requests_refused", "reason" => refusal.name()).increment(1);
    log::warn!(
        request = id,
        reason = refusal.name(),
        held_ms = elapsed.as_millis() as u64,
        version = cx.shared.routes.load().version(),
        since_answer_ms = cx.shared.since_endpoint_answer(now).map(|time| time.as_millis() as u64),
        config_age_ms = age.as_millis() as u64;
        "request refused"
    );
}

/// Sends the request to one endpoint after another until one answers or no further attempt is allowed.
async fn run_attempts(
    cx: &PublishedContext,
    mut request: ActiveRequest,
    guard: InProgressGuard,
) -> Result<Response<AnswerBody>, Refusal> {
    // The VM that a request is relayed to counts its first try.
    if !cx.shared.reach.is_lost() {
        cx.shared.retry_budgets.record_first_try(&request.service);
    }
    let mut guard = Some(guard);
    let mut failed_answer: Option<Response<AnswerBody>> = None;
    loop {
        if cx.shared.reach.is_lost() {
            let targets = relay_targets(cx, &request, cx.shared.clock.now());
            match relay(cx, &mut request, targets, &mut guard).await {
                Ok(answer) => return Ok(answer),
                // No other VM reaches endpoints: they are down rather than this VM cut off, and some may be back.
                Err(RunState::NotSent) if !request.is_relayed && !cx.shared.reach.is_silent() => {},
                Err(state) => {
                    request.record_attempt(state);
                    return failed_answer.ok_or_else(|| request.refusal(Refusal::EndpointsUnreachable, Refusal::Lost));
                },
            }
        }
        let answered = match attempt_next(cx, &mut request).await {
            Ok(answered) => answered,
            Err(refusal) => {
                let Some(answer) = failed_answer else { return relay_refused(cx, request, refusal, guard).await };
                return Ok(answer);
            },
        };
        let result = match answered {
            Ok(answered) => handle_answer(cx, &mut request, answered, &mut guard).await,
            Err(state) => AttemptResult::Failed(state),
        };
        match result {
            AttemptResult::Answered { answer, is_failure: false } => return Ok(answer),
            AttemptResult::Answered { answer, is_failure: true } => {
                request.record_attempt(RunState::Ran);
                failed_answer = Some(answer);
            },
            AttemptResult::Failed(state) => request.record_attempt(state),
            AttemptResult::Refused(refusal) => return Err(refusal),
            AttemptResult::LowConfidence { stronger } => {
                request.record_attempt(RunState::Ran);
                request.model = Some(stronger);
                // The endpoint that ran the smaller model did not fail and may serve the stronger one.
                request.tried_endpoints.pop();
                request.has_reserved_retry = true;
            },
        }
        if !request.attempts.may_try_again() {
            let Some(answer) = failed_answer else {
                let refusal = request.refusal(Refusal::NoEndpoint, Refusal::Lost);
                return relay_refused(cx, request, refusal, guard).await;
            };
            return Ok(answer);
        }
    }
}

/// Relays a request that this VM can send to no endpoint to one that may: callers do not spread over VMs evenly, while
/// each VM has its share of what all may send.
///
/// # Errors
///
/// The refusal if it may not be relayed or no VM accepted it.
async fn relay_refused(
    cx: &PublishedContext,
    mut request: ActiveRequest,
    refusal: Refusal,
    mut guard: Option<InProgressGuard>,
) -> Result<Response<AnswerBody>, Refusal> {
    let now = cx.shared.clock.now();
    // To the other VM, one that an endpoint has rejected would look as if it may have run.
    let is_sent = request.attempts.is_repeat();
    if is_sent || request.is_relayed || request.trial != Trial::None || cx.shared.reach.is_lost() {
        return Err(refusal);
    }
    let targets = match refusal {
        Refusal::EndpointsAtLimit { .. } => holder_targets(cx, &request, now),
        Refusal::NoEndpoint => other_targets(cx, &request, now),
        _ => return Err(refusal),
    };
    let relayed = relay(cx, &mut request, targets, &mut guard).await;
    if !matches!(relayed, Err(RunState::NotSent)) {
        cx.shared.retry_budgets.retract_first_try(&request.service);
    }
    relayed.map_err(|state| {
        request.record_attempt(state);
        request.refusal(refusal, Refusal::Lost)
    })
}

/// Relays a request to one of these VMs.
///
/// # Errors
///
/// [`RunState`]: how far the request may have run; not sent if no VM accepted it, or if it may not be relayed.
async fn relay(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
    targets: Vec<RelayTarget>,
    guard: &mut Option<InProgressGuard>,
) -> Result<Response<AnswerBody>, RunState> {
    if request.is_relayed || !reserve_retry(cx, request) {
        return Err(RunState::NotSent);
    }
    let relayed = relay_request(cx, request, targets, guard).await;
    if matches!(relayed, Err(RunState::NotSent)) && std::mem::take(&mut request.has_reserved_retry) {
        cx.shared.retry_budgets.refund(&request.service);
    }
    relayed
}

/// Sends a request to the next endpoint; the inner error tells how far the request may have run.
///
/// # Errors
///
/// [`Refusal`] if no further attempt is possible.
pub(super) async fn attempt_next(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
) -> Result<Result<AnsweredAttempt, RunState>, Refusal> {
    let chosen = next_endpoint(cx, request).await?;
    log_send_after_crashes(cx, request, &chosen.endpoint);
    request.tried_endpoints.push(chosen.endpoint.id.clone());
    record_session_version(cx, request, &chosen.endpoint.version, cx.shared.clock.now());
    let answered = send_attempt(cx, request, chosen, None).await;
    if request.attempts.is_repeat() && matches!(answered, Err(RunState::NotSent)) {
        cx.shared.retry_budgets.refund(&request.service);
    }
    Ok(answered)
}

/// Waits until the quarantine admits the request, then chooses the endpoint for the next attempt and charges the
/// retry budget.
///
/// # Errors
///
/// [`Refusal`] if no further attempt is possible.
pub(super) async fn next_endpoint(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
) -> Result<ChosenEndpoint, Refusal> {
    let chosen = choose_and_claim(cx, request).await;
    if std::mem::take(&mut request.has_reserved_retry) && chosen.is_err() {
        cx.shared.retry_budgets.refund(&request.service);
    }
    chosen
}

async fn choose_and_claim(cx: &PublishedContext, request: &mut ActiveRequest) -> Result<ChosenEndpoint, Refusal> {
    loop {
        let claim = quarantine::admit(cx, request).await?;
        let now = cx.shared.clock.now();
        if request.time_left(now) < MIN_ATTEMPT_TIME {
            return Err(request.refusal(Refusal::NoTimeLeft, Refusal::TimedOut));
        }
        check_key(cx, request, now)?;
        request.set_claim_required(claim.is_some());
        let chosen = match choose_endpoint(cx, request, now) {
            Err(refusal) if quarantine::may_wait_for_claims(cx, request, refusal, now) => {
                sleep(CLAIM_POLL_INTERVAL).await;
                continue;
            },
            chosen => chosen?,
        };
        if !reserve_retry(cx, request) {
            return Err(request.refusal(Refusal::NoEndpoint, Refusal::Lost));
        }
        let Some(entry) = claim else { return Ok(chosen) };
        // A claim is used up even if nothing is sent, so the endpoint must be reachable.
        if let Err(state) = prepare_attempt(cx, request, &chosen.endpoint).await {
            if !quarantine::may_wait(request, cx.shared.clock.now()) {
                request.record_attempt(state);
                return Err(request.refusal(Refusal::NoEndpoint, Refusal::Lost));
            }
            sleep(CLAIM_POLL_INTERVAL).await;
        } else if quarantine::claim_send(cx, request, &entry, &chosen.endpoint).await? {
            return Ok(chosen);
        }
    }
}

/// Charges the retry budget for the next attempt if it is a retry. Returns whether the budget permits the attempt.
fn reserve_retry(cx: &PublishedContext, request: &mut ActiveRequest) -> bool {
    if !request.attempts.is_repeat() || request.has_reserved_retry {
        return true;
    }
    request.has_reserved_retry = cx.shared.retry_budgets.try_acquire(&request.service);
    if !request.has_reserved_retry {
        log::info!(
            request = request.id.as_str(),
            service = request.service.as_str();
            "no retry: the retry budget is exhausted"
        );
    }
    request.has_reserved_retry
}

/// Turns the answer of an endpoint into one for the caller.
async fn handle_answer(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
    answered: AnsweredAttempt,
    guard: &mut Option<InProgressGuard>,
) -> AttemptResult {
    let is_stream = matches!(request.route.shape, AnswerShape::Events { .. }) && answered.head.status.is_success();
    if is_stream {
        if let Some(stronger) = escalation_model(cx, request, &answered) {
            return AttemptResult::LowConfidence { stronger };
        }
        return match event_stream::start(cx, request, answered, guard).await {
            Ok(answer) => AttemptResult::Answered { answer, is_failure: false },
            Err(state) => AttemptResult::Failed(state),
        };
    }
    read_whole_answer(cx, request, answered).await
}

/// Returns the stronger model to use instead, if the answering model has low confidence, the load allows another run,
/// and the request may run again.
fn escalation_model(cx: &PublishedContext, request: &ActiveRequest, answered: &AnsweredAttempt) -> Option<ModelId> {
    let stronger =
        model_choice::escalation_model(&request.route.models, request.model.as_deref()?, answered.confidence)?;
    let now = cx.shared.clock.now();
    let situation = EscalationSituation::assess(cx, request, answered.confidence?, stronger, now);
    if let Err(reason) = reserve_escalation(cx, request, &situation) {
        situation.record_kept(request, reason);
        return None;
    }
    let took = now.duration_since(answered.attempt.sent_at).unwrap_or_default();
    record_first_byte_time(cx, request, &answered.attempt, took);
    speeds::record_first_event(cx, request, &answered.attempt, took);
    record_outcome(cx, request, &answered.attempt.endpoint, None);
    record_abandoned_attempt(cx, request, &answered.attempt.endpoint, answered.attempt.sent_at);
    record_success(cx, &answered.attempt.endpoint);
    situation.record_replaced(request, stronger);
    Some(stronger.clone())
}

/// Reserves a run of the stronger model.
///
/// # Errors
///
/// The reason for which the answer is kept.
fn reserve_escalation(
    cx: &PublishedContext,
    request: &ActiveRequest,
    situation: &EscalationSituation,
) -> Result<(), &'static str> {
    let mut attempts = request.attempts.clone();
    attempts.record(RunState::Ran);
    if !attempts.may_try_again() || request.trial != Trial::None {
        return Err("no_attempt_left");
    }
    if let Escalation::Keep(reason) = model_choice::decide_escalation(&situation.input) {
        return Err(reason.name());
    }
    if !cx.shared.retry_budgets.try_acquire_spare(&request.service) {
        return Err("retry_budget");
    }
    Ok(())
}

/// Reads a whole answer; a truncated one counts as a failed attempt.
async fn read_whole_answer(cx: &PublishedContext, request: &ActiveRequest, answered: AnsweredAttempt) -> AttemptResult {
    let AnsweredAttempt { attempt, connection, head, body, in_flight, .. } = answered;
    let endpoint = &attempt.endpoint;
    let left = request.time_left(cx.shared.clock.now()) + DEADLINE_SLACK;
    let first_byte_timer = FirstByteTimer::new(cx, request, &attempt);
    connection.limit_reads(MAX_FRAMED_ANSWER_BYTES);
    // An attempt that gets no room leaves time for another one.
    let read = timeout(left, read_answer(&cx.shared.stream_buffers, body, left / 2)).await;
    first_byte_timer.stop();
    drop(in_flight);
    let now = cx.shared.clock.now();
    let took = now.duration_since(attempt.sent_at).unwrap_or_default();
    let is_framed = is_framed(&head);
    let answer = match read.unwrap_or(Err(AnswerError::BrokenOff)) {
        Ok(answer)
            if is_framed
                || !head.status.is_success()
                || check_unframed_answer(cx, request, endpoint, attempt.sent_at).await =>
        {
            answer
        },
        unread => {
            let error = unread.err().unwrap_or(AnswerError::BrokenOff);
            log_failed_attempt(request, endpoint, &error.to_string());
            record_broken_attempt(cx, request, endpoint, attempt.sent_at);
            if !matches!(error, AnswerError::NoRoom) {
                record_broken_outcome(cx, request, endpoint);
                record_failure(cx, endpoint);
            }
            return AttemptResult::Failed(RunState::MayHaveRun);
        },
    };
    cx.shared.connection_pool.release(&endpoint.id, connection, now);
    let is_failure = head.status.is_server_error();
    let failure = version_failure(head.status);
    if failure.is_none() {
        record_first_byte_time(cx, request, &attempt, took);
    }
    record_outcome(cx, request, endpoint, failure);
    if head.status.is_success() {
        speeds::record_whole_answer(cx, request, &attempt, took);
        if is_framed {
            record_answer(cx, request, &endpoint.version, now);
        }
    }
    if is_failure {
        record_failure(cx, endpoint);
    } else {
        record_success(cx, endpoint);
    }
    // Callers send a request again, whatever its route, once they are told that it did not run.
    if guarantees_not_run(head.status) && !request.attempts.is_repeatable() {
        log_failed_attempt(request, endpoint, &format!("status {} after a run", head.status.as_u16()));
        return AttemptResult::Refused(Refusal::FailedAfterRun);
    }
    log_answered_request(request, endpoint, head.status, now);
    let head = encode_answer_head(cx, head);
    let connection = request.head.extensions.get::<CallerConnection>().cloned().unwrap_or_default();
    let body = answer.into_body(connection, request.time_left(now) + request.route.time_limit);
    AttemptResult::Answered { answer: Response::from_parts(head, body), is_failure }
}

/// Whether the head of an answer tells where it ends; otherwise it ends with its connection, as it also does when its
/// endpoint crashes.
pub(super) fn is_framed(head: &response::Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(TRANSFER_ENCODING)
        || head.status == StatusCode::NO_CONTENT
}
