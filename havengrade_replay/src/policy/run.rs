//! The replay itself: events in virtual time, and what came of them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use havengrade_core::{
    config::{Account, Cascade, Catalog, Change, Config, Endpoint, EndpointKind, Item, ModelVersion, VersionState},
    cost::TokenUsage,
    evidence::{EvidenceTotals, Tally, TallyKey},
    ids::{EndpointId, VersionId},
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use serde::Serialize;

use super::{
    engines::{Begun, Engines, Work},
    policies::{Policy, View},
    trace::Request,
};
use crate::measure::record_of;

/// Time that a rating takes, in milliseconds.
const RATING_MS: u64 = 40;
/// Time after which evidence has reached all VMs, in milliseconds.
const EVIDENCE_LAG_MS: u64 = 2_000;
/// Rating that an answer should reach.
const TARGET: u32 = 700;

/// Versions of the model: name, prices, strength, and time relative to the cheapest.
const VERSIONS: [(&str, u64, u64, f64, f64); 3] =
    [("swift@1", 100, 400, 0.6, 1.0), ("cedar@1", 300, 1200, 0.8, 1.5), ("sage@1", 1000, 4000, 0.97, 2.5)];

/// What came of a class, or of all requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Requests.
    pub requests: usize,
    /// Share of the answers that reached the quality target.
    pub passed: f64,
    /// Cost of a request, in millionths.
    pub cost: f64,
    /// Cost of a request that reached the target.
    pub cost_of_passed: f64,
    /// Time to the first token of the answer that is given: median, 95th and 99th percentile, in milliseconds.
    pub first_ms: [u64; 3],
    /// Time to the whole answer: median, 95th and 99th percentile, in milliseconds.
    pub whole_ms: [u64; 3],
}

/// What came of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// All requests.
    pub all: ClassReport,
    /// Each class.
    pub classes: BTreeMap<String, ClassReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish(usize),
    Rated(usize),
    Learn(usize),
}

/// How far a request has come.
#[derive(Clone, Debug, Default)]
struct Progress {
    ladder: Vec<VersionId>,
    step: usize,
    engine: EndpointId,
    first_ms: u64,
    done_ms: u64,
    cost: f64,
    passed: bool,
}

struct Replay<'a> {
    trace: &'a [Request],
    policy: Policy,
    catalog: Catalog,
    account: Account,
    cascade: Cascade,
    engines: Engines,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    progress: Vec<Progress>,
    evidence: EvidenceTotals,
    lessons: Vec<(TallyKey, Tally)>,
    turn: usize,
    rng: ChaCha8Rng,
}

