//! Relay of the store's content between VMs: a few VMs read the store, and the others ask them and read only what
//! they miss.
//!
//! A VM that sends a store query computes the age of the answer from the time of its query by its own clock, so that an
//! answer that was delayed in transit never appears newer than it is.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use crate::{ids::VmId, published::directory::DirectoryEvent, ranking::rank};

/// Smallest number of VMs that read the store: one may be cut off from it.
const MIN_READERS: usize = 2;
/// Number of VMs per reader.
const VMS_PER_READER: usize = 64;
/// Polls of each VM within which, in total, as many VMs of a large fleet read the store for themselves as are readers.
const POLLS_PER_READ: f64 = 4.0;
/// Largest number of rounds after the first in which a VM asks others for a change: each may take as long as a change
/// may age.
const MAX_EXTRA_ROUNDS: u32 = 3;
/// Smallest number of changes to the endpoint list that are kept for VMs that ask.
const MIN_KEPT_CHANGES: usize = 128;
/// Divisor of the length of the list that gives the number of kept changes. A new version or the loss of a failure
/// domain changes as many entries as there are endpoints, and beyond this part the list itself is not much longer.
const KEPT_CHANGES_DIVISOR: usize = 2;
/// Age up to which a view is accepted from another VM.
///
/// A reader's view is up to two of its long polls old, and it is asked a little later. The rest of the time until a
/// change must be active, two seconds, is left for a read of the VM's own.
pub const MAX_RELAYED_AGE: Duration = Duration::from_millis(2300);
/// Time without a useful answer, or without any report, after which a VM counts as isolated from its peers.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(1200);
/// Age of the view at which an isolated VM reads the store.
const MAX_ISOLATED_AGE: Duration = Duration::from_millis(1200);
/// Age of the view from which VMs whose readers do not reach the store try it in turns.
///
/// This leaves 0.4 s until a change must be active.
const TURNS_FROM_AGE: Duration = Duration::from_millis(1600);
/// Delay between the turns of two VMs of a failure domain: with six failure domains, 30 calls a second while the
/// store is unreachable.
const TURN_INTERVAL: Duration = Duration::from_millis(200);
/// Age of a reader's last own read from which the reader is assumed not to reach the store.
///
/// The last read of one that reaches it is at most two of its long polls old, 1.4 s.
pub const STALE_READER_AGE: Duration = Duration::from_millis(1600);
/// Fallback readers that a VM remembers.
const MAX_FALLBACKS: usize = 2;
/// Consecutive queries without a useful answer after which a reader is skipped; single datagrams are lost now and
/// then.
const MISSES_BEFORE_SKIP: u32 = 2;
/// Initial time for which such a reader is skipped; each further miss doubles it.
const FIRST_SKIP_TIME: Duration = Duration::from_secs(2);
/// Largest number of doublings of that time.
const MAX_DOUBLINGS: u32 = 4;

/// The number of VMs that read the store, out of this many.
///
/// ```
/// use havengrade_core::published::relay::reader_count;
///
/// assert_eq!([reader_count(1), reader_count(9), reader_count(390)], [1, 2, 7]);
/// ```
pub fn reader_count(vms: usize) -> usize {
    vms.div_ceil(VMS_PER_READER).max(MIN_READERS).min(vms)
}

/// The probability with which a VM that is not a reader reads, in one poll, the feeds whose cost grows with the fleet.
///
/// If the VMs of a large fleet lose their readers all at once, this limits the number of reads in a second to the
/// number of its readers.
///
/// ```
/// use havengrade_core::published::relay::read_probability;
///
/// assert_eq!(read_probability(64), 1.0);
/// assert!(read_probability(1000) < 0.005);
/// ```
pub fn read_probability(vms: usize) -> f64 {
    if vms <= VMS_PER_READER {
        return 1.0;
    }
    reader_count(vms) as f64 / vms as f64 / POLLS_PER_READ
}

/// The number of rounds in which a VM that received a hint of a change asks two others for it before it reads the
/// store.
///
/// VMs that were served serve others, so that the number of VMs that have the change at least doubles with each round.
///
/// ```
/// use havengrade_core::published::relay::peer_rounds_before_read;
///
/// assert_eq!([peer_rounds_before_read(9), peer_rounds_before_read(300), peer_rounds_before_read(2000)], [1, 3, 4]);
/// ```
pub fn peer_rounds_before_read(vms: usize) -> u32 {
    1 + vms.checked_div(VMS_PER_READER).and_then(usize::checked_ilog2).unwrap_or_default().min(MAX_EXTRA_ROUNDS)
}

