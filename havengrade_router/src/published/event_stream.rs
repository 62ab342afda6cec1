//! Streams of events: forwards whole events in order and resumes a broken stream at another endpoint.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use bytes::{Bytes, BytesMut};
use havengrade_core::published::{attempt::RunState, directory::ListedEndpoint};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::Response;
use tokio::{sync::OwnedSemaphorePermit, time::timeout};

use crate::{
    endpoints::InFlightGuard,
    published::{
        active_request::ActiveRequest,
        attempt::{AnsweredAttempt, Attempt, log_failed_attempt, record_failure},
        connection_pool::EndpointConnection,
        context::PublishedContext,
        endpoint_body::EndpointBody,
        endpoint_choice::endpoint_memory_tokens,
        event_timer::EventTimer,
        forward::is_framed,
        outcomes::{
            FirstByteTimer, InProgressGuard, extend_session, record_answer_metrics, record_broken_outcome,
            record_event_time, record_first_byte_time, record_outcome, record_success, release_session,
        },
        quarantine::{check_unframed_answer, record_abandoned_attempt, record_answer, record_broken_attempt},
        refusal::AnswerBody,
        replacement::wait_until_replaceable,
        rewrite::encode_answer_head,
        silence_monitor::DueAnswer,
        speeds,
        stream_buffer::{
            CallerConnection, CountedBytes, FrameQueue, MAX_LARGE_BYTES, MAX_STREAM_BYTES, MAX_UNRESERVED_BYTES,
            QueueError, StreamBuffers,
        },
        stream_succession::SilenceEnd,
    },
};

/// Pause between events after which another endpoint may continue a stream, as a multiple of the target of its route.
const STALL_TIMEOUT_FACTOR: u32 = 2;
/// Pause between events after which another endpoint may continue a stream if its route sets no target.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest end of an event, in bytes: a line feed, and an empty line that ends with CRLF.
const MAX_EVENT_END_BYTES: usize = 3;

/// Complete events, byte for byte as the endpoint sent them.
pub(super) struct EventChunk {
    bytes: Bytes,
    events: u32,
    last_id: Option<String>,
}

/// Why a stream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamFault {
    /// The connection or the stream ended within an event, or an event was too large.
    CutOff,
    /// No event came within the stall timeout.
    Stalled,
    /// The rest of a large event could not be read, because large events of other streams have taken all room.
    NoRoom,
}

impl StreamFault {
    /// Reason in logs and metrics.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::CutOff => "the stream broke off",
            Self::Stalled => "the stream stalled",
            Self::NoRoom => "too many bytes wait for callers",
        }
    }
}

/// The stream of one attempt at an endpoint.
pub(super) struct EndpointStream {
    /// Attempt that supplies the stream.
    pub(super) attempt: Attempt,
    /// None once it is closed, after which nothing more is read.
    connection: Option<EndpointConnection>,
    body: EndpointBody,
    buffers: Arc<StreamBuffers>,
    buf: BytesMut,
    /// Bytes at the start of the buffer that contain no end of an event.
    searched: usize,
    /// Bytes of the buffer, and of the chunk that was split off it last.
    counted: CountedBytes,
    /// Room for a large event.
    reservation: Option<OwnedSemaphorePermit>,
    in_flight: InFlightGuard,
    event_timer: EventTimer,
    /// Whether the stream has an end of its own, not only that of its connection.
    is_framed: bool,
    /// When the endpoint last sent events, or the head of its answer.
    pub(super) heard_at: SystemTime,
    _due: DueAnswer,
}

impl EndpointStream {
    /// Starts to read the answer of an attempt.
    pub(super) fn new(cx: &PublishedContext, answered: AnsweredAttempt) -> Self {
        let AnsweredAttempt { attempt, connection, head, body, in_flight, .. } = answered;
        let buffers = cx.shared.stream_buffers.clone();
        Self {
            is_framed: is_framed(&head),
            _due: DueAnswer::new(cx, &attempt.endpoint),
            attempt,
            connection: Some(connection),
            body,
            buf: BytesMut::new(),
            searched: 0,
            counted: buffers.count(0),
            reservation: None,
            buffers,
            in_flight,
            event_timer: EventTimer::default(),
            heard_at: cx.shared.clock.now(),
        }
    }

