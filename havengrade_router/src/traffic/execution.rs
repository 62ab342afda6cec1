//! Carrying out a decided request, from its claim to its bill.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

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
        active_request::{Job, Keyed, Spent},
        chat_api::completion,
        engine_stream::{EngineCall, EngineError, PieceSink},
        ledger_client, plain_call,
        quarantine::Watched,
        refusal::{ANSWER_LOST, lost_answer, refuse, unclaimed},
        request_table::{End, Head, RequestEntry},
    },
};

/// Time after which a request that found no endpoint may find one.
const COME_BACK: Duration = Duration::from_secs(1);
/// Thousandths in a whole.
const WHOLE: u32 = 1000;

/// What is to be carried out.
pub(crate) enum Work {
    /// A chat.
    Chat(ChatRequest),
    /// A call of a plain service.
    Plain {
        /// Content type of the body.
        content_type: String,
        /// Path at the endpoint.
        path: String,
    },
}

/// Why a request got no answer from a version.
pub(crate) enum Stop {
    /// It was not run there; the next version may be tried.
    NotRun(Problem),
    /// It has ended.
    Ended(End),
}

/// Carries out a request within its deadline and ends it.
pub(crate) async fn run(job: Job, work: Work) {
    let end = match timeout(job.time_left(), carry_out(&job, &work)).await {
        Ok(end) => end,
        Err(_) => {
            let detail = "no whole answer came within the deadline of the class";
            give_up(&job, Problem::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", detail)).await
        },
    };
    log_end(&job, &end);
    job.entry.end(end);
    job.cx.shared.requests.finish(&job.entry.id);
    job.cx.shared.admission().release(&job.entry.account);
}

async fn carry_out(job: &Job, work: &Work) -> End {
    match (work, &job.decision.route) {
        (Work::Chat(chat), Route::Engines { versions }) => climb(job, chat, versions).await,
        (Work::Chat(_), _) => plain_call::call(job, "application/json", "/v1/chat/completions").await,
        (Work::Plain { content_type, path }, _) => plain_call::call(job, content_type, path).await,
    }
}

/// Tries the versions in order until one gives an answer that is good enough.
async fn climb(job: &Job, chat: &ChatRequest, ladder: &[VersionId]) -> End {
    let mut spent = Spent::default();
    let mut problem = no_endpoint(None);
    let mut poor = None;
    for (index, version) in ladder.iter().enumerate() {
        let is_last = index + 1 == ladder.len();
        match try_version(job, chat, version, &mut spent).await {
            Ok(answer) => {
                let score = check(job, chat, version, &answer.content).await;
                let is_poor = score.is_some_and(|score| score < job.decision.quality_target.unwrap_or_default());
                if is_poor && !is_last && job.is_repeatable() {
                    poor = Some((version, answer));
                    continue;
                }
                return finish(job, version, &answer, spent).await;
            },
            Err(Stop::NotRun(reason)) => problem = reason,
            Err(Stop::Ended(end)) => return end,
        }
    }
    match poor {
        // A poor answer is worth more than none.
        Some((version, answer)) => finish(job, version, &answer, spent).await,
        None => give_up(job, problem).await,
    }
}

fn no_endpoint(rest: Option<Duration>) -> Problem {
    let detail = "no endpoint that may answer is there now; come back later";
    let back_after = rest.unwrap_or(COME_BACK);
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_endpoint", detail).with_retry_after(back_after)
}

/// A whole answer of a version.
struct VersionAnswer {
    content: String,
    endpoint: EndpointId,
    usage: TokenUsage,
}

/// Passes pieces on to the caller and collects them.
struct Collector<'a> {
    entry: &'a RequestEntry,
    /// Where the answer comes from; none where it is only passed on once it has been checked.
    head: Option<Head>,
    content: String,
}

impl PieceSink for Collector<'_> {
    fn take(&mut self, piece: Arc<str>) {
        let Some(head) = &self.head else {
            self.content.push_str(&piece);
            return;
        };
        if self.content.is_empty() {
            self.entry.begin(head.clone());
        }
        self.content.push_str(&piece);
        self.entry.push(piece);
    }
}

