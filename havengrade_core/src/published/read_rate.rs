//! The rate at which the endpoints of a service read prompts.

use std::{collections::HashMap, time::Duration};

use crate::ids::ServiceId;

/// Time in which an endpoint reads a prompt token of the largest model, until the rate of its service is learned.
const DEFAULT_TIME_PER_TOKEN: Duration = Duration::from_micros(75);

/// The learned rates of all services.
#[derive(Clone, Debug, Default)]
pub struct ReadRates {
    by_service: HashMap<ServiceId, Duration>,
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
        self.by_service.get(service).copied().unwrap_or(DEFAULT_TIME_PER_TOKEN).mul_f64(tokens.max(0.0))
    }
}
