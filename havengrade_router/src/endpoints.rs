//! The endpoints' states, shared between the threads without a lock.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use havengrade_core::{
    endpoint_selection::{EndpointState, EndpointStates},
    ids::EndpointId,
    published::signals::MAX_BACKOFF,
};

/// Time for which an endpoint is passed over that turned a request away: a queue gets shorter by some requests in it.
const FIRST_REJECTED: Duration = Duration::from_millis(100);
/// Most times that this is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// What an endpoint reported, or that it refused the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// It runs or has queued so many requests.
    Load {
        /// The requests.
        load: u32,
        /// Whether it is about to leave.
        leaving: bool,
    },
    /// It refused the connection.
    Gone,
}

/// What is known of one endpoint; until there is a sign of it, it gets no work.
#[derive(Debug)]
pub struct EndpointSlot {
    in_flight: AtomicU32,
    /// Prompt tokens that requests of ours in progress there still have to read.
    unread: AtomicU32,
    reported: AtomicU32,
    own_in_report: AtomicU32,
    is_leaving: AtomicBool,
    is_silent: AtomicBool,
    failures: AtomicU32,
    /// Milliseconds since the Unix epoch; 0 where it is not ejected.
    ejected_until: AtomicU64,
    /// Rejections since it last took a request, each after it was passed over for the one before.
    rejections: AtomicU32,
    /// Until when it asked for rest, in milliseconds since the Unix epoch; 0 for never.
    rest_until: AtomicU64,
    /// When there was last a sign of it, in milliseconds since the Unix epoch; 0 for never.
    heard: AtomicU64,
    /// When a look at it was last begun, in milliseconds since the Unix epoch; 0 for never.
    looked: AtomicU64,
}

