//! Bets on whether a new version fails more often than the old one, which win only if it does.

use crate::evidence::Tally;

/// Rises of the failure rate that are bet on, in equal parts.
const RISES: [f64; 3] = [0.1, 0.25, 0.5];
/// Rise of the failure rate that is accepted, so that a rate of nought does not make one failure a proof.
const ACCEPTED_RISE: f64 = 0.02;
/// Highest failure rate that is bet on.
const MOST_FEARED: f64 = 0.95;

/// Logarithm of what a bet on a rise of the failure rate has won, by a version against the others.
///
/// The others' rate is taken at the upper end of what their answers leave open, so that few of them prove
/// nothing.
pub(super) fn odds_of(new: &Tally, old: &Tally) -> f64 {
    let answers = old.ended as f64 + 4.0;
    let rate = (old.failed as f64 + 1.0) / answers;
    let usual = (rate + (rate * (1.0 - rate) / answers).sqrt() + ACCEPTED_RISE).min(0.9);
    let (failed, fine) = (new.failed as f64, new.ended.saturating_sub(new.failed) as f64);
    let won = RISES.map(|rise| {
        let feared = (usual + rise).min(MOST_FEARED);
        (failed * (feared / usual).ln() + fine * ((1.0 - feared) / (1.0 - usual)).ln()).exp()
    });
    (won.iter().sum::<f64>() / RISES.len() as f64).max(f64::MIN_POSITIVE).ln()
}

/// What bets on more failures and on more slow answers have won, as logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bets {
    failed: f64,
    slow: f64,
}

impl Bets {
    /// Adds a bet on slow answers, or on failures.
    pub(super) fn add(&mut self, is_slow: bool, bet: f64) {
        *if is_slow { &mut self.slow } else { &mut self.failed } += bet;
    }

    /// Both together.
    pub(super) fn plus(self, other: Self) -> Self {
        Self { failed: self.failed + other.failed, slow: self.slow + other.slow }
    }

    /// Logarithm of what is won where a half is bet on each: a version may be bad in one way only.
    pub(super) fn odds(self) -> f64 {
        let most = self.failed.max(self.slow);
        let halves = (self.failed - most).exp() + (self.slow - most).exp();
        most + (halves / 2.0).ln()
    }
}
