//! What VMs tell each other of requests that crash endpoints.

use std::time::{Duration, SystemTime};

use crate::{
    fingerprint::{RequestFingerprint, VersionFingerprint},
    ids::EndpointId,
    quarantine_entry::QuarantineEntry,
};

/// A request was in progress at an endpoint when that ended, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its version.
    pub version: VersionFingerprint,
    /// Time from when the request was sent there until then.
    pub ran_for: Duration,
    /// Time since then.
    pub age: Duration,
}

/// A request that is held back, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedQuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Version of the last endpoint that ended under it.
    pub version: VersionFingerprint,
    /// Time since the earliest of the crashes for which it is held.
    pub first_crash_age: Duration,
    /// Time since it is held.
    pub quarantined_for: Duration,
    /// Time for which it is held on.
    pub remaining: Duration,
    /// Trials that were begun.
    pub trials: usize,
    /// Time since the last of them.
    pub last_trial_age: Option<Duration>,
    /// Whether it is known to be written where it outlasts all VMs.
    pub is_stored: bool,
}

/// A request that an endpoint answered as a whole, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAnswer {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Version of the endpoint.
    pub version: VersionFingerprint,
    /// Time since then.
    pub age: Duration,
}

/// What a VM tells others of requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Crashes.
    pub crashes: Vec<ReportedCrash>,
    /// Requests that are held back.
    pub held: Vec<ReportedQuarantineEntry>,
    /// Requests that were answered, of those that were at crashes.
    pub answered: Vec<ReportedAnswer>,
}

impl ReportedQuarantineEntry {
    /// A request as others are told of it.
    pub(crate) fn new(kept: &QuarantineEntry, is_stored: bool, now: SystemTime) -> Self {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let QuarantineEntry { fingerprint, version, first_crash, since, until, trials, last_trial } = *kept;
        Self {
            fingerprint,
            version,
            first_crash_age: age(first_crash),
            quarantined_for: age(since),
            remaining: until.duration_since(now).unwrap_or_default(),
            trials,
            last_trial_age: last_trial.map(age),
            is_stored,
        }
    }
}
