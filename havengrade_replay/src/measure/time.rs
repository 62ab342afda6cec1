//! Processor time of what the control thread and a decision do.

use std::{
    hint::black_box,
    time::{Duration, SystemTime},
};

use cpu_time::ThreadTime;
use havengrade_core::{
    config::{Catalog, Config, ConfigRecord},
    endpoint_selection::{EndpointState, EndpointStates, SelectionContext},
    evidence::EvidenceTotals,
    ledger::Ledger,
    routing::{RequestMeta, choose_endpoint, decide_route},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

use super::{Slopes, sample};

/// Repeats of a measure, of which the fastest counts.
const REPEATS: usize = 5;

pub(super) fn measure(slopes: &mut Slopes) {
    let sizes = [70, 700, 12_000];
    slopes.add("change_time", "microseconds", "endpoint", points(&sizes, change_time));
    slopes.add("decision_time", "microseconds", "endpoint", points(&sizes, decision_time));
    slopes.add("snapshot_time", "microseconds", "endpoint", points(&sizes, snapshot_time));
    let counts = [100, 1000, 4000];
    slopes.add("ledger_time", "microseconds", "claimed request", points(&counts, ledger_time));
    slopes.add("replay_time", "microseconds", "record of the configuration", points(&counts, replay_time));
}

fn points(sizes: &[usize], micros: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|size| (*size as f64, micros(*size))).collect()
}

/// Processor time of the fastest of some runs, in microseconds.
fn fastest(mut run: impl FnMut()) -> f64 {
    let mut best = Duration::MAX;
    for _ in 0..REPEATS {
        let started = ThreadTime::now();
        run();
        best = best.min(started.elapsed());
    }
    best.as_secs_f64() * 1e6
}

/// Time to parse, replay and publish a usual change with so many endpoints.
fn change_time(endpoints: usize) -> f64 {
    const CHANGES: usize = 8;
    let mut config = sample::config(10, endpoints);
    let mut number = 0;
    let mut catalog = Catalog::new(config.clone());
    let total = fastest(|| {
        for _ in 0..CHANGES {
            number += 1;
            let json = serde_json::to_string(&sample::usual_change(&config, number)).unwrap_or_default();
            if let Ok(record) = serde_json::from_str::<ConfigRecord>(&json) {
                config.replay(config.next_offset, &record);
            }
            catalog = black_box(catalog.with_config(config.clone()));
        }
    });
    total / CHANGES as f64
}

struct Idle;

impl EndpointStates for Idle {
    fn state(&self, _endpoint: &str) -> EndpointState {
        EndpointState::default()
    }
}

/// Time to decide a request and to choose its endpoint among so many.
fn decision_time(endpoints: usize) -> f64 {
    const DECISIONS: usize = 2000;
    let catalog = Catalog::new(sample::config(10, endpoints));
    let account = sample::account(3);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let meta =
        RequestMeta { class: "question".to_owned(), bucketing_id: "vm-1.x".to_owned(), ..RequestMeta::default() };
    let evidence = EvidenceTotals::default();
    let wanted = SelectionContext { failure_domain: "domain-1", tried_endpoints: &[], now: SystemTime::UNIX_EPOCH };
    let total = fastest(|| {
        for _ in 0..DECISIONS {
            if let Ok(decision) = decide_route(&catalog, &account, &meta, &evidence, &mut rng, sample::now()) {
                let version = sample::version(3).id;
                black_box(choose_endpoint(&catalog, &decision.route, Some(&version), &Idle, wanted, &mut rng));
            }
        }
    });
    total / DECISIONS as f64
}

/// Time to write and read a snapshot with so many endpoints.
fn snapshot_time(endpoints: usize) -> f64 {
    let config = sample::config(10, endpoints);
    fastest(|| {
        let json = serde_json::to_string(&config).unwrap_or_default();
        black_box(serde_json::from_str::<Config>(&json).is_ok());
    })
}

/// Time to parse and replay the batches of so many claimed requests.
fn ledger_time(requests: usize) -> f64 {
    let batches: Vec<String> =
        (0..requests).map(|number| serde_json::to_string(&sample::batch(number)).unwrap_or_default()).collect();
    fastest(|| {
        let mut ledger = Ledger::default();
        for (offset, json) in (0..).zip(&batches) {
            if let Ok(batch) = serde_json::from_str(json) {
                ledger.replay(offset, &batch);
            }
        }
        black_box(ledger.len());
    })
}

/// Time in which a new VM replays so many records of the configuration.
fn replay_time(records: usize) -> f64 {
    let start = sample::config(10, 70);
    let mut config = start.clone();
    let mut log = Vec::new();
    for number in 0..records {
        let record = sample::usual_change(&config, number);
        config.replay(config.next_offset, &record);
        log.push(serde_json::to_string(&record).unwrap_or_default());
    }
    fastest(|| {
        let mut config = start.clone();
        for json in &log {
            if let Ok(record) = serde_json::from_str::<ConfigRecord>(json) {
                config.replay(config.next_offset, &record);
            }
        }
        black_box(config.revision);
    })
}
