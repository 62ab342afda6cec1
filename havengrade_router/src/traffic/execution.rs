//! Executes a routed request: claim of the idempotency key, attempts at endpoints, answer and bill.

use std::{
    panic::AssertUnwindSafe,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::FutureExt as _;
use havengrade_core::{
    billing::Bill,
    claim::{ApplyResult, Outcome},
    config::Endpoint,
    cost::TokenUsage,
    evidence::{Tally, TallyKey},
    ids::{EndpointId, Permille, VersionId},
    ledger::LedgerRecord,
    routing::Route,
    session::{self, Session},
};
use hyper::StatusCode;
use rand::RngExt as _;
use tokio::time::timeout;

use crate::{
    platform::RatingRequest,
    services::outbox::SubmitOutcome,
    traffic::{
        ChatRequest, Problem,
        active_request::{ActiveRequest, Consumption, IdempotencyKey},
        chat_api::completion_json,
        engine_stream::{EngineCall, EngineError, PieceSink},
        ledger_client, plain_call,
        quarantine::RequestQuarantine,
        refusal::{ANSWER_LOST, answer_lost, outcome_without_claim, refuse},
        request_table::{AnswerSource, RequestEntry, RequestOutcome},
    },
};

/// Retry delay reported to a caller whose request found no endpoint or no reachable log service.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of a share in thousandths.
const PERMILLE_WHOLE: u32 = 1000;

/// Kind of request to execute.
pub(crate) enum RequestKind {
    /// A chat request.
    Chat(ChatRequest),
    /// A call of a plain service, forwarded as it is.
    Plain {
        /// Content type of the body.
        content_type: String,
        /// Path at the endpoint.
        path: String,
    },
}

/// Why the attempts at a version gave no answer.
pub(crate) enum AttemptError {
    /// The request didn't run there, so the next version may be asked.
    NotRun(Problem),
    /// The request as a whole has ended.
    Ended(RequestOutcome),
}

/// Executes a request within its deadline and publishes its outcome.
pub(crate) async fn execute(request: ActiveRequest, kind: RequestKind) {
    let dispatched = AssertUnwindSafe(dispatch(&request, &kind)).catch_unwind();
    let outcome = match timeout(request.time_left(), dispatched).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_panic)) => {
            metrics::counter!("request_panics").increment(1);
            fail_request(&request, answer_lost()).await
        },
        Err(_) => {
            let detail = "no whole answer came within the deadline of the class";
            fail_request(&request, Problem::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", detail)).await
        },
    };
    log_outcome(&request, &outcome);
    request.entry.complete(outcome);
}

async fn dispatch(request: &ActiveRequest, kind: &RequestKind) -> RequestOutcome {
    match (kind, &request.decision.route) {
        (RequestKind::Chat(chat), Route::Engines { versions }) => run_cascade(request, chat, versions).await,
        (RequestKind::Chat(_), _) => {
            plain_call::call_service(request, "application/json", "/v1/chat/completions").await
        },
        (RequestKind::Plain { content_type, path }, _) => plain_call::call_service(request, content_type, path).await,
    }
}

/// Asks the versions of a cascade in order until one gives an answer that reaches the quality target.
async fn run_cascade(request: &ActiveRequest, chat: &ChatRequest, versions: &[VersionId]) -> RequestOutcome {
    let mut consumption = Consumption::default();
    let mut problem = no_endpoint(None);
    let mut poor_answer = None;
    for (index, version) in versions.iter().enumerate() {
        let is_last = index + 1 == versions.len();
        match try_version(request, chat, version, is_last, &mut consumption).await {
            Ok(answer) => {
                let score = rate_answer(request, chat, version, &answer.content).await;
                let is_poor = score.is_some_and(|score| score < request.decision.quality_target.unwrap_or_default());
                if is_poor && !is_last && request.is_repeatable() {
                    poor_answer = Some((version, answer));
                    continue;
                }
                return finish(request, version, &answer, consumption).await;
            },
            Err(AttemptError::NotRun(reason)) => problem = reason,
            Err(AttemptError::Ended(outcome)) => return outcome,
        }
    }
    match poor_answer {
        // The later versions gave no answer, so the one below the quality target is returned.
        Some((version, answer)) => finish(request, version, &answer, consumption).await,
        None => fail_request(request, problem).await,
    }
}

