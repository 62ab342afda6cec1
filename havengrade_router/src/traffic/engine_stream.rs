//! Streams from model engines, which are read in order, resumed after a lost connection and cancelled when dropped.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt as _, TryStreamExt as _};
use havengrade_core::{config::Endpoint, cost::TokenUsage};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Method, Request, Response, StatusCode,
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
    answer_room::AnswerBytes,
    http::{ConnectionReuse, HttpError, get, post},
    kernel::Context,
    traffic::{backoff::record_backoff, chat_api::EngineChunk},
};

/// Id of a stream, by which it can be resumed and cancelled.
const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
/// Priority of a request; 0 is the highest.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Largest answer, in bytes of the lines of its pieces.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Most connections that may be opened in a row to resume a stream without receiving a new piece; those of a silent
/// engine don't count while nothing else may give the answer.
const MAX_RESUMES: u32 = 3;
/// Delay before a stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Time limit for the engine's answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an engine gave no complete answer.
#[derive(Debug)]
pub(crate) enum EngineError {
    /// The engine surely didn't run the request.
    NotRun(String),
    /// The engine may have run the request, or a part of it.
    MayHaveRun(String),
}

/// A chat request to an engine, whose answer is read as a stream.
pub(crate) struct EngineCall<'a> {
    pub(crate) cx: &'a Context,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) stream_id: String,
    pub(crate) priority: u8,
}

/// Receives the pieces of an answer in order.
pub(crate) trait PieceSink: Send {
    fn push(&mut self, piece: Arc<str>);
}

/// How a connection of a stream ended.
enum ConnectionEnd {
    /// The answer is complete.
    Complete,
    /// The connection ended before the answer was complete; the stream may be resumed.
    Interrupted(String),
    /// The engine sent nothing within a time limit; the stream may be resumed.
    Silent(String),
    /// The answer is too long, or no room is left for the rest of it.
    TooLong(String),
}

/// An open stream, which is cancelled at its engine when it is dropped unfinished.
struct OpenStream<'a> {
    call: &'a EngineCall<'a>,
    received_pieces: usize,
    counted: &'a mut AnswerBytes,
    usage: TokenUsage,
    is_finished: bool,
}

