//! Sequential tests of whether a new version is worse than the baseline, by likelihood ratios.

use std::{borrow::Cow, collections::BTreeMap};

use crate::published::{
    attempt_stats::{AttemptStats, route_of},
    route::RouteId,
    time_histogram::{Load, TimeHistogram, TimeHistogramByLoad, scaled_bucket},
};

/// Increases of the rate of bad answers that are tested as alternatives, with equal weights.
const RATE_INCREASES: [f64; 3] = [0.1, 0.25, 0.5];
/// Increase of the rate that is tolerated, so that a baseline rate of zero does not make one bad answer a proof.
const TOLERATED_INCREASE: f64 = 0.02;
/// Highest rate of bad answers that is tested as an alternative.
const MAX_ALTERNATIVE_RATE: f64 = 0.95;
/// Number of baseline answers below which the baseline failure rate is not known. The missing answers are assumed to
/// fail at [`PRIOR_FAILURE_RATE`].
const MIN_BASELINE_ANSWERS: f64 = 40.0;
/// Failure rate where nothing is known: that of the worst service observed, and low enough that a version which fails a
/// third of its requests does not pass as normal.
const PRIOR_FAILURE_RATE: f64 = 0.1;
/// Number of baseline times below which it is not known which times are slow.
const MIN_BASELINE_TIMES: u64 = 10;
/// Two thresholds above which a time is slow, each a quantile of the baseline's times and a factor on their median. A
/// slow time exceeds both values, so that small differences between versions don't count. The first threshold shows
/// versions of which all answers are somewhat slow, the second one versions of which some answers are very slow.
const SLOW_THRESHOLDS: [(f64, f64); 2] = [(0.75, 1.5), (0.9, 2.0)];

/// Loads at which other work delays a request little.
const NOT_HEAVY: [Load; 3] = [Load::Idle, Load::Low, Load::Light];
/// Histogram buckets in a step of the thresholds.
const BUCKETS_PER_STEP: usize = 2;

/// Quantile of the baseline's times per event up to which a stream is fast.
///
/// In a trial the endpoints of the new version are nearly idle, while those of the old one serve nearly all requests and
/// are slowed down by them. A new version that is twice as slow is then as fast as most streams of the old one, but not
/// as fast as the fast ones, which other work has not held up.
const FAST_QUANTILE: f64 = 0.25;
/// Factor on that quantile up to which a stream is fast as well: endpoints of a version differ in speed.
const FAST_TOLERANCE: f64 = 1.125;

/// Number of criteria by which an answer is bad, each of which is tested separately. With a single test for all
/// criteria, a service with many slow answers would hide that a version fails.
const CRITERIA: usize = 1 + 2 * SLOW_THRESHOLDS.len();

/// Logarithm of a likelihood ratio; `None` without observations.
type LogRatio = Option<f64>;
/// Log likelihood ratios of one criterion, one for each of [`RATE_INCREASES`].
type IncreaseRatios = [LogRatio; RATE_INCREASES.len()];
/// Log likelihood ratios of all criteria.
type CriteriaRatios = [IncreaseRatios; CRITERIA];

/// A number of answers, and of the bad ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct BadCount {
    pub(super) bad: f64,
    pub(super) total: f64,
}

/// The baseline rate of bad answers for one criterion: the upper end of the confidence interval, so that few answers
/// prove nothing.
fn baseline_rate(baseline: BadCount) -> f64 {
    let answers = baseline.total + 4.0;
    let rate = (baseline.bad + 1.0) / answers;
    (rate + (rate * (1.0 - rate) / answers).sqrt() + TOLERATED_INCREASE).min(0.9)
}

