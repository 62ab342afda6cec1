//! Answers to callers: whole, streamed piece by piece, or pending.

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
        chat_api::{chunk, content_of},
        request_table::{End, RequestEntry},
    },
};

/// Body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// An answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// How the caller wants an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// In one piece.
    Whole,
    /// Piece by piece.
    Streamed,
}

/// Answers a request within its caller's patience; after that tells that it is pending.
pub(crate) async fn answer(
    entry: Arc<RequestEntry>,
    manner: Manner,
    patience: Option<Duration>,
    clock: Clock,
) -> Answer {
    let ready = async {
        match manner {
            Manner::Whole => drop(entry.ended().await),
            Manner::Streamed => entry.begun().await,
        }
    };
    let in_time = match patience {
        Some(patience) => timeout(patience, ready).await.is_ok(),
        None => {
            ready.await;
            true
        },
    };
    let mut answer = match (in_time, entry.news(0).end) {
        (false, _) => pending(&entry.id),
        (true, Some(End::PendingElsewhere(id))) => pending(&id),
        (true, Some(End::Failed(problem))) if entry.news(0).pieces.is_empty() || manner == Manner::Whole => {
            from_problem(&problem.with_request_id(&entry.id))
        },
        (true, Some(End::Answered { status, content_type, body })) if manner == Manner::Whole || status != 200 => {
            whole(status, &content_type, body)
        },
        (true, _) => streamed(entry.clone(), clock),
    };
    let id = if answer.headers().contains_key(REQUEST_ID) { None } else { Some(entry.id.clone()) };
    set(&mut answer, &REQUEST_ID, id.as_deref());
    if let Some(head) = entry.head() {
        set(&mut answer, &VERSION, head.version.as_deref());
        set(&mut answer, &ENDPOINT, Some(&head.endpoint));
        set(&mut answer, &SESSION, head.session.as_deref());
    }
    answer
}

fn set(answer: &mut Answer, name: &HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        answer.headers_mut().insert(name, value);
    }
}

/// A whole answer.
pub(crate) fn whole(status: u16, content_type: &str, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body).boxed_unsync());
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set(&mut answer, &CONTENT_TYPE, Some(content_type).filter(|it| !it.is_empty()));
    answer
}

/// An error.
pub(crate) fn from_problem(problem: &Problem) -> Answer {
    problem.to_response().map(BodyExt::boxed_unsync)
}

/// Tells that a request is pending, and where to ask.
pub(crate) fn pending(id: &str) -> Answer {
    let ask = format!("/v1/requests/{id}");
    let body = json!({ "request_id": id, "state": "pending", "ask": ask }).to_string();
    let mut answer = whole(StatusCode::ACCEPTED.as_u16(), "application/json", body.into());
    set(&mut answer, &LOCATION, Some(&ask));
    set(&mut answer, &REQUEST_ID, Some(id));
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

/// The end of a request that the log knows.
pub(crate) fn ended(id: &str, end: End) -> Answer {
    let mut answer = match end {
        End::Answered { status, content_type, body } => whole(status, &content_type, body),
        End::Failed(problem) => from_problem(&problem),
        End::PendingElsewhere(id) => pending(&id),
    };
    set(&mut answer, &REQUEST_ID, Some(id));
    answer
}

/// What a look-up of a request found.
pub(crate) fn looked_up(id: &str, lookup: RequestStatus) -> Option<Answer> {
    match lookup {
        RequestStatus::Unknown => None,
        RequestStatus::Pending => Some(pending(id)),
        RequestStatus::Ended { status, content_type, body } => {
            let mut answer = whole(status, &content_type, body);
            set(&mut answer, &REQUEST_ID, Some(id));
            Some(answer)
        },
    }
}

/// How far a streamed answer has come.
struct Streaming {
    entry: Arc<RequestEntry>,
    clock: Clock,
    seen: usize,
    has_ended: bool,
}

fn streamed(entry: Arc<RequestEntry>, clock: Clock) -> Answer {
    let state = Streaming { entry, clock, seen: 0, has_ended: false };
    let frames = stream::unfold(state, |mut state| async move {
        let bytes = state.next().await?;
        Some((Ok(Frame::data(bytes)), state))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    set(&mut answer, &CONTENT_TYPE, Some("text/event-stream"));
    set(&mut answer, &CACHE_CONTROL, Some("no-cache"));
    answer
}

impl Streaming {
    /// The next events, or none after the last.
    async fn next(&mut self) -> Option<Bytes> {
        if self.has_ended {
            return None;
        }
        self.entry.more_than(self.seen).await;
        let news = self.entry.news(self.seen);
        let is_first = self.seen == 0;
        let mut events = String::new();
        for piece in &news.pieces {
            self.event(&mut events, Some(piece));
        }
        self.seen += news.pieces.len();
        match news.end {
            None => {},
            Some(End::Answered { body, .. }) => {
                // An answer that was stored has no pieces; it comes as one.
                if is_first && news.pieces.is_empty() {
                    let completion: Value = serde_json::from_slice(&body).unwrap_or_default();
                    self.event(&mut events, Some(content_of(&completion)));
                }
                self.event(&mut events, None);
                events.push_str("data: [DONE]\n\n");
                self.has_ended = true;
            },
            Some(End::Failed(problem)) => {
                let problem = problem.with_request_id(&self.entry.id);
                events.push_str(&format!("event: error\ndata: {}\n\n", String::from_utf8_lossy(&problem.to_json())));
                self.has_ended = true;
            },
            Some(End::PendingElsewhere(_)) => self.has_ended = true,
        }
        Some(Bytes::from(events))
    }

    fn event(&self, events: &mut String, content: Option<&str>) {
        let version = self.entry.head().and_then(|head| head.version).unwrap_or_default();
        let data = chunk(&self.entry.id, &version, content, self.clock.now());
        events.push_str(&format!("data: {data}\n\n"));
    }
}
