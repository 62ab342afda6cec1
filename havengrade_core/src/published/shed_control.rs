//! The share of the offered work of a service that is refused in a shortage, and its division among priorities.
//!
//! For each priority, a controller compares the time that requests are expected to wait at their endpoints soon with the
//! time that they may wait without missing their target. Once the expected wait exceeds this time, the controller refuses
//! as much of the offered work as keeps the wait below it. The least urgent requests are refused first; a request is
//! refused for the sake of its own priority or a more urgent one only.
//!
//! What an endpoint can do is not known beforehand. The wait grows by the work that is admitted and shortens by a second per
//! second, so that its growth and the admitted share tell the offered work as a multiple of the capacity.

use std::time::{Duration, SystemTime};

use crate::published::decaying_sum::DecayingSum;

/// Number of priorities that are told apart; higher ones count as the last.
const PRIORITIES: usize = 8;
/// Expected relative wait above which a shortage begins; the margin covers the error of the expected time.
const START_PRESSURE: f64 = 1.1;
/// Relative wait that the controller aims at, below 1 so that the requests that are sent are in time. No shortage begins
/// while the wait is below it, however fast it grows.
const GOAL_PRESSURE: f64 = 0.6;
/// Relative wait below which a shortage ends.
///
/// A VM takes its own admitted share for that of all VMs. If it still refuses while the others have ended, it takes the
/// load of their requests for what is left beside refusals like its own, and would go on.
const END_PRESSURE: f64 = 0.5;
/// Age of the reports that show the work of other VMs; what was sent since is not yet part of the wait.
const REPORT_AGE: Duration = Duration::from_millis(400);
/// Time over which the wait is averaged, since it differs between endpoints.
const SMOOTHING_TIME: Duration = Duration::from_millis(200);
/// Age of the averaged wait.
const WAIT_AGE: Duration = REPORT_AGE.saturating_add(SMOOTHING_TIME);
/// Time over which the growth of the wait is measured.
const GROWTH_TIME: Duration = Duration::from_millis(500);
/// Time in which a wait above the goal is brought to it; with one near the age of the wait, it swings.
const CORRECTION_TIME: Duration = Duration::from_millis(1000);
/// The same for a wait below the goal, where requests are refused that would be in time.
const RECOVERY_TIME: Duration = Duration::from_millis(500);
/// Fastest intended shortening of the wait in seconds per second. The rest of the endpoints' time goes to new requests, so
/// that a long wait does not stop the service to less urgent ones.
const MAX_DRAIN: f64 = 0.3;
/// Range of the offered work as a multiple of the capacity, so that a wrong estimate of the wait can't refuse everything.
const LOAD_RANGE: (f64, f64) = (0.5, 3.0);
/// Weight of the latest request in the mean prompt and target of a priority.
const LATEST_WEIGHT: f64 = 0.1;
/// Part of the target that a prompt must leave for waiting; a priority whose prompts take longer can't be helped by
/// refusals.
const MIN_SLACK_PART: f64 = 0.1;
/// Time without requests after which a priority is ignored.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// A generation as the controller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedWork {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time in which an average endpoint reads its prompt.
    pub read_time: Duration,
    /// Time in which its first event should arrive.
    pub target: Duration,
    /// Time that it would wait at its endpoint before its prompt is read.
    pub wait: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct PriorityState {
    offered: DecayingSum,
    read_time: Duration,
    target: Duration,
    last_request: Option<SystemTime>,
    is_short: bool,
    shed: f64,
}

impl PriorityState {
    fn record(&mut self, work: OfferedWork, now: SystemTime) {
        let is_first = !self.is_active(now);
        let weight = if is_first { 1.0 } else { LATEST_WEIGHT };
        self.read_time = mix(self.read_time, work.read_time, weight);
        self.target = mix(self.target, work.target, weight);
        self.offered.add(work.read_time.as_secs_f64(), now);
        self.last_request = Some(now);
    }

    fn is_active(&self, now: SystemTime) -> bool {
        self.last_request.is_some_and(|at| now < at + IDLE_TIME)
    }

    /// Time that a request may wait and still be in time; none if its prompt alone takes too long.
    fn slack(&self) -> Option<Duration> {
        let slack = self.target.saturating_sub(self.read_time);
        (slack > self.target.mul_f64(MIN_SLACK_PART)).then_some(slack)
    }

    /// Updates the share of all offered work that is refused for the sake of this priority.
    fn update(&mut self, expected: Expectation) {
        self.shed = self.slack().map_or(0.0, |slack| self.share_to_refuse(slack.as_secs_f64(), expected));
        self.is_short = self.shed > 0.0;
    }

    fn share_to_refuse(&self, slack_s: f64, expected: Expectation) -> f64 {
        let excess_s = expected.wait_s - slack_s * GOAL_PRESSURE;
        let begins = excess_s > 0.0 && expected.wait_s_after(CORRECTION_TIME) > slack_s * START_PRESSURE;
        let goes_on = self.is_short && expected.wait_s > slack_s * END_PRESSURE;
        if !begins && !goes_on {
            return 0.0;
        }
        let time = if excess_s < 0.0 { RECOVERY_TIME } else { CORRECTION_TIME };
        let intended_growth = (-excess_s / time.as_secs_f64()).max(-MAX_DRAIN);
        (1.0 - (1.0 + intended_growth) / expected.load).clamp(0.0, 1.0)
    }
}

fn mix(mean: Duration, latest: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + latest.mul_f64(weight)
}

/// What follows for the present from the reported wait and from what was admitted since.
#[derive(Clone, Copy, Debug)]
struct Expectation {
    /// Time in seconds that a request would wait.
    wait_s: f64,
    /// Growth of the wait in seconds per second.
    growth: f64,
    /// Offered work as a multiple of the capacity.
    load: f64,
}

