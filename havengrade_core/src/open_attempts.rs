//! Failed and abandoned attempts at endpoints that are not known to have exited.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    crash_attribution::{CrashObservation, is_same_crash_time},
    ids::EndpointId,
    judged_request::JudgedRequest,
};

/// Time after a failed attempt within which its endpoint may be found to have exited; a probe takes as long as a
/// connection may.
const FAILED_ATTEMPT_LIFETIME: Duration = Duration::from_secs(3);
/// Time after an abandoned attempt within which an exit of its endpoint is attributed to it: the endpoint keeps
/// running the request until it notices that nobody waits.
const ABANDONED_ATTEMPT_LIFETIME: Duration = Duration::from_millis(500);

/// A failed or abandoned attempt.
#[derive(Clone, Debug)]
pub(crate) struct OpenAttempt {
    pub(crate) judged: JudgedRequest,
    /// The crash at which the request was in progress, if its endpoint has exited.
    pub(crate) observation: CrashObservation,
    /// Whether the router gave the attempt up while the endpoint may still run it.
    pub(crate) is_abandoned: bool,
}

impl OpenAttempt {
    /// Time until which an exit of the endpoint is attributed to the request.
    fn until(&self) -> SystemTime {
        self.observation.at + if self.is_abandoned { ABANDONED_ATTEMPT_LIFETIME } else { FAILED_ATTEMPT_LIFETIME }
    }
}

/// Recently failed or abandoned attempts by endpoint, and the endpoints that exited recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenAttempts {
    by_endpoint: HashMap<EndpointId, Vec<OpenAttempt>>,
    exited: HashMap<EndpointId, SystemTime>,
}

impl OpenAttempts {
    /// Adds an attempt; gives it back if it failed at the exit of its endpoint.
    pub(crate) fn add(&mut self, attempt: OpenAttempt) -> Option<OpenAttempt> {
        let CrashObservation { endpoint, at, .. } = &attempt.observation;
        let has_exited = self.exited.get(endpoint).is_some_and(|exited| is_same_crash_time(*exited, *at));
        if has_exited && !attempt.is_abandoned {
            return Some(attempt);
        }
        self.by_endpoint.entry(endpoint.clone()).or_default().push(attempt);
        None
    }

    /// Records that an endpoint exited; returns the attempts that were in progress at its crash.
    pub(crate) fn record_exit(&mut self, endpoint: &str, now: SystemTime) -> Vec<OpenAttempt> {
        self.exited.insert(endpoint.to_owned(), now);
        let mut attempts = self.by_endpoint.remove(endpoint).unwrap_or_default();
        attempts.retain(|attempt| now < attempt.until());
        attempts
    }

    /// Records that an endpoint is alive: attempts that failed there only lost their connections. Abandoned ones may
    /// still run and crash it.
    pub(crate) fn record_alive(&mut self, endpoint: &str) {
        if let Some(attempts) = self.by_endpoint.get_mut(endpoint) {
            attempts.retain(|attempt| attempt.is_abandoned);
        }
    }

    /// Returns the attempts that were in progress at a crash that another VM reports.
    pub(crate) fn take_at_crash(&mut self, reported: &CrashObservation) -> Vec<OpenAttempt> {
        let Some(attempts) = self.by_endpoint.get_mut(&reported.endpoint) else { return Vec::new() };
        let is_at_crash =
            |attempt: &mut OpenAttempt| attempt.observation.at <= reported.at && reported.at < attempt.until();
        attempts.extract_if(.., is_at_crash).collect()
    }

    /// Whether an exit of an endpoint would be attributed to attempts there.
    pub(crate) fn has_open(&self, endpoint: &str, now: SystemTime) -> bool {
        self.by_endpoint.get(endpoint).is_some_and(|attempts| attempts.iter().any(|attempt| now < attempt.until()))
    }

    /// Drops attempts and exits that are too old to count.
    pub(crate) fn prune(&mut self, now: SystemTime) {
        self.by_endpoint.retain(|_, attempts| {
            attempts.retain(|attempt| now < attempt.until());
            !attempts.is_empty()
        });
        self.exited.retain(|_, at| now < *at + FAILED_ATTEMPT_LIFETIME);
    }
}