    /// Records the time per event.
    fn record_events(&mut self, cx: &PublishedContext, request: &ActiveRequest, events: u32) {
        self.heard_at = cx.shared.clock.now();
        cx.shared.reach.record_heard(self.heard_at);
        cx.shared.silences.record_heard(&self.attempt.endpoint.service, self.heard_at);
        if let Some(pause) = self.event_timer.record_events(events, self.heard_at) {
            record_event_time(cx, request, &self.attempt, pause);
        }
    }

    /// Time since the endpoint last sent an event, or the head of its answer.
    pub(super) fn silent_for(&self, now: SystemTime) -> Duration {
        now.duration_since(self.heard_at).unwrap_or_default()
    }

    /// Closes the connection, which cancels the request at the endpoint.
    pub(super) fn close(&mut self) {
        self.connection = None;
    }

    /// Whether the connection has been closed here.
    pub(super) fn is_closed(&self) -> bool {
        self.connection.is_none()
    }

    /// Records the time per event of a stream that ended or was abandoned before it was measured.
    pub(super) fn record_remaining_event_time(&mut self, cx: &PublishedContext, request: &ActiveRequest) {
        if let Some(pause) = self.event_timer.finish(cx.shared.clock.now()) {
            record_event_time(cx, request, &self.attempt, pause);
        }
    }

    /// Reads the next complete events; none at the end of the stream. Waits up to `limit` for the endpoint, and up to
    /// `room_limit` for the room that a large event needs.
    pub(super) async fn next(
        &mut self,
        limit: Duration,
        room_limit: Duration,
    ) -> Result<Option<EventChunk>, StreamFault> {
        self.counted.set(self.buf.len());
        if self.buf.len() <= MAX_UNRESERVED_BYTES {
            self.reservation = None;
        }
        loop {
            match timeout(limit, self.read()).await.unwrap_or(Err(StreamFault::Stalled))? {
                ReadResult::Events(chunk) => return Ok(Some(chunk)),
                ReadResult::End => return Ok(None),
                ReadResult::NeedsRoom => {
                    let reserved = self.buffers.reserve_large(room_limit).await;
                    self.reservation = Some(reserved.ok_or(StreamFault::NoRoom)?);
                },
            }
        }
    }

    async fn read(&mut self) -> Result<ReadResult, StreamFault> {
        loop {
            if let Some(chunk) = split_complete_events(&mut self.buf, &mut self.searched) {
                self.in_flight.record_prompt_read();
                return Ok(ReadResult::Events(chunk));
            }
            if self.buf.len() > MAX_UNRESERVED_BYTES && self.reservation.is_none() {
                return Ok(ReadResult::NeedsRoom);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                        self.counted.set(self.buf.len());
                    }
                },
                Some(Err(_)) => return Err(StreamFault::CutOff),
                None if self.buf.is_empty() => return Ok(ReadResult::End),
                None => return Err(StreamFault::CutOff),
            }
            if self.buf.len() > MAX_LARGE_BYTES {
                return Err(StreamFault::CutOff);
            }
        }
    }
}

/// What was read of a stream.
enum ReadResult {
    /// Complete events.
    Events(EventChunk),
    /// The end of the stream.
    End,
    /// A part of an event that is so large that the rest needs a reservation.
    NeedsRoom,
}

