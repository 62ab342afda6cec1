//! The requests that this VM refused recently, by which a caller's retry is recognised although it has a new id.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime},
};

use crate::fingerprint::RequestFingerprint;

/// Time for which a refusal is kept; callers wait at most a third of a time limit, and the longest limits are 25 s.
const RETENTION: Duration = Duration::from_secs(15);
/// Highest number of refusals, so that a look-up compares at most 8 KB.
const MAX_REFUSALS: usize = 512;

/// Recent refusals, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentRefusals {
    refusals: VecDeque<(RequestFingerprint, SystemTime)>,
}

impl RecentRefusals {
    /// Records a refusal.
    pub fn record(&mut self, fingerprint: RequestFingerprint, now: SystemTime) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back((fingerprint, now));
    }

    /// Whether the request was refused recently. The refusal is removed, so that it counts for one retry.
    ///
    /// ```
    /// use std::time::SystemTime;
    /// use havengrade_core::published::recent_refusals::RecentRefusals;
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut refusals = RecentRefusals::default();
    /// refusals.record(7, now);
    /// assert!(refusals.take(7, now));
    /// assert!(!refusals.take(7, now));
    /// ```
    pub fn take(&mut self, fingerprint: RequestFingerprint, now: SystemTime) -> bool {
        while self.refusals.front().is_some_and(|(_, at)| *at + RETENTION <= now) {
            self.refusals.pop_front();
        }
        let found = self.refusals.iter().position(|(known, _)| *known == fingerprint);
        found.and_then(|index| self.refusals.remove(index)).is_some()
    }
}
