//! Streams of published routes from end to end, taken up elsewhere where one breaks off, on a paused clock.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_core::published::directory::DirectoryEvent;
use havengrade_dev::stand_in::published::{LAST_CHUNK, Reply, STREAM_HEAD, ScriptedEndpoint, chunk, event, signed};
use support::published::{Bench, NOT_RUN, event_ids, get, listed, read_all, request, status, stream};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{Instant, sleep, timeout},
};

#[tokio::test(start_paused = true)]
async fn a_stream_that_breaks_off_goes_on_at_another_endpoint() {
    let half = chunk("id: 4\ndata: pie");
    let first = Reply::Close(stream(1..=3, &half));
    let rest = Reply::Write(stream(4..=6, LAST_CHUNK));
    let bench = Bench::start_shared(2, vec![first, rest]).await;
    let answer = bench.ask(&get("/stream/", "r1")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6], "{answer}");
    assert!(!answer.contains("pie\n") && answer.ends_with(LAST_CHUNK));
    let resumed = bench.endpoints.iter().flat_map(ScriptedEndpoint::seen);
    let after: Vec<_> = resumed.filter_map(|seen| seen.header("last-event-id").map(str::to_owned)).collect();
    assert_eq!(after, ["3"]);
}

/// Guards against streams whose lines end with CRLF, which were never forwarded: only two line feeds ended an event.
#[tokio::test(start_paused = true)]
async fn events_with_crlf_line_ends_are_passed_on_and_resumed_like_others() {
    let crlf = |events: std::ops::RangeInclusive<u32>| -> String {
        events.map(|id| chunk(&format!("id: {id}\r\ndata: piece {id}\r\n\r\n"))).collect()
    };
    // An end of an event may be divided between two chunks.
    let half = chunk("id: 3\r\ndata: piece 3\r\n\r") + &chunk("\nid: 4\r\ndata: pie");
    let first = Reply::Close(format!("{STREAM_HEAD}{}{half}", crlf(1..=2)));
    let rest = Reply::Write(format!("{STREAM_HEAD}{}{LAST_CHUNK}", crlf(4..=6)));
    let bench = Bench::start_shared(2, vec![first, rest]).await;
    let answer = bench.ask(&get("/stream/", "r1")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6], "{answer}");
    assert!(answer.ends_with(LAST_CHUNK));
    let resumed = bench.endpoints.iter().flat_map(ScriptedEndpoint::seen);
    let after: Vec<_> = resumed.filter_map(|seen| seen.header("last-event-id").map(str::to_owned)).collect();
    assert_eq!(after, ["3"]);
}

#[tokio::test(start_paused = true)]
async fn endpoints_that_refuse_connections_cost_no_retries() {
    let broken = Reply::Close(stream(1..=2, ""));
    let replies: Vec<Reply> =
        std::iter::repeat_n([broken, Reply::Write(stream(3..=4, LAST_CHUNK))], 8).flatten().collect();
    let bench = Bench::start_shared(2, replies).await;
    for dead in 2..5 {
        bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, dead, "v1")));
    }
    sleep(Duration::from_secs(1)).await;
    for id in 0..8 {
        let answer = bench.ask(&get("/stream/", &format!("r{id}"))).await;
        assert_eq!(event_ids(&answer), [1, 2, 3, 4], "request {id}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_can_not_go_on_ends_visibly_unfinished() {
    let broken = || Reply::Close(stream(1..=2, ""));
    let refused = || Reply::Write(NOT_RUN.into());
    let bench = Bench::start(vec![vec![broken(), refused(), refused(), refused()]]).await;
    let answer = bench.ask(&get("/stream/", "r1")).await;
    assert_eq!(event_ids(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK));
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_falls_silent_goes_on_at_another_endpoint() {
    let silent = Reply::Pieces(vec![stream(1..=2, ""), String::new()], Duration::from_secs(60));
    let rest = Reply::Write(stream(3..=4, LAST_CHUNK));
    let bench = Bench::start_shared(2, vec![silent, rest]).await;
    let began = Instant::now();
    let answer = timeout(Duration::from_secs(9), bench.ask(&get("/stream/", "r1"))).await.unwrap();
    assert_eq!(event_ids(&answer), [1, 2, 3, 4]);
    assert!(began.elapsed() < Duration::from_secs(4));
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_says_nothing_at_all_is_replaced_where_the_request_may_be_repeated() {
    for (path, rest) in [("/stream/", Reply::Write(stream(1..=2, LAST_CHUNK))), ("/read/", signed("done"))] {
        let bench = Bench::start_shared(2, vec![Reply::Hang, rest]).await;
        let began = Instant::now();
        let answer = bench.ask(&get(path, "r1")).await;
        assert_eq!(status(&answer), "200", "{path}");
        assert!(began.elapsed() < Duration::from_secs(4), "{path}: {:?}", began.elapsed());
    }
    let bench = Bench::start_shared(2, vec![Reply::Hang, signed("again")]).await;
    assert_eq!(status(&bench.ask(&get("/once/", "r2")).await), "502");
    assert_eq!(bench.arrivals().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn events_are_passed_on_as_they_come() {
    let pieces = vec![stream(1..=1, ""), event(2), LAST_CHUNK.into()];
    let bench = Bench::start(vec![vec![Reply::Pieces(pieces, Duration::from_millis(500))]]).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/stream/", "r1").as_bytes()).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let mut buf = [0; 4096];
    let length = connection.read(&mut buf).await.unwrap();
    assert_eq!(event_ids(&String::from_utf8_lossy(&buf[..length])), [1]);
    assert_eq!(event_ids(&read_all(&mut connection).await), [2]);
}

fn doubtful(confidence: u32) -> Reply {
    let head = STREAM_HEAD.replace("content-type", &format!("havengrade-confidence: {confidence}\r\ncontent-type"));
    Reply::Write(format!("{head}{}{LAST_CHUNK}", event(1)))
}

#[tokio::test(start_paused = true)]
async fn the_largest_model_is_asked_where_a_small_one_doubts() {
    for (confidence, models) in [(20, vec!["small", "large"]), (90, vec!["small"])] {
        let bench = Bench::start(vec![vec![doubtful(confidence), doubtful(30)]]).await;
        let any = request("POST", "/sized/", "r1", "havengrade-model: any\r\n", "");
        assert_eq!(status(&bench.ask(&any).await), "200");
        let asked: Vec<_> =
            bench.log_of(0).iter().map(|seen| seen.header("havengrade-model").unwrap().to_owned()).collect();
        assert_eq!(asked, models);
    }
}
