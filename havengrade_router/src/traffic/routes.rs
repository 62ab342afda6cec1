//! The paths that callers use, and what happens before a request is carried out.

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
        active_request::{Job, Keyed},
        answer::{Answer, Manner, answer, ended, from_problem, looked_up, whole},
        caller_headers::{self, CallerHeaders},
        execution::{Work, run},
        ledger_client,
        refusal::{known, refuse, stored},
        request_table::{End, RequestEntry},
    },
};

/// Time after which a VM that is full may have room.
const COME_BACK: Duration = Duration::from_secs(1);

/// Answers one HTTP request.
pub(crate) async fn route(cx: &Context, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let result = match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(whole(200, "text/plain", "ok\n".into())),
        (&Method::GET, "/readyz") => Ok(ready(cx)),
        (&Method::GET, "/metrics") => Ok(whole(200, "text/plain; version=0.0.4", metrics::render().into())),
        (&Method::POST, "/v1/chat/completions") => take_chat(cx, request).await,
        (&Method::GET, path) if path.starts_with(REQUESTS) => {
            look_up(cx, request.headers(), path.trim_start_matches(REQUESTS)).await
        },
        (&Method::POST, path) if path.starts_with(SERVICES) => {
            let service = path.trim_start_matches(SERVICES).to_owned();
            take_call(cx, request, service).await
        },
        _ => Err(not_found(&method, &path)),
    };
    result.unwrap_or_else(|problem| from_problem(&problem))
}

/// Paths of plain services.
const SERVICES: &str = "/v1/services/";
/// Paths of requests.
const REQUESTS: &str = "/v1/requests/";

fn not_found(method: &Method, path: &str) -> Problem {
    let detail = format!(
        "{method} {path} is no call of ours; there are POST /v1/chat/completions, POST {SERVICES}NAME and \
         GET {REQUESTS}ID"
    );
    Problem::not_run(StatusCode::NOT_FOUND, "unknown_path", detail)
}

fn ready(cx: &Context) -> Answer {
    match cx.shared.closed(cx.shared.clock.now()) {
        None => whole(200, "text/plain", "ready\n".into()),
        Some(closed) => from_problem(&Problem::from(closed)),
    }
}

/// A request as it came, before anything is decided.
struct Arrival {
    account: Account,
    caller: CallerHeaders,
    body: Bytes,
    id: RequestId,
}

async fn take_chat(cx: &Context, request: Request<Incoming>) -> Result<Answer, Problem> {
    let arrival = arrive(cx, request).await?;
    let chat: ChatRequest = serde_json::from_slice(&arrival.body).map_err(|error| {
        let detail = format!("body: {error}; send a JSON object with `messages`");
        Problem::not_run(StatusCode::BAD_REQUEST, "malformed_body", detail)
    })?;
    let manner = if chat.stream { Manner::Streamed } else { Manner::Whole };
    let meta = RequestMeta { version: chat.version(), ..meta_of(&arrival) };
    Ok(take(cx, arrival, meta, Work::Chat(chat), manner).await)
}

async fn take_call(cx: &Context, request: Request<Incoming>, service: String) -> Result<Answer, Problem> {
    let content_type = request.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let path = request.uri().path().to_owned();
    let arrival = arrive(cx, request).await?;
    let meta = RequestMeta { service: Some(service), ..meta_of(&arrival) };
    Ok(take(cx, arrival, meta, Work::Plain { content_type, path }, Manner::Whole).await)
}

fn meta_of(arrival: &Arrival) -> RequestMeta {
    RequestMeta {
        class: arrival.caller.class.clone(),
        session_token: arrival.caller.session.clone().filter(|token| !token.is_empty()),
        bucketing_id: arrival.id.clone(),
        has_key: arrival.caller.key.is_some(),
        ..RequestMeta::default()
    }
}

/// Reads a request: who sent it, its headers and its body.
async fn arrive(cx: &Context, request: Request<Incoming>) -> Result<Arrival, Problem> {
    let limits = &cx.shared.settings.limits;
    let (head, body) = request.into_parts();
    check_headers(&head.headers, limits.max_header_bytes)?;
    let account = account_of(cx, &head.headers)?;
    let caller = caller_headers::read(&head.headers)?;
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    let Ok(collected) = timeout(Duration::from_millis(limits.read_timeout_ms), collected).await else {
        let detail = "body: it did not come in time; send it without long pauses";
        return Err(Problem::not_run(StatusCode::REQUEST_TIMEOUT, "slow_body", detail));
    };
    let body = collected.map_err(|error| bad_body(error.as_ref(), limits.max_body_bytes))?.to_bytes();
    Ok(Arrival { account, caller, body, id: cx.shared.new_request_id() })
}

