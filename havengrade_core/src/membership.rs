//! Membership: which VMs live, from the lagging VM list and from heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, Incarnation, Offset, VmId};

/// A VM as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub id: VmId,
    /// IP number and port for peers.
    pub peer_address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}

/// What a VM says of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the VM.
    pub vm: VmId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within the run.
    pub seq: u64,
    /// Offset up to which it has replayed the configuration.
    pub config_next: Offset,
    /// Revision that it has in force.
    pub revision: Option<Offset>,
    /// How long ago it last knew that there is nothing newer.
    pub staleness: Duration,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests that it has in progress.
    pub in_progress: u32,
}

/// A VM and the last that was heard of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The VM as listed.
    pub listed: ListedVm,
    /// Its last heartbeat.
    pub heartbeat: Option<Heartbeat>,
    /// When that was received.
    pub heard: Option<SystemTime>,
}

/// The VMs of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<VmId, Member>,
}

impl Membership {
    /// Takes over the platform's list.
    pub fn list(&mut self, vms: Vec<ListedVm>) {
        let mut old = std::mem::take(&mut self.members);
        for listed in vms {
            let known = old.remove(&listed.id);
            let (heartbeat, heard) = known.map_or((None, None), |member| (member.heartbeat, member.heard));
            self.members.insert(listed.id.clone(), Member { listed, heartbeat, heard });
        }
    }

    /// Takes a heartbeat; one that is older than the last of the same run is passed over.
    pub fn hear(&mut self, heartbeat: Heartbeat, now: SystemTime) {
        let Some(member) = self.members.get_mut(&heartbeat.vm) else {
            return;
        };
        let is_old = member
            .heartbeat
            .as_ref()
            .is_some_and(|last| last.incarnation == heartbeat.incarnation && last.seq >= heartbeat.seq);
        if is_old {
            return;
        }
        member.heartbeat = Some(heartbeat);
        member.heard = Some(now);
    }

    /// All listed VMs.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// VMs heard from within the limit.
    pub fn live(&self, limit: Duration, now: SystemTime) -> impl Iterator<Item = &Member> {
        let is_live = move |member: &&Member| member.heard.is_some_and(|heard| heard + limit >= now);
        self.members.values().filter(is_live)
    }

    /// Whether more than half of the listed VMs, `own` included, were heard from within the limit.
    pub fn hears_majority(&self, own: &str, limit: Duration, now: SystemTime) -> bool {
        let heard = self.live(limit, now).filter(|member| member.listed.id != own).count() + 1;
        let listed = self.members.len().max(1);
        heard * 2 > listed
    }
}

/// Whether a VM may take new requests although it can't reach the log.
///
/// With the log in reach a node confirms again and again that nothing newer exists. Without it, no VM
/// can have accepted anything that a majority of us does not know, so a majority suffices; a node that
/// has neither stops after `max_staleness`.
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
