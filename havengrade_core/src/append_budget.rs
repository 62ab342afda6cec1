//! The budget of appends: the log service takes some hundred a second from all VMs together.

use std::time::{Duration, SystemTime};

/// Appends that may be saved up.
const MAX_SAVED_APPENDS: f64 = 8.0;

/// A VM's share of the appends that the log service takes.
///
/// While few requests come, each record is appended at once; under load records gather while they wait
/// for the next append, so that the log sees no more than its share from each VM.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::append_budget::AppendBudget;
///
/// let mut now = SystemTime::UNIX_EPOCH;
/// let mut budget = AppendBudget::default();
/// while budget.try_acquire(40.0, now).is_ok() {}
/// let wait = budget.try_acquire(40.0, now).unwrap_err();
/// assert_eq!(wait, Duration::from_millis(25));
/// now += wait;
/// assert!(budget.try_acquire(40.0, now).is_ok());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AppendBudget {
    saved: f64,
    refilled: SystemTime,
}

impl Default for AppendBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED_APPENDS, refilled: SystemTime::UNIX_EPOCH }
    }
}

impl AppendBudget {
    /// Takes an append out of a budget of `per_second`.
    ///
    /// # Errors
    ///
    /// The time after which there will be one.
    pub fn try_acquire(&mut self, per_second: f64, now: SystemTime) -> Result<(), Duration> {
        let elapsed = now.duration_since(self.refilled).unwrap_or_default();
        self.saved = (self.saved + elapsed.as_secs_f64() * per_second).min(MAX_SAVED_APPENDS);
        self.refilled = now.max(self.refilled);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        // Rounded up, so that the budget is there when the time is over.
        let wait = (1.0 - self.saved) / per_second.max(f64::MIN_POSITIVE);
        let millis = (wait * 1000.0).ceil().min(MAX_WAIT_MS);
        Err(Duration::from_millis(millis as u64))
    }
}

/// Longest wait for an append, in milliseconds.
const MAX_WAIT_MS: f64 = 1000.0;
