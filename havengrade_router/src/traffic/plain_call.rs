//! Calls of plain services and of the scripts: passed on whole, answered whole.

use std::time::Duration;

use bytes::Bytes;
use havengrade_core::{
    config::Endpoint,
    endpoint_selection::{self, EndpointStates as _},
    ids::EndpointId,
    routing::Route,
};
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::time::sleep;

use crate::{
    http::{Answer, HttpError, Reuse, post},
    traffic::{
        Problem,
        active_request::{Job, Spent},
        backoff::note_rest,
        caller_headers::{IDEMPOTENCY_KEY, REQUEST_ID},
        execution::{Stop, claim, give_up, next_endpoint, settle},
        quarantine::Watched,
        refusal::lost_answer,
        request_table::{End, Head},
    },
};

/// Tries at the endpoint that alone recognises a key.
const MAX_SAME_TRIES: usize = 3;
/// Time between two of them.
const SAME_TRY_PAUSE: Duration = Duration::from_millis(100);
/// Largest answer that is passed on, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Calls an endpoint of the request's service, or its scripts.
pub(crate) async fn call(job: &Job, content_type: &str, path: &str) -> End {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut problem = unavailable("no endpoint of the service is there now");
    if let Some(rest) = job.rest_left(None) {
        problem = problem.with_retry_after(rest);
    }
    let watched = Watched::new(job, None, path);
    while let Some(endpoint) = next(job, &tried).await {
        if let Err(held) = watched.admit().await {
            problem = held;
            break;
        }
        if let Err(Stop::Ended(end)) = claim(job, &endpoint).await {
            return end;
        }
        if !job.may_send(None) {
            break;
        }
        let in_flight = job.cx.shared.endpoints.enter(&endpoint.id);
        let sent = job.now();
        let result = send(job, &endpoint, content_type, path).await;
        drop(in_flight);
        if let Ok(answer) = &result {
            let status = StatusCode::from_u16(answer.status).unwrap_or_default();
            note_rest(&job.cx, &endpoint.id, status, &answer.headers);
        }
        job.note_try(&endpoint.id, result.is_ok());
        match result {
            Ok(answer) if (200..300).contains(&answer.status) => {
                watched.note_answered();
                return finish(job, &endpoint, answer).await;
            },
            Ok(answer) => return finish(job, &endpoint, answer).await,
            Err(error) if error.surely_not_sent() => problem = unavailable(&error.to_string()),
            Err(error) => {
                watched.note_broken(&endpoint, sent).await;
                if !job.is_repeatable() && !endpoint.deduplicates {
                    return give_up(job, lost_answer()).await;
                }
                problem = Problem::may_have_run(StatusCode::BAD_GATEWAY, "service_lost", error.to_string());
            },
        }
        tried.push(endpoint.id);
    }
    give_up(job, problem).await
}

fn unavailable(reason: &str) -> Problem {
    /// Time after which the service may be there again.
    const COME_BACK: Duration = Duration::from_secs(1);
    let detail = format!("{reason}; come back later");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "service_unavailable", detail).with_retry_after(COME_BACK)
}

/// The endpoint for the next try.
///
/// A request that may not be repeated, at a service whose endpoints recognise keys, always goes to the
/// same endpoint: that one alone knows whether the key ran there.
async fn next(job: &Job, tried: &[EndpointId]) -> Option<Endpoint> {
    let Some(home) = home(job) else { return next_endpoint(job, None, tried) };
    if tried.len() >= MAX_SAME_TRIES {
        return None;
    }
    if !tried.is_empty() {
        sleep(SAME_TRY_PAUSE).await;
    }
    let wants_rest = job.cx.shared.endpoints.state(&home.id).backoff_left(job.now()).is_some();
    (!wants_rest).then_some(home)
}

/// The endpoint that recognises the request's key: the same from any VM as long as the configuration is.
fn home(job: &Job) -> Option<Endpoint> {
    let keyed = job.keyed.as_ref().filter(|_| !job.is_repeatable())?;
    let Route::Service { service } = &job.decision.route else { return None };
    let catalog = job.cx.shared.catalog.load();
    endpoint_selection::endpoint_for_key(&catalog, catalog.endpoints_of(service), &keyed.key.key).cloned()
}

async fn send(job: &Job, endpoint: &Endpoint, content_type: &str, path: &str) -> Result<Answer, HttpError> {
    let reuse = if job.is_repeatable() { Reuse::Allowed } else { Reuse::Never };
    let request = to_endpoint(job, endpoint, content_type, path);
    let was_sent = job.mark_sent();
    let result = job.cx.http.call(endpoint.address, request, reuse, job.time_left(), MAX_ANSWER).await;
    if !was_sent && result.as_ref().is_err_and(HttpError::surely_not_sent) {
        job.unmark_sent();
    }
    result
}

fn to_endpoint(job: &Job, endpoint: &Endpoint, content_type: &str, path: &str) -> Request<Full<Bytes>> {
    let mut request = post(&format!("http://{}{path}", endpoint.address), String::new());
    *request.body_mut() = Full::new(job.body.clone());
    let headers = request.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if let Ok(id) = HeaderValue::from_str(&job.entry.id) {
        headers.insert(REQUEST_ID, id);
    }
    if let Some(keyed) = &job.keyed
        && let Ok(key) = HeaderValue::from_str(&keyed.key.key)
    {
        headers.insert(IDEMPOTENCY_KEY, key);
    }
    request
}

async fn finish(job: &Job, endpoint: &Endpoint, answer: Answer) -> End {
    job.entry.begin(Head { version: None, endpoint: endpoint.id.clone(), session: None });
    let Answer { status, content_type, body, .. } = answer;
    let end = End::Answered { status, content_type, body };
    settle(job, job.bill(None, &endpoint.id, Spent::default()), &end).await;
    end
}
