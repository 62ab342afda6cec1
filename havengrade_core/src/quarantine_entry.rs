//! Entries of the quarantine, and the trials by which a quarantined request may be released.

use std::time::{Duration, SystemTime};

use crate::fingerprint::{RequestFingerprint, VersionFingerprint};

/// Time for which a request stays in quarantine: as long as an operator may need to repair the endpoints, since each
/// crash also breaks all other requests at that endpoint.
pub(crate) const QUARANTINE_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Delays from the start of the quarantine to each trial. Callers tolerate three sends after the third crash; two are
/// trials, and one is left for requests that were in flight. The first trial comes before most callers give up.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(600)];
/// Expected duration of a trial, for which other callers of the same request wait.
const TRIAL_DURATION: Duration = Duration::from_secs(2);

/// A quarantined request, as the shared list stores it beyond the life of all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Version of the last endpoint that crashed; an answer from another version does not release the request.
    pub version: VersionFingerprint,
    /// Time of the earliest crash that is attributed to the request.
    pub first_crash: SystemTime,
    /// Start of the quarantine.
    pub since: SystemTime,
    /// End of the quarantine.
    pub until: SystemTime,
    /// Number of trials that were started.
    pub trials: usize,
    /// Start of the last trial.
    pub last_trial: Option<SystemTime>,
}

/// The entry by which a VM claims the next trial of a request, given the entries on the list.
///
/// Gives none while another trial runs or if another VM has claimed this one. Trials run one at a time, so that a
/// crash in one is not attributed to the request of another.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::quarantine::{QuarantineEntry, next_trial};
///
/// let at = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
/// let entry = QuarantineEntry {
///     fingerprint: 7,
///     version: 1,
///     first_crash: at(1),
///     since: at(2),
///     until: at(90),
///     trials: 0,
///     last_trial: None,
/// };
/// let claimed = next_trial(&[], &entry, at(5)).unwrap();
/// assert_eq!(next_trial(&[claimed], &entry, at(6)), None);
/// ```
pub fn next_trial(known: &[QuarantineEntry], wanted: &QuarantineEntry, now: SystemTime) -> Option<QuarantineEntry> {
    let is_on_trial = |entry: &QuarantineEntry| entry.trial_left(now).is_some();
    let was_claimed = |entry: &QuarantineEntry| {
        entry.fingerprint == wanted.fingerprint && now < entry.until && entry.trials != wanted.trials
    };
    let is_free = !known.iter().any(|entry| is_on_trial(entry) || was_claimed(entry));
    is_free.then(|| QuarantineEntry { trials: wanted.trials + 1, last_trial: Some(now), ..*wanted })
}

impl QuarantineEntry {
    /// Time left of a running trial.
    pub(crate) fn trial_left(&self, now: SystemTime) -> Option<Duration> {
        let left = (self.last_trial? + TRIAL_DURATION).duration_since(now).ok()?;
        // A start in the future comes from a VM whose clock was wrong.
        (!left.is_zero() && left <= TRIAL_DURATION).then_some(left)
    }

    /// The time from which the next trial is due, if one is left.
    pub(crate) fn next_trial_at(&self) -> Option<SystemTime> {
        Some(self.since + *TRIAL_DELAYS.get(self.trials)?)
    }
}
