//! Whether an endpoint takes another request from this VM now: by what it says of itself, and while it is cold.

use std::time::{Duration, SystemTime};

use crate::published::{
    cold::ColdEndpoints,
    directory::ListedEndpoint,
    send_budget::{HolderInputs, SendBudgets},
    signals::{CurrentLimit, Signal, SignalChange, SignalTable},
};

/// Least requests a second that are sent to an endpoint with a limit, so that somebody learns when it names none any longer.
const MIN_PER_S: f64 = 0.1;
/// Time without a word of a limited endpoint after which other VMs send to it: the holders may be gone, or have nothing to send.
const HOLDER_ROUND: Duration = Duration::from_secs(10);
/// Requests that the holders were to send in that time, at least.
const MIN_REQUESTS_PER_ROUND: f64 = 4.0;
/// Time until it is known which VMs may send to an endpoint that takes few requests.
const PEER_LIST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which it is forgotten what was sent to an endpoint; a multiple of the time in which that counts.
const SEND_BUDGET_RETENTION: Duration = Duration::from_secs(60);

/// Whether an endpoint takes another request from this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// It does.
    Now,
    /// It does after a time.
    After(Duration),
    /// It leaves.
    Never,
}

/// What is asked about an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SendQuery<'a> {
    /// The endpoint.
    pub endpoint: &'a ListedEndpoint,
    /// Requests a second that it bears while it is cold; 0 for any number.
    pub cold_per_s: f64,
    /// Whether it may be cold although its entry does not say so.
    pub may_be_cold: bool,
    /// Revision of the known VMs; none where this VM does not know the others yet, so that it can't tell whether it may send.
    pub vms_revision: Option<u64>,
}

/// What holds back requests to endpoints.
#[derive(Clone, Debug, Default)]
pub struct SendLimits {
    /// The endpoints that are cold.
    pub cold: ColdEndpoints,
    /// What endpoints said of themselves.
    pub signals: SignalTable,
    send_budgets: SendBudgets,
}

impl SendLimits {
    /// Whether an endpoint takes another request from this VM; `is_holder` tells for a round whether this VM is one of those that send to it.
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
        let Some((per_s, round)) = self.rate(query, now) else { return Readiness::Now };
        let Some(vms_revision) = query.vms_revision else { return Readiness::After(PEER_LIST_RETRY_DELAY) };
        let inputs = HolderInputs { vms_revision, round };
        let ready_in = self.send_budgets.time_until_ready(&endpoint.id, per_s, inputs, || is_holder(round), now);
        if ready_in.is_zero() { Readiness::Now } else { Readiness::After(ready_in) }
    }

    /// Requests a second that an endpoint takes from all VMs together, and whose round it is to send them; none where it takes any number.
    fn rate(&self, query: SendQuery<'_>, now: SystemTime) -> Option<(f64, u64)> {
        let endpoint = query.endpoint;
        let is_cold = || query.may_be_cold || self.cold.is_cold(&endpoint.id, now);
        let cold = (query.cold_per_s > 0.0 && is_cold()).then_some(query.cold_per_s);
        let Some(limit) = self.signals.limit(endpoint, now) else { return cold.map(|per_s| (per_s, 0)) };
        let per_s = limit.per_s.max(MIN_PER_S);
        Some((cold.map_or(per_s, |cold| cold.min(per_s)), holder_round(limit)))
    }

    /// Takes what an answer says of its endpoint; gives what changed. `is_whole` as for [`SignalTable::record_answer`].
    pub fn record_signal(
        &mut self,
        endpoint: &ListedEndpoint,
        signal: Signal,
        is_whole: bool,
        now: SystemTime,
    ) -> Vec<SignalChange> {
        let round = self.signals.limit(endpoint, now).map_or(0, holder_round);
        self.signals.record_answer(endpoint, signal, is_whole, round, now)
    }

    /// Takes the place of a request that is about to be sent to an endpoint; tells whether there was one.
    pub fn try_reserve(&mut self, query: SendQuery<'_>, is_holder: impl FnOnce(u64) -> bool, now: SystemTime) -> bool {
        let is_ready = self.readiness(query, is_holder, now) == Readiness::Now;
        // What is sent while the endpoint takes any number counts for nothing.
        if is_ready && self.rate(query, now).is_some() {
            self.send_budgets.spend(&query.endpoint.id);
        }
        is_ready
    }

    /// Whether nothing holds back requests to any endpoint, whose cold ones bear `cold_per_s` requests a second.
    pub fn is_unlimited(&self, cold_per_s: f64) -> bool {
        cold_per_s <= 0.0 && self.signals.is_empty()
    }

    /// Notes which endpoints are listed, and forgets what no longer holds.
    pub fn retain_listed<'a>(&mut self, listed: impl Iterator<Item = &'a ListedEndpoint>, now: SystemTime) {
        self.cold.prune(now);
        self.signals.retain_listed(listed, now);
        self.send_budgets.prune(SEND_BUDGET_RETENTION, now);
    }
}

/// Whose round it is to send to an endpoint: those who last heard of it go on, the next ones where nothing is heard for long.
fn holder_round(limit: CurrentLimit) -> u64 {
    let round_s = HOLDER_ROUND.as_secs_f64().max(MIN_REQUESTS_PER_ROUND / limit.per_s.max(MIN_PER_S));
    limit.round.wrapping_add((limit.age.as_secs_f64() / round_s) as u64)
}
