//! Bodies of endpoints' answers, whose end is told apart from that of the task that reads them.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1::Connection,
};
use hyper_util::rt::TokioIo;

use crate::{
    published::{read_allowance::LimitedConnection, refusal::BodyError},
    shared::lock,
};

/// Held while a connection is polled, so that a panic poisons it.
pub(super) type PollLock = Arc<Mutex<()>>;

/// Reads and writes a connection to an endpoint.
pub(super) struct ConnectionDriver {
    pub(super) connection: Connection<TokioIo<LimitedConnection>, Full<Bytes>>,
    pub(super) poll_lock: PollLock,
}

impl Future for ConnectionDriver {
    type Output = hyper::Result<()>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.get_mut();
        let _polling = lock(&this.poll_lock);
        Pin::new(&mut this.connection).poll(cx)
    }
}

/// Body of an endpoint's answer.
///
/// The HTTP library ends a body without an error if the task that reads its connection panics; here that is an error.
pub struct EndpointBody {
    body: Incoming,
    poll_lock: PollLock,
}

impl EndpointBody {
    /// Wraps the body of an answer on a connection with this lock.
    pub(super) fn new(body: Incoming, poll_lock: PollLock) -> Self {
        Self { body, poll_lock }
    }
}

impl Body for EndpointBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() && self.poll_lock.lock().is_err() {
            return Poll::Ready(Some(Err("the task of the connection panicked".into())));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
