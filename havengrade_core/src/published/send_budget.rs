//! What each VM may send to an endpoint that takes few requests a second from all VMs together.
//!
//! It is divided among a few VMs of the endpoint's own failure domain, chosen in an order that all VMs share. The others
//! send nothing. So the sum holds however large the fleet is and whatever VMs know of each other's work; a share for each VM
//! would be less than one request in a second.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, VmId},
    published::{directory::ListedEndpoint, peers::Peer},
    ranking::rank,
};

/// VMs that divide among them what an endpoint takes.
///
/// One may be gone without anybody knowing it yet. Where lists of VMs differ so that one more takes part, each sends
/// what it may, and the endpoint gets half as much again, which operators allow for.
pub const HOLDERS: usize = 2;
/// Requests that a VM may save up for an endpoint; more would come at once.
const MAX_BURST: f64 = 1.0;

/// Whether a VM is one of those that may send to an endpoint.
///
/// `others` are the VMs that it knows. Those of the endpoint's failure domain come first, since for them it is near and
/// they have the most to send there; those that are missing there are made up for by the first of the others. `round` counts how
/// often the next ones took over, since nothing was heard of those before.
pub fn is_holder<'a>(
    me: (&VmId, &str),
    others: impl Iterator<Item = &'a Peer> + Clone,
    endpoint: &ListedEndpoint,
    round: u64,
) -> bool {
    let (vm, domain) = me;
    let place = |vm: &VmId| rank(&[vm, &endpoint.id]);
    let is_near = |peer: &&Peer| peer.failure_domain == endpoint.failure_domain;
    let own = place(vm);
    let before = |peer: &&Peer| place(&peer.vm) > own;
    let index = if domain == endpoint.failure_domain {
        others.clone().filter(is_near).filter(before).count()
    } else {
        let far_before = others.clone().filter(|peer| !is_near(peer)).filter(before).count();
        others.clone().filter(is_near).count() + far_before
    };
    let all = others.count() + 1;
    let first = usize::try_from(round.wrapping_mul(HOLDERS as u64) % all as u64).unwrap_or_default();
    (index + all - first) % all < HOLDERS
}

/// By what it was worked out whether a VM is a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderInputs {
    /// Revision of the known VMs.
    pub vms_revision: u64,
    /// How often the next VMs took over.
    pub round: u64,
}

/// What this VM may send to an endpoint.
#[derive(Clone, Copy, Debug)]
struct SendBudget {
    is_holder: bool,
    inputs: HolderInputs,
    /// Requests that may be sent now.
    available: f64,
    updated_at: SystemTime,
}

/// What this VM may send to the endpoints that take few requests.
#[derive(Clone, Debug, Default)]
pub struct SendBudgets {
    by_endpoint: HashMap<EndpointId, SendBudget>,
}

impl SendBudgets {
    /// Time until this VM may send a request to an endpoint that takes `per_s` of them a second; zero for now.
    ///
    /// Whether it is one of the holders is worked out again where the inputs of that has changed. Where it is none, this is the time
    /// in which the endpoint takes a request from another VM.
    pub fn time_until_ready(
        &mut self,
        endpoint: &str,
        per_s: f64,
        inputs: HolderInputs,
        is_holder: impl FnOnce() -> bool,
        now: SystemTime,
    ) -> Duration {
        let before = self.by_endpoint.get(endpoint).copied();
        let (available, updated_at) = before.map_or((0.0, now), |before| (before.available, before.updated_at));
        let is_holder =
            before.filter(|before| before.inputs == inputs).map_or_else(is_holder, |before| before.is_holder);
        let own_per_s = per_s / HOLDERS as f64;
        let passed = now.duration_since(updated_at).unwrap_or_default();
        let available = (available + passed.as_secs_f64() * own_per_s).min(MAX_BURST);
        self.by_endpoint.insert(endpoint.to_owned(), SendBudget { is_holder, inputs, available, updated_at: now });
        if !is_holder {
            return time_to_earn(1.0, per_s);
        }
        time_to_earn(1.0 - available, own_per_s)
    }

    /// Takes what a request costs that is sent to an endpoint.
    pub fn spend(&mut self, endpoint: &str) {
        if let Some(budget) = self.by_endpoint.get_mut(endpoint) {
            budget.available = (budget.available - 1.0).max(0.0);
        }
    }

    /// Forgets what was not asked for in a time.
    pub fn prune(&mut self, kept_for: Duration, now: SystemTime) {
        self.by_endpoint.retain(|_, budget| now < budget.updated_at + kept_for);
    }
}

/// Time in which so many requests come about.
fn time_to_earn(requests: f64, per_s: f64) -> Duration {
    Duration::try_from_secs_f64(requests / per_s).unwrap_or(Duration::MAX)
}
