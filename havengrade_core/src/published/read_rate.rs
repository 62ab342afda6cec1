//! The rate at which the endpoints of a service read prompts.

use std::{collections::HashMap, time::Duration};

use crate::ids::ServiceId;

/// Time in which an endpoint reads a prompt token of the largest model, until the rate of its service is learned.
const DEFAULT_TIME_PER_TOKEN: Duration = Duration::from_micros(75);
/// Smallest and largest learned rate, as multiples of the default; a time outside them has another cause than reading.
const LEARNED_RANGE: (f64, f64) = (0.1, 10.0);
/// Tokens that the default counts for: those of two or three prompts of the largest model.
const DEFAULT_TOKENS: f64 = 8_000.0;
/// Tokens over which the rate is averaged, about ten seconds of the requests of a VM.
const AVERAGED_TOKENS: f64 = 60_000.0;
/// Share by which the smallest known time to a first event grows with each sample, so that it is not kept forever.
const SMALLEST_TIME_GROWTH: f64 = 1.005;

/// Time in which an endpoint reads prompt tokens of the largest model at the default rate.
///
/// Bounds on the waiting work are stated in the time of unloaded endpoints
/// ([`UnloadedReadRates`](crate::published::unloaded_read_rate::UnloadedReadRates)), which is never above this one: a
/// rate of [`ReadRates`] contains the delays that this work itself causes, so that the bounds would count them twice.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::read_rate::nominal_time_to_read;
///
/// assert_eq!(nominal_time_to_read(2000.0), Duration::from_millis(150));
/// ```
pub fn nominal_time_to_read(tokens: f64) -> Duration {
    DEFAULT_TIME_PER_TOKEN.mul_f64(tokens.max(0.0))
}

/// The learned rate of a service.
#[derive(Clone, Copy, Debug)]
struct LearnedRate {
    /// Time in seconds that was spent reading, beyond the smallest time to a first event.
    seconds: f64,
    tokens: f64,
    /// Time to a first event with little to read: the network, and a step of the batch.
    smallest_s: f64,
}

impl LearnedRate {
    fn record(&mut self, tokens: f64, time_s: f64) {
        self.smallest_s = (self.smallest_s * SMALLEST_TIME_GROWTH).min(time_s);
        let reading_s = (time_s - self.smallest_s).min(tokens * seconds_per_token(LEARNED_RANGE.1));
        self.seconds += reading_s;
        self.tokens += tokens;
        let excess = (self.tokens / AVERAGED_TOKENS).max(1.0);
        self.seconds /= excess;
        self.tokens /= excess;
    }

    fn time_per_token(&self) -> Duration {
        let seconds = self.seconds + DEFAULT_TOKENS * seconds_per_token(1.0);
        let rate = seconds / (self.tokens + DEFAULT_TOKENS);
        Duration::from_secs_f64(rate.clamp(seconds_per_token(LEARNED_RANGE.0), seconds_per_token(LEARNED_RANGE.1)))
    }
}

fn seconds_per_token(multiple: f64) -> f64 {
    DEFAULT_TIME_PER_TOKEN.as_secs_f64() * multiple
}

/// The learned rates of all services.
#[derive(Clone, Debug, Default)]
pub struct ReadRates {
    by_service: HashMap<ServiceId, LearnedRate>,
}

impl ReadRates {
    /// Time in which an average endpoint of a service reads prompt tokens, counted as tokens of the largest model.
    ///
    /// ```
    /// use std::time::Duration;
    /// use havengrade_core::published::read_rate::ReadRates;
    ///
    /// let rates = ReadRates::default();
    /// assert_eq!(rates.time_to_read("models", 2000.0), Duration::from_millis(150));
    /// ```
    pub fn time_to_read(&self, service: &str, tokens: f64) -> Duration {
        let rate = self.by_service.get(service).map_or(DEFAULT_TIME_PER_TOKEN, LearnedRate::time_per_token);
        rate.mul_f64(tokens.max(0.0))
    }

    /// Records the time to the first event of a request before which an endpoint had to read `tokens`: those that were
    /// pending and those of the request, counted as tokens of the largest model.
    ///
    /// `slowness` is that of the endpoint, so that the rate is the one of an average endpoint. If the work of other VMs
    /// is not known, `tokens` is too small and the rate rises.
    ///
    /// ```
    /// use std::time::Duration;
    /// use havengrade_core::published::read_rate::ReadRates;
    ///
    /// let mut rates = ReadRates::default();
    /// for _ in 0..100 {
    ///     rates.record("models", 100.0, Duration::from_millis(30), 1.0);
    ///     rates.record("models", 5_000.0, Duration::from_millis(1_030), 1.0);
    /// }
    /// let learned = rates.time_to_read("models", 1_000.0);
    /// assert!(learned > Duration::from_millis(170) && learned < Duration::from_millis(200));
    /// ```
    pub fn record(&mut self, service: &str, tokens: f64, time: Duration, slowness: f64) {
        let time_s = time.as_secs_f64() / slowness;
        if !self.by_service.contains_key(service) {
            let first = LearnedRate { seconds: 0.0, tokens: 0.0, smallest_s: time_s };
            self.by_service.insert(service.to_owned(), first);
        }
        if let Some(rate) = self.by_service.get_mut(service) {
            rate.record(tokens.max(0.0), time_s);
        }
    }
}
