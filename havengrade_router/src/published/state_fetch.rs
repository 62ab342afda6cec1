//! Fetches the active state from another VM.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::published::{
    directory::DirectoryEvent,
    relay::{confirmed_at, peer_rounds_before_read},
};
use havengrade_rpc::{
    FramedStream, RpcError, framed,
    reports::{StateHead, StatePart, StateQuestion},
};
use rand::seq::IteratorRandom as _;
use serde::de::DeserializeOwned;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio::time::{sleep, timeout};

use crate::{
    net::BoxConnection,
    published::{
        context::PublishedContext,
        feed_reader::{ENDPOINT_FEED, FeedMessage, OPERATOR_FEED, RelayedEvents, find_service, send},
        ports::OperatorEvent,
        quarantine::announce_changes,
        rollouts::merge_rollouts,
        signals::merge_reported_signals,
        state_parts::{EndpointsPart, OperatorsPart, VmsPart, inflate_json},
        state_server::{FRAME_TIMEOUT, MAX_FRAME_BYTES},
        view_age::EventSource,
        wire::{decode_baseline, decode_quarantine, decode_rollout, decode_signals, from_i64, to_i64},
    },
    shared::lock,
};

/// Largest compressed part, in bytes: eight times what 12,000 endpoints need.
const MAX_PART_BYTES: u64 = 4 << 20;
/// Time limit for a connection to another VM; a VM that has lost power never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest number of redirects from one VM to another.
const MAX_REDIRECTS: usize = 6;
/// Minimum time between two fetches of a VM, so that a burst of changes takes only a few.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Why the state could not be fetched from another VM.
#[derive(Debug, Snafu)]
pub(super) enum FetchError {
    #[snafu(display("connection failed: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("the VM closed the connection"))]
    Closed,
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: io::Error },
    #[snafu(display("message can't be encoded or decoded: {source}"))]
    Message { source: RpcError },
    #[snafu(display("redirect to an invalid address: {address}"))]
    Address { address: String },
    #[snafu(display("part of {bytes} bytes is too large"))]
    TooLarge { bytes: u64 },
    #[snafu(display("part can't be decoded: {source}"))]
    Part { source: serde_json::Error },
    #[snafu(display("the VM does not have the state yet"))]
    Unavailable,
    #[snafu(display("the VM's state is older than requested"))]
    Outdated,
    #[snafu(display("timed out"))]
    Timeout,
    #[snafu(display("too many redirects"))]
    TooManyRedirects,
}

/// The part of the state to fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchTarget {
    /// Operators' events up to at least this position, and all other parts that are newer.
    Operators(u64),
    /// The endpoint list up to at least this position, and all other parts that are newer.
    Endpoints(u64),
    /// All parts, with the list of VMs.
    Everything,
    /// Only the list of VMs.
    Vms,
}

/// The next fetch, requested while another one is in progress, and the VM to ask.
pub(super) type PendingFetch = Option<(SocketAddr, FetchTarget)>;

/// Fetches an update from the VM that reported it or from another one, or else from the store.
pub(super) fn fetch_update(cx: &PublishedContext, from: SocketAddr, target: FetchTarget) {
    if cx.shared.is_receiving_state.swap(true, Ordering::AcqRel) {
        return queue_fetch(cx, from, target);
    }
    let cx = cx.clone();
    tokio::spawn(async move {
        // An update reported right before its drop is lost, but the next answer of a reader reports it again.
        let _receiving = ReceivingState(cx.clone());
        let mut next = Some((from, target));
        while let Some((from, target)) = next {
            fetch_from_any(&cx, from, target).await;
            sleep(FETCH_INTERVAL).await;
            let queued = lock(&cx.shared.pending_fetch).take();
            next = queued.filter(|(_, target)| is_outstanding(&cx, *target));
        }
    });
}

/// Marks a fetch as in progress until it is dropped, at a panic as well.
struct ReceivingState(PublishedContext);

impl Drop for ReceivingState {
    fn drop(&mut self) {
        self.0.shared.is_receiving_state.store(false, Ordering::Release);
    }
}

/// Queues a fetch while another one is in progress.
///
/// A fetch of operators' events takes precedence over one of the endpoint list, which it includes.
fn queue_fetch(cx: &PublishedContext, from: SocketAddr, target: FetchTarget) {
    let mut queued = lock(&cx.shared.pending_fetch);
    let keeps_queued = matches!((*queued, target), (Some((_, FetchTarget::Operators(_))), FetchTarget::Endpoints(_)));
    if !keeps_queued {
        *queued = Some((from, target));
    }
}

/// Whether this VM still lacks the target of a fetch.
fn is_outstanding(cx: &PublishedContext, target: FetchTarget) -> bool {
    let view = cx.shared.store.view();
    match target {
        FetchTarget::Operators(position) => view.operators_position.is_none_or(|known| known < position),
        FetchTarget::Endpoints(position) => view.endpoint_changes.position() < position,
        FetchTarget::Everything | FetchTarget::Vms => true,
    }
}

