//! Roll-outs in virtual time: how many requests a bad version serves, and how often a good one is halted.

use havengrade_core::{
    config::{Config, Rollout, RolloutState},
    evidence::{EvidenceTotals, Tally, TallyKey},
    rollout::{RolloutVerdict, evaluate},
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use serde::{Deserialize, Serialize};

/// Class of the requests.
const CLASS: &str = "question";
/// The old version.
const OLD: &str = "model-0@1";
/// The new version.
const NEW: &str = "model-0@6";
/// Spread of ratings to either side of a version's quality.
const SPREAD: f64 = 0.15;
/// Thousandths in a whole.
const WHOLE: f64 = 1000.0;

/// How good a version is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Truth {
    /// Mean rating, as a share of the whole scale.
    pub quality: f64,
    /// Share of requests that fail.
    pub failures: f64,
}

/// A roll-out to be tried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trial {
    /// Truth about the old version.
    pub old: Truth,
    /// Truth about the new version before it turns.
    pub new: Truth,
    /// Truth about it afterwards.
    pub turned: Truth,
    /// Request from which on it has turned.
    pub turns_at: u64,
    /// Requests in all.
    pub requests: u64,
    /// Share of the answers that are rated.
    pub rated_share: f64,
    /// Shares of the steps, in thousandths.
    pub steps: Vec<u32>,
    /// Answers of the new version that a step needs.
    pub step_evidence: u64,
    /// Requests by which the evidence of other VMs comes late.
    pub lag: u64,
}

/// What a roll-out did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Requests that the version served after it had turned.
    pub served_bad: u64,
    /// Those of them that came after its first failure or low rating.
    pub served_after_evidence: u64,
    /// Whether the roll-out was halted.
    pub halted: bool,
    /// Whether it reached its last step.
    pub completed: bool,
}

/// Who leads the roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leader {
    /// Our judgement of the evidence.
    Evidence,
    /// A plain percentage roll-out, which takes each step after a fixed number of requests.
    Schedule,
}

/// Runs a roll-out.
pub fn run(trial: &Trial, leader: Leader, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let config = crate::measure::sample_config();
    let mut rollout = Rollout {
        id: "r".to_owned(),
        from: OLD.to_owned(),
        to: NEW.to_owned(),
        steps: trial.steps.clone(),
        step: 0,
        step_evidence: trial.step_evidence,
        state: RolloutState::Running,
    };
    let mut outcome = Outcome::default();
    let (mut known, mut late) = (EvidenceTotals::default(), Vec::new());
    let mut has_evidence = false;
    for number in 0..trial.requests {
        let has_turned = number >= trial.turns_at;
        let goes_new = rng.random_range(0.0..WHOLE) < f64::from(rollout.share());
        let truth = match (goes_new, has_turned) {
            (false, _) => trial.old,
            (true, false) => trial.new,
            (true, true) => trial.turned,
        };
        if goes_new && has_turned {
            outcome.served_bad += 1;
            outcome.served_after_evidence += u64::from(has_evidence);
        }
        let tally = answer(truth, trial.rated_share, &mut rng);
        has_evidence |= goes_new && has_turned && speaks_against(&tally, trial.old);
        late.push((if goes_new { NEW } else { OLD }, tally));
        if late.len() as u64 > trial.lag {
            learn(&mut known, late.remove(0));
        }
        lead(trial, leader, &config, &mut rollout, &known, number);
    }
    outcome.halted = rollout.state == RolloutState::Halted;
    outcome.completed = !outcome.halted && rollout.step + 1 == rollout.steps.len();
    outcome
}

fn answer(truth: Truth, rated_share: f64, rng: &mut ChaCha8Rng) -> Tally {
    if rng.random_bool(truth.failures) {
        return Tally { ended: 1, failed: 1, ..Tally::default() };
    }
    if !rng.random_bool(rated_share) {
        return Tally { ended: 1, ..Tally::default() };
    }
    let score = (truth.quality + rng.random_range(-SPREAD..SPREAD)).clamp(0.0, 1.0) * WHOLE;
    Tally { ended: 1, rated: 1, score: score as u64, ..Tally::default() }
}

/// Whether an answer is worse than the old version's usually are.
fn speaks_against(tally: &Tally, old: Truth) -> bool {
    tally.failed > 0 || (tally.rated > 0 && (tally.score as f64) < (old.quality - SPREAD) * WHOLE)
}

fn learn(known: &mut EvidenceTotals, (version, tally): (&str, Tally)) {
    let subject = TallyKey { class: CLASS.to_owned(), version: version.to_owned() };
    let sum = known.get(CLASS, version).plus(&tally);
    known.set(&subject, sum);
}

fn lead(trial: &Trial, leader: Leader, config: &Config, rollout: &mut Rollout, known: &EvidenceTotals, number: u64) {
    if rollout.state != RolloutState::Running {
        return;
    }
    match leader {
        Leader::Evidence => match evaluate(config, rollout, known) {
            RolloutVerdict::Wait => {},
            RolloutVerdict::Halt => rollout.state = RolloutState::Halted,
            RolloutVerdict::Advance => rollout.step += 1,
        },
        Leader::Schedule => {
            let steps = trial.steps.len() as u64;
            let step = usize::try_from(number * steps / trial.requests.max(1)).unwrap_or_default();
            rollout.step = step.min(trial.steps.len() - 1);
        },
    }
}

/// What many runs of one trial amount to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Runs.
    pub runs: u64,
    /// Runs that were halted.
    pub halted: u64,
    /// Runs that reached the last step.
    pub completed: u64,
    /// Median of the requests that the bad version served after its first evidence.
    pub after_evidence_median: u64,
    /// The least and the most of them.
    pub after_evidence_range: (u64, u64),
    /// Median of all requests that the bad version served.
    pub served_bad_median: u64,
}

/// Runs a trial with so many seeds.
pub fn summarise(trial: &Trial, leader: Leader, seeds: u64) -> Summary {
    let outcomes: Vec<Outcome> = (0..seeds).map(|seed| run(trial, leader, seed)).collect();
    let sorted = |of: fn(&Outcome) -> u64| {
        let mut values: Vec<u64> = outcomes.iter().map(of).collect();
        values.sort_unstable();
        values
    };
    let after = sorted(|outcome| outcome.served_after_evidence);
    let bad = sorted(|outcome| outcome.served_bad);
    let median = |values: &[u64]| values.get(values.len() / 2).copied().unwrap_or_default();
    Summary {
        runs: seeds,
        halted: outcomes.iter().filter(|outcome| outcome.halted).count() as u64,
        completed: outcomes.iter().filter(|outcome| outcome.completed).count() as u64,
        after_evidence_median: median(&after),
        after_evidence_range: (after.first().copied().unwrap_or_default(), after.last().copied().unwrap_or_default()),
        served_bad_median: median(&bad),
    }
}