/// The age of a VM's view of the store, and of the last answer from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Time at which the view was known to be up to date.
    pub confirmed: SystemTime,
    /// Time of the last answer from another VM, whatever its age.
    pub last_answer: Option<SystemTime>,
    /// Age of the view in that answer.
    pub answer_age: Duration,
}

impl Default for Freshness {
    fn default() -> Self {
        Self { confirmed: SystemTime::UNIX_EPOCH, last_answer: None, answer_age: Duration::ZERO }
    }
}

impl Freshness {
    /// Records the answer of another VM, whose view was up to date at `at`.
    pub fn record_answer(&mut self, at: SystemTime, now: SystemTime) {
        self.last_answer = Some(now);
        self.answer_age = now.duration_since(at).unwrap_or_default();
        self.confirmed = self.confirmed.max(at);
    }

    /// Whether peers are alive but do not reach the store either, as far as is known.
    pub fn is_store_unreachable_for_peers(&self, now: SystemTime) -> bool {
        is_recent(self.last_answer, now) && self.answer_age >= STALE_READER_AGE
    }

    /// Whether a VM must read the store itself: its view is old, and no peer has confirmed it.
    ///
    /// `place` is the number of VMs of its failure domain that try before it while peers do not reach the store either.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::relay::Freshness;
    ///
    /// let confirmed = SystemTime::UNIX_EPOCH;
    /// let now = confirmed + Duration::from_millis(1700);
    /// let alone = Freshness { confirmed, ..Freshness::default() };
    /// assert!(alone.must_read_store(9, now));
    /// let answered = Freshness { last_answer: Some(now), ..alone };
    /// assert!(!answered.must_read_store(0, now));
    /// let unreachable = Freshness { answer_age: Duration::from_secs(2), ..answered };
    /// assert!(unreachable.must_read_store(0, now) && !unreachable.must_read_store(9, now));
    /// ```
    pub fn must_read_store(&self, place: usize, now: SystemTime) -> bool {
        if !is_recent(self.last_answer, now) {
            return now > self.confirmed + MAX_ISOLATED_AGE;
        }
        let limit =
            if self.is_store_unreachable_for_peers(now) { TURNS_FROM_AGE + turn_delay(place) } else { MAX_RELAYED_AGE };
        now > self.confirmed + limit
    }
}

fn is_recent(at: Option<SystemTime>, now: SystemTime) -> bool {
    at.is_some_and(|at| now < at + ISOLATED_AFTER)
}

/// The time that this many VMs need for one turn each.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::relay::turn_delay;
///
/// assert_eq!(turn_delay(49), Duration::from_millis(9800));
/// ```
pub fn turn_delay(vms: usize) -> Duration {
    TURN_INTERVAL * u32::try_from(vms).unwrap_or(u32::MAX)
}

/// The position of a VM among those of its failure domain that try the store in turns.
pub fn turn_position<'a>(others: impl Iterator<Item = &'a VmId>, me: &VmId) -> usize {
    let own = rank(&[me]);
    others.filter(|vm| rank(&[vm]) < own).count()
}

/// Selects the VMs that are asked as readers, by whether they have answered this VM.
#[derive(Clone, Debug, Default)]
pub struct ReaderSelection {
    missed_answers: HashMap<VmId, MissedAnswers>,
    turn: usize,
    /// Fallback readers: VMs that reach the store while the regular readers do not.
    fallbacks: VecDeque<VmId>,
}

/// The consecutive missed answers of a VM, and the time until which it is skipped.
#[derive(Clone, Copy, Debug)]
struct MissedAnswers {
    misses: u32,
    until: SystemTime,
}

