//! Streams of events: forwards whole events in order and resumes a broken stream at another endpoint.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use havengrade_core::published::{attempt::RunState, directory::ListedEndpoint, route::AnswerShape};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
};
use tokio::{
    sync::mpsc::{self, Sender},
    time::timeout,
};

use crate::{
    endpoints::InFlightGuard,
    published::{
        active_request::ActiveRequest,
        attempt::{AnsweredAttempt, Attempt, log_failed_attempt, record_failure, send_attempt},
        connection_pool::EndpointConnection,
        context::PublishedContext,
        endpoint_choice::endpoint_memory_tokens,
        event_timer::EventTimer,
        forward::next_endpoint,
        outcomes::{
            FirstByteTimer, InProgressGuard, extend_session, record_answer_metrics, record_broken_outcome,
            record_event_time, record_first_byte_time, record_outcome, record_session_version, record_success,
            release_session, version_failure,
        },
        quarantine::{log_send_after_crashes, record_abandoned_attempt, record_answer, record_broken_attempt},
        refusal::{AnswerBody, BodyError},
        rewrite::encode_answer_head,
    },
};

/// Chunks of a stream that are buffered for a caller who reads slowly.
const MAX_WAITING_CHUNKS: usize = 4;
/// Pause between events after which a stream is resumed at another endpoint, as a multiple of the target of its route.
const STALL_TIMEOUT_FACTOR: u32 = 2;
/// Pause between events after which a stream is resumed at another endpoint if its route sets no target.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Largest event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events, byte for byte as the endpoint sent them.
struct EventChunk {
    bytes: Bytes,
    events: u32,
    last_id: Option<String>,
}

/// Why a stream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    /// The connection or the stream ended within an event, or an event was too large.
    CutOff,
    /// No event came within the stall timeout.
    Stalled,
}

impl StreamFault {
    /// Reason in logs and metrics.
    fn reason(self) -> &'static str {
        match self {
            Self::CutOff => "the stream broke off",
            Self::Stalled => "the stream stalled",
        }
    }
}

/// The stream of one attempt at an endpoint.
struct EndpointStream {
    attempt: Attempt,
    connection: EndpointConnection,
    body: Incoming,
    buf: BytesMut,
    in_flight: InFlightGuard,
    event_timer: EventTimer,
}

impl EndpointStream {
    fn new(answered: AnsweredAttempt) -> Self {
        let AnsweredAttempt { attempt, connection, body, in_flight, .. } = answered;
        Self { attempt, connection, body, buf: BytesMut::new(), in_flight, event_timer: EventTimer::default() }
    }

    /// Records the time per event.
    fn record_events(&mut self, cx: &PublishedContext, request: &ActiveRequest, events: u32) {
        if let Some(pause) = self.event_timer.record_events(events, cx.shared.clock.now()) {
            record_event_time(cx, request, &self.attempt, pause);
        }
    }

    /// Records the time per event of a stream that ended or was abandoned before it was measured.
    fn record_remaining_event_time(&mut self, cx: &PublishedContext, request: &ActiveRequest) {
        if let Some(pause) = self.event_timer.finish(cx.shared.clock.now()) {
            record_event_time(cx, request, &self.attempt, pause);
        }
    }

    /// Reads the next complete events; none at the end of the stream.
    async fn next(&mut self, limit: Duration) -> Result<Option<EventChunk>, StreamFault> {
        timeout(limit, self.read()).await.unwrap_or(Err(StreamFault::Stalled))
    }

    async fn read(&mut self) -> Result<Option<EventChunk>, StreamFault> {
        loop {
            if let Some(chunk) = split_complete_events(&mut self.buf) {
                self.in_flight.record_prompt_read();
                return Ok(Some(chunk));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                },
                Some(Err(_)) => return Err(StreamFault::CutOff),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(StreamFault::CutOff),
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(StreamFault::CutOff);
            }
        }
    }
}

