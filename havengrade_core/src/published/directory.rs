//! The endpoints of published services, as the platform lists them, with protection against outages of the list.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DomainId, EndpointId, ServiceId},
    published::bounded_time,
};

/// Software version of an endpoint, as a roll-out names it.
pub type SoftwareVersion = String;

/// Start time of an endpoint under its id, in Unix milliseconds. A process has no state of one that started earlier.
pub type EndpointStart = u64;

/// Whether one start of an endpoint is certainly earlier than another; a start that is not known counts as the same.
///
/// ```
/// use havengrade_core::published::directory::is_earlier_start;
///
/// assert!(is_earlier_start(Some(5), Some(9)));
/// assert!(!is_earlier_start(Some(9), Some(9)) && !is_earlier_start(None, Some(9)));
/// ```
pub fn is_earlier_start(start: Option<EndpointStart>, than: Option<EndpointStart>) -> bool {
    matches!((start, than), (Some(start), Some(than)) if start < than)
}

/// An endpoint as the list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Id of the endpoint; a restarted endpoint usually has a new one.
    pub id: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub is_leaving: bool,
    /// Time for which it is still cold, from the time of the read: it accepts few requests a second.
    #[serde(default, deserialize_with = "bounded_time::deserialize")]
    pub cold_for: Duration,
    /// Start time of the endpoint; none if the entry has no such field.
    #[serde(default)]
    pub start: Option<EndpointStart>,
}

/// A change to the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryEvent {
    /// An entry was written.
    Seen(ListedEndpoint),
    /// An entry was removed.
    Gone(EndpointId),
    /// The list was read as a whole; entries that it lacks are removed.
    All(Vec<ListedEndpoint>),
    /// The list was read from a store that was restored from an older copy: missing entries may be written again
    /// soon, and endpoints that have since shut down may still be listed.
    Restored(Vec<ListedEndpoint>),
}

/// Time after the end of an outage for which entries that lapsed during it are kept.
///
/// The platform guarantees that a live endpoint is listed again within about two seconds.
pub const RELIST_GRACE: Duration = Duration::from_millis(2200);

/// Time without a read of the list after which entries may have lapsed only because the store was unreachable.
///
/// An endpoint's entry lapses after three missed heartbeats, about a second apart.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2500);

/// Largest difference between the clock of this VM and that of an endpoint, by which a start may lie in the future.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(3600);

/// Longest time between two reads for which the number of renewed entries tells whether the store was unreachable.
///
/// Over a longer time, an outage is a small share of the expected renewals.
const MAX_COUNTED_GAP: Duration = Duration::from_secs(6);

/// Renewals per endpoint that may be missing from the expected number without an outage: those that are on their way.
const MISSING_RENEWALS: f64 = 0.5;

/// Time for which removed endpoints are remembered; the copy from which a store is restored is some seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(120);

/// Largest difference in delay between two reads of an entry: the time between two reads of the list.
const READ_SLACK: Duration = Duration::from_millis(800);

/// What the origin of events tells about an outage of the store since the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageEvidence {
    /// The events are all records of the log; live endpoints renew their entries at this interval.
    Log {
        /// Time between two renewals of an entry.
        renewal_interval: Duration,
    },
    /// Another VM sent the events, and keeps entries that were removed in an outage for this time from now.
    Reported {
        /// Zero if that VM knows of no outage.
        relist_grace: Duration,
    },
    /// Nothing is known; a long time between two reads counts as an outage.
    None,
}

/// The known endpoints.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Entry>,
    /// Removed endpoints with the time of the removal, in case an older list has them again.
    removed: HashMap<EndpointId, SystemTime>,
    /// Time at which the store was last restored from an older copy.
    restored: Option<SystemTime>,
    last_read: Option<SystemTime>,
    grace_until: Option<SystemTime>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// The entry as it was read, without the time for which it is cold.
    endpoint: ListedEndpoint,
    cold_until: Option<SystemTime>,
    is_lapsed: bool,
}

impl Entry {
    fn new(endpoint: ListedEndpoint, now: SystemTime) -> Self {
        let cold_until = (!endpoint.cold_for.is_zero()).then(|| now + endpoint.cold_for);
        Self { endpoint: ListedEndpoint { cold_for: Duration::ZERO, ..endpoint }, cold_until, is_lapsed: false }
    }