fn check_headers(headers: &HeaderMap, limit: usize) -> Result<(), Problem> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= limit {
        return Ok(());
    }
    let detail = format!("headers: they have {size} bytes and may have {limit}; send fewer or shorter ones");
    Err(Problem::not_run(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large", detail))
}

fn bad_body(error: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> Problem {
    if error.is::<LengthLimitError>() {
        let detail = format!("body: it may have {limit} bytes; send a shorter one");
        return Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail);
    }
    Problem::not_run(StatusCode::BAD_REQUEST, "broken_body", format!("body: {error}; send it whole"))
}

fn account_of(cx: &Context, headers: &HeaderMap) -> Result<Account, Problem> {
    let key = caller_headers::bearer(headers).unwrap_or_default();
    let catalog = cx.shared.catalog.load();
    authenticate(&catalog, key).cloned().map_err(|refusal| Problem::from(&refusal))
}

/// Takes a request on, or refuses it, and answers its caller.
async fn take(cx: &Context, arrival: Arrival, meta: RequestMeta, work: Work, manner: Manner) -> Answer {
    let patience = arrival.caller.patience;
    let entry = Arc::new(RequestEntry::new(arrival.id.clone(), arrival.account.id.clone()));
    match admit(cx, arrival, &meta, &entry).await {
        Ok(job) => cx.spawn(run(job, work)),
        Err(end) => entry.end(end),
    }
    answer(entry, manner, patience, cx.shared.clock).await
}

/// Decides a request; what is refused has its end.
async fn admit(cx: &Context, arrival: Arrival, meta: &RequestMeta, entry: &Arc<RequestEntry>) -> Result<Job, End> {
    let keyed = keyed(cx, &arrival);
    if let Some(keyed) = &keyed
        && let Some(state) = ledger_client::find_key(cx, keyed.key.clone()).await
        && let Some(end) = known(&state, keyed)
        && !can_ask_again(cx, meta, &state)
    {
        return Err(end);
    }
    let arrived = cx.shared.clock.now();
    match check(cx, &arrival, meta, entry) {
        Ok(decision) => Ok(Job {
            cx: cx.clone(),
            entry: entry.clone(),
            decision,
            keyed,
            body: arrival.body,
            arrived,
            is_sent: AtomicBool::new(false),
            is_claimed: AtomicBool::new(false),
        }),
        Err(problem) => Err(refuse(cx, keyed.as_ref(), &arrival.id, problem).await),
    }
}

/// Whether a lost answer can be had from the endpoint, which recognises the key and won't run it again.
fn can_ask_again(cx: &Context, meta: &RequestMeta, state: &KeyState) -> bool {
    let catalog = cx.shared.catalog.load();
    let candidates = meta.service.as_ref().map_or(&[][..], |service| catalog.endpoints_of(service));
    let recognises = endpoint_selection::endpoint_for_key(&catalog, candidates, "").is_some();
    recognises && state.outcome == Some(Outcome::MayHaveRun)
}

/// The key of a request that needs a claim; one that may be repeated but must not be lost is its own.
fn keyed(cx: &Context, arrival: &Arrival) -> Option<Keyed> {
    let catalog = cx.shared.catalog.load();
    let class = catalog.config.classes.get(&arrival.caller.class)?;
    let needs_claim = !class.repeatable || class.durable;
    let own = || class.durable.then(|| arrival.id.clone());
    let key = arrival.caller.key.clone().or_else(own).filter(|_| needs_claim)?;
    Some(Keyed::new(&arrival.account.id, &key, arrival.caller.attempt, &arrival.body))
}

fn check(
    cx: &Context,
    arrival: &Arrival,
    meta: &RequestMeta,
    entry: &Arc<RequestEntry>,
) -> Result<RoutingDecision, Problem> {
    let shared = &cx.shared;
    let now = shared.clock.now();
    if let Some(closed) = shared.closed(now) {
        return Err(Problem::from(closed));
    }
    let (catalog, evidence) = (shared.catalog.load(), shared.evidence.load());
    let decision = decide_route(&catalog, &arrival.account, meta, &evidence, &mut *shared.rng(), now)
        .map_err(|refusal| Problem::from(&refusal))?;
    shared.admission().admit(&arrival.account, shared.sharers(), now)?;
    if shared.requests.insert(entry.clone(), shared.settings.limits.max_requests) {
        return Ok(decision);
    }
    shared.admission().release(&arrival.account.id);
    let detail = "this VM has as many requests in progress as it may; try another";
    Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "vm_full", detail).with_retry_after(COME_BACK))
}

/// Tells what became of a request, whichever VM took it.
async fn look_up(cx: &Context, headers: &HeaderMap, id: &str) -> Result<Answer, Problem> {
    let account = account_of(cx, headers)?;
    if let Some(answer) = looked_up(id, cx.shared.requests.look_up(id, &account.id)) {
        return Ok(answer);
    }
    if let Some((_, state)) =
        ledger_client::find_request(cx, id.to_owned()).await.filter(|(key, _)| key.account == account.id)
        && let Some(outcome) = &state.outcome
    {
        return Ok(ended(id, stored(outcome, &id.to_owned())));
    }
    if let Some(answer) = looked_up(id, ask_its_vm(cx, id, &account.id).await) {
        return Ok(answer);
    }
    let detail = "the request is not known here, nor at the VM that took it; it may have run, and if it has a key, \
                  sending it again with the key does no harm";
    Err(Problem::may_have_run(StatusCode::NOT_FOUND, "unknown_request", detail).with_request_id(id))
}

/// Asks the VM whose name the id carries.
async fn ask_its_vm(cx: &Context, id: &str, account: &str) -> RequestStatus {
    let vm: VmId = id.split('.').next().unwrap_or_default().to_owned();
    if vm == *cx.shared.vm() {
        return RequestStatus::Unknown;
    }
    let ask = PeerAsk::new(id.to_owned(), account.to_owned());
    let Some(PeerReply::Answer(found)) = members::call_peer(cx, vm, PeerRequest::Ask(ask)).await else {
        return RequestStatus::Unknown;
    };
    match found.state.as_str() {
        "pending" => RequestStatus::Pending,
        "answered" => RequestStatus::Ended {
            status: found.status.and_then(|status| u16::try_from(status).ok()).unwrap_or(200),
            content_type: found.content_type.unwrap_or_default(),
            body: found.body.unwrap_or_default().into(),
        },
        _ => RequestStatus::Unknown,
    }
}
