//! Memory of the metrics of many routes.
#![allow(clippy::unwrap_used)]

use std::{alloc::System, time::Duration};

use havengrade_router::metrics;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::time::sleep;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUTES: u64 = 438;
/// Observations of each route.
const REQUESTS: u64 = 400;
/// Memory that the times of all routes may take.
const MAX_MEMORY: usize = 8 << 20;

/// Bytes that are allocated now.
fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// Records times between 8 and 150 ms for each route.
fn record_times() {
    for number in 0..ROUTES * REQUESTS {
        let millis = 8.0 + (number * 7919 % 142_000) as f64 / 1000.0;
        let route = format!("route-{}", number % ROUTES);
        ::metrics::histogram!("request_seconds", "route" => route).record(millis / 1000.0);
    }
}

/// Guards against a VM that runs out of memory, and ends all its requests, while an operator fetches the metrics of many
/// routes, and against one that keeps each time until they are fetched.
#[tokio::test(start_paused = true)]
async fn times_of_many_routes_take_bounded_memory() {
    metrics::install();
    let before = allocated();
    record_times();
    tokio::spawn(metrics::run_upkeep());
    sleep(Duration::from_secs(60)).await;
    let unfetched = allocated().saturating_sub(before);
    assert!(unfetched <= MAX_MEMORY, "{unfetched} bytes before the metrics are fetched");
    for _ in 0..5 {
        record_times();
        let page = metrics::render();
        assert!(page.contains("request_seconds_bucket{route=\"route-437\""), "{page:.2000}");
        drop(page);
        let fetched = allocated().saturating_sub(before);
        assert!(fetched <= MAX_MEMORY, "{fetched} bytes once the metrics are fetched");
    }
}

/// Guards against figures that are lost when they are summed up.
#[test]
fn times_are_counted_by_their_length() {
    metrics::install();
    for seconds in [0.003, 0.003, 0.07, 4.0, 400.0] {
        ::metrics::histogram!("request_seconds", "route" => "few").record(seconds);
    }
    let page = metrics::render();
    let value = |series: &str| page.lines().find_map(|line| line.strip_prefix(series)).map(str::trim);
    assert_eq!(value("request_seconds_bucket{route=\"few\",le=\"0.005\"}"), Some("2"), "{page}");
    assert_eq!(value("request_seconds_bucket{route=\"few\",le=\"0.1\"}"), Some("3"));
    assert_eq!(value("request_seconds_bucket{route=\"few\",le=\"5\"}"), Some("4"));
    assert_eq!(value("request_seconds_bucket{route=\"few\",le=\"+Inf\"}"), Some("5"));
    assert_eq!(value("request_seconds_count{route=\"few\"}"), Some("5"));
}
