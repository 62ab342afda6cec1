//! Streams of events: passed on whole and in order, and taken up at another endpoint where one breaks off.

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
    endpoints::InFlight,
    published::{
        active_request::ActiveRequest,
        attempt::{AnsweredAttempt, Attempt, fail, log_try, open},
        connection_pool::EndpointConnection,
        context::PublishedContext,
        endpoint_choice::choose,
        event_timer::EventTimer,
        outcomes::{
            Awaited, InProgress, count_answer, failure_of, note_broken, note_end, note_first, note_pace, note_session,
            note_session_end, release_session, succeed,
        },
        quarantine::{may_resume, record_abandoned_attempt, record_answer, record_broken_attempt},
        refusal::{AnswerBody, BodyError},
        rewrite::answer_head,
    },
};

/// Pieces of a stream that wait for a caller who reads slowly.
const WAITING_PIECES: usize = 4;
/// Pause after which a stream is taken up elsewhere, as a multiple of the pause that counts as in time.
const STALL_FACTOR: u32 = 2;
/// Pause after which a stream is taken up elsewhere, where its route names no pause.
const DEFAULT_STALL: Duration = Duration::from_secs(2);
/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Largest event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Complete events, as they came.
struct Piece {
    bytes: Bytes,
    events: u32,
    last_id: Option<String>,
}

/// Why a stream did not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// The connection ended too early.
    CutOff,
    /// Nothing came for too long.
    Stalled,
}

impl Broken {
    fn name(self) -> &'static str {
        match self {
            Self::CutOff => "the stream broke off",
            Self::Stalled => "the stream stalled",
        }
    }
}

/// The events of one run at an endpoint.
struct Source {
    made: Attempt,
    channel: EndpointConnection,
    body: Incoming,
    buf: BytesMut,
    in_flight: InFlight,
    event_timer: EventTimer,
}

impl Source {
    fn new(opened: AnsweredAttempt) -> Self {
        let AnsweredAttempt { made, channel, body, in_flight, .. } = opened;
        Self { made, channel, body, buf: BytesMut::new(), in_flight, event_timer: EventTimer::default() }
    }

    /// Notes that events came.
    fn note_events(&mut self, cx: &PublishedContext, job: &ActiveRequest, events: u32) {
        if let Some(pause) = self.event_timer.record_events(events, cx.shared.clock.now()) {
            note_pace(cx, job, &self.made, pause);
        }
    }

    /// Notes the time per event of a run that ended before it could be measured, or that nobody waits for any longer.
    fn note_end_of_events(&mut self, cx: &PublishedContext, job: &ActiveRequest) {
        if let Some(pause) = self.event_timer.finish(cx.shared.clock.now()) {
            note_pace(cx, job, &self.made, pause);
        }
    }

    /// The next complete events; none at the end of the stream.
    async fn next(&mut self, limit: Duration) -> Result<Option<Piece>, Broken> {
        timeout(limit, self.read()).await.unwrap_or(Err(Broken::Stalled))
    }

    async fn read(&mut self) -> Result<Option<Piece>, Broken> {
        loop {
            if let Some(piece) = take_events(&mut self.buf) {
                self.in_flight.note_read();
                return Ok(Some(piece));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                },
                Some(Err(_)) => return Err(Broken::CutOff),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(Broken::CutOff),
            }
            if self.buf.len() > MAX_EVENT {
                return Err(Broken::CutOff);
            }
        }
    }
}

/// Takes all complete events out of a buffer; an event ends with an empty line.
fn take_events(buf: &mut BytesMut) -> Option<Piece> {
    let end = buf.windows(EVENT_END.len()).rposition(|end| end == EVENT_END)? + EVENT_END.len();
    let bytes = buf.split_to(end).freeze();
    let last_id = last_event_id(&bytes);
    let events = bytes.windows(EVENT_END.len()).filter(|end| *end == EVENT_END).count() as u32;
    Some(Piece { bytes, events, last_id })
}

/// The id of the last event that has one.
fn last_event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = id.strip_suffix(b"\r").unwrap_or(id);
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}

