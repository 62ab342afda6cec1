//! One service's roll-out as a VM sees it: the phase of the new version, and the status to write.

use std::time::{Duration, SystemTime};

use crate::{
    ids::Incarnation,
    published::{
        answer_window::RecentAnswerCounts,
        attempt_outcome::{AttemptOutcome, AttemptTime, TimeKind},
        directory::SoftwareVersion,
        evidence_summary::EvidenceSummary,
        halt::{HaltDetector, HaltReason},
        rollout_order::{RolloutOrder, RolloutOutcome, RolloutStatus},
        rollout_report::{ReportedAnswerCounts, ReportedHalt},
        version_comparison::VersionComparison,
    },
    secret::uniform_hash,
};

/// Fraction of the bound on a bad version's requests that is used; the rest allows for sessions with more requests than
/// others.
const USED_SHARE_FRACTION: f64 = 0.87;
/// Length of the full-traffic phase at the end of an order's time, as a fraction of the bound.
///
/// Some versions are bad only under the load of all requests. The rest of the bound is for the trial before, so that
/// the requests of a bad version stay under the bound until its order's time is over.
const FULL_TRAFFIC_FRACTION: f64 = 0.45;
/// Time before the deadline at which the final status is written. 0.3 s was too late in measurements, since operators
/// poll the status at intervals.
const STATUS_WRITE_LEAD: Duration = Duration::from_millis(800);
/// Log odds up to which a version is not suspect, so that it may get full traffic and succeed.
const MAX_CLEAR_LOG_ODDS: f64 = 1.5;
/// Number of observed answers of a new version that full traffic requires. If half of the answers were eight times
/// slower, the tests took 26 of them to show it, as the mean of 60 simulated days.
const MIN_TRIAL_ANSWERS: f64 = 40.0;
/// Number of answers under full traffic that success requires, since some versions are bad only when they get all
/// requests. Of versions that fail three of ten requests, 92 of 100 show two failures or more in as many answers.
const MIN_FULL_TRAFFIC_ANSWERS: f64 = 12.0;
/// Fraction of the answers expected from the version's share of the traffic that suffices where the traffic is too low
/// for the numbers above.
const MIN_EXPECTED_FRACTION: f64 = 0.5;
/// Time after the deadline for which a version that has succeeded is monitored. After that it serves as the next
/// version's baseline.
const MONITORING_TIME: Duration = Duration::from_secs(3600);
/// Time from an order until sessions try the new version, in which VMs report to each other which sessions keep to the
/// old one.
const SESSION_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Time before full traffic from which all sessions of the old version are reported, so that their reports need not all
/// be sent at once when it begins.
const FULL_TRAFFIC_LEAD: Duration = Duration::from_secs(2);
/// Number of slots among which requests and sessions are evenly distributed, as the resolution of a share.
const SLOTS: u64 = 10_000;

/// The phase of a new version, which decides on its share of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No requests: the version is rolled back, or about to be.
    Halted,
    /// No requests yet.
    Waiting,
    /// A share of the requests and sessions.
    Trial,
    /// All requests, before the roll-out succeeds.
    FullTraffic,
    /// All requests: the roll-out has succeeded.
    Succeeded,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Halted => "halted",
            Self::Waiting => "waiting",
            Self::Trial => "trial",
            Self::FullTraffic => "take-over",
            Self::Succeeded => "succeeded",
        }
    }
}

/// A service's roll-out as this VM sees it.
#[derive(Clone, Debug)]
pub(super) struct ServiceRollout {
    pub(super) order: RolloutOrder,
    /// When this VM learned of the order.
    learned_at: SystemTime,
    /// When the first VM learned of the order, as far as is known. The order's duration counts from then.
    pub(super) started_at: SystemTime,
    pub(super) outcome: RolloutOutcome,
    /// The version of the order before, if that has succeeded.
    pub(super) replaced_version: Option<SoftwareVersion>,
    pub(super) versions: VersionComparison,
    halt_detector: HaltDetector,
    /// Since when there is enough evidence on the new version to give it full traffic.
    ready_since: Option<SystemTime>,
    /// When this VM saw the full-traffic phase begin, and the number of observed answers of the new version then.
    full_traffic_began: Option<(SystemTime, u64)>,
}

