//! HTTP servers for callers, for the balancer's readiness check and for metrics.

use std::{convert::Infallible, panic::AssertUnwindSafe, pin::pin, time::Duration};

use bytes::Bytes;
use futures::FutureExt as _;
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
    net::{BoxConnection, SharedListener},
    published::{
        admission,
        context::PublishedContext,
        escalation::record_congestion,
        forward::forward,
        framing::FramingCheckedConnection,
        refusal::{AnswerBody, Refusal, full_body},
        request_relay::RelayedRequest,
        stream_buffer::CallerConnection,
    },
    services::ACCEPT_RETRY_DELAY,
};

/// Smallest buffer that the HTTP library permits, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Maximum number of headers in a request; the HTTP library rejects requests with more.
const MAX_HEADERS: usize = 128;

/// Time for which a VM that starts leaves connections in the listen backlog while it lacks routes or roll-out statuses.
///
/// After a restart callers reconnect at once, and each of them makes only a few attempts. A caller waits a second for
/// its connection, so it does not notice this delay.
const STARTUP_WAIT: Duration = Duration::from_millis(250);
/// The same time if another VM or the store has answered already, so that the state is bound to arrive soon.
///
/// Callers with the shortest timeout wait 1.5 s, and go elsewhere after a third of that if their request was not read.
/// In a trial in which all 295 VMs lost power, 12 of 48 needed longer than 0.25 s.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(450);

/// Accepts and serves callers' connections.
pub(super) async fn serve_callers(cx: PublishedContext, listener: SharedListener) {
    let mut listener = listener.lock().await;
    if !wait_for_startup(&cx).await {
        log::warn!("accepting connections although the configuration or the endpoints are not known yet");
    }
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let served =
                    cx.forced_shutdown.clone().run_until_cancelled_owned(serve_caller(cx.clone(), connection, false));
                cx.tracked_tasks.spawn(served);
            },
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

/// Waits for the routes and roll-out statuses for a limited time. Returns whether they are known.
async fn wait_for_startup(cx: &PublishedContext) -> bool {
    if timeout(STARTUP_WAIT, cx.shared.wait_for_routes_and_rollouts()).await.is_ok() {
        return true;
    }
    let is_list_loaded = cx.shared.peers().is_list_loaded();
    is_list_loaded && timeout(MAX_STARTUP_WAIT - STARTUP_WAIT, cx.shared.wait_for_routes_and_rollouts()).await.is_ok()
}

/// Serves the requests on a connection of a caller, or of another VM that relays the requests of its callers.
pub(super) async fn serve_caller(cx: PublishedContext, connection: BoxConnection, is_relay: bool) {
    let limits = cx.shared.routes.load().limits();
    let (connection, framing) = FramingCheckedConnection::new(connection, limits.header_bytes.max(MIN_BUFFER_BYTES));
    let caller = CallerConnection::default();
    let service = service_fn(|mut request: Request<Incoming>| {
        let (cx, framing) = (cx.clone(), framing.clone());
        request.extensions_mut().insert(caller.clone());
        if is_relay {
            request.extensions_mut().insert(RelayedRequest);
        }
        async move {
            if framing.is_ambiguous() {
                log::warn!("refusing a request with ambiguous framing");
                return Ok(Refusal::Malformed.answer(&cx, cx.shared.clock.now()));
            }
            let forwarded = AssertUnwindSafe(forward(&cx, request)).catch_unwind().await;
            let is_panic = forwarded.is_err();
            let mut answer = forwarded.unwrap_or_else(|_| {
                metrics::counter!("request_panics").increment(1);
                Refusal::Lost.answer(&cx, cx.shared.clock.now())
            });
            if is_panic || cx.shared.is_draining() || framing.must_close() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    // The library's timeout for a request head starts at the end of the previous answer, so it also limits the time for
    // which a connection may be idle.
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(connection), service)
    );
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = caller.closed() => return log::debug!("closing the connection of a caller who does not read"),
        () = cx.graceful_shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                served = connection.as_mut() => served,
                () = caller.closed() => return log::debug!("closing the connection of a caller who does not read"),
            }
        },
    };
    if let Err(error) = served {
        log::debug!("connection of a caller ended: {error}");
    }
}

/// Renders a page, which answers every request at its listener.
pub(super) type Page = fn(&PublishedContext) -> Response<AnswerBody>;

/// Answers every request at a listener with a page.
pub(super) async fn serve_page(cx: PublishedContext, listener: SharedListener, page: Page) {
    let mut listener = listener.lock().await;
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

/// Time for which a connection to a page may be idle.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

async fn answer_pages(cx: PublishedContext, connection: BoxConnection, page: Page) {
    let service = service_fn(|_request: Request<Incoming>| {
        let answer = page(&cx);
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PAGE_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(connection), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection to a page ended: {error}");
    }
}

/// Readiness page: reports whether this VM accepts new connections, and which of its services have ended of late.
pub(super) fn readiness(cx: &PublishedContext) -> Response<AnswerBody> {
    let is_ready = cx.shared.is_ready(cx.shared.clock.now());
    let unsound = cx.shared.health.unsound_services();
    let text = if unsound.is_empty() { String::new() } else { format!("ended of late: {}\n", unsound.join(", ")) };
    let mut answer = Response::new(full_body(Bytes::from(text)));
    *answer.status_mut() = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer
}

/// Metrics page of the process, with the current ages of the configuration and the endpoint list.
pub(super) fn metrics_page(cx: &PublishedContext) -> Response<AnswerBody> {
    let now = cx.shared.clock.now();
    let endpoints_age = now.duration_since(cx.shared.store.view().endpoints_confirmed_at).unwrap_or_default();
    metrics::gauge!("configuration_age_seconds").set(cx.shared.config_age(now).unwrap_or_default().as_secs_f64());
    metrics::gauge!("endpoints_age_seconds").set(endpoints_age.as_secs_f64());
    metrics::gauge!("stream_bytes_buffered").set(cx.shared.stream_buffers.buffered_bytes() as f64);
    metrics::gauge!("request_body_bytes_kept").set(cx.shared.request_bodies.kept_bytes() as f64);
    metrics::gauge!("vms_known").set(cx.shared.peers().len() as f64);
    admission::set_gauges(cx, now);
    record_congestion(cx, now);
    Response::new(full_body(Bytes::from(crate::metrics::render())))
}
