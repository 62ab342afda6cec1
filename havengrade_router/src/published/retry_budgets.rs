//! Retry budgets of this VM, by service.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use havengrade_core::{ids::ServiceId, retry_budget::RetryBudget};

use crate::shared::lock;

/// Share of the operators' bound that is used; the rest covers requests that are counted in another window.
const RETRY_SHARE: f64 = 0.9;
/// Factor from a ratio to percent.
const PERCENT: f64 = 100.0;
/// Retries that a VM may accumulate for each service; small, since the operators' bound holds for all VMs together.
const MAX_SAVED_RETRIES: u64 = 4;

/// Retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    /// Retries that a first try adds to the budget, in percent.
    retry_percent: AtomicU32,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
}

impl RetryBudgets {
    /// Creates budgets to which each first try adds a share of `ratio`, the operators' bound on retries.
    pub fn new(ratio: f64) -> Self {
        Self { retry_percent: AtomicU32::new(retry_percent(ratio)), budgets: Mutex::default() }
    }

    /// Changes the bound of all budgets.
    pub fn set_ratio(&self, ratio: f64) {
        let percent = retry_percent(ratio);
        self.retry_percent.store(percent, Ordering::Relaxed);
        lock(&self.budgets).values_mut().for_each(|budget| budget.set_retry_percent(percent));
    }

    /// Adds to the budget for a first try at a service.
    pub fn record_first_try(&self, service: &str) {
        self.with_budget(service, RetryBudget::record_first_try);
    }

    /// Takes back a first try of a service that another VM counts.
    pub fn retract_first_try(&self, service: &str) {
        self.with_budget(service, RetryBudget::retract_first_try);
    }

    /// Takes a retry from the budget of a service; returns whether one was left.
    pub fn try_acquire(&self, service: &str) -> bool {
        self.with_budget(service, RetryBudget::try_acquire)
    }

    /// Whether more than one retry is left in the budget of a service.
    pub(super) fn has_spare_retry(&self, service: &str) -> bool {
        self.with_budget(service, |budget| budget.has_spare_retry())
    }

    /// Whether a retry is left in the budget of a service.
    pub(super) fn has_retry(&self, service: &str) -> bool {
        self.with_budget(service, |budget| budget.has_retry())
    }

    /// Returns a retry to the budget of a service, since nothing was sent.
    pub fn refund(&self, service: &str) {
        self.with_budget(service, RetryBudget::refund);
    }

    /// Takes a retry from the budget of a service if another one remains for failures.
    pub fn try_acquire_spare(&self, service: &str) -> bool {
        self.with_budget(service, RetryBudget::try_acquire_spare)
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget);
        }
        let percent = self.retry_percent.load(Ordering::Relaxed);
        act(budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::with_max_saved(percent, MAX_SAVED_RETRIES)))
    }
}

fn retry_percent(ratio: f64) -> u32 {
    (ratio * RETRY_SHARE * PERCENT) as u32
}
