//! The service that knows which VMs live and what each has in force.

mod wire;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::{Incarnation, VmId},
    membership::{Heartbeat, Member, Membership},
    quarantine::QuarantineReport,
};
use havengrade_rpc::peers::{
    AccountUse, EndpointLoad, EvidenceTally, PeerFetch, PeerHeartbeat, PeerRecords, PeerReply, PeerRequest,
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use self::wire::{from_load, from_wire, to_heartbeat, to_wire};
use crate::{
    endpoints::EndpointReport,
    kernel::Context,
    platform::{LogRecord, VmListing},
    published::wire::{decode_quarantine, encode_quarantine},
    quarantine::log_changes,
    services::{
        bills::{self, BillsMessage},
        config::{self, ConfigMessage},
        endpoints::{self, EndpointsMessage},
        evidence::{self, EvidenceMessage},
        ledger::{self, LedgerMessage},
        peers::{self, PeersMessage},
    },
    traffic::quarantine::evaluate_suspects,
};

/// Name of the service.
pub const NAME: &str = "members";

/// Heartbeats of which one carries evidence that has changed.
pub const HEARTBEATS_PER_EVIDENCE: u64 = 4;
/// Heartbeats after which all of the evidence is sent again.
const HEARTBEATS_PER_FULL_EVIDENCE: u64 = 64;
/// Heartbeats after which a VM that is not heard from no longer looks after what others hold for it.
const LIVE_HEARTBEATS: u32 = 3;
/// Configuration records that are asked of a peer at once.
const FETCH_RECORDS: i32 = 512;

/// What the service is told and asked.
pub enum MembersMessage {
    /// The platform's list.
    VmList(VmListing),
    /// A heartbeat; its sender is given ours.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<PeerHeartbeat>,
        /// When we asked for it; none where it came unasked, and may have been on its way for long.
        asked: Option<SystemTime>,
        /// Is given our own heartbeat.
        reply: Option<RpcReplyPort<PeerHeartbeat>>,
    },
    /// All listed VMs, and whether each is heard from.
    Members(RpcReplyPort<Vec<(Member, bool)>>),
    /// Time for a heartbeat.
    Tick,
}

/// The actor of the service.
pub(crate) struct MembersActor;

