//! Room for the answers of endpoints that are being read, which bounds the memory that all of them hold together.

use std::{sync::Arc, time::Duration};

use snafu::Snafu;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// Bytes of each answer that need no room, so that short answers never wait for long ones.
const MAX_UNRESERVED_BYTES: usize = 64 << 10;
/// Bytes of all answers beyond those: the largest answer always fits alone.
const MAX_RESERVED_BYTES: usize = 16 << 20;

/// Other answers have taken all room.
#[derive(Debug, Snafu)]
#[snafu(display("other long answers take all room"))]
pub(crate) struct NoRoom;

/// The room for all answers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRoom(Arc<Semaphore>);

impl Default for AnswerRoom {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_RESERVED_BYTES)))
    }
}

impl AnswerRoom {
    /// Starts to count the bytes of an answer.
    pub(crate) fn begin(&self) -> AnswerBytes {
        AnswerBytes { room: self.clone(), bytes: 0, reserved: None }
    }
}

/// The bytes of one answer; its room is free again once this is dropped.
#[derive(Debug)]
pub(crate) struct AnswerBytes {
    room: AnswerRoom,
    bytes: usize,
    reserved: Option<OwnedSemaphorePermit>,
}

impl AnswerBytes {
    /// Number of bytes so far.
    pub(crate) fn get(&self) -> usize {
        self.bytes
    }

    /// Counts further bytes; waits up to `limit` for room.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if there is none within `limit`; the bytes are counted all the same.
    pub(crate) async fn add(&mut self, bytes: usize, limit: Duration) -> Result<(), NoRoom> {
        self.bytes += bytes;
        let reserved = self.reserved.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = self.bytes.saturating_sub(MAX_UNRESERVED_BYTES).saturating_sub(reserved);
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let acquired = timeout(limit, self.room.0.clone().acquire_many_owned(missing)).await;
        let Ok(Ok(permit)) = acquired else { return NoRoomSnafu.fail() };
        match &mut self.reserved {
            Some(reserved) => reserved.merge(permit),
            None => self.reserved = Some(permit),
        }
        Ok(())
    }
}
