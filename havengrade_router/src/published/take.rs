//! Taking what is in force from another VM.

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
        follow::{ENDPOINTS, FollowMessage, OPERATORS, Relayed, find, send},
        hand_on::{FRAME_LIMIT, MAX_FRAME},
        ports::OperatorEvent,
        quarantine::announce_changes,
        rollouts::merge_rollouts,
        signals::merge_reported_signals,
        state_parts::{EndpointsPart, OperatorsPart, VmsPart, inflate_json},
        wire::{decode_baseline, decode_quarantine, decode_rollout, decode_signals, from_i64, to_i64},
    },
    shared::lock,
};

/// Largest deflated text of a part, in bytes: what 12,000 endpoints need, eight times over.
const MAX_TEXT: u64 = 4 << 20;
/// Time in which a connection to another VM is up; a VM without power never answers.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// VMs that name another one in turn, at most.
const MAX_HOPS: usize = 6;
/// Time between two of a VM's takings, so that a storm of changes is taken in few of them.
const TAKE_PAUSE: Duration = Duration::from_millis(300);

/// Why another VM did not hand on what is in force.
#[derive(Debug, Snafu)]
pub(super) enum TakeError {
    #[snafu(display("no connection: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("it ended the connection"))]
    Ended,
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: io::Error },
    #[snafu(display("its message can't be read: {source}"))]
    Message { source: RpcError },
    #[snafu(display("it names an address that can't be read: {address}"))]
    Address { address: String },
    #[snafu(display("its text of {bytes} bytes is too long"))]
    TooLong { bytes: u64 },
    #[snafu(display("its text can't be read: {source}"))]
    Text { source: serde_json::Error },
    #[snafu(display("it knows nothing yet"))]
    Nothing,
    #[snafu(display("it knows less than was told"))]
    Old,
    #[snafu(display("it took too long"))]
    Late,
    #[snafu(display("too many VMs named another one"))]
    Hops,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wanted {
    /// What operators wrote, up to a position at least, and whatever else is newer.
    Operators(u64),
    /// The list of endpoints, up to a position at least, and whatever else is newer.
    Endpoints(u64),
    /// Everything, and the list of VMs.
    Everything,
    /// The list of VMs only.
    Vms,
}

/// What a VM told of while other news were taken.
pub(super) type ToldMeanwhile = Option<(SocketAddr, Wanted)>;

/// Takes what a VM told of from it or another one that knows it, or else from the store.
pub(super) fn take_news(cx: &PublishedContext, from: SocketAddr, wanted: Wanted) {
    if cx.shared.is_receiving_state.swap(true, Ordering::AcqRel) {
        return tell_meanwhile(cx, from, wanted);
    }
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut next = Some((from, wanted));
        while let Some((from, wanted)) = next {
            take_from_any(&cx, from, wanted).await;
            sleep(TAKE_PAUSE).await;
            let told = lock(&cx.shared.told_meanwhile).take();
            next = told.filter(|(_, wanted)| is_news(&cx, *wanted));
        }
        // What is told in this moment, the next answer of a reader tells again.
        cx.shared.is_receiving_state.store(false, Ordering::Release);
    });
}

/// Remembers what is told while other news are taken; an operator's change goes before the list of endpoints, which is taken with it.
fn tell_meanwhile(cx: &PublishedContext, from: SocketAddr, wanted: Wanted) {
    let mut told = lock(&cx.shared.told_meanwhile);
    let is_less = matches!((*told, wanted), (Some((_, Wanted::Operators(_))), Wanted::Endpoints(_)));
    if !is_less {
        *told = Some((from, wanted));
    }
}

/// Whether what was told of is not known yet.
fn is_news(cx: &PublishedContext, wanted: Wanted) -> bool {
    let view = cx.shared.store.view();
    match wanted {
        Wanted::Operators(position) => view.operators.is_none_or(|known| known < position),
        Wanted::Endpoints(position) => view.endpoints.position() < position,
        Wanted::Everything | Wanted::Vms => true,
    }
}

