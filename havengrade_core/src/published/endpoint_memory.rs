//! Memory of endpoints: the tokens that a generation occupies, and those for which an endpoint has room.
//!
//! An endpoint keeps the prompts and the generated tokens of its running requests in memory. A part that several prompts
//! share is kept once. Cached parts that no running request uses give way to others, so they count as free.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use crate::published::{peers::Work, placement::Prompt, route::RouteId};

/// Tokens that a request is expected to generate until streams of its route have finished. The routes that the default
/// is made for generate about 280 tokens at most in the mean; a larger value would leave memory unused.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Number of finished streams of a route that are remembered: enough for a mean, and few enough to follow a change
/// within seconds at one stream per second.
const RECENT_STREAMS: usize = 32;
/// Highest number of routes that are remembered, which bounds the memory to about half a megabyte. Routes that were
/// removed from the configuration are forgotten when it is reached.
const MAX_ROUTES: usize = 1024;
/// Age up to which an endpoint's own word on its requests counts. Reports of other VMs are as old.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(500);

/// A stream that finished.
#[derive(Clone, Copy, Debug)]
struct FinishedStream {
    events: u32,
    /// Most tokens that an event of this stream can have on average: those of the stated limit, divided by the events.
    max_tokens_per_event: f64,
}

/// The lengths of the recent streams of each route.
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    by_route: HashMap<RouteId, VecDeque<FinishedStream>>,
}

impl OutputLengths {
    /// Records a finished stream, with the limit of generated tokens that its request stated.
    ///
    /// A VM sees the events of a stream, but not the tokens. As no stream exceeds its limit, the smallest ratio of limit
    /// and events among the recent streams is an upper bound on the tokens of an event.
    pub fn record(&mut self, route: &str, events: u32, limit: u32) {
        if events == 0 || limit == 0 {
            return;
        }
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            self.by_route.clear();
        }
        let recent = self.by_route.entry(route.to_owned()).or_default();
        if recent.len() >= RECENT_STREAMS {
            recent.pop_front();
        }
        recent.push_back(FinishedStream { events, max_tokens_per_event: f64::from(limit) / f64::from(events) });
    }

    /// The tokens that a request of a route is expected to generate, at most the limit that it states.
    ///
    /// ```
    /// use havengrade_core::published::endpoint_memory::OutputLengths;
    ///
    /// let mut lengths = OutputLengths::default();
    /// assert_eq!(lengths.expected("chat", 1000), 256);
    /// lengths.record("chat", 40, 160);
    /// lengths.record("chat", 20, 1000);
    /// assert_eq!(lengths.expected("chat", 1000), 120, "the mean of 30 events, each of at most 4 tokens");
    /// assert_eq!(lengths.expected("chat", 50), 50);
    /// ```
    pub fn expected(&self, route: &str, limit: u32) -> u32 {
        let Some(recent) = self.by_route.get(route).filter(|recent| !recent.is_empty()) else {
            return DEFAULT_OUTPUT_TOKENS.min(limit);
        };
        let events: f64 = recent.iter().map(|stream| f64::from(stream.events)).sum();
        let tokens_per_event = recent.iter().map(|stream| stream.max_tokens_per_event).fold(f64::INFINITY, f64::min);
        let mean = events / recent.len() as f64 * tokens_per_event;
        (mean.ceil() as u32).min(limit)
    }
}

/// The tokens of a prompt that an endpoint has to add to its memory if it has to read `read_tokens` of it, which are
/// counted as tokens of the largest model.
///
/// ```
/// use havengrade_core::published::{endpoint_memory::added_prompt_tokens, placement::Prompt};
///
/// // The work per token of the model is a tenth of that of the largest one.
/// let prompt = Prompt { shared_prefix: None, shared_tokens: 600, own_tokens: 200, sent_tokens: 8000 };
/// assert_eq!(added_prompt_tokens(&prompt, 200), 2000);
/// assert_eq!(added_prompt_tokens(&prompt, 800), 8000);
/// ```
pub fn added_prompt_tokens(prompt: &Prompt, read_tokens: u32) -> u32 {
    let total = f64::from(prompt.shared_tokens) + f64::from(prompt.own_tokens);
    if total <= 0.0 {
        return prompt.sent_tokens;
    }
    let share = (f64::from(read_tokens) / total).min(1.0);
    (f64::from(prompt.sent_tokens) * share).ceil() as u32
}

/// What an endpoint last said of its requests, and what this VM has sent since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedOccupancy {
    /// Running and waiting requests, of all VMs.
    pub requests: u32,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Requests by which those of this VM have grown since.
    pub sent_since: u32,
    /// The time of the answer.
    pub at: SystemTime,
}

impl ReportedOccupancy {
    /// Whether all slots of the endpoint are taken; not known if its answer is too old.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::endpoint_memory::ReportedOccupancy;
    ///
    /// let at = SystemTime::UNIX_EPOCH;
    /// let reported = ReportedOccupancy { requests: 6, slots: 8, sent_since: 2, at };
    /// assert!(reported.is_full(at));
    /// assert!(!ReportedOccupancy { sent_since: 1, ..reported }.is_full(at));
    /// assert!(!reported.is_full(at + Duration::from_secs(1)));
    /// ```
    pub fn is_full(&self, now: SystemTime) -> bool {
        let is_fresh = now < self.at + REPORTED_LOAD_LIFETIME;
        is_fresh && self.slots > 0 && self.requests.saturating_add(self.sent_since) >= self.slots
    }
}

/// The prompt tokens for which an endpoint with memory for `memory_tokens` has room, beside the known work and the
/// `expected_output` of the request. An endpoint whose slots are all taken has room for none.
///
/// ```
/// use std::time::SystemTime;
/// use havengrade_core::published::{endpoint_memory::free_tokens, peers::Work};
///
/// let work = Work { memory_tokens: 90_000, ..Work::default() };
/// assert_eq!(free_tokens(100_000, work, None, 300, SystemTime::UNIX_EPOCH), 9700);
/// ```
pub fn free_tokens(
    memory_tokens: u32,
    work: Work,
    reported: Option<ReportedOccupancy>,
    expected_output: u32,
    now: SystemTime,
) -> u32 {
    if reported.is_some_and(|reported| reported.is_full(now)) {
        return 0;
    }
    memory_tokens.saturating_sub(work.memory_tokens).saturating_sub(expected_output)
}
