//! Session affinity: which version each session keeps to, as known to this VM and as reported by others.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    gossip::{REPORTS_PER_ENTRY, time_from_age},
    ids::SessionId,
    published::directory::SoftwareVersion,
    secret::uniform_hash,
};

/// Identifies a session between VMs.
pub type SessionFingerprint = u64;

/// Highest number of other VMs' sessions that a report relays; in a small fleet each VM learns of them directly.
const MAX_RELAYED_SESSIONS: usize = 12;

/// A session and the version that served it last, as an entry of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionAffinity {
    /// The session.
    pub session: SessionFingerprint,
    /// The version.
    pub version: SoftwareVersion,
    /// Time since the session was last served.
    pub used_ago: Duration,
}

/// The versions of all live sessions.
#[derive(Clone, Debug, Default)]
pub(super) struct AffinityTable {
    local: HashMap<SessionId, Affinity>,
    /// The latest affinities that other VMs reported.
    reported: HashMap<SessionFingerprint, Affinity>,
}

#[derive(Clone, Debug)]
struct Affinity {
    version: SoftwareVersion,
    /// When the session's last request ended, as far as is known.
    last_used: SystemTime,
    /// Until when a request of the session may be in flight.
    busy_until: SystemTime,
    /// Whether the session had another version before, of which other VMs may know.
    has_moved: bool,
    /// Number of reports that carried the affinity as it is.
    report_count: u32,
}

impl Affinity {
    fn is_live(&self, session_idle_timeout: Duration, now: SystemTime) -> bool {
        now < self.last_used_at(now) + session_idle_timeout
    }

    /// When the session was last used; `now` while a request of the session is in flight.
    fn last_used_at(&self, now: SystemTime) -> SystemTime {
        self.last_used.max(self.busy_until.min(now))
    }
}

impl AffinityTable {
    /// The latest affinity of a session, from this VM or another one.
    fn latest(&self, session: &str, now: SystemTime) -> Option<&Affinity> {
        let local = self.local.get(session);
        let reported = self.reported.get(&fingerprint(session));
        match (local, reported) {
            (Some(local), Some(reported)) if reported.last_used > local.last_used_at(now) => Some(reported),
            (Some(local), _) => Some(local),
            (None, reported) => reported,
        }
    }

    /// The version of a session's last request, if that request ended less than `session_idle_timeout` ago.
    pub(super) fn version(
        &self,
        session: &str,
        session_idle_timeout: Duration,
        now: SystemTime,
    ) -> Option<&SoftwareVersion> {
        let affinity = self.latest(session, now).filter(|affinity| affinity.is_live(session_idle_timeout, now))?;
        Some(&affinity.version)
    }

    /// Time until a session ends, if the session is live.
    pub(super) fn time_left(&self, session: &str, session_idle_timeout: Duration, now: SystemTime) -> Option<Duration> {
        let affinity = self.latest(session, now)?;
        (affinity.last_used_at(now) + session_idle_timeout).duration_since(now).ok()
    }

    /// Sets the version of a session, with a request that may be in flight until `busy_until`.
    pub(super) fn set(&mut self, session: &str, version: &str, busy_until: SystemTime, now: SystemTime) {
        let has_moved = self.latest(session, now).is_some_and(|known| known.version != version);
        match self.local.get_mut(session) {
            Some(affinity) => {
                if affinity.version != version {
                    version.clone_into(&mut affinity.version);
                }
                affinity.last_used = now;
                affinity.busy_until = busy_until;
                affinity.has_moved |= has_moved;
                affinity.report_count = 0;
            },
            None => {
                let affinity =
                    Affinity { version: version.to_owned(), last_used: now, busy_until, has_moved, report_count: 0 };
                self.local.insert(session.to_owned(), affinity);
            },
        }
    }

    /// Restarts a session's idle timeout at `now`, if the session still keeps to the version.
    pub(super) fn extend(&mut self, session: &str, version: &str, now: SystemTime) {
        if let Some(affinity) = self.local.get_mut(session).filter(|affinity| affinity.version == version) {
            affinity.last_used = now;
            affinity.busy_until = now;
            affinity.report_count = 0;
        }
    }

    /// Records that no request of a session is in flight any longer.
    pub(super) fn mark_idle(&mut self, session: &str, now: SystemTime) {
        if let Some(affinity) = self.local.get_mut(session) {
            // A request that was refused in the meantime does not prolong the session.
            affinity.last_used = affinity.last_used_at(now);
            affinity.busy_until = affinity.busy_until.min(now);
        }
    }

    /// Removes sessions that have been idle for longer than `session_idle_timeout`.
    pub(super) fn prune(&mut self, session_idle_timeout: Duration, now: SystemTime) {
        self.local.retain(|_, affinity| affinity.is_live(session_idle_timeout, now));
        self.reported.retain(|_, affinity| affinity.is_live(session_idle_timeout, now));
    }

    /// Merges an affinity that another VM reported, unless a later one is known.
    pub(super) fn merge(&mut self, entry: SessionAffinity, now: SystemTime) {
        let last_used = time_from_age(entry.used_ago, now);
        if self.reported.get(&entry.session).is_some_and(|known| known.last_used >= last_used) {
            return;
        }
        // Relayed in a single report, for VMs that missed the original one.
        let affinity = Affinity {
            version: entry.version,
            last_used,
            busy_until: last_used,
            has_moved: false,
            report_count: REPORTS_PER_ENTRY - 1,
        };
        self.reported.insert(entry.session, affinity);
    }

    /// The affinities of the next report, at most `max_count`: this VM's own sessions whose versions `is_relevant`
    /// selects or that have moved, the least reported first, and after them those of other VMs. None goes into more
    /// than [`REPORTS_PER_ENTRY`] reports.
    pub(super) fn next_report(
        &mut self,
        is_relevant: impl Fn(&SessionId, &SoftwareVersion) -> bool,
        max_count: usize,
        session_idle_timeout: Duration,
        now: SystemTime,
    ) -> Vec<SessionAffinity> {
        let is_due = |affinity: &Affinity| {
            affinity.report_count < REPORTS_PER_ENTRY && affinity.is_live(session_idle_timeout, now)
        };
        let local =
            self.local.iter_mut().filter(|(id, affinity)| affinity.has_moved || is_relevant(id, &affinity.version));
        let local = local.map(|(id, affinity)| (fingerprint(id), affinity)).filter(|(_, affinity)| is_due(affinity));
        let reported = self
            .reported
            .iter_mut()
            .map(|(session, affinity)| (*session, affinity))
            .filter(|(_, affinity)| is_due(affinity));
        let mut due: Vec<(SessionFingerprint, &mut Affinity)> = local.collect();
        due.sort_by_key(|(session, affinity)| (affinity.report_count, *session));
        let mut relayed: Vec<(SessionFingerprint, &mut Affinity)> = reported.collect();
        relayed.sort_by_key(|(session, _)| *session);
        relayed.truncate(MAX_RELAYED_SESSIONS);
        // This VM's own sessions come first, since no other VM reports them.
        due.extend(relayed);
        due.truncate(max_count);
        let entry = |(session, affinity): (SessionFingerprint, &mut Affinity)| {
            affinity.report_count += 1;
            let used_ago = now.duration_since(affinity.last_used_at(now)).unwrap_or_default();
            SessionAffinity { session, version: affinity.version.clone(), used_ago }
        };
        due.into_iter().map(entry).collect()
    }
}

/// Identifies a session between VMs.
pub(super) fn fingerprint(session: &str) -> SessionFingerprint {
    uniform_hash(&[session, "mark"])
}