fn no_endpoint(backoff_left: Option<Duration>) -> Problem {
    let detail = "no endpoint that may answer is there now; come back later";
    let retry_after = backoff_left.unwrap_or(RETRY_DELAY);
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_endpoint", detail).with_retry_after(retry_after)
}

/// Complete answer of a version.
struct VersionAnswer {
    content: String,
    endpoint: EndpointId,
    usage: TokenUsage,
}

/// Collects the pieces of an answer and forwards them to the caller.
struct Collector<'a> {
    entry: &'a RequestEntry,
    /// Source of the answer; `None` if the answer is withheld until its quality has been checked.
    source: Option<AnswerSource>,
    content: String,
}

impl PieceSink for Collector<'_> {
    fn push(&mut self, piece: Arc<str>) {
        let Some(source) = &self.source else {
            self.content.push_str(&piece);
            return;
        };
        if self.content.is_empty() {
            self.entry.set_source(source.clone());
        }
        self.content.push_str(&piece);
        self.entry.push_piece(piece);
    }
}

/// Sends a chat request to endpoints of a version until one answers; the next endpoint continues a partial answer.
async fn try_version(
    request: &ActiveRequest,
    chat: &ChatRequest,
    version: &VersionId,
    is_last: bool,
    consumption: &mut Consumption,
) -> Result<VersionAnswer, AttemptError> {
    let mut tried_endpoints: Vec<EndpointId> = Vec::new();
    let mut problem = no_endpoint(request.backoff_left(Some(version)));
    let quarantine = RequestQuarantine::new(request, Some(version), "");
    let mut collector = Collector { entry: &request.entry, source: None, content: String::new() };
    let mut counted = request.cx.http.begin_answer();
    while let Some(endpoint) = next_endpoint(request, Some(version), &tried_endpoints) {
        tried_endpoints.push(endpoint.id.clone());
        if let Err(refusal) = quarantine.admit().await {
            problem = refusal;
            break;
        }
        ensure_claim(request, &endpoint).await?;
        if !request.may_send(Some(version)) {
            break;
        }
        let passes_through = !request.decision.checks_answers;
        if collector.content.is_empty() {
            collector.source = passes_through.then(|| answer_source(request, version, &endpoint.id));
        }
        let body = chat.for_engine(version, &collector.content);
        let call = EngineCall {
            cx: &request.cx,
            endpoint: &endpoint,
            stream_id: format!("{}.{}", request.entry.id, tried_endpoints.len() - 1),
            priority: request.decision.class.priority,
        };
        let in_flight = request.cx.shared.endpoints.begin_request(&endpoint.id);
        let was_sent = request.mark_sent();
        let sent_at = request.now();
        let has_content = !collector.content.is_empty();
        let may_be_replaced = |has_piece: bool| {
            let may_ask_next_version = !is_last && !has_content && !has_piece;
            request.is_repeatable()
                && (may_ask_next_version || may_try_another(request, Some(version), &tried_endpoints))
        };
        let result = call.run(&body, &mut collector, &mut counted, &may_be_replaced).await;
        drop(in_flight);
        request.record_attempt(&endpoint.id, result.is_ok());
        record_result(request, version, result.is_ok());
        match result {
            Ok(usage) => {
                quarantine.record_answer();
                add_usage(request, version, usage, consumption);
                return Ok(VersionAnswer { content: collector.content, endpoint: endpoint.id, usage });
            },
            Err(EngineError::NotRun(reason)) if collector.content.is_empty() => {
                if !was_sent {
                    request.unmark_sent();
                }
                problem = endpoints_busy(&reason);
            },
            Err(EngineError::NotRun(reason) | EngineError::MayHaveRun(reason)) => {
                quarantine.record_broken_attempt(&endpoint, sent_at).await;
                if !request.is_repeatable() {
                    return Err(AttemptError::Ended(fail_request(request, answer_lost()).await));
                }
                problem = Problem::may_have_run(StatusCode::BAD_GATEWAY, "engine_lost", reason);
            },
        }
    }
    if collector.content.is_empty() {
        return Err(AttemptError::NotRun(problem));
    }
    // A part of the answer has been received, and no endpoint of the version is left to continue it.
    Err(AttemptError::Ended(fail_request(request, problem).await))
}

