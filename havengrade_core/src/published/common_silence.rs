//! Whether the endpoints of a service are silent together, in which case no other endpoint can replace a silent one.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::ids::EndpointId;

/// Shortest silence of all awaited endpoints after which each of them is given time to go on.
const MIN_COMMON_SILENCE: Duration = Duration::from_millis(500);
/// Share of the patience with an endpoint for which the others must be silent as well, and which it is given to go on
/// once one of them is heard.
const WINDOW_DIVISOR: u32 = 2;
/// Time beyond the patience with an endpoint from which it may be replaced although the other awaited ones are silent as
/// well. Sound endpoints are silent for a second or so; those that hang must not keep each other from being replaced.
const MAX_COMMON_SILENCE: Duration = Duration::from_millis(1500);
/// Silence, besides the last common one, after which an endpoint is replaced although the others have only just gone on,
/// as a multiple of the patience with it.
const MAX_PATIENCE_FACTOR: u32 = 2;

/// The silence of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Silence<'a> {
    /// The silent endpoint.
    pub endpoint: &'a str,
    /// When it was last heard.
    pub since: SystemTime,
    /// Silence after which it may be replaced if others are heard.
    pub patience: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Awaited {
    attempts: u32,
    since: SystemTime,
}

/// A silence of all awaited endpoints that has ended.
#[derive(Clone, Copy, Debug)]
struct CommonSilence {
    end: SystemTime,
    length: Duration,
}

/// The endpoints of a service from which something is due, and when any of them was last heard.
#[derive(Clone, Debug, Default)]
pub struct ServiceSilence {
    awaited: HashMap<EndpointId, Awaited>,
    heard_at: Option<SystemTime>,
    last_common: Option<CommonSilence>,
}

impl ServiceSilence {
    /// Records that events or an answer of an endpoint are due from now on.
    pub fn begin_wait(&mut self, endpoint: &str, now: SystemTime) {
        let awaited = self.awaited.entry(endpoint.to_owned()).or_insert(Awaited { attempts: 0, since: now });
        awaited.attempts += 1;
    }

    /// Ends one wait of [`Self::begin_wait`].
    pub fn end_wait(&mut self, endpoint: &str) {
        if let Some(awaited) = self.awaited.get_mut(endpoint) {
            awaited.attempts -= 1;
            if awaited.attempts == 0 {
                self.awaited.remove(endpoint);
            }
        }
    }

    /// Whether anything is due from any endpoint.
    pub fn is_awaiting(&self) -> bool {
        !self.awaited.is_empty()
    }

    /// Records events or an answer of any endpoint of the service.
    pub fn record_heard(&mut self, now: SystemTime) {
        if let Some(before) = self.heard_at
            && now >= before + MIN_COMMON_SILENCE
            && self.awaited.values().filter(|awaited| awaited.since <= before).count() > 1
        {
            let length = now.duration_since(before).unwrap_or_default();
            self.last_common = Some(CommonSilence { end: now, length });
        }
        self.heard_at = self.heard_at.max(Some(now));
    }

    /// Whether a silent endpoint may be replaced: the other endpoints that are awaited are not silent as well, nor have
    /// they only just gone on. If no other endpoint is awaited, or the silence is a long one, it may be replaced.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::common_silence::{ServiceSilence, Silence};
    ///
    /// let start = SystemTime::UNIX_EPOCH;
    /// let at = |seconds| start + Duration::from_secs(seconds);
    /// let silence = Silence { endpoint: "e1", since: start, patience: Duration::from_secs(2) };
    /// let mut service = ServiceSilence::default();
    /// service.begin_wait("e1", start);
    /// service.record_heard(start);
    /// assert!(service.may_replace(silence, at(2)));
    /// service.begin_wait("e2", start);
    /// assert!(!service.may_replace(silence, at(2)), "both are silent");
    /// ```
    pub fn may_replace(&self, silence: Silence<'_>, now: SystemTime) -> bool {
        let window = silence.patience / WINDOW_DIVISOR;
        let longest = silence.patience * MAX_PATIENCE_FACTOR;
        let is_deferred = |common: CommonSilence| {
            common.end > silence.since && now < common.end + window && now < silence.since + longest + common.length
        };
        if self.last_common.is_some_and(is_deferred) {
            return false;
        }
        let is_other = |(id, awaited): (&EndpointId, &Awaited)| id != silence.endpoint && awaited.since + window <= now;
        now >= silence.since + silence.patience + MAX_COMMON_SILENCE
            || !self.awaited.iter().any(is_other)
            || self.heard_at.is_some_and(|at| now < at + window)
    }
}
