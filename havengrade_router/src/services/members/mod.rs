//! The service that exchanges heartbeats with the other VMs and tracks which are live.

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

use self::wire::{decode_heartbeat, decode_load, decode_tally, encode_tally};
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

/// Number of heartbeats per one that carries changed evidence.
pub const HEARTBEATS_PER_EVIDENCE: u64 = 4;
/// Number of heartbeats per one that carries all evidence.
const HEARTBEATS_PER_FULL_EVIDENCE: u64 = 64;
/// Number of missed heartbeats after which a VM's replicas at its peers count as orphaned.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Maximum number of configuration records that are fetched from a peer at once.
const MAX_FETCHED_RECORDS: i32 = 512;

/// Messages to the service.
pub enum MembersMessage {
    /// The platform's VM list.
    VmList(VmListing),
    /// Heartbeat of another VM.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<PeerHeartbeat>,
        /// Time at which it was requested; `None` for an unrequested heartbeat, which may be old.
        requested_at: Option<SystemTime>,
        /// Receives this VM's heartbeat.
        reply: Option<RpcReplyPort<PeerHeartbeat>>,
    },
    /// Ask for all listed VMs, and whether each is live.
    Members(RpcReplyPort<Vec<(Member, bool)>>),
    /// Send a heartbeat.
    Tick,
}

/// Actor of the service.
pub(crate) struct MembersActor;

