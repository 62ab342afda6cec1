//! Signals that endpoints send in their answers: a rate limit, a planned shutdown, a backoff request.
//!
//! The table keeps each signal with its age, however the request ended. Limits and shutdowns concern all VMs, so VMs
//! report them to each other; a backoff concerns only the VM that got it. Signals of an endpoint are dropped once it
//! has restarted.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    gossip::{REPORTS_PER_ENTRY, least_reported, time_from_age},
    ids::EndpointId,
    published::directory::{EndpointStart, ListedEndpoint, is_earlier_start},
};

/// Time for which the end of a limit is reported to other VMs, and for which signals of unlisted endpoints are kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Upper bound on a backoff; a longer one would be a mistake, and an endpoint can't withdraw it.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Highest number of entries in a state transfer, which has to fit into one frame.
const MAX_TRANSFER_ENTRIES: usize = 128;

/// The signals in one answer of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signal {
    /// Requests per second that the endpoint accepts from all VMs together.
    pub limit_per_s: Option<f64>,
    /// Whether the endpoint is shutting down.
    pub is_leaving: bool,
    /// Time in which the VM that gets the answer is to send no further requests.
    pub backoff: Option<Duration>,
}

/// A change in the signals of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalChange {
    /// The endpoint accepts this number of requests per second from all VMs together.
    Limited(f64),
    /// The endpoint has lifted its limit.
    Unlimited,
    /// The endpoint is shutting down.
    ShuttingDown,
    /// The endpoint wants no requests from this VM for this time.
    BackoffRequested(Duration),
}

/// The limit that an endpoint last stated, or the fact that it has lifted it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    per_s: Option<f64>,
    /// The time of the latest answer that stated it to any VM, as far as this VM knows.
    stated_at: SystemTime,
    /// The holder round at that time.
    round: u64,
}

/// The signals of an endpoint since one of its starts.
#[derive(Clone, Copy, Debug)]
struct SignalState {
    start: Option<EndpointStart>,
    limit: Option<Limit>,
    shutting_down_since: Option<SystemTime>,
    backoff_until: Option<SystemTime>,
    /// Number of reports that have carried the last change.
    report_count: u32,
    /// The last time at which the endpoint was listed or a signal of it arrived.
    last_seen: SystemTime,
}

impl SignalState {
    fn new(start: Option<EndpointStart>, now: SystemTime) -> Self {
        Self { start, limit: None, shutting_down_since: None, backoff_until: None, report_count: 0, last_seen: now }
    }

    /// Resets the state if `start` is later than the known one.
    fn observe_start(&mut self, start: Option<EndpointStart>, now: SystemTime) {
        if is_earlier_start(self.start, start) {
            *self = Self::new(start, now);
        }
        self.start = self.start.or(start);
    }

    /// Whether any of the signals concerns other VMs.
    fn is_shared(&self) -> bool {
        self.limit.is_some() || self.shutting_down_since.is_some()
    }

    /// Applies a limit unless a later one is known, and returns the change if there is one.
    fn apply_limit(&mut self, limit: Limit) -> Option<SignalChange> {
        if self.limit.is_some_and(|known| known.stated_at >= limit.stated_at) {
            return None;
        }
        let before = self.limit.replace(limit).and_then(|known| known.per_s);
        if before == limit.per_s {
            return None;
        }
        self.report_count = 0;
        Some(limit.per_s.map_or(SignalChange::Unlimited, SignalChange::Limited))
    }

    fn apply_shutdown(&mut self, since: SystemTime) -> Option<SignalChange> {
        if self.shutting_down_since.is_some() {
            return None;
        }
        self.shutting_down_since = Some(since);
        self.report_count = 0;
        Some(SignalChange::ShuttingDown)
    }

    fn apply_backoff(&mut self, backoff: Duration, now: SystemTime) -> Option<SignalChange> {
        let backoff = backoff.min(MAX_BACKOFF);
        let was_backing_off = self.backoff_until.is_some_and(|until| now < until);
        self.backoff_until = self.backoff_until.max(Some(now + backoff));
        (!was_backing_off).then_some(SignalChange::BackoffRequested(backoff))
    }
}

