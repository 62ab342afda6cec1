//! Session affinity: which version each session keeps to, as known to this VM and as reported by others.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

use crate::{
    gossip::{REPORTS_PER_ENTRY, time_from_age},
    ids::{Incarnation, SessionId},
    published::{directory::SoftwareVersion, peers::MAX_NEAR_TARGETS},
    secret::uniform_hash,
};

/// Identifies a session between VMs.
pub type SessionFingerprint = u64;

/// Highest number of sessions in a report: at most 1,600 bytes. With 48, reports were full for seconds at the end of a
/// roll-out in a fleet that served 4,000 sessions.
const MAX_SESSIONS: usize = 128;
/// Number of other VMs up to which a report reaches all of them.
const MAX_DIRECT_VMS: usize = 23;
/// Reports that carry a session of this VM in a larger fleet. Each goes to 20 VMs of the sender's failure domain: of 28
/// VMs, three reports miss one in 57, and four miss one in 220.
const REPORTS_IN_LARGE_FLEET: u32 = 4;
/// Highest number of other VMs' sessions that a report relays while each VM learns of them directly.
const MAX_RELAYED_IN_SMALL_FLEET: usize = 12;
/// Number of reports of a session of another failure domain after which a VM that is not among its relays does not relay
/// it, since others do.
const MAX_RECEIVED_FROM_FAR: u32 = 2;
/// Probability with which all relays of a session miss a VM of their failure domain.
const MAX_MISSED_SHARE: f64 = 1e-4;
/// Share of the reports that may be lost.
const LOST_SHARE: f64 = 0.1;
/// Largest difference between two times of the same use of a session, of which one was relayed: each report makes a use
/// look up to 50 ms older than it is.
const MAX_USE_TIME_ERROR: Duration = Duration::from_millis(500);
/// Time after which a VM that was not heard of is not counted any more. A report goes to 3 of some 50 VMs in other
/// failure domains, every 0.4 s: within this time, it reaches each of them with a probability of 0.98.
const SENDER_TIMEOUT: Duration = Duration::from_secs(25);

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
    /// The VMs that sent reports, and when each was last heard of.
    senders: HashMap<Incarnation, Sender>,
}

/// Another VM that sent reports.
#[derive(Clone, Copy, Debug)]
struct Sender {
    heard_at: SystemTime,
    /// Whether the VM is in the failure domain of this one.
    is_near: bool,
}

#[derive(Clone, Debug)]
struct Affinity {
    version: SoftwareVersion,
    /// When the session's last request ended, as far as is known.
    last_used: SystemTime,
    /// When that request ended by the first report of it. Reports that arrive over other VMs state other times.
    first_use: SystemTime,
    /// Until when a request of the session may be in flight.
    busy_until: SystemTime,
    /// Whether the session had another version before, of which other VMs may know.
    has_moved: bool,
    /// Number of reports that carried the affinity as it is.
    report_count: u32,
    /// Number of reports of other VMs that carried the affinity as it is.
    received_count: u32,
    /// Whether the first of them came from a VM in the failure domain of this one.
    is_from_near: bool,
}

impl Affinity {
    fn is_live(&self, session_idle_timeout: Duration, now: SystemTime) -> bool {
        now < self.last_used_at(now) + session_idle_timeout
    }

    /// Number of reports that carried the affinity, as far as this VM knows.
    fn known_count(&self) -> u32 {
        self.report_count + self.received_count
    }

    /// Whether an affinity of another VM goes into the next report, for VMs that missed the original one.
    fn must_relay(&self, session: SessionFingerprint, relays: Option<NearRelays>) -> bool {
        let Some(relays) = relays else { return self.report_count == 0 };
        let is_first_from_far = !self.is_from_near && self.received_count < MAX_RECEIVED_FROM_FAR;
        self.report_count == 0 && (is_first_from_far || relays.includes(session))
    }

    /// When the session was last used; `now` while a request of the session is in flight.
    fn last_used_at(&self, now: SystemTime) -> SystemTime {
        self.last_used.max(self.busy_until.min(now))
    }
}

/// The VMs of this VM's failure domain that relay a session, in a large fleet.
///
/// The VMs form a ring in the order of their incarnations, and a session is relayed by successive VMs, from one that its
/// fingerprint selects. All VMs select the same ones, so that their number is the same for each session.
#[derive(Clone, Copy, Debug)]
struct NearRelays {
    /// Number of VMs in the failure domain, with this one.
    vms: usize,
    /// Position of this VM.
    position: usize,
}

impl NearRelays {
    /// Number of VMs that relay a session, so that at most [`MAX_MISSED_SHARE`] of the others receive no report of it.
    fn count(self) -> usize {
        let others = self.vms.saturating_sub(1).max(1);
        let reached = MAX_NEAR_TARGETS.min(others) as f64 / others as f64;
        let missed = 1.0 - reached * (1.0 - LOST_SHARE);
        let count = MAX_MISSED_SHARE.ln() / missed.ln();
        (count.ceil() as usize).min(self.vms)
    }

