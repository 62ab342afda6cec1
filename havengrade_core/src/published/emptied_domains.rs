//! Failure domains that operators have emptied: their endpoints get no requests until the order is revoked.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::ids::DomainId;

/// Time after an order is revoked for which the endpoints of the domain are treated as cold, whatever their entries
/// say.
///
/// They may have turned cold shortly before. An endpoint writes its entry about every 1.2 s, the list is read every 0.6
/// s, and a VM polls the readers every 0.4 s, so that after this time each entry is newer than the revocation.
const ENTRY_UPDATE_TIME: Duration = Duration::from_millis(3000);

/// A change of the emptied domains that operators ordered, or the list of all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DomainEvent {
    /// The endpoints of a domain are to get no requests.
    Emptied(DomainId),
    /// The order to empty a domain was revoked.
    Refilled(DomainId),
    /// All emptied domains.
    All {
        /// The domains.
        emptied: Vec<DomainId>,
        /// Whether the list is known to be complete; it may not be if the store has just lost records, until operators
        /// repeat their orders.
        is_sure: bool,
    },
}

/// The emptied failure domains that a VM knows.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::published::emptied_domains::{DomainEvent, EmptiedDomains};
///
/// let now = SystemTime::UNIX_EPOCH;
/// let mut domains = EmptiedDomains::default();
/// domains.apply(DomainEvent::Emptied("d1".into()), now);
/// assert!(domains.is_emptied("d1") && !domains.is_emptied("d2"));
/// domains.apply(DomainEvent::All { emptied: Vec::new(), is_sure: false }, now);
/// assert!(domains.is_emptied("d1"));
/// domains.apply(DomainEvent::All { emptied: Vec::new(), is_sure: true }, now);
/// assert!(!domains.is_emptied("d1") && domains.may_be_cold("d1", now));
/// assert!(!domains.may_be_cold("d1", now + Duration::from_secs(4)));
/// ```
#[derive(Clone, Debug)]
pub struct EmptiedDomains {
    /// Emptied domains, each with the time at which this VM learned of the order.
    emptied: BTreeMap<DomainId, SystemTime>,
    /// Domains whose order was revoked, each with the time at which this VM learned of it.
    refilled: BTreeMap<DomainId, SystemTime>,
    is_sure: bool,
}

impl Default for EmptiedDomains {
    fn default() -> Self {
        Self { emptied: BTreeMap::new(), refilled: BTreeMap::new(), is_sure: true }
    }
}

impl EmptiedDomains {
    /// Applies an event, and returns the newly emptied domains and those whose order was revoked.
    pub fn apply(&mut self, event: DomainEvent, now: SystemTime) -> (Vec<DomainId>, Vec<DomainId>) {
        let (emptied, refilled) = match event {
            DomainEvent::Emptied(domain) => (vec![domain], Vec::new()),
            DomainEvent::Refilled(domain) => (Vec::new(), vec![domain]),
            DomainEvent::All { emptied, is_sure } => {
                self.is_sure = is_sure;
                let is_missing = |domain: &&DomainId| is_sure && !emptied.contains(*domain);
                let missing = self.emptied.keys().filter(is_missing).cloned().collect();
                (emptied, missing)
            },
        };
        let emptied: Vec<DomainId> = emptied.into_iter().filter(|domain| !self.is_emptied(domain)).collect();
        let refilled: Vec<DomainId> = refilled.into_iter().filter(|domain| self.is_emptied(domain)).collect();
        for domain in &emptied {
            self.refilled.remove(domain);
            self.emptied.insert(domain.clone(), now);
        }
        for domain in &refilled {
            self.emptied.remove(domain);
            self.refilled.insert(domain.clone(), now);
        }
        (emptied, refilled)
    }

    /// Whether the endpoints of a domain are to get no requests.
    pub fn is_emptied(&self, domain: &str) -> bool {
        self.emptied.contains_key(domain)
    }

    /// Whether the endpoints of a domain may be cold although their entries don't say so yet, since the order to empty
    /// it was revoked recently.
    pub fn may_be_cold(&self, domain: &str, now: SystemTime) -> bool {
        self.refilled.get(domain).is_some_and(|at| now < *at + ENTRY_UPDATE_TIME)
    }

    /// Time since this VM learned of the most recently emptied domain, for the retry delay of callers.
    pub fn emptied_for(&self, now: SystemTime) -> Duration {
        let since = self.emptied.values().max().copied().unwrap_or(now);
        now.duration_since(since).unwrap_or_default()
    }

    /// An event with all emptied domains, for a state transfer to another VM.
    pub fn snapshot(&self) -> DomainEvent {
        DomainEvent::All { emptied: self.emptied.keys().cloned().collect(), is_sure: self.is_sure }
    }
}
