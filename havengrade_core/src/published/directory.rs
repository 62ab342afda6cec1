//! The endpoints of published services, as the platform lists them and as its outages blur the list.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use crate::ids::{DomainId, EndpointId, ServiceId};

/// Software version of an endpoint, as a roll-out names it.
pub type SoftwareVersion = String;

/// An endpoint as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Id of this start of the endpoint; a restarted one has another.
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
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEvent {
    /// An entry was written.
    Seen(ListedEndpoint),
    /// An entry went.
    Gone(EndpointId),
    /// The list was read afresh; what it does not hold is gone.
    All(Vec<ListedEndpoint>),
}

/// Time after an outage's end for which entries that lapsed during it are kept.
///
/// The platform promises that a live endpoint is listed again within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2200);

/// Silence of the list after which entries may have lapsed by the outage alone.
pub const OUTAGE_AFTER: Duration = Duration::from_millis(900);

/// The endpoints that are known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<EndpointId, Entry>,
    last_read: Option<SystemTime>,
    grace_until: Option<SystemTime>,
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: ListedEndpoint,
    lapsed: bool,
}

impl Directory {
    /// Notes that the list was read at `now`, and takes its changes; tells whether any endpoint changed.
    pub fn apply(&mut self, events: Vec<DirectoryEvent>, now: SystemTime) -> bool {
        let was_away = self.last_read.is_some_and(|at| now >= at + OUTAGE_AFTER + POLL_ALLOWANCE);
        if was_away {
            self.grace_until = Some(now + RETURN_GRACE);
        }
        self.last_read = Some(now);
        let mut has_changed = false;
        for event in events {
            has_changed |= self.take(event, now);
        }
        has_changed | self.expire(now)
    }

    fn take(&mut self, event: DirectoryEvent, now: SystemTime) -> bool {
        match event {
            DirectoryEvent::Seen(endpoint) => self.see(endpoint),
            DirectoryEvent::Gone(id) => self.lose(&id, now),
            DirectoryEvent::All(endpoints) => self.replace(endpoints, now),
        }
    }

    fn see(&mut self, endpoint: ListedEndpoint) -> bool {
        let known = self.entries.get(&endpoint.id);
        let is_same = known.is_some_and(|entry| !entry.lapsed && entry.endpoint == endpoint);
        if !is_same {
            self.entries.insert(endpoint.id.clone(), Entry { endpoint, lapsed: false });
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
        self.entries.remove(id).is_some()
    }

    fn replace(&mut self, endpoints: Vec<ListedEndpoint>, now: SystemTime) -> bool {
        let listed: std::collections::HashSet<EndpointId> = endpoints.iter().map(|e| e.id.clone()).collect();
        let missing: Vec<EndpointId> = self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut has_changed = false;
        for endpoint in endpoints {
            has_changed |= self.see(endpoint);
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

    /// Endpoints of all services that may receive new work.
    pub fn usable(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint).filter(|endpoint| !endpoint.is_leaving)
    }

    /// All endpoints, also those that leave.
    pub fn all(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }
}

/// Longest usual time between two reads of the list.
const POLL_ALLOWANCE: Duration = Duration::from_millis(700);
