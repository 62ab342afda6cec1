//! HTTP client for calls to endpoints, platform services and other programs.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body as _, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use hyper_util::{
    client::legacy::{
        Client, Error as ClientError,
        connect::{Connected, Connection as PooledConnection},
    },
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use snafu::{ResultExt as _, Snafu};
use tokio::time::timeout;
use tower_service::Service;

use crate::{
    answer_room::{AnswerBytes, AnswerRoom},
    net::{BoxConnection, Network},
};

/// A failed call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("no connection to {address}: {source}"))]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: ClientError,
    },
    /// The connection was lost after part of the request may have been sent.
    #[snafu(display("connection to {address} lost: {source}"))]
    Lost {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: ClientError,
    },
    /// The status is none of a final answer.
    #[snafu(display("{address} answered with the invalid status {status}"))]
    InvalidStatus {
        /// Address of the server.
        address: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// The body of the answer was cut off, too long or malformed.
    #[snafu(display("answer of {address} broke off: {reason}"))]
    InvalidBody {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the fault.
        reason: String,
    },
    /// No complete answer arrived within the time limit.
    #[snafu(display("no answer of {address} in time"))]
    TimedOut {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The answer has another status than 200.
    #[snafu(display("{address} answered {status}: {body}"))]
    UnexpectedStatus {
        /// Address of the server.
        address: SocketAddr,
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}

impl HttpError {
    /// Whether it is certain that nothing was sent.
    pub fn is_known_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    /// Whether nothing was heard from the server within a time limit, so that it may be frozen or cut off.
    pub fn is_silence(&self) -> bool {
        match self {
            Self::TimedOut { .. } => true,
            Self::NotSent { source, .. } => {
                let cause = std::error::Error::source(source).and_then(|cause| cause.downcast_ref::<io::Error>());
                cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
            },
            _ => false,
        }
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: u16,
    /// Content type of the answer; empty if there is none.
    pub content_type: String,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body of an answer with status 200.
    ///
    /// # Errors
    ///
    /// [`HttpError::UnexpectedStatus`] for any other status.
    pub fn into_ok_body(self, address: SocketAddr) -> Result<Bytes, HttpError> {
        if self.status == StatusCode::OK.as_u16() {
            return Ok(self.body);
        }
        let body = String::from_utf8_lossy(&self.body).into_owned();
        UnexpectedStatusSnafu { address, status: self.status, body }.fail()
    }
}

/// Creates a GET request; an invalid URI is replaced by the default one.
pub fn get(uri: &str) -> Request<Full<Bytes>> {
    build(Method::GET, uri, Full::default())
}

/// Creates a POST request with a JSON body; an invalid URI is replaced by the default one.
pub fn post(uri: &str, json: String) -> Request<Full<Bytes>> {
    build(Method::POST, uri, Full::from(json))
}

fn build(method: Method, uri: &str, body: Full<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri.parse().unwrap_or_default();
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}

/// Whether a status is one of a final answer.
///
/// The HTTP library lets statuses up to 999 pass, and 101, with which a connection leaves HTTP.
///
/// ```
/// use havengrade_router::http::is_final_status;
/// use hyper::StatusCode;
///
/// assert!(is_final_status(StatusCode::OK));
/// assert!(!is_final_status(StatusCode::SWITCHING_PROTOCOLS));
/// ```
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// An HTTP client with one connection pool and the option to bypass it.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Client<Connector, Full<Bytes>>,
    fresh: Client<Connector, Full<Bytes>>,
    room: AnswerRoom,
}

/// Whether a call may use an open connection of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The call may reuse a connection.
    Allowed,
    /// The call opens a new connection, so that a failure to connect proves that nothing was sent.
    Never,
}

impl HttpClient {
    /// Creates a client over a network; each connection must open within `connect_timeout`.
    pub fn new(network: Arc<dyn Network>, connect_timeout: Duration) -> Self {
        let connector = Connector { network, connect_timeout };
        let client = |max_idle| {
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_max_idle_per_host(max_idle)
                .http1_max_buf_size(MAX_READ_BYTES)
                .retry_canceled_requests(max_idle > 0)
                .build(connector.clone())
        };
        Self { pooled: client(MAX_IDLE_CONNECTIONS), fresh: client(0), room: AnswerRoom::default() }
    }

    /// Returns a client with the same connections whose answers take no room from those of this one.
    #[must_use]
    pub fn with_own_room(&self) -> Self {
        Self { room: AnswerRoom::default(), ..self.clone() }
    }

    /// Starts to count the bytes of an answer that the caller of [`Self::send`] reads.
    pub(crate) fn begin_answer(&self) -> AnswerBytes {
        self.room.begin()
    }

    /// Sends a request and returns the head of the answer with an unread body.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`], [`HttpError::Lost`], [`HttpError::InvalidStatus`] or [`HttpError::TimedOut`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let client = match reuse {
            ConnectionReuse::Allowed => &self.pooled,
            ConnectionReuse::Never => &self.fresh,
        };
        let Ok(result) = timeout(limit, client.request(request)).await else {
            return TimedOutSnafu { address }.fail();
        };
        match result {
            Ok(response) if !is_final_status(response.status()) => {
                InvalidStatusSnafu { address, status: response.status().as_u16() }.fail()
            },
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(error).context(NotSentSnafu { address }),
            Err(error) => Err(error).context(LostSnafu { address }),
        }
    }

    /// Sends a request and reads the complete answer, with a body of up to `max_body` bytes, within `limit`. One that gets
    /// no room beside others within half of that time counts as broken off.
    ///
    /// # Errors
    ///
    /// Those of [`Self::send`] and [`HttpError::InvalidBody`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        limit: Duration,
        max_body: usize,
    ) -> Result<Answer, HttpError> {
        let exchange = async {
            let response = self.send(address, request, reuse, limit).await?;
            let (head, body) = response.into_parts();
            let body = self.read_body(body, max_body, limit / 2).await;
            let body = body.map_err(|reason| HttpError::InvalidBody { address, reason })?;
            let content_type = head.headers.get(CONTENT_TYPE);
            let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
            Ok(Answer { status: head.status.as_u16(), content_type, headers: head.headers, body })
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| TimedOutSnafu { address }.fail())
    }

    /// Reads a body to its end, or tells why that is not possible.
    async fn read_body(&self, mut body: Incoming, max_bytes: usize, room_limit: Duration) -> Result<Bytes, String> {
        let too_long = || format!("it has more than {max_bytes} bytes");
        let length = body.size_hint();
        if length.lower() > max_bytes as u64 {
            return Err(too_long());
        }
        let mut counted = self.begin_answer();
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else { continue };
            if buf.len() + data.len() > max_bytes {
                return Err(too_long());
            }
            counted.add(data.len(), room_limit).await.map_err(|error| error.to_string())?;
            buf.extend_from_slice(&data);
        }
        // The HTTP library reports the end of a body, too, if the task that reads its connection ends.
        if length.exact().is_some_and(|length| length != buf.len() as u64) {
            return Err("it is shorter than its announced length".to_owned());
        }
        Ok(buf.freeze())
    }
}

/// Largest number of bytes that are read from a connection before they are used, which bounds the head of an answer.
const MAX_READ_BYTES: usize = 64 << 10;
/// Maximum number of idle connections for each address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Opens connections for the client.
#[derive(Clone)]
struct Connector {
    network: Arc<dyn Network>,
    connect_timeout: Duration,
}

impl PooledConnection for BoxConnection {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<BoxConnection>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let network = self.network.clone();
        let limit = self.connect_timeout;
        Box::pin(async move {
            let authority = uri.authority().map(ToString::to_string).unwrap_or_default();
            let address: SocketAddr =
                authority.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an IP number"))?;
            let connection = timeout(limit, network.connect(address)).await??;
            Ok(TokioIo::new(connection))
        })
    }
}