impl ReaderSelection {
    /// The VMs that read the store, out of all known ones; every VM that computes them gets the same order.
    ///
    /// VMs that do not answer this one are skipped, except for itself.
    pub fn select<'a>(&self, vms: impl Iterator<Item = &'a VmId>, me: &VmId, now: SystemTime) -> Vec<&'a VmId> {
        let mut ranked: Vec<(u64, &VmId)> = vms.map(|vm| (rank(&[vm]), vm)).collect();
        ranked.sort_unstable();
        let wanted = reader_count(ranked.len());
        let candidates = ranked.into_iter().map(|(_, vm)| vm).filter(|vm| *vm == me || !self.is_skipped(vm, now));
        candidates.take(wanted).collect()
    }

    fn is_skipped(&self, vm: &str, now: SystemTime) -> bool {
        self.missed_answers.get(vm).is_some_and(|missed| now < missed.until)
    }

    /// The VM to ask next. Readers take turns, so that what one of them misses comes from another.
    ///
    /// While there are fallback readers, every other query goes to one of them.
    pub fn next_to_ask(&mut self, readers: &[&VmId]) -> Option<VmId> {
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(2)
            && let Some(fallback) = self.fallbacks.pop_front()
        {
            self.fallbacks.push_back(fallback.clone());
            return Some(fallback);
        }
        readers.get(self.turn % readers.len().max(1)).map(|vm| (*vm).clone())
    }

    /// Records a VM that offered to act as a fallback reader.
    pub fn add_fallback(&mut self, vm: VmId) {
        if self.fallbacks.contains(&vm) {
            return;
        }
        self.fallbacks.push_front(vm);
        self.fallbacks.truncate(MAX_FALLBACKS);
    }

    fn is_fallback(&self, vm: &str) -> bool {
        self.fallbacks.iter().any(|known| known == vm)
    }

    /// Records an answer that is too old to be useful: the VM is alive but does not reach the store.
    ///
    /// It is not skipped: its successor may reach the store no better, and would ask it as well.
    pub fn record_stale_answer(&mut self, vm: &str) {
        self.missed_answers.remove(vm);
        self.fallbacks.retain(|known| known != vm);
    }

    /// Records a missing answer.
    pub fn record_miss(&mut self, vm: &VmId, now: SystemTime) {
        self.fallbacks.retain(|known| known != vm);
        let missed = self.missed_answers.entry(vm.clone()).or_insert(MissedAnswers { misses: 0, until: now });
        missed.misses += 1;
        if let Some(more) = missed.misses.checked_sub(MISSES_BEFORE_SKIP) {
            missed.until = now + FIRST_SKIP_TIME * 2u32.pow(more.min(MAX_DOUBLINGS));
        }
    }

    /// Records a useful answer of a VM; one of a regular reader ends the use of fallback readers.
    ///
    /// Returns whether it came from a regular reader.
    pub fn record_answer(&mut self, vm: &str) -> bool {
        self.missed_answers.remove(vm);
        let is_reader = !self.is_fallback(vm);
        if is_reader {
            self.fallbacks.clear();
        }
        is_reader
    }
}

/// The time at which a view was known to be up to date, from the age in the answer to a query that was sent at
/// `asked`.
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

/// Recent changes to the endpoint list, each with the position after the read that returned it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(u64, DirectoryEvent)>,
    /// Position from which on no change is missing.
    complete_from: u64,
    /// Position after the last read.
    position: u64,
    /// Increases whenever the list changes.
    revision: u64,
}

impl ChangeLog {
    /// Records the events of a read and the position after it; `listed` is the number of endpoints on the list.
    pub fn record(&mut self, events: &[DirectoryEvent], position: u64, listed: usize) {
        let is_list = events.iter().any(|event| matches!(event, DirectoryEvent::All(_) | DirectoryEvent::Restored(_)));
        if is_list {
            self.changes.clear();
            self.complete_from = position;
        } else {
            self.changes.extend(events.iter().map(|event| (position, event.clone())));
        }
        self.position = position;
        self.revision += u64::from(!events.is_empty());
        let kept = MIN_KEPT_CHANGES.max(listed / KEPT_CHANGES_DIVISOR);
        while self.changes.len() > kept {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_from = dropped;
            }
        }
    }

    /// Position after the last read.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// A number that increases whenever the list changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The changes since a position; none if some of them are no longer kept, or if the position is ahead of this log.
    ///
    /// ```
    /// use havengrade_core::published::{directory::DirectoryEvent, relay::ChangeLog};
    ///
    /// let mut log = ChangeLog::default();
    /// log.record(&[DirectoryEvent::All(Vec::new())], 5, 1);
    /// log.record(&[DirectoryEvent::Gone("e1".into())], 9, 0);
    /// assert_eq!(log.since(5).unwrap().len(), 1);
    /// assert_eq!(log.since(9).unwrap().len(), 0);
    /// assert!(log.since(4).is_none() && log.since(10).is_none());
    /// ```
    pub fn since(&self, position: u64) -> Option<impl ExactSizeIterator<Item = &DirectoryEvent>> {
        if position < self.complete_from || position > self.position {
            return None;
        }
        let known = self.changes.partition_point(|(at, _)| *at <= position);
        Some(self.changes.range(known..).map(|(_, event)| event))
    }
}