/// An endpoint's limit in a report between VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLimit {
    /// Requests per second from all VMs together; none if the endpoint has lifted its limit.
    pub per_s: Option<f64>,
    /// Time since an answer last stated it.
    pub age: Duration,
    /// The holder round at that time.
    pub round: u64,
}

/// The limit of an endpoint that is currently limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentLimit {
    /// Requests per second from all VMs together.
    pub per_s: f64,
    /// Time since an answer last stated it.
    pub age: Duration,
    /// The holder round at that time.
    pub round: u64,
}

/// The signals of an endpoint in a report between VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedSignal {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The start of the endpoint that the signals belong to.
    pub start: Option<EndpointStart>,
    /// The limit of the endpoint, if it has stated one.
    pub limit: Option<ReportedLimit>,
    /// Time since the endpoint was first known to be shutting down.
    pub shutting_down_for: Option<Duration>,
}

/// The signals of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    states: HashMap<EndpointId, SignalState>,
}

impl SignalTable {
    /// Records the signals of an answer, and returns the changes.
    ///
    /// An answer without a limit lifts the endpoint's limit only if it `is_whole`: a proven answer of this endpoint to
    /// a request that it served. `round` is the current holder round of the endpoint.
    pub fn record_answer(
        &mut self,
        endpoint: &ListedEndpoint,
        signal: Signal,
        is_whole: bool,
        round: u64,
        now: SystemTime,
    ) -> Vec<SignalChange> {
        let is_empty_signal = signal == Signal::default();
        if is_empty_signal && !self.states.contains_key(&endpoint.id) {
            return Vec::new();
        }
        let Some(state) = self.state_for_start(&endpoint.id, endpoint.start, now) else { return Vec::new() };
        state.last_seen = now;
        let ends_limit = is_whole && state.limit.is_some_and(|limit| limit.per_s.is_some());
        let limit = (signal.limit_per_s.is_some() || ends_limit).then_some(signal.limit_per_s);
        let limit = limit.and_then(|per_s| state.apply_limit(Limit { per_s, stated_at: now, round }));
        let shutdown = signal.is_leaving.then(|| state.apply_shutdown(now)).flatten();
        let backoff = signal.backoff.and_then(|backoff| state.apply_backoff(backoff, now));
        [limit, shutdown, backoff].into_iter().flatten().collect()
    }

    /// Merges the signals that another VM reports, and returns the changes with their endpoints.
    pub fn merge_reported(
        &mut self,
        reported: Vec<ReportedSignal>,
        now: SystemTime,
    ) -> Vec<(EndpointId, SignalChange)> {
        let mut changes = Vec::new();
        for ReportedSignal { endpoint, start, limit, shutting_down_for } in reported {
            let Some(state) = self.state_for_start(&endpoint, start, now) else { continue };
            state.last_seen = now;
            let limit = limit.and_then(|ReportedLimit { per_s, age, round }| {
                state.apply_limit(Limit { per_s, stated_at: time_from_age(age, now), round })
            });
            let shutdown = shutting_down_for.and_then(|age| state.apply_shutdown(time_from_age(age, now)));
            changes.extend(limit.into_iter().chain(shutdown).map(|change| (endpoint.clone(), change)));
        }
        changes
    }

    /// The state of an endpoint since the given start, which replaces that of an earlier start; none if a later start
    /// is known.
    fn state_for_start(
        &mut self,
        endpoint: &str,
        start: Option<EndpointStart>,
        now: SystemTime,
    ) -> Option<&mut SignalState> {
        let state = self.states.entry(endpoint.to_owned()).or_insert_with(|| SignalState::new(start, now));
        state.observe_start(start, now);
        (!is_earlier_start(start, state.start)).then_some(state)
    }