/// Begins a stream: waits for its first events, so that an answer that breaks off before costs the caller nothing.
///
/// # Errors
///
/// How far the request got, where no event came.
pub(super) async fn begin(
    cx: &PublishedContext,
    job: &ActiveRequest,
    opened: AnsweredAttempt,
    guard: &mut Option<InProgress>,
) -> Result<Response<AnswerBody>, RunState> {
    let (sent, head) = (opened.made.sent, opened.head.clone());
    let mut source = Source::new(opened);
    let now = cx.shared.clock.now();
    let waited = now.duration_since(sent).unwrap_or_default();
    let patience = job.patience(now).saturating_sub(waited);
    let made = source.made.clone();
    let awaited = Awaited::new(cx, job, &made);
    let first = match source.next(patience).await {
        Ok(first) => first,
        Err(broken) => {
            log_try(job, &source.made.endpoint, broken.name());
            if broken == Broken::CutOff {
                awaited.end();
                note_broken(cx, job, &source.made.endpoint);
            }
            record_broken_attempt(cx, job, &source.made.endpoint, sent);
            fail(cx, &source.made.endpoint);
            return Err(RunState::MayHaveRun);
        },
    };
    awaited.end();
    let now = cx.shared.clock.now();
    let first_after = now.duration_since(sent).unwrap_or_default();
    note_first(cx, job, &made, first_after);
    let status = head.status;
    count_answer(job, status, now);
    let head = answer_head(cx, head);
    let (tx, rx) = mpsc::channel(WAITING_PIECES);
    let relay = Relay { cx: cx.clone(), last_id: None, first_after, resumed: 0, tx };
    let guard = guard.take();
    let job = job.clone();
    let end = cx.forced_shutdown.clone();
    tokio::spawn(async move {
        let _guard = guard;
        end.run_until_cancelled(relay.run(job, source, first)).await;
    });
    let pieces = stream::unfold(rx, |mut rx| async move { rx.recv().await.map(|piece| (piece, rx)) });
    Ok(Response::from_parts(head, StreamBody::new(pieces).boxed_unsync()))
}

/// Passes a stream on to a caller.
struct Relay {
    cx: PublishedContext,
    last_id: Option<String>,
    first_after: Duration,
    resumed: u32,
    tx: Sender<Result<Frame<Bytes>, BodyError>>,
}

/// How the relay of one run ended.
enum Ended {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The time of the request is over.
    TimeOver,
    /// The run broke off.
    Broken(Broken),
}

impl Relay {
    async fn run(mut self, mut job: ActiveRequest, mut source: Source, first: Option<Piece>) {
        job.attempts.record(RunState::Ran);
        let mut next = first;
        loop {
            let ended = self.relay(&job, &mut source, next.take()).await;
            source.note_end_of_events(&self.cx, &job);
            let broken = match ended {
                Ended::Complete => return self.finish(&job, source),
                Ended::CallerLeft => {
                    record_abandoned_attempt(&self.cx, &job, &source.made.endpoint, source.made.sent);
                    return self.log_end(&job, Some(&source.made.endpoint), "the caller left");
                },
                Ended::TimeOver => {
                    record_abandoned_attempt(&self.cx, &job, &source.made.endpoint, source.made.sent);
                    self.log_end(&job, Some(&source.made.endpoint), "the time limit was reached");
                    return self.break_off("the time limit was reached").await;
                },
                Ended::Broken(broken) => broken,
            };
            log_try(&job, &source.made.endpoint, broken.name());
            if broken == Broken::CutOff {
                note_broken(&self.cx, &job, &source.made.endpoint);
            }
            record_broken_attempt(&self.cx, &job, &source.made.endpoint, source.made.sent);
            fail(&self.cx, &source.made.endpoint);
            // The run that broke off is ended before another one goes on.
            drop(source);
            match self.resume(&mut job).await {
                Some(resumed) => source = resumed,
                None => {
                    self.log_end(&job, None, broken.name());
                    return self.break_off(broken.name()).await;
                },
            }
        }
    }

    /// Passes on the events of one run until it ends.
    async fn relay(&mut self, job: &ActiveRequest, source: &mut Source, first: Option<Piece>) -> Ended {
        let stall = job.route.pause_target.map_or(DEFAULT_STALL, |pause| pause * STALL_FACTOR);
        let mut next = first;
        loop {
            if let Some(piece) = next.take() {
                source.note_events(&self.cx, job, piece.events);
                if !self.pass_on(piece).await {
                    return Ended::CallerLeft;
                }
            }
            let left = job.time_left(self.cx.shared.clock.now());
            if left.is_zero() {
                return Ended::TimeOver;
            }
            let read = tokio::select! {
                biased;
                () = self.tx.closed() => return Ended::CallerLeft,
                read = source.next(stall.min(left)) => read,
            };
            match read {
                Ok(Some(piece)) => next = Some(piece),
                Ok(None) => return Ended::Complete,
                Err(Broken::Stalled) if left <= stall => return Ended::TimeOver,
                Err(broken) => return Ended::Broken(broken),
            }
        }
    }

