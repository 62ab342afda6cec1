//! The service that exchanges requests with the other VMs, over one connection in each direction.
//!
//! While the log service is unreachable, VMs store replicas of each other's pending ledger records and bills.

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
    client::{Peer, replicate_to},
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

/// Interval at which replicas are checked for orphans.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of replicas stored for all other VMs together.
const MAX_REPLICAS: usize = 100_000;

/// Service that owns the outbox of replicated records.
pub enum OutboxOwner {
    /// The ledger service.
    Ledger(ActorRef<LedgerMessage>),
    /// The bills service.
    Bills(ActorRef<BillsMessage>),
}

impl OutboxOwner {
    fn notify_replicated(self, requests: Vec<RequestId>) {
        // A service that has stopped needs no notification.
        match self {
            Self::Ledger(service) => drop(service.cast(LedgerMessage::Replicated(requests))),
            Self::Bills(service) => drop(service.cast(BillsMessage::Replicated(requests))),
        }
    }
}

/// Messages to the service.
pub enum PeersMessage {
    /// Entries of the platform's VM list.
    VmList(Vec<ListedVm>),
    /// Send a request to a VM.
    Send {
        /// Name of the VM.
        to: VmId,
        /// The request.
        request: Box<PeerRequest>,
        /// Receives the VM's reply; dropped if there is none.
        reply: RpcReplyPort<PeerReply>,
    },
    /// Replicate records to peers while the log service is unreachable.
    Replicate {
        /// The records.
        records: Vec<LedgerRecord>,
        /// Service that is notified when enough peers store replicas.
        owner: OutboxOwner,
    },
    /// Ask peers to drop replicas of this VM's records.
    ReleaseReplicas {
        /// Requests of the records.
        requests: Vec<RequestId>,
    },
    /// Store replicas of a peer's records.
    StoreReplicas {
        /// Incarnation of the process that wrote the records.
        writer: Incarnation,
        /// The records.
        records: Vec<LedgerRecord>,
        /// Receives whether the replicas are stored.
        reply: RpcReplyPort<bool>,
    },
    /// Drop the replicas of a peer's records.
    DropReplicas {
        /// Incarnation of the process that wrote the records.
        writer: Incarnation,
        /// Requests of the records.
        requests: Vec<RequestId>,
    },
    /// Incarnations of the live VMs.
    LiveIncarnations(Vec<Incarnation>),
    /// An incarnation is gone, since its VM runs another process.
    IncarnationGone(Incarnation),
    /// Check the replicas for orphans.
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

/// Actor of the service.
struct PeersActor;

/// Replicas of the records of one incarnation.
struct WriterReplicas {
    records: HashMap<RequestId, LedgerRecord>,
    /// Time at which the writer was last reported live.
    last_live: SystemTime,
    /// Time at which the writer last sent records.
    last_stored: SystemTime,
}

/// State of the service.
struct PeersState {
    cx: Context,
    peers: HashMap<VmId, Peer>,
    replicas: HashMap<Incarnation, WriterReplicas>,
    /// Time at which the log service was last found unreachable.
    log_unreachable_at: Option<SystemTime>,
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
            replicas: HashMap::new(),
            log_unreachable_at: None,
            calls: Vec::new(),
            _server: AbortOnDropHandle::new(server),
            _ticker: crate::services::send_periodically(myself, TICK_INTERVAL, || PeersMessage::Tick),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: PeersMessage,
        state: &mut PeersState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PeersMessage::VmList(vms) => state.update_vm_list(vms),
            PeersMessage::Send { to, request, reply } => state.send(&to, *request, reply),
            PeersMessage::Replicate { records, owner } => state.replicate(&records, owner),
            PeersMessage::ReleaseReplicas { requests } => state.release_replicas(&requests),
            PeersMessage::StoreReplicas { writer, records, reply } => {
                let _ = reply.send(state.store_replicas(writer, records));
            },
            PeersMessage::DropReplicas { writer, requests } => state.drop_replicas(writer, &requests),
            PeersMessage::LiveIncarnations(live) => state.record_live(&live),
            PeersMessage::IncarnationGone(writer) => {
                if let Some(replicas) = state.replicas.get_mut(&writer) {
                    replicas.last_live = SystemTime::UNIX_EPOCH;
                }
                state.append_orphaned_replicas();
            },
            PeersMessage::Tick => state.append_orphaned_replicas(),
        }
        state.calls.retain(|call| !call.is_finished());
        Ok(())
    }
}