/// Takes news from the VM that told of them, or another one, or has the store read.
///
/// In a large fleet many ask at the same moment, and another one hardly knows more; so they ask again before they read the store, which
/// can't bear them all.
async fn take_from_any(cx: &PublishedContext, from: SocketAddr, wanted: Wanted) {
    let rounds = peer_rounds_before_read(cx.shared.peers().len());
    for _ in 0..rounds {
        if take(cx, from, wanted).await.is_ok() {
            return;
        }
        let other = cx.shared.peers().all().map(|peer| peer.address).choose(&mut *cx.shared.rng());
        if take_or_log(cx, other, wanted).await || !is_news(cx, wanted) {
            return;
        }
    }
    hurry(cx, wanted);
}

async fn take_or_log(cx: &PublishedContext, from: Option<SocketAddr>, wanted: Wanted) -> bool {
    let Some(from) = from else { return false };
    let taken = take(cx, from, wanted).await;
    if let Err(error) = &taken {
        log::info!(from = from.to_string().as_str(); "another VM did not tell what is new: {error}");
    }
    taken.is_ok()
}

/// Makes the service read the store.
fn hurry(cx: &PublishedContext, wanted: Wanted) {
    match wanted {
        Wanted::Endpoints(_) => send_to::<DirectoryEvent>(cx, ENDPOINTS, FollowMessage::Hurry),
        Wanted::Operators(_) | Wanted::Everything | Wanted::Vms => {
            send_to::<OperatorEvent>(cx, OPERATORS, FollowMessage::Hurry);
        },
    }
}

/// Takes what is wanted from a VM, or from those that it names, and hands it to the services that follow the store.
pub(super) async fn take(cx: &PublishedContext, from: SocketAddr, wanted: Wanted) -> Result<(), TakeError> {
    let mut from = from;
    for _ in 0..MAX_HOPS {
        match ask(cx, from, wanted).await? {
            Answered::Instead(other) => from = other,
            Answered::Taken(taken) => return deliver(cx, taken, wanted),
        }
    }
    HopsSnafu.fail()
}

/// What a VM answered.
enum Answered {
    Instead(SocketAddr),
    Taken(Box<Taken>),
}

/// What was taken, and when it was asked for.
struct Taken {
    asked: SystemTime,
    question: StateQuestion,
    head: StateHead,
    operators: Option<OperatorsPart>,
    endpoints: Option<EndpointsPart>,
    vms: Option<VmsPart>,
}

async fn ask(cx: &PublishedContext, from: SocketAddr, wanted: Wanted) -> Result<Answered, TakeError> {
    let asked = cx.shared.clock.now();
    let question = question(cx, wanted);
    let connected = timeout(CONNECT_LIMIT, cx.network.connect(from)).await;
    let mut frames = framed(connected.ok().context(LateSnafu)?.context(ConnectSnafu)?, MAX_FRAME);
    let bytes = havengrade_rpc::encode(&question).context(MessageSnafu)?;
    frames.send(Bytes::from(bytes)).await.context(BrokenSnafu)?;
    let head: StateHead = havengrade_rpc::decode(&next(&mut frames).await?).context(MessageSnafu)?;
    if let Some(address) = &head.ask_instead {
        let other = address.parse().ok().context(AddressSnafu { address })?;
        return Ok(Answered::Instead(other));
    }
    let operators = text(&mut frames, head.operators.as_ref()).await?;
    let endpoints = text(&mut frames, head.endpoints.as_ref()).await?;
    let vms = text(&mut frames, head.vms.as_ref()).await?;
    Ok(Answered::Taken(Box::new(Taken { asked, question, head, operators, endpoints, vms })))
}

fn question(cx: &PublishedContext, wanted: Wanted) -> StateQuestion {
    let (operators, endpoints) = {
        let view = cx.shared.store.view();
        (view.operators, cx.shared.knows_endpoints().then(|| view.endpoints.position()))
    };
    let address = cx.shared.settings.listen.peers.to_string();
    let wants_vms = wanted == Wanted::Everything && (operators.is_some() || !cx.shared.peers().is_list_loaded());
    let only_vms = wanted == Wanted::Vms;
    StateQuestion::new(address, operators.map(to_i64), endpoints.map(to_i64), wants_vms || only_vms, only_vms)
}

async fn next(frames: &mut FramedStream<BoxConnection>) -> Result<BytesMut, TakeError> {
    let frame = timeout(FRAME_LIMIT, frames.next()).await.ok().context(LateSnafu)?;
    frame.context(EndedSnafu)?.context(BrokenSnafu)
}