/// Splits complete events off a buffer, as many as fit into one frame for the caller, and at least one.
///
/// `searched` is the number of bytes that are known to contain no end of an event.
fn split_complete_events(buf: &mut BytesMut, searched: &mut usize) -> Option<EventChunk> {
    let Some(mut end) = event_end(buf, *searched) else {
        *searched = buf.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        return None;
    };
    let mut events = 1;
    while let Some(next) = event_end(buf, end).filter(|next| *next <= MAX_STREAM_BYTES) {
        end = next;
        events += 1;
    }
    *searched = 0;
    let bytes = buf.split_to(end).freeze();
    let last_id = last_event_id(&bytes);
    Some(EventChunk { bytes, events, last_id })
}

/// Finds the end of the first event that ends after `from`: the end of an empty line, and of those that follow it. Lines
/// end with a line feed, with or without a carriage return before it.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let rest = buf.get(from..)?;
    let starts = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(index, _)| from + index + 1);
    let mut end = starts.filter_map(|start| empty_line_end(buf, start)).next()?;
    while let Some(next) = empty_line_end(buf, end) {
        end = next;
    }
    Some(end)
}

/// The end of the line that starts at `start` if it is empty.
fn empty_line_end(buf: &[u8], start: usize) -> Option<usize> {
    match buf.get(start..)? {
        [b'\n', ..] => Some(start + 1),
        [b'\r', b'\n', ..] => Some(start + 2),
        _ => None,
    }
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
    request: &mut ActiveRequest,
    answered: AnsweredAttempt,
    guard: &mut Option<InProgressGuard>,
) -> Result<Response<AnswerBody>, RunState> {
    let (sent_at, head) = (answered.attempt.sent_at, answered.head.clone());
    let mut upstream = EndpointStream::new(cx, answered);
    let now = cx.shared.clock.now();
    let waited = now.duration_since(sent_at).unwrap_or_default();
    let first_event_timeout = request.attempt_timeout(now).saturating_sub(waited);
    let attempt = upstream.attempt.clone();
    let first_byte_timer = FirstByteTimer::new(cx, request, &attempt);
    let (endpoint, left) = (&attempt.endpoint, request.time_left(now));
    let mut has_reserved_retry = false;
    let read = tokio::select! {
        biased;
        read = upstream.next(left, first_event_timeout) => read,
        () = wait_until_replaceable(cx, request, endpoint, sent_at) => {
            has_reserved_retry = true;
            Err(StreamFault::Stalled)
        },
    };
    let first = match read {
        Ok(first) => first,
        Err(fault) => {
            log_failed_attempt(request, &upstream.attempt.endpoint, fault.reason());
            let timer = if fault == StreamFault::CutOff {
                first_byte_timer.stop();
                record_broken_outcome(cx, request, &upstream.attempt.endpoint);
                None
            } else {
                Some(first_byte_timer)
            };
            record_broken_attempt(cx, request, &upstream.attempt.endpoint, sent_at);
            if fault != StreamFault::NoRoom {
                record_failure(cx, &upstream.attempt.endpoint);
            }
            drop(timer);
            request.has_reserved_retry |= has_reserved_retry;
            return Err(RunState::MayHaveRun);
        },
    };
    first_byte_timer.stop();
    let now = cx.shared.clock.now();
    let first_after = now.duration_since(sent_at).unwrap_or_default();
    record_first_byte_time(cx, request, &attempt, first_after);
    if first.is_some() {
        speeds::record_first_event(cx, request, &attempt, first_after);
    }
    let status = head.status;
    record_answer_metrics(request, status, now);
    let head = encode_answer_head(cx, head);
    let (caller, body) = cx.shared.stream_buffers.queue();
    let connection = request.head.extensions.get::<CallerConnection>().cloned().unwrap_or_default();
    let relay = StreamRelay { cx: cx.clone(), last_id: None, events: 0, first_after, resumed: 0, caller, connection };
    let guard = guard.take();
    let request = request.clone();
    let forced_shutdown = cx.forced_shutdown.clone();
    let stream = UnfinishedStream {
        cx: cx.clone(),
        request: request.id.clone(),
        received_at: request.received_at,
        is_finished: false,
    };
    tokio::spawn(async move {
        let _guard = guard;
        if forced_shutdown.run_until_cancelled(relay.run(request, upstream, first)).await.is_some() {
            stream.finish();
        }
    });
    Ok(Response::from_parts(head, StreamBody::new(body).boxed_unsync()))
}

