//! Benchmark of a routing decision by the number of endpoints.
#![allow(missing_docs, clippy::unwrap_used)]

use std::{hint::black_box, time::SystemTime};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use havengrade_core::{
    config::{BaseRevision, Catalog, ChangeFile, ChangeRecord, Config, ConfigRecord},
    endpoint_selection::{EndpointState, EndpointStates, SelectionContext},
    evidence::EvidenceTotals,
    routing::{RequestMeta, choose_endpoint, decide_route},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

struct Idle;

impl EndpointStates for Idle {
    fn state(&self, _endpoint: &str) -> EndpointState {
        EndpointState::default()
    }
}

const ITEMS: &str = r#"
    [[version]]
    id = "m@1"
    model = "m"
    input_cost_micros = 1
    output_cost_micros = 1
    prior_quality = 900
    [[cascade]]
    id = "c"
    steps = ["m@1"]
    quality_target = 500
    [[class]]
    id = "q"
    priority = 1
    deadline_ms = 1000
    repeatable = true
    cascade = "c"
    [[account]]
    id = "a"
    key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
    versions = ["m@*"]
    classes = ["q"]
    max_concurrent = 1
    requests_per_second = 1
"#;

fn catalog(endpoints: usize) -> Catalog {
    let endpoint = |index: usize| {
        format!(
            "[[endpoint]]\nid = \"e{index}\"\naddress = \"10.0.0.1:80\"\nfailure_domain = \"d\"\ncapacity = 8\n\
             kind = \"engine\"\nversions = [\"m@1\"]\n"
        )
    };
    let text: String = std::iter::once(ITEMS.to_owned()).chain((0..endpoints).map(endpoint)).collect();
    let mut changes = ChangeFile::parse(&text).unwrap().changes_against(&Config::default());
    changes.iter_mut().for_each(|change| change.base = BaseRevision::Absent);
    let (change_id, author, reason) = (String::new(), String::new(), String::new());
    let record = ChangeRecord { change_id, author, reason, at: SystemTime::UNIX_EPOCH, changes };
    let mut config = Config::default();
    config.replay(0, &ConfigRecord::Change(record));
    Catalog::new(config)
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for endpoints in [70, 700, 12_000] {
        let catalog = catalog(endpoints);
        let account = catalog.config.accounts["a"].clone();
        let meta = RequestMeta { class: "q".into(), ..RequestMeta::default() };
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let wanted = SelectionContext { failure_domain: "d", tried_endpoints: &[], now: SystemTime::UNIX_EPOCH };
        let version = "m@1".to_owned();
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                let now = SystemTime::UNIX_EPOCH;
                let decision =
                    decide_route(&catalog, &account, &meta, &EvidenceTotals::default(), &mut rng, now).unwrap();
                black_box(choose_endpoint(&catalog, &decision.route, Some(&version), &Idle, wanted, &mut rng));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