/// Log likelihood ratios of a version's answers, for each increased rate against the baseline rate.
fn log_ratios(new: BadCount, baseline_rate: f64) -> IncreaseRatios {
    let good = new.total - new.bad;
    RATE_INCREASES.map(|increase| {
        let alternative = (baseline_rate + increase).min(MAX_ALTERNATIVE_RATE);
        let log_ratio = new
            .bad
            .mul_add((alternative / baseline_rate).ln(), good * ((1.0 - alternative) / (1.0 - baseline_rate)).ln());
        (new.total > 0.0).then_some(log_ratio)
    })
}

/// Failures of the baseline, supplemented with assumed answers where there are few.
fn baseline_failures(baseline: &AttemptStats) -> BadCount {
    let known = BadCount { bad: baseline.failed as f64, total: baseline.ended as f64 };
    let missing = (MIN_BASELINE_ANSWERS - known.total).max(0.0);
    BadCount { bad: missing.mul_add(PRIOR_FAILURE_RATE, known.bad), total: known.total + missing }
}

/// The histogram bucket above which a time is slow by one threshold; `None` if too few times of the baseline are known.
fn slow_bucket(baseline: &TimeHistogram, (quantile, factor): (f64, f64)) -> Option<usize> {
    if baseline.total() < MIN_BASELINE_TIMES {
        return None;
    }
    // Both are rounded to steps of a quarter, so that times near a threshold are not slow.
    let step = |bucket: usize| bucket / BUCKETS_PER_STEP;
    let on_median = step(baseline.quantile(0.5)?) + step(scaled_bucket(0, factor));
    Some((step(baseline.quantile(quantile)?).max(on_median) + 1) * BUCKETS_PER_STEP - 1)
}

/// Number of times of a version that exceed the higher threshold.
pub(super) fn very_slow(new: &TimeHistogramByLoad, baseline: &TimeHistogramByLoad) -> u64 {
    let [_, very] = SLOW_THRESHOLDS;
    let slow = |load: Load| {
        slow_bucket(&comparable(baseline, load), very).map_or(0, |bucket| new.at(load).count_above(bucket))
    };
    Load::ALL.into_iter().map(slow).sum()
}

/// The baseline's times with which those at a load are compared: those at equal load, or at the next higher load at which
/// enough are known, since with more load no version is faster. Where there are none, those at all loads but heavy ones
/// stand in for a load that is not heavy: slow answers keep their endpoints busy, and must count all the same.
fn comparable(baseline: &TimeHistogramByLoad, load: Load) -> Cow<'_, TimeHistogram> {
    let is_known = |other: &&Load| **other >= load && baseline.at(**other).total() >= MIN_BASELINE_TIMES;
    match Load::ALL.iter().find(is_known) {
        Some(known) => Cow::Borrowed(baseline.at(*known)),
        None if load < Load::Heavy => {
            let mut times = TimeHistogram::new();
            NOT_HEAVY.into_iter().for_each(|load| times.merge(baseline.at(load)));
            Cow::Owned(times)
        },
        None => Cow::Borrowed(baseline.at(load)),
    }
}

/// Log likelihood ratios of slow times at one load, by one threshold.
fn slow_ratios(new: &TimeHistogram, baseline: &TimeHistogram, threshold: (f64, f64)) -> IncreaseRatios {
    let Some(bucket) = slow_bucket(baseline, threshold) else { return IncreaseRatios::default() };
    let slow = |times: &TimeHistogram| BadCount { bad: times.count_above(bucket) as f64, total: times.total() as f64 };
    log_ratios(slow(new), baseline_rate(slow(baseline)))
}

/// Numbers of streams at a load, and of those among them that are slower than the fast ones of the baseline: for the new
/// version and for the baseline.
fn slower_than_fast(
    new: &TimeHistogramByLoad,
    baseline: &TimeHistogramByLoad,
    load: Load,
) -> Option<(BadCount, BadCount)> {
    let comparable = comparable(baseline, load);
    if comparable.total() < MIN_BASELINE_TIMES {
        return None;
    }
    let bucket = scaled_bucket(comparable.quantile(FAST_QUANTILE)?, FAST_TOLERANCE);
    let count = |times: &TimeHistogram| BadCount { bad: times.count_above(bucket) as f64, total: times.total() as f64 };
    Some((count(new.at(load)), count(&comparable)))
}

