//! Callers of streams who read slowly or not at all, on a paused clock.
//!
//! Load: endpoints that generate faster than callers read, up to events of a megabyte, at a VM that has 120 MB. Before,
//! a caller who stopped reading kept his stream for ever, and each stream could hold four chunks of a megabyte.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_dev::stand_in::published::{LAST_CHUNK, Reply, STREAM_HEAD, chunk};
use havengrade_router::net::BoxConnection;
use support::published::{Bench, event_ids, get, read_all, status, stream};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{Instant, sleep, timeout},
};

/// Bytes that the router may buffer for a stream of small events: those that wait, and one read from the endpoint.
const STREAM_BYTES: usize = (16 + 128) << 10;
/// Bytes that it may buffer for all streams, beside one read from the endpoint for each.
const VM_BYTES: usize = 32 << 20;

/// A stream of events with this much text each.
fn long_events(ids: std::ops::RangeInclusive<u32>, bytes: usize) -> Reply {
    let text = "x".repeat(bytes);
    let events: String = ids.map(|id| chunk(&format!("id: {id}\ndata: {text}\n\n"))).collect();
    Reply::Write(format!("{STREAM_HEAD}{events}{LAST_CHUNK}"))
}

/// Asks for a stream and doesn't read the answer.
async fn ask_without_reading(bench: &Bench, id: &str) -> BoxConnection {
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/stream/", id).as_bytes()).await.unwrap();
    connection
}

fn buffered(bench: &Bench) -> usize {
    bench.router.context().shared.stream_buffers.buffered_bytes()
}

#[tokio::test(start_paused = true)]
async fn a_caller_who_reads_late_gets_all_events_in_order_and_the_endpoint_waits() {
    let bench = Bench::start(vec![vec![long_events(1..=2000, 1000)]]).await;
    let mut caller = ask_without_reading(&bench, "r1").await;
    sleep(Duration::from_secs(4)).await;
    let waiting = buffered(&bench);
    assert!((1..=STREAM_BYTES).contains(&waiting), "{waiting} of 2,000,000 bytes are buffered");
    let answer = read_all(&mut caller).await;
    assert!(event_ids(&answer).into_iter().eq(1..=2000) && answer.ends_with(LAST_CHUNK));
    assert_eq!(bench.arrivals().len(), 1, "the stream is not resumed although its endpoint waits");
    assert_eq!(buffered(&bench), 0);
}

#[tokio::test(start_paused = true)]
async fn a_stream_whose_caller_does_not_read_ends_unfinished_after_the_time_limit_of_its_route() {
    let bench = Bench::start(vec![vec![long_events(1..=2000, 1000)]]).await;
    let mut caller = ask_without_reading(&bench, "r1").await;
    sleep(Duration::from_secs(9)).await;
    assert!(buffered(&bench) > 0);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(buffered(&bench), 0);
    assert_eq!(bench.endpoints[0].closed(), 1, "the run at the endpoint is ended as well");
    let rest = timeout(Duration::from_secs(1), read_all(&mut caller)).await.unwrap();
    assert!(!rest.ends_with(LAST_CHUNK), "the connection ends visibly unfinished");
    let ids = event_ids(&rest);
    assert!(ids.iter().copied().eq(1..=ids.len() as u32), "nothing is left out before the end");
}

#[tokio::test(start_paused = true)]
async fn a_complete_stream_is_not_kept_for_a_caller_who_does_not_read() {
    let bench = Bench::start(vec![vec![long_events(1..=30, 1000)]]).await;
    let mut caller = ask_without_reading(&bench, "r1").await;
    sleep(Duration::from_secs(1)).await;
    assert!(buffered(&bench) > 0, "more than the connection takes");
    sleep(Duration::from_secs(21)).await;
    assert_eq!(buffered(&bench), 0);
    assert!(timeout(Duration::from_secs(1), read_all(&mut caller)).await.is_ok(), "the connection is closed");
}

#[tokio::test(start_paused = true)]
async fn streams_with_large_events_share_a_bounded_buffer_and_all_of_them_end() {
    let streams = 40;
    let replies = (0..streams).map(|_| long_events(1..=1, 900_000)).collect();
    let bench = Bench::start(vec![replies]).await;
    let mut callers = Vec::new();
    for index in 0..streams {
        callers.push(ask_without_reading(&bench, &format!("r{index}")).await);
    }
    sleep(Duration::from_millis(200)).await;
    let waiting = buffered(&bench);
    assert!((8 << 20..=VM_BYTES).contains(&waiting), "{waiting} bytes of {streams} streams are buffered");
    let mut complete = 0;
    for caller in &mut callers {
        let answer = read_all(caller).await;
        complete += usize::from(event_ids(&answer) == [1] && answer.ends_with(LAST_CHUNK));
    }
    assert_eq!(complete, streams);
    assert_eq!(buffered(&bench), 0);
}

#[tokio::test(start_paused = true)]
async fn callers_who_do_not_read_do_not_hold_up_others() {
    let mut replies: Vec<Reply> = (0..60).map(|_| long_events(1..=200, 1000)).collect();
    replies.push(Reply::Write(stream(1..=9, LAST_CHUNK)));
    let bench = Bench::start(vec![replies]).await;
    let mut callers = Vec::new();
    for index in 0..60 {
        callers.push(ask_without_reading(&bench, &format!("r{index}")).await);
        sleep(Duration::from_millis(1)).await;
    }
    let began = Instant::now();
    let answer = bench.ask(&get("/stream/", "quick")).await;
    assert_eq!((status(&answer), event_ids(&answer).len()), ("200", 9));
    assert!(began.elapsed() < Duration::from_millis(100));
    // A caller who leaves frees what waited for him.
    drop(callers);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(buffered(&bench), 0);
}

#[tokio::test(start_paused = true)]
async fn a_caller_who_reads_a_little_at_a_time_is_served_until_the_deadline() {
    let bench = Bench::start(vec![vec![long_events(1..=40, 1000)]]).await;
    let mut caller = ask_without_reading(&bench, "r1").await;
    let mut answer = Vec::new();
    let mut buf = [0; 8192];
    loop {
        sleep(Duration::from_millis(500)).await;
        match caller.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&buf[..length]),
        }
    }
    let answer = String::from_utf8_lossy(&answer);
    assert!(event_ids(&answer).into_iter().eq(1..=40) && answer.ends_with(LAST_CHUNK), "{}", answer.len());
}
