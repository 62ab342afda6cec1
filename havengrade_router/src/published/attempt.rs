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
        endpoint_choice::{ChosenEndpoint, work_at},
        outcomes::{Awaited, note_broken},
        ports::AnswerHead,
        quarantine::record_broken_attempt,
        rewrite::encode,
        signals,
    },
    quarantine::format_fingerprint,
};

/// Time for which a kept connection may have rested before a request that must not be repeated; a longer
/// rest makes it likelier that the endpoint closes it just then.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(600);
/// Time for which a kept connection may have rested before a request that may be repeated.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Time beyond a route's limit by which an endpoint may end its own work before we end it.
pub(super) const LIMIT_SLACK: Duration = Duration::from_millis(30);
/// Failures in a row after which an endpoint is passed over.
const EJECT_AFTER: u32 = 2;
/// Time for which it is passed over.
const EJECT_FOR: Duration = Duration::from_secs(2);

/// A try at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// The endpoint.
    pub(super) endpoint: ListedEndpoint,
    /// How busy it was.
    pub(super) load: Load,
    /// When the request was sent.
    pub(super) sent: SystemTime,
}

/// A try at an endpoint that got the head of an answer.
pub(super) struct AnsweredAttempt {
    /// The try.
    pub(super) made: Attempt,
    /// The connection; dropping it ends the work on it.
    pub(super) channel: EndpointConnection,
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
pub(super) async fn open(
    cx: &PublishedContext,
    job: &ActiveRequest,
    chosen: ChosenEndpoint,
    resume_after: Option<&str>,
) -> Result<AnsweredAttempt, RunState> {
    let endpoint = &chosen.endpoint;
    let in_flight = cx.shared.endpoint_states.enter_with(&endpoint.id, chosen.tokens);
    let begun = cx.shared.clock.now();
    let max_idle = if job.attempts.is_repeatable() { MAX_IDLE } else { MAX_IDLE_ONCE };
    let (mut channel, response, mut made) = match exchange(cx, job, &chosen, resume_after, max_idle).await {
        // A kept connection may have ended just before; whether the endpoint lives, a new one tells.
        Err(ConnectionError::NotSent { .. }) => exchange(cx, job, &chosen, resume_after, Duration::ZERO).await,
        exchanged => exchanged,
    }
    .map_err(|error| failed(cx, job, endpoint, begun, &error))?;
    let (head, body) = response.into_parts();
    let facts = cx.shared.dialect.decode_answer(head.status, &head.headers);
    if let Some(keep) = facts.keep_alive {
        channel.set_idle_timeout(keep);
    }
    signals::record_answer_signals(cx, job, endpoint, head.status, &facts);
    if let Some(load) = facts.load {
        // A VM that has just started does not know what the others sent there.
        made.load = made.load.max(Load::of(load.running + load.waiting, endpoint.slots));
    }
    check(cx, job, endpoint, head.status, &facts)?;
    Ok(AnsweredAttempt { made, channel, head, body, in_flight, confidence: facts.confidence })
}

/// Sends a request over a connection that rested for less than `max_idle`, or a new one.
async fn exchange(
    cx: &PublishedContext,
    job: &ActiveRequest,
    ChosenEndpoint { endpoint, load, .. }: &ChosenEndpoint,
    resume_after: Option<&str>,
    max_idle: Duration,
) -> Result<(EndpointConnection, Response<Incoming>, Attempt), ConnectionError> {
    let now = cx.shared.clock.now();
    let mut channel = cx.shared.connection_pool.acquire(&endpoint.id, endpoint.address, max_idle, now).await?;
    let sent = cx.shared.clock.now();
    let request = encode(cx, job, endpoint, resume_after, sent);
    let made = Attempt { endpoint: endpoint.clone(), load: *load, sent };
    let awaited = Awaited::new(cx, job, &made);
    let Ok(response) = timeout(job.patience(sent) + LIMIT_SLACK, channel.send(request)).await else {
        return Err(ConnectionError::NoAnswer);
    };
    awaited.end();
    Ok((channel, response?, made))
}

/// Tells an answer that can be used from one that can't.
fn check(
    cx: &PublishedContext,
    job: &ActiveRequest,
    endpoint: &ListedEndpoint,
    status: StatusCode,
    facts: &AnswerHead,
) -> Result<(), RunState> {
    let is_other = facts.request.as_ref().is_some_and(|id| *id != job.id);
    if is_other {
        log_try(job, endpoint, "the answer belongs to another request");
        note_broken(cx, job, endpoint);
        return Err(RunState::MayHaveRun);
    }
    if facts.run.is_surely_not_run() {
        log_try(job, endpoint, if status == StatusCode::MISDIRECTED_REQUEST { "not the endpoint" } else { "full" });
        if status == StatusCode::MISDIRECTED_REQUEST {
            fail(cx, endpoint);
        } else if looks_free(cx, endpoint, facts)
            && let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id)
        {
            slot.reject(cx.shared.clock.now());
        }
        return Err(RunState::NotRun);
    }
    if !facts.is_authentic {
        log_try(job, endpoint, "the answer has no id or no signature");
        note_broken(cx, job, endpoint);
        return Err(RunState::MayHaveRun);
    }
    Ok(())
}

/// Whether an endpoint that turned a request away has room for it, by its own word or as far as is known.
///
/// One that is full looks full, and takes requests again as soon as some of its own have ended.
fn looks_free(cx: &PublishedContext, endpoint: &ListedEndpoint, facts: &AnswerHead) -> bool {
    let told = facts.load.map(|load| load.running + load.waiting);
    let requests = told.unwrap_or_else(|| work_at(cx, endpoint).requests);
    requests < endpoint.slots
}

/// Notes a failure of the connection; tells how far the request got.
fn failed(
    cx: &PublishedContext,
    job: &ActiveRequest,
    endpoint: &ListedEndpoint,
    begun: SystemTime,
    error: &ConnectionError,
) -> RunState {
    log_try(job, endpoint, &error.to_string());
    let state = run_state(error);
    if matches!(error, ConnectionError::Lost { .. }) {
        note_broken(cx, job, endpoint);
    }
    if state == RunState::MayHaveRun {
        record_broken_attempt(cx, job, endpoint, begun);
    }
    // One refused connection says more than a failed answer does.
    fail_after(cx, endpoint, if state == RunState::NotSent { 1 } else { EJECT_AFTER });
    state
}

fn run_state(error: &ConnectionError) -> RunState {
    match error {
        ConnectionError::NotSent { .. } => RunState::NotSent,
        ConnectionError::Lost { .. } | ConnectionError::NoAnswer => RunState::MayHaveRun,
    }
}

pub(super) fn fail(cx: &PublishedContext, endpoint: &ListedEndpoint) {
    fail_after(cx, endpoint, EJECT_AFTER);
}

/// Notes a failure; after so many in a row the endpoint is passed over for a time.
fn fail_after(cx: &PublishedContext, endpoint: &ListedEndpoint, failures: u32) {
    if let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id) {
        slot.fail(failures, EJECT_FOR, cx.shared.clock.now());
    }
}

pub(super) fn log_try(job: &ActiveRequest, endpoint: &ListedEndpoint, outcome: &str) {
    log::info!(
        request = job.id.as_str(),
        endpoint = endpoint.id.as_str(),
        version = endpoint.version.as_str(),
        mark = format_fingerprint(job.fingerprint()).as_str(),
        tries = job.tried.len();
        "try failed: {outcome}"
    );
}