    /// Whether an entry that is read at `now` is unchanged; the time for which it is cold is read with a varying delay.
    fn is_same(&self, read: &ListedEndpoint, now: SystemTime) -> bool {
        let other = Self::new(read.clone(), now);
        let known_cold = self.cold_until.filter(|until| now < *until);
        let is_as_cold = match (known_cold, other.cold_until) {
            (Some(known), Some(until)) => until <= known + READ_SLACK,
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        !self.is_lapsed && self.endpoint == other.endpoint && is_as_cold
    }

    /// The entry as it would be read at `now`.
    fn read(&self, now: SystemTime) -> ListedEndpoint {
        let cold_for = self.cold_until.and_then(|until| until.duration_since(now).ok()).unwrap_or_default();
        ListedEndpoint { cold_for, ..self.endpoint.clone() }
    }
}

/// Whether an endpoint claims to start in the future, so that its later entries would look older.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::published::directory::is_future_start;
///
/// let now = SystemTime::UNIX_EPOCH + Duration::from_secs(100);
/// assert!(is_future_start(Some(u64::MAX), now));
/// assert!(!is_future_start(Some(100_000), now) && !is_future_start(None, now));
/// ```
pub fn is_future_start(start: Option<EndpointStart>, now: SystemTime) -> bool {
    let latest = (now + MAX_CLOCK_DIFFERENCE).duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    start.is_some_and(|start| u128::from(start) > latest.as_millis())
}

/// An event without the endpoints that claim to start in the future; none if nothing is left of it.
fn without_future_starts(event: DirectoryEvent, now: SystemTime) -> Option<DirectoryEvent> {
    let is_past = |endpoint: &ListedEndpoint| !is_future_start(endpoint.start, now);
    match event {
        DirectoryEvent::Seen(endpoint) => is_past(&endpoint).then_some(DirectoryEvent::Seen(endpoint)),
        DirectoryEvent::Gone(id) => Some(DirectoryEvent::Gone(id)),
        DirectoryEvent::All(endpoints) => Some(DirectoryEvent::All(endpoints.into_iter().filter(is_past).collect())),
        DirectoryEvent::Restored(endpoints) => {
            Some(DirectoryEvent::Restored(endpoints.into_iter().filter(is_past).collect()))
        },
    }
}

impl Directory {
    /// Applies the events of a read; they describe the list as of `at`, which is before `now`.
    ///
    /// Returns the events that change anything, and whether any endpoint changed for its users.
    pub fn apply(
        &mut self,
        events: Vec<DirectoryEvent>,
        at: SystemTime,
        now: SystemTime,
    ) -> (Vec<DirectoryEvent>, bool) {
        self.apply_with_evidence(events, OutageEvidence::None, at, now)
    }

    /// Applies the events of a read like [`Self::apply`], with what their origin tells about an outage of the store.
    pub fn apply_with_evidence(
        &mut self,
        events: Vec<DirectoryEvent>,
        evidence: OutageEvidence,
        at: SystemTime,
        now: SystemTime,
    ) -> (Vec<DirectoryEvent>, bool) {
        if let Some(grace) = self.grace_after_gap(&events, evidence, at) {
            self.grace_until = Some(now + grace);
        }
        self.removed.retain(|_, removed| now < *removed + REMOVED_RETENTION);
        self.last_read = self.last_read.max(Some(at));
        let mut has_changed = false;
        let mut changes = Vec::new();
        for event in events.into_iter().filter_map(|event| without_future_starts(event, now)) {
            if self.is_change(&event, now) {
                has_changed |= self.apply_event(event.clone(), now);
                changes.push(event);
            }
        }
        let has_expired = self.expire(now);
        (changes, has_changed || has_expired)
    }

    /// The time for which removed entries are kept, if the store was unreachable between the last read and one at `at`.
    fn grace_after_gap(&self, events: &[DirectoryEvent], evidence: OutageEvidence, at: SystemTime) -> Option<Duration> {
        let gap = at.duration_since(self.last_read?).ok().filter(|gap| *gap >= OUTAGE_THRESHOLD)?;
        match evidence {
            OutageEvidence::Log { renewal_interval } if self.was_renewed(events, gap, renewal_interval) => None,
            OutageEvidence::Reported { relist_grace } => Some(relist_grace).filter(|grace| !grace.is_zero()),
            OutageEvidence::Log { .. } | OutageEvidence::None => Some(RELIST_GRACE),
        }
    }

    /// Whether the endpoints that stay on the list renewed their entries throughout `gap`, by all records of the log.
    fn was_renewed(&self, events: &[DirectoryEvent], gap: Duration, renewal_interval: Duration) -> bool {
        if gap > MAX_COUNTED_GAP || renewal_interval.is_zero() {
            return false;
        }
        let mut renewals: HashMap<&str, u32> = self.entries.keys().map(|id| (id.as_str(), 0)).collect();
        for event in events {
            match event {
                DirectoryEvent::Seen(endpoint) => {
                    if let Some(count) = renewals.get_mut(endpoint.id.as_str()) {
                        *count += 1;
                    }
                },
                DirectoryEvent::Gone(id) => {
                    renewals.remove(id.as_str());
                },
                DirectoryEvent::All(_) | DirectoryEvent::Restored(_) => return false,
            }
        }
        let expected = gap.div_duration_f64(renewal_interval) - MISSING_RENEWALS;
        !renewals.is_empty() && f64::from(renewals.values().sum::<u32>()) >= expected * renewals.len() as f64
    }

