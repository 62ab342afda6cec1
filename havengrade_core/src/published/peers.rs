//! The other VMs of the fleet, and the sum of their reported work by endpoint.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    ops::Add,
    time::{Duration, SystemTime},
};

use rand::{Rng, seq::IteratorRandom as _};
use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EndpointId, Incarnation, VmId};

/// Time for which the reported work of a VM counts.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(2500);
/// Time without a report after which a VM is removed from the table.
///
/// A report goes to a few VMs only: in a fleet of some hundred VMs, one may receive nothing from another for half a
/// minute although both are alive.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(60);

/// Smallest number of VMs that receive a report, if the fleet has as many.
const MIN_TARGETS: usize = 8;
/// Largest number of VMs in the own failure domain that receive a report.
///
/// They choose among the same endpoints, since most requests are placed nearby, and traffic between them is free.
/// With thirty VMs in a failure domain more targets were better, up to all of them; the limit bounds what a VM
/// receives.
pub(super) const MAX_NEAR_TARGETS: usize = 20;
/// Number of VMs in other failure domains that receive a report as well.
const FAR_TARGETS: usize = 3;
/// Largest number of VMs that one stands for in the sums of memory, so that a single long prompt, heard of by chance,
/// does not fill an endpoint.
const MAX_EXTRAPOLATION: f64 = 4.0;

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// IP address and port that receive its reports.
    pub address: SocketAddr,
    /// Its failure domain; empty if it did not report one.
    pub failure_domain: DomainId,
}

/// Work in progress at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens that are still to be processed, counted as tokens of the largest model.
    pub tokens: u32,
    /// Tokens that the requests occupy, or will occupy, in the endpoint's memory.
    pub memory_tokens: u32,
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            tokens: self.tokens.saturating_add(other.tokens),
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
        }
    }
}

/// A VM's report on its work in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkReport {
    /// The VM.
    pub peer: Peer,
    /// Sequence number of the report, increasing within an incarnation.
    pub seq: u64,
    /// Work by endpoint; an endpoint that is missing has none.
    pub work: Vec<(EndpointId, Work)>,
}

#[derive(Clone, Debug)]
struct PeerState {
    peer: Peer,
    seq: u64,
    last_report: SystemTime,
    has_reported: bool,
    work: Vec<(EndpointId, Work)>,
}

impl PeerState {
    /// Whether the work in the last report of the VM counts.
    fn is_heard(&self, now: SystemTime) -> bool {
        self.has_reported && now < self.last_report + REPORT_LIFETIME
    }
}

/// The other VMs that are known, and their work.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_vm: BTreeMap<VmId, PeerState>,
    sums: HashMap<EndpointId, Work>,
    is_list_loaded: bool,
    /// Increases whenever a VM is added or its entry changes.
    revision: u64,
}

impl Peers {
    /// Records that the stored list was read, so that the other VMs are known if there are any.
    pub fn set_list_loaded(&mut self) {
        self.is_list_loaded = true;
    }

    /// Whether the stored list was read at least once.
    pub fn is_list_loaded(&self) -> bool {
        self.is_list_loaded
    }

    /// Adds a VM from a list. Its last report counts as received at `last_report`, so that it has time to report.
    ///
    /// A later report of the VM itself takes precedence over the list.
    pub fn add_listed(&mut self, peer: Peer, last_report: SystemTime) {
        let is_known = self.by_vm.get(&peer.vm).is_some_and(|known| {
            known.peer.incarnation == peer.incarnation || (known.has_reported && known.last_report >= last_report)
        });
        if !is_known {
            let known = PeerState { peer, seq: 0, last_report, has_reported: false, work: Vec::new() };
            self.by_vm.insert(known.peer.vm.clone(), known);
            self.revision += 1;
        }
    }

    /// The known VMs, each with the time since its last report, for a VM that asks.
    pub fn known_peers(&self, now: SystemTime) -> Vec<(Peer, Duration)> {
        let silence = |known: &PeerState| now.duration_since(known.last_report).unwrap_or_default();
        self.by_vm.values().map(|known| (known.peer.clone(), silence(known))).collect()
    }

    /// Merges the VMs that another VM knows, with the time since its last report from each. This does not extend the
    /// life of a silent VM.
    pub fn merge_known(&mut self, others: Vec<(Peer, Duration)>, now: SystemTime) {
        for (peer, silence) in others.into_iter().filter(|(_, silence)| *silence < PEER_TIMEOUT) {
            self.add_listed(peer, now - silence);
        }
    }

