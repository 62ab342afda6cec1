//! Rate limit on appends to the log service, which accepts some hundred a second from all VMs together.

use std::time::{Duration, SystemTime};

/// Maximum number of unused appends that accumulate, which bounds a burst.
const MAX_SAVED_APPENDS: f64 = 8.0;

/// Token bucket for a VM's share of the appends that the log service accepts.
///
/// At low load each record is appended at once. Under load, records are batched while they wait for the
/// next append, so that each VM stays within its share.
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
    available: f64,
    refilled_at: SystemTime,
}

impl Default for AppendBudget {
    fn default() -> Self {
        Self { available: MAX_SAVED_APPENDS, refilled_at: SystemTime::UNIX_EPOCH }
    }
}

impl AppendBudget {
    /// Acquires one append from a bucket that is refilled at `per_second` appends per second.
    ///
    /// # Errors
    ///
    /// The time until an append is available.
    pub fn try_acquire(&mut self, per_second: f64, now: SystemTime) -> Result<(), Duration> {
        let elapsed = now.duration_since(self.refilled_at).unwrap_or_default();
        self.available = (self.available + elapsed.as_secs_f64() * per_second).min(MAX_SAVED_APPENDS);
        self.refilled_at = now.max(self.refilled_at);
        if self.available >= 1.0 {
            self.available -= 1.0;
            return Ok(());
        }
        // Rounded up, so that the append is available once the wait is over.
        let wait = (1.0 - self.available) / per_second.max(f64::MIN_POSITIVE);
        let millis = (wait * 1000.0).ceil().min(MAX_WAIT_MS);
        Err(Duration::from_millis(millis as u64))
    }
}

/// Maximum wait for an append, in milliseconds.
const MAX_WAIT_MS: f64 = 1000.0;