    /// Time for which entries that were removed in an outage are still kept.
    pub fn relist_grace(&self, now: SystemTime) -> Duration {
        self.grace_until.and_then(|until| until.duration_since(now).ok()).unwrap_or_default()
    }

    /// Whether an event changes anything; most events only renew an entry.
    fn is_change(&self, event: &DirectoryEvent, now: SystemTime) -> bool {
        match event {
            DirectoryEvent::Seen(endpoint) => {
                let known = self.entries.get(&endpoint.id);
                known.is_none_or(|entry| !entry.is_same(endpoint, now))
            },
            DirectoryEvent::Gone(id) => self.entries.contains_key(id),
            DirectoryEvent::All(_) | DirectoryEvent::Restored(_) => true,
        }
    }

    fn apply_event(&mut self, event: DirectoryEvent, now: SystemTime) -> bool {
        match event {
            DirectoryEvent::Seen(endpoint) => {
                self.removed.remove(&endpoint.id);
                self.upsert(endpoint, now)
            },
            DirectoryEvent::Gone(id) => self.remove(&id, now),
            DirectoryEvent::All(endpoints) => self.replace(endpoints, now),
            DirectoryEvent::Restored(endpoints) => {
                self.grace_until = Some(now + RELIST_GRACE);
                self.restored = Some(now);
                self.replace(endpoints, now)
            },
        }
    }

    fn upsert(&mut self, endpoint: ListedEndpoint, now: SystemTime) -> bool {
        let known = self.entries.get(&endpoint.id);
        if known.is_some_and(|entry| is_earlier_start(endpoint.start, entry.endpoint.start)) {
            // A delayed record of an earlier start.
            return false;
        }
        let is_same = known.is_some_and(|entry| entry.is_same(&endpoint, now));
        if !is_same {
            self.entries.insert(endpoint.id.clone(), Entry::new(endpoint, now));
        }
        !is_same
    }

    fn remove(&mut self, id: &str, now: SystemTime) -> bool {
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if in_grace && !entry.endpoint.is_leaving {
            entry.is_lapsed = true;
            return false;
        }
        self.removed.insert(id.to_owned(), now);
        self.entries.remove(id).is_some()
    }

    /// Whether an endpoint on an older list is known to have been removed, or to be shutting down.
    fn has_departed(&self, endpoint: &ListedEndpoint, now: SystemTime) -> bool {
        let is_gone = self.removed.get(&endpoint.id).is_some_and(|at| now < *at + REMOVED_RETENTION);
        let is_leaving = self.entries.get(&endpoint.id).is_some_and(|entry| entry.endpoint.is_leaving);
        is_gone || (is_leaving && !endpoint.is_leaving)
    }

    fn replace(&mut self, mut endpoints: Vec<ListedEndpoint>, now: SystemTime) -> bool {
        if self.restored.is_some_and(|at| now < at + REMOVED_RETENTION) {
            endpoints.retain(|endpoint| !self.has_departed(endpoint, now));
        }
        let listed: std::collections::HashSet<EndpointId> = endpoints.iter().map(|e| e.id.clone()).collect();
        let missing: Vec<EndpointId> = self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut has_changed = false;
        for endpoint in endpoints {
            has_changed |= self.upsert(endpoint, now);
        }
        for id in missing {
            has_changed |= self.remove(&id, now);
        }
        has_changed
    }

    /// Removes entries that lapsed during an outage and were not written again in time.
    fn expire(&mut self, now: SystemTime) -> bool {
        if self.grace_until.is_none_or(|until| now < until) {
            return false;
        }
        self.grace_until = None;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.is_lapsed);
        self.entries.len() != before
    }

    /// Whether the list may lack entries that the store lost and that will be written again soon.
    pub fn is_restoring(&self, now: SystemTime) -> bool {
        self.restored.is_some_and(|at| now < at + RELIST_GRACE)
    }

    /// Endpoints of all services that accept new work.
    pub fn usable(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint).filter(|endpoint| !endpoint.is_leaving)
    }

    /// The entries on the list, without lapsed entries that are kept for a time.
    pub fn listed(&self, now: SystemTime) -> Vec<ListedEndpoint> {
        self.entries.values().filter(|entry| !entry.is_lapsed).map(|entry| entry.read(now)).collect()
    }

    /// The end of the cold phase of each endpoint that is cold, by its entry.
    pub fn cold(&self, now: SystemTime) -> HashMap<EndpointId, SystemTime> {
        let cold = |(id, entry): (&EndpointId, &Entry)| Some((id.clone(), entry.cold_until.filter(|at| now < *at)?));
        self.entries.iter().filter_map(cold).collect()
    }

    /// The number of known endpoints, including those that are shutting down.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The endpoint with an id, if it is known.
    pub fn get(&self, id: &str) -> Option<&ListedEndpoint> {
        self.entries.get(id).map(|entry| &entry.endpoint)
    }

    /// All endpoints, including those that are shutting down.
    pub fn all(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }
}
