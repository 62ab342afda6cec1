//! The endpoints of published services, as the platform lists them and as its outages blur the list.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EndpointId, ServiceId};

/// Software version of an endpoint, as a roll-out names it.
pub type SoftwareVersion = String;

/// One start of an endpoint under its id: Unix milliseconds of it. A later one knows and holds nothing of an earlier one.
pub type EndpointStart = u64;

/// Whether one start of an endpoint is surely earlier than another; where one of them is not told, they count as the same.
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

/// An endpoint as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Id of the endpoint; a restarted one mostly has another.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// IP number and port.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it will end soon and takes no new work.
    pub is_leaving: bool,
    /// Time from when this was read for which it is still cold: it bears few requests a second.
    #[serde(default)]
    pub cold_for: Duration,
    /// Which start of the endpoint it is; none where the entry does not tell.
    #[serde(default)]
    pub start: Option<EndpointStart>,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryEvent {
    /// An entry was written.
    Seen(ListedEndpoint),
    /// An entry went.
    Gone(EndpointId),
    /// The list was read afresh; what it does not hold is gone.
    All(Vec<ListedEndpoint>),
    /// The list was read from a store that came back from an older copy: what it does not hold may be entered again soon, and what
    /// has left meanwhile may still stand there.
    Restored(Vec<ListedEndpoint>),
}

/// Time after an outage's end for which entries that lapsed during it are kept.
///
/// The platform promises that a live endpoint is listed again within about two seconds.
pub const RELIST_GRACE: Duration = Duration::from_millis(2200);

/// Time without a read of the list after which entries may have lapsed only because the store was away.
///
/// An endpoint's entry goes after three heartbeats that are missing, each about a second apart.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2500);

/// Time for which endpoints that left are remembered; the copy from which a store comes back is some seconds old.
const LEFT_KEPT: Duration = Duration::from_secs(120);

/// Time by which one read of an entry may come later than another: that between two reads of the list.
const READ_SLACK: Duration = Duration::from_millis(800);

/// The endpoints that are known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Entry>,
    /// Endpoints that left, and when, for the case that an older list shows them again.
    left: HashMap<EndpointId, SystemTime>,
    /// When the store last came back from an older copy.
    restored: Option<SystemTime>,
    last_read: Option<SystemTime>,
    grace_until: Option<SystemTime>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// What was read, but for how long it is cold.
    endpoint: ListedEndpoint,
    cold_until: Option<SystemTime>,
    lapsed: bool,
}

impl Entry {
    fn new(endpoint: ListedEndpoint, now: SystemTime) -> Self {
        let cold_until = (!endpoint.cold_for.is_zero()).then(|| now + endpoint.cold_for);
        Self { endpoint: ListedEndpoint { cold_for: Duration::ZERO, ..endpoint }, cold_until, lapsed: false }
    }

    /// Whether an entry that is read at `now` says the same; a time for which it is cold is read more or less late.
    fn is_same(&self, read: &ListedEndpoint, now: SystemTime) -> bool {
        let other = Self::new(read.clone(), now);
        let known_cold = self.cold_until.filter(|until| now < *until);
        let is_as_cold = match (known_cold, other.cold_until) {
            (Some(known), Some(until)) => until <= known + READ_SLACK,
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        !self.lapsed && self.endpoint == other.endpoint && is_as_cold
    }

    /// The entry as it would be read at `now`.
    fn read(&self, now: SystemTime) -> ListedEndpoint {
        let cold_for = self.cold_until.and_then(|until| until.duration_since(now).ok()).unwrap_or_default();
        ListedEndpoint { cold_for, ..self.endpoint.clone() }
    }
}

impl Directory {
    /// Takes what a read brought; the list was as it says at `at`, which lies before `now`.
    ///
    /// Gives the events that say something new, and whether any endpoint changed for those who use it.
    pub fn apply(
        &mut self,
        events: Vec<DirectoryEvent>,
        at: SystemTime,
        now: SystemTime,
    ) -> (Vec<DirectoryEvent>, bool) {
        let was_away = self.last_read.is_some_and(|last| at >= last + OUTAGE_THRESHOLD);
        if was_away {
            self.grace_until = Some(now + RELIST_GRACE);
        }
        self.left.retain(|_, left| now < *left + LEFT_KEPT);
        self.last_read = self.last_read.max(Some(at));
        let mut has_changed = false;
        let mut news = Vec::new();
        for event in events {
            if self.is_news(&event, now) {
                has_changed |= self.take(event.clone(), now);
                news.push(event);
            }
        }
        let has_expired = self.expire(now);
        (news, has_changed || has_expired)
    }

