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
const FIRST_REJECTION_PAUSE: Duration = Duration::from_millis(100);
/// Most times that this is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// What an endpoint reported, or that it refused the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// It runs or has queued so many requests.
    Load {
        /// The requests.
        load: u32,
        /// Whether it is about to leave.
        shutting_down: bool,
    },
    /// It refused the connection.
    ConnectionRefused,
}

/// What is known of one endpoint; until there is a sign of it, it gets no work.
#[derive(Debug)]
pub struct EndpointSlot {
    in_flight: AtomicU32,
    /// Prompt tokens that requests of ours in progress there still have to read.
    pending_prompt_tokens: AtomicU32,
    reported: AtomicU32,
    own_in_report: AtomicU32,
    is_shutting_down: AtomicBool,
    is_unresponsive: AtomicBool,
    failures: AtomicU32,
    /// Milliseconds since the Unix epoch; 0 where it is not ejected.
    ejected_until: AtomicU64,
    /// Rejections since it last took a request, each after it was passed over for the one before.
    rejections: AtomicU32,
    /// Until when it asked for rest, in milliseconds since the Unix epoch; 0 for never.
    backoff_until: AtomicU64,
    /// When there was last a sign of it, in milliseconds since the Unix epoch; 0 for never.
    last_activity: AtomicU64,
    /// When a look at it was last begun, in milliseconds since the Unix epoch; 0 for never.
    last_probe: AtomicU64,
}

impl Default for EndpointSlot {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::default(),
            pending_prompt_tokens: AtomicU32::default(),
            reported: AtomicU32::default(),
            own_in_report: AtomicU32::default(),
            is_shutting_down: AtomicBool::default(),
            is_unresponsive: AtomicBool::new(true),
            failures: AtomicU32::default(),
            ejected_until: AtomicU64::default(),
            rejections: AtomicU32::default(),
            backoff_until: AtomicU64::default(),
            last_activity: AtomicU64::default(),
            last_probe: AtomicU64::default(),
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
            unavailable: self.is_shutting_down.load(Ordering::Relaxed) || self.is_unresponsive.load(Ordering::Relaxed),
            ejected_until: from_millis(self.ejected_until.load(Ordering::Relaxed)),
            backoff_until: from_millis(self.backoff_until.load(Ordering::Relaxed)),
            last_rejected: self.rejections.load(Ordering::Relaxed) > 0,
        }
    }

    /// Takes over a load report that was asked for when `own` requests of ours were there.
    pub fn record_load(&self, load: u32, own: u32) {
        self.reported.store(load, Ordering::Relaxed);
        self.own_in_report.store(own.min(load), Ordering::Relaxed);
    }

    /// Notes a sign of the endpoint.
    pub fn record_activity(&self, now: SystemTime) {
        self.last_activity.fetch_max(to_millis(now), Ordering::Relaxed);
        self.is_unresponsive.store(false, Ordering::Relaxed);
    }

    /// When there was last a sign of the endpoint.
    pub fn last_activity(&self) -> Option<SystemTime> {
        from_millis(self.last_activity.load(Ordering::Relaxed))
    }

    /// Begins a look at the endpoint, unless one was begun less than `pause` ago; tells whether it is to be made.
    pub fn try_begin_probe(&self, pause: Duration, now: SystemTime) -> bool {
        let is_due = |at: u64| from_millis(at).is_none_or(|at| now >= at + pause);
        self.last_probe
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |at| is_due(at).then(|| to_millis(now)))
            .is_ok()
    }

    /// Notes that the endpoint no longer reports.
    pub fn mark_unresponsive(&self) {
        self.is_unresponsive.store(true, Ordering::Relaxed);
    }

    /// Notes whether the endpoint is about to leave.
    pub fn set_shutting_down(&self, shutting_down: bool) {
        self.is_shutting_down.store(shutting_down, Ordering::Relaxed);
    }

    /// Requests of ours that are in progress there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Prompt tokens that requests of ours in progress there still have to read.
    pub fn pending_prompt_tokens(&self) -> u32 {
        self.pending_prompt_tokens.load(Ordering::Relaxed)
    }

    /// Notes that the endpoint wants nothing from this VM for a time.
    pub fn back_off(&self, rest: Duration, now: SystemTime) {
        self.backoff_until.fetch_max(to_millis(now + rest.min(MAX_BACKOFF)), Ordering::Relaxed);
    }

    /// Notes that the endpoint turned a request away although it has room; it is passed over for a time, twice as long with each further one.
    ///
    /// It has no work in progress and looks free, so that it would be the first choice for all that follows.
    pub fn record_rejection(&self, now: SystemTime) {
        let is_over = from_millis(self.ejected_until.load(Ordering::Relaxed)).is_none_or(|until| until <= now);
        if !is_over {
            // Requests that were under way say no more than the first one.
            return;
        }
        let before = self.rejections.fetch_add(1, Ordering::Relaxed);
        let pause = FIRST_REJECTION_PAUSE.saturating_mul(1 << before.min(MAX_PAUSE_DOUBLINGS));
        self.ejected_until.store(to_millis(now + pause), Ordering::Relaxed);
    }

    /// Notes a try that succeeded.
    pub fn record_success(&self, now: SystemTime) {
        self.failures.store(0, Ordering::Relaxed);
        self.rejections.store(0, Ordering::Relaxed);
        self.record_activity(now);
    }

    /// Notes a try that failed; after `eject_after` in a row the endpoint is passed over for a time.
    pub fn record_failure(&self, eject_after: u32, eject_for: Duration, now: SystemTime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures >= eject_after {
            self.ejected_until.store(to_millis(now + eject_for), Ordering::Relaxed);
            self.failures.store(0, Ordering::Relaxed);
        }
    }
}