async fn try_version(
    job: &Job,
    chat: &ChatRequest,
    version: &VersionId,
    spent: &mut Spent,
) -> Result<VersionAnswer, Stop> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut problem = no_endpoint(job.rest_left(Some(version)));
    let watched = Watched::new(job, Some(version), "");
    let mut collector = Collector { entry: &job.entry, head: None, content: String::new() };
    while let Some(endpoint) = next_endpoint(job, Some(version), &tried) {
        if let Err(held) = watched.admit().await {
            problem = held;
            break;
        }
        claim(job, &endpoint).await?;
        if !job.may_send(Some(version)) {
            break;
        }
        let is_shown = !job.decision.checks_answers;
        if collector.content.is_empty() {
            collector.head = is_shown.then(|| head(job, version, &endpoint.id));
        }
        let body = chat.for_engine(version, &collector.content);
        let call = EngineCall {
            cx: &job.cx,
            endpoint: &endpoint,
            stream_id: format!("{}.{}", job.entry.id, tried.len()),
            priority: job.decision.class.priority,
        };
        let in_flight = job.cx.shared.endpoints.enter(&endpoint.id);
        let was_sent = job.mark_sent();
        let sent = job.now();
        let result = call.run(&body, &mut collector).await;
        drop(in_flight);
        job.note_try(&endpoint.id, result.is_ok());
        note_end(job, version, result.is_ok());
        match result {
            Ok(usage) => {
                watched.note_answered();
                spend(job, version, usage, spent);
                return Ok(VersionAnswer { content: collector.content, endpoint: endpoint.id, usage });
            },
            Err(EngineError::NotRun(reason)) if collector.content.is_empty() => {
                if !was_sent {
                    job.unmark_sent();
                }
                problem = refused(&reason);
            },
            Err(EngineError::NotRun(reason) | EngineError::Broken(reason)) => {
                watched.note_broken(&endpoint, sent).await;
                if !job.is_repeatable() {
                    return Err(Stop::Ended(give_up(job, lost_answer()).await));
                }
                problem = Problem::may_have_run(StatusCode::BAD_GATEWAY, "engine_lost", reason);
            },
        }
        tried.push(endpoint.id);
    }
    if collector.content.is_empty() {
        return Err(Stop::NotRun(problem));
    }
    // A part of the answer is out, and no other endpoint can go on with it.
    Err(Stop::Ended(give_up(job, problem).await))
}

fn refused(reason: &str) -> Problem {
    let detail = format!("no endpoint took the request ({reason}); come back later");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "endpoints_busy", detail).with_retry_after(COME_BACK)
}

/// The endpoint for the next try, if there is one and the budget for retries has room.
pub(crate) fn next_endpoint(job: &Job, version: Option<&VersionId>, tried: &[EndpointId]) -> Option<Endpoint> {
    let shared = &job.cx.shared;
    if tried.is_empty() {
        shared.retries().record_first_try();
    } else if tried.len() >= shared.settings.endpoints.max_tries as usize || !shared.retries().try_acquire() {
        return None;
    }
    job.choose(version, tried)
}

/// Makes sure that the request holds its key before anything is sent.
pub(crate) async fn claim(job: &Job, endpoint: &Endpoint) -> Result<(), Stop> {
    let Some(keyed) = &job.keyed else { return Ok(()) };
    if job.is_claimed.load(Ordering::Acquire) {
        return Ok(());
    }
    let recognises = endpoint.deduplicates && !job.is_repeatable();
    let is_log_away = !job.cx.shared.is_log_reachable();
    if is_log_away && recognises {
        return Ok(());
    }
    if is_log_away {
        let detail = "the log service is away, so nobody could tell whether the request ran; come back later";
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "log_away", detail).with_retry_after(COME_BACK);
        return Err(Stop::Ended(refuse(&job.cx, Some(keyed), &job.entry.id, problem).await));
    }
    let record = LedgerRecord::Claim(job.claim(keyed, &endpoint.id));
    match ledger_client::submit(&job.cx, record).await {
        SubmitOutcome::Logged(ApplyResult::Applied) => {
            job.is_claimed.store(true, Ordering::Release);
            Ok(())
        },
        SubmitOutcome::Logged(verdict) => match unclaimed(&job.cx, keyed, verdict).await {
            // The first request's answer is lost, but the endpoint knows the key and can tell.
            End::Failed(problem) if recognises && problem.kind == ANSWER_LOST => Ok(()),
            end => Err(Stop::Ended(end)),
        },
        SubmitOutcome::Replicated | SubmitOutcome::Cancelled if recognises => Ok(()),
        SubmitOutcome::Replicated | SubmitOutcome::Cancelled => {
            let detail = "the log service did not show the claim in time, so the request was not sent; \
                          ask again with the same key";
            let problem = Problem::may_have_run(StatusCode::SERVICE_UNAVAILABLE, "claim_unknown", detail);
            Err(Stop::Ended(End::Failed(problem.with_retry_after(COME_BACK))))
        },
    }
}

