//! What endpoints say of themselves in their answers: a limit, that they leave, that they want rest.
//!
//! All of it is kept here with its age, whichever way the request went, and outlives the request. A limit and a leaving concern all VMs,
//! so that they tell each other; rest concerns the VM that was asked for it. What is known ends with the start of the endpoint
//! that said it.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    gossip::{REPORTS_PER_ENTRY, least_reported, time_from_age},
    ids::EndpointId,
    published::directory::{EndpointStart, ListedEndpoint, is_earlier_start},
};

/// Time for which others are told that an endpoint names no limit any longer, and for which what gone endpoints said is kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Longest rest that is granted; a longer one would be a mistake, and nothing could take it back.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Endpoints of which a VM that starts is told; they fit a frame.
const MAX_TRANSFERRED: usize = 128;

/// What one answer says of the endpoint that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signal {
    /// Requests a second that it takes from all VMs together.
    pub limit_per_s: Option<f64>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Time for which it wants nothing from the VM that it answers.
    pub backoff: Option<Duration>,
}

/// What became known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalChange {
    /// It takes so many requests a second from all VMs together.
    Limited(f64),
    /// It names no limit any longer.
    Unlimited,
    /// It is about to leave.
    ShuttingDown,
    /// It wants nothing from this VM for so long.
    BackoffRequested(Duration),
}

/// A limit that an endpoint named, or that it named none.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    per_s: Option<f64>,
    /// When an answer last said so, as far as any VM told.
    said: SystemTime,
    /// Whose round it was then to send to the endpoint.
    round: u64,
}

/// What is known of one start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Known {
    start: Option<EndpointStart>,
    limit: Option<Limit>,
    leaving_since: Option<SystemTime>,
    rest_until: Option<SystemTime>,
    /// Reports that told of the last change.
    told: u32,
    /// When it was last listed, or something last became known of it.
    seen: SystemTime,
}

impl Known {
    fn new(start: Option<EndpointStart>, now: SystemTime) -> Self {
        Self { start, limit: None, leaving_since: None, rest_until: None, told: 0, seen: now }
    }

    /// Begins anew where a later start is met.
    fn meet(&mut self, start: Option<EndpointStart>, now: SystemTime) {
        if is_earlier_start(self.start, start) {
            *self = Self::new(start, now);
        }
        self.start = self.start.or(start);
    }

    /// Whether it concerns other VMs.
    fn is_shared(&self) -> bool {
        self.limit.is_some() || self.leaving_since.is_some()
    }

    /// Takes a limit, unless a later one is known; gives what changed.
    fn take_limit(&mut self, limit: Limit) -> Option<SignalChange> {
        if self.limit.is_some_and(|known| known.said >= limit.said) {
            return None;
        }
        let before = self.limit.replace(limit).and_then(|known| known.per_s);
        if before == limit.per_s {
            return None;
        }
        self.told = 0;
        Some(limit.per_s.map_or(SignalChange::Unlimited, SignalChange::Limited))
    }

    fn take_leaving(&mut self, since: SystemTime) -> Option<SignalChange> {
        if self.leaving_since.is_some() {
            return None;
        }
        self.leaving_since = Some(since);
        self.told = 0;
        Some(SignalChange::ShuttingDown)
    }

    fn take_rest(&mut self, rest: Duration, now: SystemTime) -> Option<SignalChange> {
        let rest = rest.min(MAX_BACKOFF);
        let was_resting = self.rest_until.is_some_and(|until| now < until);
        self.rest_until = self.rest_until.max(Some(now + rest));
        (!was_resting).then_some(SignalChange::BackoffRequested(rest))
    }
}

/// A limit as VMs tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLimit {
    /// Requests a second from all VMs together; none where the endpoint names no limit any longer.
    pub per_s: Option<f64>,
    /// Time since an answer last said so.
    pub age: Duration,
    /// Whose round it was then to send to the endpoint.
    pub round: u64,
}

/// A limit that holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentLimit {
    /// Requests a second from all VMs together.
    pub per_s: f64,
    /// Time since an answer last said so.
    pub age: Duration,
    /// Whose round it was then to send to the endpoint.
    pub round: u64,
}

/// What an endpoint said, as VMs tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedSignal {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Which of its starts said it.
    pub start: Option<EndpointStart>,
    /// Its limit, where it named one.
    pub limit: Option<ReportedLimit>,
    /// Time since it was known that it leaves.
    pub shutting_down_for: Option<Duration>,
}

/// What is known of what endpoints said.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    known: HashMap<EndpointId, Known>,
}

impl SignalTable {
    /// Takes what an answer says of its endpoint; gives what changed.
    ///
    /// Where the answer does not say a limit it ends one only if it `is_whole`, surely the endpoint's own answer to a request that it served.
    /// `round` says whose round it is to send to an endpoint with a limit.
    pub fn record_answer(
        &mut self,
        endpoint: &ListedEndpoint,
        signal: Signal,
        is_whole: bool,
        round: u64,
        now: SystemTime,
    ) -> Vec<SignalChange> {
        let says_nothing = signal == Signal::default();
        if says_nothing && !self.known.contains_key(&endpoint.id) {
            return Vec::new();
        }
        let Some(known) = self.of_start(&endpoint.id, endpoint.start, now) else { return Vec::new() };
        known.seen = now;
        let ends_limit = is_whole && known.limit.is_some_and(|limit| limit.per_s.is_some());
        let limit = (signal.limit_per_s.is_some() || ends_limit).then_some(signal.limit_per_s);
        let limit = limit.and_then(|per_s| known.take_limit(Limit { per_s, said: now, round }));
        let leaving = signal.is_leaving.then(|| known.take_leaving(now)).flatten();
        let rest = signal.backoff.and_then(|rest| known.take_rest(rest, now));
        [limit, leaving, rest].into_iter().flatten().collect()
    }

