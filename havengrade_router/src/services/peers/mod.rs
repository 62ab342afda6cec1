//! The service that speaks with the other VMs: one connection each way, one reply to each request.

mod client;
mod server;

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    ids::{Incarnation, RequestId, VmId},
    ledger::LedgerRecord,
    membership::ListedVm,
};
use havengrade_rpc::peers::{PeerHold, PeerRelease, PeerReply, PeerRequest};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef, RpcReplyPort};
use snafu::ResultExt as _;
use tokio_util::task::AbortOnDropHandle;

use self::{
    client::{Peer, hold_at},
    server::serve,
};
use crate::{
    kernel::{BindSnafu, Context, Service, StartError, spawn},
    net::Listener,
    services::{bills::BillsMessage, ledger::LedgerMessage},
    traffic::ledger_client,
};

/// Name of the service.
pub const NAME: &str = "peers";

/// Time between two looks at records that are held for others.
const TICK: Duration = Duration::from_millis(500);
/// Records that are held for all others together.
const MAX_HELD: usize = 100_000;

/// Who is told when records are held.
pub enum OutboxOwner {
    /// The ledger service.
    Ledger(ActorRef<LedgerMessage>),
    /// The service for bills.
    Bills(ActorRef<BillsMessage>),
}

impl OutboxOwner {
    fn tell(self, requests: Vec<RequestId>) {
        // A service that is gone needs no word any more.
        match self {
            Self::Ledger(service) => drop(service.cast(LedgerMessage::Replicated(requests))),
            Self::Bills(service) => drop(service.cast(BillsMessage::Replicated(requests))),
        }
    }
}

/// What the service is told and asked.
pub enum PeersMessage {
    /// The VMs that are listed.
    VmList(Vec<ListedVm>),
    /// Send a request to a VM.
    Send {
        /// The VM.
        to: VmId,
        /// The request.
        request: Box<PeerRequest>,
        /// Is given its reply; dropped if none comes.
        reply: RpcReplyPort<PeerReply>,
    },
    /// Have records held by peers while the log service is away.
    Replicate {
        /// The records.
        records: Vec<LedgerRecord>,
        /// Is told when enough peers hold them.
        holder: OutboxOwner,
    },
    /// Tell peers that they need no longer hold records of ours.
    ReleaseReplicas {
        /// The requests that the records are about.
        requests: Vec<RequestId>,
    },
    /// A peer has records to be held.
    StoreReplicas {
        /// Run of the process that wrote them.
        writer: Incarnation,
        /// The records.
        records: Vec<LedgerRecord>,
        /// Is told whether they are held.
        reply: RpcReplyPort<bool>,
    },
    /// A peer no longer needs records to be held.
    DropReplicas {
        /// Run of the process that wrote them.
        writer: Incarnation,
        /// The requests that they are about.
        requests: Vec<RequestId>,
    },
    /// VMs that were heard from.
    LiveIncarnations(Vec<Incarnation>),
    /// A process is gone, since its VM runs another.
    IncarnationGone(Incarnation),
    /// Time to look at what is held.
    Tick,
}

/// The service.
pub struct PeersService;

#[async_trait]
impl Service for PeersService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &Context) -> Result<ActorCell, StartError> {
        let address = cx.shared.settings.listen.peers;
        let listener = cx.network.bind(address).await.context(BindSnafu { key: "listen.peers", address })?;
        spawn(NAME, cx, PeersActor, (cx.clone(), listener)).await
    }
}

struct PeersActor;

/// Records that are held for another VM.
struct HeldRecords {
    records: HashMap<RequestId, LedgerRecord>,
    /// When its writer was last heard from.
    heard: SystemTime,
    /// When its writer last gave us some.
    taken: SystemTime,
}

struct PeersState {
    cx: Context,
    peers: HashMap<VmId, Peer>,
    held: HashMap<Incarnation, HeldRecords>,
    /// When the log was last seen to be away.
    log_away: Option<SystemTime>,
    calls: Vec<AbortOnDropHandle<()>>,
    _server: AbortOnDropHandle<()>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for PeersActor {
    type Msg = PeersMessage;
    type State = PeersState;
    type Arguments = (Context, Box<dyn Listener>);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (cx, listener): Self::Arguments,
    ) -> Result<PeersState, ActorProcessingErr> {
        let server = tokio::spawn(serve(cx.clone(), listener));
        Ok(PeersState {
            cx,
            peers: HashMap::new(),
            held: HashMap::new(),
            log_away: None,
            calls: Vec::new(),
            _server: AbortOnDropHandle::new(server),
            _ticker: crate::services::send_periodically(myself, TICK, || PeersMessage::Tick),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: PeersMessage,
        state: &mut PeersState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PeersMessage::VmList(vms) => state.listed(vms),
            PeersMessage::Send { to, request, reply } => state.send(&to, *request, reply),
            PeersMessage::Replicate { records, holder } => state.hold(&records, holder),
            PeersMessage::ReleaseReplicas { requests } => state.release_at_peers(&requests),
            PeersMessage::StoreReplicas { writer, records, reply } => {
                let _ = reply.send(state.take(writer, records));
            },
            PeersMessage::DropReplicas { writer, requests } => state.release(writer, &requests),
            PeersMessage::LiveIncarnations(live) => state.note_live(&live),
            PeersMessage::IncarnationGone(writer) => {
                if let Some(held) = state.held.get_mut(&writer) {
                    held.heard = SystemTime::UNIX_EPOCH;
                }
                state.pass_on_orphans();
            },
            PeersMessage::Tick => state.pass_on_orphans(),
        }
        state.calls.retain(|call| !call.is_finished());
        Ok(())
    }
}

impl PeersState {
    fn listed(&mut self, vms: Vec<ListedVm>) {
        let mut known = std::mem::take(&mut self.peers);
        for listed in vms.into_iter().filter(|vm| vm.id != *self.cx.shared.vm()) {
            let kept = known.remove(&listed.id).filter(|peer| peer.listed.peer_address == listed.peer_address);
            let id = listed.id.clone();
            let peer = match kept {
                Some(peer) => peer.listed_as(listed),
                None => Peer::new(listed),
            };
            self.peers.insert(id, peer);
        }
    }

