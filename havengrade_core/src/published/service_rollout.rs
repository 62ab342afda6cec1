//! One roll-out as a VM sees it: how far the new version is trusted, and when it is judged.

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

/// Part of the bound on a bad version that is used; the rest is for sessions that ask more than others.
const USED_BOUND: f64 = 0.87;
/// Part of an order's time, as a part of the bound, at whose end the new version takes all requests.
///
/// Some versions are bad only under the load of all requests. What is left of the bound is for the trial
/// before, so that what a bad version gets until its order's time is over stays under the bound.
const TAKE_OVER: f64 = 0.45;
/// Time before the deadline at which the end is written; 0.3 s before it was measured to be too late, since
/// operators look only now and then.
const WRITE_AHEAD: Duration = Duration::from_millis(800);
/// Odds up to which a version is not under suspicion, so that it may take over and succeed.
const SUSPICION: f64 = 1.5;
/// Answers of a new version that must be known before it takes over: where half of the answers were eight times slower, bets
/// took 26 of them to win, in the mean over 60 simulated days.
const TRIAL_ANSWERS: f64 = 40.0;
/// Answers that must be known from after its take-over before it has succeeded, since some versions are bad only when they have
/// all requests: of one that fails three of ten, 92 of 100 show two failures or more in as many.
const TAKE_OVER_ANSWERS: f64 = 12.0;
/// Part of the answers that the version's share of the traffic should give which must be known at least, where the traffic is too
/// small for the numbers above.
const NEEDED_PART: f64 = 0.5;
/// Time after the deadline for which a version that has succeeded is watched; after that it is what the next one is
/// compared with.
const WATCH: Duration = Duration::from_secs(3600);
/// Time after an order from which sessions try the new version: until then VMs tell each other which sessions
/// keep to the old one.
const SESSION_WAIT: Duration = Duration::from_secs(2);
/// Slots of a share; subjects fall evenly on them.
const SLOTS: u64 = 10_000;

/// How far a new version is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It gets nothing: it is rolled back, or about to be.
    Halted,
    /// It gets nothing yet.
    Waiting,
    /// Some subjects try it.
    Trial,
    /// It gets everything, and is about to succeed.
    TakeOver,
    /// It gets everything.
    Succeeded,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Halted => "halted",
            Self::Waiting => "waiting",
            Self::Trial => "trial",
            Self::TakeOver => "take-over",
            Self::Succeeded => "succeeded",
        }
    }
}

/// A roll-out as this VM sees it.
#[derive(Clone, Debug)]
pub(super) struct ServiceRollout {
    pub(super) order: RolloutOrder,
    /// When this VM learned of the order.
    since: SystemTime,
    /// When the first VM learned of it, as far as is known; its time counts from then.
    pub(super) began: SystemTime,
    pub(super) outcome: RolloutOutcome,
    /// The version that an earlier order brought, where that has succeeded.
    pub(super) replaces: Option<SoftwareVersion>,
    pub(super) versions: VersionComparison,
    judgement: HaltDetector,
    /// Since when enough is known of the new version for it to take over.
    ready_since: Option<SystemTime>,
    /// When this VM saw the new version take over, and how many of its answers were known then.
    took_over: Option<(SystemTime, u64)>,
}

/// What should be written for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusUpdate {
    /// The status to write.
    pub status: RolloutStatus,
    /// Why, for the log.
    pub reason: &'static str,
}

/// The operators' bounds on roll-outs and sessions.
#[derive(Clone, Copy, Debug)]
pub struct RolloutBounds {
    /// Largest share of a service's requests that a bad version may get.
    pub max_share: f64,
    /// Pause after which a session's next request no longer belongs to it.
    pub session_idle_timeout: Duration,
}

impl ServiceRollout {
    /// An order that this VM learned of at `now`.
    pub(super) fn new(order: RolloutOrder, outcome: RolloutOutcome, now: SystemTime) -> Self {
        Self {
            versions: VersionComparison::new(order.service.clone(), order.version.clone()),
            judgement: HaltDetector::default(),
            order,
            since: now,
            began: now,
            outcome,
            replaces: None,
            ready_since: Some(now),
            took_over: None,
        }
    }

    /// Whether the version is judged: while its order is under way, and for some time after it has succeeded.
    pub(super) fn is_watched(&self, now: SystemTime) -> bool {
        match self.outcome {
            RolloutOutcome::Running => true,
            RolloutOutcome::Succeeded => now < self.began + self.order.duration + WATCH,
            RolloutOutcome::RolledBack => false,
        }
    }

