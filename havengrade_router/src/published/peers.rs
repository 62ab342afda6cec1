//! Service that exchanges reports between VMs: work in progress, evidence on roll-outs, quarantine, endpoint signals.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    ids::EndpointId,
    published::{
        peers::{Peer, Work, WorkReport},
        rollout::RolloutUpdate,
        startup::FirstReaders,
    },
};
use havengrade_rpc::reports::{Datagram, Greeting, StoreQuestion, VmReport};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use snafu::ResultExt as _;
use tokio::task::yield_now;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::{BindSnafu, Service, ServiceContext as _, StartError, spawn},
    net::DatagramSocket,
    published::{
        context::PublishedContext,
        quarantine::announce_changes,
        signals::merge_reported_signals,
        speeds::{merge_reported_speeds, next_speed_report},
        store_queries::{StoreQueries, answer_query, can_offer_reads, change_hint},
        wire::{PeerReport, decode_report, encode_report},
    },
    services::send_periodically,
    shared::lock,
};

/// Name of the service.
pub const NAME: &str = "published-peers";

/// Interval between two checks for datagrams to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two reports while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Shortest interval between two reports. At 50 ms, reports were a fifth of all bytes between failure domains, and the
/// choice of endpoints was no better.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between two reports in a fleet that is larger than the targets of a report, because the traffic
/// grows with the fleet.
pub(super) const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(400);
/// Largest datagram that is read, in bytes. The limits on their entries keep reports within one packet; an answer with
/// many changes of the endpoint list may be this large.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;
/// Maximum number of endpoints in a report; those with the most work come first.
const MAX_REPORTED_ENDPOINTS: usize = 36;

/// Service of peer reports.
pub(super) struct PeersService;

#[async_trait]
impl Service<PublishedContext> for PeersService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let address = cx.shared.settings.listen.peers;
        let socket = cx.network.bind_datagrams(address).await.context(BindSnafu { key: "listen.peers", address })?;
        spawn(NAME, cx, PeersActor, Arguments { cx: cx.clone(), socket }).await
    }
}

struct PeersActor;

/// Message to the service.
enum PeersMessage {
    /// Checks for datagrams to send.
    Check,
    /// Greets VMs after this one has started.
    Greet(Vec<SocketAddr>),
}

/// Greets VMs that may not know this one yet; its periodic reports go to a few of them only.
pub(super) fn greet(cx: &PublishedContext, targets: Vec<SocketAddr>) {
    let service = ractor::registry::where_is(cx.actor_name(NAME)).map(ActorRef::<PeersMessage>::from);
    if let Some(Err(error)) = service.map(|service| service.cast(PeersMessage::Greet(targets))) {
        log::debug!("the peer service has stopped: {error}");
    }
}

struct Arguments {
    cx: PublishedContext,
    socket: Arc<dyn DatagramSocket>,
}