    fn send(&mut self, to: &str, request: PeerRequest, reply: RpcReplyPort<PeerReply>) {
        let Some(peer) = self.peers.get(to).cloned() else { return };
        let cx = self.cx.clone();
        self.spawn(async move {
            if let Some(answer) = peer.call(&cx, &request).await {
                let _ = reply.send(answer);
            }
        });
    }

    fn spawn(&mut self, call: impl Future<Output = ()> + Send + 'static) {
        self.calls.push(AbortOnDropHandle::new(tokio::spawn(call)));
    }

    /// Gives records to peers, first to those in other failure domains.
    fn hold(&mut self, records: &[LedgerRecord], holder: OutboxOwner) {
        let copies = self.cx.shared.settings.peers.bill_copies;
        let own_domain = &self.cx.shared.settings.vm.failure_domain;
        let mut peers: Vec<Peer> = self.peers.values().filter(|peer| !peer.listed.leaving).cloned().collect();
        peers.sort_by_key(|peer| (peer.listed.failure_domain == *own_domain, peer.listed.id.clone()));
        // Each VM begins with another peer, so that the records are spread.
        let far = peers.iter().filter(|peer| peer.listed.failure_domain != *own_domain).count();
        if far > 0 {
            let start = usize::try_from(self.cx.shared.incarnation % far as u64).unwrap_or_default();
            peers[..far].rotate_left(start);
        }
        let requests: Vec<RequestId> = records.iter().filter_map(LedgerRecord::request_id).cloned().collect();
        let encoded = records.iter().filter_map(|record| serde_json::to_vec(record).ok()).collect();
        let hold = PeerHold::new(self.cx.shared.incarnation.cast_signed(), encoded);
        let cx = self.cx.clone();
        self.spawn(async move {
            if hold_at(&cx, &peers, PeerRequest::Hold(hold), copies).await {
                holder.tell(requests);
            }
        });
    }

    fn release_at_peers(&mut self, requests: &[RequestId]) {
        let release = PeerRelease::new(self.cx.shared.incarnation.cast_signed(), requests.to_vec());
        for peer in self.peers.values().cloned().collect::<Vec<_>>() {
            let (cx, request) = (self.cx.clone(), PeerRequest::Release(release.clone()));
            self.spawn(async move { drop(peer.call(&cx, &request).await) });
        }
    }

    fn take(&mut self, writer: Incarnation, records: Vec<LedgerRecord>) -> bool {
        let count: usize = self.held.values().map(|held| held.records.len()).sum();
        if count + records.len() > MAX_HELD {
            return false;
        }
        let heard = self.cx.shared.clock.now();
        let held =
            self.held.entry(writer).or_insert_with(|| HeldRecords { records: HashMap::new(), heard, taken: heard });
        held.taken = heard;
        for record in records {
            if let Some(id) = record.request_id().cloned() {
                held.records.insert(id, record);
            }
        }
        true
    }

    fn release(&mut self, writer: Incarnation, requests: &[RequestId]) {
        if let Some(held) = self.held.get_mut(&writer) {
            requests.iter().for_each(|id| drop(held.records.remove(id)));
        }
    }

    fn note_live(&mut self, live: &[Incarnation]) {
        let now = self.cx.shared.clock.now();
        for writer in live {
            if let Some(held) = self.held.get_mut(writer) {
                held.heard = now;
            }
        }
    }

    /// Appends what is held for a VM that is gone, or that can't reach the log for longer than we can.
    ///
    /// A record that its writer, or another holder, appends too has no effect.
    fn pass_on_orphans(&mut self) {
        let now = self.cx.shared.clock.now();
        if !self.cx.shared.is_log_reachable() {
            self.log_away = Some(now);
        }
        // Who lives is told with each heartbeat, so one that two of them left out is gone.
        let gone_after = 2 * Duration::from_millis(self.cx.shared.settings.peers.heartbeat_ms);
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let reachable_for = self.log_away.map_or(Duration::MAX, age);
        let due = |(writer, held): &(&Incarnation, &HeldRecords)| {
            let patience = self.patience(**writer);
            let is_stuck = reachable_for > patience && age(held.taken) > patience;
            age(held.heard) > gone_after || is_stuck
        };
        let due: Vec<Incarnation> = self.held.iter().filter(due).map(|(writer, _)| *writer).collect();
        for writer in due {
            let records = self.held.remove(&writer).map(|held| held.records).unwrap_or_default();
            records.into_values().for_each(|record| ledger_client::submit_detached(&self.cx, record));
        }
    }

    /// Time that a writer has to append by itself; the holders wait in turn, so that one of them does it.
    fn patience(&self, writer: Incarnation) -> Duration {
        /// Time in which a writer that reaches the log has appended and released what is held.
        const FIRST: Duration = Duration::from_millis(1000);
        /// Time from one holder to the next.
        const STEP: Duration = Duration::from_millis(500);
        let live = self.cx.shared.live_vms();
        let rank = live.iter().position(|vm| vm == self.cx.shared.vm()).unwrap_or_default() as u64;
        let turn = (rank + writer) % live.len().max(1) as u64;
        FIRST + STEP * u32::try_from(turn).unwrap_or_default()
    }
}