    /// Whether the version gets nothing more.
    pub(super) fn is_halted(&self) -> bool {
        self.outcome == RolloutOutcome::RolledBack || self.judgement.halt(self.outcome).is_some()
    }

    /// Takes it from another VM that the version is to get nothing more; tells whether that is new.
    pub(super) fn learn_halt(&mut self, halt: HaltReason) -> bool {
        self.outcome != RolloutOutcome::RolledBack && self.judgement.learn(halt, self.outcome)
    }

    /// Why the version gets nothing more, for the others; not once it is written.
    pub(super) fn told_halt(&self) -> Option<ReportedHalt> {
        let halt = self.judgement.halt(self.outcome)?;
        Some(ReportedHalt { service: self.order.service.clone(), version: self.order.version.clone(), reason: halt })
    }

    /// How far the new version is trusted.
    pub(super) fn phase(&self, bounds: RolloutBounds, is_session: bool, now: SystemTime) -> Phase {
        if self.is_halted() {
            return Phase::Halted;
        }
        if self.outcome == RolloutOutcome::Succeeded {
            return Phase::Succeeded;
        }
        if self.takes_over_at(bounds).is_some_and(|at| now >= at) {
            return Phase::TakeOver;
        }
        // Sessions that began before the order keep to the old version; other VMs must learn of them first.
        let is_early = now < self.since + SESSION_WAIT;
        if is_session && is_early { Phase::Waiting } else { Phase::Trial }
    }

    /// When the new version takes all requests; not while too little is known of it, or nothing good.
    fn takes_over_at(&self, bounds: RolloutBounds) -> Option<SystemTime> {
        let planned = self.began + self.order.duration.mul_f64(1.0 - self.take_over(bounds));
        Some(planned.max(self.ready_since?))
    }