/// Replays a trace through a policy with so many engines.
pub fn replay(trace: &[Request], policy: Policy, engines: usize, seed: u64) -> Report {
    let catalog = Catalog::new(deployment(engines));
    let cascade = catalog.config.cascades.get("all").cloned().unwrap_or_else(|| unreachable!("it was put there"));
    let mut replay = Replay {
        trace,
        policy,
        engines: Engines::new(catalog.config.endpoints.keys()),
        account: account(),
        cascade,
        catalog,
        events: (0..trace.len()).map(|index| Reverse((trace[index].at_ms, Event::Arrive(index)))).collect(),
        progress: vec![Progress::default(); trace.len()],
        evidence: EvidenceTotals::default(),
        lessons: Vec::new(),
        turn: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    while let Some(Reverse((now_ms, event))) = replay.events.pop() {
        replay.engines.set_now(now_ms);
        replay.happen(now_ms, event);
    }
    replay.report()
}

impl Replay<'_> {
    fn happen(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrive(index) => {
                let class = &self.trace[index].class;
                let view = View {
                    catalog: &self.catalog,
                    account: &self.account,
                    cascade: &self.cascade,
                    evidence: &self.evidence,
                };
                self.progress[index].ladder = self.policy.ladder(&view, class, &mut self.rng);
                self.send(index);
            },
            Event::Finish(index) => {
                let begun = self.engines.finish(&self.progress[index].engine.clone());
                self.begun(begun);
                self.events.push(Reverse((now_ms + RATING_MS, Event::Rated(index))));
            },
            Event::Rated(index) => self.rated(now_ms, index),
            Event::Learn(lesson) => {
                let (subject, tally) = self.lessons[lesson].clone();
                let sum = self.evidence.get(&subject.class, &subject.version).plus(&tally);
                self.evidence.set(&subject, sum);
            },
        }
    }

    /// Sends a request to an engine of the version whose turn it is.
    fn send(&mut self, index: usize) {
        let request = &self.trace[index];
        let Some(version) = self.progress[index].ladder.get(self.progress[index].step).cloned() else { return };
        let view =
            View { catalog: &self.catalog, account: &self.account, cascade: &self.cascade, evidence: &self.evidence };
        self.turn += 1;
        let engine = self.policy.engine(&view, &version, &self.engines, self.turn, &mut self.rng);
        let Some(engine) = engine else { return };
        self.progress[index].engine.clone_from(&engine);
        let usage =
            TokenUsage { input_tokens: request.input_tokens.into(), output_tokens: request.output_tokens.into() };
        let cost = self.catalog.config.versions.get(&version).map_or(0, |version| usage.cost(version));
        self.progress[index].cost += cost as f64;
        let work = Work {
            request: index,
            priority: request.priority,
            input_tokens: request.input_tokens,
            output_tokens: request.output_tokens,
            weight: truth(&version).1,
        };
        let begun = self.engines.submit(&engine, work);
        self.begun(begun);
    }

    fn begun(&mut self, begun: Option<Begun>) {
        let Some(begun) = begun else { return };
        let progress = &mut self.progress[begun.request];
        progress.first_ms = begun.first_ms;
        progress.done_ms = begun.done_ms;
        self.events.push(Reverse((begun.done_ms, Event::Finish(begun.request))));
    }

    fn rated(&mut self, now_ms: u64, index: usize) {
        let request = &self.trace[index];
        let progress = &mut self.progress[index];
        let version = progress.ladder[progress.step].clone();
        progress.passed = request.difficulty <= truth(&version).0;
        let score = if progress.passed { self.rng.random_range(750..1000) } else { self.rng.random_range(200..500) };
        progress.done_ms = now_ms;
        let is_last = progress.step + 1 == progress.ladder.len();
        let is_poor = score < TARGET;
        let tally = Tally { rated: 1, score: u64::from(score), passed: u64::from(!is_poor), ended: 1, failed: 0 };
        self.lessons.push((TallyKey { class: request.class.clone(), version }, tally));
        self.events.push(Reverse((now_ms + EVIDENCE_LAG_MS, Event::Learn(self.lessons.len() - 1))));
        if is_poor && !is_last {
            self.progress[index].step += 1;
            self.send(index);
        }
    }

    fn report(&self) -> Report {
        let mut classes: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, request) in self.trace.iter().enumerate() {
            classes.entry(request.class.clone()).or_default().push(index);
        }
        let all: Vec<usize> = (0..self.trace.len()).collect();
        Report {
            policy: self.policy.name.to_owned(),
            all: self.class_report(&all),
            classes: classes.into_iter().map(|(class, indexes)| (class, self.class_report(&indexes))).collect(),
        }
    }

    fn class_report(&self, indexes: &[usize]) -> ClassReport {
        let count = indexes.len().max(1) as f64;
        let cost: f64 = indexes.iter().map(|index| self.progress[*index].cost).sum();
        let passed = indexes.iter().filter(|index| self.progress[**index].passed).count() as f64;
        let times = |of: fn(&Progress) -> u64| {
            let mut times: Vec<u64> = indexes
                .iter()
                .map(|index| of(&self.progress[*index]).saturating_sub(self.trace[*index].at_ms))
                .collect();
            times.sort_unstable();
            [50, 95, 99].map(|percent| {
                times.get((times.len() * percent / 100).min(times.len().saturating_sub(1))).copied().unwrap_or_default()
            })
        };
        ClassReport {
            requests: indexes.len(),
            passed: passed / count,
            cost: cost / count,
            cost_of_passed: cost / passed.max(1.0),
            first_ms: times(|progress| progress.first_ms),
            whole_ms: times(|progress| progress.done_ms),
        }
    }
}

/// Strength of a version, and its time relative to the cheapest.
fn truth(version: &str) -> (f64, f64) {
    let known = VERSIONS.iter().find(|(id, ..)| *id == version);
    known.map_or((0.0, 1.0), |(_, _, _, strength, weight)| (*strength, *weight))
}

fn account() -> Account {
    Account {
        id: "all".to_owned(),
        key_sha256: "00".repeat(32),
        versions: VERSIONS.iter().map(|(id, ..)| (*id).to_owned()).collect(),
        classes: Vec::new(),
        max_concurrent: 1,
        requests_per_second: 1,
        weight: 1,
    }
}

fn deployment(engines: usize) -> Config {
    let version = |(id, input, output, strength, _): &(&str, u64, u64, f64, f64)| {
        Item::Version(ModelVersion {
            id: (*id).to_owned(),
            model: id.split('@').next().unwrap_or_default().to_owned(),
            input_cost_micros: *input,
            output_cost_micros: *output,
            // An operator guesses a little lower than the truth.
            prior_quality: (strength * 900.0) as u32,
            state: VersionState::Active,
        })
    };
    let steps: Vec<VersionId> = VERSIONS.iter().map(|(id, ..)| (*id).to_owned()).collect();
    let cascade = Cascade {
        id: "all".to_owned(),
        steps: steps.clone(),
        quality_target: TARGET,
        explore: 20,
        check_answers: true,
    };
    let endpoint = |index: usize| {
        Item::Endpoint(Endpoint {
            id: format!("engine-{index:03}"),
            address: ([10, 0, 0, 1], 8000).into(),
            failure_domain: String::new(),
            capacity: 8,
            checks_fence: false,
            deduplicates: false,
            kind: EndpointKind::Engine { versions: steps.clone() },
        })
    };
    let items = VERSIONS.iter().map(version).chain([Item::Cascade(cascade)]).chain((0..engines).map(endpoint));
    let mut config = Config::default();
    let changes = items.map(|item| Change::Put { item }).collect();
    config.replay(0, &record_of(changes));
    config
}