fn endpoints_busy(reason: &str) -> Problem {
    let detail = format!("no endpoint took the request ({reason}); come back later");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "endpoints_busy", detail).with_retry_after(RETRY_DELAY)
}

/// Chooses the endpoint for the next attempt, if one is eligible and the retry budget allows it.
pub(crate) fn next_endpoint(
    request: &ActiveRequest,
    version: Option<&VersionId>,
    tried_endpoints: &[EndpointId],
) -> Option<Endpoint> {
    let shared = &request.cx.shared;
    if tried_endpoints.is_empty() {
        shared.retry_budget().record_first_try();
    } else if tried_endpoints.len() >= shared.settings.endpoints.max_tries as usize
        || !shared.retry_budget().try_acquire()
    {
        return None;
    }
    request.choose_endpoint(version, tried_endpoints)
}

/// Whether [`next_endpoint`] would find an endpoint for another attempt.
fn may_try_another(request: &ActiveRequest, version: Option<&VersionId>, tried_endpoints: &[EndpointId]) -> bool {
    let shared = &request.cx.shared;
    tried_endpoints.len() < shared.settings.endpoints.max_tries as usize
        && shared.retry_budget().has_retry()
        && request.choose_endpoint(version, tried_endpoints).is_some()
}

/// Claims the request's idempotency key before anything is sent.
///
/// Where the endpoint deduplicates by key, a request that may not be repeated is sent without a claim while the log
/// service is unreachable.
pub(crate) async fn ensure_claim(request: &ActiveRequest, endpoint: &Endpoint) -> Result<(), AttemptError> {
    let Some(idempotency_key) = &request.idempotency_key else { return Ok(()) };
    if request.is_claimed.load(Ordering::Acquire) {
        return Ok(());
    }
    let is_deduplicated = endpoint.deduplicates && !request.is_repeatable();
    let is_log_unreachable = !request.cx.shared.is_log_reachable();
    if is_log_unreachable && is_deduplicated {
        return Ok(());
    }
    if is_log_unreachable {
        let detail = "the log service is away, so nobody could tell whether the request ran; come back later";
        let problem =
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "log_away", detail).with_retry_after(RETRY_DELAY);
        return Err(AttemptError::Ended(refuse(&request.cx, Some(idempotency_key), &request.entry.id, problem).await));
    }
    let record = LedgerRecord::Claim(request.claim(idempotency_key, &endpoint.id));
    match ledger_client::submit(&request.cx, record).await {
        SubmitOutcome::Logged(ApplyResult::Applied) => {
            request.is_claimed.store(true, Ordering::Release);
            Ok(())
        },
        SubmitOutcome::Logged(result) => match outcome_without_claim(&request.cx, idempotency_key, result).await {
            // The first request's answer is lost, but an endpoint that deduplicates knows the key and can repeat it.
            RequestOutcome::Failed(problem) if is_deduplicated && problem.kind == ANSWER_LOST => Ok(()),
            outcome => Err(AttemptError::Ended(outcome)),
        },
        SubmitOutcome::Replicated | SubmitOutcome::Cancelled if is_deduplicated => Ok(()),
        SubmitOutcome::Replicated | SubmitOutcome::Cancelled => {
            let detail = "the log service did not show the claim in time, so the request was not sent; \
                          ask again with the same key";
            let problem = Problem::may_have_run(StatusCode::SERVICE_UNAVAILABLE, "claim_unknown", detail);
            Err(AttemptError::Ended(RequestOutcome::Failed(problem.with_retry_after(RETRY_DELAY))))
        },
    }
}