/// Number of streams of a version that are compared with the fast ones of the baseline, and of those that are slower.
pub(super) fn slower_streams(new: &TimeHistogramByLoad, baseline: &TimeHistogramByLoad) -> BadCount {
    let counts = NOT_HEAVY.into_iter().filter_map(|load| slower_than_fast(new, baseline, load));
    counts.fold(BadCount::default(), |sum, (new, _)| BadCount { bad: sum.bad + new.bad, total: sum.total + new.total })
}

/// Log likelihood ratios of streams that are slower than the fast ones of the baseline.
fn fast_ratios(new: &TimeHistogramByLoad, baseline: &TimeHistogramByLoad) -> IncreaseRatios {
    let mut ratios = IncreaseRatios::default();
    for (new, baseline) in NOT_HEAVY.into_iter().filter_map(|load| slower_than_fast(new, baseline, load)) {
        add(&mut ratios, &log_ratios(new, baseline_rate(baseline)));
    }
    ratios
}

/// Log likelihood ratios of slow times, each compared with those at equal load.
fn time_ratios(new: &TimeHistogramByLoad, baseline: &TimeHistogramByLoad) -> [IncreaseRatios; SLOW_THRESHOLDS.len()] {
    SLOW_THRESHOLDS.map(|threshold| {
        let mut ratios = IncreaseRatios::default();
        for load in Load::ALL {
            add(&mut ratios, &slow_ratios(new.at(load), &comparable(baseline, load), threshold));
        }
        ratios
    })
}

/// Log likelihood ratios of all criteria for one kind of request.
fn criteria_ratios(new: &AttemptStats, baseline: &AttemptStats) -> CriteriaRatios {
    let failed = BadCount { bad: new.failed as f64, total: new.ended as f64 };
    criteria_ratios_with(failed, new, baseline)
}

/// Log likelihood ratios of all criteria, where broken answers don't count as failures: an endpoint that crashes breaks
/// all its answers at once, which would look like a degradation to a test that needs only a few answers.
fn criteria_ratios_by_errors(new: &AttemptStats, baseline: &AttemptStats) -> CriteriaRatios {
    criteria_ratios_with(errors(new), new, baseline)
}

fn errors(new: &AttemptStats) -> BadCount {
    BadCount { bad: new.errors as f64, total: new.observed_starts() as f64 }
}

fn criteria_ratios_with(failed: BadCount, new: &AttemptStats, baseline: &AttemptStats) -> CriteriaRatios {
    let failed = log_ratios(failed, baseline_rate(baseline_failures(baseline)));
    let [first, very_slow_first] = time_ratios(&new.first, &baseline.first);
    let [per_event, very_slow_per_event] = time_ratios(&new.pace, &baseline.pace);
    [failed, first, very_slow_first, per_event, very_slow_per_event]
}

/// Logarithm of the mean of some likelihood ratios.
fn log_mean<'a>(ratios: impl IntoIterator<Item = &'a LogRatio>) -> LogRatio {
    let ratios: Vec<f64> = ratios.into_iter().copied().flatten().collect();
    let max = ratios.iter().copied().reduce(f64::max)?;
    let sum: f64 = ratios.iter().map(|ratio| (ratio - max).exp()).sum();
    Some(max + (sum / ratios.len() as f64).ln())
}

/// The log likelihood ratio of all routes together, or of the single route with the highest one if that is higher. The
/// ratio of a single route is divided by the number of routes, as correction for the multiple comparisons.
fn best(all: LogRatio, routes: impl Iterator<Item = LogRatio>) -> f64 {
    let routes: Vec<f64> = routes.flatten().collect();
    let highest = routes.iter().copied().reduce(f64::max).map(|highest| highest - (routes.len() as f64).ln());
    all.into_iter().chain(highest).reduce(f64::max).unwrap_or_default()
}

