//! Reads whole answers of endpoints, and keeps them until their callers have read them, within bounds on the bytes of each
//! and of all.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::{sync::OwnedSemaphorePermit, time::sleep};
use tokio_util::task::AbortOnDropHandle;

use crate::published::{
    endpoint_body::EndpointBody,
    refusal::{AnswerBody, full_body},
    stream_buffer::{
        CallerConnection, CountedBytes, MAX_LARGE_BYTES, MAX_STREAM_BYTES, MAX_UNRESERVED_BYTES, StreamBuffers,
    },
};

/// Largest answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Largest number of bytes that are read for an answer, with the framing of its chunks.
pub(super) const MAX_FRAMED_ANSWER_BYTES: usize = MAX_ANSWER_BYTES / 4 * 5;

/// Why an answer was not read to its end.
#[derive(Debug, Snafu)]
pub(super) enum AnswerError {
    /// The answer is longer than any answer may be.
    #[snafu(display("the answer has more than {MAX_ANSWER_BYTES} bytes"))]
    TooLong,
    /// The connection ended within the answer, or its framing is malformed.
    #[snafu(display("the answer broke off"))]
    BrokenOff,
    /// Other large answers have taken all room.
    #[snafu(display("other large answers take all room"))]
    NoRoom,
}

/// A whole answer, with the room that it takes.
pub(super) struct WholeAnswer {
    bytes: Bytes,
    /// None for a short answer, which the caller's connection buffers.
    kept: Option<(OwnedSemaphorePermit, CountedBytes)>,
}

impl WholeAnswer {
    /// Makes the body for the caller. The connection of one who has not read a long answer within `limit` is closed.
    pub(super) fn into_body(self, connection: CallerConnection, limit: Duration) -> AnswerBody {
        let Some(kept) = self.kept else { return full_body(self.bytes) };
        let read_limit = AbortOnDropHandle::new(tokio::spawn(async move {
            sleep(limit).await;
            connection.close();
        }));
        let body = KeptBody { bytes: self.bytes, _kept: kept, _read_limit: read_limit };
        body.map_err(|never| match never {}).boxed_unsync()
    }
}

/// The body of a long answer, which goes to the caller's connection piece by piece as its caller reads.
struct KeptBody {
    bytes: Bytes,
    _kept: (OwnedSemaphorePermit, CountedBytes),
    _read_limit: AbortOnDropHandle<()>,
}

impl Body for KeptBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(MAX_STREAM_BYTES);
        // A piece that shares the memory of the answer would keep all of it until the connection has written the piece.
        let piece = Bytes::copy_from_slice(&self.bytes.split_to(length));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Reads an answer to its end; a large one waits up to `room_limit` for room.
///
/// # Errors
///
/// [`AnswerError`] if the answer was not read to its end; its connection must not be used any more.
pub(super) async fn read_answer(
    buffers: &Arc<StreamBuffers>,
    mut body: EndpointBody,
    room_limit: Duration,
) -> Result<WholeAnswer, AnswerError> {
    let length = body.size_hint();
    if length.lower() > MAX_ANSWER_BYTES as u64 {
        return TooLongSnafu.fail();
    }
    let length = length.exact().map(|length| length as usize);
    let mut buf = BytesMut::new();
    let mut counted = buffers.count(0);
    let mut room: Option<(OwnedSemaphorePermit, usize)> = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return BrokenOffSnafu.fail() };
        let Ok(data) = frame.into_data() else { continue };
        let bytes = buf.len() + data.len();
        if bytes > MAX_ANSWER_BYTES {
            return TooLongSnafu.fail();
        }
        let reserved = room.as_ref().map_or(MAX_UNRESERVED_BYTES, |(_, reserved)| *reserved);
        if bytes > reserved {
            let (permit, reserved) = reserve_room(buffers, bytes, length, room_limit).await?;
            // Growing by itself, the buffer would take up to twice the reserved room.
            buf.reserve(reserved.saturating_sub(buf.len()));
            room = Some((permit, reserved));
        }
        buf.extend_from_slice(&data);
        counted.set(bytes);
    }
    Ok(WholeAnswer { bytes: buf.freeze(), kept: room.map(|(permit, _)| (permit, counted)) })
}

/// Reserves room for an answer of which this many bytes have come; returns how many it may have.
async fn reserve_room(
    buffers: &StreamBuffers,
    bytes: usize,
    length: Option<usize>,
    limit: Duration,
) -> Result<(OwnedSemaphorePermit, usize), AnswerError> {
    let is_large = length.unwrap_or(bytes) <= MAX_LARGE_BYTES;
    let reserved = length.unwrap_or(if is_large { MAX_LARGE_BYTES } else { MAX_ANSWER_BYTES });
    let permit =
        if is_large { buffers.reserve_large(limit).await } else { buffers.reserve_huge(reserved, limit).await };
    Ok((permit.ok_or(AnswerError::NoRoom)?, reserved))
}
