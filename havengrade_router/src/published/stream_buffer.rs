//! Buffers of streams: bounds the bytes that wait for callers who read slowly, and counts them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Frame;
use tokio::{
    sync::{
        OwnedSemaphorePermit, Semaphore,
        mpsc::{self, UnboundedReceiver, UnboundedSender},
    },
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::published::refusal::BodyError;

/// Bytes of one stream that wait for its caller: some ten events of the largest usual size, while a thousand callers who
/// don't read hold 16 MB.
pub(super) const MAX_STREAM_BYTES: usize = 16 << 10;
/// Bytes of all streams that wait for callers, an eighth of the memory of a VM with 120 MB.
const MAX_WAITING_BYTES: usize = 16 << 20;
/// Bytes of an event or answer above which the rest is read only with a reservation. Usual ones have some hundred bytes.
pub(super) const MAX_UNRESERVED_BYTES: usize = 64 << 10;
/// Largest event, and size of an answer above which it is huge, in bytes.
pub(super) const MAX_LARGE_BYTES: usize = 1 << 20;
/// Number of large events and answers that are read, or wait for callers, at a time, with another eighth of the memory.
const MAX_LARGE: usize = 16;
/// Bytes of all huge answers, with another eighth of the memory.
const MAX_HUGE_BYTES: usize = 16 << 20;
/// Bytes that a shorter frame counts as, for the memory of its entry in the queue.
const MIN_FRAME_BYTES: usize = 256;

/// The bytes of streams that a VM buffers.
#[derive(Debug)]
pub struct StreamBuffers {
    buffered: Arc<AtomicUsize>,
    waiting: Arc<Semaphore>,
    large: Arc<Semaphore>,
    huge: Arc<Semaphore>,
}

impl Default for StreamBuffers {
    fn default() -> Self {
        Self {
            buffered: Arc::default(),
            waiting: Arc::new(Semaphore::new(MAX_WAITING_BYTES)),
            large: Arc::new(Semaphore::new(MAX_LARGE)),
            huge: Arc::new(Semaphore::new(MAX_HUGE_BYTES)),
        }
    }
}

impl StreamBuffers {
    /// Bytes of all streams that are buffered now: events that are being read, and those that wait for callers.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.load(Ordering::Relaxed)
    }

    /// Counts bytes as buffered until the result is dropped.
    pub(super) fn count(&self, bytes: usize) -> CountedBytes {
        let mut counted = CountedBytes { total: self.buffered.clone(), bytes: 0 };
        counted.set(bytes);
        counted
    }

    /// Reserves room for a large event or answer, in the order of the calls; none if there is no room within `limit`.
    pub(super) async fn reserve_large(&self, limit: Duration) -> Option<OwnedSemaphorePermit> {
        acquire(&self.large, 1, limit).await
    }

    /// Reserves room for an answer beyond [`MAX_LARGE_BYTES`] by its length, as [`Self::reserve_large`] does.
    pub(super) async fn reserve_huge(&self, bytes: usize, limit: Duration) -> Option<OwnedSemaphorePermit> {
        acquire(&self.huge, bytes, limit).await
    }

    /// Creates the queue of one stream, and the stream of its frames for the caller.
    pub(super) fn queue(
        self: &Arc<Self>,
    ) -> (FrameQueue, impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send + 'static) {
        let (frames, taken) = mpsc::unbounded_channel();
        let queue = FrameQueue { buffers: self.clone(), room: Arc::new(Semaphore::new(MAX_STREAM_BYTES)), frames };
        (queue, stream::unfold(Some(taken), next_frame))
    }
}

/// Takes the next frame of a queue; an error, and nothing more, once the queue was dropped before its end.
async fn next_frame(
    frames: Option<UnboundedReceiver<Queued>>,
) -> Option<(Result<Frame<Bytes>, BodyError>, Option<UnboundedReceiver<Queued>>)> {
    let mut frames = frames?;
    match frames.recv().await {
        Some(Queued::Frame(queued)) => Some((queued.frame, Some(frames))),
        Some(Queued::End) => None,
        None => Some((Err("the queue of the stream was dropped before its end".into()), None)),
    }
}

