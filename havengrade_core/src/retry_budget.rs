//! Retry budget: limits retries to a share of first tries, so that they can't amplify an overload.

/// Hundredths per retry; the budget counts hundredths of retries.
const HUNDREDTHS_PER_RETRY: u64 = 100;
/// Default maximum of saved retries, which bounds a burst.
const MAX_SAVED_RETRIES: u64 = 20;

/// Token bucket of retries that is refilled by first tries.
///
/// ```
/// use havengrade_core::retry_budget::RetryBudget;
///
/// let mut budget = RetryBudget::new(20);
/// while budget.try_acquire() {}
/// (0..5).for_each(|_| budget.record_first_try());
/// assert!(budget.try_acquire());
/// assert!(!budget.try_acquire());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
    max_saved: u64,
    retry_percent: u64,
}

impl RetryBudget {
    /// Creates a budget to which each first try adds `retry_percent` hundredths of a retry.
    pub fn new(retry_percent: u32) -> Self {
        Self::with_max_saved(retry_percent, MAX_SAVED_RETRIES)
    }

    /// Creates a budget that accumulates at most `max_saved` retries, and that starts full.
    ///
    /// ```
    /// use havengrade_core::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_max_saved(50, 1);
    /// assert!(budget.try_acquire());
    /// assert!(!budget.try_acquire());
    /// ```
    pub fn with_max_saved(retry_percent: u32, max_saved: u64) -> Self {
        let max_saved = max_saved * HUNDREDTHS_PER_RETRY;
        Self { saved: max_saved, max_saved, retry_percent: u64::from(retry_percent) }
    }

    /// Sets how many hundredths of a retry each first try adds. The saved retries stay.
    pub fn set_retry_percent(&mut self, retry_percent: u32) {
        self.retry_percent = u64::from(retry_percent);
    }

    /// Records a first try, which adds to the budget.
    pub fn record_first_try(&mut self) {
        self.saved = (self.saved + self.retry_percent).min(self.max_saved);
    }

    /// Takes back a first try that another VM counts.
    ///
    /// ```
    /// use havengrade_core::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_max_saved(50, 1);
    /// budget.retract_first_try();
    /// assert!(!budget.try_acquire());
    /// ```
    pub fn retract_first_try(&mut self) {
        self.saved = self.saved.saturating_sub(self.retry_percent);
    }

    /// Returns an acquired retry to the budget, for a retry that wasn't sent.
    ///
    /// ```
    /// use havengrade_core::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_max_saved(50, 1);
    /// assert!(budget.try_acquire());
    /// budget.refund();
    /// assert!(budget.try_acquire());
    /// ```
    pub fn refund(&mut self) {
        self.saved = (self.saved + HUNDREDTHS_PER_RETRY).min(self.max_saved);
    }

    /// Acquires a retry if at least one more remains in the budget.
    ///
    /// ```
    /// use havengrade_core::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_max_saved(50, 2);
    /// assert!(budget.try_acquire_spare());
    /// assert!(!budget.try_acquire_spare());
    /// ```
    pub fn try_acquire_spare(&mut self) -> bool {
        self.has_spare_retry() && self.try_acquire()
    }

    /// Whether more than one retry is available.
    pub fn has_spare_retry(&self) -> bool {
        self.saved >= 2 * HUNDREDTHS_PER_RETRY
    }

    /// Whether a retry is available.
    pub fn has_retry(&self) -> bool {
        self.saved >= HUNDREDTHS_PER_RETRY
    }

    /// Acquires a retry if one is available.
    pub fn try_acquire(&mut self) -> bool {
        let is_enough = self.has_retry();
        if is_enough {
            self.saved -= HUNDREDTHS_PER_RETRY;
        }
        is_enough
    }
}
