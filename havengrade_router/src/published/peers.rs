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
        rollout::RouteEvidence,
    },
};
use havengrade_rpc::reports::{EndpointWork, RouteEvidence as WireEvidence, VmReport};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use rand::seq::IteratorRandom as _;
use snafu::ResultExt as _;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::{BindSnafu, Service, StartError, spawn},
    net::Datagrams,
    published::{context::PublishedContext, ports::Roster},
    services::tick,
    shared::lock,
};

/// Name of the service.
pub const NAME: &str = "published-peers";

/// Time between two looks at whether there is something to report.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time after which a VM reports although nothing has changed.
const REPORT_EVERY: Duration = Duration::from_millis(1000);
/// VMs that one report goes to; with more, each report goes to others, drawn at random.
const FAN_OUT: usize = 8;
/// Looks that are passed over between two reports where there are more VMs than a report goes to.
const LARGE_FLEET_PAUSE: u32 = 1;
/// Time between two reads of the kept list while no other VM is known.
const ROSTER_LONELY: Duration = Duration::from_secs(2);
/// Time between two reads of the kept list.
const ROSTER_EVERY: Duration = Duration::from_secs(20);
/// Time after which the kept list is tried again that could not be read or written.
const ROSTER_RETRY: Duration = Duration::from_millis(500);
/// Largest datagram, in bytes; what does not fit a packet of a common network is left out.
const MAX_DATAGRAM: usize = 1400;
/// Endpoints that a report names; those with the most work come first.
const MAX_ENDPOINTS: usize = 36;
/// Counters that a report names.
const MAX_EVIDENCE: usize = 12;

/// The service, until it is started.
pub(super) struct PeersService {
    roster: Mutex<Option<Box<dyn Roster>>>,
}

impl PeersService {
    pub(super) fn new(roster: Box<dyn Roster>) -> Self {
        Self { roster: Mutex::new(Some(roster)) }
    }
}

#[async_trait]
impl Service<PublishedContext> for PeersService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let Some(roster) = lock(&self.roster).take() else { return Err(StartError::Missing { name: NAME }) };
        let address = cx.shared.settings.listen.peers;
        let socket = cx.network.datagrams(address).await.context(BindSnafu { key: "listen.peers", address })?;
        spawn(NAME, cx, PeersActor, Arguments { cx: cx.clone(), roster, socket }).await
    }
}

struct PeersActor;

/// Time to look.
struct Look;

struct Arguments {
    cx: PublishedContext,
    roster: Box<dyn Roster>,
    socket: Arc<dyn Datagrams>,
}

struct PeersState {
    cx: PublishedContext,
    socket: Arc<dyn Datagrams>,
    seq: u64,
    sent: Option<(SystemTime, Vec<(EndpointId, Work)>)>,
    pause: u32,
    _tasks: [AbortOnDropHandle<()>; 3],
}

impl Actor for PeersActor {
    type Msg = Look;
    type State = PeersState;
    type Arguments = Arguments;

    async fn pre_start(&self, myself: ActorRef<Look>, arguments: Arguments) -> Result<PeersState, ActorProcessingErr> {
        let Arguments { cx, roster, socket } = arguments;
        let tasks = [
            tick(myself, LOOK_EVERY, || Look),
            AbortOnDropHandle::new(tokio::spawn(receive(cx.clone(), socket.clone()))),
            AbortOnDropHandle::new(tokio::spawn(keep_roster(cx.clone(), roster))),
        ];
        Ok(PeersState { cx, socket, seq: 0, sent: None, pause: 0, _tasks: tasks })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Look>,
        _look: Look,
        state: &mut PeersState,
    ) -> Result<(), ActorProcessingErr> {
        state.look().await;
        Ok(())
    }
}

impl PeersState {
    async fn look(&mut self) {
        let now = self.cx.shared.clock.now();
        let work = own_work(&self.cx);
        let is_same = self.sent.as_ref().is_some_and(|(at, sent)| *sent == work && now < *at + REPORT_EVERY);
        if is_same || self.pause > 0 {
            self.pause = self.pause.saturating_sub(1);
            return;
        }
        let peers = self.cx.shared.peers().len();
        self.pause = if peers > FAN_OUT { LARGE_FLEET_PAUSE } else { 0 };
        self.cx.shared.peers().expire(now);
        self.report(&work).await;
        self.sent = Some((now, work));
    }

    async fn report(&mut self, work: &[(EndpointId, Work)]) {
        self.seq += 1;
        let report = encode(&self.cx, self.seq, work);
        let bytes = match havengrade_rpc::encode(&report) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("report not written: {error}"),
        };
        let to: Vec<SocketAddr> = {
            let peers = self.cx.shared.peers();
            peers.all().map(|peer| peer.address).sample(&mut *self.cx.shared.rng(), FAN_OUT)
        };
        for address in to {
            if let Err(error) = self.socket.send(&bytes, address).await {
                log::debug!("report not sent to {address}: {error}");
            }
        }
    }
}

