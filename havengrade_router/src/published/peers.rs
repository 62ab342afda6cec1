//! The service through which VMs tell each other of their work in progress and of what they saw of new versions.

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
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::{BindSnafu, Service, ServiceContext as _, StartError, spawn},
    net::Datagrams,
    published::{
        context::PublishedContext,
        quarantine::announce_changes,
        signals::merge_reported_signals,
        store_queries::{StoreQueries, answer_query, change_hint},
        wire::{Report, decode_report, encode_report},
    },
    services::send_periodically,
    shared::lock,
};

/// Name of the service.
pub const NAME: &str = "published-peers";

/// Time between two looks at whether there is something to tell or to ask.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time after which a VM reports although nothing has changed.
const REPORT_EVERY: Duration = Duration::from_millis(1000);
/// Least time between two reports. Measured: with 50 ms they were a fifth of all bytes between failure domains, and
/// endpoints were chosen no better.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
/// Least time between two reports where there are more VMs than a report goes to, since the bytes grow with the fleet.
const LARGE_FLEET_PAUSE: Duration = Duration::from_millis(400);
/// Largest datagram that is read, in bytes; reports fit a packet of a common network by the limits below, and an
/// answer with many changes of the list of endpoints may be this large.
const MAX_DATAGRAM: usize = 32 << 10;
/// Endpoints that a report names; those with the most work come first.
const MAX_ENDPOINTS: usize = 36;

/// The service.
pub(super) struct PeersService;

#[async_trait]
impl Service<PublishedContext> for PeersService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let address = cx.shared.settings.listen.peers;
        let socket = cx.network.datagrams(address).await.context(BindSnafu { key: "listen.peers", address })?;
        spawn(NAME, cx, PeersActor, Arguments { cx: cx.clone(), socket }).await
    }
}

struct PeersActor;

/// What the service is told.
enum PeersMessage {
    /// Time to look.
    Look,
    /// VMs are to be told that this one has started.
    Greet(Vec<SocketAddr>),
}

/// Tells VMs that may not know this one that it has started; usual reports go to a few others only.
pub(super) fn greet(cx: &PublishedContext, others: Vec<SocketAddr>) {
    let service = ractor::registry::where_is(cx.actor_name(NAME)).map(ActorRef::<PeersMessage>::from);
    if let Some(Err(error)) = service.map(|service| service.cast(PeersMessage::Greet(others))) {
        log::debug!("the service of other VMs is gone: {error}");
    }
}

struct Arguments {
    cx: PublishedContext,
    socket: Arc<dyn Datagrams>,
}

struct PeersState {
    cx: PublishedContext,
    socket: Arc<dyn Datagrams>,
    questions: Arc<Mutex<StoreQueries>>,
    seq: u64,
    /// Position in operators' records of which the others were told.
    hinted: Option<u64>,
    /// Whether the others were told that this VM reads in place of others.
    has_offered: bool,
    sent: Option<(SystemTime, Vec<(EndpointId, Work)>)>,
    _tasks: [AbortOnDropHandle<()>; 2],
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
        let questions = Arc::new(Mutex::new(StoreQueries::default()));
        let tasks = [
            send_periodically(myself, LOOK_EVERY, || PeersMessage::Look),
            AbortOnDropHandle::new(tokio::spawn(receive(cx.clone(), socket.clone(), questions.clone()))),
        ];
        Ok(PeersState { cx, socket, questions, seq: 0, hinted: None, has_offered: false, sent: None, _tasks: tasks })
    }

    async fn handle(
        &self,
        _myself: ActorRef<PeersMessage>,
        message: PeersMessage,
        state: &mut PeersState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PeersMessage::Look => state.look().await,
            PeersMessage::Greet(others) => state.greet(&others).await,
        }
        Ok(())
    }
}

impl PeersState {
    async fn look(&mut self) {
        let now = self.cx.shared.clock.now();
        let work = own_work(&self.cx);
        self.ask(now).await;
        self.hint(now).await;
        if self.is_report_due(&work, now) {
            let to = self.listeners(now);
            self.report(work, &to, now).await;
        }
    }