/// Logarithm of the odds that a version is worse than the baseline, from the statistics of both for each kind of
/// request.
pub(super) fn log_odds<'a>(kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>) -> f64 {
    let mut by_route: BTreeMap<&str, [LogRatio; CRITERIA + 1]> = BTreeMap::new();
    let mut all = [LogRatio::None; CRITERIA + 1];
    for (kind, new, baseline) in kinds {
        let mut ratios = [LogRatio::None; CRITERIA + 1];
        let increases = criteria_ratios(new, baseline).into_iter().chain([fast_ratios(&new.pace, &baseline.pace)]);
        for (ratio, increases) in ratios.iter_mut().zip(increases) {
            *ratio = log_mean(&increases);
        }
        add(&mut all, &ratios);
        add(by_route.entry(route_of(kind)).or_default(), &ratios);
    }
    // A version may be bad by a single criterion, so the mean over the criteria is computed last.
    best(log_mean(&all), by_route.values().map(log_mean))
}

fn add(sums: &mut [LogRatio], more: &[LogRatio]) {
    for (sum, more) in sums.iter_mut().zip(more) {
        *sum = sum.zip(*more).map(|(sum, more)| sum + more).or(*sum).or(*more);
    }
}

/// Log likelihood ratios of errors alone for one kind of request.
fn error_ratios(new: &AttemptStats, baseline: &AttemptStats) -> CriteriaRatios {
    let mut ratios = CriteriaRatios::default();
    if let Some(first) = ratios.first_mut() {
        *first = log_ratios(errors(new), baseline_rate(baseline_failures(baseline)));
    }
    ratios
}

/// A CUSUM test for a version that was as good as the baseline and has become worse since: log likelihood ratios don't
/// fall below zero, so that good answers from before the change don't outweigh bad ones.
#[derive(Clone, Debug, Default)]
pub(super) struct DegradationTest {
    all: CriteriaRatios,
    by_route: BTreeMap<RouteId, CriteriaRatios>,
}

impl DegradationTest {
    /// Adds new statistics of the version, beside the baseline, for some kinds of request.
    pub(super) fn add<'a>(&mut self, kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>) {
        self.add_ratios(kinds, criteria_ratios_by_errors);
    }

    /// Adds the errors among new statistics, and no other criterion.
    pub(super) fn add_errors<'a>(
        &mut self,
        kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>,
    ) {
        self.add_ratios(kinds, error_ratios);
    }

    fn add_ratios<'a>(
        &mut self,
        kinds: impl Iterator<Item = (&'a str, &'a AttemptStats, &'a AttemptStats)>,
        ratios_of: impl Fn(&AttemptStats, &AttemptStats) -> CriteriaRatios,
    ) {
        let mut by_route: BTreeMap<&str, CriteriaRatios> = BTreeMap::new();
        for (kind, new, baseline) in kinds {
            let sums = by_route.entry(route_of(kind)).or_default();
            add(sums.as_flattened_mut(), ratios_of(new, baseline).as_flattened());
        }
        for (route, ratios) in by_route {
            add(self.all.as_flattened_mut(), ratios.as_flattened());
            let route_sums = self.by_route.entry(route.to_owned()).or_default();
            add(route_sums.as_flattened_mut(), ratios.as_flattened());
            clamp_to_zero(route_sums);
        }
        clamp_to_zero(&mut self.all);
    }

    /// Logarithm of the odds that the version has become worse, by any criterion.
    pub(super) fn log_odds(&self) -> f64 {
        best(log_mean(self.all.as_flattened()), self.by_route.values().map(|ratios| log_mean(ratios.as_flattened())))
    }
}

fn clamp_to_zero(ratios: &mut CriteriaRatios) {
    for ratio in ratios.as_flattened_mut().iter_mut().flatten() {
        *ratio = ratio.max(0.0);
    }
}