/// A status that should be written for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusUpdate {
    /// The status to write.
    pub status: RolloutStatus,
    /// The reason, for the log.
    pub reason: &'static str,
}

/// The operators' bounds on roll-outs and sessions.
#[derive(Clone, Copy, Debug)]
pub struct RolloutBounds {
    /// Largest share of a service's requests that a bad version may get.
    pub max_share: f64,
    /// Idle time after which a session ends, so that its next request starts a new one.
    pub session_idle_timeout: Duration,
}

impl ServiceRollout {
    /// An order that this VM learned of at `now`.
    pub(super) fn new(order: RolloutOrder, outcome: RolloutOutcome, now: SystemTime) -> Self {
        Self {
            versions: VersionComparison::new(order.service.clone(), order.version.clone()),
            halt_detector: HaltDetector::default(),
            order,
            learned_at: now,
            started_at: now,
            outcome,
            replaced_version: None,
            ready_since: Some(now),
            full_traffic_began: None,
        }
    }

    /// Whether the version is monitored: while its roll-out is in progress, and for some time after it has succeeded.
    pub(super) fn is_monitored(&self, now: SystemTime) -> bool {
        match self.outcome {
            RolloutOutcome::Running => true,
            RolloutOutcome::Succeeded => now < self.started_at + self.order.duration + MONITORING_TIME,
            RolloutOutcome::RolledBack => false,
        }
    }

    /// Whether the version is halted, so that it gets no more requests.
    pub(super) fn is_halted(&self) -> bool {
        self.outcome == RolloutOutcome::RolledBack || self.halt_detector.halt(self.outcome).is_some()
    }

    /// Applies a halt that another VM reported. Returns whether it is new.
    pub(super) fn merge_halt(&mut self, halt: HaltReason) -> bool {
        self.outcome != RolloutOutcome::RolledBack && self.halt_detector.merge_halt(halt, self.outcome)
    }

    /// The halt of the version, for reports to other VMs; none once the rollback is written.
    pub(super) fn reported_halt(&self) -> Option<ReportedHalt> {
        let halt = self.halt_detector.halt(self.outcome)?;
        Some(ReportedHalt { service: self.order.service.clone(), version: self.order.version.clone(), reason: halt })
    }

    /// The phase of the new version for plain requests or for sessions.
    pub(super) fn phase(&self, bounds: RolloutBounds, is_session: bool, now: SystemTime) -> Phase {
        if self.is_halted() {
            return Phase::Halted;
        }
        if self.outcome == RolloutOutcome::Succeeded {
            return Phase::Succeeded;
        }
        if self.full_traffic_at(bounds).is_some_and(|at| now >= at) {
            return Phase::FullTraffic;
        }
        // Sessions that began before the order keep to the old version, and the reports on them must arrive first.
        let is_early = now < self.learned_at + SESSION_TRIAL_DELAY;
        if is_session && is_early { Phase::Waiting } else { Phase::Trial }
    }

    /// When the new version gets full traffic; `None` while there is too little evidence on it, or while it is suspect.
    fn full_traffic_at(&self, bounds: RolloutBounds) -> Option<SystemTime> {
        let planned = self.started_at + self.order.duration.mul_f64(1.0 - self.full_traffic_time_fraction(bounds));
        Some(planned.max(self.ready_since?))
    }

