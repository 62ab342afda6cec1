//! Histograms of durations with exponential buckets, which are merged over VMs by addition.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets per doubling of the value: each bucket is about an eighth wider than the one before.
const BUCKETS_PER_DOUBLING: f64 = 6.0;
/// Smallest value that is distinguished from smaller ones.
const MIN_VALUE: f64 = 1e-4;
/// Number of buckets, which reach up to a value of some hundred thousand.
const BUCKETS: usize = 192;
/// Number of buckets of older builds, each as wide as two of today's.
const OLD_BUCKETS: usize = BUCKETS / 2;
/// Added to the numbers of buckets in messages, by the load. Older builds ignore numbers beyond their own buckets, so that
/// they don't take today's buckets for wider ones.
const LIGHT_OFFSET: usize = 1_000;
const LOW_OFFSET: usize = 2_000;
const IDLE_OFFSET: usize = 3_000;

/// A histogram with exponential buckets.
///
/// ```
/// use havengrade_core::published::time_histogram::TimeHistogram;
///
/// let mut times = TimeHistogram::default();
/// for value in [1.0, 1.0, 1.0, 8.0] {
///     times.record(value);
/// }
/// let median = times.quantile(0.5).unwrap();
/// assert_eq!((times.total(), times.count_above(median)), (4, 1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredHistogram")]
pub struct TimeHistogram {
    /// Counts of the buckets, up to the last one that is not empty.
    #[serde(rename = "narrow")]
    counts: Vec<u32>,
}

/// A histogram in a record or message, which may be that of an older build.
#[derive(Deserialize)]
struct StoredHistogram {
    #[serde(default)]
    narrow: Vec<u32>,
    /// Counts of an older build's buckets.
    #[serde(default)]
    counts: Vec<u32>,
}

impl From<StoredHistogram> for TimeHistogram {
    fn from(stored: StoredHistogram) -> Self {
        let mut times = Self { counts: stored.narrow.into_iter().take(BUCKETS).collect() };
        for (bucket, count) in stored.counts.into_iter().enumerate().filter(|(_, count)| *count > 0) {
            times.add_old(bucket, count);
        }
        times
    }
}

impl TimeHistogram {
    /// An empty histogram.
    pub const fn new() -> Self {
        Self { counts: Vec::new() }
    }

    /// Counts a value.
    pub fn record(&mut self, value: f64) {
        let bucket = ((value.max(MIN_VALUE) / MIN_VALUE).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.add(bucket.min(BUCKETS - 1), 1);
    }

    fn add(&mut self, bucket: usize, count: u32) {
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        if let Some(known) = self.counts.get_mut(bucket) {
            *known = known.saturating_add(count);
        }
    }

    /// Adds values to a bucket if there is such a bucket.
    fn add_existing(&mut self, bucket: usize, count: u32) {
        if bucket < BUCKETS {
            self.add(bucket, count);
        }
    }

    /// Adds values from a bucket of an older build, evenly to the buckets that it covers.
    fn add_old(&mut self, bucket: usize, count: u32) {
        if bucket < OLD_BUCKETS {
            self.add(2 * bucket, count - count / 2);
            self.add(2 * bucket + 1, count / 2);
        }
    }

    /// Number of values.
    pub fn total(&self) -> u64 {
        self.counts.iter().copied().map(u64::from).sum()
    }

    /// The bucket that holds the quantile `share`; `None` for an empty histogram.
    pub fn quantile(&self, share: f64) -> Option<usize> {
        let wanted = self.total() as f64 * share;
        let mut passed = 0.0;
        self.counts.iter().position(|count| {
            passed += f64::from(*count);
            passed > 0.0 && passed >= wanted
        })
    }

    /// Number of values above a bucket.
    pub fn count_above(&self, bucket: usize) -> u64 {
        self.counts.iter().skip(bucket + 1).copied().map(u64::from).sum()
    }

    /// Adds the values of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in other.counts.iter().enumerate().filter(|(_, count)| **count > 0) {
            self.add(bucket, *count);
        }
    }

    /// The values that were added since an earlier state of the same histogram.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let before = |bucket: usize| earlier.counts.get(bucket).copied().unwrap_or_default();
        let counts = self.counts.iter().enumerate().map(|(bucket, count)| count.saturating_sub(before(bucket)));
        Self { counts: counts.collect() }
    }

    /// The buckets that are not empty, with their counts.
    fn buckets(&self) -> impl Iterator<Item = (usize, u32)> {
        self.counts.iter().copied().enumerate().filter(|(_, count)| *count > 0)
    }
}

/// The bucket of values that are at least `factor` times as large as those in `bucket`.
pub(super) fn scaled_bucket(bucket: usize, factor: f64) -> usize {
    bucket + (factor.log2() * BUCKETS_PER_DOUBLING) as usize
}

/// Milliseconds per unit of work, so that requests of different sizes can be compared.
pub(super) fn millis_per_work_unit(time: Duration, work: f64) -> f64 {
    time.as_secs_f64() * 1000.0 / work.max(1.0)
}

/// How busy an endpoint was when a request was sent to it. A busy endpoint of any version answers more slowly, so that
/// times are compared only with those at equal load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Load {
    /// At most a sixteenth of the endpoint's slots are in use.
    Idle,
    /// At most an eighth of the slots are in use.
    Low,
    /// At most a quarter of the slots are in use.
    Light,
    /// More than a quarter of the slots are in use.
    Heavy,
}

/// Fractions of its slots up to which the load of an endpoint is idle, low and light.
const MAX_IDLE_LOAD: f64 = 0.0625;
const MAX_LOW_LOAD: f64 = 0.125;
const MAX_LIGHT_LOAD: f64 = 0.25;