    /// Applies a report, and returns whether it is new; one that is not newer than another from the same incarnation has
    /// no effect.
    pub fn apply_report(&mut self, report: WorkReport, now: SystemTime) -> bool {
        let known = self.by_vm.get(&report.peer.vm);
        let is_outdated = known.is_some_and(|known| {
            known.peer.incarnation == report.peer.incarnation && known.has_reported && known.seq >= report.seq
        });
        if is_outdated {
            return false;
        }
        self.revision += u64::from(known.is_none_or(|known| known.peer != report.peer));
        let WorkReport { peer, seq, work } = report;
        self.by_vm.insert(peer.vm.clone(), PeerState { peer, seq, last_report: now, has_reported: true, work });
        self.update_sums(now);
        true
    }

    /// Removes silent VMs, and work that is no longer reported.
    pub fn expire(&mut self, now: SystemTime) {
        self.by_vm.retain(|_, known| now < known.last_report + PEER_TIMEOUT);
        self.update_sums(now);
    }

    fn update_sums(&mut self, now: SystemTime) {
        self.sums.clear();
        let factors = self.extrapolation_factors(now);
        for known in self.by_vm.values().filter(|known| known.is_heard(now)) {
            let factor = factors.get(known.peer.failure_domain.as_str()).copied().unwrap_or(1.0);
            for (endpoint, work) in &known.work {
                let memory_tokens = (f64::from(work.memory_tokens) * factor) as u32;
                let sum = self.sums.entry(endpoint.clone()).or_default();
                *sum = *sum + Work { memory_tokens, ..*work };
            }
        }
    }

    /// For each failure domain, the number of its VMs by the number of those whose last report counts, in a large fleet.
    ///
    /// In a large fleet most reports of a VM don't reach this one. Memory fills up by the sum of all requests, so the VMs
    /// that are heard stand for the others of their failure domain.
    fn extrapolation_factors(&self, now: SystemTime) -> HashMap<DomainId, f64> {
        let mut counts: HashMap<&str, (u32, u32)> = HashMap::new();
        for known in self.by_vm.values().filter(|_| self.is_large()) {
            let (all, heard) = counts.entry(known.peer.failure_domain.as_str()).or_default();
            *all += 1;
            *heard += u32::from(known.is_heard(now));
        }
        let factor = |all: u32, heard: u32| (f64::from(all) / f64::from(heard.max(1))).min(MAX_EXTRAPOLATION);
        counts.into_iter().map(|(domain, (all, heard))| (domain.to_owned(), factor(all, heard))).collect()
    }

    /// The work that other VMs have in progress at an endpoint. In a large fleet, the memory of the VMs that are heard
    /// also stands for that of the others.
    pub fn work(&self, endpoint: &str) -> Work {
        self.sums.get(endpoint).copied().unwrap_or_default()
    }

    /// The VMs that receive a report from a VM in `domain`, chosen at random in a large fleet.
    pub fn report_targets(&self, domain: &str, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self.all().partition(|peer| peer.failure_domain == domain);
        let near = near.into_iter().sample(rng, MAX_NEAR_TARGETS);
        let far_wanted = MIN_TARGETS.saturating_sub(near.len()).max(FAR_TARGETS);
        let far = far.into_iter().sample(rng, far_wanted);
        near.into_iter().chain(far).map(|peer| peer.address).collect()
    }

    /// Whether the fleet has more VMs than receive each report.
    pub fn is_large(&self) -> bool {
        self.len() > MIN_TARGETS
    }

    /// Share of the work of the other VMs in `domain` that reports to a VM in it are expected to cover, if each VM
    /// reports once in `interval`.
    ///
    /// In a large fleet a report goes to a few VMs only, so that some VMs have not reported to this one within the
    /// lifetime of a report. Lost reports don't change the share.
    ///
    /// ```
    /// use std::time::Duration;
    /// use havengrade_core::published::peers::Peers;
    ///
    /// assert_eq!(Peers::default().report_coverage("d1", Duration::from_millis(400)), 1.0);
    /// ```
    pub fn report_coverage(&self, domain: &str, interval: Duration) -> f64 {
        let near = self.all().filter(|peer| peer.failure_domain == domain).count();
        if near <= MAX_NEAR_TARGETS {
            return 1.0;
        }
        let missed = 1.0 - MAX_NEAR_TARGETS as f64 / near as f64;
        1.0 - missed.powf(REPORT_LIFETIME.div_duration_f64(interval))
    }

    /// All known VMs.
    pub fn all(&self) -> impl Iterator<Item = &Peer> + Clone {
        self.by_vm.values().map(|known| &known.peer)
    }

    /// The address that receives the reports of a VM, if the VM is known.
    pub fn address(&self, vm: &str) -> Option<SocketAddr> {
        self.by_vm.get(vm).map(|known| known.peer.address)
    }

    /// A number that increases whenever a VM is added or its entry changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether any VM has reported within `time` before `now`.
    pub fn has_report_within(&self, time: Duration, now: SystemTime) -> bool {
        self.by_vm.values().any(|known| known.has_reported && now < known.last_report + time)
    }

    /// The number of known VMs.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }
}
