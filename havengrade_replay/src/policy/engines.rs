//! A small model of engines: slots, a queue by priority, slower tokens in a fuller batch, lagging reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use havengrade_core::{
    endpoint_selection::{EndpointState, EndpointStates},
    ids::EndpointId,
};

/// Streams that an engine runs at once.
const SLOTS: usize = 8;
/// Milliseconds for a thousand tokens of a prompt, on the cheapest version.
const PROMPT_MS: f64 = 60.0;
/// Milliseconds for a token, on the cheapest version and an empty engine.
const TOKEN_MS: f64 = 8.0;
/// Age of the load that is reported, in milliseconds.
const LAG_MS: u64 = 500;

/// A stream to be run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Number of the request.
    pub(crate) request: usize,
    pub(crate) priority: u8,
    pub(crate) input_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Time of its version relative to the cheapest.
    pub(crate) weight: f64,
}

/// A stream that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Begun {
    pub(crate) request: usize,
    pub(crate) first_ms: u64,
    pub(crate) done_ms: u64,
}

#[derive(Default)]
struct Engine {
    running: usize,
    waiting: BTreeSet<(u8, u64)>,
    works: BTreeMap<u64, Work>,
    /// Loads with the time from which they held.
    history: VecDeque<(u64, u32)>,
    own: u32,
}

/// All engines.
#[derive(Default)]
pub(crate) struct Engines {
    engines: BTreeMap<EndpointId, Engine>,
    tickets: u64,
    now_ms: u64,
}

impl Engines {
    pub(crate) fn new<'a>(ids: impl Iterator<Item = &'a EndpointId>) -> Self {
        let engines = ids.map(|id| (id.clone(), Engine::default())).collect();
        Self { engines, tickets: 0, now_ms: 0 }
    }

    pub(crate) fn set_now(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
    }

    /// Gives an engine a stream; tells what begins at once.
    pub(crate) fn submit(&mut self, id: &str, work: Work) -> Option<Begun> {
        self.tickets += 1;
        let (ticket, now_ms) = (self.tickets, self.now_ms);
        let engine = self.engines.get_mut(id)?;
        engine.own += 1;
        engine.waiting.insert((work.priority, ticket));
        engine.works.insert(ticket, work);
        engine.begin(now_ms)
    }

    /// Ends a stream of an engine; tells what begins in its place.
    pub(crate) fn finish(&mut self, id: &str) -> Option<Begun> {
        let now_ms = self.now_ms;
        let engine = self.engines.get_mut(id)?;
        engine.running -= 1;
        engine.own -= 1;
        engine.begin(now_ms)
    }
}

impl Engine {
    fn begin(&mut self, now_ms: u64) -> Option<Begun> {
        let begun = (self.running < SLOTS).then(|| self.waiting.pop_first()).flatten().and_then(|(_, ticket)| {
            let work = self.works.remove(&ticket)?;
            self.running += 1;
            let batch = 1.0 + self.running as f64 / SLOTS as f64;
            let prompt = f64::from(work.input_tokens) / 1000.0 * PROMPT_MS * work.weight;
            let token = TOKEN_MS * work.weight * batch;
            let first = prompt + token;
            let done = prompt + token * f64::from(work.output_tokens);
            Some(Begun { request: work.request, first_ms: now_ms + first as u64, done_ms: now_ms + done as u64 })
        });
        self.history.push_back((now_ms, u32::try_from(self.running + self.waiting.len()).unwrap_or(u32::MAX)));
        while self.history.len() > 1 && self.history[1].0 + LAG_MS <= now_ms {
            self.history.pop_front();
        }
        begun
    }
}

impl EndpointStates for Engines {
    fn state(&self, endpoint: &str) -> EndpointState {
        let Some(engine) = self.engines.get(endpoint) else { return EndpointState::default() };
        let lagging = engine.history.iter().rev().find(|(at, _)| at + LAG_MS <= self.now_ms);
        let reported = lagging.map_or(0, |(_, load)| *load);
        // All requests here are ours, so what was there at the report was ours as well.
        EndpointState { in_flight: engine.own, reported, own_in_report: reported, ..EndpointState::default() }
    }
}
