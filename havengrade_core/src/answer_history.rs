//! Requests that endpoints answered lately, so that one which was in progress at crashes is known to be served otherwise.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::fingerprint::{RequestFingerprint, VersionFingerprint};

/// Time for which an answer speaks for the request.
pub(crate) const ANSWER_LIFE: Duration = Duration::from_secs(60);
/// Answers that each of the two generations remembers: what a VM with a hundred requests a second answers in 40 s.
const GENERATION: usize = 4096;

/// A request, and the version of the endpoints that ran it.
pub(crate) type RunKey = (RequestFingerprint, VersionFingerprint);

/// The last answers, in two generations of which the older one is forgotten as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerHistory {
    newer: HashMap<RunKey, SystemTime>,
    older: HashMap<RunKey, SystemTime>,
}

impl AnswerHistory {
    pub(crate) fn note(&mut self, run: RunKey, now: SystemTime) {
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        let at = self.newer.entry(run).or_insert(now);
        *at = now.max(*at);
    }

    /// When a request was last answered, if that still speaks for it.
    pub(crate) fn at(&self, run: &RunKey, now: SystemTime) -> Option<SystemTime> {
        let at = *self.newer.get(run).or_else(|| self.older.get(run))?;
        (now < at + ANSWER_LIFE).then_some(at)
    }
}