/// The end of a request that this VM no longer tries, given at once.
pub(crate) async fn give_up(job: &Job, problem: Problem) -> End {
    let Some(keyed) = &job.keyed else {
        return End::Failed(after_send(job, problem));
    };
    let is_claimed = job.is_claimed.load(Ordering::Acquire);
    if !job.may_have_been_sent() && !is_claimed {
        return refuse(&job.cx, Some(keyed), &job.entry.id, problem).await;
    }
    let (key, request_id) = (keyed.key.clone(), job.entry.id.clone());
    if !job.may_have_been_sent() {
        let holder = job.cx.shared.incarnation;
        // The log shows that only we could have sent it, so "not run" holds before this is written.
        ledger_client::submit_detached(&job.cx, LedgerRecord::Void { key, up_to: keyed.attempt(), holder, request_id });
        return End::Failed(problem);
    }
    let bill = job.bill(None, "", Spent::default());
    ledger_client::submit_detached(&job.cx, outcome_record(job, keyed, Outcome::MayHaveRun, bill));
    End::Failed(after_send(job, problem))
}

fn after_send(job: &Job, problem: Problem) -> Problem {
    if job.may_have_been_sent() {
        return Problem { run_state: crate::traffic::RunState::MayHaveRun, ..problem };
    }
    problem
}

fn spend(job: &Job, version: &VersionId, usage: TokenUsage, spent: &mut Spent) {
    let catalog = job.cx.shared.catalog.load();
    spent.usage = spent.usage.plus(&usage);
    spent.cost += catalog.config.versions.get(version).map_or(0, |version| usage.cost(version));
}

fn head(job: &Job, version: &VersionId, endpoint: &EndpointId) -> Head {
    let session = if job.decision.class.pins_sessions && !job.decision.has_session_affinity {
        new_session(job, version)
    } else {
        None
    };
    Head { version: Some(version.clone()), endpoint: endpoint.clone(), session }
}

fn new_session(job: &Job, version: &VersionId) -> Option<String> {
    let catalog = job.cx.shared.catalog.load();
    let key = catalog.config.signing_key()?;
    let ends = job.now() + Duration::from_secs(job.decision.class.session_s);
    let session = Session {
        id: job.entry.id.clone(),
        account: job.entry.account.clone(),
        class: job.decision.class.id.clone(),
        version: version.clone(),
        ends: ends.duration_since(std::time::SystemTime::UNIX_EPOCH).unwrap_or_default(),
    };
    Some(session::sign(&session, key))
}

/// Bills the answer, and tells the caller that it is whole once the bill is safe.
async fn finish(job: &Job, version: &VersionId, answer: &VersionAnswer, spent: Spent) -> End {
    let is_shown = !job.decision.checks_answers;
    if !is_shown {
        job.entry.begin(head(job, version, &answer.endpoint));
        job.entry.push(Arc::from(answer.content.as_str()));
    }
    let body = completion(&job.entry.id, version, &answer.content, &answer.usage, job.now()).to_string();
    let end = End::Answered { status: 200, content_type: "application/json".to_owned(), body: body.into() };
    settle(job, job.bill(Some(version), &answer.endpoint, spent), &end).await;
    end
}

/// Puts the bill, and for a request with a key its outcome, where they outlive this VM.
pub(crate) async fn settle(job: &Job, bill: Bill, end: &End) {
    let Some(keyed) = &job.keyed else {
        ledger_client::submit(&job.cx, LedgerRecord::Bill(bill)).await;
        return;
    };
    let outcome = to_outcome(job, end);
    ledger_client::submit(&job.cx, outcome_record(job, keyed, outcome, bill)).await;
}