/// Splits all complete events off a buffer; an event ends with an empty line.
fn split_complete_events(buf: &mut BytesMut) -> Option<EventChunk> {
    let end = buf.windows(EVENT_END.len()).rposition(|end| end == EVENT_END)? + EVENT_END.len();
    let bytes = buf.split_to(end).freeze();
    let last_id = last_event_id(&bytes);
    let events = bytes.windows(EVENT_END.len()).filter(|end| *end == EVENT_END).count() as u32;
    Some(EventChunk { bytes, events, last_id })
}

/// Returns the id of the last event that has one.
fn last_event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = id.strip_suffix(b"\r").unwrap_or(id);
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}

/// Starts a stream to the caller.
///
/// The first events are awaited before the caller gets the head of the answer, so that an attempt without any event
/// can still be replaced by another one.
///
/// # Errors
///
/// [`RunState`] of the request if no event came.
pub(super) async fn start(
    cx: &PublishedContext,
    request: &ActiveRequest,
    answered: AnsweredAttempt,
    guard: &mut Option<InProgressGuard>,
) -> Result<Response<AnswerBody>, RunState> {
    let (sent_at, head) = (answered.attempt.sent_at, answered.head.clone());
    let mut upstream = EndpointStream::new(answered);
    let now = cx.shared.clock.now();
    let waited = now.duration_since(sent_at).unwrap_or_default();
    let first_event_timeout = request.attempt_timeout(now).saturating_sub(waited);
    let attempt = upstream.attempt.clone();
    let first_byte_timer = FirstByteTimer::new(cx, request, &attempt);
    let first = match upstream.next(first_event_timeout).await {
        Ok(first) => first,
        Err(fault) => {
            log_failed_attempt(request, &upstream.attempt.endpoint, fault.reason());
            if fault == StreamFault::CutOff {
                first_byte_timer.stop();
                record_broken_outcome(cx, request, &upstream.attempt.endpoint);
            }
            record_broken_attempt(cx, request, &upstream.attempt.endpoint, sent_at);
            record_failure(cx, &upstream.attempt.endpoint);
            return Err(RunState::MayHaveRun);
        },
    };
    first_byte_timer.stop();
    let now = cx.shared.clock.now();
    let first_after = now.duration_since(sent_at).unwrap_or_default();
    record_first_byte_time(cx, request, &attempt, first_after);
    let status = head.status;
    record_answer_metrics(request, status, now);
    let head = encode_answer_head(cx, head);
    let (caller, chunks) = mpsc::channel(MAX_WAITING_CHUNKS);
    let relay = StreamRelay { cx: cx.clone(), last_id: None, events: 0, first_after, resumed: 0, caller };
    let guard = guard.take();
    let request = request.clone();
    let forced_shutdown = cx.forced_shutdown.clone();
    tokio::spawn(async move {
        let _guard = guard;
        forced_shutdown.run_until_cancelled(relay.run(request, upstream, first)).await;
    });
    let body = stream::unfold(chunks, |mut chunks| async move { chunks.recv().await.map(|chunk| (chunk, chunks)) });
    Ok(Response::from_parts(head, StreamBody::new(body).boxed_unsync()))
}

/// Relays a stream to a caller, across the attempts that supply it.
struct StreamRelay {
    cx: PublishedContext,
    last_id: Option<String>,
    /// Number of events, of all attempts.
    events: u32,
    first_after: Duration,
    resumed: u32,
    caller: Sender<Result<Frame<Bytes>, BodyError>>,
}

/// How the stream of one attempt ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The deadline of the request has passed.
    TimeOver,
    /// The stream broke.
    Broken(StreamFault),
}

