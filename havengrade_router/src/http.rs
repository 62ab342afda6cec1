//! The HTTP client that all outside systems are called through.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
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

use crate::net::{BoxConnection, Network};

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection came about, so nothing was sent.
    #[snafu(display("no connection to {address}: {source}"))]
    NotSent {
        /// The other side.
        address: SocketAddr,
        /// What the client says.
        source: ClientError,
    },
    /// The connection failed after something may have been sent.
    #[snafu(display("connection to {address} lost: {source}"))]
    Lost {
        /// The other side.
        address: SocketAddr,
        /// What the client says.
        source: ClientError,
    },
    /// The body of the answer broke off or was too long.
    #[snafu(display("answer of {address} broke off: {reason}"))]
    InvalidBody {
        /// The other side.
        address: SocketAddr,
        /// What was wrong.
        reason: String,
    },
    /// No answer came in time.
    #[snafu(display("no answer of {address} in time"))]
    TimedOut {
        /// The other side.
        address: SocketAddr,
    },
    /// The answer was not what was asked for.
    #[snafu(display("{address} answered {status}: {body}"))]
    UnexpectedStatus {
        /// The other side.
        address: SocketAddr,
        /// Status of the answer.
        status: u16,
        /// Its body.
        body: String,
    },
}

impl HttpError {
    /// Whether the call surely never reached the other side.
    pub fn is_known_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: u16,
    /// Content type of the answer; empty where it names none.
    pub content_type: String,
    /// All its headers.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Answer {
    /// The body of an answer with status 200.
    ///
    /// # Errors
    ///
    /// [`HttpError::UnexpectedStatus`] for any other status.
    pub fn into_ok_body(self, address: SocketAddr) -> Result<Bytes, HttpError> {
        if self.status == hyper::StatusCode::OK.as_u16() {
            return Ok(self.body);
        }
        let body = String::from_utf8_lossy(&self.body).into_owned();
        UnexpectedStatusSnafu { address, status: self.status, body }.fail()
    }
}

/// A GET of a URI that we built ourselves.
pub fn get(uri: &str) -> Request<Full<Bytes>> {
    build(Method::GET, uri, Full::default())
}

/// A POST of JSON to a URI that we built ourselves.
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

/// An HTTP client.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Client<Connector, Full<Bytes>>,
    fresh: Client<Connector, Full<Bytes>>,
}

/// Whether a call may go over a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It may.
    Allowed,
    /// It gets a new connection, so that "no connection" proves that nothing was sent.
    Never,
}

impl HttpClient {
    /// A client over a network that waits up to `connect_timeout` for a connection.
    pub fn new(network: Arc<dyn Network>, connect_timeout: Duration) -> Self {
        let connector = Connector { network, connect_timeout };
        let client = |max_idle| {
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_max_idle_per_host(max_idle)
                .retry_canceled_requests(max_idle > 0)
                .build(connector.clone())
        };
        Self { pooled: client(MAX_IDLE), fresh: client(0) }
    }

    /// Sends a request and gives the head of its answer, with a body still to be read.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`], [`HttpError::Lost`] or [`HttpError::TimedOut`].
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
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(error).context(NotSentSnafu { address }),
            Err(error) => Err(error).context(LostSnafu { address }),
        }
    }

    /// Sends a request and reads its whole answer, of up to `max_body` bytes, within the time limit.
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
        let whole = async {
            let response = self.send(address, request, reuse, limit).await?;
            let (head, body) = response.into_parts();
            let collected = Limited::new(body, max_body).collect().await;
            let collected = collected.map_err(|error| HttpError::InvalidBody { address, reason: error.to_string() })?;
            let content_type = head.headers.get(CONTENT_TYPE);
            let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
            Ok(Answer { status: head.status.as_u16(), content_type, headers: head.headers, body: collected.to_bytes() })
        };
        timeout(limit, whole).await.unwrap_or_else(|_| TimedOutSnafu { address }.fail())
    }
}

/// Connections that are kept for an address.
const MAX_IDLE: usize = 64;

/// Makes connections for the client.
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
