//! Who reads the store for whom: a few VMs read, the others ask them and read only what they miss.
//!
//! A VM that asks counts an answer's age from when it asked, by its own clock, so that an answer which is held
//! up on its way is never believed to be younger than it is.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use crate::{ids::VmId, published::directory::DirectoryEvent, ranking::rank};

/// VMs that read the store, at least: one may be cut off from it.
const MIN_READERS: usize = 2;
/// VMs that one reader answers for.
const VMS_A_READER: usize = 64;
/// Looks of each VM in which, together, as many of a large fleet read for themselves as read for others.
const LOOKS_A_READING: f64 = 4.0;
/// Rounds beyond the first in which a VM asks others for news, at most: each may take as long as a change may age.
const MAX_ROUNDS: u32 = 3;
/// Changes of the list of endpoints that are kept for VMs that ask, at least.
const MIN_CHANGES: usize = 128;
/// Part of the list up to which its changes are kept: those that come with a new version or a failure domain are as many as the
/// endpoints, and beyond this the list itself is not much longer.
const CHANGED_PART: usize = 2;
/// Age of a view up to which it is taken from another VM.
///
/// A reader's view is up to two of its waiting calls old, and it is asked a little later. What remains until a
/// change must be in force, two seconds, is for a VM's own read.
pub const MAX_RELAYED_AGE: Duration = Duration::from_millis(2300);
/// Time without a good answer after which a VM counts as told by nobody.
const ALONE_AFTER: Duration = Duration::from_millis(1200);
/// Age of a view at which a VM that is told by nobody reads the store.
const ALONE_LIMIT: Duration = Duration::from_millis(1200);
/// Age of a view from which VMs whose readers don't reach the store try it in turn_delay.
///
/// It leaves 0.4 s until a change must be in force.
const TURNS_FROM: Duration = Duration::from_millis(1600);
/// Time between the turn_delay of two VMs of a failure domain: with six of them, 30 calls a second while the store is away.
const TURN: Duration = Duration::from_millis(200);
/// Age of what a reader tells from which it is taken not to reach the store.
///
/// The view of one that does is two of its waiting calls old at most, 1.4 s.
const READER_AGE: Duration = Duration::from_millis(1600);
/// VMs that offered to read for others, of which one remembers.
const MAX_VOLUNTEERS: usize = 2;
/// Questions without a good answer after which a reader is passed over; datagrams are lost now and then.
const MISSES: u32 = 2;
/// Time for which it is passed over at first; each further miss doubles it.
const FIRST_DOUBT: Duration = Duration::from_secs(2);
/// Doublings of that time, at most.
const MAX_DOUBLINGS: u32 = 4;

/// How many of so many VMs read the store.
///
/// ```
/// use havengrade_core::published::relay::reader_count;
///
/// assert_eq!([reader_count(1), reader_count(9), reader_count(390)], [1, 2, 7]);
/// ```
pub fn reader_count(vms: usize) -> usize {
    vms.div_ceil(VMS_A_READER).max(MIN_READERS).min(vms)
}

/// Chance with which a VM that doesn't read for others reads, at one of its looks, what grows with the fleet.
///
/// Where the VMs of a large fleet lose those that read at the same moment, this bounds how many of them read in a second by the readers
/// that the fleet has.
///
/// ```
/// use havengrade_core::published::relay::read_probability;
///
/// assert_eq!(read_probability(64), 1.0);
/// assert!(read_probability(1000) < 0.005);
/// ```
pub fn read_probability(vms: usize) -> f64 {
    if vms <= VMS_A_READER {
        return 1.0;
    }
    reader_count(vms) as f64 / vms as f64 / LOOKS_A_READING
}

/// How often a VM that others told of news asks two of them for it before it reads the store.
///
/// Those that are served serve others, so that the number of VMs that have the news doubles with each round at least.
///
/// ```
/// use havengrade_core::published::relay::peer_rounds_before_read;
///
/// assert_eq!([peer_rounds_before_read(9), peer_rounds_before_read(300), peer_rounds_before_read(2000)], [1, 3, 4]);
/// ```
pub fn peer_rounds_before_read(vms: usize) -> u32 {
    1 + vms.checked_div(VMS_A_READER).and_then(usize::checked_ilog2).unwrap_or_default().min(MAX_ROUNDS)
}

/// How new a VM's view of the store is, and what others told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// When nothing newer than the view existed.
    pub confirmed: SystemTime,
    /// When another VM last told anything, however old.
    pub last_answer: Option<SystemTime>,
    /// How old that was.
    pub answer_age: Duration,
}

impl Default for Freshness {
    fn default() -> Self {
        Self { confirmed: SystemTime::UNIX_EPOCH, last_answer: None, answer_age: Duration::ZERO }
    }
}

impl Freshness {
    /// Notes what another VM told: nothing newer existed at `at`.
    pub fn record_answer(&mut self, at: SystemTime, now: SystemTime) {
        self.last_answer = Some(now);
        self.answer_age = now.duration_since(at).unwrap_or_default();
        self.confirmed = self.confirmed.max(at);
    }

    /// Whether others live but don't reach the store either, as far as is known.
    pub fn is_store_unreachable_for_peers(&self, now: SystemTime) -> bool {
        is_lately(self.last_answer, now) && self.answer_age >= READER_AGE
    }

