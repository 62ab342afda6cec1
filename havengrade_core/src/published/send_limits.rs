//! Rate limits on the requests that this VM sends to an endpoint: those that the endpoint states in its answers, and
//! the one that holds while the endpoint is cold.

use std::time::{Duration, SystemTime};

use crate::published::{
    brittle::BrittleServices,
    cold::ColdEndpoints,
    directory::ListedEndpoint,
    send_budget::{HolderInputs, SendBudgets},
    signals::{CurrentLimit, Signal, SignalChange, SignalTable},
};

/// Lowest rate at which a limited endpoint is sent requests, in requests per second: some answer must show when the
/// endpoint lifts its limit.
const MIN_PER_S: f64 = 0.1;
/// Age of the last stated limit at which the next holders take over: the current ones may be down, or have nothing to
/// send.
const HOLDER_ROUND: Duration = Duration::from_secs(10);
/// Lowest number of requests that the limit allows within a holder round; a lower limit makes the round longer.
const MIN_REQUESTS_PER_ROUND: f64 = 4.0;
/// Delay before an endpoint is considered again when its holders can't be determined, since the list of VMs is not
/// known yet.
const PEER_LIST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before an endpoint is considered again that has as many requests of this VM in flight as it may have.
const IN_FLIGHT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which an unused send budget is dropped; a multiple of the time in which it affects any decision.
const SEND_BUDGET_RETENTION: Duration = Duration::from_secs(60);

/// When an endpoint accepts another request from this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// Immediately.
    Now,
    /// After a delay.
    After(Duration),
    /// Not at all, since the endpoint is shutting down.
    Never,
}

/// An endpoint whose readiness is queried, and the facts that the answer depends on.
#[derive(Clone, Copy, Debug)]
pub struct SendQuery<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// Requests per second that the endpoint accepts at most while it is cold; 0 if there is no such limit.
    pub cold_per_s: f64,
    /// Whether the endpoint may be cold although its directory entry doesn't say so.
    pub may_be_cold: bool,
    /// Requests of this VM in flight at the endpoint.
    pub own_in_flight: u32,
    /// Number of VMs, including this one.
    pub vms: usize,
    /// Revision of the list of VMs; none if this VM doesn't know the other VMs yet and can't tell whether it is a
    /// holder.
    pub vms_revision: Option<u64>,
}

/// The limits on requests to endpoints, and how much of them this VM has used.
#[derive(Clone, Debug, Default)]
pub struct SendLimits {
    /// The endpoints that are cold.
    pub cold: ColdEndpoints,
    /// The signals of endpoints in their answers.
    pub signals: SignalTable,
    /// The services whose endpoints tolerate few rejections.
    pub brittle: BrittleServices,
    send_budgets: SendBudgets,
}

impl SendLimits {
    /// When an endpoint accepts another request from this VM.
    ///
    /// `is_holder` returns whether this VM is one of the endpoint's holders in a holder round.
    pub fn readiness(
        &mut self,
        query: SendQuery<'_>,
        is_holder: impl FnOnce(u64) -> bool,
        now: SystemTime,
    ) -> Readiness {
        let endpoint = query.endpoint;
        if self.signals.is_leaving(endpoint) {
            return Readiness::Never;
        }
        if let Some(left) = self.signals.backoff_left(endpoint, now) {
            return Readiness::After(left);
        }
        if let Some(left) = self.brittle.pause_left(&endpoint.id, now) {
            return Readiness::After(left);
        }
        if self.brittle.max_in_flight(endpoint, query.vms, now).is_some_and(|max| query.own_in_flight >= max) {
            return Readiness::After(IN_FLIGHT_RETRY_DELAY);
        }
        let Some((per_s, round)) = self.rate(query, now) else { return Readiness::Now };
        let Some(vms_revision) = query.vms_revision else { return Readiness::After(PEER_LIST_RETRY_DELAY) };
        let inputs = HolderInputs { vms_revision, round };
        let ready_in = self.send_budgets.time_until_ready(&endpoint.id, per_s, inputs, || is_holder(round), now);
        if ready_in.is_zero() { Readiness::Now } else { Readiness::After(ready_in) }
    }

    /// The requests per second that an endpoint accepts from all VMs together, and the current holder round; none if
    /// the endpoint has no limit.
    fn rate(&self, query: SendQuery<'_>, now: SystemTime) -> Option<(f64, u64)> {
        let endpoint = query.endpoint;
        let is_cold = || query.may_be_cold || self.cold.is_cold(&endpoint.id, now);
        let cold = (query.cold_per_s > 0.0 && is_cold()).then_some(query.cold_per_s);
        let Some(limit) = self.signals.limit(endpoint, now) else { return cold.map(|per_s| (per_s, 0)) };
        let per_s = limit.per_s.max(MIN_PER_S);
        Some((cold.map_or(per_s, |cold| cold.min(per_s)), holder_round(limit)))
    }

    /// The current holder round of an endpoint; 0 if it states no limit.
    pub fn holder_round(&self, endpoint: &ListedEndpoint, now: SystemTime) -> u64 {
        self.signals.limit(endpoint, now).map_or(0, holder_round)
    }

    /// Records the signal of an answer, and returns what changed; `is_whole` as for [`SignalTable::record_answer`].
    pub fn record_signal(
        &mut self,
        endpoint: &ListedEndpoint,
        signal: Signal,
        is_whole: bool,
        now: SystemTime,
    ) -> Vec<SignalChange> {
        let round = self.holder_round(endpoint, now);
        self.signals.record_answer(endpoint, signal, is_whole, round, now)
    }

    /// Reserves a request that is about to be sent to an endpoint; returns false if the endpoint accepts none now.
    pub fn try_reserve(&mut self, query: SendQuery<'_>, is_holder: impl FnOnce(u64) -> bool, now: SystemTime) -> bool {
        let is_ready = self.readiness(query, is_holder, now) == Readiness::Now;
        // Requests to an endpoint without a limit don't use up a budget.
        if is_ready && self.rate(query, now).is_some() {
            self.send_budgets.spend(&query.endpoint.id);
        }
        is_ready
    }

    /// Whether no endpoint is limited, given the rate that cold endpoints accept (0 if there is no such limit).
    pub fn is_unlimited(&self, cold_per_s: f64) -> bool {
        cold_per_s <= 0.0 && self.signals.is_empty() && self.brittle.is_empty()
    }

    /// Marks the listed endpoints as present, and drops expired state.
    pub fn retain_listed<'a>(&mut self, listed: impl Iterator<Item = &'a ListedEndpoint>, now: SystemTime) {
        self.cold.prune(now);
        self.signals.retain_listed(listed, now);
        self.send_budgets.prune(SEND_BUDGET_RETENTION, now);
    }
}

/// The current holder round of a limited endpoint: the round in which the limit was last stated, plus one for each full
/// round without an answer since then.
fn holder_round(limit: CurrentLimit) -> u64 {
    let round_s = HOLDER_ROUND.as_secs_f64().max(MIN_REQUESTS_PER_ROUND / limit.per_s.max(MIN_PER_S));
    limit.round.wrapping_add((limit.age.as_secs_f64() / round_s) as u64)
}