    /// Number of slots whose requests or sessions try the new version. Sessions begin later than plain requests.
    pub(super) fn trial_slots(&self, bounds: RolloutBounds, is_session: bool) -> u64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let delay = if is_session { SESSION_TRIAL_DELAY.as_secs_f64() / duration } else { 0.0 };
        let full_traffic = self.full_traffic_time_fraction(bounds);
        let trial = (1.0 - delay - full_traffic).max(bounds.max_share);
        let share = (USED_SHARE_FRACTION * bounds.max_share - full_traffic) / trial;
        (share.max(0.0) * SLOTS as f64) as u64
    }

    /// Whether live sessions may keep to another version than new sessions are given: while the roll-out is in
    /// progress, and until the last sessions of the old version have ended.
    pub(super) fn may_have_mixed_sessions(&self, bounds: RolloutBounds, now: SystemTime) -> bool {
        let last_session_end = self.started_at + self.order.duration + bounds.session_idle_timeout;
        !self.is_halted() && (self.outcome == RolloutOutcome::Running || now < last_session_end)
    }

    /// Whether a VM that does not know a session would move it away from `version`, which served it last.
    pub(super) fn would_move_session(
        &self,
        session: &str,
        version: &str,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> bool {
        if version == self.order.version {
            return false;
        }
        match self.phase(bounds, true, now) {
            Phase::Halted => false,
            Phase::FullTraffic | Phase::Succeeded => true,
            Phase::Waiting | Phase::Trial => {
                let is_older = self.replaced_version.as_deref().is_some_and(|replaced| replaced != version);
                is_older || slot_of(session) < self.trial_slots(bounds, true)
            },
        }
    }

    /// Whether other VMs must know of a session that `version` served at `last_used`: they would move it now, or once
    /// full traffic begins. Another order may follow then, so that the session keeps to its version after all.
    pub(super) fn must_report_session(
        &self,
        session: &str,
        version: &str,
        last_used: SystemTime,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> bool {
        if self.would_move_session(session, version, bounds, now) {
            return true;
        }
        let is_near_full_traffic = self.full_traffic_at(bounds).is_some_and(|at| last_used + FULL_TRAFFIC_LEAD >= at);
        is_near_full_traffic && version != self.order.version && !self.is_halted()
    }

    /// Length of the full-traffic phase before the deadline, as a fraction of the order's duration.
    fn full_traffic_time_fraction(&self, bounds: RolloutBounds) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let write_lead = STATUS_WRITE_LEAD.as_secs_f64() / duration;
        (FULL_TRAFFIC_FRACTION * bounds.max_share).max(write_lead).min(1.0)
    }

    /// Counts the outcome of an attempt that this VM, of incarnation `own`, made.
    pub(super) fn record_outcome(&mut self, outcome: &AttemptOutcome<'_>, own: Incarnation, now: SystemTime) {
        if outcome.version == self.order.version && outcome.is_error() {
            self.halt_detector.record(outcome.endpoint, true, now);
        }
        self.versions.record_outcome(outcome, own);
    }

    /// Counts a time of an attempt that this VM, of incarnation `own`, made.
    pub(super) fn record_time(&mut self, time: &AttemptTime<'_>, own: Incarnation, now: SystemTime) {
        if time.version == self.order.version && matches!(time.of, TimeKind::FirstByte { .. }) {
            self.halt_detector.record(time.endpoint, false, now);
        }
        self.versions.record_time(time, own);
    }

    /// The recent answers of a version that has succeeded, for reports to other VMs.
    pub(super) fn reported_counts(&self, now: SystemTime) -> Option<ReportedAnswerCounts> {
        let is_needed = self.outcome == RolloutOutcome::Succeeded && self.is_monitored(now);
        is_needed.then(|| ReportedAnswerCounts {
            service: self.order.service.clone(),
            counts: self.halt_detector.recent_counts(now),
        })
    }

    /// Merges the recent answers that another VM reported.
    pub(super) fn merge_counts(&mut self, from: Incarnation, counts: RecentAnswerCounts, now: SystemTime) {
        self.halt_detector.merge_counts(from, counts, now);
    }

    /// Evaluates the evidence that is known at `now`. Returns a halt if there is a new one.
    pub(super) fn evaluate(&mut self, bounds: RolloutBounds, now: SystemTime) -> Option<ReportedHalt> {
        if !self.is_monitored(now) || self.is_halted() {
            return None;
        }
        self.halt_detector.evaluate(&mut self.versions, self.outcome, now);
        let is_ready = self.has_enough_evidence(bounds) && !self.is_suspect();
        self.ready_since = is_ready.then(|| self.ready_since.unwrap_or(now));
        let has_full_traffic = self.phase(bounds, false, now) == Phase::FullTraffic;
        let observed = self.versions.observed_starts().0;
        self.full_traffic_began = has_full_traffic.then(|| self.full_traffic_began.unwrap_or((now, observed)));
        self.reported_halt()
    }

    /// Whether there is too much evidence against the version for full traffic or success, even if too little to halt
    /// it.
    fn is_suspect(&self) -> bool {
        self.halt_detector.log_odds().max(self.halt_detector.degradation_log_odds(self.outcome)) > MAX_CLEAR_LOG_ODDS
    }

    /// Whether enough answers of the new version were observed to give it full traffic.
    fn has_enough_evidence(&self, bounds: RolloutBounds) -> bool {
        let share = self.trial_slots(bounds, false) as f64 / SLOTS as f64;
        let (new, all) = self.versions.observed_starts();
        is_enough(new, MIN_TRIAL_ANSWERS, share * all as f64)
    }

    /// Whether enough answers were observed since the new version got full traffic.
    fn has_served_full_traffic(&self, now: SystemTime) -> bool {
        let Some((began, observed)) = self.full_traffic_began else { return false };
        let seconds = |from: SystemTime| now.duration_since(from).unwrap_or_default().as_secs_f64();
        let (new, all) = self.versions.observed_starts();
        let expected = all as f64 * seconds(began) / seconds(self.learned_at).max(f64::MIN_POSITIVE);
        is_enough(new.saturating_sub(observed), MIN_FULL_TRAFFIC_ANSWERS, expected)
    }

    /// A summary of the evidence that is known at `now`.
    pub(super) fn evidence_summary(&self, bounds: RolloutBounds, now: SystemTime) -> EvidenceSummary {
        let (new, old) = self.versions.total_counts();
        EvidenceSummary {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            phase: self.phase(bounds, false, now).name(),
            age: now.duration_since(self.started_at).unwrap_or_default(),
            log_odds: self.halt_detector.log_odds(),
            degradation_log_odds: self.halt_detector.degradation_log_odds(self.outcome),
            new,
            old,
            writers: self.versions.writer_count(),
        }
    }

    /// The status that should be written at `now`, unless it is written already.
    pub(super) fn status_update(&self, written: Option<&RolloutStatus>, now: SystemTime) -> Option<StatusUpdate> {
        let is_due = now + STATUS_WRITE_LEAD >= self.started_at + self.order.duration;
        let (outcome, reason) = if self.is_halted() {
            let halt = self.halt_detector.halt(self.outcome);
            (RolloutOutcome::RolledBack, halt.map_or("it was rolled back", HaltReason::description))
        } else if self.outcome == RolloutOutcome::Succeeded || (is_due && self.has_served_full_traffic(now)) {
            (RolloutOutcome::Succeeded, "the new version took all requests and is as good as the old one")
        } else {
            (RolloutOutcome::Running, "the order was taken up")
        };
        let status =
            RolloutStatus { service: self.order.service.clone(), version: self.order.version.clone(), outcome };
        (written != Some(&status)).then_some(StatusUpdate { status, reason })
    }
}

/// Whether a number of answers suffices, if `wanted` are required and `expected` were expected from the traffic.
fn is_enough(answers: u64, wanted: f64, expected: f64) -> bool {
    answers as f64 >= wanted.min(MIN_EXPECTED_FRACTION * expected).floor()
}

/// The slot of a request or session: evenly distributed, and the same on every VM and for every order.
pub(super) fn slot_of(subject: &str) -> u64 {
    uniform_hash(&[subject]) % SLOTS
}