    fn get(&self, endpoint: &ListedEndpoint) -> Option<&SignalState> {
        self.states.get(&endpoint.id).filter(|state| !is_earlier_start(state.start, endpoint.start))
    }

    /// Whether there are no signals of any endpoint.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Whether an endpoint is shutting down.
    pub fn is_leaving(&self, endpoint: &ListedEndpoint) -> bool {
        self.get(endpoint).is_some_and(|state| state.shutting_down_since.is_some())
    }

    /// Remaining time in which an endpoint wants no requests from this VM.
    pub fn backoff_left(&self, endpoint: &ListedEndpoint, now: SystemTime) -> Option<Duration> {
        let until = self.get(endpoint)?.backoff_until?;
        until.duration_since(now).ok().filter(|left| !left.is_zero())
    }

    /// The current limit of an endpoint.
    pub fn limit(&self, endpoint: &ListedEndpoint, now: SystemTime) -> Option<CurrentLimit> {
        let limit = self.get(endpoint)?.limit?;
        let age = now.duration_since(limit.stated_at).unwrap_or_default();
        Some(CurrentLimit { per_s: limit.per_s?, age, round: limit.round })
    }

    /// Whether some change was not yet in enough reports.
    pub fn has_unreported(&self) -> bool {
        self.states.values().any(|state| state.is_shared() && state.report_count < REPORTS_PER_ENTRY)
    }

    /// The entries of the next report: recent changes, and a few others in rotation, which keep the ages of limits up
    /// to date.
    pub fn next_report(&mut self, now: SystemTime) -> Vec<ReportedSignal> {
        let shared = self.states.iter().filter(|(_, state)| state.is_shared());
        let next = least_reported(shared.map(|(endpoint, state)| (endpoint.clone(), state.report_count)));
        let mut entries = Vec::new();
        for endpoint in next {
            if let Some(state) = self.states.get_mut(&endpoint) {
                state.report_count += 1;
                entries.push(to_report(&endpoint, state, now));
            }
        }
        entries
    }

    /// The entries of a state transfer to a VM that starts: the newest ones, since it learns of the others by reports.
    pub fn transfer_entries(&self, now: SystemTime) -> Vec<ReportedSignal> {
        let shared = self.states.iter().filter(|(_, state)| state.is_shared());
        let mut newest: Vec<(&EndpointId, &SignalState)> = shared.collect();
        newest.sort_by_key(|(endpoint, state)| (std::cmp::Reverse(state.last_seen), *endpoint));
        newest.truncate(MAX_TRANSFER_ENTRIES);
        newest.into_iter().map(|(endpoint, state)| to_report(endpoint, state, now)).collect()
    }

    /// Marks the listed endpoints as present, and drops expired signals and those of endpoints that were unlisted long
    /// ago.
    pub fn retain_listed<'a>(&mut self, listed: impl Iterator<Item = &'a ListedEndpoint>, now: SystemTime) {
        if self.states.is_empty() {
            return;
        }
        for endpoint in listed {
            if let Some(state) = self.states.get_mut(&endpoint.id) {
                state.last_seen = now;
                state.observe_start(endpoint.start, now);
            }
        }
        self.states.retain(|_, state| {
            if state.backoff_until.is_some_and(|until| until <= now) {
                state.backoff_until = None;
            }
            if state.limit.is_some_and(|limit| limit.per_s.is_none() && limit.stated_at + RETENTION <= now) {
                state.limit = None;
            }
            (state.is_shared() || state.backoff_until.is_some()) && now < state.last_seen + RETENTION
        });
    }
}

fn to_report(endpoint: &str, state: &SignalState, now: SystemTime) -> ReportedSignal {
    let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
    ReportedSignal {
        endpoint: endpoint.to_owned(),
        start: state.start,
        limit: state.limit.map(|Limit { per_s, stated_at, round }| ReportedLimit { per_s, age: age(stated_at), round }),
        shutting_down_for: state.shutting_down_since.map(age),
    }
}