/// Fetches an update from the VM that reported it or from a random one; if both fail, requests a read of the store.
///
/// In a large fleet many VMs ask at the same time, and a random one rarely has the update yet. So a VM asks for several
/// rounds before it reads the store, which can't serve the whole fleet at once.
async fn fetch_from_any(cx: &PublishedContext, from: SocketAddr, target: FetchTarget) {
    let rounds = peer_rounds_before_read(cx.shared.peers().len());
    for _ in 0..rounds {
        if fetch(cx, from, target).await.is_ok() {
            return;
        }
        let other = cx.shared.peers().all().map(|peer| peer.address).choose(&mut *cx.shared.rng());
        if try_fetch(cx, other, target).await || !is_outstanding(cx, target) {
            return;
        }
    }
    request_read(cx, target);
}

async fn try_fetch(cx: &PublishedContext, from: Option<SocketAddr>, target: FetchTarget) -> bool {
    let Some(from) = from else { return false };
    let fetched = fetch(cx, from, target).await;
    if let Err(error) = &fetched {
        log::info!(from = from.to_string().as_str(); "update not fetched from another VM: {error}");
    }
    fetched.is_ok()
}

/// Requests that the feed's service reads the store.
fn request_read(cx: &PublishedContext, target: FetchTarget) {
    match target {
        FetchTarget::Endpoints(_) => send_to_feed::<DirectoryEvent>(cx, ENDPOINT_FEED, FeedMessage::RequestRead),
        FetchTarget::Operators(_) | FetchTarget::Everything | FetchTarget::Vms => {
            send_to_feed::<OperatorEvent>(cx, OPERATOR_FEED, FeedMessage::RequestRead);
        },
    }
}

/// Fetches the target from a VM, or from the one that it redirects to, and applies it.
pub(super) async fn fetch(cx: &PublishedContext, from: SocketAddr, target: FetchTarget) -> Result<(), FetchError> {
    let mut from = from;
    for _ in 0..MAX_REDIRECTS {
        match request_state(cx, from, target).await? {
            FetchAnswer::Redirect(other) => from = other,
            FetchAnswer::State(fetched) => return apply_fetched(cx, fetched, target),
        }
    }
    TooManyRedirectsSnafu.fail()
}

/// The answer of a VM.
enum FetchAnswer {
    Redirect(SocketAddr),
    State(Box<FetchedState>),
}

/// The fetched state, with its query and the time at which that was sent.
struct FetchedState {
    sender: SocketAddr,
    asked_at: SystemTime,
    query: StateQuestion,
    head: StateHead,
    operators: Option<OperatorsPart>,
    endpoints: Option<EndpointsPart>,
    vms: Option<VmsPart>,
}

async fn request_state(
    cx: &PublishedContext,
    from: SocketAddr,
    target: FetchTarget,
) -> Result<FetchAnswer, FetchError> {
    let asked_at = cx.shared.clock.now();
    let query = build_query(cx, target);
    let connected = timeout(CONNECT_TIMEOUT, cx.network.connect(from)).await;
    let mut frames = framed(connected.ok().context(TimeoutSnafu)?.context(ConnectSnafu)?, MAX_FRAME_BYTES);
    let bytes = havengrade_rpc::encode(&query).context(MessageSnafu)?;
    frames.send(Bytes::from(bytes)).await.context(BrokenSnafu)?;
    let head: StateHead = havengrade_rpc::decode(&next_frame(&mut frames).await?).context(MessageSnafu)?;
    if let Some(address) = &head.ask_instead {
        let other = address.parse().ok().context(AddressSnafu { address })?;
        return Ok(FetchAnswer::Redirect(other));
    }
    let operators = read_part(&mut frames, head.operators.as_ref()).await?;
    let endpoints = read_part(&mut frames, head.endpoints.as_ref()).await?;
    let vms = read_part(&mut frames, head.vms.as_ref()).await?;
    Ok(FetchAnswer::State(Box::new(FetchedState { sender: from, asked_at, query, head, operators, endpoints, vms })))
}

fn build_query(cx: &PublishedContext, target: FetchTarget) -> StateQuestion {
    let (operators, endpoints) = {
        let view = cx.shared.store.view();
        (view.operators_position, cx.shared.knows_endpoints().then(|| view.endpoint_changes.position()))
    };
    let address = cx.shared.settings.listen.peers.to_string();
    let wants_vms = target == FetchTarget::Everything && (operators.is_some() || !cx.shared.peers().is_list_loaded());
    let only_vms = target == FetchTarget::Vms;
    StateQuestion::new(address, operators.map(to_i64), endpoints.map(to_i64), wants_vms || only_vms, only_vms, None)
}

async fn next_frame(frames: &mut FramedStream<BoxConnection>) -> Result<BytesMut, FetchError> {
    let frame = timeout(FRAME_TIMEOUT, frames.next()).await.ok().context(TimeoutSnafu)?;
    frame.context(ClosedSnafu)?.context(BrokenSnafu)
}

