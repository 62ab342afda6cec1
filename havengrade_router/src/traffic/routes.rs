//! Paths of the callers' API, and the checks before a request is executed.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use havengrade_core::{
    claim::{KeyState, Outcome},
    config::Account,
    endpoint_selection,
    ids::{RequestId, VmId},
    routing::{RequestMeta, RoutingDecision, authenticate, decide_route},
};
use havengrade_rpc::peers::{PeerAsk, PeerReply, PeerRequest};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, header::CONTENT_TYPE};
use tokio::time::timeout;

use crate::{
    kernel::Context,
    metrics,
    services::members,
    traffic::{
        ChatRequest, Problem, RequestStatus,
        active_request::{ActiveRequest, IdempotencyKey},
        answer::{Answer, AnswerMode, answer_when_ready, outcome_answer, problem_answer, status_answer, whole_answer},
        caller_headers::{self, CallerHeaders},
        execution::{RequestKind, execute},
        ledger_client,
        refusal::{known_outcome, refuse, stored_outcome},
        request_table::{RequestEntry, RequestOutcome},
    },
};

/// Retry delay reported to a caller while this VM is at its request limit.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Answers one HTTP request.
pub(crate) async fn handle_request(cx: &Context, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let result = match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(whole_answer(200, "text/plain", "ok\n".into())),
        (&Method::GET, "/readyz") => Ok(readiness(cx)),
        (&Method::GET, "/metrics") => Ok(whole_answer(200, "text/plain; version=0.0.4", metrics::render().into())),
        (&Method::POST, "/v1/chat/completions") => handle_chat(cx, request).await,
        (&Method::GET, path) if path.starts_with(REQUESTS) => {
            look_up(cx, request.headers(), path.trim_start_matches(REQUESTS)).await
        },
        (&Method::POST, path) if path.starts_with(SERVICES) => {
            let service = path.trim_start_matches(SERVICES).to_owned();
            handle_service_call(cx, request, service).await
        },
        _ => Err(not_found(&method, &path)),
    };
    result.unwrap_or_else(|problem| problem_answer(&problem))
}

/// Path prefix of plain services.
const SERVICES: &str = "/v1/services/";
/// Path prefix of request look-ups.
const REQUESTS: &str = "/v1/requests/";

fn not_found(method: &Method, path: &str) -> Problem {
    let detail = format!(
        "{method} {path} is no call of ours; there are POST /v1/chat/completions, POST {SERVICES}NAME and \
         GET {REQUESTS}ID"
    );
    Problem::not_run(StatusCode::NOT_FOUND, "unknown_path", detail)
}

fn readiness(cx: &Context) -> Answer {
    match cx.shared.not_serving_reason(cx.shared.clock.now()) {
        None => whole_answer(200, "text/plain", "ready\n".into()),
        Some(reason) => problem_answer(&Problem::from(reason)),
    }
}

/// A request that was read but not routed yet.
struct ReceivedRequest {
    key: String,
    account: Account,
    headers: CallerHeaders,
    body: Bytes,
    id: RequestId,
}

async fn handle_chat(cx: &Context, request: Request<Incoming>) -> Result<Answer, Problem> {
    let received = receive(cx, request).await?;
    let chat: ChatRequest = serde_json::from_slice(&received.body).map_err(|error| {
        let detail = format!("body: {error}; send a JSON object with `messages`");
        Problem::not_run(StatusCode::BAD_REQUEST, "malformed_body", detail)
    })?;
    let mode = if chat.stream { AnswerMode::Streamed } else { AnswerMode::Whole };
    let meta = RequestMeta { version: chat.version(), ..request_meta(&received) };
    Ok(start_and_answer(cx, received, meta, RequestKind::Chat(chat), mode).await)
}

async fn handle_service_call(cx: &Context, request: Request<Incoming>, service: String) -> Result<Answer, Problem> {
    let content_type = request.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let path = request.uri().path().to_owned();
    let received = receive(cx, request).await?;
    let meta = RequestMeta { service: Some(service), ..request_meta(&received) };
    Ok(start_and_answer(cx, received, meta, RequestKind::Plain { content_type, path }, AnswerMode::Whole).await)
}

