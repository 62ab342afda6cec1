//! Membership: which VMs are live, from the platform's VM list, which lags, and from heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, Incarnation, Offset, VmId};

/// A VM in the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub id: VmId,
    /// IP address and port for peers.
    pub peer_address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// Heartbeat of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation.
    pub seq: u64,
    /// Offset after the last configuration record that the VM has replayed.
    pub config_next: Offset,
    /// Revision of its active configuration.
    pub revision: Option<Offset>,
    /// Time since it last confirmed that there is no newer configuration.
    pub staleness: Duration,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Number of requests in progress.
    pub in_progress: u32,
}

/// A listed VM and its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Entry of the VM list.
    pub listed: ListedVm,
    /// Last heartbeat of the VM.
    pub heartbeat: Option<Heartbeat>,
    /// Time at which that heartbeat was received.
    pub last_received: Option<SystemTime>,
    /// Time at which the latest answered heartbeat request was sent, the earliest time that the answer's
    /// content can be from.
    pub last_requested: Option<SystemTime>,
}

/// The VMs of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<VmId, Member>,
}

impl Membership {
    /// Replaces the VM list by a new one from the platform; heartbeats of VMs on both lists are kept.
    pub fn replace_listed(&mut self, vms: Vec<ListedVm>) {
        let mut old = std::mem::take(&mut self.members);
        for listed in vms {
            let known = old.remove(&listed.id);
            let member = match known {
                Some(member) => Member { listed, ..member },
                None => Member { listed, heartbeat: None, last_received: None, last_requested: None },
            };
            self.members.insert(member.listed.id.clone(), member);
        }
    }

    /// Records a heartbeat, unless it is older than the last one of the same incarnation.
    ///
    /// `requested` is the time at which it was requested, or `None` if it was sent without a request.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: SystemTime, requested: Option<SystemTime>) {
        let Some(member) = self.members.get_mut(&heartbeat.vm) else {
            return;
        };
        let is_outdated = member
            .heartbeat
            .as_ref()
            .is_some_and(|last| last.incarnation == heartbeat.incarnation && last.seq > heartbeat.seq);
        if is_outdated {
            return;
        }
        member.heartbeat = Some(heartbeat);
        member.last_received = Some(now);
        member.last_requested = member.last_requested.max(requested);
    }

    /// Returns all listed VMs.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the VMs whose last heartbeat was received within `limit`.
    pub fn live(&self, limit: Duration, now: SystemTime) -> impl Iterator<Item = &Member> {
        let is_live = move |member: &&Member| member.last_received.is_some_and(|received| received + limit >= now);
        self.members.values().filter(is_live)
    }

    /// Returns the time until which a majority of the listed VMs confirms this VM's configuration, if any.
    ///
    /// A VM confirms it if it knows no record past `own_next`. Its confirmation counts from the time of the
    /// heartbeat request, since an unrequested heartbeat may be old. This VM, `own`, always counts.
    pub fn majority_confirmed_until(
        &self,
        own: &str,
        own_next: Offset,
        limit: Duration,
        now: SystemTime,
    ) -> Option<SystemTime> {
        let knows_nothing_newer =
            |member: &&Member| member.heartbeat.as_ref().is_some_and(|last| last.config_next <= own_next);
        let others = self.members.values().filter(|member| member.listed.id != own);
        let mut requested: Vec<SystemTime> =
            others.filter(knows_nothing_newer).filter_map(|member| member.last_requested).collect();
        requested.sort_unstable_by(|a, b| b.cmp(a));
        match self.members.len() / 2 {
            0 => Some(now + limit),
            needed => requested.get(needed - 1).map(|requested| *requested + limit),
        }
    }
}

/// Returns whether a VM may accept new requests, given how stale its configuration is.
///
/// While the log is reachable, a VM confirms repeatedly that nothing newer exists. Without the log, no VM
/// can have accepted anything that a majority of the VMs doesn't know, so a majority suffices. A VM that
/// has neither stops accepting requests after `max_staleness`.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::membership::may_serve;
///
/// let limit = Duration::from_secs(5);
/// assert!(may_serve(Duration::from_secs(1), false, limit));
/// assert!(may_serve(Duration::from_secs(60), true, limit));
/// assert!(!may_serve(Duration::from_secs(6), false, limit));
/// ```
pub fn may_serve(staleness: Duration, majority_without_log: bool, max_staleness: Duration) -> bool {
    staleness <= max_staleness || majority_without_log
}