/// Work of this VM in progress, the most first.
fn own_work(cx: &PublishedContext) -> Vec<(EndpointId, Work)> {
    let mut work = Vec::new();
    cx.shared.states.for_each(|endpoint, slot| {
        let requests = slot.in_flight();
        if requests > 0 {
            work.push((endpoint.clone(), Work { requests, tokens: slot.unread() }));
        }
    });
    work.sort_by(|a, b| b.1.tokens.cmp(&a.1.tokens).then_with(|| a.0.cmp(&b.0)));
    work.truncate(MAX_ENDPOINTS);
    work
}

fn encode(cx: &PublishedContext, seq: u64, work: &[(EndpointId, Work)]) -> VmReport {
    let settings = &cx.shared.settings;
    let work = work
        .iter()
        .map(|(endpoint, work)| EndpointWork::new(endpoint.clone(), to_i32(work.requests), to_i32(work.tokens)));
    let evidence = cx.shared.rollouts().own_evidence(cx.shared.incarnation);
    let evidence = evidence
        .into_iter()
        .take(MAX_EVIDENCE)
        .map(|seen| WireEvidence::new(seen.service, seen.route, seen.version, to_i64(seen.ended), to_i64(seen.failed)));
    let evidence: Vec<WireEvidence> = evidence.collect();
    VmReport::new(
        settings.vm.id.clone(),
        to_i64(cx.shared.incarnation),
        to_i64(seq),
        settings.listen.peers.to_string(),
        work.collect::<Vec<_>>(),
        (!evidence.is_empty()).then_some(evidence),
    )
}

fn to_i32(value: u32) -> i32 {
    i32::try_from(value).unwrap_or(i32::MAX)
}

fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Takes the other VMs' reports.
async fn receive(cx: PublishedContext, socket: Arc<dyn Datagrams>) {
    let mut buf = vec![0; MAX_DATAGRAM * 2];
    loop {
        let length = match socket.receive(&mut buf).await {
            Ok(length) => length,
            Err(error) => {
                // The library reports earlier datagrams that found no receiver; the next ones are not affected.
                log::debug!("no report received: {error}");
                continue;
            },
        };
        match havengrade_rpc::decode::<VmReport>(buf.get(..length).unwrap_or_default()) {
            Ok(report) => take(&cx, report),
            Err(error) => log::warn!("a datagram is no report and is passed over: {error}"),
        }
    }
}

fn take(cx: &PublishedContext, report: VmReport) {
    let Ok(address) = report.address.parse() else {
        return log::warn!(vm = report.vm.as_str(); "a report names no address and is passed over");
    };
    if report.vm == cx.shared.settings.vm.id {
        return;
    }
    let incarnation = from_i64(report.incarnation);
    for seen in report.evidence.unwrap_or_default() {
        let seen = RouteEvidence {
            service: seen.service_name,
            version: seen.version,
            route: seen.route,
            ended: from_i64(seen.ended),
            failed: from_i64(seen.failed),
        };
        cx.shared.rollouts().merge(incarnation, &seen);
    }
    let work = report.work.into_iter().map(|entry| {
        let work = Work { requests: from_i32(entry.requests), tokens: from_i32(entry.tokens) };
        (entry.endpoint, work)
    });
    let peer = Peer { vm: report.vm, incarnation, address };
    let report = WorkReport { peer, seq: from_i64(report.seq), work: work.collect() };
    cx.shared.peers().report(report, cx.shared.clock.now());
}

/// A count that a peer wrote; a negative one is none.
fn from_i64(value: i64) -> u64 {
    u64::try_from(value).unwrap_or_default()
}

fn from_i32(value: i32) -> u32 {
    u32::try_from(value).unwrap_or_default()
}

/// Enters this VM on the kept list and reads the others from it.
async fn keep_roster(cx: PublishedContext, mut roster: Box<dyn Roster>) {
    let settings = &cx.shared.settings;
    let me = Peer { vm: settings.vm.id.clone(), incarnation: cx.shared.incarnation, address: settings.listen.peers };
    while let Err(error) = roster.enter(&me).await {
        log::warn!("this VM is not on the list of VMs yet: {error}");
        tokio::time::sleep(ROSTER_RETRY).await;
    }
    loop {
        let pause = match roster.read().await {
            Ok(peers) => {
                list(&cx, peers);
                if cx.shared.peers().is_empty() { ROSTER_LONELY } else { ROSTER_EVERY }
            },
            Err(error) => {
                log::warn!("the list of VMs could not be read: {error}");
                ROSTER_RETRY
            },
        };
        tokio::time::sleep(pause).await;
    }
}

fn list(cx: &PublishedContext, peers: Vec<Peer>) {
    let now = cx.shared.clock.now();
    let mut known = cx.shared.peers();
    for peer in peers.into_iter().filter(|peer| peer.vm != cx.shared.settings.vm.id) {
        known.list(peer, now);
    }
    log::info!(vms = known.len(); "list of VMs read");
}