    /// Hands events to the caller's connection; tells whether it is still there.
    async fn pass_on(&mut self, piece: Piece) -> bool {
        if piece.last_id.is_some() {
            self.last_id = piece.last_id;
        }
        self.tx.send(Ok(Frame::data(piece.bytes))).await.is_ok()
    }

    /// Takes the stream up at another endpoint.
    async fn resume(&mut self, job: &mut ActiveRequest) -> Option<Source> {
        let is_resumable = matches!(job.route.shape, AnswerShape::Events { is_resumable: true });
        let last_id = self.last_id.clone().or_else(|| job.facts.last_event.clone());
        while is_resumable && job.attempts.may_try_again() {
            let now = self.cx.shared.clock.now();
            if job.is_keyed() && !self.cx.shared.may_use_key(now) {
                return None;
            }
            if !may_resume(&self.cx, job).await {
                log::info!(request = job.id.as_str(); "stream not taken up: endpoints end under its request");
                return None;
            }
            let chosen = choose(&self.cx, job, now)?;
            if !self.cx.shared.retry_budgets.try_acquire(&job.service) {
                log::info!(request = job.id.as_str(); "stream not taken up: the retry budget is spent");
                return None;
            }
            job.tried.push(chosen.endpoint.id.clone());
            let opened = tokio::select! {
                biased;
                () = self.tx.closed() => return None,
                opened = open(&self.cx, job, chosen, last_id.as_deref()) => opened,
            };
            match opened {
                Ok(opened) if opened.head.status.is_success() => {
                    note_session(&self.cx, job, &opened.made.endpoint.version, now);
                    self.resumed += 1;
                    job.attempts.record(RunState::Ran);
                    return Some(self.source(job, opened));
                },
                Ok(opened) => {
                    note_end(&self.cx, job, &opened.made.endpoint, failure_of(opened.head.status));
                    fail(&self.cx, &opened.made.endpoint);
                    job.attempts.record(RunState::Ran);
                },
                Err(state) => {
                    if state == RunState::NotSent {
                        self.cx.shared.retry_budgets.refund(&job.service);
                    }
                    job.attempts.record(state);
                },
            }
        }
        None
    }

    fn source(&self, job: &ActiveRequest, opened: AnsweredAttempt) -> Source {
        log::info!(
            request = job.id.as_str(),
            endpoint = opened.made.endpoint.id.as_str(),
            after_event = self.last_id.as_deref().unwrap_or_default();
            "stream taken up"
        );
        Source::new(opened)
    }

    fn finish(self, job: &ActiveRequest, source: Source) {
        let Source { made: Attempt { endpoint, .. }, channel, .. } = source;
        note_end(&self.cx, job, &endpoint, None);
        note_session_end(&self.cx, job, &endpoint.version);
        succeed(&self.cx, &endpoint);
        record_answer(&self.cx, job, &endpoint.version, self.cx.shared.clock.now());
        self.log_end(job, Some(&endpoint), "complete");
        self.cx.shared.connection_pool.release(&endpoint.id, channel, self.cx.shared.clock.now());
    }

    /// Ends the caller's connection visibly unfinished.
    async fn break_off(self, reason: &'static str) {
        metrics::counter!("streams_broken_off", "reason" => reason).increment(1);
        let error: BodyError = reason.into();
        // A caller who has left does not need to be told.
        drop(self.tx.send(Err(error)).await);
    }

    fn log_end(&self, job: &ActiveRequest, endpoint: Option<&ListedEndpoint>, outcome: &str) {
        release_session(&self.cx, job.facts.session.as_deref());
        let took = self.cx.shared.clock.now().duration_since(job.arrived).unwrap_or_default();
        log::info!(
            request = job.id.as_str(),
            route = job.route.name.as_str(),
            endpoint = endpoint.map(|endpoint| endpoint.id.as_str()).unwrap_or_default(),
            version = endpoint.map(|endpoint| endpoint.version.as_str()).unwrap_or_default(),
            model = job.model.as_deref().unwrap_or_default(),
            session = job.facts.session.as_deref().unwrap_or_default(),
            tries = job.tried.len(),
            first_event_ms = self.first_after.as_millis() as u64,
            last_event = self.last_id.as_deref().unwrap_or_default(),
            resumed = self.resumed,
            took_ms = took.as_millis() as u64;
            "stream ended: {outcome}"
        );
    }
}
