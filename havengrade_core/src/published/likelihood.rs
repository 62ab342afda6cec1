//! Bets that a new version is worse than the old one, which win only if it is.

use std::collections::BTreeMap;

use crate::published::{
    attempt_stats::{AttemptStats, route_of},
    route::RouteId,
    time_histogram::{TimeHistogram, TimeHistogramByLoad, scaled_bucket},
};

/// Rises of a share that are bet on, in equal parts.
const RISES: [f64; 3] = [0.1, 0.25, 0.5];
/// Rise of a share that is accepted, so that a share of nought does not make one bad answer a proof.
const ACCEPTED_RISE: f64 = 0.02;
/// Highest share that is bet on.
const MOST_FEARED: f64 = 0.95;
/// Answers of the old version below which it is not known what is usual; as many as are missing are taken to be like
/// those of a service of which one request in ten fails.
const KNOWN_ANSWERS: f64 = 40.0;
/// Share of requests that fail where nothing is known: that of the worst service seen, and not so high that a version
/// that fails a third of its requests passes for usual.
const UNKNOWN_SHARE: f64 = 0.1;
/// TimeHistogram of the old version below which it is not known what is slow.
const KNOWN_TIMES: u64 = 10;
/// What is slow, in two ways: slower than a share of the old version's answers, and at least so many times slower than its median,
/// so that small differences between versions don't count. The first one shows versions of which all answers are somewhat slow,
/// the second one those of which some are very slow.
const SLOW: [(f64, f64); 2] = [(0.75, 1.5), (0.9, 2.0)];

/// Ways in which answers are bad, which are bet on apart: a service of which many answers are slow would otherwise
/// hide that a version fails.
const WAYS: usize = 1 + 2 * SLOW.len();

/// Logarithm of what a bet has won; none where nothing was seen that it could win or lose by.
type Bet = Option<f64>;
/// What bets on one way have won, by the rise that they are on.
type Bets = [Bet; RISES.len()];
/// What bets on all ways have won.
type Won = [Bets; WAYS];

/// How many of some answers are bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Share {
    pub(super) bad: f64,
    pub(super) of: f64,
}

/// What is usual for one way of being bad: the upper end of what the old version's answers leave open, so that few of
/// them prove nothing.
fn usual(old: Share) -> f64 {
    let answers = old.of + 4.0;
    let rate = (old.bad + 1.0) / answers;
    (rate + (rate * (1.0 - rate) / answers).sqrt() + ACCEPTED_RISE).min(0.9)
}

/// What is won on each rise by a version's answers against what is usual.
fn won(new: Share, usual: f64) -> Bets {
    let fine = new.of - new.bad;
    RISES.map(|rise| {
        let feared = (usual + rise).min(MOST_FEARED);
        let won = new.bad.mul_add((feared / usual).ln(), fine * ((1.0 - feared) / (1.0 - usual)).ln());
        (new.of > 0.0).then_some(won)
    })
}

/// Failures of the old version, filled up where there are few.
fn failures(old: &AttemptStats) -> Share {
    let known = Share { bad: old.failed as f64, of: old.ended as f64 };
    let missing = (KNOWN_ANSWERS - known.of).max(0.0);
    Share { bad: missing.mul_add(UNKNOWN_SHARE, known.bad), of: known.of + missing }
}

/// The bucket above which an answer is slow in one way, by the old version's times; none where it is not known.
fn slow_above(old: &TimeHistogram, (quantile, factor): (f64, f64)) -> Option<usize> {
    if old.total() < KNOWN_TIMES {
        return None;
    }
    Some(old.quantile(quantile)?.max(scaled_bucket(old.quantile(0.5)?, factor)))
}

/// How many of a version's times are very slow by the old one's.
pub(super) fn very_slow(new: &TimeHistogramByLoad, old: &TimeHistogramByLoad) -> u64 {
    let [_, very] = SLOW;
    let slow = |new: &TimeHistogram, old: &TimeHistogram| slow_above(old, very).map_or(0, |slow| new.count_above(slow));
    slow(&new.light, &old.light) + slow(&new.heavy, &old.heavy)
}

/// What bets on answers that are slow in one way at one load have won.
fn won_at(new: &TimeHistogram, old: &TimeHistogram, way: (f64, f64)) -> Bets {
    let Some(slow) = slow_above(old, way) else { return Bets::default() };
    let share = |times: &TimeHistogram| Share { bad: times.count_above(slow) as f64, of: times.total() as f64 };
    won(share(new), usual(share(old)))
}

/// What bets on slow answers have won, each compared with those of equal load.
fn won_by_times(new: &TimeHistogramByLoad, old: &TimeHistogramByLoad) -> [Bets; SLOW.len()] {
    SLOW.map(|way| {
        let mut won = won_at(&new.light, &old.light, way);
        add(&mut won, &won_at(&new.heavy, &old.heavy, way));
        won
    })
}