    /// Slots of subjects that try the new version; sessions begin later than other requests.
    pub(super) fn slots(&self, bounds: RolloutBounds, is_session: bool) -> u64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let waited = if is_session { SESSION_WAIT.as_secs_f64() / duration } else { 0.0 };
        let take_over = self.take_over(bounds);
        let trial = (1.0 - waited - take_over).max(bounds.max_share);
        let share = (USED_BOUND * bounds.max_share - take_over) / trial;
        (share.max(0.0) * SLOTS as f64) as u64
    }

    /// Whether there may be sessions of other versions than the one that new sessions are given: while the order is under way, and until
    /// the last sessions of the version before have ended.
    pub(super) fn moves_sessions(&self, bounds: RolloutBounds, now: SystemTime) -> bool {
        let last = self.began + self.order.duration + bounds.session_idle_timeout;
        !self.is_halted() && (self.outcome == RolloutOutcome::Running || now < last)
    }

    /// Whether a session that was last served by a version would be given another one by a VM that does not know it.
    pub(super) fn surprises(&self, session: &str, version: &str, bounds: RolloutBounds, now: SystemTime) -> bool {
        if version == self.order.version {
            return false;
        }
        match self.phase(bounds, true, now) {
            Phase::Halted => false,
            Phase::TakeOver | Phase::Succeeded => true,
            Phase::Waiting | Phase::Trial => {
                let is_older = self.replaces.as_deref().is_some_and(|replaced| replaced != version);
                is_older || place(session) < self.slots(bounds, true)
            },
        }
    }

    /// Part of the order's time for which the new version has all requests before the deadline.
    fn take_over(&self, bounds: RolloutBounds) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let written = WRITE_AHEAD.as_secs_f64() / duration;
        (TAKE_OVER * bounds.max_share).max(written).min(1.0)
    }

    /// Counts the end of a try that this VM, of run `own`, made.
    pub(super) fn note(&mut self, sample: &AttemptOutcome<'_>, own: Incarnation, now: SystemTime) {
        if sample.version == self.order.version && sample.is_error() {
            self.judgement.note(sample.endpoint, true, now);
        }
        self.versions.note(sample, own);
    }

    /// Counts a time of a try that this VM, of run `own`, made.
    pub(super) fn note_time(&mut self, note: &AttemptTime<'_>, own: Incarnation, now: SystemTime) {
        if note.version == self.order.version && matches!(note.of, TimeKind::FirstByte { .. }) {
            self.judgement.note(note.endpoint, false, now);
        }
        self.versions.note_time(note, own);
    }

    /// What this VM saw lately of a version that has succeeded.
    pub(super) fn tell_recent(&self, now: SystemTime) -> Option<ReportedAnswerCounts> {
        let is_needed = self.outcome == RolloutOutcome::Succeeded && self.is_watched(now);
        is_needed
            .then(|| ReportedAnswerCounts { service: self.order.service.clone(), counts: self.judgement.tell(now) })
    }

    /// Takes what another VM saw of it lately.
    pub(super) fn hear_recent(&mut self, from: Incarnation, seen: RecentAnswerCounts, now: SystemTime) {
        self.judgement.hear(from, seen, now);
    }

    /// Judges the new version by what is known now; tells why it gets nothing more where that is new.
    pub(super) fn judge(&mut self, bounds: RolloutBounds, now: SystemTime) -> Option<ReportedHalt> {
        if !self.is_watched(now) || self.is_halted() {
            return None;
        }
        self.judgement.judge(&mut self.versions, self.outcome, now);
        let is_ready = self.knows_enough(bounds) && !self.is_suspect();
        self.ready_since = is_ready.then(|| self.ready_since.unwrap_or(now));
        let is_taking_over = self.phase(bounds, false, now) == Phase::TakeOver;
        let begun = self.versions.begun().0;
        self.took_over = is_taking_over.then(|| self.took_over.unwrap_or((now, begun)));
        self.told_halt()
    }

    /// Whether too much speaks against the version for it to take over or to succeed, though too little to halt it.
    fn is_suspect(&self) -> bool {
        self.judgement.odds().max(self.judgement.turn_odds(self.outcome)) > SUSPICION
    }

    /// Whether enough answers of the new version are known for it to take over.
    fn knows_enough(&self, bounds: RolloutBounds) -> bool {
        let share = self.slots(bounds, false) as f64 / SLOTS as f64;
        let (new, all) = self.versions.begun();
        is_enough(new, TRIAL_ANSWERS, share * all as f64)
    }

    /// Whether enough answers are known of the time in which the new version has had all requests.
    fn has_taken_over(&self, now: SystemTime) -> bool {
        let Some((since, known)) = self.took_over else { return false };
        let seconds = |from: SystemTime| now.duration_since(from).unwrap_or_default().as_secs_f64();
        let (new, all) = self.versions.begun();
        let expected = all as f64 * seconds(since) / seconds(self.since).max(f64::MIN_POSITIVE);
        is_enough(new.saturating_sub(known), TAKE_OVER_ANSWERS, expected)
    }

    /// What a judgement at `now` rests on.
    pub(super) fn evidence_summary(&self, bounds: RolloutBounds, now: SystemTime) -> EvidenceSummary {
        let (new, old) = self.versions.counted();
        EvidenceSummary {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            phase: self.phase(bounds, false, now).name(),
            age: now.duration_since(self.began).unwrap_or_default(),
            log_odds: self.judgement.odds(),
            degradation_log_odds: self.judgement.turn_odds(self.outcome),
            new,
            old,
            writers: self.versions.writers(),
        }
    }

    /// What should be written now, where it is not written yet.
    pub(super) fn status_update(&self, written: Option<&RolloutStatus>, now: SystemTime) -> Option<StatusUpdate> {
        let is_due = now + WRITE_AHEAD >= self.began + self.order.duration;
        let (outcome, reason) = if self.is_halted() {
            let halt = self.judgement.halt(self.outcome);
            (RolloutOutcome::RolledBack, halt.map_or("it was rolled back", HaltReason::description))
        } else if self.outcome == RolloutOutcome::Succeeded || (is_due && self.has_taken_over(now)) {
            (RolloutOutcome::Succeeded, "the new version took all requests and is as good as the old one")
        } else {
            (RolloutOutcome::Running, "the order was taken up")
        };
        let status =
            RolloutStatus { service: self.order.service.clone(), version: self.order.version.clone(), outcome };
        (written != Some(&status)).then_some(StatusUpdate { status, reason })
    }
}

/// Whether so many answers are enough where `wanted` would be, and so many were to be expected.
fn is_enough(answers: u64, wanted: f64, expected: f64) -> bool {
    answers as f64 >= wanted.min(NEEDED_PART * expected).floor()
}

/// Where a subject stands among the slots, evenly spread and the same on every VM and for every order.
pub(super) fn place(subject: &str) -> u64 {
    uniform_hash(&[subject]) % SLOTS
}
