//! Access of this VM to the store: whether it may read it, whether it does so for others, its position in the store,
//! and pauses after failed reads.

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

/// Longest time for which starting VMs wait for an initial read in progress: a list of 20,000 endpoints takes two
/// seconds over a link of 20 Mbit/s.
const MAX_INITIAL_READ_TIME: Duration = Duration::from_secs(4);

/// This VM's view of the store, from which it answers other VMs.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// Position up to which operators' events have been applied; none before the first read.
    pub operators_position: Option<u64>,
    /// Time at which that position was known to be the newest.
    pub operators_confirmed_at: SystemTime,
    /// Whether the newest configuration up to that position can't be decoded, so that the active one is an older one.
    pub is_config_unreadable: bool,
    /// Recent changes to the endpoint list.
    pub endpoint_changes: ChangeLog,
    /// The current endpoint list.
    pub listed_endpoints: Arc<[ListedEndpoint]>,
    /// Whether the store has lost entries of the list, which endpoints will write again soon.
    pub is_restoring: bool,
    /// Time until which endpoints that were removed in an outage of the store are kept.
    pub relist_grace_until: SystemTime,
    /// Time at which the endpoint list was known to be up to date.
    pub endpoints_confirmed_at: SystemTime,
    /// Time of the last read of the operators' events by this VM itself.
    pub operators_read_at: SystemTime,
    /// Time of the last read of the endpoint list by this VM itself.
    pub endpoints_read_at: SystemTime,
    /// Time since which this VM has read the store for others without interruption.
    pub reader_since: SystemTime,
}

impl StoreView {
    /// Time for which endpoints that were removed in an outage of the store are still kept.
    pub fn relist_grace(&self, now: SystemTime) -> Duration {
        self.relist_grace_until.duration_since(now).unwrap_or_default()
    }

    /// Time since the position in the operators' events was last known to be the newest.
    pub fn operators_age(&self, now: SystemTime) -> Duration {
        now.duration_since(self.operators_confirmed_at).unwrap_or_default()
    }

    /// Age of the older one of the last own reads of both feeds, for a VM that reads the store for others.
    ///
    /// A view that another VM sent is newer, but shows nothing of whether this VM reaches the store.
    pub fn own_read_age(&self, now: SystemTime) -> Duration {
        self.operators_read_age(now).max(self.endpoints_read_age(now))
    }

    /// Age of the last own read of the operators' events.
    pub fn operators_read_age(&self, now: SystemTime) -> Duration {
        now.duration_since(self.operators_read_at.max(self.reader_since)).unwrap_or_default()
    }

    /// Age of the last own read of the endpoint list.
    pub fn endpoints_read_age(&self, now: SystemTime) -> Duration {
        now.duration_since(self.endpoints_read_at.max(self.reader_since)).unwrap_or_default()
    }
}

/// Access of a VM to the store.
pub struct StoreAccess {
    /// Whether the store may be read; a starting VM asks others first.
    may_read: AtomicBool,
    is_reader: AtomicBool,
    /// Whether this VM reads the store for others while the regular readers do not reach it.
    is_fallback_reader: AtomicBool,
    /// Start of the initial read of the active state; none before it or after it failed.
    initial_read_since: Mutex<Option<SystemTime>>,
    /// End of the pause after a failed read.
    paused_until: Mutex<Option<Instant>>,
    view: Mutex<StoreView>,
    /// Number of times that the store was restored from an older copy; none before this VM knows a position.
    eras: watch::Sender<Option<Era>>,
}

impl Default for StoreAccess {
    fn default() -> Self {
        let view = StoreView {
            operators_position: None,
            operators_confirmed_at: SystemTime::UNIX_EPOCH,
            is_config_unreadable: false,
            endpoint_changes: ChangeLog::default(),
            listed_endpoints: Arc::default(),
            is_restoring: false,
            relist_grace_until: SystemTime::UNIX_EPOCH,
            endpoints_confirmed_at: SystemTime::UNIX_EPOCH,
            operators_read_at: SystemTime::UNIX_EPOCH,
            endpoints_read_at: SystemTime::UNIX_EPOCH,
            reader_since: SystemTime::UNIX_EPOCH,
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
    /// Allows reads of the store; returns whether they were not allowed before.
    pub fn allow_reads(&self) -> bool {
        !self.may_read.swap(true, Ordering::AcqRel)
    }

    /// Whether the store may be read.
    pub fn may_read(&self) -> bool {
        self.may_read.load(Ordering::Acquire)
    }

    /// Records that this VM starts to read the active state for the first time.
    pub fn start_initial_read(&self, now: SystemTime) {
        lock(&self.initial_read_since).get_or_insert(now);
    }

    /// Records that the initial read has failed.
    pub fn fail_initial_read(&self) {
        *lock(&self.initial_read_since) = None;
    }

    /// Whether this VM is reading the active state for the first time, so that others may wait for it.
    pub fn is_reading_initial_state(&self, now: SystemTime) -> bool {
        lock(&self.initial_read_since).is_some_and(|since| now < since + MAX_INITIAL_READ_TIME)
    }

    /// This VM's view of the store, locked until the guard is dropped.
    pub fn view(&self) -> MutexGuard<'_, StoreView> {
        lock(&self.view)
    }

    /// Records the era of a position in the store, read by this VM or by another one.
    pub fn record_era(&self, era: Era) {
        let is_restored = self.eras.send_if_modified(|known| {
            let before = known.replace(known.map_or(era, |known| known.max(era)));
            // Before the first era was known, this VM had written nothing that could be lost.
            before.is_some_and(|before| before < era)
        });
        if is_restored {
            log::warn!(era = era; "store was restored from an older copy; this VM writes its entries again");
        }
    }

    /// A channel that reports each restore of the store from an older copy.
    pub fn eras(&self) -> watch::Receiver<Option<Era>> {
        self.eras.subscribe()
    }

    /// Whether this VM reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Acquire) || self.is_fallback_reader()
    }

    /// Whether this VM reads the store for others in place of the regular readers.
    pub fn is_fallback_reader(&self) -> bool {
        self.is_fallback_reader.load(Ordering::Acquire)
    }

    /// Sets whether this VM reads the store for others in place of the regular readers.
    pub fn set_fallback_reader(&self, is_fallback_reader: bool, now: SystemTime) {
        self.record_reader_start(is_fallback_reader, now);
        if self.is_fallback_reader.swap(is_fallback_reader, Ordering::AcqRel) != is_fallback_reader {
            log::info!(reads = u64::from(is_fallback_reader); "this VM starts or stops being a fallback reader");
        }
    }

    /// Sets whether this VM is a regular reader of the store for others.
    pub fn set_reader(&self, is_reader: bool, now: SystemTime) {
        self.record_reader_start(is_reader, now);
        if self.is_reader.swap(is_reader, Ordering::AcqRel) != is_reader {
            log::info!(reads = u64::from(is_reader); "this VM starts or stops being a reader of the store");
        }
    }

    fn record_reader_start(&self, starts: bool, now: SystemTime) {
        if starts && !self.is_reader() {
            self.view().reader_since = now;
        }
    }

    /// Whether reads are paused at `now`, since the last read of some feed failed.
    pub fn is_paused(&self, now: Instant) -> bool {
        lock(&self.paused_until).is_some_and(|until| now < until)
    }

    /// Pauses reads until a time, or ends the pause.
    pub fn set_paused_until(&self, until: Option<Instant>) {
        *lock(&self.paused_until) = until;
    }
}
