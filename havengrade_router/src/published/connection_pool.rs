//! Pool of persistent connections to endpoints; each connection serves one request at a time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use havengrade_core::ids::EndpointId;
use http_body_util::Full;
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    http::is_final_status,
    net::{BoxConnection, Network},
    published::{
        endpoint_body::{ConnectionDriver, EndpointBody, PollLock},
        read_allowance::{LimitedConnection, ReadAllowance},
    },
    quarantine::{ProbeResult, probe},
    shared::lock,
};

/// Idle timeout of a connection whose endpoint announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before an endpoint's announced idle timeout from which its connection is not reused, since the endpoint may
/// close it at any moment.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Largest number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 6;
/// Largest number of bytes that are read from an endpoint before they are used, which bounds the head of an answer and
/// the memory of a stream whose caller reads slowly.
const MAX_READ_BYTES: usize = 64 << 10;
/// Largest number of bytes that are read from an endpoint from a request to the end of the head of its answer. Interim
/// answers, of which an endpoint may send any number, come before it.
const MAX_BYTES_BEFORE_ANSWER: usize = 128 << 10;
/// Time in which an idle connection must become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(30);

/// Why a request got no head of an answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConnectionError {
    /// No connection could be established.
    #[snafu(display("not sent: {reason}"))]
    NotConnected {
        /// Cause, as far as it is known.
        reason: String,
    },
    /// No part of the request was written.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Cause, as far as it is known.
        reason: String,
    },
    /// The connection failed after parts of the request may have been written.
    #[snafu(display("connection lost: {source}"))]
    Lost {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The status of the answer is none of a final one.
    #[snafu(display("invalid status {status}"))]
    InvalidStatus {
        /// Status of the answer.
        status: u16,
    },
    /// The request was written, but no answer came in time.
    #[snafu(display("no answer in time"))]
    NoAnswer,
    /// The request was written, but no answer came in time, and a retry is reserved for another attempt.
    #[snafu(display("no answer in time"))]
    Replaced,
}

/// A connection to an endpoint. Dropping it closes the connection, which cancels a request in progress on it.
pub struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    poll_lock: PollLock,
    _driver: AbortOnDropHandle<()>,
    idle_timeout: Duration,
    is_new: bool,
}

impl EndpointConnection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] tells whether the request may have reached the endpoint.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<EndpointBody>, ConnectionError> {
        self.is_new = false;
        self.allowance.limit(MAX_BYTES_BEFORE_ANSWER);
        let mut error = match self.sender.try_send_request(request).await {
            Ok(response) if !is_final_status(response.status()) => {
                return InvalidStatusSnafu { status: response.status().as_u16() }.fail();
            },
            Ok(response) => {
                self.allowance.lift();
                return Ok(response.map(|body| EndpointBody::new(body, self.poll_lock.clone())));
            },
            Err(error) => error,
        };
        // The HTTP library returns the request if it wrote no part of it.
        let is_unsent = error.take_message().is_some();
        let source = error.into_error();
        if is_unsent {
            return NotSentSnafu { reason: source.to_string() }.fail();
        }
        Err(ConnectionError::Lost { source })
    }

    /// Limits the number of bytes that are read from now on until the next request; the connection fails after them.
    pub(super) fn limit_reads(&self, bytes: usize) {
        self.allowance.limit(bytes);
    }

    /// Whether no request has been sent on the connection.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sets the idle timeout that the endpoint announced, less a margin.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
    }
}

/// Prepares a new connection for HTTP/1.1 requests.
async fn handshake(connection: BoxConnection, address: SocketAddr) -> Result<EndpointConnection, ConnectionError> {
    metrics::counter!("endpoint_connections_opened").increment(1);
    let allowance = ReadAllowance::default();
    let connection = TokioIo::new(LimitedConnection { connection, allowance: allowance.clone() });
    let (sender, connection) = match http1::Builder::new().max_buf_size(MAX_READ_BYTES).handshake(connection).await {
        Ok(parts) => parts,
        Err(error) => return NotConnectedSnafu { reason: error.to_string() }.fail(),
    };
    let poll_lock = PollLock::default();
    let driver = ConnectionDriver { connection, poll_lock: poll_lock.clone() };
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("connection to {address} ended: {error}");
        }
    }));
    Ok(EndpointConnection {
        sender,
        allowance,
        poll_lock,
        _driver: driver,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        is_new: true,
    })
}

/// A connection that waits for reuse.
struct Idle {
    connection: EndpointConnection,
    since: SystemTime,
}

/// Pool of idle connections by endpoint; opens new ones on demand.
pub struct ConnectionPool {
    network: Arc<dyn Network>,
    connect_timeout: Duration,
    idle: Mutex<HashMap<EndpointId, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(network: Arc<dyn Network>, connect_timeout: Duration) -> Self {
        Self { network, connect_timeout, idle: Mutex::default() }
    }

    /// Returns a connection that is ready for a request: one that was idle for less than `max_idle`, or a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotConnected`] if no connection could be established.
    pub async fn acquire(
        &self,
        endpoint: &str,
        address: SocketAddr,
        max_idle: Duration,
        now: SystemTime,
    ) -> Result<EndpointConnection, ConnectionError> {
        while let Some(mut connection) = self.take_idle(endpoint, max_idle, now) {
            if matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        self.connect(address).await
    }

    fn take_idle(&self, endpoint: &str, max_idle: Duration, now: SystemTime) -> Option<EndpointConnection> {
        let mut idle = lock(&self.idle);
        let idle_connections = idle.get_mut(endpoint)?;
        while let Some(candidate) = idle_connections.pop() {
            let idle_time = now.duration_since(candidate.since).unwrap_or_default();
            if !candidate.connection.sender.is_closed() && idle_time < max_idle.min(candidate.connection.idle_timeout) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Probes an endpoint by connecting to it; the connection is kept for the next request.
    pub async fn probe(&self, endpoint: &str, address: SocketAddr, now: SystemTime) -> ProbeResult {
        let (found, connection) = probe(&*self.network, address, self.connect_timeout).await;
        if let Some(connection) = connection
            && let Ok(connection) = handshake(connection, address).await
        {
            self.release(endpoint, connection, now);
        }
        found
    }

    async fn connect(&self, address: SocketAddr) -> Result<EndpointConnection, ConnectionError> {
        let connection = match timeout(self.connect_timeout, self.network.connect(address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                return NotConnectedSnafu { reason: format!("no connection to {address}: {error}") }.fail();
            },
            Err(_) => return NotConnectedSnafu { reason: format!("no connection to {address} in time") }.fail(),
        };
        handshake(connection, address).await
    }

    /// Returns a connection to the pool once its answer has been read to the end.
    pub fn release(&self, endpoint: &str, connection: EndpointConnection, now: SystemTime) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let idle_connections = idle.entry(endpoint.to_owned()).or_default();
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(Idle { connection, since: now });
        }
    }

    /// Closes idle connections past their idle timeout and those to endpoints that are no longer listed.
    pub fn prune(&self, is_listed: impl Fn(&str) -> bool, now: SystemTime) {
        let mut idle = lock(&self.idle);
        idle.retain(|endpoint, idle_connections| {
            idle_connections.retain(|entry| {
                let idle_time = now.duration_since(entry.since).unwrap_or_default();
                !entry.connection.sender.is_closed() && idle_time < entry.connection.idle_timeout
            });
            !idle_connections.is_empty() && is_listed(endpoint)
        });
    }
}
