//! Decides from the evidence when a version is halted, so that it gets no more requests.

use std::time::{Duration, SystemTime};

use crate::{
    ids::Incarnation,
    published::{
        answer_window::{LocalAnswerWindow, RecentAnswerCounts, RemoteAnswerCounts, evenly_failing, is_version_faulty},
        likelihood::{self, DegradationTest},
        rollout_order::RolloutOutcome,
        version_comparison::VersionComparison,
    },
};

/// Log odds against "as good as the baseline" above which a version is halted.
///
/// A version as good as the baseline exceeds them in one roll-out out of twenty (Ville's inequality). A version that is
/// rolled back by mistake can be ordered again; one that is accepted by mistake fails its callers.
const HALT_LOG_ODDS: f64 = 3.0;
/// The same for the degradation test, which exceeds a threshold by chance more often, since its ratios don't fall below
/// zero.
const DEGRADATION_LOG_ODDS: f64 = 6.5;
/// Log odds above which a version that has succeeded is halted. The old version may be gone by then, so that a mistake
/// makes the service unavailable: the odds are higher, only errors that endpoints signed count, and nearly all
/// endpoints must give them. Slow answers don't count: after a restart of all VMs a good version was halted for them,
/// since all callers return at once.
const POST_SUCCESS_LOG_ODDS: f64 = 10.0;
/// Number of errors in the answer window below which a version that has succeeded is not halted.
const MIN_POST_SUCCESS_ERRORS: u64 = 20;
/// Number of errors in the answer window from which a VM reports its answers by endpoint.
const MIN_ERRORS_TO_ATTRIBUTE: u64 = 2;
/// Time after its success in which a version is halted for errors that are few, but evenly spread over its endpoints.
/// Later, other causes such as overload are more likely, and the old version is gone.
const EVEN_ERRORS_TIME: Duration = Duration::from_secs(20);
/// Number of such errors below which their spread is not known. At 12 errors per second, they take 7 s of the 10 s that
/// callers allow.
const MIN_EVEN_ERRORS: u64 = 80;
/// Number of answers of the baseline below which its error rate is not known well enough.
const MIN_BASELINE_ANSWERS: f64 = 1_000.0;
/// Increase of the error rate that is tolerated, and the increase beyond it that is tested.
const TOLERATED_EVEN_INCREASE: f64 = 0.005;
const EVEN_INCREASE: f64 = 0.01;

/// Why a version was halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HaltReason {
    /// Its answers are worse than those of the old version.
    Worse,
    /// Its answers were as good as those of the old version and have become worse.
    Degraded,
    /// The version had succeeded, and nearly all its endpoints give errors now.
    FailedAfterSuccess,
}

impl HaltReason {
    /// The reason, for the log.
    pub fn description(self) -> &'static str {
        match self {
            Self::Worse => "the new version fails or is slow more often than the old one",
            Self::Degraded => "the new version was as good as the old one and has turned worse",
            Self::FailedAfterSuccess => "the version had succeeded, and nearly all its endpoints give errors now",
        }
    }
}

/// State of one VM's tests of a version.
#[derive(Clone, Debug, Default)]
pub(super) struct HaltDetector {
    /// Logarithm of the odds that the version is worse than the baseline, by all evidence.
    log_odds: f64,
    /// Test for a degradation before the version succeeds.
    degradation: DegradationTest,
    /// Test for a degradation after the version has succeeded, by errors alone.
    post_success: DegradationTest,
    local: LocalAnswerWindow,
    remote: RemoteAnswerCounts,
    /// Whether this VM has evaluated the version before its success.
    was_running: bool,
    /// When this VM learned of the success; `None` if the version had succeeded when this VM started.
    succeeded_at: Option<SystemTime>,
    /// Why the version was halted. A halt is permanent: later good answers don't undo it.
    halt: Option<HaltReason>,
}

impl HaltDetector {
    /// Records an answer or an error of an endpoint of the new version.
    pub(super) fn record(&mut self, endpoint: &str, is_error: bool, now: SystemTime) {
        self.local.record(endpoint, is_error, now);
    }

    /// The recent answers that this VM reports; by endpoint only if there are enough errors to attribute.
    pub(super) fn recent_counts(&self, now: SystemTime) -> RecentAnswerCounts {
        let counts = self.local.counts(now);
        if counts.sum().errors >= MIN_ERRORS_TO_ATTRIBUTE { counts } else { counts.without_endpoints() }
    }

