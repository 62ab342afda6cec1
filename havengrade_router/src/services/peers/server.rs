//! Server for the requests of other VMs.

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::ledger::LedgerRecord;
use havengrade_rpc::{
    decode, encode, framed,
    peers::{
        PeerAnswer, PeerAsk, PeerDone, PeerDrain, PeerFetch, PeerHeld, PeerHold, PeerRecord, PeerRecords, PeerRelease,
        PeerReply, PeerRequest,
    },
};

use super::{
    NAME, PeersMessage,
    client::{REPLY_TIMEOUT, count_bytes},
};
use crate::{
    kernel::Context,
    net::{BoxConnection, Listener},
    services::{
        ACCEPT_RETRY_DELAY,
        config::{self, ConfigMessage},
        members::{self, MembersMessage},
    },
    traffic::RequestStatus,
};

/// Accepts connections of other VMs and serves each in a task of its own.
pub(super) async fn serve(cx: Context, mut listener: Box<dyn Listener>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok(connection) => drop(connections.spawn(serve_peer(cx.clone(), connection))),
            Err(error) => {
                log::warn!(service = NAME; "connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

async fn serve_peer(cx: Context, connection: BoxConnection) {
    let mut stream = framed(connection, cx.shared.settings.limits.max_frame_bytes);
    while let Some(frame) = stream.next().await {
        let request = match frame.map_err(|error| error.to_string()).and_then(|frame| {
            count_bytes(&cx, "received", frame.len());
            decode::<PeerRequest>(&frame).map_err(|error| error.to_string())
        }) {
            Ok(request) => request,
            Err(error) => {
                log::warn!(service = NAME; "closing a peer connection after a malformed message: {error}");
                return;
            },
        };
        let Some(reply) = handle_request(&cx, request).await else { return };
        let Ok(bytes) = encode(&reply) else { return };
        count_bytes(&cx, "sent", bytes.len());
        if stream.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
    }
}

async fn handle_request(cx: &Context, request: PeerRequest) -> Option<PeerReply> {
    match request {
        PeerRequest::Heartbeat(heartbeat) => {
            let members = cx.find::<MembersMessage>(members::NAME)?;
            let reply = members
                .call(
                    |reply| MembersMessage::Heartbeat {
                        heartbeat: Box::new(heartbeat),
                        requested_at: None,
                        reply: Some(reply),
                    },
                    None,
                )
                .await;
            reply.ok()?.success_or(()).ok().map(PeerReply::Heartbeat)
        },
        PeerRequest::Fetch(fetch) => fetch_records(cx, &fetch).await.map(PeerReply::Records),
        PeerRequest::Hold(hold) => store_replicas(cx, hold).await.map(|stored| PeerReply::Held(PeerHeld::new(stored))),
        PeerRequest::Release(release) => {
            let PeerRelease { writer, request_ids } = release;
            let peers = cx.find::<PeersMessage>(NAME)?;
            let message = PeersMessage::DropReplicas { writer: writer.cast_unsigned(), requests: request_ids };
            peers.cast(message).ok()?;
            Some(PeerReply::Done(PeerDone::new()))
        },
        PeerRequest::Ask(ask) => Some(PeerReply::Answer(look_up_request(cx, &ask))),
        PeerRequest::Drain(PeerDrain { operator_name }) => {
            log::info!(service = NAME, operator = operator_name.as_str(); "drain requested through a peer");
            cx.shared.start_drain();
            Some(PeerReply::Done(PeerDone::new()))
        },
    }
}

async fn fetch_records(cx: &Context, fetch: &PeerFetch) -> Option<PeerRecords> {
    let service = cx.find::<ConfigMessage>(config::NAME)?;
    let from = fetch.from_offset.cast_unsigned();
    let limit = usize::try_from(fetch.limit).unwrap_or_default();
    let fetched = service.call(|reply| ConfigMessage::Fetch { from, limit, reply }, Some(REPLY_TIMEOUT)).await;
    let fetched = fetched.ok()?.success_or(()).ok()?;
    let records = fetched
        .records
        .into_iter()
        .map(|record| PeerRecord::new(record.offset.cast_signed(), record.data.into_bytes()))
        .collect();
    let snapshot = fetched.snapshot.and_then(|snapshot| serde_json::to_vec(&snapshot).ok());
    Some(PeerRecords::new(records, fetched.next.cast_signed(), snapshot))
}

async fn store_replicas(cx: &Context, hold: PeerHold) -> Option<bool> {
    let peers = cx.find::<PeersMessage>(NAME)?;
    let parse = |bytes: &Vec<u8>| serde_json::from_slice(bytes).ok();
    let records: Option<Vec<LedgerRecord>> = hold.records.iter().map(parse).collect();
    let Some(records) = records else { return Some(false) };
    let writer = hold.writer.cast_unsigned();
    let stored = peers.call(|reply| PeersMessage::StoreReplicas { writer, records, reply }, Some(REPLY_TIMEOUT)).await;
    stored.ok()?.success_or(()).ok()
}

fn look_up_request(cx: &Context, ask: &PeerAsk) -> PeerAnswer {
    match cx.shared.requests.look_up(&ask.request_id, &ask.account) {
        RequestStatus::Unknown => PeerAnswer::new("unknown".to_owned(), None, None, None),
        RequestStatus::Pending => PeerAnswer::new("pending".to_owned(), None, None, None),
        RequestStatus::Ended { status, content_type, body } => {
            PeerAnswer::new("answered".to_owned(), i32::from(status), content_type, body.to_vec())
        },
    }
}
