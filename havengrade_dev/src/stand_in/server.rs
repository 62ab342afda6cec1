//! The HTTP server that all stand-ins share.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use havengrade_router::net::Network;
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio_util::task::AbortOnDropHandle;

/// An answer of a stand-in; `None` closes the connection without one.
pub type Reply = Option<Response<UnsyncBoxBody<Bytes, io::Error>>>;

/// A call of a stand-in.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query, without the question mark.
    pub query: String,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// A number in the query, or 0.
    pub fn number(&self, name: &str) -> u64 {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or_default()
    }

    /// A header, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Answers the calls of a stand-in.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers a call.
    async fn handle(&self, call: Call) -> Reply;
}

/// Starts a stand-in at an address; it ends when the handle is dropped.
///
/// # Errors
///
/// Those of the network, where the address can't be had.
pub async fn start(
    network: Arc<dyn Network>,
    at: SocketAddr,
    handler: Arc<dyn Handler>,
) -> io::Result<AbortOnDropHandle<()>> {
    let mut listener = network.bind(at).await?;
    Ok(AbortOnDropHandle::new(tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok(connection) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            let handler = handler.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| answer(handler.clone(), request));
                // A call whose handler gave no answer ends its connection with an error, as it should.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(connection), service).await;
            });
        }
    })))
}

async fn answer(
    handler: Arc<dyn Handler>,
    request: Request<Incoming>,
) -> Result<Response<UnsyncBoxBody<Bytes, io::Error>>, io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    let reply = handler.handle(call).await;
    reply.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
}

/// A JSON answer.
pub(crate) fn json(status: StatusCode, value: &Value) -> Reply {
    bytes(status, "application/json", Bytes::from(value.to_string()))
}

/// An answer of bytes.
pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    Some(response)
}
