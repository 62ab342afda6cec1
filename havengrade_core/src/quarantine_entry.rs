//! Entries of the quarantine, and the trials by which a quarantined request or part may be released.

use std::time::{Duration, SystemTime};

use crate::fingerprint::{EndpointFingerprint, SubjectFingerprint, VersionFingerprint};

/// Time for which a request stays in quarantine: as long as an operator may need to repair the endpoints, since each
/// crash also breaks all other requests at that endpoint.
pub(crate) const QUARANTINE_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Delays from the start of the quarantine to each trial. Callers tolerate three sends after the third crash; two are
/// trials, and one is the send of a suspect. The first trial comes before most callers give up.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(600)];
/// Time within which all VMs have a report on a claim.
const CLAIM_REPORT_TIME: Duration = Duration::from_millis(400);
/// Expected duration of a trial, for which other callers of the same request wait.
const TRIAL_DURATION: Duration = Duration::from_secs(2);

/// A quarantined request or part of prompts, as the shared list stores it beyond the life of all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request or part.
    pub fingerprint: SubjectFingerprint,
    /// Version of the last endpoint that crashed; an answer from another version does not release the request.
    pub version: VersionFingerprint,
    /// Time of the earliest crash that is attributed to it.
    pub first_crash: SystemTime,
    /// Start of the quarantine.
    pub since: SystemTime,
    /// End of the quarantine.
    pub until: SystemTime,
    /// Number of trials that were started.
    pub trials: usize,
    /// Start of the last trial, or of the send as a suspect if there was no trial yet.
    pub last_trial: Option<SystemTime>,
    /// Endpoint of that send, which no other claimed send may use meanwhile; none if its VM did not state it, so that it
    /// may be any endpoint.
    pub endpoint: Option<EndpointFingerprint>,
}

/// The entry by which a VM claims the next trial of a request, given the entries on the list.
///
/// Gives none while another claimed send runs at the same endpoint or if another VM has claimed this one, so that a
/// crash in one is not attributed to the request of another.
///
/// Before the first trial is due, the entry is that of a suspect, and the claim is for its single send. It depends on
/// no other request: a harmless suspect must not wait until all causes are found.
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
///     endpoint: Some(11),
/// };
/// let claimed = next_trial(&[], &entry, at(5)).unwrap();
/// assert_eq!(next_trial(&[claimed], &entry, at(6)), None);
/// ```
pub fn next_trial(known: &[QuarantineEntry], wanted: &QuarantineEntry, now: SystemTime) -> Option<QuarantineEntry> {
    let mut same = known.iter().filter(|entry| entry.fingerprint == wanted.fingerprint && now < entry.until);
    let is_first_send = wanted.is_first_send(now);
    let was_claimed = if is_first_send {
        same.next().is_some()
    } else {
        same.any(|entry| entry.claim_count() > wanted.claim_count())
    };
    let is_in_the_way = |entry: &QuarantineEntry| {
        let Some(left) = entry.trial_left(now) else { return false };
        if entry.fingerprint == wanted.fingerprint {
            return true;
        }
        if let (Some(used), Some(endpoint)) = (entry.endpoint, wanted.endpoint) {
            return used == endpoint;
        }
        let must_have_ended = wanted.is_attributed() && !is_first_send;
        must_have_ended || TRIAL_DURATION - left < CLAIM_REPORT_TIME
    };
    if was_claimed || known.iter().any(is_in_the_way) {
        return None;
    }
    let trials = wanted.trials + usize::from(!is_first_send);
    Some(QuarantineEntry { trials, last_trial: Some(now), ..*wanted })
}

impl QuarantineEntry {
    /// Whether crashes are attributed to the request; otherwise it is a suspect that was sent once.
    pub(crate) fn is_attributed(&self) -> bool {
        self.trials > 0 || self.last_trial.is_none()
    }

    /// Whether the entry is that of a suspect, for its single send before the first trial is due.
    pub fn is_first_send(&self, now: SystemTime) -> bool {
        self.last_trial.is_none() && self.next_trial_at().is_some_and(|due| now < due)
    }

    /// Whether both entries state the same claimed send; the times that VMs report for it differ by the delay of reports.
    pub(crate) fn is_same_send(&self, other: &Self) -> bool {
        let (Some(one), Some(two)) = (self.last_trial, other.last_trial) else { return false };
        let apart = one.duration_since(two).or_else(|_| two.duration_since(one));
        self.trials == other.trials && apart.is_ok_and(|apart| apart < CLAIM_REPORT_TIME)
    }

    /// Number of sends that were claimed or skipped.
    fn claim_count(&self) -> usize {
        self.trials + usize::from(self.last_trial.is_some())
    }

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
