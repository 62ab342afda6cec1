//! Congestion of a service: the time that its endpoints still need for the work that is waiting there.
//!
//! The work of a single request delays no other request, so that an endpoint with one request counts as idle. The
//! congestion of a service rises at once and falls slowly, because an answer that is generated again is work for
//! seconds, and the reports of other VMs are up to half a second old.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{ids::ServiceId, published::peers::Work};

/// Prompt tokens of the largest model that take an endpoint as long as the steps of a running generation delay the
/// other requests. It is the weight that the placement of requests uses.
const TOKENS_PER_REQUEST: f64 = 60.0;
/// Time in which the excess of earlier congestion falls to a third (1/e); between two and three reports of a VM.
const FALL_TIME: Duration = Duration::from_secs(1);
/// Time for which a measurement is used, for each endpoint that it covers: with 60 endpoints practically each request
/// measures, and with 10,000 at most ten a second, which bounds the processor time.
const USE_TIME_PER_ENDPOINT: Duration = Duration::from_micros(10);
/// Least coverage of reports by which work is extrapolated; below it too few VMs are known for an estimate.
const MIN_COVERAGE: f64 = 0.1;
/// Least time that a route grants for the work at an endpoint. A shorter longest pause is below the time that a single
/// prompt takes, so that it says nothing about congestion.
const MIN_GRANTED_TIME: Duration = Duration::from_millis(400);

/// Share of the work at an endpoint that VMs of its own failure domain send.
///
/// In a large fleet a VM knows little more than this part, and the bounds on congestion are stated for it. Two thirds of
/// the work come from other failure domains if a service has three of them, since the largest model is asked where the
/// prompt is cached.
const NEAR_WORK_SHARE: f64 = 1.0 / 3.0;

/// The known work at a usable endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWork<'a> {
    /// Failure domain of the endpoint.
    pub failure_domain: &'a str,
    /// Work of this VM.
    pub own: Work,
    /// Reported work of other VMs.
    pub reported: Work,
}

/// Mean work that waits at the endpoints of a failure domain, or at all endpoints if none is in it, in prompt tokens of
/// the largest model; 0 if there is no endpoint.
///
/// `coverage` is the share of the work of other VMs that is expected to be reported to this VM
/// ([`Peers::report_coverage`](crate::published::peers::Peers::report_coverage)).
///
/// ```
/// use havengrade_core::published::{
///     congestion::{EndpointWork, mean_waiting_tokens},
///     peers::Work,
/// };
///
/// let reported = Work { requests: 10, tokens: 2400, memory_tokens: 0 };
/// let busy = EndpointWork { failure_domain: "d1", own: Work::default(), reported };
/// let idle = EndpointWork { failure_domain: "d2", reported: Work::default(), ..busy };
/// assert_eq!(mean_waiting_tokens([busy, idle], "d1", 1.0), 3000.0);
/// assert_eq!(mean_waiting_tokens([busy, idle], "d2", 1.0), 0.0);
/// assert_eq!(mean_waiting_tokens([busy, idle], "d3", 1.0), 1500.0);
/// assert_eq!(mean_waiting_tokens([busy, idle], "d1", 0.5), 6000.0);
/// ```
pub fn mean_waiting_tokens<'a>(
    endpoints: impl IntoIterator<Item = EndpointWork<'a>>,
    failure_domain: &str,
    coverage: f64,
) -> f64 {
    let (mut near, mut all) = (Mean::default(), Mean::default());
    for endpoint in endpoints {
        let tokens = waiting_tokens(endpoint.own + extrapolated(endpoint.reported, coverage));
        all.add(tokens);
        if endpoint.failure_domain == failure_domain {
            near.add(tokens);
        }
    }
    near.value().or(all.value()).unwrap_or_default()
}

/// Mean work that waits at an endpoint, for a VM that receives each report and thus knows nearly all work, in prompt
/// tokens of the largest model; 0 if there is no endpoint.
///
/// It is the mean over all endpoints, since a small fleet has few of them in a failure domain, where one busy endpoint
/// would look like a shortage. Of the work, the part that VMs of a large fleet would know counts.
///
/// ```
/// use havengrade_core::published::{
///     congestion::{EndpointWork, mean_waiting_tokens_of_all},
///     peers::Work,
/// };
///
/// let reported = Work { requests: 10, tokens: 2400, memory_tokens: 0 };
/// let busy = EndpointWork { failure_domain: "d1", own: Work::default(), reported };
/// let idle = EndpointWork { failure_domain: "d2", reported: Work::default(), ..busy };
/// assert_eq!(mean_waiting_tokens_of_all([busy, idle]), 500.0);
/// ```
pub fn mean_waiting_tokens_of_all<'a>(endpoints: impl IntoIterator<Item = EndpointWork<'a>>) -> f64 {
    let mut mean = Mean::default();
    for endpoint in endpoints {
        mean.add(waiting_tokens(endpoint.own + endpoint.reported));
    }
    mean.value().unwrap_or_default() * NEAR_WORK_SHARE
}