fn request_meta(received: &ReceivedRequest) -> RequestMeta {
    RequestMeta {
        class: received.headers.class.clone(),
        session_token: received.headers.session.clone().filter(|token| !token.is_empty()),
        bucketing_id: received.id.clone(),
        has_key: received.headers.idempotency_key.is_some(),
        ..RequestMeta::default()
    }
}

/// Authenticates the caller and reads the headers and the body of a request.
async fn receive(cx: &Context, request: Request<Incoming>) -> Result<ReceivedRequest, Problem> {
    let limits = &cx.shared.settings.limits;
    let (head, body) = request.into_parts();
    check_headers(&head.headers, limits.max_header_bytes)?;
    let account = authenticate_account(cx, &head.headers)?;
    let key = caller_headers::bearer_token(&head.headers).unwrap_or_default().to_owned();
    let headers = caller_headers::parse_headers(&head.headers)?;
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    let Ok(collected) = timeout(Duration::from_millis(limits.read_timeout_ms), collected).await else {
        let detail = "body: it did not come in time; send it without long pauses";
        return Err(Problem::not_run(StatusCode::REQUEST_TIMEOUT, "slow_body", detail));
    };
    let body = collected.map_err(|error| body_problem(error.as_ref(), limits.max_body_bytes))?.to_bytes();
    Ok(ReceivedRequest { key, account, headers, body, id: cx.shared.new_request_id() })
}

fn check_headers(headers: &HeaderMap, limit: usize) -> Result<(), Problem> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= limit {
        return Ok(());
    }
    let detail = format!("headers: they have {size} bytes and may have {limit}; send fewer or shorter ones");
    Err(Problem::not_run(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large", detail))
}

fn body_problem(error: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> Problem {
    if error.is::<LengthLimitError>() {
        let detail = format!("body: it may have {limit} bytes; send a shorter one");
        return Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail);
    }
    Problem::not_run(StatusCode::BAD_REQUEST, "broken_body", format!("body: {error}; send it whole"))
}

fn authenticate_account(cx: &Context, headers: &HeaderMap) -> Result<Account, Problem> {
    let key = caller_headers::bearer_token(headers).unwrap_or_default();
    let catalog = cx.shared.catalog.load();
    authenticate(&catalog, key).cloned().map_err(|refusal| Problem::from(&refusal))
}

/// Starts or refuses a request, and answers its caller.
async fn start_and_answer(
    cx: &Context,
    received: ReceivedRequest,
    meta: RequestMeta,
    kind: RequestKind,
    mode: AnswerMode,
) -> Answer {
    let wait_limit = received.headers.wait_limit;
    let entry = Arc::new(RequestEntry::new(received.id.clone(), received.account.id.clone()));
    match prepare(cx, received, &meta, &entry).await {
        Ok(request) => cx.spawn(execute(request, kind)),
        Err(outcome) => drop(entry.complete(outcome)),
    }
    answer_when_ready(entry, mode, wait_limit, cx.shared.clock).await
}

/// Prepares a request for its execution; the error is the outcome of a request that isn't executed.
async fn prepare(
    cx: &Context,
    received: ReceivedRequest,
    meta: &RequestMeta,
    entry: &Arc<RequestEntry>,
) -> Result<ActiveRequest, RequestOutcome> {
    let idempotency_key = idempotency_key_for(cx, &received);
    if let Some(idempotency_key) = &idempotency_key
        && let Some(state) = ledger_client::find_key(cx, idempotency_key.claim_key.clone()).await
        && let Some(outcome) = known_outcome(&state, idempotency_key)
        && !may_ask_endpoint_again(cx, meta, &state)
    {
        return Err(outcome);
    }
    let received_at = cx.shared.clock.now();
    match route_and_admit(cx, &received, meta, entry) {
        Ok(decision) => Ok(ActiveRequest {
            cx: cx.clone(),
            entry: entry.clone(),
            decision,
            idempotency_key,
            body: received.body,
            received_at,
            is_sent: AtomicBool::new(false),
            is_claimed: AtomicBool::new(false),
        }),
        Err(problem) => Err(refuse(cx, idempotency_key.as_ref(), &received.id, problem).await),
    }
}

/// Whether the endpoint can repeat a lost answer: one that deduplicates by key doesn't run the request again.
fn may_ask_endpoint_again(cx: &Context, meta: &RequestMeta, state: &KeyState) -> bool {
    let catalog = cx.shared.catalog.load();
    let candidates = meta.service.as_ref().map_or(&[][..], |service| catalog.endpoints_of(service));
    let is_deduplicated = endpoint_selection::endpoint_for_key(&catalog, candidates, "").is_some();
    is_deduplicated && state.outcome == Some(Outcome::MayHaveRun)
}

/// Returns the idempotency key of a request that needs a claim.
///
/// A durable request without a key uses its own id as key.
fn idempotency_key_for(cx: &Context, received: &ReceivedRequest) -> Option<IdempotencyKey> {
    let catalog = cx.shared.catalog.load();
    let class = catalog.config.classes.get(&received.headers.class)?;
    let needs_claim = !class.repeatable || class.durable;
    let own = || class.durable.then(|| received.id.clone());
    let key = received.headers.idempotency_key.clone().or_else(own).filter(|_| needs_claim)?;
    Some(IdempotencyKey::new(&received.account.id, &key, received.headers.attempt, &received.body))
}

/// Decides the route of a request and admits it under the limits of its client account and of this VM.
fn route_and_admit(
    cx: &Context,
    received: &ReceivedRequest,
    meta: &RequestMeta,
    entry: &Arc<RequestEntry>,
) -> Result<RoutingDecision, Problem> {
    let shared = &cx.shared;
    let now = shared.clock.now();
    if let Some(reason) = shared.not_serving_reason(now) {
        return Err(Problem::from(reason));
    }
    // Loaded after the check of the age, so that this configuration is at least as new as the one that was checked. The
    // account is looked up again, since another one may have been active when the head of the request was read.
    let (catalog, evidence) = (shared.catalog.load(), shared.evidence.load());
    let account = authenticate(&catalog, &received.key).map_err(|refusal| Problem::from(&refusal))?;
    let decision = decide_route(&catalog, account, meta, &evidence, &mut *shared.rng(), now)
        .map_err(|refusal| Problem::from(&refusal))?;
    shared.admission().admit(account, shared.live_vm_count(), now)?;
    if shared.requests.insert(entry.clone(), shared.settings.limits.max_requests) {
        return Ok(decision);
    }
    shared.admission().release(&account.id);
    let detail = "this VM has as many requests in progress as it may; try another";
    Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "vm_full", detail).with_retry_after(RETRY_DELAY))
}

