//! Connections that open late in a planned stop, on a paused clock.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use tokio::{
    io::AsyncWriteExt as _,
    time::{Instant, sleep},
};

use support::published::{Bench, get, read_all, status};

/// Longer than the time in which the balancer notices that a VM stops.
const LATE: Duration = Duration::from_secs(3);

/// Guards against connections that are closed without an answer, although a router that stops could refuse the request.
///
/// From 2.5 s after the signal on, a new connection was closed before its request was read.
#[tokio::test(start_paused = true)]
async fn a_request_on_a_connection_that_opens_late_in_a_planned_stop_is_answered() {
    let bench = Bench::start(vec![vec![]]).await;
    let shared = &bench.router.context().shared;
    shared.start_drain(shared.clock.now());
    let requests = async {
        // A request in progress keeps the router from ending.
        let mut open = bench.connect(0).await;
        open.write_all(b"GET /read/ HTTP/1.1\r\n").await.unwrap();
        sleep(LATE).await;
        let answer = bench.ask(&get("/read/", "late")).await;
        assert_eq!(status(&answer), "503", "{answer:?}");
        assert!(answer.contains("retry-after: ") && answer.contains("connection: close"), "{answer}");
        let mut idle = bench.connect(0).await;
        let opened = Instant::now();
        assert_eq!(read_all(&mut idle).await, "", "nothing was asked for");
        assert!(opened.elapsed() < Duration::from_secs(1), "an idle connection holds up the stop");
    };
    tokio::select! {
        biased;
        () = requests => {},
        _ = bench.router.wait_for_drain() => panic!("the stop ended before the requests did"),
    }
    assert!(bench.arrivals().is_empty());
}
