//! Streams from model engines: read in order, resumed after a loss, cancelled when nobody wants them.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt as _, TryStreamExt as _};
use havengrade_core::{config::Endpoint, cost::TokenUsage};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use serde_json::Value;
use tokio::time::{sleep, timeout};
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

use crate::{
    http::{HttpError, Reuse, get, post},
    kernel::Context,
    traffic::{backoff::note_rest, chat_api::EngineChunk},
};

/// Names a stream, so that it can be resumed and cancelled.
const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
/// Carries the priority; 0 comes first.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Longest line of a stream, in bytes.
const MAX_LINE: usize = 1 << 20;
/// Tries to resume in a row without a new piece in between.
const MAX_RESUMES: u32 = 3;
/// Time before a stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Time that an engine has to take note of a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Why an engine gave no whole answer.
#[derive(Debug)]
pub(crate) enum EngineError {
    /// It surely did not run the request.
    NotRun(String),
    /// It may have run it, or a part of it.
    Broken(String),
}

/// A stream to be read from an engine.
pub(crate) struct EngineCall<'a> {
    pub(crate) cx: &'a Context,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) stream_id: String,
    pub(crate) priority: u8,
}

/// Takes the pieces of an answer, in order.
pub(crate) trait PieceSink: Send {
    fn take(&mut self, piece: Arc<str>);
}

/// How a connection of a stream ended.
enum Ended {
    /// With the whole answer.
    Whole,
    /// Too early; the stream may be resumed.
    Early(String),
}

/// A stream that is cancelled at its engine unless it has ended.
struct OpenStream<'a> {
    call: &'a EngineCall<'a>,
    received: usize,
    usage: TokenUsage,
    has_ended: bool,
}

impl EngineCall<'_> {
    /// Reads the whole answer; each piece is given to the sink once.
    pub(crate) async fn run(&self, body: &Value, sink: &mut dyn PieceSink) -> Result<TokenUsage, EngineError> {
        let mut stream = OpenStream { call: self, received: 0, usage: TokenUsage::default(), has_ended: false };
        let mut opened = self.open(self.start(body)).await;
        if let Err(error) = &opened
            && error.surely_not_sent()
        {
            stream.has_ended = true;
            return Err(EngineError::NotRun(error.to_string()));
        }
        let mut resumes = 0;
        loop {
            let before = stream.received;
            if let Ok(response) = &opened {
                note_rest(self.cx, &self.endpoint.id, response.status(), response.headers());
            }
            let ended = match opened {
                Ok(response) => match refusal(&response, self.endpoint, before) {
                    Some(error) => {
                        stream.has_ended = true;
                        return Err(error);
                    },
                    None => stream.read(response, sink).await,
                },
                Err(error) => Ended::Early(error.to_string()),
            };
            let reason = match ended {
                Ended::Whole => {
                    stream.has_ended = true;
                    return Ok(stream.usage);
                },
                Ended::Early(reason) => reason,
            };
            resumes = if stream.received > before { 1 } else { resumes + 1 };
            if resumes > MAX_RESUMES {
                return Err(EngineError::Broken(reason));
            }
            log::debug!(endpoint = self.endpoint.id.as_str(), stream = self.stream_id.as_str(); "resume: {reason}");
            sleep(RESUME_PAUSE).await;
            opened = self.open(self.resume(stream.received)).await;
        }
    }

    fn stall(&self) -> Duration {
        Duration::from_millis(self.cx.shared.settings.endpoints.stall_ms)
    }

    async fn open(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, HttpError> {
        self.cx.http.open(self.endpoint.address, request, Reuse::Allowed, self.stall()).await
    }

    fn start(&self, body: &Value) -> Request<Full<Bytes>> {
        let mut request = post(&format!("http://{}/v1/chat/completions", self.endpoint.address), body.to_string());
        if let Ok(id) = HeaderValue::from_str(&self.stream_id) {
            request.headers_mut().insert(STREAM_ID, id);
        }
        request.headers_mut().insert(PRIORITY, HeaderValue::from(u16::from(self.priority)));
        request
    }

    fn stream_uri(&self) -> String {
        format!("http://{}/v1/streams/{}", self.endpoint.address, self.stream_id)
    }

    fn resume(&self, from: usize) -> Request<Full<Bytes>> {
        get(&format!("{}?from={from}", self.stream_uri()))
    }
}

/// The error that a status other than 200 stands for.
fn refusal(response: &Response<Incoming>, endpoint: &Endpoint, received: usize) -> Option<EngineError> {
    let status = response.status();
    if status.is_success() {
        return None;
    }
    let detail = format!("{} answered {status}", endpoint.id);
    // An engine that refuses for load or for a bad request says so before it runs anything.
    let has_not_run = received == 0 && status != hyper::StatusCode::NOT_FOUND;
    Some(if has_not_run { EngineError::NotRun(detail) } else { EngineError::Broken(detail) })
}

impl OpenStream<'_> {
    async fn read(&mut self, response: Response<Incoming>, sink: &mut dyn PieceSink) -> Ended {
        let data = response.into_body().into_data_stream().map_err(io::Error::other);
        let mut lines = FramedRead::new(StreamReader::new(data), LinesCodec::new_with_max_length(MAX_LINE));
        let mut index = None;
        loop {
            let line = match timeout(self.call.stall(), lines.next()).await {
                Ok(Some(Ok(line))) => line,
                Ok(Some(Err(error))) => return Ended::Early(error.to_string()),
                Ok(None) => return Ended::Early("the stream ended before the answer did".to_owned()),
                Err(_) => return Ended::Early("the stream stalled".to_owned()),
            };
            if let Some(id) = line.strip_prefix("id:") {
                index = id.trim().parse::<usize>().ok();
            }
            let Some(data) = line.strip_prefix("data:").map(str::trim) else { continue };
            if data == "[DONE]" {
                return Ended::Whole;
            }
            if let Err(reason) = self.take(data, index, sink) {
                return Ended::Early(reason);
            }
        }
    }

    /// Takes a piece if it is the next one; one that came before is passed over.
    fn take(&mut self, data: &str, index: Option<usize>, sink: &mut dyn PieceSink) -> Result<(), String> {
        let chunk: EngineChunk = serde_json::from_str(data).map_err(|error| error.to_string())?;
        if let Some(usage) = chunk.usage() {
            self.usage = usage;
        }
        let Some(content) = chunk.content() else { return Ok(()) };
        let index = index.unwrap_or(self.received);
        if index > self.received {
            return Err(format!("piece {index} came before piece {}", self.received));
        }
        if index == self.received {
            self.received += 1;
            sink.take(Arc::from(content));
        }
        Ok(())
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let mut request = get(&self.call.stream_uri());
        *request.method_mut() = Method::DELETE;
        let (client, address) = (self.call.cx.http.clone(), self.call.endpoint.address);
        self.call.cx.spawn(async move {
            drop(client.call(address, request, Reuse::Allowed, CANCEL_LIMIT, MAX_LINE).await);
        });
    }
}