/// Answers with the status or the outcome of a request, whichever VM received it.
async fn look_up(cx: &Context, headers: &HeaderMap, id: &str) -> Result<Answer, Problem> {
    let account = authenticate_account(cx, headers)?;
    if let Some(answer) = status_answer(id, cx.shared.requests.look_up(id, &account.id)) {
        return Ok(answer);
    }
    if let Some((_, state)) =
        ledger_client::find_request(cx, id.to_owned()).await.filter(|(key, _)| key.account == account.id)
        && let Some(outcome) = &state.outcome
    {
        return Ok(outcome_answer(id, stored_outcome(outcome, &id.to_owned())));
    }
    if let Some(answer) = status_answer(id, ask_receiving_vm(cx, id, &account.id).await) {
        return Ok(answer);
    }
    let detail = "the request is not known here, nor at the VM that took it; it may have run, and if it has a key, \
                  sending it again with the key does no harm";
    Err(Problem::may_have_run(StatusCode::NOT_FOUND, "unknown_request", detail).with_request_id(id))
}

/// Asks the VM that received a request, whose id is the first part of the request id.
async fn ask_receiving_vm(cx: &Context, id: &str, account: &str) -> RequestStatus {
    let vm: VmId = id.split('.').next().unwrap_or_default().to_owned();
    if vm == *cx.shared.vm() {
        return RequestStatus::Unknown;
    }
    let ask = PeerAsk::new(id.to_owned(), account.to_owned());
    let Some(PeerReply::Answer(answer)) = members::call_peer(cx, vm, PeerRequest::Ask(ask)).await else {
        return RequestStatus::Unknown;
    };
    match answer.state.as_str() {
        "pending" => RequestStatus::Pending,
        "answered" => RequestStatus::Ended {
            status: answer.status.and_then(|status| u16::try_from(status).ok()).unwrap_or(200),
            content_type: answer.content_type.unwrap_or_default(),
            body: answer.body.unwrap_or_default().into(),
        },
        _ => RequestStatus::Unknown,
    }
}