/// Reads the text of a part; none where the part has nothing newer.
async fn text<T: DeserializeOwned>(
    frames: &mut FramedStream<BoxConnection>,
    part: Option<&StatePart>,
) -> Result<Option<T>, TakeError> {
    let bytes = part.map_or(0, |part| from_i64(part.bytes));
    if bytes == 0 {
        return Ok(None);
    }
    ensure!(bytes <= MAX_TEXT, TooLongSnafu { bytes });
    let mut text = BytesMut::new();
    while (text.len() as u64) < bytes {
        text.unsplit(next(frames).await?);
    }
    inflate_json(&text).map(Some).context(TextSnafu)
}

/// Hands what was taken to the services that follow the store.
fn deliver(cx: &PublishedContext, taken: Box<Taken>, wanted: Wanted) -> Result<(), TakeError> {
    let Taken { asked, question, head, operators, endpoints, vms } = *taken;
    let is_vms_told = vms.is_some();
    if let Some(vms) = vms {
        let mut peers = cx.shared.peers();
        peers.set_list_loaded();
        let others = vms.into_iter().filter(|(peer, _)| peer.vm != cx.shared.settings.vm.id);
        peers.merge_known(others.collect(), cx.shared.clock.now());
    }
    if wanted == Wanted::Vms {
        return if is_vms_told { Ok(()) } else { NothingSnafu.fail() };
    }
    if let Some(age_ms) = head.reading_age_ms {
        cx.shared.store_reads().record_read(confirmed_at(asked, Duration::from_millis(from_i64(age_ms))));
    }
    let (Some(operators_part), Some(endpoints_part)) = (head.operators, head.endpoints) else {
        return NothingSnafu.fail();
    };
    let is_old = match wanted {
        Wanted::Operators(least) => from_i64(operators_part.position) < least,
        Wanted::Endpoints(least) => from_i64(endpoints_part.position) < least,
        Wanted::Everything | Wanted::Vms => false,
    };
    // Before the orders, so that one that has ended is not taken up again.
    if let Some(rollouts) = head.rollouts {
        let told = rollouts.into_iter().filter_map(|state| {
            let usual = decode_baseline(&state);
            Some((decode_rollout(state)?, usual))
        });
        merge_rollouts(cx, told);
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
    // Before the list of endpoints, so that nothing is sent where it is known not to be wanted.
    merge_reported_signals(cx, decode_signals(head.signals.unwrap_or_default()), cx.shared.clock.now());
    let endpoints_known = question.endpoints_position.map(from_i64);
    let is_list =
        endpoints.iter().flatten().any(|event| !matches!(event, DirectoryEvent::Seen(_) | DirectoryEvent::Gone(_)));
    let events = endpoints.unwrap_or_default();
    let from = endpoints_known.filter(|_| !is_list);
    send_to(cx, ENDPOINTS, FollowMessage::Relayed(relayed(&endpoints_part, events, from, asked)));
    let is_news = operators.is_some();
    let events = operators.map(operator_events).unwrap_or_default();
    let from = question.operators_position.map(from_i64).filter(|_| !is_news);
    send_to(cx, OPERATORS, FollowMessage::Relayed(relayed(&operators_part, events, from, asked)));
    // What it knows is taken all the same, as far as it is news.
    ensure!(!is_old, OldSnafu);
    Ok(())
}

fn operator_events(part: OperatorsPart) -> Vec<OperatorEvent> {
    let orders = part.orders.into_iter().map(OperatorEvent::Rollout);
    let domains = OperatorEvent::Domains(part.domains);
    orders.chain([domains, OperatorEvent::Publication(part.publication)]).collect()
}

fn relayed<T>(part: &StatePart, events: Vec<T>, from: Option<u64>, asked: SystemTime) -> Relayed<T> {
    let at = confirmed_at(asked, Duration::from_millis(from_i64(part.age_ms)));
    Relayed { events, from, position: from_i64(part.position), at }
}

fn send_to<T: Send + 'static>(cx: &PublishedContext, name: &str, message: FollowMessage<T>) {
    if let Some(service) = find::<T>(cx, name) {
        send(&service, message);
    }
}