/// A request in progress at an endpoint; it ends when this is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    slot: Arc<EndpointSlot>,
    pending_prompt_tokens: u32,
}

impl InFlightGuard {
    /// Notes that the endpoint has read the request's prompt.
    pub fn record_prompt_read(&mut self) {
        self.slot.pending_prompt_tokens.fetch_sub(std::mem::take(&mut self.pending_prompt_tokens), Ordering::Relaxed);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_prompt_read();
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
    pub fn update_endpoints<'a>(&self, endpoints: impl Iterator<Item = &'a EndpointId>) {
        let known = self.slots.load();
        let keep = |id: &EndpointId| (id.clone(), known.get(id).cloned().unwrap_or_default());
        self.slots.store(Arc::new(endpoints.map(keep).collect()));
    }

    /// The slot of an endpoint.
    pub fn slot(&self, endpoint: &str) -> Option<Arc<EndpointSlot>> {
        self.slots.load().get(endpoint).cloned()
    }

    /// Notes a request in progress at an endpoint.
    pub fn begin_request(&self, endpoint: &str) -> InFlightGuard {
        self.begin_request_with_prompt(endpoint, 0)
    }

    /// Notes a request in progress at an endpoint, which has to read so many prompt tokens.
    pub fn begin_request_with_prompt(&self, endpoint: &str, pending_prompt_tokens: u32) -> InFlightGuard {
        let slot = self.slot(endpoint).unwrap_or_default();
        slot.in_flight.fetch_add(1, Ordering::Relaxed);
        slot.pending_prompt_tokens.fetch_add(pending_prompt_tokens, Ordering::Relaxed);
        InFlightGuard { slot, pending_prompt_tokens }
    }

    /// Calls `look` with every endpoint.
    pub fn for_each(&self, mut visit: impl FnMut(&EndpointId, &EndpointSlot)) {
        for (endpoint, slot) in self.slots.load().iter() {
            visit(endpoint, slot);
        }
    }
}

impl EndpointStates for EndpointTable {
    fn state(&self, endpoint: &str) -> EndpointState {
        let slots = self.slots.load();
        slots.get(endpoint).map_or_else(EndpointState::default, |slot| slot.state())
    }
}
