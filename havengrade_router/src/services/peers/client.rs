//! Requests to another VM, over one connection that is kept.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _, future::join_all};
use havengrade_core::membership::ListedVm;
use havengrade_rpc::{
    FramedStream, decode, encode, framed,
    peers::{PeerReply, PeerRequest},
};
use tokio::{sync::Mutex, time::timeout};

use crate::{kernel::Context, net::BoxConnection};

/// Time that a peer has for a reply.
pub(super) const REPLY_LIMIT: Duration = Duration::from_millis(1000);
/// Copies with which a record counts as held where no more VMs can be reached.
const LEAST_COPIES: usize = 2;

/// Another VM.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) listed: ListedVm,
    connection: Arc<Mutex<Option<FramedStream<BoxConnection>>>>,
}

/// Has the records held by so many peers; where not as many can be reached, by all that can.
pub(super) async fn hold_at(cx: &Context, peers: &[Peer], request: PeerRequest, copies: usize) -> bool {
    let mut held = 0;
    for chunk in peers.chunks(copies.max(1)) {
        let replies = join_all(chunk.iter().map(|peer| peer.call(cx, &request))).await;
        held += replies.iter().filter(|reply| matches!(reply, Some(PeerReply::Held(it)) if it.held)).count();
        if held >= copies {
            return true;
        }
    }
    held >= copies.min(LEAST_COPIES)
}

impl Peer {
    /// A VM to which no connection has been made yet.
    pub(super) fn new(listed: ListedVm) -> Self {
        Self { listed, connection: Arc::default() }
    }

    /// The same VM as it is listed now; the connection stays.
    pub(super) fn listed_as(self, listed: ListedVm) -> Self {
        Self { listed, ..self }
    }

    /// Sends a request and waits for its reply.
    ///
    /// All requests may be sent twice, so one that fails on a connection from before, which the peer may
    /// have closed since, is sent once more on a new one.
    pub(super) async fn call(&self, cx: &Context, request: &PeerRequest) -> Option<PeerReply> {
        let mut connection = self.connection.lock().await;
        let bytes = Bytes::from(encode(request).ok()?);
        let both = async {
            if let Some(mut open) = connection.take()
                && let Some(reply) = exchange(cx, &mut open, bytes.clone()).await
            {
                return Some((open, reply));
            }
            let mut open = connect(cx, self.listed.peer_address).await?;
            let reply = exchange(cx, &mut open, bytes).await?;
            Some((open, reply))
        };
        // After a failure a late reply could still come; only a new connection is in step again.
        let (open, reply) = timeout(REPLY_LIMIT, both).await.ok().flatten()?;
        *connection = Some(open);
        Some(reply)
    }
}

async fn exchange(cx: &Context, frames: &mut FramedStream<BoxConnection>, bytes: Bytes) -> Option<PeerReply> {
    count_bytes(cx, "sent", bytes.len());
    frames.send(bytes).await.ok()?;
    let reply = frames.next().await?.ok()?;
    count_bytes(cx, "received", reply.len());
    decode(&reply).ok()
}

async fn connect(cx: &Context, address: SocketAddr) -> Option<FramedStream<BoxConnection>> {
    let connection = cx.network.connect(address).await.ok()?;
    Some(framed(connection, cx.shared.settings.limits.max_frame_bytes))
}

/// Counts the bytes of a message, for whoever watches the budget of control.
pub(super) fn count_bytes(cx: &Context, direction: &'static str, bytes: usize) {
    metrics::counter!("havengrade_peer_bytes", "vm" => cx.shared.vm().clone(), "direction" => direction)
        .increment(bytes as u64);
}