async fn acquire(semaphore: &Arc<Semaphore>, bytes: usize, limit: Duration) -> Option<OwnedSemaphorePermit> {
    let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
    // The semaphores are never closed.
    timeout(limit, semaphore.clone().acquire_many_owned(permits)).await.ok()?.ok()
}

/// Bytes that are counted as buffered until they are dropped.
#[derive(Debug)]
pub(super) struct CountedBytes {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl CountedBytes {
    /// Changes the number of bytes.
    pub(super) fn set(&mut self, bytes: usize) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.total.fetch_sub(std::mem::replace(&mut self.bytes, bytes), Ordering::Relaxed);
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// An entry of the queue of a stream.
enum Queued {
    /// A frame, or the error that ends the stream.
    Frame(QueuedFrame),
    /// The end of a complete stream.
    End,
}

/// A frame that waits for the caller, with the room that it takes.
struct QueuedFrame {
    frame: Result<Frame<Bytes>, BodyError>,
    _room: Option<[OwnedSemaphorePermit; 2]>,
    _counted: CountedBytes,
}

/// Why bytes could not be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueError {
    /// The caller has left.
    CallerLeft,
    /// The caller has read nothing within the limit.
    CallerStalled,
    /// Other streams have taken all room of the VM.
    NoRoom,
}

/// The frames of one stream that wait for its caller.
///
/// The stream is complete only by [`Self::finish`]. Dropping the queue without it ends the stream with an error, since the
/// task that fills it may be cancelled or panic while the caller's connection is still served.
pub(super) struct FrameQueue {
    buffers: Arc<StreamBuffers>,
    room: Arc<Semaphore>,
    frames: UnboundedSender<Queued>,
}

impl FrameQueue {
    /// Queues bytes in frames of limited size; waits up to `limit` for room for each of them.
    pub(super) async fn send(&self, mut bytes: Bytes, limit: Duration) -> Result<(), QueueError> {
        while !bytes.is_empty() {
            let piece = bytes.split_to(bytes.len().min(MAX_STREAM_BYTES));
            tokio::select! {
                biased;
                () = self.frames.closed() => return Err(QueueError::CallerLeft),
                sent = self.send_piece(piece, limit) => sent?,
            }
        }
        Ok(())
    }

    async fn send_piece(&self, piece: Bytes, limit: Duration) -> Result<(), QueueError> {
        let size = piece.len().max(MIN_FRAME_BYTES);
        let own = acquire(&self.room, size, limit).await.ok_or(QueueError::CallerStalled)?;
        let shared = acquire(&self.buffers.waiting, size, limit).await.ok_or(QueueError::NoRoom)?;
        let counted = self.buffers.count(piece.len());
        let frame = QueuedFrame { frame: Ok(Frame::data(piece)), _room: Some([own, shared]), _counted: counted };
        self.frames.send(Queued::Frame(frame)).map_err(|_| QueueError::CallerLeft)
    }

    /// Ends the stream as complete, after the frames that wait.
    pub(super) fn finish(self) {
        // Sending fails only if the caller has left, who needs no end then.
        drop(self.frames.send(Queued::End));
    }

    /// Ends the stream with an error, after the frames that wait.
    pub(super) fn abort(self, error: BodyError) {
        let frame = QueuedFrame { frame: Err(error), _room: None, _counted: self.buffers.count(0) };
        // Sending fails only if the caller has left, who needs no error then.
        drop(self.frames.send(Queued::Frame(frame)));
    }

    /// Waits until the caller has left.
    pub(super) async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Closes the caller's connection if the caller doesn't take the frames that wait after the end of the stream
    /// within `limit`.
    pub(super) fn close_if_not_taken(&self, connection: CallerConnection, limit: Duration) {
        let room = self.room.clone();
        if room.available_permits() == MAX_STREAM_BYTES {
            return;
        }
        tokio::spawn(async move {
            if acquire(&room, MAX_STREAM_BYTES, limit).await.is_none() {
                connection.close();
            }
        });
    }
}

/// Closes the connection of a caller who doesn't read; an answer on it can't be ended in another way.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerConnection(CancellationToken);

impl CallerConnection {
    /// Closes the connection.
    pub(super) fn close(&self) {
        self.0.cancel();
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn closed(&self) {
        self.0.cancelled().await;
    }
}