/// Logs, when dropped, a stream whose task ended before the stream did: the router stopped, or the task panicked.
struct UnfinishedStream {
    cx: PublishedContext,
    request: String,
    received_at: SystemTime,
    is_finished: bool,
}

impl UnfinishedStream {
    /// Records that the stream has ended, with a line of its own.
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for UnfinishedStream {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let took = self.cx.shared.clock.now().duration_since(self.received_at).unwrap_or_default();
        metrics::counter!("streams_broken_off", "reason" => "its task ended").increment(1);
        log::warn!(
            request = self.request.as_str(),
            is_stopping = self.cx.shared.is_draining(),
            took_ms = took.as_millis() as u64;
            "stream ended: its task ended before it"
        );
    }
}

/// Relays a stream to a caller, across the attempts that supply it.
pub(super) struct StreamRelay {
    /// Context of the router.
    pub(super) cx: PublishedContext,
    /// Id of the last event that was forwarded.
    pub(super) last_id: Option<String>,
    /// Number of events, of all attempts.
    events: u32,
    first_after: Duration,
    /// Number of times that another endpoint continued the stream.
    pub(super) resumed: u32,
    /// Queue of what was read for the caller.
    pub(super) caller: FrameQueue,
    connection: CallerConnection,
}

/// How the stream of one attempt ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The caller has read nothing for the time limit of the route, or there was no room for what waits for him.
    NotTaken(&'static str),
    /// The deadline of the request has passed.
    TimeOver,
    /// The stream broke.
    Broken(StreamFault),
}

impl From<QueueError> for RelayEnd {
    fn from(error: QueueError) -> Self {
        match error {
            QueueError::CallerLeft => Self::CallerLeft,
            QueueError::CallerStalled => Self::NotTaken("the caller stopped reading"),
            QueueError::NoRoom => Self::NotTaken(StreamFault::NoRoom.reason()),
        }
    }
}

impl StreamRelay {
    /// Relays the stream until it is complete or can't be resumed.
    async fn run(mut self, mut request: ActiveRequest, mut upstream: EndpointStream, first: Option<EventChunk>) {
        request.record_attempt(RunState::Ran);
        let mut next = first;
        loop {
            let ended = self.relay(&mut request, &mut upstream, next.take()).await;
            upstream.record_remaining_event_time(&self.cx, &request);
            let fault = match ended {
                RelayEnd::Complete => return self.finish(&request, upstream),
                RelayEnd::CallerLeft => {
                    record_abandoned_attempt(&self.cx, &request, &upstream.attempt.endpoint, upstream.attempt.sent_at);
                    return self.record_end(&request, Some(&upstream.attempt.endpoint), "the caller left");
                },
                RelayEnd::NotTaken(reason) => {
                    self.connection.close();
                    return self.give_up(&request, &upstream.attempt, reason);
                },
                RelayEnd::TimeOver => return self.give_up(&request, &upstream.attempt, "the time limit was reached"),
                RelayEnd::Broken(StreamFault::NoRoom) => {
                    return self.give_up(&request, &upstream.attempt, StreamFault::NoRoom.reason());
                },
                RelayEnd::Broken(fault) => fault,
            };
            self.record_fault(&request, &upstream, fault);
            // Closes the connection of the broken attempt before another one continues the stream.
            drop(upstream);
            match self.resume(&mut request).await {
                Some(resumed) => upstream = resumed,
                None => {
                    self.record_end(&request, None, fault.reason());
                    return self.abort(&request, fault.reason());
                },
            }
        }
    }

