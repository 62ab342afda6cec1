//! Admission: limits of client accounts and early refusal.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{config::Account, ids::AccountId};

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountLimit {
    /// Too many of the client account's requests are in progress.
    Concurrency,
    /// The client account started too many requests in the last second.
    Rate,
}

/// What a client account uses, on this VM and on the others.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    in_progress: u32,
    elsewhere: u32,
    /// Tokens of the rate limit, in thousandths of a request.
    tokens: u64,
    refilled: Option<SystemTime>,
}

/// Thousandths of a request.
const WHOLE: u64 = 1000;

/// Use of all client accounts.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    uses: HashMap<AccountId, AccountUsage>,
}

impl Admission {
    /// Admits a request or names the limit that stands against it and when to come again.
    ///
    /// `sharers` is the number of VMs that share the client account's rate.
    ///
    /// # Errors
    ///
    /// The limit and the time after which another try may pass.
    pub fn admit(&mut self, account: &Account, sharers: u32, now: SystemTime) -> Result<(), (AccountLimit, Duration)> {
        /// Time after which a request in progress may have ended.
        const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

        let usage = self.uses.entry(account.id.clone()).or_default();
        if usage.in_progress + usage.elsewhere >= account.max_concurrent {
            return Err((AccountLimit::Concurrency, CONCURRENCY_RETRY));
        }
        let rate = (u64::from(account.requests_per_second) * WHOLE / u64::from(sharers.max(1))).max(1);
        usage.refill(rate, now);
        if usage.tokens < WHOLE {
            let wait = Duration::from_millis((WHOLE - usage.tokens) * WHOLE / rate);
            return Err((AccountLimit::Rate, wait.max(Duration::from_millis(1))));
        }
        usage.tokens -= WHOLE;
        usage.in_progress += 1;
        Ok(())
    }

    /// Ends a request that had been admitted.
    pub fn release(&mut self, account: &str) {
        if let Some(usage) = self.uses.get_mut(account) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }

    /// Takes over how many requests the other VMs have in progress.
    pub fn set_in_progress_elsewhere(&mut self, account: &str, in_progress: u32) {
        self.uses.entry(account.to_owned()).or_default().elsewhere = in_progress;
    }

    /// Requests in progress on this VM, by client account.
    pub fn in_progress(&self) -> impl Iterator<Item = (&AccountId, u32)> {
        self.uses.iter().map(|(account, usage)| (account, usage.in_progress))
    }
}

impl AccountUsage {
    /// Adds what the rate gives since the last time, up to a second's worth and at least a request.
    fn refill(&mut self, rate: u64, now: SystemTime) {
        let most = rate.max(WHOLE);
        let Some(refilled) = self.refilled else {
            self.tokens = most;
            self.refilled = Some(now);
            return;
        };
        let elapsed = now.duration_since(refilled).unwrap_or_default();
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let gained = rate.saturating_mul(millis) / WHOLE;
        if gained == 0 {
            return;
        }
        self.tokens = self.tokens.saturating_add(gained).min(most);
        self.refilled = Some(now);
    }
}
