//! The retry budget: retries are paid for by first tries, so that they can't multiply an overload.

/// What one retry costs, in hundredths.
const HUNDREDTHS_PER_RETRY: u64 = 100;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: u64 = 20;

/// A budget of retries.
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
    /// A budget to which each first try adds a part of a retry, in hundredths.
    pub fn new(retry_percent: u32) -> Self {
        Self::with_max_saved(retry_percent, MAX_SAVED_RETRIES)
    }

    /// A budget that saves up at most so many retries, and has them at the start.
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

    /// Changes what each first try adds, in hundredths of a retry; what is saved stays.
    pub fn set_retry_percent(&mut self, retry_percent: u32) {
        self.retry_percent = u64::from(retry_percent);
    }

    /// Notes a first try.
    pub fn record_first_try(&mut self) {
        self.saved = (self.saved + self.retry_percent).min(self.max_saved);
    }

    /// Puts a retry back that was taken, since nothing was sent.
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

    /// Takes a retry out of the budget, if at least one more stays in it.
    ///
    /// ```
    /// use havengrade_core::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_max_saved(50, 2);
    /// assert!(budget.try_acquire_spare());
    /// assert!(!budget.try_acquire_spare());
    /// ```
    pub fn try_acquire_spare(&mut self) -> bool {
        self.saved >= 2 * HUNDREDTHS_PER_RETRY && self.try_acquire()
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn try_acquire(&mut self) -> bool {
        let is_enough = self.saved >= HUNDREDTHS_PER_RETRY;
        if is_enough {
            self.saved -= HUNDREDTHS_PER_RETRY;
        }
        is_enough
    }
}
