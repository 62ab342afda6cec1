//! Calls of plain services and of scripts, whose bodies and answers are forwarded as a whole.

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
    http::{Answer, ConnectionReuse, HttpError, post},
    traffic::{
        Problem,
        active_request::{ActiveRequest, Consumption},
        backoff::record_backoff,
        caller_headers::{IDEMPOTENCY_KEY, REQUEST_ID},
        execution::{AttemptError, ensure_claim, fail_request, next_endpoint, settle},
        quarantine::RequestQuarantine,
        refusal::answer_lost,
        request_table::{AnswerSource, RequestOutcome},
    },
};

/// Most attempts at the one endpoint that recognises the request's key.
const MAX_KEYED_ATTEMPTS: usize = 3;
/// Pause between two attempts at that endpoint.
const KEYED_ATTEMPT_PAUSE: Duration = Duration::from_millis(100);
/// Largest answer that is forwarded, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Forwards the request to an endpoint of its service, or to its scripts.
pub(crate) async fn call_service(request: &ActiveRequest, content_type: &str, path: &str) -> RequestOutcome {
    let mut tried_endpoints: Vec<EndpointId> = Vec::new();
    let mut problem = unavailable("no endpoint of the service is there now");
    if let Some(backoff_left) = request.backoff_left(None) {
        problem = problem.with_retry_after(backoff_left);
    }
    let quarantine = RequestQuarantine::new(request, None, path);
    while let Some(endpoint) = next_attempt_endpoint(request, &tried_endpoints).await {
        if let Err(refusal) = quarantine.admit().await {
            problem = refusal;
            break;
        }
        if let Err(AttemptError::Ended(outcome)) = ensure_claim(request, &endpoint).await {
            return outcome;
        }
        if !request.may_send(None) {
            break;
        }
        let in_flight = request.cx.shared.endpoints.begin_request(&endpoint.id);
        let sent_at = request.now();
        let result = send(request, &endpoint, content_type, path).await;
        drop(in_flight);
        if let Ok(answer) = &result {
            let status = StatusCode::from_u16(answer.status).unwrap_or_default();
            record_backoff(&request.cx, &endpoint.id, status, &answer.headers);
        }
        request.record_attempt(&endpoint.id, result.is_ok());
        match result {
            Ok(answer) if (200..300).contains(&answer.status) => {
                quarantine.record_answer();
                return finish(request, &endpoint, answer).await;
            },
            Ok(answer) => return finish(request, &endpoint, answer).await,
            Err(error) if error.is_known_not_sent() => problem = unavailable(&error.to_string()),
            Err(error) => {
                quarantine.record_broken_attempt(&endpoint, sent_at).await;
                if !request.is_repeatable() && !endpoint.deduplicates {
                    return fail_request(request, answer_lost()).await;
                }
                problem = Problem::may_have_run(StatusCode::BAD_GATEWAY, "service_lost", error.to_string());
            },
        }
        tried_endpoints.push(endpoint.id);
    }
    fail_request(request, problem).await
}

fn unavailable(reason: &str) -> Problem {
    /// Retry delay reported to a caller while the service is unavailable.
    const RETRY_DELAY: Duration = Duration::from_secs(1);
    let detail = format!("{reason}; come back later");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "service_unavailable", detail).with_retry_after(RETRY_DELAY)
}

/// Chooses the endpoint for the next attempt.
///
/// At a service whose endpoints deduplicate by key, a request that may not be repeated always goes to the same
/// endpoint, since only that one knows whether the key ran there.
async fn next_attempt_endpoint(request: &ActiveRequest, tried_endpoints: &[EndpointId]) -> Option<Endpoint> {
    let Some(endpoint) = endpoint_for_key(request) else { return next_endpoint(request, None, tried_endpoints) };
    if tried_endpoints.len() >= MAX_KEYED_ATTEMPTS {
        return None;
    }
    if !tried_endpoints.is_empty() {
        sleep(KEYED_ATTEMPT_PAUSE).await;
    }
    let is_backing_off = request.cx.shared.endpoints.state(&endpoint.id).backoff_left(request.now()).is_some();
    (!is_backing_off).then_some(endpoint)
}

/// Returns the endpoint that recognises the request's key; all VMs with the same configuration choose the same one.
fn endpoint_for_key(request: &ActiveRequest) -> Option<Endpoint> {
    let idempotency_key = request.idempotency_key.as_ref().filter(|_| !request.is_repeatable())?;
    let Route::Service { service } = &request.decision.route else { return None };
    let catalog = request.cx.shared.catalog.load();
    endpoint_selection::endpoint_for_key(&catalog, catalog.endpoints_of(service), &idempotency_key.claim_key.key)
        .cloned()
}

async fn send(
    request: &ActiveRequest,
    endpoint: &Endpoint,
    content_type: &str,
    path: &str,
) -> Result<Answer, HttpError> {
    let reuse = if request.is_repeatable() { ConnectionReuse::Allowed } else { ConnectionReuse::Never };
    let http_request = build_request(request, endpoint, content_type, path);
    let was_sent = request.mark_sent();
    let result =
        request.cx.http.call(endpoint.address, http_request, reuse, request.time_left(), MAX_ANSWER_BYTES).await;
    if !was_sent && result.as_ref().is_err_and(HttpError::is_known_not_sent) {
        request.unmark_sent();
    }
    result
}

fn build_request(request: &ActiveRequest, endpoint: &Endpoint, content_type: &str, path: &str) -> Request<Full<Bytes>> {
    let mut http_request = post(&format!("http://{}{path}", endpoint.address), String::new());
    *http_request.body_mut() = Full::new(request.body.clone());
    let headers = http_request.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if let Ok(id) = HeaderValue::from_str(&request.entry.id) {
        headers.insert(REQUEST_ID, id);
    }
    if let Some(idempotency_key) = &request.idempotency_key
        && let Ok(key) = HeaderValue::from_str(&idempotency_key.claim_key.key)
    {
        headers.insert(IDEMPOTENCY_KEY, key);
    }
    http_request
}

async fn finish(request: &ActiveRequest, endpoint: &Endpoint, answer: Answer) -> RequestOutcome {
    request.entry.set_source(AnswerSource { version: None, endpoint: endpoint.id.clone(), session: None });
    let Answer { status, content_type, body, .. } = answer;
    let outcome = RequestOutcome::Answered { status, content_type, body };
    settle(request, request.bill(None, &endpoint.id, Consumption::default()), &outcome).await;
    outcome
}
