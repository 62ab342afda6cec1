//! Requests that are held back, and their trials.

use std::time::{Duration, SystemTime};

use crate::fingerprint::{RequestFingerprint, VersionFingerprint};

/// Time for which a request is held back. It is as long as an operator may need to mend the endpoints: each crash takes all
/// other requests there with it.
pub(crate) const HOLD: Duration = Duration::from_secs(24 * 3600);
/// Times since a request was held back after which it is last_trial once more. The users allow three sends after the third crash; one is
/// left for those that were on their way. The first follows before most callers give up.
const TRIALS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(600)];
/// Time that a trial takes, for callers of the same request that come meanwhile.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// A request that is held back, as it is kept where it outlasts all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Version of the last endpoint that ended under it; an answer of another version says nothing.
    pub version: VersionFingerprint,
    /// The earliest of the crashes for which it is held.
    pub first_crash: SystemTime,
    /// Since when.
    pub since: SystemTime,
    /// Until when.
    pub until: SystemTime,
    /// Trials that were begun.
    pub trials: usize,
    /// When the last of them was.
    pub last_trial: Option<SystemTime>,
}

/// The entry by which a VM claims the next trial of a request, given what is on the list; none where another trial runs or was claimed
/// first. Trials come one at a time, so that the endpoint of one does not end under that of another request.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::quarantine::{QuarantineEntry, next_trial};
///
/// let at = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
/// let hold =
///     QuarantineEntry { fingerprint: 7, version: 1, first_crash: at(1), since: at(2), until: at(90), trials: 0, last_trial: None };
/// let claimed = next_trial(&[], &hold, at(5)).unwrap();
/// assert_eq!(next_trial(&[claimed], &hold, at(6)), None);
/// ```
pub fn next_trial(known: &[QuarantineEntry], wanted: &QuarantineEntry, now: SystemTime) -> Option<QuarantineEntry> {
    let runs = |kept: &QuarantineEntry| kept.trial_left(now).is_some();
    let was_claimed = |kept: &QuarantineEntry| {
        kept.fingerprint == wanted.fingerprint && now < kept.until && kept.trials != wanted.trials
    };
    let is_free = !known.iter().any(|kept| runs(kept) || was_claimed(kept));
    is_free.then(|| QuarantineEntry { trials: wanted.trials + 1, last_trial: Some(now), ..*wanted })
}

impl QuarantineEntry {
    /// Time until the end of a trial that runs.
    pub(crate) fn trial_left(&self, now: SystemTime) -> Option<Duration> {
        let left = (self.last_trial? + TRIAL_TIME).duration_since(now).ok()?;
        // One from the future is that of a VM whose clock was wrong.
        (!left.is_zero() && left <= TRIAL_TIME).then_some(left)
    }

    /// When the next trial may be, if there is to be one.
    pub(crate) fn next_trial_at(&self) -> Option<SystemTime> {
        Some(self.since + *TRIALS.get(self.trials)?)
    }
}
