//! Admission control: concurrency and rate limits per client account.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{config::Account, ids::AccountId};

/// Limit of a client account that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountLimit {
    /// Maximum number of requests in progress.
    Concurrency,
    /// Maximum number of requests started per second.
    Rate,
}

/// Current usage of a client account on this VM and on the other VMs.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    in_progress: u32,
    in_progress_elsewhere: u32,
    /// Fill level of the rate limit's token bucket, in thousandths of a request.
    millitokens: u64,
    refilled_at: Option<SystemTime>,
}

/// Thousandths of a token in one token, and milliseconds in a second.
const THOUSAND: u64 = 1000;

/// Usage of all client accounts.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    usage_by_account: HashMap<AccountId, AccountUsage>,
}

impl Admission {
    /// Admits a request if the client account is within its limits.
    ///
    /// `vm_count` is the number of VMs that share the client account's rate.
    ///
    /// # Errors
    ///
    /// The limit that is reached, and the time after which a retry may be admitted.
    pub fn admit(&mut self, account: &Account, vm_count: u32, now: SystemTime) -> Result<(), (AccountLimit, Duration)> {
        /// Suggested retry delay, after which a request in progress may have ended.
        const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

        let usage = self.usage_by_account.entry(account.id.clone()).or_default();
        if usage.in_progress + usage.in_progress_elsewhere >= account.max_concurrent {
            return Err((AccountLimit::Concurrency, CONCURRENCY_RETRY));
        }
        let rate = (u64::from(account.requests_per_second) * THOUSAND / u64::from(vm_count.max(1))).max(1);
        usage.refill(rate, now);
        if usage.millitokens < THOUSAND {
            let wait = Duration::from_millis((THOUSAND - usage.millitokens) * THOUSAND / rate);
            return Err((AccountLimit::Rate, wait.max(Duration::from_millis(1))));
        }
        usage.millitokens -= THOUSAND;
        usage.in_progress += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, account: &str) {
        if let Some(usage) = self.usage_by_account.get_mut(account) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }

    /// Sets the number of requests that the other VMs have in progress.
    pub fn set_in_progress_elsewhere(&mut self, account: &str, in_progress: u32) {
        self.usage_by_account.entry(account.to_owned()).or_default().in_progress_elsewhere = in_progress;
    }

    /// Returns the number of requests in progress on this VM for each client account.
    pub fn in_progress(&self) -> impl Iterator<Item = (&AccountId, u32)> {
        self.usage_by_account.iter().map(|(account, usage)| (account, usage.in_progress))
    }
}

impl AccountUsage {
    /// Refills the token bucket at `rate` millitokens per second.
    ///
    /// The bucket holds the tokens of one second, and at least one whole token.
    fn refill(&mut self, rate: u64, now: SystemTime) {
        let burst = rate.max(THOUSAND);
        let Some(refilled_at) = self.refilled_at else {
            self.millitokens = burst;
            self.refilled_at = Some(now);
            return;
        };
        let elapsed = now.duration_since(refilled_at).unwrap_or_default();
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let gained = rate.saturating_mul(millis) / THOUSAND;
        if gained == 0 {
            return;
        }
        self.millitokens = self.millitokens.saturating_add(gained).min(burst);
        self.refilled_at = Some(now);
    }
}
