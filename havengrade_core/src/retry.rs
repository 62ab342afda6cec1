//! The retry budget: retries are paid for by first tries, so that they can't multiply an overload.

/// What one retry costs, in hundredths.
const PRICE: u64 = 100;
/// Retries that may be saved up.
const MOST_SAVED: u64 = 20;

/// A budget of retries.
///
/// ```
/// use havengrade_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(20);
/// while budget.take() {}
/// (0..5).for_each(|_| budget.earn());
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
    most_saved: u64,
    earned_percent: u64,
}

impl RetryBudget {
    /// A budget to which each first try adds a part of a retry, in hundredths.
    pub fn new(earned_percent: u32) -> Self {
        Self::with_savings(earned_percent, MOST_SAVED)
    }

    /// A budget that saves up at most so many retries, and has them at the start.
    ///
    /// ```
    /// use havengrade_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_savings(50, 1);
    /// assert!(budget.take());
    /// assert!(!budget.take());
    /// ```
    pub fn with_savings(earned_percent: u32, most_saved: u64) -> Self {
        let most_saved = most_saved * PRICE;
        Self { saved: most_saved, most_saved, earned_percent: u64::from(earned_percent) }
    }

    /// Changes what each first try adds, in hundredths of a retry; what is saved stays.
    pub fn set_earned(&mut self, earned_percent: u32) {
        self.earned_percent = u64::from(earned_percent);
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.earned_percent).min(self.most_saved);
    }

    /// Puts a retry back that was taken, since nothing was sent.
    ///
    /// ```
    /// use havengrade_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_savings(50, 1);
    /// assert!(budget.take());
    /// budget.put_back();
    /// assert!(budget.take());
    /// ```
    pub fn put_back(&mut self) {
        self.saved = (self.saved + PRICE).min(self.most_saved);
    }

    /// Takes a retry out of the budget, if at least one more stays in it.
    ///
    /// ```
    /// use havengrade_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_savings(50, 2);
    /// assert!(budget.take_spare());
    /// assert!(!budget.take_spare());
    /// ```
    pub fn take_spare(&mut self) -> bool {
        self.saved >= 2 * PRICE && self.take()
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let is_enough = self.saved >= PRICE;
        if is_enough {
            self.saved -= PRICE;
        }
        is_enough
    }
}