impl Load {
    /// All loads, from the lowest one.
    pub(super) const ALL: [Self; 4] = [Self::Idle, Self::Low, Self::Light, Self::Heavy];

    /// The load of an endpoint with `requests` in flight.
    ///
    /// ```
    /// use havengrade_core::published::time_histogram::Load;
    ///
    /// assert_eq!([4, 8, 16, 17].map(|requests| Load::of(requests, 64)), [Load::Idle, Load::Low, Load::Light, Load::Heavy]);
    /// ```
    pub fn of(requests: u32, slots: u32) -> Self {
        let (requests, slots) = (f64::from(requests), f64::from(slots));
        let is_within = |share: f64| requests <= slots * share;
        if is_within(MAX_IDLE_LOAD) {
            Self::Idle
        } else if is_within(MAX_LOW_LOAD) {
            Self::Low
        } else if is_within(MAX_LIGHT_LOAD) {
            Self::Light
        } else {
            Self::Heavy
        }
    }
}

/// Histograms of times by the load of the endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeHistogramByLoad {
    /// Times of idle endpoints.
    #[serde(default)]
    pub idle: TimeHistogram,
    /// Times of endpoints with low load.
    #[serde(default)]
    pub low: TimeHistogram,
    /// Times of lightly loaded endpoints; older builds count those with less load here as well.
    pub light: TimeHistogram,
    /// Times of all other endpoints.
    pub heavy: TimeHistogram,
}

impl TimeHistogramByLoad {
    /// Empty histograms.
    pub const fn new() -> Self {
        let empty = TimeHistogram::new;
        Self { idle: empty(), low: empty(), light: empty(), heavy: empty() }
    }

    /// The times at a load.
    pub(super) fn at(&self, load: Load) -> &TimeHistogram {
        match load {
            Load::Idle => &self.idle,
            Load::Low => &self.low,
            Load::Light => &self.light,
            Load::Heavy => &self.heavy,
        }
    }

    /// Counts a value.
    pub fn record(&mut self, load: Load, value: f64) {
        match load {
            Load::Idle => self.idle.record(value),
            Load::Low => self.low.record(value),
            Load::Light => self.light.record(value),
            Load::Heavy => self.heavy.record(value),
        }
    }

    /// Number of values.
    pub fn total(&self) -> u64 {
        Load::ALL.iter().map(|load| self.at(*load).total()).sum()
    }

    /// Adds the values of other histograms.
    pub fn merge(&mut self, other: &Self) {
        self.idle.merge(&other.idle);
        self.low.merge(&other.low);
        self.light.merge(&other.light);
        self.heavy.merge(&other.heavy);
    }

    /// The values that were added since an earlier state of the same histograms.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            idle: self.idle.since(&earlier.idle),
            low: self.low.since(&earlier.low),
            light: self.light.since(&earlier.light),
            heavy: self.heavy.since(&earlier.heavy),
        }
    }

    /// The buckets of all loads up to light that are not empty, each as its number in messages and its count.
    ///
    /// ```
    /// use havengrade_core::published::time_histogram::{Load, TimeHistogramByLoad};
    ///
    /// let mut times = TimeHistogramByLoad::default();
    /// times.record(Load::Idle, 8.0);
    /// times.record(Load::Light, 9.0);
    /// times.record(Load::Heavy, 9.0);
    /// let (light, heavy) = (times.light_pairs().collect::<Vec<_>>(), times.heavy_pairs().collect::<Vec<_>>());
    /// assert_eq!(TimeHistogramByLoad::from_message(light.into_iter(), heavy.into_iter()), times);
    /// // Older builds number wider buckets from 0, and buckets that don't exist are left out.
    /// let old = TimeHistogramByLoad::from_message([(48, 2), (96, 3), (9_000, 4)].into_iter(), std::iter::empty());
    /// assert_eq!((old.light.total(), old.total()), (2, 2));
    /// ```
    pub fn light_pairs(&self) -> impl Iterator<Item = (usize, u32)> {
        let pairs = |times: &Self, load: Load, offset: usize| {
            let filled: Vec<_> = times.at(load).buckets().map(|(bucket, count)| (bucket + offset, count)).collect();
            filled
        };
        let light = [(Load::Light, LIGHT_OFFSET), (Load::Low, LOW_OFFSET), (Load::Idle, IDLE_OFFSET)];
        light.into_iter().flat_map(move |(load, offset)| pairs(self, load, offset))
    }

    /// The buckets of heavy load that are not empty, each as its number in messages and its count.
    pub fn heavy_pairs(&self) -> impl Iterator<Item = (usize, u32)> {
        self.heavy.buckets().map(|(bucket, count)| (bucket + LIGHT_OFFSET, count))
    }

    /// Histograms from the pairs of a message, which may be that of an older build.
    pub fn from_message(light: impl Iterator<Item = (usize, u32)>, heavy: impl Iterator<Item = (usize, u32)>) -> Self {
        let mut times = Self::default();
        for (number, count) in light {
            match number {
                IDLE_OFFSET.. => times.idle.add_existing(number - IDLE_OFFSET, count),
                LOW_OFFSET.. => times.low.add_existing(number - LOW_OFFSET, count),
                LIGHT_OFFSET.. => times.light.add_existing(number - LIGHT_OFFSET, count),
                _ => times.light.add_old(number, count),
            }
        }
        for (number, count) in heavy {
            match number {
                LIGHT_OFFSET.. => times.heavy.add_existing(number - LIGHT_OFFSET, count),
                _ => times.heavy.add_old(number, count),
            }
        }
        times
    }
}
