//! A caller, as an assistant's front end would be.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use havengrade_router::{
    http::{ConnectionReuse, HttpClient, HttpError, get, post},
    net::Network,
    traffic::Problem,
};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    HeaderMap, Request, StatusCode,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::scenario::key_of;

/// Time for which a caller waits for one answer.
const CALL_LIMIT: Duration = Duration::from_secs(120);

/// A caller of a client account.
#[derive(Clone)]
pub struct Caller {
    client: HttpClient,
    account: String,
}

/// What a caller sends.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Request class.
    pub class: String,
    /// Plain service; none for chat.
    pub service: Option<String>,
    /// The prompt, or the body of a service's call.
    pub prompt: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Number of the attempt.
    pub attempt: Option<u32>,
    /// Session token.
    pub session: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    pub patience_ms: Option<u64>,
}

/// What a caller gets.
#[derive(Clone, Debug)]
pub struct Got {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Got {
    /// A header of the answer, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The problem that the answer is, if it is one.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// The answer as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The text of a chat's answer, whole or streamed; `None` where it is not whole.
    pub fn text(&self) -> Option<String> {
        if !self.status.is_success() {
            return None;
        }
        if self.header("content-type") != "text/event-stream" {
            return self.json().pointer("/choices/0/message/content")?.as_str().map(str::to_owned);
        }
        let body = String::from_utf8_lossy(&self.body);
        let events: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let (last, pieces) = events.split_last()?;
        let piece = |event: &&str| {
            let chunk: Value = serde_json::from_str(event).unwrap_or_default();
            chunk.pointer("/choices/0/delta/content").and_then(Value::as_str).unwrap_or_default().to_owned()
        };
        (*last == "[DONE]").then(|| pieces.iter().map(piece).collect())
    }
}

impl Caller {
    /// A caller of a client account over a network.
    pub fn new(network: Arc<dyn Network>, account: &str) -> Self {
        Self { client: HttpClient::new(network, Duration::from_secs(1)), account: account.to_owned() }
    }

    /// Sends a request to a router and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`HttpError`] where no whole answer came.
    pub async fn ask(&self, router: SocketAddr, ask: &Ask) -> Result<Got, HttpError> {
        self.send(router, self.request(router, ask)).await
    }

    /// Asks a router what became of a request.
    ///
    /// # Errors
    ///
    /// [`HttpError`] where no whole answer came.
    pub async fn look_up(&self, router: SocketAddr, id: &str) -> Result<Got, HttpError> {
        let mut request = get(&format!("http://{router}/v1/requests/{id}"));
        self.sign(&mut request);
        self.send(router, request).await
    }

    /// Sends a request, and while it is pending asks for its answer.
    ///
    /// # Errors
    ///
    /// [`HttpError`] where no whole answer came.
    pub async fn ask_until_answered(&self, router: SocketAddr, ask: &Ask) -> Result<Got, HttpError> {
        const PAUSE: Duration = Duration::from_millis(100);
        let mut got = self.ask(router, ask).await?;
        while got.status == StatusCode::ACCEPTED {
            sleep(PAUSE).await;
            let id = got.header("x-request-id").to_owned();
            got = self.look_up(router, &id).await?;
        }
        Ok(got)
    }

    /// Sends any request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`HttpError`] where no whole answer came.
    pub async fn send(&self, router: SocketAddr, request: Request<Full<Bytes>>) -> Result<Got, HttpError> {
        let response = self.client.send(router, request, ConnectionReuse::Allowed, CALL_LIMIT).await?;
        let (head, body) = response.into_parts();
        let collected = body.collect().await;
        let collected =
            collected.map_err(|error| HttpError::InvalidBody { address: router, reason: error.to_string() })?;
        Ok(Got { status: head.status, headers: head.headers, body: collected.to_bytes() })
    }

    /// The request as it goes over the wire.
    pub fn request(&self, router: SocketAddr, ask: &Ask) -> Request<Full<Bytes>> {
        let (path, body) = match &ask.service {
            Some(service) => (format!("services/{service}"), json!({ "call": ask.prompt })),
            None => {
                let messages = json!([{ "role": "user", "content": ask.prompt }]);
                ("chat/completions".to_owned(), json!({ "messages": messages, "stream": ask.stream }))
            },
        };
        let mut request = post(&format!("http://{router}/v1/{path}"), body.to_string());
        self.sign(&mut request);
        set(&mut request, "x-havengrade-class", Some(ask.class.clone()));
        set(&mut request, "idempotency-key", ask.key.clone());
        set(&mut request, "x-havengrade-attempt", ask.attempt.map(|attempt| attempt.to_string()));
        set(&mut request, "x-havengrade-session", ask.session.clone());
        set(&mut request, "x-havengrade-patience-ms", ask.patience_ms.map(|patience| patience.to_string()));
        request
    }

    fn sign(&self, request: &mut Request<Full<Bytes>>) {
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", key_of(&self.account))) {
            request.headers_mut().insert(AUTHORIZATION, value);
        }
    }
}

fn set(request: &mut Request<Full<Bytes>>, name: &'static str, value: Option<String>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) {
        request.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
