//! Serves the active state to VMs that ask for it.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::published::state_transfer::TransferDecision;
use havengrade_rpc::{
    FramedStream, RpcError, framed,
    reports::{StateHead, StatePart, StateQuestion},
};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    net::{BoxConnection, SharedListener},
    published::{
        context::PublishedContext,
        rollouts::reported_rollouts,
        server::serve_caller,
        state_parts::{deflate_json, encode_endpoints_part, encode_operators_part, encode_vms_part},
        wire::{encode_quarantine, encode_rollout, encode_signals, from_i64, to_i64},
    },
    services::ACCEPT_RETRY_DELAY,
    shared::lock,
};

/// Largest frame, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 16 << 10;
/// Time limit for one frame: it demands 330 kbit/s, a sixtieth of the rate of the slowest known link.
pub(super) const FRAME_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which a VM waits until others are served; less than its own timeout for the first frame.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time between two checks whether others have been served: a fraction of the duration of one transfer.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);

/// Why the state was not sent to a VM that asked for it.
#[derive(Debug, Snafu)]
enum ServeError {
    #[snafu(display("the VM closed the connection"))]
    Closed,
    #[snafu(display("busy with transfers to other VMs"))]
    Busy,
    #[snafu(display("timed out"))]
    Timeout,
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: io::Error },
    #[snafu(display("message can't be encoded or decoded: {source}"))]
    Message { source: RpcError },
    #[snafu(display("part can't be encoded: {source}"))]
    Part { source: io::Error },
}

