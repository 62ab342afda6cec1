//! Requests, and parts of their prompts, that endpoints answered recently, as evidence that one which was in progress at
//! a crash did not cause it.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::fingerprint::{SubjectFingerprint, VersionFingerprint};

/// Time for which an answer counts as evidence that the request or part is harmless.
pub(crate) const ANSWER_LIFETIME: Duration = Duration::from_secs(60);
/// Answers in each of the two generations: what a VM with a hundred requests a second answers in 40 s.
const GENERATION_SIZE: usize = 4096;

/// A request or part, and the version of the endpoints that ran it.
pub(crate) type RunKey = (SubjectFingerprint, VersionFingerprint);

/// Recent answers in two generations, of which the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerHistory {
    newer: HashMap<RunKey, SystemTime>,
    older: HashMap<RunKey, SystemTime>,
}

impl AnswerHistory {
    pub(crate) fn record(&mut self, run: RunKey, now: SystemTime) {
        if self.newer.len() >= GENERATION_SIZE {
            self.older = std::mem::take(&mut self.newer);
        }
        let at = self.newer.entry(run).or_insert(now);
        *at = now.max(*at);
    }

    /// The time of the last answer, unless it is too old to count.
    pub(crate) fn last_answer(&self, run: &RunKey, now: SystemTime) -> Option<SystemTime> {
        let at = *self.newer.get(run).or_else(|| self.older.get(run))?;
        (now < at + ANSWER_LIFETIME).then_some(at)
    }
}