    /// Whether this VM relays a session.
    fn includes(self, session: SessionFingerprint) -> bool {
        let first = (u128::from(session) * self.vms as u128) >> u64::BITS;
        (self.position + self.vms - first as usize) % self.vms < self.count()
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
                let affinity = Affinity {
                    version: version.to_owned(),
                    last_used: now,
                    first_use: now,
                    busy_until,
                    has_moved,
                    report_count: 0,
                    received_count: 0,
                    is_from_near: false,
                };
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

    /// Records that a VM sent a report; its failure domain is another one unless [`Self::record_sender`] told.
    pub(super) fn record_report(&mut self, from: Incarnation, now: SystemTime) {
        self.senders.entry(from).or_insert(Sender { heard_at: now, is_near: false }).heard_at = now;
    }

    /// Records that a VM sent a report, and whether it is in the failure domain of this VM.
    pub(super) fn record_sender(&mut self, from: Incarnation, is_near: bool, now: SystemTime) {
        self.senders.insert(from, Sender { heard_at: now, is_near });
    }

    /// The relays of the failure domain of this VM, of incarnation `own`.
    fn near_relays(&self, own: Incarnation) -> NearRelays {
        let near = self.senders.iter().filter(|(_, sender)| sender.is_near);
        let (before, after): (Vec<_>, Vec<_>) = near.partition(|(incarnation, _)| **incarnation < own);
        NearRelays { vms: before.len() + after.len() + 1, position: before.len() }
    }

    /// Merges an affinity that the VM `from` reported, unless a later one is known.
    pub(super) fn merge(&mut self, from: Option<Incarnation>, entry: SessionAffinity, now: SystemTime) {
        let last_used = time_from_age(entry.used_ago, now);
        let is_from_near = from.and_then(|from| self.senders.get(&from)).is_some_and(|sender| sender.is_near);
        if let Some(known) = self.reported.get_mut(&entry.session) {
            let is_near =
                last_used < known.first_use + MAX_USE_TIME_ERROR && known.first_use < last_used + MAX_USE_TIME_ERROR;
            if is_near && known.version == entry.version {
                known.received_count += 1;
                known.last_used = known.last_used.max(last_used);
                return;
            }
            if known.last_used >= last_used {
                return;
            }
        }
        let affinity = Affinity {
            version: entry.version,
            last_used,
            first_use: last_used,
            busy_until: last_used,
            has_moved: false,
            report_count: 0,
            received_count: 1,
            is_from_near,
        };
        self.reported.insert(entry.session, affinity);
    }

    /// The affinities of the next report: this VM's own sessions whose versions `is_relevant` selects or that have
    /// moved, and after them those of other VMs to relay; of each, the ones that were reported or received least.
    pub(super) fn next_report(
        &mut self,
        is_relevant: impl Fn(&SessionId, &SoftwareVersion, SystemTime) -> bool,
        own: Option<Incarnation>,
        session_idle_timeout: Duration,
        now: SystemTime,
    ) -> Vec<SessionAffinity> {
        self.senders.retain(|_, sender| now < sender.heard_at + SENDER_TIMEOUT);
        let is_large = self.senders.len() > MAX_DIRECT_VMS;
        let relays = own.filter(|_| is_large).map(|own| self.near_relays(own));
        let reports = if is_large { REPORTS_IN_LARGE_FLEET } else { REPORTS_PER_ENTRY };
        let max_relayed = if is_large { MAX_SESSIONS } else { MAX_RELAYED_IN_SMALL_FLEET };
        // A VM does not relay reports of its own sessions that come back to it, and does not report those that continued
        // at another VM.
        let reported = &self.reported;
        let is_latest = |session: SessionFingerprint, affinity: &Affinity| {
            reported.get(&session).is_none_or(|reported| reported.last_used <= affinity.last_used_at(now))
        };
        let local = self.local.iter_mut().map(|(id, affinity)| (id, fingerprint(id), affinity));
        let latest: Vec<(&SessionId, SessionFingerprint, &mut Affinity)> =
            local.filter(|(_, session, affinity)| is_latest(*session, affinity)).collect();
        let own_sessions: HashSet<SessionFingerprint> = latest.iter().map(|(_, session, _)| *session).collect();
        let mut due: Vec<(SessionFingerprint, &mut Affinity)> = latest
            .into_iter()
            .filter(|(.., affinity)| affinity.report_count < reports && affinity.is_live(session_idle_timeout, now))
            .filter(|(id, _, affinity)| affinity.has_moved || is_relevant(id, &affinity.version, affinity.last_used))
            .map(|(_, session, affinity)| (session, affinity))
            .collect();
        let reported = self
            .reported
            .iter_mut()
            .filter(|(session, affinity)| affinity.must_relay(**session, relays) && !own_sessions.contains(session))
            .filter(|(_, affinity)| affinity.is_live(session_idle_timeout, now));
        let mut relayed: Vec<(SessionFingerprint, &mut Affinity)> =
            reported.map(|(session, affinity)| (*session, affinity)).collect();
        relayed.sort_by_key(|(session, affinity)| (affinity.known_count(), *session));
        relayed.truncate(max_relayed);
        // This VM's own sessions come first, since others may not know of them.
        due.sort_by_key(|(session, affinity)| (affinity.known_count(), *session));
        due.extend(relayed);
        due.truncate(MAX_SESSIONS);
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