impl StreamRelay {
    /// Relays the stream until it is complete or can't be resumed.
    async fn run(mut self, mut request: ActiveRequest, mut upstream: EndpointStream, first: Option<EventChunk>) {
        request.record_attempt(RunState::Ran);
        let mut next = first;
        loop {
            let ended = self.relay(&request, &mut upstream, next.take()).await;
            upstream.record_remaining_event_time(&self.cx, &request);
            let fault = match ended {
                RelayEnd::Complete => return self.finish(&request, upstream),
                RelayEnd::CallerLeft => {
                    record_abandoned_attempt(&self.cx, &request, &upstream.attempt.endpoint, upstream.attempt.sent_at);
                    return self.record_end(&request, Some(&upstream.attempt.endpoint), "the caller left");
                },
                RelayEnd::TimeOver => {
                    record_abandoned_attempt(&self.cx, &request, &upstream.attempt.endpoint, upstream.attempt.sent_at);
                    self.record_end(&request, Some(&upstream.attempt.endpoint), "the time limit was reached");
                    return self.abort("the time limit was reached").await;
                },
                RelayEnd::Broken(fault) => fault,
            };
            log_failed_attempt(&request, &upstream.attempt.endpoint, fault.reason());
            if fault == StreamFault::CutOff {
                record_broken_outcome(&self.cx, &request, &upstream.attempt.endpoint);
            }
            record_broken_attempt(&self.cx, &request, &upstream.attempt.endpoint, upstream.attempt.sent_at);
            record_failure(&self.cx, &upstream.attempt.endpoint);
            // Closes the connection of the broken attempt before another one continues the stream.
            drop(upstream);
            match self.resume(&mut request).await {
                Some(resumed) => upstream = resumed,
                None => {
                    self.record_end(&request, None, fault.reason());
                    return self.abort(fault.reason()).await;
                },
            }
        }
    }

    /// Relays the events of one attempt until its stream ends.
    async fn relay(
        &mut self,
        request: &ActiveRequest,
        upstream: &mut EndpointStream,
        first: Option<EventChunk>,
    ) -> RelayEnd {
        let stall_timeout =
            request.route.pause_target.map_or(DEFAULT_STALL_TIMEOUT, |pause| pause * STALL_TIMEOUT_FACTOR);
        let mut next = first;
        loop {
            if let Some(chunk) = next.take() {
                upstream.record_events(&self.cx, request, chunk.events);
                self.events = self.events.saturating_add(chunk.events);
                if !self.send_to_caller(chunk).await {
                    return RelayEnd::CallerLeft;
                }
            }
            let left = request.time_left(self.cx.shared.clock.now());
            if left.is_zero() {
                return RelayEnd::TimeOver;
            }
            let read = tokio::select! {
                biased;
                () = self.caller.closed() => return RelayEnd::CallerLeft,
                read = upstream.next(stall_timeout.min(left)) => read,
            };
            match read {
                Ok(Some(chunk)) => next = Some(chunk),
                Ok(None) => return RelayEnd::Complete,
                Err(StreamFault::Stalled) if left <= stall_timeout => return RelayEnd::TimeOver,
                Err(fault) => return RelayEnd::Broken(fault),
            }
        }
    }

    /// Sends events to the caller; returns whether the caller is still connected.
    async fn send_to_caller(&mut self, chunk: EventChunk) -> bool {
        if chunk.last_id.is_some() {
            self.last_id = chunk.last_id;
        }
        self.caller.send(Ok(Frame::data(chunk.bytes))).await.is_ok()
    }

