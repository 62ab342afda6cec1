//! Roll-outs: which requests and sessions use a new version, and when evidence halts or advances it.

use std::collections::BTreeSet;

use crate::{
    cascade::PRIOR_WEIGHT,
    config::{Account, Config, Rollout, RolloutState},
    evidence::{EvidenceTotals, Tally},
    ids::{RolloutId, VersionId},
    secret::uniform_hash,
};

/// Thousandths in a whole.
const PERMILLE_SCALE: u64 = 1000;
/// Probability that a version as good as the baseline is halted by mistake.
///
/// It holds for the whole roll-out, however often the evidence is evaluated.
const FALSE_HALT_PROBABILITY: f64 = 0.01;
/// Accepted loss of quality, as a share of the whole scale.
const QUALITY_TOLERANCE: f64 = 0.03;
/// Accepted increase of the failure rate.
const FAILURE_TOLERANCE: f64 = 0.01;
/// Failure rate that the test detects soonest, as a multiple of the accepted one.
const FAILURE_RATE_FACTOR: f64 = 4.0;
/// Bet sizes of the quality test, each four times the loss of quality that it detects soonest.
const BET_SIZES: [f64; 4] = [0.4, 0.8, 1.6, 3.2];

/// Returns the version that serves a request in place of the planned one, which a roll-out may replace.
///
/// `bucketing_id` is the id of the session or the request. It selects the same version on every VM, and an
/// increase of the share only adds ids to the new version.
pub fn version_for(
    cfg: &Config,
    account: &Account,
    evidence: &EvidenceTotals,
    planned: &VersionId,
    bucketing_id: &str,
) -> VersionId {
    let rollout = cfg.rollouts.values().find(|rollout| rollout.from == *planned);
    let Some(rollout) = rollout else {
        return planned.clone();
    };
    let usable =
        cfg.is_active(&rollout.to) && account.allows(&rollout.to) && !evidence.halted_rollouts.contains(&rollout.id);
    if usable && bucket(&rollout.id, bucketing_id) < u64::from(rollout.share()) {
        return rollout.to.clone();
    }
    planned.clone()
}

/// Returns a bucket from 0 to 999, uniformly distributed and the same on every VM.
fn bucket(rollout: &str, bucketing_id: &str) -> u64 {
    uniform_hash(&[rollout, bucketing_id]) % PERMILLE_SCALE
}

/// Verdict of the evidence on a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// No conclusion yet.
    Wait,
    /// The new version is worse than the baseline.
    Halt,
    /// The step has enough evidence, and none against the new version.
    Advance,
}

/// Evaluates a roll-out by the evidence of all VMs.
///
/// The tests are sequential and may be evaluated after every answer. Each is a bet against the null
/// hypothesis that the new version is as good as the baseline. If it holds, a bet multiplies its stake by
/// a hundred with a probability of at most one in a hundred (Ville's inequality). The tests need only
/// sums, so that the counters of many VMs can be merged in any order.
pub fn evaluate(cfg: &Config, rollout: &Rollout, evidence: &EvidenceTotals) -> RolloutVerdict {
    let (mut ended, mut rated, mut failure_evidence, mut deficit) = (0, 0, 0.0, 0.0);
    for class in cfg.classes.keys() {
        let new = evidence.get(class, &rollout.to);
        let old = evidence.get(class, &rollout.from);
        ended += new.ended;
        rated += new.rated;
        failure_evidence += failure_log_bet(&new, &old);
        deficit += quality_deficit(cfg, rollout, &new, &old);
    }
    let threshold = -(FALSE_HALT_PROBABILITY / 2.0).ln();
    if failure_evidence > threshold || quality_log_bet(deficit, rated as f64) > threshold {
        return RolloutVerdict::Halt;
    }
    let has_enough_evidence = rollout.step_evidence > 0 && ended >= rollout.step_evidence * (rollout.step as u64 + 1);
    let is_last = rollout.step + 1 >= rollout.steps.len();
    if has_enough_evidence && !is_last { RolloutVerdict::Advance } else { RolloutVerdict::Wait }
}

/// Returns the log of the wealth of a bet that the new version fails more often than accepted.
fn failure_log_bet(new: &Tally, old: &Tally) -> f64 {
    let accepted = (old.failed as f64 + 1.0) / (old.ended as f64 + 50.0) + FAILURE_TOLERANCE;
    let alternative = (accepted * FAILURE_RATE_FACTOR).min(0.9);
    let (failed, succeeded) = (new.failed as f64, new.ended.saturating_sub(new.failed) as f64);
    failed * (alternative / accepted).ln() + succeeded * ((1.0 - alternative) / (1.0 - accepted)).ln()
}

/// Returns by how much the ratings of the new version fall short of the accepted quality, as a sum.
fn quality_deficit(cfg: &Config, rollout: &Rollout, new: &Tally, old: &Tally) -> f64 {
    let prior = cfg.versions.get(&rollout.from).map_or(0, |version| version.prior_quality);
    let baseline = f64::from(old.quality(prior, PRIOR_WEIGHT)) / PERMILLE_SCALE as f64;
    let score = new.score as f64 / PERMILLE_SCALE as f64;
    new.rated as f64 * (baseline - QUALITY_TOLERANCE) - score
}

/// Returns the log of the wealth of a bet that ratings are lower than accepted, averaged over bet sizes.
fn quality_log_bet(deficit: f64, rated: f64) -> f64 {
    let bet = |size: &f64| (size * deficit - rated * size * size / 8.0).exp();
    let mean = BET_SIZES.iter().map(bet).sum::<f64>() / BET_SIZES.len() as f64;
    mean.max(f64::MIN_POSITIVE).ln()
}

/// Returns the running roll-outs that the evidence halts.
pub fn rollouts_to_halt(cfg: &Config, evidence: &EvidenceTotals) -> BTreeSet<RolloutId> {
    let should_halt = |rollout: &&Rollout| evaluate(cfg, rollout, evidence) == RolloutVerdict::Halt;
    let running = cfg.rollouts.values().filter(|rollout| rollout.state == RolloutState::Running);
    running.filter(should_halt).map(|rollout| rollout.id.clone()).collect()
}

/// Returns the next state of a roll-out by the evidence, or `None` if it stays as it is.
pub fn next_state(cfg: &Config, rollout: &Rollout, evidence: &EvidenceTotals) -> Option<Rollout> {
    if rollout.state != RolloutState::Running {
        return None;
    }
    match evaluate(cfg, rollout, evidence) {
        RolloutVerdict::Wait => None,
        RolloutVerdict::Halt => Some(Rollout { state: RolloutState::Halted, ..rollout.clone() }),
        RolloutVerdict::Advance => Some(Rollout { step: rollout.step + 1, ..rollout.clone() }),
    }
}
