//! HTTP server for callers.

use std::{convert::Infallible, pin::pin, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::time::sleep;

use crate::{
    kernel::Context,
    net::{BoxConnection, Listener},
    traffic::routes,
};

/// Pause after the listener failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most headers of a request; hyper rejects a request with more.
const MAX_HEADERS: usize = 128;

/// Accepts connections of callers until the router stops.
pub async fn serve(cx: Context, mut listener: Box<dyn Listener>) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let task = cx.forced_shutdown.clone().run_until_cancelled_owned(serve_caller(cx.clone(), connection));
                cx.tracked_tasks.spawn(task);
            },
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            },
        }
    }
}

async fn serve_caller(cx: Context, connection: BoxConnection) {
    let limits = &cx.shared.settings.limits;
    let service = service_fn(|request: Request<Incoming>| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(routes::handle_request(&cx, request).await) }
    });
    // The buffer holds twice the header limit, so that the router itself can refuse headers over the limit with a
    // problem; hyper rejects headers that don't fit into the buffer.
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.read_timeout_ms))
            .max_buf_size((limits.max_header_bytes * 2).max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADERS)
            .half_close(true)
            .serve_connection(TokioIo::new(connection), service)
    );
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = cx.graceful_shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        },
    };
    if let Err(error) = result {
        log::debug!("connection of a caller ended: {error}");
    }
}

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
