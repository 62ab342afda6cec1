//! Client for requests to another VM, over one persistent connection.

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

/// Maximum time until a peer's reply.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of replicas with which a record counts as replicated if no more VMs can be reached.
const MIN_COPIES: usize = 2;

/// Another VM and the connection to it.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) listed: ListedVm,
    connection: Arc<Mutex<Option<FramedStream<BoxConnection>>>>,
}

/// Replicates records to `copies` peers, or to all reachable peers if there are fewer.
///
/// Returns whether enough peers store the records.
pub(super) async fn replicate_to(cx: &Context, peers: &[Peer], request: PeerRequest, copies: usize) -> bool {
    let mut stored = 0;
    for chunk in peers.chunks(copies.max(1)) {
        let replies = join_all(chunk.iter().map(|peer| peer.call(cx, &request))).await;
        stored += replies.iter().filter(|reply| matches!(reply, Some(PeerReply::Held(it)) if it.held)).count();
        if stored >= copies {
            return true;
        }
    }
    stored >= copies.min(MIN_COPIES)
}

impl Peer {
    /// Creates a peer without a connection.
    pub(super) fn new(listed: ListedVm) -> Self {
        Self { listed, connection: Arc::default() }
    }

    /// Replaces the list entry of the VM and keeps its connection.
    pub(super) fn with_listed(self, listed: ListedVm) -> Self {
        Self { listed, ..self }
    }

    /// Sends a request and waits for its reply.
    ///
    /// All requests are idempotent, so a request that fails on a reused connection, which the peer may have
    /// closed in the meantime, is sent again on a new connection.
    pub(super) async fn call(&self, cx: &Context, request: &PeerRequest) -> Option<PeerReply> {
        let mut connection = self.connection.lock().await;
        let bytes = Bytes::from(encode(request).ok()?);
        let attempts = async {
            if let Some(mut stream) = connection.take()
                && let Some(reply) = send_request(cx, &mut stream, bytes.clone()).await
            {
                return Some((stream, reply));
            }
            let mut stream = connect(cx, self.listed.peer_address).await?;
            let reply = send_request(cx, &mut stream, bytes).await?;
            Some((stream, reply))
        };
        // After a failure, a late reply could be mistaken for the reply to the next request, so the connection
        // is only kept after a success.
        let (stream, reply) = timeout(REPLY_TIMEOUT, attempts).await.ok().flatten()?;
        *connection = Some(stream);
        Some(reply)
    }
}

async fn send_request(cx: &Context, stream: &mut FramedStream<BoxConnection>, bytes: Bytes) -> Option<PeerReply> {
    count_bytes(cx, "sent", bytes.len());
    stream.send(bytes).await.ok()?;
    let reply = stream.next().await?.ok()?;
    count_bytes(cx, "received", reply.len());
    decode(&reply).ok()
}

async fn connect(cx: &Context, address: SocketAddr) -> Option<FramedStream<BoxConnection>> {
    let connection = cx.network.connect(address).await.ok()?;
    Some(framed(connection, cx.shared.settings.limits.max_frame_bytes))
}

/// Counts the bytes of a message in the metric of control traffic.
pub(super) fn count_bytes(cx: &Context, direction: &'static str, bytes: usize) {
    metrics::counter!("havengrade_peer_bytes", "vm" => cx.shared.vm().clone(), "direction" => direction)
        .increment(bytes as u64);
}