    /// Whether a VM must read the store itself: its view is old, and nobody told it that nothing is newer.
    ///
    /// `place` counts the VMs of its failure domain that try before it where others don't reach the store either.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::relay::Freshness;
    ///
    /// let confirmed = SystemTime::UNIX_EPOCH;
    /// let now = confirmed + Duration::from_millis(1700);
    /// let alone = Freshness { confirmed, ..Freshness::default() };
    /// assert!(alone.must_read_store(9, now));
    /// let told = Freshness { last_answer: Some(now), ..alone };
    /// assert!(!told.must_read_store(0, now));
    /// let away = Freshness { answer_age: Duration::from_secs(2), ..told };
    /// assert!(away.must_read_store(0, now) && !away.must_read_store(9, now));
    /// ```
    pub fn must_read_store(&self, place: usize, now: SystemTime) -> bool {
        if !is_lately(self.last_answer, now) {
            return now > self.confirmed + ALONE_LIMIT;
        }
        let limit =
            if self.is_store_unreachable_for_peers(now) { TURNS_FROM + turn_delay(place) } else { MAX_RELAYED_AGE };
        now > self.confirmed + limit
    }
}

fn is_lately(at: Option<SystemTime>, now: SystemTime) -> bool {
    at.is_some_and(|at| now < at + ALONE_AFTER)
}

/// Time that so many VMs need for a turn each.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::relay::turn_delay;
///
/// assert_eq!(turn_delay(49), Duration::from_millis(9800));
/// ```
pub fn turn_delay(vms: usize) -> Duration {
    TURN * u32::try_from(vms).unwrap_or(u32::MAX)
}

/// Where a VM stands among those of its failure domain that try the store in turn_delay.
pub fn turn_position<'a>(others: impl Iterator<Item = &'a VmId>, me: &VmId) -> usize {
    let own = rank(&[me]);
    others.filter(|vm| rank(&[vm]) < own).count()
}

/// Which VMs read the store, as far as this VM finds them to answer.
#[derive(Clone, Debug, Default)]
pub struct ReaderSelection {
    doubts: HashMap<VmId, Doubt>,
    turn: usize,
    /// VMs that reach the store while those whose turn it is do not.
    volunteers: VecDeque<VmId>,
}

/// Questions in a row that a VM did not answer well, and until when it is passed over for that.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    misses: u32,
    until: SystemTime,
}

impl ReaderSelection {
    /// The VMs that read the store, out of all that are known; in the same order wherever it is asked.
    ///
    /// Those that don't answer this VM are passed over, but itself never is.
    pub fn select<'a>(&self, vms: impl Iterator<Item = &'a VmId>, me: &VmId, now: SystemTime) -> Vec<&'a VmId> {
        let mut ranked: Vec<(u64, &VmId)> = vms.map(|vm| (rank(&[vm]), vm)).collect();
        ranked.sort_unstable();
        let wanted = reader_count(ranked.len());
        let trusted = ranked.into_iter().map(|(_, vm)| vm).filter(|vm| *vm == me || !self.is_doubted(vm, now));
        trusted.take(wanted).collect()
    }

    fn is_doubted(&self, vm: &str, now: SystemTime) -> bool {
        self.doubts.get(vm).is_some_and(|doubt| now < doubt.until)
    }

    /// The VM to ask next; they take turn_delay, so that what one of them misses another one tells.
    ///
    /// While there are volunteers, every other question goes to one of them.
    pub fn next_to_ask(&mut self, readers: &[&VmId]) -> Option<VmId> {
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(2)
            && let Some(volunteer) = self.volunteers.pop_front()
        {
            self.volunteers.push_back(volunteer.clone());
            return Some(volunteer);
        }
        readers.get(self.turn % readers.len().max(1)).map(|vm| (*vm).clone())
    }

    /// Notes a VM that offered to read for others.
    pub fn add_fallback(&mut self, vm: VmId) {
        if self.volunteers.contains(&vm) {
            return;
        }
        self.volunteers.push_front(vm);
        self.volunteers.truncate(MAX_VOLUNTEERS);
    }

    fn is_volunteer(&self, vm: &str) -> bool {
        self.volunteers.iter().any(|known| known == vm)
    }

    /// Notes an answer that is too old to be of use: the VM lives, but does not reach the store.
    ///
    /// It is not passed over: whoever comes after it may reach the store no better, and would ask it as well.
    pub fn record_stale_answer(&mut self, vm: &str) {
        self.doubts.remove(vm);
        self.volunteers.retain(|known| known != vm);
    }

    /// Notes that a VM gave no answer.
    pub fn record_miss(&mut self, vm: &VmId, now: SystemTime) {
        self.volunteers.retain(|known| known != vm);
        let doubt = self.doubts.entry(vm.clone()).or_insert(Doubt { misses: 0, until: now });
        doubt.misses += 1;
        if let Some(more) = doubt.misses.checked_sub(MISSES) {
            doubt.until = now + FIRST_DOUBT * 2u32.pow(more.min(MAX_DOUBLINGS));
        }
    }

    /// Notes a good answer of a VM; with one of a reader, nobody needs to read in its place.
    ///
    /// Tells whether it came from a reader.
    pub fn record_answer(&mut self, vm: &str) -> bool {
        self.doubts.remove(vm);
        let is_reader = !self.is_volunteer(vm);
        if is_reader {
            self.volunteers.clear();
        }
        is_reader
    }
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
    /// Rises whenever the list changes.
    revision: u64,
}

impl ChangeLog {
    /// Notes what a read brought and the position after it; the list has so many endpoints.
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
        let kept = MIN_CHANGES.max(listed / CHANGED_PART);
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

    /// A number that rises whenever the list changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The changes since a position; none where some of them are no longer kept, or the position is ahead.
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
