//! Cold endpoints: those that have just started, or come back, bear few requests a second, from all VMs together.
//!
//! What a cold endpoint bears is divided among a few VMs of its own failure domain, chosen in an order that all VMs share. The others
//! send nothing. So the sum holds however large the fleet is and whatever VMs know of each other's work; a share for each VM
//! would be less than one request in the time for which an endpoint is cold.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, VmId},
    published::{directory::ListedEndpoint, peers::Peer},
    ranking::rank,
};

/// VMs that divide among them what a cold endpoint bears.
///
/// One may be gone without anybody knowing it yet. Where lists of VMs differ so much that twice as many take part, each sends
/// what it may, and the endpoint gets twice what it bears, which operators allow for.
pub const HOLDERS: usize = 2;
/// Requests that a VM may save up for a cold endpoint; more would come at once.
const MOST_SAVED: f64 = 1.0;

/// Whether a VM is one of those that may send to an endpoint while it is cold.
///
/// `others` are the VMs that it knows. Those of the endpoint's failure domain come first, since for them it is near and
/// they have the most to send there.
pub fn is_holder<'a>(
    me: (&VmId, &str),
    others: impl Iterator<Item = &'a Peer> + Clone,
    endpoint: &ListedEndpoint,
) -> bool {
    let (vm, domain) = me;
    let place = |vm: &VmId| rank(&[vm, &endpoint.id]);
    let is_near = |peer: &&Peer| peer.failure_domain == endpoint.failure_domain;
    let near = others.clone().filter(is_near).count();
    let own = place(vm);
    let before = |peer: &&Peer| place(&peer.vm) > own;
    if domain == endpoint.failure_domain {
        return others.filter(is_near).filter(before).count() < HOLDERS;
    }
    // Those that are missing in the endpoint's own domain are made up for by the first of the others.
    let far_holders = HOLDERS.saturating_sub(near);
    others.filter(|peer| !is_near(peer)).filter(before).count() < far_holders
}

/// What this VM may send to an endpoint while it is cold.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    is_holder: bool,
    /// Revision of the known VMs by which that was worked out.
    revision: u64,
    /// Requests that may be sent now.
    saved: f64,
    counted: SystemTime,
}

/// The endpoints that are cold, and what this VM may send there.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    until: HashMap<EndpointId, SystemTime>,
    allowances: HashMap<EndpointId, Allowance>,
}

impl ColdEndpoints {
    /// Takes until when endpoints are cold by their entries; all others are warm.
    pub fn set(&mut self, until: HashMap<EndpointId, SystemTime>) {
        self.until = until;
    }

    /// Whether an endpoint is cold by its entry.
    pub fn is_cold(&self, endpoint: &str, now: SystemTime) -> bool {
        self.until.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Whether this VM may send a request to a cold endpoint that bears `per_s` of them a second.
    ///
    /// Whether it is one of the holders is worked out again where the known VMs have changed, as `revision` tells.
    pub fn may_send(
        &mut self,
        endpoint: &str,
        per_s: f64,
        revision: u64,
        is_holder: impl FnOnce() -> bool,
        now: SystemTime,
    ) -> bool {
        let known = self.allowances.get(endpoint).copied().filter(|known| known.revision == revision);
        let mut allowance = known.unwrap_or_else(|| {
            let before = self.allowances.get(endpoint);
            let (saved, counted) = before.map_or((0.0, now), |before| (before.saved, before.counted));
            Allowance { is_holder: is_holder(), revision, saved, counted }
        });
        let passed = now.duration_since(allowance.counted).unwrap_or_default();
        let earned = passed.as_secs_f64() * per_s / HOLDERS as f64;
        allowance.saved = (allowance.saved + earned).min(MOST_SAVED);
        allowance.counted = now;
        self.allowances.insert(endpoint.to_owned(), allowance);
        allowance.is_holder && allowance.saved >= 1.0
    }

    /// Notes a request that is sent to an endpoint, if that is cold.
    pub fn note_sent(&mut self, endpoint: &str) {
        if let Some(allowance) = self.allowances.get_mut(endpoint) {
            // What is sent while it is warm counts for nothing.
            allowance.saved = (allowance.saved - 1.0).max(0.0);
        }
    }

    /// Forgets endpoints that are not cold, and how long those were known that are gone.
    pub fn prune(&mut self, kept_for: Duration, now: SystemTime) {
        self.until.retain(|_, until| now < *until);
        self.allowances.retain(|_, allowance| now < allowance.counted + kept_for);
    }
}
