//! Who reads the store for whom: a few VMs read, the others ask them and read only what they miss.
//!
//! A VM that asks counts an answer's age from when it asked, by its own clock, so that an answer which is held
//! up on its way is never believed to be younger than it is.

use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::{Duration, SystemTime},
};

use crate::published::directory::DirectoryEvent;

/// VMs that read the store, at least: one may be cut off from it.
const MIN_READERS: usize = 2;
/// VMs that one reader answers for.
const VMS_A_READER: usize = 64;
/// Changes of the list of endpoints that are kept for VMs that ask.
const MAX_CHANGES: usize = 128;

/// How many of so many VMs read the store.
///
/// ```
/// use havengrade_core::published::relay::readers;
///
/// assert_eq!([readers(1), readers(9), readers(390)], [1, 2, 7]);
/// ```
pub fn readers(vms: usize) -> usize {
    vms.div_ceil(VMS_A_READER).max(MIN_READERS).min(vms)
}

/// Where a VM stands in the order in which they become readers; the same wherever it is asked.
pub fn rank(vm: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    vm.hash(&mut hasher);
    hasher.finish()
}

/// Until when a view is known to have been the newest, from an answer to a question that was asked at `asked`.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::published::relay::confirmed_at;
///
/// let asked = SystemTime::UNIX_EPOCH + Duration::from_secs(9);
/// assert_eq!(confirmed_at(asked, Duration::from_secs(2)), SystemTime::UNIX_EPOCH + Duration::from_secs(7));
/// ```
pub fn confirmed_at(asked: SystemTime, age: Duration) -> SystemTime {
    asked.checked_sub(age).unwrap_or(SystemTime::UNIX_EPOCH)
}

/// The last changes of the list of endpoints, each with the position after the read that brought it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(u64, DirectoryEvent)>,
    /// Position from which on no change is missing.
    complete_from: u64,
    /// Position after the last read.
    position: u64,
}

impl ChangeLog {
    /// Notes what a read brought and the position after it.
    pub fn note(&mut self, events: &[DirectoryEvent], position: u64) {
        let is_list = events.iter().any(|event| matches!(event, DirectoryEvent::All(_)));
        if is_list {
            self.changes.clear();
            self.complete_from = position;
        } else {
            self.changes.extend(events.iter().map(|event| (position, event.clone())));
        }
        self.position = position;
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_from = dropped;
            }
        }
    }

    /// Position after the last read.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The changes since a position; none where some of them are no longer kept, or the position is ahead.
    ///
    /// ```
    /// use havengrade_core::published::{directory::DirectoryEvent, relay::ChangeLog};
    ///
    /// let mut log = ChangeLog::default();
    /// log.note(&[DirectoryEvent::All(Vec::new())], 5);
    /// log.note(&[DirectoryEvent::Gone("e1".into())], 9);
    /// assert_eq!(log.since(5).unwrap().len(), 1);
    /// assert_eq!(log.since(9).unwrap().len(), 0);
    /// assert!(log.since(4).is_none() && log.since(10).is_none());
    /// ```
    pub fn since(&self, position: u64) -> Option<Vec<DirectoryEvent>> {
        if position < self.complete_from || position > self.position {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > position);
        Some(newer.map(|(_, event)| event.clone()).collect())
    }
}