impl Default for EndpointSlot {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::default(),
            unread: AtomicU32::default(),
            reported: AtomicU32::default(),
            own_in_report: AtomicU32::default(),
            is_leaving: AtomicBool::default(),
            is_silent: AtomicBool::new(true),
            failures: AtomicU32::default(),
            ejected_until: AtomicU64::default(),
            rejections: AtomicU32::default(),
            rest_until: AtomicU64::default(),
            heard: AtomicU64::default(),
            looked: AtomicU64::default(),
        }
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn to_millis(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A time that was written as milliseconds since the Unix epoch; 0 is none.
pub(crate) fn from_millis(millis: u64) -> Option<SystemTime> {
    (millis > 0).then(|| SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
}

impl EndpointSlot {
    fn state(&self) -> EndpointState {
        EndpointState {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            reported: self.reported.load(Ordering::Relaxed),
            own_in_report: self.own_in_report.load(Ordering::Relaxed),
            unavailable: self.is_leaving.load(Ordering::Relaxed) || self.is_silent.load(Ordering::Relaxed),
            ejected_until: from_millis(self.ejected_until.load(Ordering::Relaxed)),
            backoff_until: from_millis(self.rest_until.load(Ordering::Relaxed)),
            last_rejected: self.rejections.load(Ordering::Relaxed) > 0,
        }
    }

    /// Takes over a load report that was asked for when `own` requests of ours were there.
    pub fn report(&self, load: u32, own: u32) {
        self.reported.store(load, Ordering::Relaxed);
        self.own_in_report.store(own.min(load), Ordering::Relaxed);
    }

    /// Notes a sign of the endpoint.
    pub fn hear(&self, now: SystemTime) {
        self.heard.fetch_max(to_millis(now), Ordering::Relaxed);
        self.is_silent.store(false, Ordering::Relaxed);
    }

    /// When there was last a sign of the endpoint.
    pub fn heard(&self) -> Option<SystemTime> {
        from_millis(self.heard.load(Ordering::Relaxed))
    }

    /// Begins a look at the endpoint, unless one was begun less than `pause` ago; tells whether it is to be made.
    pub fn begin_look(&self, pause: Duration, now: SystemTime) -> bool {
        let is_due = |at: u64| from_millis(at).is_none_or(|at| now >= at + pause);
        self.looked.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |at| is_due(at).then(|| to_millis(now))).is_ok()
    }

    /// Notes that the endpoint no longer reports.
    pub fn fall_silent(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    /// Notes whether the endpoint is about to leave.
    pub fn set_leaving(&self, leaving: bool) {
        self.is_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Requests of ours that are in progress there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Prompt tokens that requests of ours in progress there still have to read.
    pub fn unread(&self) -> u32 {
        self.unread.load(Ordering::Relaxed)
    }

    /// Notes that the endpoint wants nothing from this VM for a time.
    pub fn rest(&self, rest: Duration, now: SystemTime) {
        self.rest_until.fetch_max(to_millis(now + rest.min(MAX_BACKOFF)), Ordering::Relaxed);
    }

    /// Notes that the endpoint turned a request away although it has room; it is passed over for a time, twice as long with each further one.
    ///
    /// It has no work in progress and looks free, so that it would be the first choice for all that follows.
    pub fn reject(&self, now: SystemTime) {
        let is_over = from_millis(self.ejected_until.load(Ordering::Relaxed)).is_none_or(|until| until <= now);
        if !is_over {
            // Requests that were under way say no more than the first one.
            return;
        }
        let before = self.rejections.fetch_add(1, Ordering::Relaxed);
        let pause = FIRST_REJECTED.saturating_mul(1 << before.min(MAX_DOUBLINGS));
        self.ejected_until.store(to_millis(now + pause), Ordering::Relaxed);
    }

    /// Notes a try that succeeded.
    pub fn succeed(&self, now: SystemTime) {
        self.failures.store(0, Ordering::Relaxed);
        self.rejections.store(0, Ordering::Relaxed);
        self.hear(now);
    }

    /// Notes a try that failed; after `eject_after` in a row the endpoint is passed over for a time.
    pub fn fail(&self, eject_after: u32, eject_for: Duration, now: SystemTime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures >= eject_after {
            self.ejected_until.store(to_millis(now + eject_for), Ordering::Relaxed);
            self.failures.store(0, Ordering::Relaxed);
        }
    }
}

/// A request in progress at an endpoint; it ends when this is dropped.
#[derive(Debug)]
pub struct InFlight {
    slot: Arc<EndpointSlot>,
    unread: u32,
}

impl InFlight {
    /// Notes that the endpoint has read the request's prompt.
    pub fn note_read(&mut self) {
        self.slot.unread.fetch_sub(std::mem::take(&mut self.unread), Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_read();
        self.slot.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All endpoints of the configuration.
#[derive(Debug, Default)]
pub struct EndpointTable {
    slots: ArcSwap<HashMap<EndpointId, Arc<EndpointSlot>>>,
}

impl EndpointTable {
    /// Takes over the endpoints of a new configuration; known ones keep their state.
    pub fn configure<'a>(&self, endpoints: impl Iterator<Item = &'a EndpointId>) {
        let known = self.slots.load();
        let keep = |id: &EndpointId| (id.clone(), known.get(id).cloned().unwrap_or_default());
        self.slots.store(Arc::new(endpoints.map(keep).collect()));
    }

    /// The slot of an endpoint.
    pub fn slot(&self, endpoint: &str) -> Option<Arc<EndpointSlot>> {
        self.slots.load().get(endpoint).cloned()
    }

    /// Notes a request in progress at an endpoint.
    pub fn enter(&self, endpoint: &str) -> InFlight {
        self.enter_with(endpoint, 0)
    }

    /// Notes a request in progress at an endpoint, which has to read so many prompt tokens.
    pub fn enter_with(&self, endpoint: &str, unread: u32) -> InFlight {
        let slot = self.slot(endpoint).unwrap_or_default();
        slot.in_flight.fetch_add(1, Ordering::Relaxed);
        slot.unread.fetch_add(unread, Ordering::Relaxed);
        InFlight { slot, unread }
    }

    /// Calls `look` with every endpoint.
    pub fn for_each(&self, mut look: impl FnMut(&EndpointId, &EndpointSlot)) {
        for (endpoint, slot) in self.slots.load().iter() {
            look(endpoint, slot);
        }
    }
}

impl EndpointStates for EndpointTable {
    fn state(&self, endpoint: &str) -> EndpointState {
        let slots = self.slots.load();
        slots.get(endpoint).map_or_else(EndpointState::default, |slot| slot.state())
    }
}
