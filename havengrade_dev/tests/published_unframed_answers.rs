//! Answers without a length, which end with their connection as they do when their endpoint crashes.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_dev::{
    fabric::Host,
    stand_in::frail::{FrailEndpoint, Frailty},
};
use support::{
    frail_fleet::FrailFleet,
    published::{event_ids, publication},
};
use tokio::time::sleep;

/// Ends of the chunks in which the router passes a stream on.
const LAST_CHUNK: &str = "0\r\n\r\n";
const UNFRAMED: &str = "x-shape: unframed\r\n";
/// Crashes after which a request is held, and sends that callers tolerate after that.
const MAX_CRASHES: usize = 6;

/// An endpoint that sends the first event of a stream and crashes between two events.
const FRAILTY: Frailty = Frailty {
    fuse: Duration::from_millis(60),
    most_wait: Duration::ZERO,
    answers_first: true,
    down: Duration::from_millis(2500),
    keeps_id: false,
};

async fn start(endpoints: Host) -> (FrailFleet, Vec<FrailEndpoint>) {
    FrailFleet::start(1, endpoints, FRAILTY, 0, publication(1, &["k1"])).await
}

/// Guards against a stream without a length that looks complete although its endpoint crashed.
#[tokio::test(start_paused = true)]
async fn a_stream_without_a_length_whose_endpoint_crashed_between_two_events_looks_broken_off() {
    let (fleet, _endpoints) = start(1).await;
    let answer = fleet.ask(fleet.host(0).unwrap(), "/stream/", UNFRAMED, "deadly-1").await;
    assert_eq!(event_ids(&answer), [1], "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Guards against a request that is sent on and on, since each of its streams counts as an answer.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_endpoints_between_two_events_of_streams_without_a_length_is_held() {
    let (fleet, _endpoints) = start(8).await;
    for _ in 0..20 {
        fleet.ask(fleet.host(0).unwrap(), "/stream/", UNFRAMED, "deadly-1").await;
        sleep(Duration::from_secs(1)).await;
    }
    let ends = fleet.record.lock().unwrap().ends.len();
    assert!(ends <= MAX_CRASHES, "{ends} endpoints ended");
}

/// Guards against a whole stream without a length that is cut off, or run again.
#[tokio::test(start_paused = true)]
async fn a_whole_stream_without_a_length_is_complete() {
    let (fleet, _endpoints) = start(2).await;
    let answer = fleet.ask(fleet.host(0).unwrap(), "/stream/", UNFRAMED, "fine 40").await;
    assert_eq!(event_ids(&answer), [1, 2, 3, 4], "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
    assert_eq!(fleet.record.lock().unwrap().taken.len(), 1);
}
