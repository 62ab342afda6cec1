//! The endpoints' states, shared between threads without locks.

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
    published::{endpoint_memory::ReportedOccupancy, peers::Work, signals::MAX_BACKOFF},
};

/// Time without new requests after an endpoint rejects one; its queue shrinks by several requests in this time.
const FIRST_REJECTION_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of doublings of that time.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Result of asking an endpoint for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// The endpoint reported its load.
    Load {
        /// Number of requests that run or are queued at the endpoint.
        load: u32,
        /// Whether the endpoint is shutting down.
        shutting_down: bool,
    },
    /// The endpoint refused the connection.
    ConnectionRefused,
}

/// State of one endpoint; until its first sign of life the endpoint counts as unresponsive and gets no requests.
#[derive(Debug)]
pub struct EndpointSlot {
    in_flight: AtomicU32,
    /// Prompt tokens of this VM's requests that the endpoint has not read yet.
    pending_prompt_tokens: AtomicU32,
    /// Tokens that this VM's requests occupy, or will occupy, in the endpoint's memory.
    memory_tokens: AtomicU32,
    reported: AtomicU32,
    own_in_report: AtomicU32,
    /// Slots that the endpoint stated with its last answer; 0 if it stated none.
    reported_slots: AtomicU32,
    /// Time of the last answer with a load in milliseconds since the Unix epoch; 0 if there was none.
    load_answered_at: AtomicU64,
    is_shutting_down: AtomicBool,
    is_unresponsive: AtomicBool,
    failures: AtomicU32,
    /// End of the ejection in milliseconds since the Unix epoch; 0 if there was none.
    ejected_until: AtomicU64,
    /// Rejections since the last success; those during an ejection don't count.
    rejections: AtomicU32,
    /// End of the backoff that the endpoint requested, in milliseconds since the Unix epoch; 0 if there was none.
    backoff_until: AtomicU64,
    /// Last sign of life in milliseconds since the Unix epoch; 0 if there was none.
    last_activity: AtomicU64,
    /// Start of the last probe in milliseconds since the Unix epoch; 0 if there was none.
    last_probe: AtomicU64,
}

impl Default for EndpointSlot {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::default(),
            pending_prompt_tokens: AtomicU32::default(),
            memory_tokens: AtomicU32::default(),
            reported: AtomicU32::default(),
            own_in_report: AtomicU32::default(),
            reported_slots: AtomicU32::default(),
            load_answered_at: AtomicU64::default(),
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

/// Converts a time to milliseconds since the Unix epoch.
pub(crate) fn to_millis(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch to a time; 0 stands for none.
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

    /// Records a load report; `own` is the number of this VM's requests at the endpoint when the report was requested.
    pub fn record_load(&self, load: u32, own: u32) {
        self.reported.store(load, Ordering::Relaxed);
        self.own_in_report.store(own.min(load), Ordering::Relaxed);
    }

    /// Records the load in the head of an answer, with the slots if the endpoint stated them.
    pub fn record_answer_load(&self, load: u32, slots: Option<u32>, now: SystemTime) {
        self.record_load(load, self.in_flight());
        self.reported_slots.store(slots.unwrap_or_default(), Ordering::Relaxed);
        self.load_answered_at.store(to_millis(now), Ordering::Relaxed);
    }

    /// What the endpoint last said of its requests in an answer; `listed_slots` counts where it stated no slots.
    pub fn reported_occupancy(&self, listed_slots: u32) -> Option<ReportedOccupancy> {
        let at = from_millis(self.load_answered_at.load(Ordering::Relaxed))?;
        let stated_slots = self.reported_slots.load(Ordering::Relaxed);
        Some(ReportedOccupancy {
            requests: self.reported.load(Ordering::Relaxed),
            slots: if stated_slots > 0 { stated_slots } else { listed_slots },
            sent_since: self.in_flight().saturating_sub(self.own_in_report.load(Ordering::Relaxed)),
            at,
        })
    }

    /// Records a sign of life.
    pub fn record_activity(&self, now: SystemTime) {
        self.last_activity.fetch_max(to_millis(now), Ordering::Relaxed);
        self.is_unresponsive.store(false, Ordering::Relaxed);
    }

    /// Time of the last sign of life.
    pub fn last_activity(&self) -> Option<SystemTime> {
        from_millis(self.last_activity.load(Ordering::Relaxed))
    }

    /// Records the start of a probe, unless the last one started less than `interval` ago; returns whether to probe.
    pub fn try_begin_probe(&self, interval: Duration, now: SystemTime) -> bool {
        let is_due = |at: u64| from_millis(at).is_none_or(|at| now >= at + interval);
        self.last_probe
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |at| is_due(at).then(|| to_millis(now)))
            .is_ok()
    }

    /// Records that the endpoint no longer reports.
    pub fn mark_unresponsive(&self) {
        self.is_unresponsive.store(true, Ordering::Relaxed);
    }