/// The record of an outcome: of the claim that the request holds, or of a run without one.
fn outcome_record(job: &Job, keyed: &Keyed, outcome: Outcome, bill: Bill) -> LedgerRecord {
    if job.is_claimed.load(Ordering::Acquire) {
        let (key, request_id) = (keyed.key.clone(), job.entry.id.clone());
        return LedgerRecord::Settle { key, request_id, outcome, bill: Some(bill) };
    }
    LedgerRecord::Ran { claim: job.claim(keyed, &bill.endpoint), outcome, bill }
}

fn to_outcome(job: &Job, end: &End) -> Outcome {
    let End::Answered { status, content_type, body } = end else { return Outcome::MayHaveRun };
    if body.len() <= job.cx.shared.settings.limits.max_stored_answer_bytes
        && let Ok(body) = String::from_utf8(body.to_vec())
    {
        return Outcome::Answered { status: *status, content_type: content_type.clone(), body };
    }
    let detail = "the request ran, but its answer was too long, or no text, and is not kept";
    let problem = Problem::may_have_run(StatusCode::GONE, "answer_not_kept", detail).with_request_id(&job.entry.id);
    let body = String::from_utf8(problem.to_json().to_vec()).unwrap_or_default();
    Outcome::Answered { status: problem.status, content_type: super::problem::PROBLEM_JSON.to_owned(), body }
}

fn note_end(job: &Job, version: &VersionId, succeeded: bool) {
    let subject = TallyKey { class: job.decision.class.id.clone(), version: version.clone() };
    let tally = Tally { ended: 1, failed: u64::from(!succeeded), ..Tally::default() };
    job.cx.shared.note_evidence(subject, tally);
}

/// Has an answer rated: now, where it decides whether to go on, else later and only a share of them.
async fn check(job: &Job, chat: &ChatRequest, version: &VersionId, answer: &str) -> Option<Permille> {
    let rating = job.cx.rating.clone()?;
    let subject = TallyKey { class: job.decision.class.id.clone(), version: version.clone() };
    let request = RatingRequest {
        class: subject.class.clone(),
        version: version.clone(),
        prompt: chat.prompt(),
        answer: answer.to_owned(),
    };
    let shared = job.cx.shared.clone();
    let target = job.decision.quality_target.unwrap_or_default();
    let rate = async move {
        let score = rating.rate(&request).await.ok()?;
        let tally = Tally { rated: 1, score: u64::from(score), passed: u64::from(score >= target), ..Tally::default() };
        shared.note_evidence(subject, tally);
        Some(score)
    };
    if job.decision.checks_answers {
        return rate.await;
    }
    let draw = job.cx.shared.rng().random_range(0..WHOLE);
    if draw < job.cx.shared.settings.rating.sample {
        job.cx.spawn(async move {
            rate.await;
        });
    }
    None
}

fn log_end(job: &Job, end: &End) {
    let head = job.entry.head().unwrap_or_default();
    let (outcome, status) = match end {
        End::Answered { status, .. } => ("answered", *status),
        End::Failed(problem) => (problem.kind.as_str(), problem.status),
        End::PendingElsewhere(_) => ("pending_elsewhere", StatusCode::ACCEPTED.as_u16()),
    };
    let elapsed = job.now().duration_since(job.arrived).unwrap_or_default();
    let class = job.decision.class.id.clone();
    metrics::counter!("havengrade_requests", "vm" => job.cx.shared.vm().clone(), "class" => class.clone(),
        "outcome" => outcome.to_owned())
    .increment(1);
    metrics::histogram!("havengrade_request_seconds", "vm" => job.cx.shared.vm().clone(), "class" => class.clone())
        .record(elapsed.as_secs_f64());
    log::info!(
        request_id = job.entry.id.as_str(), account = job.entry.account.as_str(), class = class.as_str(),
        version = head.version.unwrap_or_default().as_str(), endpoint = head.endpoint.as_str(),
        revision = job.cx.shared.catalog.load().config.revision.unwrap_or_default(), status = status,
        millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        "request {outcome}"
    );
}
