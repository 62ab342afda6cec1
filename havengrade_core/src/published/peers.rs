//! What the other VMs say of their work in progress, summed up by endpoint.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use rand::{Rng, seq::IteratorRandom as _};
use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EndpointId, Incarnation, VmId};

/// Time after which a VM's report no longer says what it has in progress.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(2500);
/// Time after which a VM that is not heard from is forgotten.
///
/// A report goes to a few VMs only, so that in a fleet of some hundred one may hear nothing of another for
/// half a minute although both live.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(60);

/// VMs that a report goes to at least, where there are so many.
const LEAST_TARGETS: usize = 8;
/// VMs of the own failure domain that a report goes to at most.
///
/// They choose among the same endpoints, since most requests are placed nearby, and bytes to them cost nothing.
/// Measured with thirty VMs in a failure domain: more are better, up to all of them; what a VM hears is bounded.
const NEAR_TARGETS: usize = 20;
/// VMs of other failure domains that a report goes to, beside those.
const FAR_TARGETS: usize = 3;

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the VM.
    pub vm: VmId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// IP number and port at which it hears reports.
    pub address: SocketAddr,
    /// Where it stands; empty where it did not tell.
    pub failure_domain: DomainId,
}

/// Work in progress at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that still have to be read, in those of the largest model.
    pub tokens: u32,
}

/// A VM's report of its work in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkReport {
    /// The VM.
    pub peer: Peer,
    /// Number of the report within the VM's run, rising.
    pub seq: u64,
    /// Work by endpoint; where an endpoint is missing there is none.
    pub work: Vec<(EndpointId, Work)>,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    seq: u64,
    heard: SystemTime,
    has_reported: bool,
    work: Vec<(EndpointId, Work)>,
}

/// The other VMs that are known, and their work.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_vm: BTreeMap<VmId, Known>,
    sums: HashMap<EndpointId, Work>,
    is_list_loaded: bool,
    /// Rises whenever a VM becomes known anew.
    revision: u64,
}

impl Peers {
    /// Notes that the kept list was read, so that the others are known, if there are any.
    pub fn set_list_loaded(&mut self) {
        self.is_list_loaded = true;
    }

    /// Whether the kept list was read at least once.
    pub fn is_list_loaded(&self) -> bool {
        self.is_list_loaded
    }

    /// Takes a VM from a list; it counts as heard from at `heard`, so that it has time to report.
    ///
    /// One that was heard from later itself is known better than by the list.
    pub fn add_listed(&mut self, peer: Peer, heard: SystemTime) {
        let is_known = self.by_vm.get(&peer.vm).is_some_and(|known| {
            known.peer.incarnation == peer.incarnation || (known.has_reported && known.heard >= heard)
        });
        if !is_known {
            let known = Known { peer, seq: 0, heard, has_reported: false, work: Vec::new() };
            self.by_vm.insert(known.peer.vm.clone(), known);
            self.revision += 1;
        }
    }

    /// The VMs that are known, each with the time since it was heard from, for a VM that asks.
    pub fn known_peers(&self, now: SystemTime) -> Vec<(Peer, Duration)> {
        let silence = |known: &Known| now.duration_since(known.heard).unwrap_or_default();
        self.by_vm.values().map(|known| (known.peer.clone(), silence(known))).collect()
    }

    /// Takes VMs that another VM knows, with the time since it heard from them; nobody lives on by being told of.
    pub fn merge_known(&mut self, told: Vec<(Peer, Duration)>, now: SystemTime) {
        for (peer, silence) in told.into_iter().filter(|(_, silence)| *silence < PEER_TIMEOUT) {
            self.add_listed(peer, now - silence);
        }
    }

    /// Takes a report; one that is older than another from the same run has no effect.
    pub fn apply_report(&mut self, report: WorkReport, now: SystemTime) {
        let known = self.by_vm.get(&report.peer.vm);
        let is_old = known.is_some_and(|known| {
            known.peer.incarnation == report.peer.incarnation && known.has_reported && known.seq >= report.seq
        });
        if is_old {
            return;
        }
        self.revision += u64::from(known.is_none_or(|known| known.peer != report.peer));
        let WorkReport { peer, seq, work } = report;
        self.by_vm.insert(peer.vm.clone(), Known { peer, seq, heard: now, has_reported: true, work });
        self.sum_up(now);
    }

    /// Forgets VMs that are silent and work that is no longer reported.
    pub fn expire(&mut self, now: SystemTime) {
        self.by_vm.retain(|_, known| now < known.heard + PEER_TIMEOUT);
        self.sum_up(now);
    }

    fn sum_up(&mut self, now: SystemTime) {
        self.sums.clear();
        for known in self.by_vm.values().filter(|known| now < known.heard + REPORT_LIFETIME) {
            for (endpoint, work) in &known.work {
                let sum = self.sums.entry(endpoint.clone()).or_default();
                sum.requests += work.requests;
                sum.tokens = sum.tokens.saturating_add(work.tokens);
            }
        }
    }

    /// The work that other VMs have in progress at an endpoint.
    pub fn work(&self, endpoint: &str) -> Work {
        self.sums.get(endpoint).copied().unwrap_or_default()
    }

    /// The VMs that one report of a VM in `domain` goes to; in a large fleet, others each time.
    pub fn report_targets(&self, domain: &str, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self.all().partition(|peer| peer.failure_domain == domain);
        let near = near.into_iter().sample(rng, NEAR_TARGETS);
        let far_wanted = LEAST_TARGETS.saturating_sub(near.len()).max(FAR_TARGETS);
        let far = far.into_iter().sample(rng, far_wanted);
        near.into_iter().chain(far).map(|peer| peer.address).collect()
    }

    /// Whether there are more VMs than one report goes to.
    pub fn is_large(&self) -> bool {
        self.len() > LEAST_TARGETS
    }

    /// All VMs that are known.
    pub fn all(&self) -> impl Iterator<Item = &Peer> + Clone {
        self.by_vm.values().map(|known| &known.peer)
    }

    /// Where a VM hears reports, if it is known.
    pub fn address(&self, vm: &str) -> Option<SocketAddr> {
        self.by_vm.get(vm).map(|known| known.peer.address)
    }

    /// A number that rises whenever a VM becomes known anew.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many VMs are known.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }
}