    /// Sets whether the endpoint is shutting down.
    pub fn set_shutting_down(&self, shutting_down: bool) {
        self.is_shutting_down.store(shutting_down, Ordering::Relaxed);
    }

    /// Number of this VM's requests in progress at the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Prompt tokens of this VM's requests that the endpoint has not read yet.
    pub fn pending_prompt_tokens(&self) -> u32 {
        self.pending_prompt_tokens.load(Ordering::Relaxed)
    }

    /// Tokens that this VM's requests occupy, or will occupy, in the endpoint's memory.
    pub fn memory_tokens(&self) -> u32 {
        self.memory_tokens.load(Ordering::Relaxed)
    }

    /// This VM's work in progress at the endpoint.
    pub fn work(&self) -> Work {
        Work { requests: self.in_flight(), tokens: self.pending_prompt_tokens(), memory_tokens: self.memory_tokens() }
    }

    /// Records that the endpoint asks this VM to send no requests for a time.
    pub fn back_off(&self, backoff: Duration, now: SystemTime) {
        self.backoff_until.fetch_max(to_millis(now + backoff.min(MAX_BACKOFF)), Ordering::Relaxed);
    }

    /// Records that the endpoint rejected a request although its load leaves room; it is ejected for a time that
    /// doubles with each further rejection.
    ///
    /// Without the ejection an endpoint that rejects requests would look idle and attract all further ones.
    pub fn record_rejection(&self, now: SystemTime) {
        let is_over = from_millis(self.ejected_until.load(Ordering::Relaxed)).is_none_or(|until| until <= now);
        if !is_over {
            // Rejections of requests that were already in flight carry no new information.
            return;
        }
        let earlier = self.rejections.fetch_add(1, Ordering::Relaxed);
        let ejection = FIRST_REJECTION_PAUSE.saturating_mul(1 << earlier.min(MAX_PAUSE_DOUBLINGS));
        self.ejected_until.store(to_millis(now + ejection), Ordering::Relaxed);
    }

    /// Records a successful attempt.
    pub fn record_success(&self, now: SystemTime) {
        self.failures.store(0, Ordering::Relaxed);
        self.rejections.store(0, Ordering::Relaxed);
        self.record_activity(now);
    }

    /// Records a failed attempt; `eject_after` failures in a row eject the endpoint for `eject_for`.
    pub fn record_failure(&self, eject_after: u32, eject_for: Duration, now: SystemTime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures >= eject_after {
            self.ejected_until.store(to_millis(now + eject_for), Ordering::Relaxed);
            self.failures.store(0, Ordering::Relaxed);
        }
    }
}

/// Counts a request as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    slot: Arc<EndpointSlot>,
    tokens: RequestTokens,
}

/// Tokens of a request at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTokens {
    /// Prompt tokens that the endpoint has to read, in tokens of the largest model.
    pub pending_prompt: u32,
    /// Tokens that the request occupies, or will occupy, in the endpoint's memory.
    pub memory: u32,
}

impl InFlightGuard {
    /// Records that the endpoint has read the request's prompt.
    pub fn record_prompt_read(&mut self) {
        self.slot.pending_prompt_tokens.fetch_sub(std::mem::take(&mut self.tokens.pending_prompt), Ordering::Relaxed);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_prompt_read();
        self.slot.memory_tokens.fetch_sub(self.tokens.memory, Ordering::Relaxed);
        self.slot.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// States of all endpoints of the configuration.
#[derive(Debug, Default)]
pub struct EndpointTable {
    slots: ArcSwap<HashMap<EndpointId, Arc<EndpointSlot>>>,
}

impl EndpointTable {
    /// Replaces the set of endpoints by that of a new configuration; known endpoints keep their state.
    pub fn update_endpoints<'a>(&self, endpoints: impl Iterator<Item = &'a EndpointId>) {
        let known = self.slots.load();
        let slot_for = |id: &EndpointId| (id.clone(), known.get(id).cloned().unwrap_or_default());
        self.slots.store(Arc::new(endpoints.map(slot_for).collect()));
    }

    /// State of an endpoint, if it is in the configuration.
    pub fn slot(&self, endpoint: &str) -> Option<Arc<EndpointSlot>> {
        self.slots.load().get(endpoint).cloned()
    }

    /// Counts a request as in flight at an endpoint.
    pub fn begin_request(&self, endpoint: &str) -> InFlightGuard {
        self.begin_generation(endpoint, RequestTokens::default())
    }

    /// Counts a request as in flight at an endpoint, with its tokens there.
    pub fn begin_generation(&self, endpoint: &str, tokens: RequestTokens) -> InFlightGuard {
        let slot = self.slot(endpoint).unwrap_or_default();
        slot.in_flight.fetch_add(1, Ordering::Relaxed);
        slot.pending_prompt_tokens.fetch_add(tokens.pending_prompt, Ordering::Relaxed);
        slot.memory_tokens.fetch_add(tokens.memory, Ordering::Relaxed);
        InFlightGuard { slot, tokens }
    }

    /// Calls `visit` with every endpoint.
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