/// State of the service.
pub(crate) struct MembersState {
    cx: Context,
    membership: Membership,
    seq: u64,
    next_peer: usize,
    /// Requests in progress at other VMs, by VM.
    uses: HashMap<VmId, Vec<AccountUse>>,
    calls: Vec<AbortOnDropHandle<()>>,
    _list: AbortOnDropHandle<()>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for MembersActor {
    type Msg = MembersMessage;
    type State = MembersState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<MembersState, ActorProcessingErr> {
        let every = Duration::from_millis(cx.shared.settings.peers.heartbeat_ms);
        let list = tokio::spawn(poll_list(cx.clone(), myself.clone()));
        Ok(MembersState {
            cx,
            membership: Membership::default(),
            seq: 0,
            next_peer: 0,
            uses: HashMap::new(),
            calls: Vec::new(),
            _list: AbortOnDropHandle::new(list),
            _ticker: crate::services::send_periodically(myself, every, || MembersMessage::Tick),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: MembersMessage,
        state: &mut MembersState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            MembersMessage::VmList(listing) => state.listed(listing),
            MembersMessage::Heartbeat { heartbeat, asked, reply } => {
                state.heard(*heartbeat, asked);
                if let Some(reply) = reply {
                    let _ = reply.send(state.heartbeat(None));
                }
            },
            MembersMessage::Members(reply) => {
                let _ = reply.send(state.members());
            },
            MembersMessage::Tick => state.tick(&myself).await,
        }
        Ok(())
    }
}

async fn poll_list(cx: Context, service: ActorRef<MembersMessage>) {
    let every = Duration::from_millis(cx.shared.settings.vm_list.poll_ms);
    loop {
        match cx.vm_list.read().await {
            Ok(listing) => {
                if service.cast(MembersMessage::VmList(listing)).is_err() {
                    return;
                }
            },
            Err(error) => log::debug!(service = NAME; "VM list: {error}"),
        }
        sleep(every).await;
    }
}

impl MembersState {
    fn silence(&self) -> Duration {
        Duration::from_millis(self.cx.shared.settings.peers.silence_ms)
    }

    fn listed(&mut self, listing: VmListing) {
        if let Some(endpoints) = self.cx.find::<EndpointsMessage>(endpoints::NAME) {
            let _ = endpoints.cast(EndpointsMessage::PlatformList(listing.endpoints));
        }
        if let Some(peers) = self.cx.find::<PeersMessage>(peers::NAME) {
            let _ = peers.cast(PeersMessage::VmList(listing.entries.clone()));
        }
        self.membership.replace_listed(listing.entries);
    }

    fn members(&self) -> Vec<(Member, bool)> {
        let now = self.cx.shared.clock.now();
        let mut own = to_heartbeat(&self.heartbeat(None));
        own.seq = u64::MAX;
        let silence = self.silence();
        let with_life = |member: &Member| {
            let mut member = member.clone();
            if member.listed.id == *self.cx.shared.vm() {
                member.heartbeat = Some(own.clone());
                member.last_received = Some(now);
            }
            let is_live = member.last_received.is_some_and(|heard| heard + silence >= now);
            (member, is_live)
        };
        self.membership.members().map(with_life).collect()
    }

    /// Our own heartbeat; only those that we send ourselves carry news of endpoints and evidence.
    fn heartbeat(&self, news: Option<News>) -> PeerHeartbeat {
        let shared = &self.cx.shared;
        let now = shared.clock.now();
        let revision = shared.catalog.load().config.revision;
        let uses: Vec<AccountUse> = shared
            .admission()
            .in_progress()
            .filter(|(_, count)| *count > 0)
            .map(|(account, count)| AccountUse::new(account.clone(), count.cast_signed()))
            .collect();
        let News { evidence, loads, quarantine } = news.unwrap_or_default();
        PeerHeartbeat::new(
            shared.vm().clone(),
            shared.incarnation.cast_signed(),
            self.seq.cast_signed(),
            shared.config_next().cast_signed(),
            revision.map(u64::cast_signed),
            i64::try_from(shared.staleness(now).as_millis()).unwrap_or(i64::MAX),
            shared.closed(now).is_none(),
            shared.is_draining(),
            i32::try_from(shared.requests.in_progress()).unwrap_or(i32::MAX),
            (!uses.is_empty()).then_some(uses),
            (!evidence.is_empty()).then_some(evidence),
            (!loads.is_empty()).then_some(loads),
            quarantine.map(encode_quarantine),
        )
    }

    async fn tick(&mut self, myself: &ActorRef<MembersMessage>) {
        self.seq += 1;
        self.calls.retain(|call| !call.is_finished());
        self.share_limits();
        self.judge_majority();
        self.tell_live();
        let now = self.cx.shared.clock.now();
        evaluate_suspects(&self.cx, now);
        let quarantine = self.own_quarantine(now);
        let news = News { evidence: self.own_evidence().await, loads: self.own_reports(), quarantine };
        let heartbeat = self.heartbeat(Some(news));
        for to in self.choose_peers() {
            let call = tokio::spawn(send_heartbeat(self.cx.clone(), myself.clone(), to, heartbeat.clone()));
            self.calls.push(AbortOnDropHandle::new(call));
        }
    }

    /// What there is to tell of requests that crash endpoints.
    fn own_quarantine(&self, now: SystemTime) -> Option<QuarantineReport> {
        let mut quarantine = self.cx.shared.quarantine();
        quarantine.prune(now);
        quarantine.needs_fingerprints().then(|| quarantine.next_report(now))
    }

    fn own_reports(&self) -> Vec<EndpointLoad> {
        let to_load = |(endpoint, report)| match report {
            EndpointReport::Load { load, leaving } => EndpointLoad::new(endpoint, load.cast_signed(), leaving, false),
            EndpointReport::Gone => EndpointLoad::new(endpoint, 0, false, true),
        };
        self.cx.shared.take_reports().into_iter().map(to_load).collect()
    }

    async fn own_evidence(&self) -> Vec<EvidenceTally> {
        if !self.seq.is_multiple_of(HEARTBEATS_PER_EVIDENCE) {
            return Vec::new();
        }
        let all = self.seq.is_multiple_of(HEARTBEATS_PER_FULL_EVIDENCE);
        let Some(service) = self.cx.find::<EvidenceMessage>(evidence::NAME) else { return Vec::new() };
        let own = service.call(|reply| EvidenceMessage::TakeOwn { all, reply }, None).await;
        let own = own.ok().and_then(|own| own.success_or(()).ok()).unwrap_or_default();
        own.iter().map(|(subject, tally)| to_wire(subject, tally)).collect()
    }

    /// The VMs whose turn it is, a bounded number.
    fn choose_peers(&mut self) -> Vec<VmId> {
        let own = self.cx.shared.vm();
        let others: Vec<&VmId> =
            self.membership.members().map(|member| &member.listed.id).filter(|id| *id != own).collect();
        let count = others.len().min(self.cx.shared.settings.peers.fan_out);
        let chosen = (0..count).map(|step| others[(self.next_peer + step) % others.len()].clone()).collect();
        self.next_peer = self.next_peer.wrapping_add(count);
        chosen
    }

    fn share_limits(&mut self) {
        let now = self.cx.shared.clock.now();
        let own = self.cx.shared.vm();
        let others: Vec<VmId> = self
            .membership
            .live(self.silence(), now)
            .map(|member| member.listed.id.clone())
            .filter(|id| id != own)
            .collect();
        let mut live = others.clone();
        live.push(own.clone());
        live.sort_unstable();
        self.cx.shared.set_live_vms(live);
        self.uses.retain(|vm, _| others.contains(vm));
        let mut sums: BTreeMap<&String, u32> = BTreeMap::new();
        for usage in self.uses.values().flatten() {
            *sums.entry(&usage.account).or_default() += usage.in_progress.max(0).cast_unsigned();
        }
        let catalog = self.cx.shared.catalog.load();
        let mut admission = self.cx.shared.admission();
        for account in catalog.config.accounts.keys() {
            admission.set_in_progress_elsewhere(account, sums.get(account).copied().unwrap_or_default());
        }
    }

    /// Works out until when a majority counts as heard, none of which knows a newer configuration.
    fn judge_majority(&self) {
        let shared = &self.cx.shared;
        let own_next = shared.config_next();
        let until = self.membership.majority_confirmed_until(shared.vm(), own_next, self.silence(), shared.clock.now());
        if let Some(until) = until {
            shared.set_majority_until(until);
            // A VM that starts while the log is away is caught up once a majority knows nothing newer.
            if until > shared.clock.now() && !shared.is_log_reachable() && own_next > 0 {
                shared.catch_up();
            }
        }
    }

    fn tell_live(&self) {
        let live = self.incarnations(self.silence());
        if let Some(service) = self.cx.find::<LedgerMessage>(ledger::NAME) {
            let _ = service.cast(LedgerMessage::LiveIncarnations(live.clone()));
        }
        if let Some(service) = self.cx.find::<BillsMessage>(bills::NAME) {
            let _ = service.cast(BillsMessage::LiveIncarnations(live.clone()));
        }
        if let Some(service) = self.cx.find::<PeersMessage>(peers::NAME) {
            let prompt = LIVE_HEARTBEATS * Duration::from_millis(self.cx.shared.settings.peers.heartbeat_ms);
            let live = self.incarnations(prompt);
            let _ = service.cast(PeersMessage::LiveIncarnations(live));
        }
    }

    /// Runs of the processes that were heard from within a time.
    fn incarnations(&self, limit: Duration) -> Vec<Incarnation> {
        let live = self.membership.live(limit, self.cx.shared.clock.now());
        live.filter_map(|member| member.heartbeat.as_ref().map(|heartbeat| heartbeat.incarnation)).collect()
    }

    /// Tells that the process that a VM ran before is gone, where a heartbeat shows that it runs another.
    fn note_successor(&self, heartbeat: &Heartbeat) {
        let known = self.membership.members().find(|member| member.listed.id == heartbeat.vm);
        let Some(last) = known.and_then(|member| member.heartbeat.as_ref()) else { return };
        if last.incarnation != heartbeat.incarnation
            && let Some(service) = self.cx.find::<PeersMessage>(peers::NAME)
        {
            let _ = service.cast(PeersMessage::IncarnationGone(last.incarnation));
        }
    }

    fn heard(&mut self, message: PeerHeartbeat, asked: Option<SystemTime>) {
        let now = self.cx.shared.clock.now();
        let heartbeat = to_heartbeat(&message);
        if let Some(asked) = asked {
            self.take_freshness(&heartbeat, asked);
        }
        if let Some(tallies) = message.evidence
            && let Some(service) = self.cx.find::<EvidenceMessage>(evidence::NAME)
        {
            let tallies = tallies.iter().map(from_wire).collect();
            let _ = service.cast(EvidenceMessage::Merge(heartbeat.incarnation, tallies));
        }
        if let Some(loads) = message.loads
            && self.is_prompt(&heartbeat.vm, now)
            && let Some(service) = self.cx.find::<EndpointsMessage>(endpoints::NAME)
        {
            let _ = service.cast(EndpointsMessage::RelayedReports(loads.into_iter().map(from_load).collect()));
        }
        if let Some(quarantine) = message.quarantine {
            let changes = self.cx.shared.quarantine().merge_report(decode_quarantine(quarantine), now);
            log_changes(&changes);
        }
        self.uses.insert(heartbeat.vm.clone(), message.uses.unwrap_or_default());
        self.fetch_newer(&heartbeat);
        self.note_successor(&heartbeat);
        self.membership.record_heartbeat(heartbeat, now, asked);
    }

    /// Whether a VM has answered us lately, so that what it sends is not likely to have been held up.
    fn is_prompt(&self, vm: &str, now: SystemTime) -> bool {
        let limit = 3 * Duration::from_millis(self.cx.shared.settings.peers.heartbeat_ms);
        let asked =
            self.membership.members().find(|member| member.listed.id == vm).and_then(|member| member.last_requested);
        asked.is_some_and(|asked| now.duration_since(asked).unwrap_or_default() <= limit)
    }

    /// Takes over a peer's confirmation that nothing newer exists, if we have all that it has.
    fn take_freshness(&self, heartbeat: &Heartbeat, asked: SystemTime) {
        if self.cx.shared.config_next() < heartbeat.config_next {
            return;
        }
        if let Some(at) = asked.checked_sub(heartbeat.staleness)
            && at > SystemTime::UNIX_EPOCH
        {
            self.cx.shared.confirm(at);
        }
    }

    /// Asks a peer for the records that it has and we have not.
    fn fetch_newer(&mut self, heartbeat: &Heartbeat) {
        let own_next = self.cx.shared.config_next();
        if heartbeat.config_next <= own_next || heartbeat.vm == *self.cx.shared.vm() {
            return;
        }
        let call = tokio::spawn(fetch(self.cx.clone(), heartbeat.vm.clone(), own_next));
        self.calls.push(AbortOnDropHandle::new(call));
    }
}

async fn send_heartbeat(cx: Context, service: ActorRef<MembersMessage>, to: VmId, heartbeat: PeerHeartbeat) {
    let asked = cx.shared.clock.now();
    if let Some(PeerReply::Heartbeat(heartbeat)) = call_peer(&cx, to, PeerRequest::Heartbeat(heartbeat)).await {
        let heartbeat = Box::new(heartbeat);
        let _ = service.cast(MembersMessage::Heartbeat { heartbeat, asked: Some(asked), reply: None });
    }
}

async fn fetch(cx: Context, from: VmId, next: u64) {
    let request = PeerRequest::Fetch(PeerFetch::new(next.cast_signed(), FETCH_RECORDS));
    let Some(PeerReply::Records(PeerRecords { records, snapshot, .. })) = call_peer(&cx, from, request).await else {
        return;
    };
    let to_record = |record: havengrade_rpc::peers::PeerRecord| {
        let data = String::from_utf8(record.record).ok()?;
        Some(LogRecord { offset: record.offset.cast_unsigned(), data })
    };
    let records = records.into_iter().map_while(to_record).collect();
    let snapshot = snapshot.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    if let Some(service) = cx.find::<ConfigMessage>(config::NAME) {
        let _ = service.cast(ConfigMessage::ReplayFromPeer { records, snapshot });
    }
}

/// Sends a request to a VM through the service for peers.
pub(crate) async fn call_peer(cx: &Context, to: VmId, request: PeerRequest) -> Option<PeerReply> {
    let peers = cx.find::<PeersMessage>(peers::NAME)?;
    let reply = peers.call(|reply| PeersMessage::Send { to, request: Box::new(request), reply }, None).await;
    reply.ok()?.success_or(()).ok()
}

/// What heartbeats carry besides the state of the VM.
#[derive(Default)]
struct News {
    evidence: Vec<EvidenceTally>,
    loads: Vec<EndpointLoad>,
    quarantine: Option<QuarantineReport>,
}
