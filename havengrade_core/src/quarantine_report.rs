//! Reports between VMs about requests and parts of prompts that crash endpoints.

use std::time::{Duration, SystemTime};

use crate::{
    crash_attribution::CrashObservation,
    fingerprint::{EndpointFingerprint, RequestFingerprint, SubjectFingerprint, VersionFingerprint},
    ids::EndpointId,
    quarantine_entry::QuarantineEntry,
};

/// A request that was in progress at an endpoint when the endpoint crashed, or a part of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The request or part.
    pub fingerprint: SubjectFingerprint,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Version of the endpoint.
    pub version: VersionFingerprint,
    /// Time from sending the request to the crash.
    pub ran_for: Duration,
    /// Time since the crash.
    pub age: Duration,
    /// The request in progress, where the crash is reported for a part of its prompt.
    pub request: Option<RequestFingerprint>,
}

/// A quarantined request or part, with ages in place of times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedQuarantineEntry {
    /// The request or part.
    pub fingerprint: SubjectFingerprint,
    /// Version of the last endpoint that crashed.
    pub version: VersionFingerprint,
    /// Time since the earliest crash that is attributed to it.
    pub first_crash_age: Duration,
    /// Time since the start of the quarantine.
    pub quarantined_for: Duration,
    /// Time until the end of the quarantine.
    pub remaining: Duration,
    /// Number of trials that were started.
    pub trials: usize,
    /// Time since the start of the last trial.
    pub last_trial_age: Option<Duration>,
    /// Endpoint of the last trial.
    pub endpoint: Option<EndpointFingerprint>,
    /// Whether the entry is known to be on the stored list, which outlives all VMs.
    pub is_stored: bool,
}

/// A request that an endpoint answered completely, or a part of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAnswer {
    /// The request or part.
    pub fingerprint: SubjectFingerprint,
    /// Version of the endpoint.
    pub version: VersionFingerprint,
    /// Time since the answer.
    pub age: Duration,
}

/// A VM's report on requests and parts that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Crashes, one entry for each request that was in progress there and for each part that may be the cause.
    pub crashes: Vec<ReportedCrash>,
    /// Quarantined requests and parts.
    pub held: Vec<ReportedQuarantineEntry>,
    /// Answered requests and parts, of those that were in progress at crashes.
    pub answered: Vec<ReportedAnswer>,
}

impl ReportedCrash {
    /// A crash at which a request or part was in progress, as it is reported at `now`.
    pub(crate) fn new(fingerprint: SubjectFingerprint, observation: &CrashObservation, now: SystemTime) -> Self {
        let CrashObservation { endpoint, version, ran_for, at, request } = observation.clone();
        let age = now.duration_since(at).unwrap_or_default();
        Self { fingerprint, endpoint, version, ran_for, age, request }
    }
}

impl ReportedQuarantineEntry {
    /// The entry as it is reported at `now`.
    pub(crate) fn new(entry: &QuarantineEntry, is_stored: bool, now: SystemTime) -> Self {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let QuarantineEntry { fingerprint, version, first_crash, since, until, trials, last_trial, endpoint } = *entry;
        Self {
            fingerprint,
            version,
            first_crash_age: age(first_crash),
            quarantined_for: age(since),
            remaining: until.duration_since(now).unwrap_or_default(),
            trials,
            last_trial_age: last_trial.map(age),
            endpoint,
            is_stored,
        }
    }
}