/// The work of all other VMs, from the part of it that is reported.
fn extrapolated(reported: Work, coverage: f64) -> Work {
    let scaled = |count: u32| (f64::from(count) / coverage.max(MIN_COVERAGE)).round() as u32;
    Work { requests: scaled(reported.requests), tokens: scaled(reported.tokens), ..reported }
}

/// Work that a new request waits for at an endpoint, in prompt tokens of the largest model.
///
/// ```
/// use havengrade_core::published::{congestion::waiting_tokens, peers::Work};
///
/// assert_eq!(waiting_tokens(Work { requests: 2, tokens: 3000, memory_tokens: 0 }), 3120.0);
/// assert_eq!(waiting_tokens(Work { requests: 1, tokens: 3000, memory_tokens: 0 }), 0.0);
/// ```
pub fn waiting_tokens(work: Work) -> f64 {
    if work.requests <= 1 {
        return 0.0;
    }
    f64::from(work.tokens) + f64::from(work.requests) * TOKENS_PER_REQUEST
}

#[derive(Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    fn value(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

/// Congestion of a service for a route: the time that its endpoints need for the waiting work, as a share of the
/// longest pause that the route allows, or of its target if it sets none.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::congestion::congestion;
///
/// let (pause, target) = (Duration::from_millis(1200), Duration::from_secs(2));
/// assert_eq!(congestion(Duration::from_millis(300), Some(pause), target), 0.25);
/// assert_eq!(congestion(Duration::from_millis(300), None, target), 0.15);
/// ```
pub fn congestion(waiting: Duration, longest_pause: Option<Duration>, target: Duration) -> f64 {
    let granted = longest_pause.unwrap_or(target).max(MIN_GRANTED_TIME);
    waiting.as_secs_f64() / granted.as_secs_f64()
}

/// Waiting work of each service, as it was last measured and smoothed.
#[derive(Clone, Debug, Default)]
pub struct CongestionTracker {
    by_service: HashMap<ServiceId, Level>,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    tokens: f64,
    measured_at: SystemTime,
}

impl CongestionTracker {
    /// The waiting work of a service with this number of endpoints, unless it has to be measured again.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::congestion::CongestionTracker;
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut tracker = CongestionTracker::default();
    /// assert_eq!(tracker.current_tokens("models", 10_000, now), None);
    /// tracker.record("models", 2000.0, now);
    /// assert_eq!(tracker.current_tokens("models", 10_000, now + Duration::from_millis(50)), Some(2000.0));
    /// assert_eq!(tracker.current_tokens("models", 60, now + Duration::from_millis(50)), None);
    /// ```
    pub fn current_tokens(&self, service: &str, endpoints: usize, now: SystemTime) -> Option<f64> {
        let level = self.by_service.get(service)?;
        let use_time = USE_TIME_PER_ENDPOINT.saturating_mul(u32::try_from(endpoints).unwrap_or(u32::MAX));
        let age = now.duration_since(level.measured_at).ok()?;
        (age < use_time).then_some(level.tokens)
    }

    /// Records the mean waiting work of a service, and returns the smoothed one: it rises at once and falls slowly.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::congestion::CongestionTracker;
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut tracker = CongestionTracker::default();
    /// assert_eq!(tracker.record("models", 5000.0, now), 5000.0);
    /// assert!(tracker.record("models", 0.0, now + Duration::from_millis(400)) > 3000.0);
    /// assert!(tracker.record("models", 0.0, now + Duration::from_secs(5)) < 100.0);
    /// assert_eq!(tracker.record("models", 900.0, now + Duration::from_secs(5)), 900.0);
    /// ```
    pub fn record(&mut self, service: &str, measured: f64, now: SystemTime) -> f64 {
        let tokens = self.by_service.get(service).map_or(measured, |level| level.fall_to(measured, now));
        self.by_service.insert(service.to_owned(), Level { tokens, measured_at: now });
        tokens
    }
}

impl Level {
    fn fall_to(&self, measured: f64, now: SystemTime) -> f64 {
        let elapsed = now.duration_since(self.measured_at).unwrap_or_default();
        let left = (-elapsed.as_secs_f64() / FALL_TIME.as_secs_f64()).exp();
        measured + (self.tokens - measured).max(0.0) * left
    }
}
