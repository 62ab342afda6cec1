//! Sessions that keep to a version, as seen here and as other VMs tell.

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

/// What a session is known by between VMs.
pub type SessionFingerprint = u64;

/// Sessions of other VMs that a report tells on; in a small fleet each hears of them at first hand.
const MAX_TOLD_ON: usize = 12;

/// A session and the version that served it last, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionAffinity {
    /// The session.
    pub session: SessionFingerprint,
    /// The version.
    pub version: SoftwareVersion,
    /// Time since it was last served.
    pub used_ago: Duration,
}

/// The sessions that keep to a version.
#[derive(Clone, Debug, Default)]
pub(super) struct AffinityTable {
    by_session: HashMap<SessionId, Affinity>,
    /// What other VMs told last of sessions.
    heard: HashMap<SessionFingerprint, Affinity>,
}

#[derive(Clone, Debug)]
struct Affinity {
    version: SoftwareVersion,
    /// When its last request ended, as far as is known.
    used: SystemTime,
    /// Until when a request of it may be in progress.
    busy_until: SystemTime,
    /// Whether the session had another version before, of which other VMs may know.
    has_moved: bool,
    /// Reports that told of it as it is.
    told: u32,
}

impl Affinity {
    fn is_live(&self, session_idle_timeout: Duration, now: SystemTime) -> bool {
        now < self.used_at(now) + session_idle_timeout
    }

    /// When it was last used: now, while a request of it is in progress.
    fn used_at(&self, now: SystemTime) -> SystemTime {
        self.used.max(self.busy_until.min(now))
    }
}

impl AffinityTable {
    /// The last that is known of a session, here or from another VM.
    fn latest(&self, session: &str, now: SystemTime) -> Option<&Affinity> {
        let own = self.by_session.get(session);
        let heard = self.heard.get(&mark(session));
        match (own, heard) {
            (Some(own), Some(heard)) if heard.used > own.used_at(now) => Some(heard),
            (Some(own), _) => Some(own),
            (None, heard) => heard,
        }
    }

    /// The version of a session's last request, if that ended less than `session_idle_timeout` ago.
    pub(super) fn version(
        &self,
        session: &str,
        session_idle_timeout: Duration,
        now: SystemTime,
    ) -> Option<&SoftwareVersion> {
        let pin = self.latest(session, now).filter(|pin| pin.is_live(session_idle_timeout, now))?;
        Some(&pin.version)
    }

    /// Time until a session ends, if it is live.
    pub(super) fn left(&self, session: &str, session_idle_timeout: Duration, now: SystemTime) -> Option<Duration> {
        let pin = self.latest(session, now)?;
        (pin.used_at(now) + session_idle_timeout).duration_since(now).ok()
    }

    /// Notes which version answers a session, with a request that may be in progress until `busy_until`.
    pub(super) fn pin(&mut self, session: &str, version: &str, busy_until: SystemTime, now: SystemTime) {
        let has_moved = self.latest(session, now).is_some_and(|known| known.version != version);
        match self.by_session.get_mut(session) {
            Some(pin) => {
                if pin.version != version {
                    version.clone_into(&mut pin.version);
                }
                pin.used = now;
                pin.busy_until = busy_until;
                pin.has_moved |= has_moved;
                pin.told = 0;
            },
            None => {
                let pin = Affinity { version: version.to_owned(), used: now, busy_until, has_moved, told: 0 };
                self.by_session.insert(session.to_owned(), pin);
            },
        }
    }

    /// Lets a session's pause count from `now`, if it still keeps to the version.
    pub(super) fn touch(&mut self, session: &str, version: &str, now: SystemTime) {
        if let Some(pin) = self.by_session.get_mut(session).filter(|pin| pin.version == version) {
            pin.used = now;
            pin.busy_until = now;
            pin.told = 0;
        }
    }

    /// Notes that no request of a session is in progress any longer.
    pub(super) fn end(&mut self, session: &str, now: SystemTime) {
        if let Some(pin) = self.by_session.get_mut(session) {
            // A request that was refused meanwhile does not prolong the session.
            pin.used = pin.used_at(now);
            pin.busy_until = pin.busy_until.min(now);
        }
    }

    /// Forgets sessions that rested for longer than `session_idle_timeout`.
    pub(super) fn prune(&mut self, session_idle_timeout: Duration, now: SystemTime) {
        self.by_session.retain(|_, pin| pin.is_live(session_idle_timeout, now));
        self.heard.retain(|_, pin| pin.is_live(session_idle_timeout, now));
    }

    /// Takes what another VM tells of a session, unless something later is known.
    pub(super) fn hear(&mut self, kept: SessionAffinity, now: SystemTime) {
        let used = time_from_age(kept.used_ago, now);
        if self.heard.get(&kept.session).is_some_and(|known| known.used >= used) {
            return;
        }
        // Told on once, for those who did not hear it.
        let pin =
            Affinity { version: kept.version, used, busy_until: used, has_moved: false, told: REPORTS_PER_ENTRY - 1 };
        self.heard.insert(kept.session, pin);
    }

    /// The sessions of which others are to know: of this VM's own those that `is_wanted` picks by their versions, and those that moved;
    /// after them all of the others'. At most `most`, those first that were told least often; none more often than [`REPORTS_PER_ENTRY`].
    pub(super) fn tell(
        &mut self,
        is_wanted: impl Fn(&SessionId, &SoftwareVersion) -> bool,
        most: usize,
        session_idle_timeout: Duration,
        now: SystemTime,
    ) -> Vec<SessionAffinity> {
        let is_due = |pin: &Affinity| pin.told < REPORTS_PER_ENTRY && pin.is_live(session_idle_timeout, now);
        let own = self.by_session.iter_mut().filter(|(id, pin)| pin.has_moved || is_wanted(id, &pin.version));
        let own = own.map(|(id, pin)| (mark(id), pin)).filter(|(_, pin)| is_due(pin));
        let heard = self.heard.iter_mut().map(|(session, pin)| (*session, pin)).filter(|(_, pin)| is_due(pin));
        let mut due: Vec<(SessionFingerprint, &mut Affinity)> = own.collect();
        due.sort_by_key(|(session, pin)| (pin.told, *session));
        let mut told_on: Vec<(SessionFingerprint, &mut Affinity)> = heard.collect();
        told_on.sort_by_key(|(session, _)| *session);
        told_on.truncate(MAX_TOLD_ON);
        // Nobody else tells of this VM's own.
        due.extend(told_on);
        due.truncate(most);
        let tell = |(session, pin): (SessionFingerprint, &mut Affinity)| {
            pin.told += 1;
            let used_ago = now.duration_since(pin.used_at(now)).unwrap_or_default();
            SessionAffinity { session, version: pin.version.clone(), used_ago }
        };
        due.into_iter().map(tell).collect()
    }
}

/// What a session is known by between VMs.
pub(super) fn mark(session: &str) -> SessionFingerprint {
    uniform_hash(&[session, "mark"])
}
