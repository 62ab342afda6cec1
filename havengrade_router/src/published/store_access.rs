//! How this VM stands to the store: whether it may read it, for whom it does, how far it has read, and when it leaves it alone.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use havengrade_core::published::{directory::ListedEndpoint, position::Era, relay::ChangeLog};
use tokio::{sync::watch, time::Instant};

use crate::shared::lock;

/// Longest time for which others that start wait for a read that is under way: a list of 20,000 endpoints over a link of
/// 20 Mbit/s takes two seconds.
const MAX_INITIAL_READ_TIME: Duration = Duration::from_secs(4);

/// How far this VM has read the store, for those who ask it.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// Position up to which operators' records were taken.
    pub operators_position: Option<u64>,
    /// The last changes of the list of endpoints.
    pub endpoint_changes: ChangeLog,
    /// The list of endpoints as it stands.
    pub listed_endpoints: Arc<[ListedEndpoint]>,
    /// Whether the store lost entries of the list that are written again soon.
    pub is_restoring: bool,
    /// When nothing newer than the list existed.
    pub endpoints_confirmed_at: SystemTime,
}

/// How a VM stands to the store.
pub struct StoreAccess {
    /// Whether the store may be read: not until a VM that starts has asked others.
    may_read: AtomicBool,
    is_reader: AtomicBool,
    /// Whether this VM reads the store for others while those whose turn it is don't reach it.
    is_fallback_reader: AtomicBool,
    /// Since when this VM reads what is in force; none where it does not, or knows it.
    initial_read_since: Mutex<Option<SystemTime>>,
    /// Until when the store is left alone after it did not answer.
    paused_until: Mutex<Option<Instant>>,
    view: Mutex<StoreView>,
    /// How often the store has come back from an older copy; none before this VM knows any position.
    eras: watch::Sender<Option<Era>>,
}

impl Default for StoreAccess {
    fn default() -> Self {
        let view = StoreView {
            operators_position: None,
            endpoint_changes: ChangeLog::default(),
            listed_endpoints: Arc::default(),
            is_restoring: false,
            endpoints_confirmed_at: SystemTime::UNIX_EPOCH,
        };
        Self {
            may_read: AtomicBool::new(false),
            is_reader: AtomicBool::new(false),
            is_fallback_reader: AtomicBool::new(false),
            initial_read_since: Mutex::default(),
            paused_until: Mutex::default(),
            view: Mutex::new(view),
            eras: watch::Sender::new(None),
        }
    }
}

impl StoreAccess {
    /// Lets the store be read; tells whether it could not be before.
    pub fn allow_reads(&self) -> bool {
        !self.may_read.swap(true, Ordering::AcqRel)
    }

    /// Whether the store may be read.
    pub fn may_read(&self) -> bool {
        self.may_read.load(Ordering::Acquire)
    }

    /// Notes that this VM begins to read what is in force.
    pub fn start_initial_read(&self, now: SystemTime) {
        lock(&self.initial_read_since).get_or_insert(now);
    }

    /// Notes that such a read has failed.
    pub fn fail_initial_read(&self) {
        *lock(&self.initial_read_since) = None;
    }

    /// Whether this VM is reading what is in force, so that others may wait for it.
    pub fn is_reading_initial_state(&self, now: SystemTime) -> bool {
        lock(&self.initial_read_since).is_some_and(|since| now < since + MAX_INITIAL_READ_TIME)
    }

    /// How far this VM has read the store, locked for a moment.
    pub fn view(&self) -> MutexGuard<'_, StoreView> {
        lock(&self.view)
    }

    /// Notes the era of a position in the store that was read here or by another VM.
    pub fn record_era(&self, era: Era) {
        let is_restored = self.eras.send_if_modified(|known| {
            let before = known.replace(known.map_or(era, |known| known.max(era)));
            // Before the first one, this VM had written nothing that could be lost.
            before.is_some_and(|before| before < era)
        });
        if is_restored {
            log::warn!(era = era; "the store came back from an older copy; what this VM wrote is written again");
        }
    }

    /// Tells of each time that the store has come back from an older copy.
    pub fn eras(&self) -> watch::Receiver<Option<Era>> {
        self.eras.subscribe()
    }

    /// Whether this VM reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Acquire) || self.is_fallback_reader()
    }

    /// Whether this VM reads the store for others in place of those whose turn it is.
    pub fn is_fallback_reader(&self) -> bool {
        self.is_fallback_reader.load(Ordering::Acquire)
    }

    /// Notes whether it does.
    pub fn set_fallback_reader(&self, is_fallback_reader: bool) {
        if self.is_fallback_reader.swap(is_fallback_reader, Ordering::AcqRel) != is_fallback_reader {
            log::info!(reads = u64::from(is_fallback_reader); "this VM reads the store in place of readers that don't reach it");
        }
    }

    /// Notes whether this VM reads the store for others.
    pub fn set_reader(&self, is_reader: bool) {
        if self.is_reader.swap(is_reader, Ordering::AcqRel) != is_reader {
            log::info!(reads = u64::from(is_reader); "this VM begins or ends to read the store for others");
        }
    }

    /// Whether the store is left alone at `now`, since it lately did not answer one of the feeds.
    pub fn is_paused(&self, now: Instant) -> bool {
        lock(&self.paused_until).is_some_and(|until| now < until)
    }

    /// Leaves the store alone until a time, or no longer.
    pub fn set_paused_until(&self, until: Option<Instant>) {
        *lock(&self.paused_until) = until;
    }
}