/// State of the service.
pub(crate) struct MembersState {
    cx: Context,
    membership: Membership,
    heartbeat_seq: u64,
    next_peer: usize,
    /// Requests in progress per client account, by VM.
    account_uses: HashMap<VmId, Vec<AccountUse>>,
    calls: Vec<AbortOnDropHandle<()>>,
    _list_poller: AbortOnDropHandle<()>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for MembersActor {
    type Msg = MembersMessage;
    type State = MembersState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<MembersState, ActorProcessingErr> {
        let interval = Duration::from_millis(cx.shared.settings.peers.heartbeat_ms);
        let list_poller = tokio::spawn(poll_list(cx.clone(), myself.clone()));
        Ok(MembersState {
            cx,
            membership: Membership::default(),
            heartbeat_seq: 0,
            next_peer: 0,
            account_uses: HashMap::new(),
            calls: Vec::new(),
            _list_poller: AbortOnDropHandle::new(list_poller),
            _ticker: crate::services::send_periodically(myself, interval, || MembersMessage::Tick),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: MembersMessage,
        state: &mut MembersState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            MembersMessage::VmList(listing) => state.apply_listing(listing),
            MembersMessage::Heartbeat { heartbeat, requested_at, reply } => {
                state.apply_heartbeat(*heartbeat, requested_at);
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
    let interval = Duration::from_millis(cx.shared.settings.vm_list.poll_ms);
    loop {
        match cx.vm_list.read().await {
            Ok(listing) => {
                if service.cast(MembersMessage::VmList(listing)).is_err() {
                    return;
                }
            },
            Err(error) => log::debug!(service = NAME; "failed to read the VM list: {error}"),
        }
        sleep(interval).await;
    }
}

impl MembersState {
    fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.cx.shared.settings.peers.silence_ms)
    }

    fn apply_listing(&mut self, listing: VmListing) {
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
        let mut own = decode_heartbeat(&self.heartbeat(None));
        own.seq = u64::MAX;
        let silence_timeout = self.silence_timeout();
        let with_liveness = |member: &Member| {
            let mut member = member.clone();
            if member.listed.id == *self.cx.shared.vm() {
                member.heartbeat = Some(own.clone());
                member.last_received = Some(now);
            }
            let is_live = member.last_received.is_some_and(|received| received + silence_timeout >= now);
            (member, is_live)
        };
        self.membership.members().map(with_liveness).collect()
    }

    /// Returns this VM's heartbeat; replies to other heartbeats have no payload.
    fn heartbeat(&self, payload: Option<HeartbeatPayload>) -> PeerHeartbeat {
        let shared = &self.cx.shared;
        let now = shared.clock.now();
        let revision = shared.catalog.load().config.revision;
        let account_uses: Vec<AccountUse> = shared
            .admission()
            .in_progress()
            .filter(|(_, count)| *count > 0)
            .map(|(account, count)| AccountUse::new(account.clone(), count.cast_signed()))
            .collect();
        let HeartbeatPayload { evidence, loads, quarantine } = payload.unwrap_or_default();
        PeerHeartbeat::new(
            shared.vm().clone(),
            shared.incarnation.cast_signed(),
            self.heartbeat_seq.cast_signed(),
            shared.config_next().cast_signed(),
            revision.map(u64::cast_signed),
            i64::try_from(shared.staleness(now).as_millis()).unwrap_or(i64::MAX),
            shared.not_serving_reason(now).is_none(),
            shared.is_draining(),
            i32::try_from(shared.requests.in_progress()).unwrap_or(i32::MAX),
            (!account_uses.is_empty()).then_some(account_uses),
            (!evidence.is_empty()).then_some(evidence),
            (!loads.is_empty()).then_some(loads),
            quarantine.map(encode_quarantine),
        )
    }

    async fn tick(&mut self, myself: &ActorRef<MembersMessage>) {
        self.heartbeat_seq += 1;
        self.calls.retain(|call| !call.is_finished());
        self.update_live_vms();
        self.update_majority_confirmation();
        self.report_live_incarnations();
        let now = self.cx.shared.clock.now();
        evaluate_suspects(&self.cx, now);
        let quarantine = self.next_quarantine_report(now);
        let payload = HeartbeatPayload {
            evidence: self.take_own_evidence().await,
            loads: self.take_endpoint_reports(),
            quarantine,
        };
        let heartbeat = self.heartbeat(Some(payload));
        for to in self.next_heartbeat_targets() {
            let call = tokio::spawn(send_heartbeat(self.cx.clone(), myself.clone(), to, heartbeat.clone()));
            self.calls.push(AbortOnDropHandle::new(call));
        }
    }

    /// Returns the next report on requests that crash endpoints, if there is anything to report.
    fn next_quarantine_report(&self, now: SystemTime) -> Option<QuarantineReport> {
        let mut quarantine = self.cx.shared.quarantine();
        quarantine.prune(now);
        quarantine.needs_fingerprints().then(|| quarantine.next_report(now))
    }

    fn take_endpoint_reports(&self) -> Vec<EndpointLoad> {
        let to_load = |(endpoint, report)| match report {
            EndpointReport::Load { load, shutting_down } => {
                EndpointLoad::new(endpoint, load.cast_signed(), shutting_down, false)
            },
            EndpointReport::ConnectionRefused => EndpointLoad::new(endpoint, 0, false, true),
        };
        self.cx.shared.take_endpoint_reports().into_iter().map(to_load).collect()
    }

    async fn take_own_evidence(&self) -> Vec<EvidenceTally> {
        if !self.heartbeat_seq.is_multiple_of(HEARTBEATS_PER_EVIDENCE) {
            return Vec::new();
        }
        let all = self.heartbeat_seq.is_multiple_of(HEARTBEATS_PER_FULL_EVIDENCE);
        let Some(service) = self.cx.find::<EvidenceMessage>(evidence::NAME) else { return Vec::new() };
        let own = service.call(|reply| EvidenceMessage::TakeOwn { all, reply }, None).await;
        let own = own.ok().and_then(|own| own.success_or(()).ok()).unwrap_or_default();
        own.iter().map(|(key, tally)| encode_tally(key, tally)).collect()
    }

    /// Returns the next VMs to send a heartbeat to, in round-robin order and at most `fan_out`.
    fn next_heartbeat_targets(&mut self) -> Vec<VmId> {
        let own = self.cx.shared.vm();
        let others: Vec<&VmId> =
            self.membership.members().map(|member| &member.listed.id).filter(|id| *id != own).collect();
        let count = others.len().min(self.cx.shared.settings.peers.fan_out);
        let targets = (0..count).map(|step| others[(self.next_peer + step) % others.len()].clone()).collect();
        self.next_peer = self.next_peer.wrapping_add(count);
        targets
    }

    /// Updates the live VMs, and the use of account limits at the others.
    fn update_live_vms(&mut self) {
        let now = self.cx.shared.clock.now();
        let own = self.cx.shared.vm();
        let others: Vec<VmId> = self
            .membership
            .live(self.silence_timeout(), now)
            .map(|member| member.listed.id.clone())
            .filter(|id| id != own)
            .collect();
        let mut live = others.clone();
        live.push(own.clone());
        live.sort_unstable();
        self.cx.shared.set_live_vms(live);
        self.account_uses.retain(|vm, _| others.contains(vm));
        let mut in_progress_sums: BTreeMap<&String, u32> = BTreeMap::new();
        for usage in self.account_uses.values().flatten() {
            *in_progress_sums.entry(&usage.account).or_default() += usage.in_progress.max(0).cast_unsigned();
        }
        let catalog = self.cx.shared.catalog.load();
        let mut admission = self.cx.shared.admission();
        for account in catalog.config.accounts.keys() {
            admission.set_in_progress_elsewhere(account, in_progress_sums.get(account).copied().unwrap_or_default());
        }
    }

    /// Updates the time until which a majority of VMs confirms that there is no newer configuration.
    fn update_majority_confirmation(&self) {
        let shared = &self.cx.shared;
        let own_next = shared.config_next();
        let until =
            self.membership.majority_confirmed_until(shared.vm(), own_next, self.silence_timeout(), shared.clock.now());
        if let Some(until) = until {
            shared.set_majority_confirmed_until(until);
            // A VM that starts while the log is unreachable has caught up once a majority knows nothing newer.
            if until > shared.clock.now() && !shared.is_log_reachable() && own_next > 0 {
                shared.set_caught_up();
            }
        }
    }

    /// Reports the live incarnations to the other services.
    fn report_live_incarnations(&self) {
        let live = self.live_incarnations(self.silence_timeout());
        if let Some(service) = self.cx.find::<LedgerMessage>(ledger::NAME) {
            let _ = service.cast(LedgerMessage::LiveIncarnations(live.clone()));
        }
        if let Some(service) = self.cx.find::<BillsMessage>(bills::NAME) {
            let _ = service.cast(BillsMessage::LiveIncarnations(live.clone()));
        }
        if let Some(service) = self.cx.find::<PeersMessage>(peers::NAME) {
            let live_timeout =
                MAX_MISSED_HEARTBEATS * Duration::from_millis(self.cx.shared.settings.peers.heartbeat_ms);
            let live = self.live_incarnations(live_timeout);
            let _ = service.cast(PeersMessage::LiveIncarnations(live));
        }
    }

    /// Returns the incarnations whose heartbeat was received within `limit`.
    fn live_incarnations(&self, limit: Duration) -> Vec<Incarnation> {
        let live = self.membership.live(limit, self.cx.shared.clock.now());
        live.filter_map(|member| member.heartbeat.as_ref().map(|heartbeat| heartbeat.incarnation)).collect()
    }

    /// Reports an incarnation as gone if a heartbeat shows that its VM runs another process.
    fn report_replaced_incarnation(&self, heartbeat: &Heartbeat) {
        let known = self.membership.members().find(|member| member.listed.id == heartbeat.vm);
        let Some(last) = known.and_then(|member| member.heartbeat.as_ref()) else { return };
        if last.incarnation != heartbeat.incarnation
            && let Some(service) = self.cx.find::<PeersMessage>(peers::NAME)
        {
            let _ = service.cast(PeersMessage::IncarnationGone(last.incarnation));
        }
    }

    fn apply_heartbeat(&mut self, message: PeerHeartbeat, requested_at: Option<SystemTime>) {
        let now = self.cx.shared.clock.now();
        let heartbeat = decode_heartbeat(&message);
        if let Some(requested_at) = requested_at {
            self.apply_confirmation(&heartbeat, requested_at);
        }
        if let Some(tallies) = message.evidence
            && let Some(service) = self.cx.find::<EvidenceMessage>(evidence::NAME)
        {
            let tallies = tallies.iter().map(decode_tally).collect();
            let _ = service.cast(EvidenceMessage::Merge(heartbeat.incarnation, tallies));
        }
        if let Some(loads) = message.loads
            && self.has_answered_recently(&heartbeat.vm, now)
            && let Some(service) = self.cx.find::<EndpointsMessage>(endpoints::NAME)
        {
            let _ = service.cast(EndpointsMessage::RelayedReports(loads.into_iter().map(decode_load).collect()));
        }
        if let Some(quarantine) = message.quarantine {
            let changes = self.cx.shared.quarantine().merge_report(decode_quarantine(quarantine), now);
            log_changes(&changes);
        }
        self.account_uses.insert(heartbeat.vm.clone(), message.uses.unwrap_or_default());
        self.fetch_newer_records(&heartbeat);
        self.report_replaced_incarnation(&heartbeat);
        self.membership.record_heartbeat(heartbeat, now, requested_at);
    }

    /// Returns whether a VM has answered a recent heartbeat, so that its messages are unlikely to be delayed.
    fn has_answered_recently(&self, vm: &str, now: SystemTime) -> bool {
        let limit = 3 * Duration::from_millis(self.cx.shared.settings.peers.heartbeat_ms);
        let requested_at =
            self.membership.members().find(|member| member.listed.id == vm).and_then(|member| member.last_requested);
        requested_at.is_some_and(|requested_at| now.duration_since(requested_at).unwrap_or_default() <= limit)
    }

    /// Applies a peer's confirmation that there is nothing newer, if this VM has all of the peer's records.
    fn apply_confirmation(&self, heartbeat: &Heartbeat, requested_at: SystemTime) {
        if self.cx.shared.config_next() < heartbeat.config_next {
            return;
        }
        if let Some(at) = requested_at.checked_sub(heartbeat.staleness)
            && at > SystemTime::UNIX_EPOCH
        {
            self.cx.shared.confirm_config(at);
        }
    }

    /// Fetches records that a peer has and this VM lacks.
    fn fetch_newer_records(&mut self, heartbeat: &Heartbeat) {
        let own_next = self.cx.shared.config_next();
        if heartbeat.config_next <= own_next || heartbeat.vm == *self.cx.shared.vm() {
            return;
        }
        let call = tokio::spawn(fetch_records(self.cx.clone(), heartbeat.vm.clone(), own_next));
        self.calls.push(AbortOnDropHandle::new(call));
    }
}

async fn send_heartbeat(cx: Context, service: ActorRef<MembersMessage>, to: VmId, heartbeat: PeerHeartbeat) {
    let requested_at = cx.shared.clock.now();
    if let Some(PeerReply::Heartbeat(heartbeat)) = call_peer(&cx, to, PeerRequest::Heartbeat(heartbeat)).await {
        let heartbeat = Box::new(heartbeat);
        let _ = service.cast(MembersMessage::Heartbeat { heartbeat, requested_at: Some(requested_at), reply: None });
    }
}

async fn fetch_records(cx: Context, from: VmId, next: u64) {
    let request = PeerRequest::Fetch(PeerFetch::new(next.cast_signed(), MAX_FETCHED_RECORDS));
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

/// Sends a request to a VM through the peers service.
pub(crate) async fn call_peer(cx: &Context, to: VmId, request: PeerRequest) -> Option<PeerReply> {
    let peers = cx.find::<PeersMessage>(peers::NAME)?;
    let reply = peers.call(|reply| PeersMessage::Send { to, request: Box::new(request), reply }, None).await;
    reply.ok()?.success_or(()).ok()
}

/// Evidence and reports that a heartbeat carries besides the state of the VM.
#[derive(Default)]
struct HeartbeatPayload {
    evidence: Vec<EvidenceTally>,
    loads: Vec<EndpointLoad>,
    quarantine: Option<QuarantineReport>,
}