impl EngineCall<'_> {
    /// Reads the complete answer and passes each piece to the sink exactly once; `counted` counts the bytes of all calls
    /// that supply the answer.
    ///
    /// A silent engine may still be working on the answer, so it is given up only if `may_be_replaced`, given whether it
    /// has sent a piece, tells that something else may give the answer.
    pub(crate) async fn run(
        &self,
        body: &Value,
        sink: &mut dyn PieceSink,
        counted: &mut AnswerBytes,
        may_be_replaced: &(dyn Fn(bool) -> bool + Sync),
    ) -> Result<TokenUsage, EngineError> {
        let usage = TokenUsage::default();
        let mut stream = OpenStream { call: self, received_pieces: 0, counted, usage, is_finished: false };
        let mut opened = self.open(self.start_request(body)).await;
        if let Err(error) = &opened
            && error.is_known_not_sent()
        {
            stream.is_finished = true;
            return Err(EngineError::NotRun(error.to_string()));
        }
        let mut resume_attempts = 0;
        let mut is_start = true;
        loop {
            let received_before = stream.received_pieces;
            if let Ok(response) = &opened {
                record_backoff(self.cx, &self.endpoint.id, response.status(), response.headers());
            }
            let end = match opened {
                Ok(response) => match status_error(response.status(), self.endpoint, is_start) {
                    Some(error) => {
                        stream.is_finished = true;
                        return Err(error);
                    },
                    None => stream.read(response, sink).await,
                },
                Err(error) if error.is_silence() => ConnectionEnd::Silent(error.to_string()),
                Err(error) => ConnectionEnd::Interrupted(error.to_string()),
            };
            let (reason, is_counted) = match end {
                ConnectionEnd::Complete => {
                    stream.is_finished = true;
                    return Ok(stream.usage);
                },
                ConnectionEnd::Interrupted(reason) => (reason, true),
                ConnectionEnd::Silent(reason) => (reason, may_be_replaced(stream.received_pieces > 0)),
                ConnectionEnd::TooLong(reason) => return Err(EngineError::MayHaveRun(reason)),
            };
            if stream.received_pieces > received_before {
                resume_attempts = 0;
            }
            resume_attempts += u32::from(is_counted);
            if resume_attempts > MAX_RESUMES {
                return Err(EngineError::MayHaveRun(reason));
            }
            log::debug!(
                endpoint = self.endpoint.id.as_str(), stream = self.stream_id.as_str();
                "resuming the stream: {reason}"
            );
            sleep(RESUME_DELAY).await;
            is_start = false;
            opened = self.open(self.resume_request(stream.received_pieces)).await;
        }
    }

    fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.cx.shared.settings.endpoints.stall_ms)
    }

    async fn open(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, HttpError> {
        self.cx.http.send(self.endpoint.address, request, ConnectionReuse::Allowed, self.stall_timeout()).await
    }

    fn start_request(&self, body: &Value) -> Request<Full<Bytes>> {
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

    fn resume_request(&self, from: usize) -> Request<Full<Bytes>> {
        get(&format!("{}?from={from}", self.stream_uri()))
    }
}

/// Returns the error for a status that isn't a success.
///
/// Only an engine that rejects the start of a stream, for load or as malformed, tells that it runs nothing.
fn status_error(status: StatusCode, endpoint: &Endpoint, is_start: bool) -> Option<EngineError> {
    if status.is_success() {
        return None;
    }
    let detail = format!("{} answered {status}", endpoint.id);
    let is_rejection = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    let has_not_run = is_start && is_rejection && status != StatusCode::NOT_FOUND;
    Some(if has_not_run { EngineError::NotRun(detail) } else { EngineError::MayHaveRun(detail) })
}

impl OpenStream<'_> {
    async fn read(&mut self, response: Response<Incoming>, sink: &mut dyn PieceSink) -> ConnectionEnd {
        let data = response.into_body().into_data_stream().map_err(io::Error::other);
        let mut lines = FramedRead::new(StreamReader::new(data), LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let mut index = None;
        loop {
            let line = match timeout(self.call.stall_timeout(), lines.next()).await {
                Ok(Some(Ok(line))) => line,
                Ok(Some(Err(error))) => return ConnectionEnd::Interrupted(error.to_string()),
                Ok(None) => return ConnectionEnd::Interrupted("the stream ended before the answer did".to_owned()),
                Err(_) => return ConnectionEnd::Silent("the stream stalled".to_owned()),
            };
            if let Some(id) = line.strip_prefix("id:") {
                index = id.trim().parse::<usize>().ok();
            }
            let Some(data) = line.strip_prefix("data:").map(str::trim) else { continue };
            if data == "[DONE]" {
                return ConnectionEnd::Complete;
            }
            if let Err(reason) = self.reserve_room(data.len()).await {
                return ConnectionEnd::TooLong(reason);
            }
            if let Err(reason) = self.accept_chunk(data, index, sink) {
                return ConnectionEnd::Interrupted(reason);
            }
        }
    }

    /// Counts the bytes of a piece; tells why it must not be kept.
    async fn reserve_room(&mut self, bytes: usize) -> Result<(), String> {
        self.counted.add(bytes, self.call.stall_timeout()).await.map_err(|error| error.to_string())?;
        if self.counted.get() > MAX_ANSWER_BYTES {
            return Err(format!("the answer has more than {MAX_ANSWER_BYTES} bytes"));
        }
        Ok(())
    }

    /// Passes a piece to the sink if it is the next one; a piece received before is skipped.
    fn accept_chunk(&mut self, data: &str, index: Option<usize>, sink: &mut dyn PieceSink) -> Result<(), String> {
        let chunk: EngineChunk = serde_json::from_str(data).map_err(|error| error.to_string())?;
        if let Some(usage) = chunk.usage() {
            self.usage = usage;
        }
        let Some(content) = chunk.content() else { return Ok(()) };
        let index = index.unwrap_or(self.received_pieces);
        if index > self.received_pieces {
            return Err(format!("piece {index} came before piece {}", self.received_pieces));
        }
        if index == self.received_pieces {
            self.received_pieces += 1;
            sink.push(Arc::from(content));
        }
        Ok(())
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let mut request = get(&self.call.stream_uri());
        *request.method_mut() = Method::DELETE;
        let (client, address) = (self.call.cx.http.clone(), self.call.endpoint.address);
        self.call.cx.spawn(async move {
            drop(client.call(address, request, ConnectionReuse::Allowed, CANCEL_TIMEOUT, MAX_LINE_BYTES).await);
        });
    }
}
