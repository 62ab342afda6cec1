//! Answers to callers: complete, streamed as events, or pending.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue, LOCATION, RETRY_AFTER},
};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    clock::Clock,
    traffic::{
        Problem, RequestStatus,
        caller_headers::{ENDPOINT, REQUEST_ID, SESSION, VERSION},
        chat_api::{chunk_json, completion_content},
        request_table::{RequestEntry, RequestOutcome},
    },
};

/// Body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// HTTP response to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// How the caller wants to receive an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerMode {
    /// As one body.
    Whole,
    /// As a stream of server-sent events.
    Streamed,
}

/// Answers a request once it is ready, or as pending once the caller's wait limit has passed.
pub(crate) async fn answer_when_ready(
    entry: Arc<RequestEntry>,
    mode: AnswerMode,
    wait_limit: Option<Duration>,
    clock: Clock,
) -> Answer {
    let ready = async {
        match mode {
            AnswerMode::Whole => drop(entry.wait_for_outcome().await),
            AnswerMode::Streamed => entry.wait_for_first_piece().await,
        }
    };
    let in_time = match wait_limit {
        Some(wait_limit) => timeout(wait_limit, ready).await.is_ok(),
        None => {
            ready.await;
            true
        },
    };
    let mut answer = match (in_time, entry.updates_after(0).outcome) {
        (false, _) => pending_answer(&entry.id),
        (true, Some(RequestOutcome::PendingElsewhere(id))) => pending_answer(&id),
        (true, Some(RequestOutcome::Failed(problem)))
            if entry.updates_after(0).pieces.is_empty() || mode == AnswerMode::Whole =>
        {
            problem_answer(&problem.with_request_id(&entry.id))
        },
        (true, Some(RequestOutcome::Answered { status, content_type, body }))
            if mode == AnswerMode::Whole || status != 200 =>
        {
            whole_answer(status, &content_type, body)
        },
        (true, _) => streamed_answer(entry.clone(), clock),
    };
    let id = if answer.headers().contains_key(REQUEST_ID) { None } else { Some(entry.id.clone()) };
    set_header(&mut answer, &REQUEST_ID, id.as_deref());
    if let Some(source) = entry.source() {
        set_header(&mut answer, &VERSION, source.version.as_deref());
        set_header(&mut answer, &ENDPOINT, Some(&source.endpoint));
        set_header(&mut answer, &SESSION, source.session.as_deref());
    }
    answer
}

fn set_header(answer: &mut Answer, name: &HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        answer.headers_mut().insert(name, value);
    }
}

/// Returns an answer with a complete body.
pub(crate) fn whole_answer(status: u16, content_type: &str, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body).boxed_unsync());
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut answer, &CONTENT_TYPE, Some(content_type).filter(|it| !it.is_empty()));
    answer
}

/// Returns an error as an answer.
pub(crate) fn problem_answer(problem: &Problem) -> Answer {
    problem.to_response().map(BodyExt::boxed_unsync)
}

/// Returns the answer for a pending request, with the path of its status.
pub(crate) fn pending_answer(id: &str) -> Answer {
    let ask = format!("/v1/requests/{id}");
    let body = json!({ "request_id": id, "state": "pending", "ask": ask }).to_string();
    let mut answer = whole_answer(StatusCode::ACCEPTED.as_u16(), "application/json", body.into());
    set_header(&mut answer, &LOCATION, Some(&ask));
    set_header(&mut answer, &REQUEST_ID, Some(id));
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

/// Returns the answer for an outcome that the log holds.
pub(crate) fn outcome_answer(id: &str, outcome: RequestOutcome) -> Answer {
    let mut answer = match outcome {
        RequestOutcome::Answered { status, content_type, body } => whole_answer(status, &content_type, body),
        RequestOutcome::Failed(problem) => problem_answer(&problem),
        RequestOutcome::PendingElsewhere(id) => pending_answer(&id),
    };
    set_header(&mut answer, &REQUEST_ID, Some(id));
    answer
}

/// Returns the answer for the status of a request, or `None` if the request is unknown.
pub(crate) fn status_answer(id: &str, status: RequestStatus) -> Option<Answer> {
    match status {
        RequestStatus::Unknown => None,
        RequestStatus::Pending => Some(pending_answer(id)),
        RequestStatus::Ended { status, content_type, body } => {
            let mut answer = whole_answer(status, &content_type, body);
            set_header(&mut answer, &REQUEST_ID, Some(id));
            Some(answer)
        },
    }
}

/// State of a streamed answer.
struct EventStream {
    entry: Arc<RequestEntry>,
    clock: Clock,
    sent_pieces: usize,
    is_finished: bool,
}

fn streamed_answer(entry: Arc<RequestEntry>, clock: Clock) -> Answer {
    let state = EventStream { entry, clock, sent_pieces: 0, is_finished: false };
    let frames = stream::unfold(state, |mut state| async move {
        let bytes = state.next().await?;
        Some((Ok(Frame::data(bytes)), state))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    set_header(&mut answer, &CONTENT_TYPE, Some("text/event-stream"));
    set_header(&mut answer, &CACHE_CONTROL, Some("no-cache"));
    answer
}

impl EventStream {
    /// Waits for the next events; returns `None` after the last one.
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_finished {
            return None;
        }
        self.entry.wait_for_pieces_after(self.sent_pieces).await;
        let update = self.entry.updates_after(self.sent_pieces);
        let is_first = self.sent_pieces == 0;
        let mut events = String::new();
        for piece in &update.pieces {
            self.push_event(&mut events, Some(piece));
        }
        self.sent_pieces += update.pieces.len();
        match update.outcome {
            None => {},
            Some(RequestOutcome::Answered { body, .. }) => {
                // A stored answer has no pieces, so it is sent as one event.
                if is_first && update.pieces.is_empty() {
                    let completion: Value = serde_json::from_slice(&body).unwrap_or_default();
                    self.push_event(&mut events, Some(completion_content(&completion)));
                }
                self.push_event(&mut events, None);
                events.push_str("data: [DONE]\n\n");
                self.is_finished = true;
            },
            Some(RequestOutcome::Failed(problem)) => {
                let problem = problem.with_request_id(&self.entry.id);
                events.push_str(&format!("event: error\ndata: {}\n\n", String::from_utf8_lossy(&problem.to_json())));
                self.is_finished = true;
            },
            Some(RequestOutcome::PendingElsewhere(_)) => self.is_finished = true,
        }
        Some(Bytes::from(events))
    }

    fn push_event(&self, events: &mut String, content: Option<&str>) {
        let version = self.entry.source().and_then(|source| source.version).unwrap_or_default();
        let data = chunk_json(&self.entry.id, &version, content, self.clock.now());
        events.push_str(&format!("data: {data}\n\n"));
    }
}
