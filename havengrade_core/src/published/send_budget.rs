//! The share of an endpoint's rate limit that this VM may use.
//!
//! An endpoint's limit applies to all VMs together. It is divided among a few VMs, the holders, which are chosen by an
//! order that all VMs compute alike, those in the endpoint's own failure domain first; the other VMs send nothing. The
//! sum thus stays within the limit however large the fleet is, and whatever VMs know of each other's work. An equal
//! share for each VM would be less than one request per second.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, VmId},
    published::{directory::ListedEndpoint, peers::Peer},
    ranking::rank,
};

/// Number of VMs that share an endpoint's limit.
///
/// More than one, since a holder may be down before other VMs notice. If the VMs' lists of VMs differ so that an
/// additional VM takes itself for a holder, the endpoint gets half as many requests again, which operators allow for.
pub const HOLDERS: usize = 2;
/// Highest number of requests that accumulate in a budget; a larger budget would be spent in a burst.
const MAX_BURST: f64 = 1.0;

/// Whether a VM is one of the holders of an endpoint in a holder round.
///
/// `others` are the other VMs that it knows. VMs in the endpoint's failure domain rank first, since they are near the
/// endpoint and send most of the requests to it; the first VMs of other domains stand in if there are too few. `round`
/// is the number of times that the next holders took over because no VM reported an answer of the endpoint.
pub fn is_holder<'a>(
    me: (&VmId, &str),
    others: impl Iterator<Item = &'a Peer> + Clone,
    endpoint: &ListedEndpoint,
    round: u64,
) -> bool {
    let (vm, domain) = me;
    let rank_of = |vm: &VmId| rank(&[vm, &endpoint.id]);
    let is_near = |peer: &&Peer| peer.failure_domain == endpoint.failure_domain;
    let own = rank_of(vm);
    let ranks_before = |peer: &&Peer| rank_of(&peer.vm) > own;
    let index = if domain == endpoint.failure_domain {
        others.clone().filter(is_near).filter(ranks_before).count()
    } else {
        let far_before = others.clone().filter(|peer| !is_near(peer)).filter(ranks_before).count();
        others.clone().filter(is_near).count() + far_before
    };
    let all = others.count() + 1;
    let first = usize::try_from(round.wrapping_mul(HOLDERS as u64) % all as u64).unwrap_or_default();
    (index + all - first) % all < HOLDERS
}

/// The holders of an endpoint among the given VMs in a holder round, as [`is_holder`] tells them for each.
///
/// ```
/// # use std::time::Duration;
/// # use havengrade_core::published::{directory::ListedEndpoint, send_budget::{HOLDERS, holders}};
/// # let endpoint = ListedEndpoint {
/// #     id: "e1".into(), service: "models".into(), address: ([10, 0, 0, 1], 80).into(), failure_domain: "d1".into(),
/// #     version: "v1".into(), slots: 4, is_leaving: false, cold_for: Duration::ZERO, start: None,
/// # };
/// let vms = [("vm-1", "d1"), ("vm-2", "d2"), ("vm-3", "d2")];
/// let holders = holders(vms.into_iter(), &endpoint, 0);
/// assert_eq!((holders.len(), holders[0]), (HOLDERS, "vm-1"));
/// ```
pub fn holders<'a>(
    vms: impl Iterator<Item = (&'a str, &'a str)>,
    endpoint: &ListedEndpoint,
    round: u64,
) -> Vec<&'a str> {
    let by_rank =
        |(vm, domain): (&'a str, &str)| (domain != endpoint.failure_domain, Reverse(rank(&[vm, &endpoint.id])), vm);
    let mut ranked: Vec<_> = vms.map(by_rank).collect();
    ranked.sort_unstable();
    let first = usize::try_from(round.wrapping_mul(HOLDERS as u64) % ranked.len().max(1) as u64).unwrap_or_default();
    let all = ranked.len();
    ranked.into_iter().map(|(_, _, vm)| vm).cycle().skip(first).take(HOLDERS.min(all)).collect()
}

/// The inputs that determine whether this VM is a holder; a cached result is valid as long as they are unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderInputs {
    /// Revision of the list of VMs.
    pub vms_revision: u64,
    /// The holder round.
    pub round: u64,
}

/// The requests that this VM may send to one endpoint.
#[derive(Clone, Copy, Debug)]
struct SendBudget {
    is_holder: bool,
    inputs: HolderInputs,
    /// Requests that may be sent immediately.
    available: f64,
    updated_at: SystemTime,
}

/// The send budgets of all limited endpoints.
#[derive(Clone, Debug, Default)]
pub struct SendBudgets {
    by_endpoint: HashMap<EndpointId, SendBudget>,
}

impl SendBudgets {
    /// Time until this VM may send a request to an endpoint that accepts `per_s` requests per second from all VMs; zero
    /// if it may send one immediately.
    ///
    /// `is_holder` is evaluated only if `inputs` differ from those of the last call. If this VM isn't a holder, the
    /// result is the time in which the endpoint accepts one request from the holders.
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
        let elapsed = now.duration_since(updated_at).unwrap_or_default();
        let available = (available + elapsed.as_secs_f64() * own_per_s).min(MAX_BURST);
        self.by_endpoint.insert(endpoint.to_owned(), SendBudget { is_holder, inputs, available, updated_at: now });
        if !is_holder {
            return time_to_earn(1.0, per_s);
        }
        time_to_earn(1.0 - available, own_per_s)
    }

    /// Deducts a request from the budget of an endpoint.
    pub fn spend(&mut self, endpoint: &str) {
        if let Some(budget) = self.by_endpoint.get_mut(endpoint) {
            budget.available = (budget.available - 1.0).max(0.0);
        }
    }

    /// Drops budgets that were last updated more than `retention` ago.
    pub fn prune(&mut self, retention: Duration, now: SystemTime) {
        self.by_endpoint.retain(|_, budget| now < budget.updated_at + retention);
    }
}

/// The time in which a rate of `per_s` yields `requests`.
fn time_to_earn(requests: f64, per_s: f64) -> Duration {
    Duration::try_from_secs_f64(requests / per_s).unwrap_or(Duration::MAX)
}
