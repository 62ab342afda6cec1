//! A sum whose parts lose weight with their age, as a sliding window of constant size.

use std::time::{Duration, SystemTime};

/// Time after which a part counts for 37 % (1/e).
///
/// A VM receives a few generations per second. 10 s hold enough of them to tell accounts apart, and a sudden crowd
/// is noticed within 2 s.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The decaying sum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    updated_at: Option<SystemTime>,
}

impl DecayingSum {
    /// Adds an amount.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::decaying_sum::DecayingSum;
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut sum = DecayingSum::default();
    /// sum.add(2.0, now);
    /// assert_eq!(sum.value(now), 2.0);
    /// assert!(sum.value(now + Duration::from_secs(10)) < 0.8);
    /// ```
    pub fn add(&mut self, amount: f64, now: SystemTime) {
        self.value = self.value(now) + amount;
        self.updated_at = Some(now);
    }

    /// The sum at a time.
    pub fn value(&self, now: SystemTime) -> f64 {
        let age = self.updated_at.and_then(|at| now.duration_since(at).ok()).unwrap_or_default();
        self.value * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
