//! The share of the offered work of a service that is refused in a shortage, and its division among priorities.
//!
//! For each priority, a controller compares the time that a request waits at its endpoint with the time that it may
//! wait without missing its target. Once the wait exceeds this time, the controller refuses as much of the offered work
//! as keeps the wait below it. The least urgent requests are refused first; a request is refused for the sake of its own
//! priority or a more urgent one only. What an endpoint can do is not known beforehand: the share at which the wait
//! stays constant is the excess of the offered work over the capacity.

use std::time::{Duration, SystemTime};

use crate::published::decaying_sum::DecayingSum;

/// Number of priorities that are told apart; higher ones count as the last.
const PRIORITIES: usize = 8;
/// Relative wait above which a shortage begins; the margin covers the error of the expected time.
const START_PRESSURE: f64 = 1.1;
/// Relative wait that the controller aims at, below 1 so that the requests that are sent are in time.
const GOAL_PRESSURE: f64 = 0.6;
/// Share of the work that is refused at once for each unit of the relative wait above the goal.
const PROPORTIONAL_GAIN: f64 = 0.8;
/// Share by which the refused work rises per second and unit of the relative wait above the goal.
///
/// Reports are up to half a second old, so that higher values make the wait swing.
const RISE_PER_S: f64 = 0.2;
/// The same if the relative wait is below the goal, so that refusals end soon once the shortage is over.
const FALL_PER_S: f64 = 1.0;
/// Highest relative wait that is taken into account, so that a single estimate can't refuse everything.
const MAX_PRESSURE: f64 = 3.0;
/// Longest time that a single observation stands for: that between two requests at a VM that
/// receives few.
const MAX_STEP: Duration = Duration::from_millis(2000);
/// Time over which the wait is averaged, since it differs between endpoints.
const SMOOTHING_TIME: Duration = Duration::from_millis(200);
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
    integral: f64,
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

    fn update(&mut self, wait: Duration, elapsed: Duration) {
        let Some(slack) = self.slack() else {
            (self.is_short, self.integral, self.shed) = (false, 0.0, 0.0);
            return;
        };
        let pressure = (wait.as_secs_f64() / slack.as_secs_f64()).min(MAX_PRESSURE);
        self.is_short |= pressure > START_PRESSURE;
        if !self.is_short {
            return;
        }
        let error = pressure - GOAL_PRESSURE;
        let rate = if error < 0.0 { FALL_PER_S } else { RISE_PER_S };
        let change = error * rate * elapsed.min(MAX_STEP).as_secs_f64();
        self.integral = (self.integral + change).clamp(0.0, 1.0);
        self.shed = (self.integral + error * PROPORTIONAL_GAIN).clamp(0.0, 1.0);
        self.is_short = error > 0.0 || self.integral > 0.0;
    }
}

fn mix(mean: Duration, latest: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + latest.mul_f64(weight)
}

/// The controllers of a service.
#[derive(Clone, Debug, Default)]
pub struct ShedControl {
    priorities: [PriorityState; PRIORITIES],
    wait: Duration,
    updated_at: Option<SystemTime>,
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
        let elapsed = self.updated_at.map(|at| now.duration_since(at).unwrap_or_default());
        let weight = elapsed.map_or(1.0, |elapsed| 1.0 - (-elapsed.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp());
        self.wait = mix(self.wait, work.wait, weight);
        self.updated_at = Some(now);
        for state in &mut self.priorities {
            state.update(self.wait, elapsed.unwrap_or_default());
        }
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