/// Reads a part; none if it has nothing new.
async fn read_part<T: DeserializeOwned>(
    frames: &mut FramedStream<BoxConnection>,
    part: Option<&StatePart>,
) -> Result<Option<T>, FetchError> {
    let bytes = part.map_or(0, |part| from_i64(part.bytes));
    if bytes == 0 {
        return Ok(None);
    }
    ensure!(bytes <= MAX_PART_BYTES, TooLargeSnafu { bytes });
    let mut part = BytesMut::new();
    while (part.len() as u64) < bytes {
        part.unsplit(next_frame(frames).await?);
    }
    inflate_json(&part).map(Some).context(PartSnafu)
}

/// Applies the fetched state and relays its events to the feeds' services.
fn apply_fetched(cx: &PublishedContext, fetched: Box<FetchedState>, target: FetchTarget) -> Result<(), FetchError> {
    let FetchedState { sender, asked_at, query, head, operators, endpoints, vms } = *fetched;
    let has_vms = vms.is_some();
    if let Some(vms) = vms {
        let mut peers = cx.shared.peers();
        peers.set_list_loaded();
        let others = vms.into_iter().filter(|(peer, _)| peer.vm != cx.shared.settings.vm.id);
        peers.merge_known(others.collect(), cx.shared.clock.now());
    }
    if target == FetchTarget::Vms {
        return if has_vms { Ok(()) } else { UnavailableSnafu.fail() };
    }
    if let Some(age_ms) = head.reading_age_ms {
        cx.shared.store_reads().record_read(confirmed_at(asked_at, Duration::from_millis(from_i64(age_ms))));
    }
    let (Some(operators_part), Some(endpoints_part)) = (head.operators, head.endpoints) else {
        return UnavailableSnafu.fail();
    };
    let is_outdated = match target {
        FetchTarget::Operators(minimum) => from_i64(operators_part.position) < minimum,
        FetchTarget::Endpoints(minimum) => from_i64(endpoints_part.position) < minimum,
        FetchTarget::Everything | FetchTarget::Vms => false,
    };
    // Before the orders, so that a finished roll-out is not started again.
    if let Some(rollouts) = head.rollouts {
        let reported = rollouts.into_iter().filter_map(|state| {
            let baseline = decode_baseline(&state);
            Some((decode_rollout(state)?, baseline))
        });
        merge_rollouts(cx, reported);
    }
    cx.shared.has_received_state.store(true, Ordering::Release);
    if let Some(quarantine) = head.quarantine {
        let now = cx.shared.clock.now();
        let changes = {
            let mut known = cx.shared.quarantine();
            known.set_loaded();
            known.merge_report(decode_quarantine(quarantine), now)
        };
        announce_changes(cx, &changes);
    }
    // Before the endpoint list, so that no request goes to an endpoint that is known not to accept any.
    merge_reported_signals(cx, decode_signals(head.signals.unwrap_or_default()), cx.shared.clock.now());
    let known_endpoints_position = query.endpoints_position.map(from_i64);
    let is_list =
        endpoints.iter().flatten().any(|event| !matches!(event, DirectoryEvent::Seen(_) | DirectoryEvent::Gone(_)));
    let events = endpoints.unwrap_or_default();
    let from = known_endpoints_position.filter(|_| !is_list);
    send_to_feed(
        cx,
        ENDPOINT_FEED,
        FeedMessage::Relayed(relayed_events(&endpoints_part, events, from, asked_at, sender)),
    );
    let has_operators = operators.is_some();
    let events = operators.map(operator_events).unwrap_or_default();
    let from = query.operators_position.map(from_i64).filter(|_| !has_operators);
    send_to_feed(
        cx,
        OPERATOR_FEED,
        FeedMessage::Relayed(relayed_events(&operators_part, events, from, asked_at, sender)),
    );
    // An older state is applied all the same, as far as it is new to this VM.
    ensure!(!is_outdated, OutdatedSnafu);
    Ok(())
}

fn operator_events(part: OperatorsPart) -> Vec<OperatorEvent> {
    let orders = part.orders.into_iter().map(OperatorEvent::Rollout);
    let domains = OperatorEvent::Domains(part.domains);
    let unreadable = part.is_config_unreadable.then_some(OperatorEvent::UnreadablePublication);
    orders.chain([domains, OperatorEvent::Publication(part.publication)]).chain(unreadable).collect()
}

fn relayed_events<T>(
    part: &StatePart,
    events: Vec<T>,
    from: Option<u64>,
    asked_at: SystemTime,
    sender: SocketAddr,
) -> RelayedEvents<T> {
    let at = confirmed_at(asked_at, Duration::from_millis(from_i64(part.age_ms)));
    let relist_grace = part.relist_grace_ms.map(|grace| Duration::from_millis(from_i64(grace)));
    RelayedEvents {
        events,
        from,
        position: from_i64(part.position),
        at,
        source: EventSource::Transfer { sender, relist_grace },
    }
}

fn send_to_feed<T: Send + 'static>(cx: &PublishedContext, name: &str, message: FeedMessage<T>) {
    if let Some(service) = find_service::<T>(cx, name) {
        send(&service, message);
    }
}
