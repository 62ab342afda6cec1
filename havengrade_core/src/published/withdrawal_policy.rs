//! Whether a key may be used while this VM can't tell whether it has been withdrawn.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// The operators' policy for keys that may have been withdrawn without this VM knowing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WithdrawalPolicy {
    /// No VM uses a withdrawn key for longer than a bound. A VM whose configuration is older than the bound rejects all
    /// requests with keys, even if the keys are still valid.
    #[default]
    Bounded,
    /// A VM uses a key until it learns of its withdrawal, so that requests are served during an outage of the store.
    WhenLearned,
}

/// Time that a request may take from the check of its key to the endpoint.
const KEY_MARGIN: Duration = Duration::from_millis(400);

impl WithdrawalPolicy {
    /// Whether a request with a known key may be sent to an endpoint.
    ///
    /// `confirmed` is the latest time at which the active configuration was known to be the newest. The bound is
    /// shortened by the time that a request takes to reach its endpoint.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::withdrawal_policy::WithdrawalPolicy;
    ///
    /// let confirmed = SystemTime::UNIX_EPOCH;
    /// let bound = Duration::from_secs(5);
    /// let late = confirmed + bound;
    /// assert!(WithdrawalPolicy::Bounded.may_use_key(Some(confirmed), bound, confirmed + Duration::from_secs(4)));
    /// assert!(!WithdrawalPolicy::Bounded.may_use_key(Some(confirmed), bound, late));
    /// assert!(WithdrawalPolicy::WhenLearned.may_use_key(Some(confirmed), bound, late));
    /// assert!(!WithdrawalPolicy::WhenLearned.may_use_key(None, bound, confirmed));
    /// ```
    pub fn may_use_key(self, confirmed: Option<SystemTime>, bound: Duration, now: SystemTime) -> bool {
        match self {
            Self::Bounded => confirmed.is_some_and(|at| now + KEY_MARGIN < at + bound),
            Self::WhenLearned => confirmed.is_some(),
        }
    }
}