impl Expectation {
    fn wait_s_after(&self, time: Duration) -> f64 {
        self.wait_s + self.growth * time.as_secs_f64()
    }
}

/// The reported wait in seconds, and the share of the offered work that was admitted.
#[derive(Clone, Copy, Debug)]
struct Trend {
    /// Wait averaged over [`SMOOTHING_TIME`].
    wait_s: f64,
    /// The same, averaged over [`GROWTH_TIME`] in turn; a steady growth keeps it behind by what is added in that time.
    earlier_wait_s: f64,
    /// Share admitted in about the time since the wait was as it is seen now.
    admitted: f64,
    /// The same, averaged over [`GROWTH_TIME`] in turn: the share that was admitted while the wait grew.
    earlier_admitted: f64,
    updated_at: SystemTime,
}

impl Trend {
    fn new(wait: Duration, now: SystemTime) -> Self {
        let wait_s = wait.as_secs_f64();
        Self { wait_s, earlier_wait_s: wait_s, admitted: 1.0, earlier_admitted: 1.0, updated_at: now }
    }

    fn record(&mut self, wait: Duration, admitted: f64, now: SystemTime) {
        let elapsed = now.duration_since(self.updated_at).unwrap_or_default();
        let average = |mean: &mut f64, latest: f64, time: Duration| {
            *mean += (latest - *mean) * (1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp());
        };
        average(&mut self.wait_s, wait.as_secs_f64(), SMOOTHING_TIME);
        average(&mut self.earlier_wait_s, self.wait_s, GROWTH_TIME);
        average(&mut self.admitted, admitted, WAIT_AGE);
        average(&mut self.earlier_admitted, self.admitted, GROWTH_TIME);
        self.updated_at = now;
    }

    fn expect(&self) -> Expectation {
        let seen_growth = (self.wait_s - self.earlier_wait_s) / GROWTH_TIME.as_secs_f64();
        let (min_load, max_load) = LOAD_RANGE;
        let load = ((1.0 + seen_growth) / self.earlier_admitted.max(f64::MIN_POSITIVE)).clamp(min_load, max_load);
        let growth = self.admitted * load - 1.0;
        let wait_s = (self.wait_s + growth * WAIT_AGE.as_secs_f64()).max(0.0);
        Expectation { wait_s, growth, load }
    }
}

/// The controllers of a service.
#[derive(Clone, Debug, Default)]
pub struct ShedControl {
    priorities: [PriorityState; PRIORITIES],
    trend: Option<Trend>,
}

impl ShedControl {
    /// Records an offered request and the wait that it would meet, and updates all controllers.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::shed_control::{OfferedWork, ShedControl};
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let (read_time, target) = (Duration::from_millis(100), Duration::from_secs(2));
    /// let mut control = ShedControl::default();
    /// control.observe(OfferedWork { priority: 1, read_time, target, wait: Duration::from_secs(1) }, now);
    /// assert_eq!(control.refused_share(1, now), 0.0);
    /// control.observe(OfferedWork { priority: 0, read_time, target, wait: Duration::from_secs(9) }, now + target);
    /// assert!(control.refused_share(1, now + target) > 0.0);
    /// ```
    pub fn observe(&mut self, work: OfferedWork, now: SystemTime) {
        if let Some(state) = self.priorities.get_mut(index(work.priority)) {
            state.record(work, now);
        }
        let admitted = 1.0 - self.total_refused_share(now);
        let trend = self.trend.get_or_insert_with(|| Trend::new(work.wait, now));
        trend.record(work.wait, admitted, now);
        let expected = trend.expect();
        for state in &mut self.priorities {
            state.update(expected);
        }
    }

    /// The share of all offered work that is to be refused.
    fn total_refused_share(&self, now: SystemTime) -> f64 {
        let offered = |state: &PriorityState| state.offered.value(now);
        let total: f64 = self.priorities.iter().map(offered).sum();
        let refused = |(priority, state)| offered(state) * self.refused_share(priority, now);
        (0u8..).zip(&self.priorities).map(refused).sum::<f64>() / total.max(f64::MIN_POSITIVE)
    }

    /// The share of the requests of a priority that are to be refused.
    pub fn refused_share(&self, priority: u8, now: SystemTime) -> f64 {
        let offered = |state: &PriorityState| state.offered.value(now);
        let total: f64 = self.priorities.iter().map(offered).sum();
        let own_offered = self.priorities.get(index(priority)).map_or(0.0, offered);
        if own_offered <= 0.0 {
            return 0.0;
        }
        let less_urgent: f64 = self.priorities.iter().skip(index(priority) + 1).map(offered).sum();
        let shed = self.up_to(priority, now).map(|state| state.shed).fold(0.0, f64::max);
        ((shed * total - less_urgent) / own_offered).clamp(0.0, 1.0)
    }

    /// The wait below which no request of this priority is refused any longer.
    pub fn goal_wait(&self, priority: u8, now: SystemTime) -> Duration {
        let slack = self.up_to(priority, now).filter_map(PriorityState::slack).min().unwrap_or_default();
        slack.mul_f64(GOAL_PRESSURE)
    }

    /// The priorities that had requests, each with the share that is refused.
    pub fn refused_shares(&self, now: SystemTime) -> Vec<(u8, f64)> {
        let used = self.priorities.iter().zip(0u8..).filter(|(state, _)| state.last_request.is_some());
        used.map(|(_, priority)| (priority, self.refused_share(priority, now))).collect()
    }

    /// The active priorities that are at least as urgent as this one.
    fn up_to(&self, priority: u8, now: SystemTime) -> impl Iterator<Item = &PriorityState> {
        self.priorities.iter().take(index(priority) + 1).filter(move |state| state.is_active(now))
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