/// Fails a request that gets no further attempts.
///
/// The record of a request that was claimed or may have been sent is written in the background.
pub(crate) async fn fail_request(request: &ActiveRequest, problem: Problem) -> RequestOutcome {
    let Some(idempotency_key) = &request.idempotency_key else {
        return RequestOutcome::Failed(with_run_state(request, problem));
    };
    let is_claimed = request.is_claimed.load(Ordering::Acquire);
    if !request.may_have_been_sent() && !is_claimed {
        return refuse(&request.cx, Some(idempotency_key), &request.entry.id, problem).await;
    }
    let (key, request_id) = (idempotency_key.claim_key.clone(), request.entry.id.clone());
    if !request.may_have_been_sent() {
        let holder = request.cx.shared.incarnation;
        // The claim in the log proves that only this VM could have sent the request, so "not run" holds even before
        // the record is written.
        ledger_client::submit_detached(
            &request.cx,
            LedgerRecord::Void { key, up_to: idempotency_key.attempt(), holder, request_id },
        );
        return RequestOutcome::Failed(problem);
    }
    let bill = request.bill(None, "", Consumption::default());
    ledger_client::submit_detached(&request.cx, outcome_record(request, idempotency_key, Outcome::MayHaveRun, bill));
    RequestOutcome::Failed(with_run_state(request, problem))
}

/// Marks a problem as "may have run" if the request may have reached an endpoint.
fn with_run_state(request: &ActiveRequest, problem: Problem) -> Problem {
    if request.may_have_been_sent() {
        return Problem { run_state: crate::traffic::RunState::MayHaveRun, ..problem };
    }
    problem
}

/// Adds the tokens that a version used, and their cost.
fn add_usage(request: &ActiveRequest, version: &VersionId, usage: TokenUsage, consumption: &mut Consumption) {
    let catalog = request.cx.shared.catalog.load();
    consumption.usage = consumption.usage.plus(&usage);
    consumption.cost += catalog.config.versions.get(version).map_or(0, |version| usage.cost(version));
}

fn answer_source(request: &ActiveRequest, version: &VersionId, endpoint: &EndpointId) -> AnswerSource {
    let session = if request.decision.class.pins_sessions && !request.decision.has_session_affinity {
        new_session(request, version)
    } else {
        None
    };
    AnswerSource { version: Some(version.clone()), endpoint: endpoint.clone(), session }
}

fn new_session(request: &ActiveRequest, version: &VersionId) -> Option<String> {
    let catalog = request.cx.shared.catalog.load();
    let key = catalog.config.signing_key()?;
    let ends = request.now() + Duration::from_secs(request.decision.class.session_s);
    let session = Session {
        id: request.entry.id.clone(),
        account: request.entry.account.clone(),
        class: request.decision.class.id.clone(),
        version: version.clone(),
        ends: ends.duration_since(std::time::SystemTime::UNIX_EPOCH).unwrap_or_default(),
    };
    Some(session::sign(&session, key))
}

/// Bills the answer, and returns its outcome only once the bill is stored or held by peers, so that no answer
/// is reported complete to the caller before that.
async fn finish(
    request: &ActiveRequest,
    version: &VersionId,
    answer: &VersionAnswer,
    consumption: Consumption,
) -> RequestOutcome {
    let passes_through = !request.decision.checks_answers;
    if !passes_through {
        request.entry.set_source(answer_source(request, version, &answer.endpoint));
        request.entry.push_piece(Arc::from(answer.content.as_str()));
    }
    let body = completion_json(&request.entry.id, version, &answer.content, &answer.usage, request.now()).to_string();
    let outcome =
        RequestOutcome::Answered { status: 200, content_type: "application/json".to_owned(), body: body.into() };
    settle(request, request.bill(Some(version), &answer.endpoint, consumption), &outcome).await;
    outcome
}

/// Stores the bill, and for a request with an idempotency key its outcome, where they outlive this VM.
pub(crate) async fn settle(request: &ActiveRequest, bill: Bill, outcome: &RequestOutcome) {
    let Some(idempotency_key) = &request.idempotency_key else {
        ledger_client::submit(&request.cx, LedgerRecord::Bill(bill)).await;
        return;
    };
    let claim_outcome = to_claim_outcome(request, outcome);
    ledger_client::submit(&request.cx, outcome_record(request, idempotency_key, claim_outcome, bill)).await;
}

