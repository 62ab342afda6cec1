//! The recent use of a service by each client account, compared to an equal share.

use std::{collections::HashMap, time::SystemTime};

use crate::{ids::AccountId, published::decaying_sum::DecayingSum};

/// Highest number of accounts; it bounds the memory of a service to about 64 KB.
const MAX_ACCOUNTS: usize = 512;
/// Decayed number of requests below which an account is not active: one request 23 s ago.
const MIN_ACTIVE: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct AccountUse {
    offered: DecayingSum,
    admitted: DecayingSum,
}

/// Sliding counts of requests for each client account.
#[derive(Clone, Debug, Default)]
pub struct AccountShares {
    by_account: HashMap<AccountId, AccountUse>,
}

impl AccountShares {
    /// Records a request of an account, whether it is sent or refused.
    pub fn record_offered(&mut self, account: &str, now: SystemTime) {
        if !self.by_account.contains_key(account) && self.by_account.len() >= MAX_ACCOUNTS {
            self.drop_least_active(now);
        }
        self.by_account.entry(account.to_owned()).or_default().offered.add(1.0, now);
    }

    /// Records that a request of an account is sent.
    pub fn record_admitted(&mut self, account: &str, now: SystemTime) {
        if let Some(known) = self.by_account.get_mut(account) {
            known.admitted.add(1.0, now);
        }
    }

    /// The requests of an account that were sent recently, as a multiple of an equal share of all active accounts.
    ///
    /// Refused requests don't count, so that an account which is refused down to the use of the next one is then
    /// treated like that one.
    ///
    /// ```
    /// use std::time::SystemTime;
    /// use havengrade_core::published::account_shares::AccountShares;
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut shares = AccountShares::default();
    /// for account in ["small", "large", "large", "large"] {
    ///     shares.record_offered(account, now);
    ///     shares.record_admitted(account, now);
    /// }
    /// assert_eq!(shares.use_of("small", now), 0.5);
    /// assert_eq!(shares.use_of("large", now), 1.5);
    /// assert_eq!(shares.use_of("unknown", now), 0.0);
    /// ```
    pub fn use_of(&self, account: &str, now: SystemTime) -> f64 {
        let active = self.by_account.values().filter(|known| known.offered.value(now) >= MIN_ACTIVE);
        let (accounts, total) =
            active.fold((0u32, 0.0), |(accounts, total), known| (accounts + 1, total + known.admitted.value(now)));
        if total <= 0.0 {
            return 0.0;
        }
        let own = self.by_account.get(account).map_or(0.0, |known| known.admitted.value(now));
        own * f64::from(accounts) / total
    }

    /// The number of accounts that are kept.
    pub fn len(&self) -> usize {
        self.by_account.len()
    }

    /// Whether no account is kept.
    pub fn is_empty(&self) -> bool {
        self.by_account.is_empty()
    }

    /// Drops inactive accounts, or the least active one if all are active.
    fn drop_least_active(&mut self, now: SystemTime) {
        self.by_account.retain(|_, known| known.offered.value(now) >= MIN_ACTIVE);
        if self.by_account.len() < MAX_ACCOUNTS {
            return;
        }
        let least =
            self.by_account.iter().min_by(|(_, a), (_, b)| a.offered.value(now).total_cmp(&b.offered.value(now)));
        if let Some(account) = least.map(|(account, _)| account.clone()) {
            self.by_account.remove(&account);
        }
    }
}