    /// Whether an event says anything that is not known; most only renew an entry.
    fn is_news(&self, event: &DirectoryEvent, now: SystemTime) -> bool {
        match event {
            DirectoryEvent::Seen(endpoint) => {
                let known = self.entries.get(&endpoint.id);
                known.is_none_or(|entry| !entry.is_same(endpoint, now))
            },
            DirectoryEvent::Gone(id) => self.entries.contains_key(id),
            DirectoryEvent::All(_) | DirectoryEvent::Restored(_) => true,
        }
    }

    fn take(&mut self, event: DirectoryEvent, now: SystemTime) -> bool {
        match event {
            DirectoryEvent::Seen(endpoint) => {
                self.left.remove(&endpoint.id);
                self.see(endpoint, now)
            },
            DirectoryEvent::Gone(id) => self.lose(&id, now),
            DirectoryEvent::All(endpoints) => self.replace(endpoints, now),
            DirectoryEvent::Restored(endpoints) => {
                self.grace_until = Some(now + RELIST_GRACE);
                self.restored = Some(now);
                self.replace(endpoints, now)
            },
        }
    }

    fn see(&mut self, endpoint: ListedEndpoint, now: SystemTime) -> bool {
        let known = self.entries.get(&endpoint.id);
        if known.is_some_and(|entry| is_earlier_start(endpoint.start, entry.endpoint.start)) {
            // A late record of an earlier start.
            return false;
        }
        let is_same = known.is_some_and(|entry| entry.is_same(&endpoint, now));
        if !is_same {
            self.entries.insert(endpoint.id.clone(), Entry::new(endpoint, now));
        }
        !is_same
    }

    fn lose(&mut self, id: &str, now: SystemTime) -> bool {
        let is_grace = self.grace_until.is_some_and(|until| now < until);
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if is_grace && !entry.endpoint.is_leaving {
            entry.lapsed = true;
            return false;
        }
        self.left.insert(id.to_owned(), now);
        self.entries.remove(id).is_some()
    }

    /// Whether an endpoint of an older list is known to have left, or to be about to.
    fn has_left(&self, endpoint: &ListedEndpoint, now: SystemTime) -> bool {
        let is_gone = self.left.get(&endpoint.id).is_some_and(|at| now < *at + LEFT_KEPT);
        let is_leaving = self.entries.get(&endpoint.id).is_some_and(|entry| entry.endpoint.is_leaving);
        is_gone || (is_leaving && !endpoint.is_leaving)
    }

    fn replace(&mut self, mut endpoints: Vec<ListedEndpoint>, now: SystemTime) -> bool {
        if self.restored.is_some_and(|at| now < at + LEFT_KEPT) {
            endpoints.retain(|endpoint| !self.has_left(endpoint, now));
        }
        let listed: std::collections::HashSet<EndpointId> = endpoints.iter().map(|e| e.id.clone()).collect();
        let missing: Vec<EndpointId> = self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut has_changed = false;
        for endpoint in endpoints {
            has_changed |= self.see(endpoint, now);
        }
        for id in missing {
            has_changed |= self.lose(&id, now);
        }
        has_changed
    }

    /// Drops entries that lapsed during an outage and are not back in time.
    fn expire(&mut self, now: SystemTime) -> bool {
        if self.grace_until.is_none_or(|until| now < until) {
            return false;
        }
        self.grace_until = None;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.lapsed);
        self.entries.len() != before
    }

    /// Whether the list may miss entries that the store lost, and that are written again soon.
    pub fn is_restoring(&self, now: SystemTime) -> bool {
        self.restored.is_some_and(|at| now < at + RELIST_GRACE)
    }

    /// Endpoints of all services that may receive new work.
    pub fn usable(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint).filter(|endpoint| !endpoint.is_leaving)
    }

    /// What the list holds, without entries that lapsed and are kept for a time.
    pub fn listed(&self, now: SystemTime) -> Vec<ListedEndpoint> {
        self.entries.values().filter(|entry| !entry.lapsed).map(|entry| entry.read(now)).collect()
    }

    /// Until when endpoints are cold, as their entries tell; those that are not cold are left out.
    pub fn cold(&self, now: SystemTime) -> HashMap<EndpointId, SystemTime> {
        let cold = |(id, entry): (&EndpointId, &Entry)| Some((id.clone(), entry.cold_until.filter(|at| now < *at)?));
        self.entries.iter().filter_map(cold).collect()
    }

    /// How many endpoints are known, also those that leave.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An endpoint that is known.
    pub fn get(&self, id: &str) -> Option<&ListedEndpoint> {
        self.entries.get(id).map(|entry| &entry.endpoint)
    }

    /// All endpoints, also those that leave.
    pub fn all(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }
}
