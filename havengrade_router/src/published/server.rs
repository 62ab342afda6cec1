//! The servers for callers, for the balancer's question and for metrics.

use std::{convert::Infallible, pin::pin, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::time::{sleep, timeout};

use crate::{
    net::{BoxConnection, Listener},
    published::{
        context::PublishedContext,
        forward::forward,
        framing::FramingCheckedConnection,
        refusal::{AnswerBody, Refusal, full_body},
    },
    services::ACCEPT_RETRY_DELAY,
};

/// Smallest buffer that the library takes, in bytes.
const MIN_BUFFER: usize = 8192;
/// Headers that a request may have; more are refused by the library.
const MAX_HEADERS: usize = 128;

/// Time for which a VM that starts leaves connections unread until it knows where requests go.
///
/// After a restart callers come back at once, and each of them may try only a few times. A caller waits a
/// second for a connection to come up, so that this is not noticed as a delay.
const START_LIMIT: Duration = Duration::from_millis(250);
/// Time for which it does where another VM or the store has answered, so that it will surely know soon.
///
/// The least patient callers wait 1.5 s, and go elsewhere after a third of that if nothing was read. In a trial
/// with 295 VMs that lost power as a whole, 12 of 48 needed longer than 0.25 s.
const PROGRESS_LIMIT: Duration = Duration::from_millis(450);

/// Accepts callers' connections until the router ends.
pub(super) async fn serve_callers(cx: PublishedContext, mut listener: Box<dyn Listener>) {
    if !learned_in_time(&cx).await {
        log::warn!("callers are told to come back: configuration or endpoints are not known yet");
    }
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let served = cx.forced_shutdown.clone().run_until_cancelled_owned(serve_caller(cx.clone(), connection));
                cx.tracked_tasks.spawn(served);
            },
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

/// Waits until this VM knows where requests go; tells whether it does.
async fn learned_in_time(cx: &PublishedContext) -> bool {
    if timeout(START_LIMIT, cx.shared.wait_for_routes_and_rollouts()).await.is_ok() {
        return true;
    }
    let makes_progress = cx.shared.peers().is_list_loaded();
    makes_progress && timeout(PROGRESS_LIMIT - START_LIMIT, cx.shared.wait_for_routes_and_rollouts()).await.is_ok()
}

async fn serve_caller(cx: PublishedContext, connection: BoxConnection) {
    let limits = cx.shared.routes.load().limits();
    let (connection, framing) = FramingCheckedConnection::new(connection, limits.header_bytes.max(MIN_BUFFER));
    let service = service_fn(|request: Request<Incoming>| {
        let (cx, framing) = (cx.clone(), framing.clone());
        async move {
            if framing.is_ambiguous() {
                log::warn!("a request whose end can be read in two ways is refused");
                return Ok(Refusal::Malformed.answer(&cx, cx.shared.clock.now()));
            }
            let mut answer = forward(&cx, request).await;
            if cx.shared.is_draining() || framing.must_close() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    // The library's time limit for a head runs from the end of the answer before it, so it is also the
    // time for which a connection may rest.
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(connection), service)
    );
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = cx.graceful_shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        },
    };
    if let Err(error) = served {
        log::debug!("connection of a caller ended: {error}");
    }
}

/// What a small server of the VM's own answers.
pub(super) type Page = fn(&PublishedContext) -> Response<AnswerBody>;

/// Answers every request at a listener by one page.
pub(super) async fn serve_page(cx: PublishedContext, mut listener: Box<dyn Listener>, page: Page) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let cx = cx.clone();
                tokio::spawn(cx.forced_shutdown.clone().run_until_cancelled_owned(answer_pages(cx, connection, page)));
            },
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

/// Time for which a connection to a page may rest.
const PAGE_IDLE: Duration = Duration::from_secs(30);

async fn answer_pages(cx: PublishedContext, connection: BoxConnection, page: Page) {
    let service = service_fn(|_request: Request<Incoming>| {
        let answer = page(&cx);
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PAGE_IDLE)
        .serve_connection(TokioIo::new(connection), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection to a page ended: {error}");
    }
}

/// Whether this VM takes new connections.
pub(super) fn readiness(cx: &PublishedContext) -> Response<AnswerBody> {
    let is_ready = cx.shared.is_ready(cx.shared.clock.now());
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer
}

/// The metrics of the process, with the present ages of what this VM believes.
pub(super) fn metrics_page(cx: &PublishedContext) -> Response<AnswerBody> {
    let now = cx.shared.clock.now();
    let endpoints_age = now.duration_since(cx.shared.store.view().endpoints_confirmed_at).unwrap_or_default();
    metrics::gauge!("configuration_age_seconds").set(cx.shared.config_age(now).unwrap_or_default().as_secs_f64());
    metrics::gauge!("endpoints_age_seconds").set(endpoints_age.as_secs_f64());
    metrics::gauge!("vms_known").set(cx.shared.peers().len() as f64);
    Response::new(full_body(Bytes::from(crate::metrics::render())))
}