    /// Makes this VM known to others, and tells each of them who reads the store first, should they have started as well.
    async fn greet(&mut self, others: &[SocketAddr]) {
        let now = self.cx.shared.clock.now();
        let work = own_work(&self.cx);
        self.seq += 1;
        let report = encode_report(own_report(&self.cx, self.seq, &work));
        let greetings = greetings(&self.cx, &report, others);
        for (greeting, to) in greetings {
            send(&*self.socket, &Datagram::Greeting(greeting), &[to]).await;
        }
        self.sent = Some((now, work));
    }

    /// The few others that hear a usual report.
    fn listeners(&self, now: SystemTime) -> Vec<SocketAddr> {
        let mut peers = self.cx.shared.peers();
        peers.expire(now);
        peers.report_targets(&self.cx.shared.settings.vm.failure_domain, &mut *self.cx.shared.rng())
    }

    /// Whether it is time for a report: soon where the work has changed or a new version has answered, now and then where
    /// all is the same.
    fn is_report_due(&self, work: &[(EndpointId, Work)], now: SystemTime) -> bool {
        let Some((at, sent)) = &self.sent else { return true };
        let pause = if self.cx.shared.peers().is_large() { LARGE_FLEET_PAUSE } else { REPORT_PAUSE };
        let is_news = sent != work
            || self.cx.shared.rollouts().has_unreported_evidence(self.cx.shared.incarnation, now)
            || self.cx.shared.quarantine().has_unreported()
            || self.cx.shared.send_limits().signals.has_unreported();
        now >= *at + if is_news { pause } else { REPORT_EVERY }
    }

    async fn report(&mut self, work: Vec<(EndpointId, Work)>, to: &[SocketAddr], now: SystemTime) {
        self.seq += 1;
        let report = own_report(&self.cx, self.seq, &work);
        send(&*self.socket, &Datagram::Report(encode_report(report)), to).await;
        self.sent = Some((now, work));
    }

    /// Tells all others that operators wrote something, where this VM reads the store for them, or that it does so now.
    async fn hint(&mut self, now: SystemTime) {
        let position = self.cx.shared.store.view().operators_position;
        let is_offer = self.cx.shared.store.is_fallback_reader() && !self.has_offered;
        self.has_offered = self.cx.shared.store.is_fallback_reader();
        if !is_offer && (position <= self.hinted || !self.cx.shared.store.is_reader()) {
            return;
        }
        self.hinted = position;
        let to: Vec<SocketAddr> = self.cx.shared.peers().all().map(|peer| peer.address).collect();
        if let Some(hint) = change_hint(&self.cx, now) {
            send(&*self.socket, &Datagram::Answer(hint), &to).await;
        }
    }

    /// Asks a VM that reads the store, if it is time.
    async fn ask(&self, now: SystemTime) {
        let question = lock(&self.questions).next_query(&self.cx, now);
        if let Some((question, to)) = question {
            send(&*self.socket, &Datagram::Question(question), &[to]).await;
        }
    }
}

/// What each of some others is told at this VM's start.
fn greetings(cx: &PublishedContext, report: &VmReport, others: &[SocketAddr]) -> Vec<(Greeting, SocketAddr)> {
    let me = cx.own_peer();
    let peers = cx.shared.peers();
    let vms: Vec<&Peer> = peers.all().chain([&me]).collect();
    let first = FirstReaders::select(&vms);
    let greeted = vms.iter().filter(|peer| others.contains(&peer.address));
    let greeting = |peer: &&&Peer| {
        let readers = first.in_domain(&peer.failure_domain).iter().map(SocketAddr::to_string).collect();
        (Greeting::new(report.clone(), first.contains(peer), readers), peer.address)
    };
    greeted.map(|peer| greeting(&peer)).collect()
}

async fn send(socket: &dyn Datagrams, datagram: &Datagram, to: &[SocketAddr]) {
    let bytes = match havengrade_rpc::encode(datagram) {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("datagram not written: {error}"),
    };
    for address in to {
        if let Err(error) = socket.send(&bytes, *address).await {
            log::debug!("datagram not sent to {address}: {error}");
        }
    }
}

