//! The retries that this VM may still make, by service.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use havengrade_core::{ids::ServiceId, retry_budget::RetryBudget};

use crate::shared::lock;

/// Part of the bound on retries that is used; the rest covers requests that are counted in another window.
const RETRY_SHARE: f64 = 0.9;
/// Hundredths in a whole.
const PERCENT: f64 = 100.0;
/// Retries that a VM may save up for each service; small, since all VMs share the operators' allowance.
const SAVED_RETRIES: u64 = 4;

/// A budget of retries for each service.
#[derive(Debug)]
pub struct RetryBudgets {
    /// What a first try adds, in hundredths of a retry.
    earned_percent: AtomicU32,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
}

impl RetryBudgets {
    /// Budgets to which each first try adds a part of `ratio`, the operators' bound.
    pub fn new(ratio: f64) -> Self {
        Self { earned_percent: AtomicU32::new(earned_percent(ratio)), budgets: Mutex::default() }
    }

    /// Puts another bound in force.
    pub fn set_ratio(&self, ratio: f64) {
        let percent = earned_percent(ratio);
        self.earned_percent.store(percent, Ordering::Relaxed);
        lock(&self.budgets).values_mut().for_each(|budget| budget.set_retry_percent(percent));
    }

    /// Notes a first try at a service.
    pub fn record_first_try(&self, service: &str) {
        self.with_budget(service, RetryBudget::record_first_try);
    }

    /// Takes a retry at a service, if there is one.
    pub fn try_acquire(&self, service: &str) -> bool {
        self.with_budget(service, RetryBudget::try_acquire)
    }

    /// Puts a retry at a service back, since nothing was sent.
    pub fn refund(&self, service: &str) {
        self.with_budget(service, RetryBudget::refund);
    }

    /// Takes a retry at a service, if one more stays for failures.
    pub fn try_acquire_spare(&self, service: &str) -> bool {
        self.with_budget(service, RetryBudget::try_acquire_spare)
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget);
        }
        let percent = self.earned_percent.load(Ordering::Relaxed);
        act(budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::with_max_saved(percent, SAVED_RETRIES)))
    }
}

fn earned_percent(ratio: f64) -> u32 {
    (ratio * RETRY_SHARE * PERCENT) as u32
}