/// Returns the ledger record of an outcome: it settles the request's claim, or reports a run without a claim.
fn outcome_record(
    request: &ActiveRequest,
    idempotency_key: &IdempotencyKey,
    outcome: Outcome,
    bill: Bill,
) -> LedgerRecord {
    if request.is_claimed.load(Ordering::Acquire) {
        let (key, request_id) = (idempotency_key.claim_key.clone(), request.entry.id.clone());
        return LedgerRecord::Settle { key, request_id, outcome, bill: Some(bill) };
    }
    LedgerRecord::Ran { claim: request.claim(idempotency_key, &bill.endpoint), outcome, bill }
}

/// Converts an outcome to the form that the ledger stores.
fn to_claim_outcome(request: &ActiveRequest, outcome: &RequestOutcome) -> Outcome {
    let RequestOutcome::Answered { status, content_type, body } = outcome else { return Outcome::MayHaveRun };
    if body.len() <= request.cx.shared.settings.limits.max_stored_answer_bytes
        && let Ok(body) = String::from_utf8(body.to_vec())
    {
        return Outcome::Answered { status: *status, content_type: content_type.clone(), body };
    }
    let detail = "the request ran, but its answer was too long, or no text, and is not kept";
    let problem = Problem::may_have_run(StatusCode::GONE, "answer_not_kept", detail).with_request_id(&request.entry.id);
    let body = String::from_utf8(problem.to_json().to_vec()).unwrap_or_default();
    Outcome::Answered { status: problem.status, content_type: super::problem::PROBLEM_JSON.to_owned(), body }
}

/// Records in the evidence whether an attempt at a version succeeded.
fn record_result(request: &ActiveRequest, version: &VersionId, succeeded: bool) {
    let key = TallyKey { class: request.decision.class.id.clone(), version: version.clone() };
    let tally = Tally { ended: 1, failed: u64::from(!succeeded), ..Tally::default() };
    request.cx.shared.record_evidence(key, tally);
}

/// Has an answer rated: at once where the score decides about escalation, otherwise in the background for a sample of
/// the answers.
async fn rate_answer(
    request: &ActiveRequest,
    chat: &ChatRequest,
    version: &VersionId,
    answer: &str,
) -> Option<Permille> {
    let rating = request.cx.rating.clone()?;
    let key = TallyKey { class: request.decision.class.id.clone(), version: version.clone() };
    let rating_request = RatingRequest {
        class: key.class.clone(),
        version: version.clone(),
        prompt: chat.prompt(),
        answer: answer.to_owned(),
    };
    let shared = request.cx.shared.clone();
    let target = request.decision.quality_target.unwrap_or_default();
    let rate = async move {
        let score = rating.rate(&rating_request).await.ok()?;
        let tally = Tally { rated: 1, score: u64::from(score), passed: u64::from(score >= target), ..Tally::default() };
        shared.record_evidence(key, tally);
        Some(score)
    };
    if request.decision.checks_answers {
        return rate.await;
    }
    let draw = request.cx.shared.rng().random_range(0..PERMILLE_WHOLE);
    if draw < request.cx.shared.settings.rating.sample {
        request.cx.spawn(async move {
            rate.await;
        });
    }
    None
}

fn log_outcome(request: &ActiveRequest, outcome: &RequestOutcome) {
    let source = request.entry.source().unwrap_or_default();
    let (label, status) = match outcome {
        RequestOutcome::Answered { status, .. } => ("answered", *status),
        RequestOutcome::Failed(problem) => (problem.kind.as_str(), problem.status),
        RequestOutcome::PendingElsewhere(_) => ("pending_elsewhere", StatusCode::ACCEPTED.as_u16()),
    };
    let elapsed = request.now().duration_since(request.received_at).unwrap_or_default();
    let class = request.decision.class.id.clone();
    metrics::counter!("havengrade_requests", "vm" => request.cx.shared.vm().clone(), "class" => class.clone(),
        "outcome" => label.to_owned())
    .increment(1);
    metrics::histogram!("havengrade_request_seconds", "vm" => request.cx.shared.vm().clone(), "class" => class.clone())
        .record(elapsed.as_secs_f64());
    log::info!(
        request_id = request.entry.id.as_str(), account = request.entry.account.as_str(), class = class.as_str(),
        version = source.version.unwrap_or_default().as_str(), endpoint = source.endpoint.as_str(),
        revision = request.cx.shared.catalog.load().config.revision.unwrap_or_default(), status = status,
        millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        "request {label}"
    );
}