struct PeersState {
    cx: PublishedContext,
    socket: Arc<dyn DatagramSocket>,
    queries: Arc<Mutex<StoreQueries>>,
    /// Position in the operators' records that was last announced to the other VMs.
    announced_position: Option<u64>,
    /// Whether this VM has announced that it is a fallback reader.
    has_offered: bool,
    last_report: Option<(SystemTime, Vec<(EndpointId, Work)>)>,
    receiver: AbortOnDropHandle<()>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for PeersActor {
    type Msg = PeersMessage;
    type State = PeersState;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<PeersMessage>,
        arguments: Arguments,
    ) -> Result<PeersState, ActorProcessingErr> {
        let Arguments { cx, socket } = arguments;
        let queries = Arc::new(Mutex::new(StoreQueries::default()));
        let ticker = send_periodically(myself, CHECK_INTERVAL, || PeersMessage::Check);
        let receiver = AbortOnDropHandle::new(tokio::spawn(receive(cx.clone(), socket.clone(), queries.clone())));
        Ok(PeersState {
            cx,
            socket,
            queries,
            announced_position: None,
            has_offered: false,
            last_report: None,
            receiver,
            _ticker: ticker,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<PeersMessage>,
        message: PeersMessage,
        state: &mut PeersState,
    ) -> Result<(), ActorProcessingErr> {
        if state.receiver.is_finished() {
            return Err("the receiver of datagrams has ended".into());
        }
        match message {
            PeersMessage::Check => state.check().await,
            PeersMessage::Greet(targets) => state.greet(&targets).await,
        }
        Ok(())
    }
}

impl PeersState {
    async fn check(&mut self) {
        let now = self.cx.shared.clock.now();
        let work = own_work_in_progress(&self.cx);
        self.send_query(now).await;
        self.announce_position(now).await;
        if self.is_report_due(&work, now) {
            let to = self.report_targets(now);
            self.report(work, &to, now).await;
        }
    }

    /// Sends a greeting to each target. It names the first readers of the store, in case the target is starting too.
    async fn greet(&mut self, targets: &[SocketAddr]) {
        let now = self.cx.shared.clock.now();
        let work = own_work_in_progress(&self.cx);
        let report = encode_report(own_report(&self.cx, &work));
        let greetings = greetings(&self.cx, &report, targets);
        for (greeting, to) in greetings {
            send(&*self.socket, &Datagram::Greeting(greeting), &[to]).await;
        }
        self.last_report = Some((now, work));
    }

    /// Selects the few VMs that get the next report.
    fn report_targets(&self, now: SystemTime) -> Vec<SocketAddr> {
        let mut peers = self.cx.shared.peers();
        peers.expire(now);
        peers.report_targets(&self.cx.shared.settings.vm.failure_domain, &mut *self.cx.shared.rng())
    }

    /// Whether a report is due: after the shortest interval if anything has changed, and otherwise after
    /// [`REPORT_INTERVAL`].
    fn is_report_due(&self, work: &[(EndpointId, Work)], now: SystemTime) -> bool {
        let Some((at, sent)) = &self.last_report else { return true };
        let min_interval = if self.cx.shared.peers().is_large() { LARGE_FLEET_INTERVAL } else { MIN_REPORT_INTERVAL };
        let has_changes = sent != work
            || self.cx.shared.rollouts().has_unreported_evidence(self.cx.shared.incarnation, now)
            || self.cx.shared.quarantine().has_unreported()
            || self.cx.shared.send_limits().signals.has_unreported();
        now >= *at + if has_changes { min_interval } else { REPORT_INTERVAL }
    }

    async fn report(&mut self, work: Vec<(EndpointId, Work)>, to: &[SocketAddr], now: SystemTime) {
        let report = own_report(&self.cx, &work);
        send(&*self.socket, &Datagram::Report(encode_report(report)), to).await;
        self.last_report = Some((now, work));
    }

    /// Announces new operators' records to all VMs if this VM reads the store for them, or that it has become a
    /// fallback reader.
    async fn announce_position(&mut self, now: SystemTime) {
        let position = self.cx.shared.store.view().operators_position;
        let is_fallback = self.cx.shared.store.is_fallback_reader();
        let is_offer = is_fallback && !self.has_offered && can_offer_reads(&self.cx, now);
        self.has_offered = is_fallback && (self.has_offered || is_offer);
        if !is_offer && (position <= self.announced_position || !self.cx.shared.store.is_reader()) {
            return;
        }
        self.announced_position = position;
        let to: Vec<SocketAddr> = self.cx.shared.peers().all().map(|peer| peer.address).collect();
        if let Some(hint) = change_hint(&self.cx, now) {
            send(&*self.socket, &Datagram::Answer(hint), &to).await;
        }
    }

    /// Sends a query to a VM that reads the store, if one is due.
    async fn send_query(&self, now: SystemTime) {
        let query = lock(&self.queries).next_query(&self.cx, now);
        if let Some((query, to)) = query {
            send(&*self.socket, &Datagram::Question(query), &[to]).await;
        }
    }
}

/// Builds the greetings of this VM to the given targets.
fn greetings(cx: &PublishedContext, report: &VmReport, targets: &[SocketAddr]) -> Vec<(Greeting, SocketAddr)> {
    let me = cx.own_peer();
    let peers = cx.shared.peers();
    let vms: Vec<&Peer> = peers.all().chain([&me]).collect();
    let first = FirstReaders::select(&vms);
    let greeted = vms.iter().filter(|peer| targets.contains(&peer.address));
    let greeting = |peer: &&&Peer| {
        let readers = first.in_domain(&peer.failure_domain).iter().map(SocketAddr::to_string).collect();
        (Greeting::new(report.clone(), first.contains(peer), readers), peer.address)
    };
    greeted.map(|peer| greeting(&peer)).collect()
}

async fn send(socket: &dyn DatagramSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let bytes = match havengrade_rpc::encode(datagram) {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("datagram not encoded: {error}"),
    };
    for address in to {
        if let Err(error) = socket.send(&bytes, *address).await {
            log::debug!("datagram not sent to {address}: {error}");
        }
    }
}

/// Returns this VM's work in progress by endpoint, largest first.
fn own_work_in_progress(cx: &PublishedContext) -> Vec<(EndpointId, Work)> {
    let mut work = Vec::new();
    cx.shared.endpoint_states.for_each(|endpoint, slot| {
        let own = slot.work();
        if own.requests > 0 {
            work.push((endpoint.clone(), own));
        }
    });
    let size = |work: &Work| (work.tokens, work.memory_tokens);
    work.sort_by(|a, b| size(&b.1).cmp(&size(&a.1)).then_with(|| a.0.cmp(&b.0)));
    work.truncate(MAX_REPORTED_ENDPOINTS);
    work
}

fn own_report(cx: &PublishedContext, work: &[(EndpointId, Work)]) -> PeerReport {
    let now = cx.shared.clock.now();
    let rollouts = cx.shared.rollouts().next_report(cx.shared.rollout_bounds(), cx.shared.incarnation, now);
    let quarantine = cx.shared.quarantine().next_report(now);
    let signals = cx.shared.send_limits().signals.next_report(now);
    let speeds = next_speed_report(cx, now);
    PeerReport {
        work: WorkReport { peer: cx.own_peer(), seq: cx.shared.next_report_seq(), work: work.to_vec() },
        rollouts,
        quarantine,
        signals,
        speeds,
    }
}

/// Receives and handles datagrams of other VMs.
async fn receive(cx: PublishedContext, socket: Arc<dyn DatagramSocket>, queries: Arc<Mutex<StoreQueries>>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.receive(&mut buf).await {
            Ok(length) => length,
            Err(error) => {
                // The socket reports that earlier datagrams found no receiver; later ones are not affected.
                log::debug!("no datagram received: {error}");
                yield_now().await;
                continue;
            },
        };
        let now = cx.shared.clock.now();
        match havengrade_rpc::decode::<Datagram>(buf.get(..length).unwrap_or_default()) {
            Ok(Datagram::Report(report)) => apply_report(&cx, report, now),
            Ok(Datagram::Greeting(greeting)) => apply_greeting(&cx, greeting, now),
            Ok(Datagram::Question(query)) => handle_query(&cx, &*socket, &query, now).await,
            Ok(Datagram::Answer(answer)) => lock(&queries).apply_answer(&cx, answer),
            Err(error) => log::warn!("ignoring a malformed datagram: {error}"),
        }
    }
}

async fn handle_query(cx: &PublishedContext, socket: &dyn DatagramSocket, query: &StoreQuestion, now: SystemTime) {
    let Ok(to) = query.address.parse::<SocketAddr>() else {
        return log::warn!("ignoring a store query without a valid address");
    };
    if let Some(answer) = answer_query(cx, query, now) {
        send(socket, &Datagram::Answer(answer), &[to]).await;
    }
}

fn apply_greeting(cx: &PublishedContext, greeting: Greeting, now: SystemTime) {
    if !cx.shared.knows_state() {
        let readers = greeting.readers.iter().filter_map(|reader| reader.parse().ok()).collect();
        cx.shared.store_reads().apply_greeting(greeting.reads_first, readers);
    }
    apply_report(cx, greeting.report, now);
}

fn apply_report(cx: &PublishedContext, report: VmReport, now: SystemTime) {
    let Some(report) = decode_report(report) else {
        return log::warn!("ignoring a report without a valid address");
    };
    let peer = &report.work.peer;
    if peer.vm == cx.shared.settings.vm.id {
        return;
    }
    let is_near = peer.failure_domain == cx.shared.settings.vm.failure_domain;
    cx.shared.rollouts().record_sender(peer.incarnation, is_near, now);
    let updates = cx.shared.rollouts().merge_report(peer.incarnation, report.rollouts, now);
    for update in updates {
        log_rollout_update(&update, peer);
    }
    let changes = cx.shared.quarantine().merge_report(report.quarantine, now);
    announce_changes(cx, &changes);
    merge_reported_signals(cx, report.signals, now);
    let is_new = cx.shared.peers().apply_report(report.work, now);
    if is_new {
        merge_reported_speeds(cx, report.speeds, now);
    }
    cx.shared.notify_peer_known();
}

fn log_rollout_update(update: &RolloutUpdate, from: &Peer) {
    match update {
        RolloutUpdate::EarlierStart { status, age } => {
            let age_ms = age.as_millis() as u64;
            log::info!(
                service = status.service.as_str(), age_ms, from = from.vm.as_str();
                "earlier start of a roll-out reported"
            );
        },
        RolloutUpdate::State(status) => {
            let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
            log::info!(state = line.as_str(), from = from.vm.as_str(); "roll-out status reported");
        },
        RolloutUpdate::Halt(halt) => log::warn!(
            service = halt.service.as_str(),
            version = halt.version.as_str(),
            reason = halt.reason.description(),
            from = from.vm.as_str();
            "a version gets no more requests"
        ),
    }
}
