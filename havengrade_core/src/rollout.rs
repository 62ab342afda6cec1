//! Roll-outs: which requests and sessions go to a new version, and when the evidence halts or furthers it.

use std::collections::BTreeSet;

use crate::{
    cascade::PRIOR_WEIGHT,
    config::{Account, Config, Rollout, RolloutState},
    evidence::{EvidenceTotals, Tally},
    ids::{RolloutId, VersionId},
    secret::uniform_hash,
};

/// Thousandths in a whole.
const WHOLE: u64 = 1000;
/// Chance with which a version that is as good as the old one is halted by mistake, over the whole
/// roll-out and however often it is looked at.
const FALSE_ALARM: f64 = 0.01;
/// Loss of quality that is accepted, as a share of the whole scale.
const QUALITY_TOLERANCE: f64 = 0.03;
/// Rise of the failure rate that is accepted.
const FAILURE_TOLERANCE: f64 = 0.01;
/// Failure rate, as a multiple of the accepted one, that should be noticed soonest.
const FAILURE_RISE: f64 = 4.0;
/// Sizes of a loss of quality that should be noticed, each as four times the loss.
const BETS: [f64; 4] = [0.4, 0.8, 1.6, 3.2];

/// The version that stands in for a planned one, by the roll-out that replaces it.
///
/// `bucketing_id` is the session's or request's id. The same bucketing_id falls on the same side of a step on
/// every VM, and a growing share only adds subjects.
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
    if usable && place(&rollout.id, bucketing_id) < u64::from(rollout.share()) {
        return rollout.to.clone();
    }
    planned.clone()
}

/// Where a bucketing_id stands between 0 and 999, evenly spread and the same on every VM.
fn place(rollout: &str, bucketing_id: &str) -> u64 {
    uniform_hash(&[rollout, bucketing_id]) % WHOLE
}

/// What the evidence says of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// Nothing yet.
    Wait,
    /// The new version is worse than the old one.
    Halt,
    /// The step has gathered its evidence, and it does not speak against the new version.
    Advance,
}

/// Judges a roll-out by the evidence of all VMs.
///
/// The tests may be looked at after every answer: each is a bet against "the new version is as good as
/// the old one", and a bet that such a version makes win a hundredfold has a chance of one in a hundred
/// (Ville's inequality). They need only sums, so that counters of many VMs can be merged in any order.
pub fn evaluate(cfg: &Config, rollout: &Rollout, evidence: &EvidenceTotals) -> RolloutVerdict {
    let (mut ended, mut rated, mut failure_log, mut deficit) = (0, 0, 0.0, 0.0);
    for class in cfg.classes.keys() {
        let new = evidence.get(class, &rollout.to);
        let old = evidence.get(class, &rollout.from);
        ended += new.ended;
        rated += new.rated;
        failure_log += failure_bet(&new, &old);
        deficit += quality_deficit(cfg, rollout, &new, &old);
    }
    let threshold = -(FALSE_ALARM / 2.0).ln();
    if failure_log > threshold || quality_bet(deficit, rated as f64) > threshold {
        return RolloutVerdict::Halt;
    }
    let has_enough = rollout.step_evidence > 0 && ended >= rollout.step_evidence * (rollout.step as u64 + 1);
    let is_last = rollout.step + 1 >= rollout.steps.len();
    if has_enough && !is_last { RolloutVerdict::Advance } else { RolloutVerdict::Wait }
}

/// Logarithm of the bet that the new version fails more often.
fn failure_bet(new: &Tally, old: &Tally) -> f64 {
    let accepted = (old.failed as f64 + 1.0) / (old.ended as f64 + 50.0) + FAILURE_TOLERANCE;
    let feared = (accepted * FAILURE_RISE).min(0.9);
    let (failed, fine) = (new.failed as f64, new.ended.saturating_sub(new.failed) as f64);
    failed * (feared / accepted).ln() + fine * ((1.0 - feared) / (1.0 - accepted)).ln()
}

/// How much the ratings of the new version fall short of what is accepted, summed up.
fn quality_deficit(cfg: &Config, rollout: &Rollout, new: &Tally, old: &Tally) -> f64 {
    let prior = cfg.versions.get(&rollout.from).map_or(0, |version| version.prior_quality);
    let usual = f64::from(old.quality(prior, PRIOR_WEIGHT)) / WHOLE as f64;
    let score = new.score as f64 / WHOLE as f64;
    new.rated as f64 * (usual - QUALITY_TOLERANCE) - score
}

/// Logarithm of the bet that the new version's ratings are lower, averaged over several sizes of the loss.
fn quality_bet(deficit: f64, rated: f64) -> f64 {
    let bet = |size: &f64| (size * deficit - rated * size * size / 8.0).exp();
    let mean = BETS.iter().map(bet).sum::<f64>() / BETS.len() as f64;
    mean.max(f64::MIN_POSITIVE).ln()
}

/// Running roll-outs whose evidence speaks for a halt.
pub fn rollouts_to_halt(cfg: &Config, evidence: &EvidenceTotals) -> BTreeSet<RolloutId> {
    let is_bad = |rollout: &&Rollout| evaluate(cfg, rollout, evidence) == RolloutVerdict::Halt;
    let running = cfg.rollouts.values().filter(|rollout| rollout.state == RolloutState::Running);
    running.filter(is_bad).map(|rollout| rollout.id.clone()).collect()
}

/// The roll-out as it should stand by the evidence, if that is another way than it does.
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
