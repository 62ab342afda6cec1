//! Bodies of requests: bounds the bytes that are kept for all requests in progress.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::published::refusal::Refusal;

/// Bytes of all bodies that are kept, a fifth of the memory of a VM with 120 MB.
pub const MAX_KEPT_BYTES: usize = 24 << 20;

/// The bodies of requests in progress, which are kept since a request may be sent again.
#[derive(Debug)]
pub struct RequestBodies(Arc<Semaphore>);

impl Default for RequestBodies {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_KEPT_BYTES)))
    }
}

/// The body of a request, which counts as kept until its last clone is dropped.
#[derive(Clone, Debug)]
pub(super) struct KeptBody {
    pub(super) bytes: Bytes,
    _room: Option<Arc<OwnedSemaphorePermit>>,
}

impl RequestBodies {
    /// Bytes that are kept now.
    pub fn kept_bytes(&self) -> usize {
        MAX_KEPT_BYTES - self.0.available_permits()
    }

    /// Reads a body of up to `max_bytes` within `limit`.
    ///
    /// # Errors
    ///
    /// [`Refusal`]: the body is too large, breaks off or takes too long, or there is no room for it.
    pub(super) async fn read(&self, body: Incoming, max_bytes: usize, limit: Duration) -> Result<KeptBody, Refusal> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > max_bytes {
            return Err(Refusal::TooLarge);
        }
        if announced > self.0.available_permits() {
            return Err(Refusal::BodiesFull);
        }
        let read = self.read_frames(Limited::new(body, max_bytes), announced);
        timeout(limit, read).await.unwrap_or(Err(Refusal::NoTimeLeft))
    }

    async fn read_frames(&self, mut body: Limited<Incoming>, announced: usize) -> Result<KeptBody, Refusal> {
        let mut bytes = BytesMut::with_capacity(announced);
        let mut room: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame
                .map_err(|error| if error.is::<LengthLimitError>() { Refusal::TooLarge } else { Refusal::Malformed })?;
            let Ok(data) = frame.into_data() else { continue };
            let more = u32::try_from(data.len()).ok().and_then(|more| self.0.clone().try_acquire_many_owned(more).ok());
            let more = more.ok_or(Refusal::BodiesFull)?;
            match &mut room {
                Some(room) => room.merge(more),
                None => room = Some(more),
            }
            bytes.extend_from_slice(&data);
        }
        Ok(KeptBody { bytes: bytes.freeze(), _room: room.map(Arc::new) })
    }
}