    /// Merges the recent answers that another VM reported.
    pub(super) fn merge_counts(&mut self, from: Incarnation, counts: RecentAnswerCounts, now: SystemTime) {
        self.remote.merge(from, counts, now);
    }

    /// Why the version is halted, if it is.
    ///
    /// A halt from before the success does not hold after it: with the old version gone, a mistake costs more.
    pub(super) fn halt(&self, outcome: RolloutOutcome) -> Option<HaltReason> {
        self.halt.filter(|halt| outcome != RolloutOutcome::Succeeded || *halt == HaltReason::FailedAfterSuccess)
    }

    /// Applies a halt that another VM reported. Returns whether it is new.
    pub(super) fn merge_halt(&mut self, halt: HaltReason, outcome: RolloutOutcome) -> bool {
        let is_new = self.halt(outcome).is_none() && self.halt != Some(halt);
        if is_new {
            self.halt = Some(halt);
        }
        is_new
    }

    /// Logarithm of the odds that the version is worse than the baseline, by all evidence.
    pub(super) fn log_odds(&self) -> f64 {
        self.log_odds
    }

    /// Logarithm of the odds that the version has become worse.
    pub(super) fn degradation_log_odds(&self, outcome: RolloutOutcome) -> f64 {
        if outcome == RolloutOutcome::Running { self.degradation.log_odds() } else { self.post_success.log_odds() }
    }

    /// Evaluates the evidence that is known at `now`.
    pub(super) fn evaluate(&mut self, versions: &mut VersionComparison, outcome: RolloutOutcome, now: SystemTime) {
        self.local.prune(now);
        self.remote.prune(now);
        self.was_running |= outcome == RolloutOutcome::Running;
        if outcome == RolloutOutcome::Succeeded && self.was_running {
            self.succeeded_at.get_or_insert(now);
        }
        let unevaluated = versions.take_unevaluated();
        if unevaluated.is_empty() || self.halt(outcome).is_some() {
            return;
        }
        let compared = versions.compare(unevaluated.iter());
        match outcome {
            RolloutOutcome::Running => self.degradation.add(compared),
            _ => self.post_success.add_errors(compared),
        }
        self.log_odds = likelihood::log_odds(versions.compare_all());
        self.halt = self.find_halt(versions, outcome, now).or(self.halt);
    }

    fn find_halt(&self, versions: &VersionComparison, outcome: RolloutOutcome, now: SystemTime) -> Option<HaltReason> {
        match outcome {
            RolloutOutcome::Running if self.log_odds > HALT_LOG_ODDS => Some(HaltReason::Worse),
            RolloutOutcome::Running if self.degradation.log_odds() > DEGRADATION_LOG_ODDS => Some(HaltReason::Degraded),
            RolloutOutcome::Succeeded if self.post_success.log_odds() > POST_SUCCESS_LOG_ODDS => {
                let is_faulty = is_version_faulty(&self.local.counts(now), &self.remote, MIN_POST_SUCCESS_ERRORS);
                (is_faulty || self.fails_evenly(versions, now)).then_some(HaltReason::FailedAfterSuccess)
            },
            RolloutOutcome::Succeeded => self.fails_evenly(versions, now).then_some(HaltReason::FailedAfterSuccess),
            _ => None,
        }
    }

    /// Whether the version, which has just got all requests, fails more of them than the baseline, at all endpoints alike.
    fn fails_evenly(&self, versions: &VersionComparison, now: SystemTime) -> bool {
        if self.succeeded_at.is_none_or(|at| now >= at + EVEN_ERRORS_TIME) {
            return false;
        }
        let Some(recent) = evenly_failing(&self.local.counts(now), &self.remote) else { return false };
        let (mut errors, mut answers) = (0.0, 0.0);
        for (_, _, baseline) in versions.compare_all() {
            errors += baseline.errors as f64;
            answers += baseline.observed_starts() as f64;
        }
        if answers < MIN_BASELINE_ANSWERS || recent.errors < MIN_EVEN_ERRORS {
            return false;
        }
        let rate = (errors + 1.0) / answers;
        let usual = rate + (rate / answers).sqrt() + TOLERATED_EVEN_INCREASE;
        let raised = usual + EVEN_INCREASE;
        let ratio = recent.errors as f64 * (raised / usual).ln() - recent.answers as f64 * (raised - usual);
        ratio > POST_SUCCESS_LOG_ODDS
    }
}
