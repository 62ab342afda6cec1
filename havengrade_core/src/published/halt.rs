//! Judging a version by what was seen of it: when it gets nothing more.

use std::time::SystemTime;

use crate::{
    ids::Incarnation,
    published::{
        answer_window::{LocalAnswerWindow, RecentAnswerCounts, RemoteAnswerCounts, is_version_faulty},
        likelihood::{self, DegradationTest},
        rollout_order::RolloutOutcome,
        version_comparison::VersionComparison,
    },
};

/// Logarithm of the odds against "as good as the old one" at which a version is rolled back.
///
/// A version as good as the old one reaches it in one roll-out out of twenty (Ville's inequality). One that is
/// rolled back by mistake is ordered again; one that is let through by mistake fails its callers.
const HALT_ODDS: f64 = 3.0;
/// The same for bets that forget what they have lost, which win by chance more often.
const TURN_ODDS: f64 = 6.5;
/// Logarithm of the odds at which a version that has succeeded is rolled back. No other one may be left then, so that a mistake
/// takes the service away: the odds are higher, only errors that endpoints signed count, and nearly all endpoints must give them.
/// Slow answers don't count: after a start of all VMs a good version was halted for them, since all callers come back at once.
const WATCH_ODDS: f64 = 10.0;
/// Errors of the last seconds below which a version that has succeeded is not rolled back.
const WATCH_ERRORS: u64 = 20;
/// Errors of the last seconds from which on a VM tells the others by which endpoints they were given.
const TELLING_ERRORS: u64 = 2;
/// Why a version gets nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HaltReason {
    /// Its answers are worse than the old one's.
    Worse,
    /// They were as good, and have turned worse.
    Degraded,
    /// It had succeeded, and nearly all its endpoints give errors now.
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

/// What one VM makes of a version.
#[derive(Clone, Debug, Default)]
pub(super) struct HaltDetector {
    /// Logarithm of the odds that the version is worse than the old one, by all that was seen.
    odds: f64,
    /// Bets on a turn for the worse before the version succeeds.
    turn: DegradationTest,
    /// The same after it, on errors alone.
    watch: DegradationTest,
    recent: LocalAnswerWindow,
    heard: RemoteAnswerCounts,
    /// Why the version gets nothing more; kept, since good answers of later say nothing against it.
    halt: Option<HaltReason>,
}

impl HaltDetector {
    /// Notes that an endpoint of the new version gave an answer or an error.
    pub(super) fn note(&mut self, endpoint: &str, is_error: bool, now: SystemTime) {
        self.recent.record(endpoint, is_error, now);
    }

    /// What this VM saw lately, for the others to tell whom to blame; where there are hardly any errors, in one sum.
    pub(super) fn tell(&self, now: SystemTime) -> RecentAnswerCounts {
        let seen = self.recent.counts(now);
        if seen.sum().errors >= TELLING_ERRORS { seen } else { seen.without_endpoints() }
    }

    /// Takes what another VM saw lately.
    pub(super) fn hear(&mut self, from: Incarnation, seen: RecentAnswerCounts, now: SystemTime) {
        self.heard.merge(from, seen, now);
    }

    /// Why the version gets nothing more, if so.
    ///
    /// What was found before a success is no longer enough after it: with the old version gone, a mistake costs more.
    pub(super) fn halt(&self, outcome: RolloutOutcome) -> Option<HaltReason> {
        self.halt.filter(|halt| outcome != RolloutOutcome::Succeeded || *halt == HaltReason::FailedAfterSuccess)
    }

    /// Takes it from another VM that the version is to get nothing more; tells whether that is new.
    pub(super) fn learn(&mut self, halt: HaltReason, outcome: RolloutOutcome) -> bool {
        let is_news = self.halt(outcome).is_none() && self.halt != Some(halt);
        if is_news {
            self.halt = Some(halt);
        }
        is_news
    }

    /// Logarithm of the odds against the version, by all that was seen.
    pub(super) fn odds(&self) -> f64 {
        self.odds
    }

    /// The same by bets on a turn for the worse.
    pub(super) fn turn_odds(&self, outcome: RolloutOutcome) -> f64 {
        if outcome == RolloutOutcome::Running { self.turn.odds() } else { self.watch.odds() }
    }

    /// Judges the version by what is known now.
    pub(super) fn judge(&mut self, versions: &mut VersionComparison, outcome: RolloutOutcome, now: SystemTime) {
        self.recent.prune(now);
        self.heard.prune(now);
        let fresh = versions.take_fresh();
        if fresh.is_empty() || self.halt(outcome).is_some() {
            return;
        }
        let compared = versions.compare(fresh.iter());
        match outcome {
            RolloutOutcome::Running => self.turn.bet(compared),
            _ => self.watch.bet_on_errors(compared),
        }
        self.odds = likelihood::log_odds(versions.compared());
        self.halt = self.find_halt(outcome, now).or(self.halt);
    }

    fn find_halt(&self, outcome: RolloutOutcome, now: SystemTime) -> Option<HaltReason> {
        match outcome {
            RolloutOutcome::Running if self.odds > HALT_ODDS => Some(HaltReason::Worse),
            RolloutOutcome::Running if self.turn.odds() > TURN_ODDS => Some(HaltReason::Degraded),
            RolloutOutcome::Succeeded if self.watch.odds() > WATCH_ODDS => {
                let is_to_blame = is_version_faulty(&self.recent.counts(now), &self.heard, WATCH_ERRORS);
                is_to_blame.then_some(HaltReason::FailedAfterSuccess)
            },
            _ => None,
        }
    }
}
