//! The rate at which endpoints of a service read prompts while no other work delays them.
//!
//! A sample is the time to a first event beyond the smallest one, divided by the prompt tokens that no other request
//! shares. These tokens are read in any case, while a shared prefix may be cached, so that waiting work and unread
//! prefixes only make a sample slower. A low quantile of the samples is therefore close to the unloaded rate. The known
//! rate follows it quickly to a faster one, and slowly to a slower one, because in a shortage all samples are slow.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use crate::{ids::ServiceId, published::read_rate::nominal_time_to_read};

/// Highest number of samples that the quantile is taken from.
const SAMPLES: usize = 64;
/// Share of the samples that are faster than the quantile.
const QUANTILE: f64 = 0.08;
/// Number of samples that are left out beside this share. Few samples may be too fast, since the own part of a prompt is
/// cached if an earlier request of its session had the same one.
const SPARE_SAMPLES: f64 = 3.0;
/// Least number of tokens between a sample and the smallest time: reading them takes longer than a step of the batch.
const MIN_TOKENS: f64 = 1_000.0;
/// Share of the nominal time per token below which a prompt counts as cached.
const MIN_SHARE_OF_NOMINAL: f64 = 0.25;
/// Part by which the known time per token falls to a shorter one with each sample.
const FALL_SHARE: f64 = 0.5;
/// Time in which the known time per token rises to e times itself while all samples are slower, as in a
/// shortage.
const RISE_TIME: Duration = Duration::from_secs(1200);
/// Factor by which the smallest known time to a first event grows with each answer, so that it is not kept forever.
const SMALLEST_TIME_GROWTH: f64 = 1.005;

/// Time to the first event of a generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventTime {
    /// Tokens of the prompt that no other request shares, counted as tokens of the largest model.
    pub own_tokens: f64,
    /// Time from the send to the first event.
    pub time: Duration,
    /// Learned slowness of the endpoint, so that the rate is the one of an average endpoint. It raises the time of a fast
    /// endpoint, but doesn't lower that of a slow one, which may have recovered.
    pub slowness: f64,
}

/// The unloaded rate of a service.
#[derive(Clone, Debug)]
struct UnloadedRate {
    /// The time of a first event with little to read: the network, and a step of the batch.
    smallest: FirstEvent,
    /// The latest samples.
    samples: VecDeque<Sample>,
    seconds_per_token: f64,
    updated_at: SystemTime,
}

#[derive(Clone, Copy, Debug)]
struct FirstEvent {
    own_tokens: f64,
    seconds: f64,
}

/// A first event, and the one with the smallest time around it.
#[derive(Clone, Copy, Debug)]
struct Sample {
    event: FirstEvent,
    smallest: FirstEvent,
}

impl Sample {
    fn tokens(&self) -> f64 {
        self.event.own_tokens - self.smallest.own_tokens
    }

    /// Seconds per token, unless there are too few tokens or the prompt was cached.
    fn seconds_per_token(&self) -> Option<f64> {
        let rate = (self.event.seconds - self.smallest.seconds) / self.tokens();
        (self.tokens() >= MIN_TOKENS && rate >= nominal_s() * MIN_SHARE_OF_NOMINAL).then_some(rate)
    }
}

impl UnloadedRate {
    fn new(first: FirstEvent, now: SystemTime) -> Self {
        Self { smallest: first, samples: VecDeque::new(), seconds_per_token: nominal_s(), updated_at: now }
    }

    fn record(&mut self, event: FirstEvent, now: SystemTime) {
        self.smallest.seconds *= SMALLEST_TIME_GROWTH;
        if event.seconds <= self.smallest.seconds {
            self.set_smallest(event);
        }
        let sample = Sample { event, smallest: self.smallest };
        if sample.tokens() < MIN_TOKENS {
            return;
        }
        if self.samples.len() == SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let known = self.current(now);
        self.seconds_per_token = known - (known - self.quantile()).max(0.0) * FALL_SHARE;
        self.updated_at = now;
    }

    /// Earlier samples were compared with a time that contains a delay if it was longer than this one.
    fn set_smallest(&mut self, event: FirstEvent) {
        self.smallest = event;
        for sample in self.samples.iter_mut().filter(|sample| sample.smallest.seconds > event.seconds) {
            sample.smallest = event;
        }
    }

    /// Seconds per token by the latest samples; the nominal ones if there are too few samples.
    fn quantile(&self) -> f64 {
        let mut rates: Vec<f64> = self.samples.iter().filter_map(Sample::seconds_per_token).collect();
        rates.sort_by(f64::total_cmp);
        let rank = (rates.len() as f64 * QUANTILE + SPARE_SAMPLES) as usize;
        rates.get(rank).copied().unwrap_or_else(nominal_s)
    }

    fn current(&self, now: SystemTime) -> f64 {
        let elapsed = now.duration_since(self.updated_at).unwrap_or_default();
        let risen = self.seconds_per_token * (elapsed.as_secs_f64() / RISE_TIME.as_secs_f64()).exp();
        risen.min(nominal_s())
    }
}

/// Nominal time in seconds to read a token of the largest model.
fn nominal_s() -> f64 {
    nominal_time_to_read(1.0).as_secs_f64()
}

/// The unloaded rates of all services.
#[derive(Clone, Debug, Default)]
pub struct UnloadedReadRates {
    by_service: HashMap<ServiceId, UnloadedRate>,
}

impl UnloadedReadRates {
    /// Time in which an average endpoint of a service reads prompt tokens, counted as tokens of the largest model, if no
    /// other work delays it. It is never longer than the nominal time, which applies until enough samples are known.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::unloaded_read_rate::UnloadedReadRates;
    ///
    /// let rates = UnloadedReadRates::default();
    /// assert_eq!(rates.time_to_read("models", 2000.0, SystemTime::UNIX_EPOCH), Duration::from_millis(150));
    /// ```
    pub fn time_to_read(&self, service: &str, tokens: f64, now: SystemTime) -> Duration {
        let rate = self.by_service.get(service).map_or_else(nominal_s, |rate| rate.current(now));
        Duration::from_secs_f64(rate * tokens.max(0.0))
    }

    /// Records the time to a first event at an endpoint of a service.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::unloaded_read_rate::{FirstEventTime, UnloadedReadRates};
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut rates = UnloadedReadRates::default();
    /// let mut record = |own_tokens, millis| {
    ///     let time = Duration::from_millis(millis);
    ///     rates.record("models", FirstEventTime { own_tokens, time, slowness: 1.0 }, now);
    /// };
    /// record(0.0, 30);
    /// for _ in 0..10 {
    ///     record(2_000.0, 110);
    /// }
    /// let learned = rates.time_to_read("models", 1_000.0, now);
    /// assert!(learned > Duration::from_millis(38) && learned <= Duration::from_millis(42));
    /// ```
    pub fn record(&mut self, service: &str, measured: FirstEventTime, now: SystemTime) {
        let seconds = measured.time.as_secs_f64() / measured.slowness.min(1.0);
        let event = FirstEvent { own_tokens: measured.own_tokens.max(0.0), seconds };
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), UnloadedRate::new(event, now));
        }
        if let Some(rate) = self.by_service.get_mut(service) {
            rate.record(event, now);
        }
    }
}