    /// Resumes the stream at another endpoint, after the last event that the caller got.
    async fn resume(&mut self, request: &mut ActiveRequest) -> Option<EndpointStream> {
        let is_resumable = matches!(request.route.shape, AnswerShape::Events { is_resumable: true });
        let last_id = self.last_id.clone().or_else(|| request.attributes.last_event.clone());
        while is_resumable && request.attempts.may_try_again() {
            let chosen = tokio::select! {
                biased;
                () = self.caller.closed() => return None,
                chosen = next_endpoint(&self.cx, request) => chosen,
            };
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    log::info!(
                        request = request.id.as_str(),
                        reason = refusal.name();
                        "stream not resumed: no further attempt is possible"
                    );
                    return None;
                },
            };
            log_send_after_crashes(&self.cx, request, &chosen.endpoint);
            request.tried_endpoints.push(chosen.endpoint.id.clone());
            let answered = tokio::select! {
                biased;
                () = self.caller.closed() => return None,
                answered = send_attempt(&self.cx, request, chosen, last_id.as_deref()) => answered,
            };
            match answered {
                Ok(answered) if answered.head.status.is_success() => {
                    let now = self.cx.shared.clock.now();
                    record_session_version(&self.cx, request, &answered.attempt.endpoint.version, now);
                    self.resumed += 1;
                    request.record_attempt(RunState::Ran);
                    return Some(self.resumed_stream(request, answered));
                },
                Ok(answered) => {
                    record_outcome(
                        &self.cx,
                        request,
                        &answered.attempt.endpoint,
                        version_failure(answered.head.status),
                    );
                    record_failure(&self.cx, &answered.attempt.endpoint);
                    request.record_attempt(RunState::Ran);
                },
                Err(state) => {
                    if state == RunState::NotSent {
                        self.cx.shared.retry_budgets.refund(&request.service);
                    }
                    request.record_attempt(state);
                },
            }
        }
        None
    }

    /// Logs the resumption and returns the stream of the new attempt.
    fn resumed_stream(&self, request: &ActiveRequest, answered: AnsweredAttempt) -> EndpointStream {
        log::info!(
            request = request.id.as_str(),
            endpoint = answered.attempt.endpoint.id.as_str(),
            after_event = self.last_id.as_deref().unwrap_or_default();
            "stream resumed"
        );
        EndpointStream::new(answered)
    }

    /// Records a complete stream and returns its connection to the pool.
    fn finish(self, request: &ActiveRequest, upstream: EndpointStream) {
        let EndpointStream { attempt: Attempt { endpoint, .. }, connection, .. } = upstream;
        record_outcome(&self.cx, request, &endpoint, None);
        extend_session(&self.cx, request, &endpoint.version);
        record_success(&self.cx, &endpoint);
        record_answer(&self.cx, request, &endpoint.version, self.cx.shared.clock.now());
        self.record_output_length(request);
        self.record_end(request, Some(&endpoint), "complete");
        self.cx.shared.connection_pool.release(&endpoint.id, connection, self.cx.shared.clock.now());
    }

    /// Records the length of a complete stream, by which the memory that others of its route take is expected.
    fn record_output_length(&self, request: &ActiveRequest) {
        let is_whole = request.attributes.last_event.is_none();
        if let Some(tokens) = request.attributes.tokens
            && is_whole
            && endpoint_memory_tokens(&self.cx, request).is_some()
        {
            self.cx.shared.output_lengths().record(&request.route.name, self.events, tokens.max_generated);
        }
    }

    /// Aborts the body of the answer, so that the caller sees that the stream is incomplete.
    async fn abort(self, reason: &'static str) {
        metrics::counter!("streams_broken_off", "reason" => reason).increment(1);
        let error: BodyError = reason.into();
        // Sending fails only if the caller has left, who needs no error then.
        drop(self.caller.send(Err(error)).await);
    }

    /// Releases the session and logs the end of the stream.
    fn record_end(&self, request: &ActiveRequest, endpoint: Option<&ListedEndpoint>, outcome: &str) {
        release_session(&self.cx, request.attributes.session.as_deref());
        let took = self.cx.shared.clock.now().duration_since(request.received_at).unwrap_or_default();
        log::info!(
            request = request.id.as_str(),
            route = request.route.name.as_str(),
            endpoint = endpoint.map(|endpoint| endpoint.id.as_str()).unwrap_or_default(),
            version = endpoint.map(|endpoint| endpoint.version.as_str()).unwrap_or_default(),
            model = request.model.as_deref().unwrap_or_default(),
            session = request.attributes.session.as_deref().unwrap_or_default(),
            tries = request.tried_endpoints.len(),
            first_event_ms = self.first_after.as_millis() as u64,
            last_event = self.last_id.as_deref().unwrap_or_default(),
            resumed = self.resumed,
            took_ms = took.as_millis() as u64;
            "stream ended: {outcome}"
        );
    }
}