/// Serves the active state to each VM that connects.
pub(super) async fn serve_state(cx: PublishedContext, listener: SharedListener) {
    let mut listener = listener.lock().await;
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let served =
                    cx.forced_shutdown.clone().run_until_cancelled_owned(serve_connection(cx.clone(), connection));
                tokio::spawn(served);
            },
            Err(error) => {
                log::warn!("connection of another VM not accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

async fn serve_connection(cx: PublishedContext, connection: BoxConnection) {
    if let Err(error) = serve_request(&cx, connection).await {
        log::info!("state not sent to another VM: {error}");
    }
}

async fn serve_request(cx: &PublishedContext, connection: BoxConnection) -> Result<(), ServeError> {
    let mut frames = framed(connection, MAX_FRAME_BYTES);
    let frame = timeout(FRAME_TIMEOUT, frames.next()).await.ok().context(TimeoutSnafu)?;
    let frame = frame.context(ClosedSnafu)?.context(BrokenSnafu)?;
    let query: StateQuestion = havengrade_rpc::decode(&frame).context(MessageSnafu)?;
    if query.relays_requests == Some(true) {
        return accept_requests(cx, frames).await;
    }
    if cx.shared.store.is_reading_initial_state(cx.shared.clock.now()) {
        // Waits for this VM's own read, so that the other VM need not ask again and again.
        let _ = timeout(MAX_WAIT, cx.shared.wait_for_state()).await;
    }
    if query.only_vms || !can_transfer(cx, &query) {
        // An answer without the active state is small, so it needs no admission.
        return send_state(cx, &query, &mut frames).await.map(drop);
    }
    let (decision, revision) = admit(cx).await;
    match decision {
        TransferDecision::Serve => {},
        TransferDecision::Wait => return BusySnafu.fail(),
        TransferDecision::Redirect(other) => {
            let head = StateHead { ask_instead: Some(other.to_string()), ..empty_head() };
            return send_head(&mut frames, &head).await;
        },
    }
    let served = send_state(cx, &query, &mut frames).await;
    let receiver: Option<SocketAddr> = query.address.parse().ok();
    let is_complete = matches!(served, Ok(true));
    lock(&cx.shared.transfer_limiter).finish(revision, receiver.filter(|_| is_complete));
    served.map(drop)
}

/// Serves the requests that another VM relays on a connection, if this VM reaches endpoints and does not stop.
async fn accept_requests(cx: &PublishedContext, mut frames: FramedStream<BoxConnection>) -> Result<(), ServeError> {
    let is_able = cx.shared.knows_routes() && !cx.shared.is_draining() && !cx.shared.reach.is_lost();
    let accepted = cx.shared.request_relay.accept().filter(|_| is_able);
    let head = StateHead { accepts_requests: Some(accepted.is_some()), ..empty_head() };
    send_head(&mut frames, &head).await?;
    if let Some(accepted) = accepted {
        let served = serve_caller(cx.clone(), frames.into_inner(), true);
        let served = cx.forced_shutdown.clone().run_until_cancelled_owned(async move {
            served.await;
            drop(accepted);
        });
        cx.tracked_tasks.spawn_on(served, &cx.traffic);
    }
    Ok(())
}

/// Whether this VM has the active state and, if the query asks for VMs, the complete list of them.
///
/// The receiver takes the VMs that it gets for the complete list.
fn can_transfer(cx: &PublishedContext, query: &StateQuestion) -> bool {
    cx.shared.knows_state() && (!query.wants_vms || cx.shared.peers().is_list_loaded())
}

/// Waits until a VM may be served or redirected; returns the decision and the revision that it holds for.
async fn admit(cx: &PublishedContext) -> (TransferDecision, u64) {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let revision = revision(cx);
        let decision = lock(&cx.shared.transfer_limiter).admit(revision);
        if decision != TransferDecision::Wait || Instant::now() >= deadline {
            return (decision, revision);
        }
        sleep(WAIT_INTERVAL).await;
    }
}

/// A number that increases whenever the active state changes.
fn revision(cx: &PublishedContext) -> u64 {
    let view = cx.shared.store.view();
    view.operators_position.unwrap_or_default().saturating_add(view.endpoint_changes.revision())
}

/// Sends the state that this VM has; returns whether that was the complete active state.
async fn send_state(
    cx: &PublishedContext,
    query: &StateQuestion,
    frames: &mut FramedStream<BoxConnection>,
) -> Result<bool, ServeError> {
    let answer = StateAnswer::new(cx, query, cx.shared.clock.now()).context(PartSnafu)?;
    let is_complete = answer.head.operators.is_some() && answer.head.endpoints.is_some();
    send_head(frames, &answer.head).await?;
    for part in answer.parts {
        send_part(frames, part).await?;
    }
    Ok(is_complete)
}

async fn send_head(frames: &mut FramedStream<BoxConnection>, head: &StateHead) -> Result<(), ServeError> {
    let bytes = havengrade_rpc::encode(head).context(MessageSnafu)?;
    send_frame(frames, Bytes::from(bytes)).await
}

async fn send_part(frames: &mut FramedStream<BoxConnection>, mut part: Bytes) -> Result<(), ServeError> {
    while !part.is_empty() {
        let frame = part.split_to(part.len().min(MAX_FRAME_BYTES));
        send_frame(frames, frame).await?;
    }
    Ok(())
}

async fn send_frame(frames: &mut FramedStream<BoxConnection>, frame: Bytes) -> Result<(), ServeError> {
    timeout(FRAME_TIMEOUT, frames.send(frame)).await.ok().context(TimeoutSnafu)?.context(BrokenSnafu)
}

/// A head without parts; in the generated default, optional fields are empty values instead of none.
fn empty_head() -> StateHead {
    StateHead {
        ask_instead: None,
        operators: None,
        endpoints: None,
        vms: None,
        rollouts: None,
        quarantine: None,
        signals: None,
        reading_age_ms: None,
        accepts_requests: None,
    }
}

fn age_ms(at: SystemTime, now: SystemTime) -> i64 {
    to_i64(now.duration_since(at).unwrap_or_default().as_millis() as u64)
}

/// An answer: its head, and the parts that follow.
struct StateAnswer {
    head: StateHead,
    parts: Vec<Bytes>,
}

impl StateAnswer {
    fn new(cx: &PublishedContext, query: &StateQuestion, now: SystemTime) -> io::Result<Self> {
        let mut answer = Self { head: empty_head(), parts: Vec::new() };
        // Before its first reads, a VM has nothing to give but the list of VMs that it knows.
        if query.only_vms {
            if cx.shared.peers().is_list_loaded() {
                answer.head.vms = Some(answer.add_part(0, Duration::ZERO, encode_vms_part(cx)?));
            }
            return Ok(answer);
        }
        if can_transfer(cx, query) {
            answer.add_operators(cx, query, now)?;
            answer.add_endpoints(cx, query, now)?;
            answer.head.rollouts = reported_rollouts(cx, now).map(|rollouts| {
                rollouts.into_iter().map(|(rollout, baseline)| encode_rollout(rollout, baseline)).collect()
            });
        } else {
            answer.head.reading_age_ms = cx.shared.last_store_read_at(now).map(|at| age_ms(at, now));
        }
        answer.head.quarantine = cx.shared.quarantine().full_report(now).map(encode_quarantine);
        answer.head.signals = Some(encode_signals(cx.shared.send_limits().signals.transfer_entries(now)));
        if query.wants_vms && can_transfer(cx, query) {
            answer.head.vms = Some(answer.add_part(0, Duration::ZERO, encode_vms_part(cx)?));
        }
        Ok(answer)
    }

    fn add_operators(&mut self, cx: &PublishedContext, query: &StateQuestion, now: SystemTime) -> io::Result<()> {
        let (position, age) = {
            let view = cx.shared.store.view();
            (view.operators_position.unwrap_or_default(), view.operators_age(now))
        };
        let is_newer = query.operators_position.is_none_or(|known| from_i64(known) < position);
        let part = if is_newer { encode_operators_part(cx, position)? } else { Bytes::new() };
        self.head.operators = Some(self.add_part(position, age, part));
        Ok(())
    }

    fn add_endpoints(&mut self, cx: &PublishedContext, query: &StateQuestion, now: SystemTime) -> io::Result<()> {
        let known = query.endpoints_position.map(from_i64);
        let (position, revision, age, relist_grace, changes) = {
            let view = cx.shared.store.view();
            let changes = known.and_then(|known| view.endpoint_changes.since(known));
            let changes = changes.map(|changes| changes.cloned().collect::<Vec<_>>());
            let age = now.duration_since(view.endpoints_confirmed_at).unwrap_or_default();
            let relist_grace = to_i64(view.relist_grace(now).as_millis() as u64);
            (view.endpoint_changes.position(), view.endpoint_changes.revision(), age, relist_grace, changes)
        };
        let is_ahead = known.is_some_and(|known| known > position);
        let part = match changes {
            Some(changes) if changes.is_empty() => Bytes::new(),
            Some(changes) => deflate_json(&changes)?,
            None if is_ahead => Bytes::new(),
            None => encode_endpoints_part(cx, revision)?,
        };
        let mut part = self.add_part(position, age, part);
        part.relist_grace_ms = Some(relist_grace);
        self.head.endpoints = Some(part);
        Ok(())
    }

    fn add_part(&mut self, position: u64, age: Duration, part: Bytes) -> StatePart {
        let bytes = to_i64(part.len() as u64);
        self.parts.push(part);
        StatePart::new(to_i64(position), to_i64(age.as_millis() as u64 + 1), bytes, None)
    }
}