/// Work of this VM in progress, the most first.
fn own_work(cx: &PublishedContext) -> Vec<(EndpointId, Work)> {
    let mut work = Vec::new();
    cx.shared.endpoint_states.for_each(|endpoint, slot| {
        let requests = slot.in_flight();
        if requests > 0 {
            work.push((endpoint.clone(), Work { requests, tokens: slot.unread() }));
        }
    });
    work.sort_by(|a, b| b.1.tokens.cmp(&a.1.tokens).then_with(|| a.0.cmp(&b.0)));
    work.truncate(MAX_ENDPOINTS);
    work
}

fn own_report(cx: &PublishedContext, seq: u64, work: &[(EndpointId, Work)]) -> Report {
    let now = cx.shared.clock.now();
    let rollouts = cx.shared.rollouts().next_report(cx.shared.rollout_bounds(), cx.shared.incarnation, now);
    let quarantine = cx.shared.quarantine().next_report(now);
    let signals = cx.shared.send_limits().signals.next_report(now);
    Report { work: WorkReport { peer: cx.own_peer(), seq, work: work.to_vec() }, rollouts, quarantine, signals }
}

/// Takes the other VMs' datagrams.
async fn receive(cx: PublishedContext, socket: Arc<dyn Datagrams>, questions: Arc<Mutex<StoreQueries>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let length = match socket.receive(&mut buf).await {
            Ok(length) => length,
            Err(error) => {
                // The library reports earlier datagrams that found no receiver; the next ones are not affected.
                log::debug!("no datagram received: {error}");
                continue;
            },
        };
        let now = cx.shared.clock.now();
        match havengrade_rpc::decode::<Datagram>(buf.get(..length).unwrap_or_default()) {
            Ok(Datagram::Report(report)) => take_report(&cx, report, now),
            Ok(Datagram::Greeting(greeting)) => take_greeting(&cx, greeting, now),
            Ok(Datagram::Question(question)) => answer_question(&cx, &*socket, &question, now).await,
            Ok(Datagram::Answer(answer)) => lock(&questions).apply_answer(&cx, answer),
            Err(error) => log::warn!("a datagram can't be read and is passed over: {error}"),
        }
    }
}

async fn answer_question(cx: &PublishedContext, socket: &dyn Datagrams, question: &StoreQuestion, now: SystemTime) {
    let Ok(to) = question.address.parse::<SocketAddr>() else {
        return log::warn!("a question names no address and is passed over");
    };
    if let Some(answer) = answer_query(cx, question, now) {
        send(socket, &Datagram::Answer(answer), &[to]).await;
    }
}

fn take_greeting(cx: &PublishedContext, greeting: Greeting, now: SystemTime) {
    if !cx.shared.knows_state() {
        let readers = greeting.readers.iter().filter_map(|reader| reader.parse().ok()).collect();
        cx.shared.store_reads().apply_greeting(greeting.reads_first, readers);
    }
    take_report(cx, greeting.report, now);
}

fn take_report(cx: &PublishedContext, report: VmReport, now: SystemTime) {
    let Some(report) = decode_report(report) else {
        return log::warn!("a report names no address and is passed over");
    };
    let peer = &report.work.peer;
    if peer.vm == cx.shared.settings.vm.id {
        return;
    }
    let learned = cx.shared.rollouts().merge_report(peer.incarnation, report.rollouts, now);
    for learned in learned {
        log_learned(&learned, peer);
    }
    let changes = cx.shared.quarantine().merge_report(report.quarantine, now);
    announce_changes(cx, &changes);
    merge_reported_signals(cx, report.signals, now);
    cx.shared.peers().apply_report(report.work, now);
    cx.shared.notify_peer_known();
}

fn log_learned(learned: &RolloutUpdate, from: &Peer) {
    match learned {
        RolloutUpdate::EarlierStart { status, age } => {
            let age_ms = age.as_millis() as u64;
            log::info!(service = status.service.as_str(), age_ms, from = from.vm.as_str(); "a roll-out began earlier");
        },
        RolloutUpdate::State(status) => {
            let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
            log::info!(state = line.as_str(), from = from.vm.as_str(); "state of a roll-out learned");
        },
        RolloutUpdate::Halt(told) => log::warn!(
            service = told.service.as_str(),
            version = told.version.as_str(),
            reason = told.reason.description(),
            from = from.vm.as_str();
            "a version gets no more requests"
        ),
    }
}
