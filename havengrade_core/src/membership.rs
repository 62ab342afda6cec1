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

/// A VM and the last heartbeat received from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The VM as listed.
    pub listed: ListedVm,
    /// Its last heartbeat.
    pub heartbeat: Option<Heartbeat>,
    /// When that was received.
    pub last_received: Option<SystemTime>,
    /// When we asked for the last heartbeat that it answered; what it knew then it knew no earlier.
    pub last_requested: Option<SystemTime>,
}

/// The VMs of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<VmId, Member>,
}

impl Membership {
    /// Takes over the platform's list.
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

    /// Takes a heartbeat; one that is older than the last of the same run is passed over.
    ///
    /// `asked` is when it was asked for, or none where it came unasked.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: SystemTime, asked: Option<SystemTime>) {
        let Some(member) = self.members.get_mut(&heartbeat.vm) else {
            return;
        };
        let is_old = member
            .heartbeat
            .as_ref()
            .is_some_and(|last| last.incarnation == heartbeat.incarnation && last.seq > heartbeat.seq);
        if is_old {
            return;
        }
        member.heartbeat = Some(heartbeat);
        member.last_received = Some(now);
        member.last_requested = member.last_requested.max(asked);
    }

    /// All listed VMs.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// VMs heard from within the limit.
    pub fn live(&self, limit: Duration, now: SystemTime) -> impl Iterator<Item = &Member> {
        let is_live = move |member: &&Member| member.last_received.is_some_and(|received| received + limit >= now);
        self.members.values().filter(is_live)
    }

    /// Until when a majority of the listed VMs counts as heard, if it ever was.
    ///
    /// Only VMs count that know no record past `own_next`, and only from when they were asked, since a
    /// heartbeat that came unasked may be old. The VM itself, `own`, always counts.
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
        let mut asked: Vec<SystemTime> =
            others.filter(knows_nothing_newer).filter_map(|member| member.last_requested).collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        match self.members.len() / 2 {
            0 => Some(now + limit),
            needed => asked.get(needed - 1).map(|asked| *asked + limit),
        }
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