/// What bets have won by answers of one kind.
fn won_by(new: &AttemptStats, old: &AttemptStats) -> Won {
    let failed = Share { bad: new.failed as f64, of: new.ended as f64 };
    won_on(failed, new, old)
}

/// The same where broken answers don't count: an endpoint that dies breaks all its answers at once, which would win bets that look
/// for a turn in a few answers.
fn won_by_errors(new: &AttemptStats, old: &AttemptStats) -> Won {
    won_on(errors(new), new, old)
}

fn errors(new: &AttemptStats) -> Share {
    Share { bad: new.errors as f64, of: new.begun() as f64 }
}

fn won_on(failed: Share, new: &AttemptStats, old: &AttemptStats) -> Won {
    let failed = won(failed, usual(failures(old)));
    let [first, very_late] = won_by_times(&new.first, &old.first);
    let [pace, very_slow] = won_by_times(&new.pace, &old.pace);
    [failed, first, very_late, pace, very_slow]
}

/// Logarithm of the mean of what some bets have won.
fn mean<'a>(won: impl IntoIterator<Item = &'a Bet>) -> Bet {
    let won: Vec<f64> = won.into_iter().copied().flatten().collect();
    let most = won.iter().copied().reduce(f64::max)?;
    let sum: f64 = won.iter().map(|won| (won - most).exp()).sum();
    Some(most + (sum / won.len() as f64).ln())
}

/// Logarithm of what bets on all routes together have won, or those on one of them; looking at the routes one by one as
/// well is paid for by their number.
fn best(all: Bet, routes: impl Iterator<Item = Bet>) -> f64 {
    let routes: Vec<f64> = routes.flatten().collect();
    let most = routes.iter().copied().reduce(f64::max).map(|most| most - (routes.len() as f64).ln());
    all.into_iter().chain(most).reduce(f64::max).unwrap_or_default()
}

/// Logarithm of the odds that a version is worse than the old one, by all that was seen: for each kind the new version and
/// the old one.
pub(super) fn log_odds<'a>(kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>) -> f64 {
    let mut by_route: BTreeMap<&str, [Bet; WAYS]> = BTreeMap::new();
    let mut all = [Bet::None; WAYS];
    for (kind, new, old) in kinds {
        let won = won_by(new, old).map(|rises| mean(&rises));
        add(&mut all, &won);
        add(by_route.entry(route_of(kind)).or_default(), &won);
    }
    // A version may be bad in one way only, so that a part is bet on each.
    best(mean(&all), by_route.values().map(mean))
}

fn add(sums: &mut [Bet], more: &[Bet]) {
    for (sum, more) in sums.iter_mut().zip(more) {
        *sum = sum.zip(*more).map(|(sum, more)| sum + more).or(*sum).or(*more);
    }
}

/// What bets have won by answers of one kind on errors alone.
fn won_by_errors_alone(new: &AttemptStats, old: &AttemptStats) -> Won {
    let mut won = Won::default();
    if let Some(way) = won.first_mut() {
        *way = self::won(errors(new), usual(failures(old)));
    }
    won
}

/// Bets on a version that was as good as the old one and has turned bad since: whatever they have lost is forgotten, so
/// that good answers from before don't outweigh bad ones.
#[derive(Clone, Debug, Default)]
pub(super) struct DegradationTest {
    all: Won,
    by_route: BTreeMap<RouteId, Won>,
}

impl DegradationTest {
    /// Bets on what was seen anew of some kinds, of the new version and in all of the old one.
    pub(super) fn bet<'a>(&mut self, kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>) {
        self.bet_by(kinds, won_by_errors);
    }

    /// The same on errors alone.
    pub(super) fn bet_on_errors<'a>(
        &mut self,
        kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>,
    ) {
        self.bet_by(kinds, won_by_errors_alone);
    }

    fn bet_by<'a>(
        &mut self,
        kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>,
        won_by: impl Fn(&AttemptStats, &AttemptStats) -> Won,
    ) {
        let mut by_route: BTreeMap<&str, Won> = BTreeMap::new();
        for (kind, new, old) in kinds {
            let sums = by_route.entry(route_of(kind)).or_default();
            add(sums.as_flattened_mut(), won_by(new, old).as_flattened());
        }
        for (route, won) in by_route {
            add(self.all.as_flattened_mut(), won.as_flattened());
            let kept = self.by_route.entry(route.to_owned()).or_default();
            add(kept.as_flattened_mut(), won.as_flattened());
            forget_losses(kept);
        }
        forget_losses(&mut self.all);
    }

    /// Logarithm of what is won, in whatever way.
    pub(super) fn odds(&self) -> f64 {
        best(mean(self.all.as_flattened()), self.by_route.values().map(|won| mean(won.as_flattened())))
    }
}

fn forget_losses(won: &mut Won) {
    for won in won.as_flattened_mut().iter_mut().flatten() {
        *won = won.max(0.0);
    }
}
