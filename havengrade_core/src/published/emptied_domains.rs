//! Failure domains that operators have emptied: their endpoints get nothing until the order is taken back.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::ids::DomainId;

/// Time after a domain was taken back for which its endpoints are taken to be cold, whatever is known of them.
///
/// They may have turned cold shortly before. An endpoint writes its entry about every 1.2 s, the list is read every 0.6 s, and a VM
/// asks the readers every 0.4 s, so that by then each entry was written since.
const ENTRY_UPDATE_TIME: Duration = Duration::from_millis(3000);

/// What operators wrote of emptied domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DomainEvent {
    /// The endpoints of a domain are to get nothing.
    Emptied(DomainId),
    /// The order was taken back.
    Refilled(DomainId),
    /// All domains that are emptied.
    All {
        /// The domains.
        emptied: Vec<DomainId>,
        /// Whether no order can be missing; one is where the store has just lost some, and operators write it again.
        is_sure: bool,
    },
}

/// The failure domains that are emptied, as far as a VM knows.
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
    /// Emptied domains, each with the time since which this VM knows.
    emptied: BTreeMap<DomainId, SystemTime>,
    /// Domains that were taken back, each with the time since which this VM knows.
    refilled: BTreeMap<DomainId, SystemTime>,
    is_sure: bool,
}

impl Default for EmptiedDomains {
    fn default() -> Self {
        Self { emptied: BTreeMap::new(), refilled: BTreeMap::new(), is_sure: true }
    }
}

impl EmptiedDomains {
    /// Takes what operators wrote; gives the domains that are emptied since, and those that are taken back.
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

    /// Whether the endpoints of a domain are to get nothing.
    pub fn is_emptied(&self, domain: &str) -> bool {
        self.emptied.contains_key(domain)
    }

    /// Whether the endpoints of a domain may be cold without their entries telling it yet, since it was taken back lately.
    pub fn may_be_cold(&self, domain: &str, now: SystemTime) -> bool {
        self.refilled.get(domain).is_some_and(|at| now < *at + ENTRY_UPDATE_TIME)
    }

    /// Time for which the last of the emptied domains is known to be, for callers who must wait for one of them.
    pub fn emptied_for(&self, now: SystemTime) -> Duration {
        let since = self.emptied.values().max().copied().unwrap_or(now);
        now.duration_since(since).unwrap_or_default()
    }

    /// All emptied domains, for a VM that asks.
    pub fn snapshot(&self) -> DomainEvent {
        DomainEvent::All { emptied: self.emptied.keys().cloned().collect(), is_sure: self.is_sure }
    }
}