    /// Takes what another VM tells; gives what changed, by endpoint.
    pub fn merge_reported(&mut self, told: Vec<ReportedSignal>, now: SystemTime) -> Vec<(EndpointId, SignalChange)> {
        let mut changes = Vec::new();
        for ReportedSignal { endpoint, start, limit, shutting_down_for } in told {
            let Some(known) = self.of_start(&endpoint, start, now) else { continue };
            known.seen = now;
            let limit = limit.and_then(|ReportedLimit { per_s, age, round }| {
                known.take_limit(Limit { per_s, said: time_from_age(age, now), round })
            });
            let leaving = shutting_down_for.and_then(|age| known.take_leaving(time_from_age(age, now)));
            changes.extend(limit.into_iter().chain(leaving).map(|change| (endpoint.clone(), change)));
        }
        changes
    }

    /// What is known of a start of an endpoint, begun anew where only an earlier start is known; none where a later one is.
    fn of_start(&mut self, endpoint: &str, start: Option<EndpointStart>, now: SystemTime) -> Option<&mut Known> {
        let known = self.known.entry(endpoint.to_owned()).or_insert_with(|| Known::new(start, now));
        known.meet(start, now);
        (!is_earlier_start(start, known.start)).then_some(known)
    }

    fn get(&self, endpoint: &ListedEndpoint) -> Option<&Known> {
        self.known.get(&endpoint.id).filter(|known| !is_earlier_start(known.start, endpoint.start))
    }

    /// Whether nothing is known of any endpoint.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, endpoint: &ListedEndpoint) -> bool {
        self.get(endpoint).is_some_and(|known| known.leaving_since.is_some())
    }

    /// Time for which an endpoint wants nothing more from this VM.
    pub fn backoff_left(&self, endpoint: &ListedEndpoint, now: SystemTime) -> Option<Duration> {
        let until = self.get(endpoint)?.rest_until?;
        until.duration_since(now).ok().filter(|left| !left.is_zero())
    }

    /// The limit that an endpoint last named.
    pub fn limit(&self, endpoint: &ListedEndpoint, now: SystemTime) -> Option<CurrentLimit> {
        let limit = self.get(endpoint)?.limit?;
        let age = now.duration_since(limit.said).unwrap_or_default();
        Some(CurrentLimit { per_s: limit.per_s?, age, round: limit.round })
    }

    /// Whether others have not been told of something yet.
    pub fn has_unreported(&self) -> bool {
        self.known.values().any(|known| known.is_shared() && known.told < REPORTS_PER_ENTRY)
    }

    /// What the next report tells: what changed, and a few others in turn, so that the ages of limits are known.
    pub fn next_report(&mut self, now: SystemTime) -> Vec<ReportedSignal> {
        let shared = self.known.iter().filter(|(_, known)| known.is_shared());
        let next = least_reported(shared.map(|(endpoint, known)| (endpoint.clone(), known.told)));
        let mut told = Vec::new();
        for endpoint in next {
            if let Some(known) = self.known.get_mut(&endpoint) {
                known.told += 1;
                told.push(to_report(&endpoint, known, now));
            }
        }
        told
    }

    /// What concerns others, for a VM that starts; the newest of it where there is much, since reports tell the rest.
    pub fn transfer_entries(&self, now: SystemTime) -> Vec<ReportedSignal> {
        let shared = self.known.iter().filter(|(_, known)| known.is_shared());
        let mut newest: Vec<(&EndpointId, &Known)> = shared.collect();
        newest.sort_by_key(|(endpoint, known)| (std::cmp::Reverse(known.seen), *endpoint));
        newest.truncate(MAX_TRANSFERRED);
        newest.into_iter().map(|(endpoint, known)| to_report(endpoint, known, now)).collect()
    }

    /// Notes which endpoints are listed, and forgets those that are gone for long, and what no longer holds.
    pub fn retain_listed<'a>(&mut self, listed: impl Iterator<Item = &'a ListedEndpoint>, now: SystemTime) {
        if self.known.is_empty() {
            return;
        }
        for endpoint in listed {
            if let Some(known) = self.known.get_mut(&endpoint.id) {
                known.seen = now;
                known.meet(endpoint.start, now);
            }
        }
        self.known.retain(|_, known| {
            if known.rest_until.is_some_and(|until| until <= now) {
                known.rest_until = None;
            }
            if known.limit.is_some_and(|limit| limit.per_s.is_none() && limit.said + RETENTION <= now) {
                known.limit = None;
            }
            (known.is_shared() || known.rest_until.is_some()) && now < known.seen + RETENTION
        });
    }
}

fn to_report(endpoint: &str, known: &Known, now: SystemTime) -> ReportedSignal {
    let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
    ReportedSignal {
        endpoint: endpoint.to_owned(),
        start: known.start,
        limit: known.limit.map(|Limit { per_s, said, round }| ReportedLimit { per_s, age: age(said), round }),
        shutting_down_for: known.leaving_since.map(age),
    }
}