impl PeersState {
    fn update_vm_list(&mut self, vms: Vec<ListedVm>) {
        let mut known = std::mem::take(&mut self.peers);
        for listed in vms.into_iter().filter(|vm| vm.id != *self.cx.shared.vm()) {
            let unchanged = known.remove(&listed.id).filter(|peer| peer.listed.peer_address == listed.peer_address);
            let id = listed.id.clone();
            let peer = match unchanged {
                Some(peer) => peer.with_listed(listed),
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

    /// Replicates records to peers, first to those in other failure domains.
    fn replicate(&mut self, records: &[LedgerRecord], owner: OutboxOwner) {
        let copies = self.cx.shared.settings.peers.bill_copies;
        let own_domain = &self.cx.shared.settings.vm.failure_domain;
        let mut peers: Vec<Peer> = self.peers.values().filter(|peer| !peer.listed.leaving).cloned().collect();
        peers.sort_by_key(|peer| (peer.listed.failure_domain == *own_domain, peer.listed.id.clone()));
        // Each VM starts with a different peer, so that replicas are spread evenly.
        let remote_count = peers.iter().filter(|peer| peer.listed.failure_domain != *own_domain).count();
        if remote_count > 0 {
            let start = usize::try_from(self.cx.shared.incarnation % remote_count as u64).unwrap_or_default();
            peers[..remote_count].rotate_left(start);
        }
        let requests: Vec<RequestId> = records.iter().filter_map(LedgerRecord::request_id).cloned().collect();
        let encoded = records.iter().filter_map(|record| serde_json::to_vec(record).ok()).collect();
        let hold = PeerHold::new(self.cx.shared.incarnation.cast_signed(), encoded);
        let cx = self.cx.clone();
        self.spawn(async move {
            if replicate_to(&cx, &peers, PeerRequest::Hold(hold), copies).await {
                owner.notify_replicated(requests);
            }
        });
    }

    fn release_replicas(&mut self, requests: &[RequestId]) {
        let release = PeerRelease::new(self.cx.shared.incarnation.cast_signed(), requests.to_vec());
        for peer in self.peers.values().cloned().collect::<Vec<_>>() {
            let (cx, request) = (self.cx.clone(), PeerRequest::Release(release.clone()));
            self.spawn(async move { drop(peer.call(&cx, &request).await) });
        }
    }

    /// Stores replicas of records, and returns whether there was room for them.
    fn store_replicas(&mut self, writer: Incarnation, records: Vec<LedgerRecord>) -> bool {
        let count: usize = self.replicas.values().map(|replicas| replicas.records.len()).sum();
        if count + records.len() > MAX_REPLICAS {
            return false;
        }
        let now = self.cx.shared.clock.now();
        let replicas = self.replicas.entry(writer).or_insert_with(|| WriterReplicas {
            records: HashMap::new(),
            last_live: now,
            last_stored: now,
        });
        replicas.last_stored = now;
        for record in records {
            if let Some(id) = record.request_id().cloned() {
                replicas.records.insert(id, record);
            }
        }
        true
    }

    fn drop_replicas(&mut self, writer: Incarnation, requests: &[RequestId]) {
        if let Some(replicas) = self.replicas.get_mut(&writer) {
            requests.iter().for_each(|id| drop(replicas.records.remove(id)));
        }
    }

    fn record_live(&mut self, live: &[Incarnation]) {
        let now = self.cx.shared.clock.now();
        for writer in live {
            if let Some(replicas) = self.replicas.get_mut(writer) {
                replicas.last_live = now;
            }
        }
    }

    /// Appends the replicas of a writer that is gone, or that seems unable to reach the log although this VM can.
    ///
    /// A duplicate, appended by the writer or by another VM with replicas, has no effect.
    fn append_orphaned_replicas(&mut self) {
        let now = self.cx.shared.clock.now();
        if !self.cx.shared.is_log_reachable() {
            self.log_unreachable_at = Some(now);
        }
        // Live incarnations are reported with each heartbeat, so one that two of them omitted is gone.
        let live_timeout = 2 * Duration::from_millis(self.cx.shared.settings.peers.heartbeat_ms);
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let log_reachable_for = self.log_unreachable_at.map_or(Duration::MAX, age);
        let is_due = |(writer, replicas): &(&Incarnation, &WriterReplicas)| {
            let append_grace = self.append_grace(**writer);
            let is_stuck = log_reachable_for > append_grace && age(replicas.last_stored) > append_grace;
            age(replicas.last_live) > live_timeout || is_stuck
        };
        let due: Vec<Incarnation> = self.replicas.iter().filter(is_due).map(|(writer, _)| *writer).collect();
        for writer in due {
            let records = self.replicas.remove(&writer).map(|replicas| replicas.records).unwrap_or_default();
            records.into_values().for_each(|record| ledger_client::submit_detached(&self.cx, record));
        }
    }

    /// Returns the time in which the writer can append the records itself.
    ///
    /// The time differs between the VMs with replicas, so that usually only one of them appends the records.
    fn append_grace(&self, writer: Incarnation) -> Duration {
        /// Time in which a writer that reaches the log appends its records and has their replicas dropped.
        const WRITER_GRACE: Duration = Duration::from_millis(1000);
        /// Additional time per position among the live VMs.
        const POSITION_DELAY: Duration = Duration::from_millis(500);
        let live = self.cx.shared.live_vms();
        let rank = live.iter().position(|vm| vm == self.cx.shared.vm()).unwrap_or_default() as u64;
        let position = (rank + writer) % live.len().max(1) as u64;
        WRITER_GRACE + POSITION_DELAY * u32::try_from(position).unwrap_or_default()
    }
}
