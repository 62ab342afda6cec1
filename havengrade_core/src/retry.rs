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
    earned_percent: u64,
}

impl RetryBudget {
    /// A budget to which each first try adds a part of a retry, in hundredths.
    pub fn new(earned_percent: u32) -> Self {
        Self { saved: MOST_SAVED * PRICE, earned_percent: u64::from(earned_percent) }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.earned_percent).min(MOST_SAVED * PRICE);
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