    /// Relays events until their stream ends; another attempt may take the place of one that is silent.
    async fn relay(
        &mut self,
        request: &mut ActiveRequest,
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
                if let Err(error) = self.send_to_caller(chunk, request.route.time_limit).await {
                    return RelayEnd::from(error);
                }
            }
            let left = request.time_left(self.cx.shared.clock.now());
            if left.is_zero() {
                return RelayEnd::TimeOver;
            }
            let read = tokio::select! {
                biased;
                () = self.caller.closed() => return RelayEnd::CallerLeft,
                read = upstream.next(stall_timeout.min(left), left) => read,
            };
            let read = match read {
                Err(StreamFault::Stalled) if left > stall_timeout => {
                    match self.outlast_silence(request, upstream, stall_timeout).await {
                        SilenceEnd::Heard(read) => read,
                        SilenceEnd::Replaced => continue,
                        SilenceEnd::Lost => return RelayEnd::Broken(StreamFault::Stalled),
                        SilenceEnd::CallerLeft => return RelayEnd::CallerLeft,
                    }
                },
                read => read,
            };
            match read {
                Ok(Some(chunk)) => next = Some(chunk),
                Ok(None) if self.is_complete(request, upstream).await => return RelayEnd::Complete,
                Ok(None) => return RelayEnd::Broken(StreamFault::CutOff),
                Err(StreamFault::Stalled) => return RelayEnd::TimeOver,
                Err(fault) => return RelayEnd::Broken(fault),
            }
        }
    }

    /// Whether a stream that ended behind an event is complete.
    async fn is_complete(&self, request: &ActiveRequest, upstream: &EndpointStream) -> bool {
        let Attempt { endpoint, sent_at, .. } = &upstream.attempt;
        upstream.is_framed || check_unframed_answer(&self.cx, request, endpoint, *sent_at).await
    }

    /// Sends events to the caller, who may read nothing for `limit` at most.
    async fn send_to_caller(&mut self, chunk: EventChunk, limit: Duration) -> Result<(), QueueError> {
        if chunk.last_id.is_some() {
            self.last_id = chunk.last_id;
        }
        self.caller.send(chunk.bytes, limit).await
    }

    /// Records a complete stream and returns its connection to the pool.
    fn finish(self, request: &ActiveRequest, upstream: EndpointStream) {
        let EndpointStream { attempt: Attempt { endpoint, .. }, connection, is_framed, .. } = upstream;
        record_outcome(&self.cx, request, &endpoint, None);
        extend_session(&self.cx, request, &endpoint.version);
        record_success(&self.cx, &endpoint);
        if is_framed {
            record_answer(&self.cx, request, &endpoint.version, self.cx.shared.clock.now());
        }
        self.record_output_length(request);
        self.record_end(request, Some(&endpoint), "complete");
        if let Some(connection) = connection {
            self.cx.shared.connection_pool.release(&endpoint.id, connection, self.cx.shared.clock.now());
        }
        self.caller.close_if_not_taken(self.connection, request.route.time_limit);
        self.caller.finish();
    }

    /// Ends a stream whose attempt did not fail before it is complete.
    fn give_up(self, request: &ActiveRequest, attempt: &Attempt, reason: &'static str) {
        record_abandoned_attempt(&self.cx, request, &attempt.endpoint, attempt.sent_at);
        self.record_end(request, Some(&attempt.endpoint), reason);
        self.abort(request, reason);
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
    fn abort(self, request: &ActiveRequest, reason: &'static str) {
        metrics::counter!("streams_broken_off", "reason" => reason).increment(1);
        self.caller.close_if_not_taken(self.connection, request.route.time_limit);
        self.caller.abort(reason.into());
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
            list_age_ms = request.endpoint_list_age.as_millis() as u64,
            configuration = request.config_version,
            config_age_ms = request.config_age.as_millis() as u64,
            first_event_ms = self.first_after.as_millis() as u64,
            last_event = self.last_id.as_deref().unwrap_or_default(),
            resumed = self.resumed,
            took_ms = took.as_millis() as u64;
            "stream ended: {outcome}"
        );
    }
}
