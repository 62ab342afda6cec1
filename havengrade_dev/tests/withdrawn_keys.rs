//! Keys of client accounts of the router's own interface that operators withdraw while a request arrives.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_router::published::{config_ports::ports, ports::OperatorEvent};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::sleep,
};

use support::{Bench, chat};

/// Guards against a request that runs for a client account which was removed while its body arrived.
///
/// The account was looked up when the head had been read, and that copy was used for routing and limits, while the age
/// was that of the newer configuration.
#[tokio::test(start_paused = true)]
async fn a_request_whose_account_is_removed_while_its_body_arrives_does_not_run() {
    let bench = Bench::start(3).await;
    let body = r#"{"messages":[{"role":"user","content":"ripe?"}]}"#;
    let (first, rest) = body.split_at(10);
    let mut connection = bench.open(0, 0).await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer harvest.demo\r\n\
         x-havengrade-class: lot-question\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{first}",
        body.len()
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    bench.fleet.remove_account_at_once("remove-harvest", "harvest");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(bench.ask("harvest", 0, &chat("lot-question", "new")).await.status.as_u16(), 401);
    connection.write_all(rest.as_bytes()).await.unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let runs: usize = bench.fleet.engines.values().map(|engine| engine.started().len()).sum();
    assert_eq!(runs, 0, "an engine ran the request");
}

/// Guards against a feed of published routes that confirms a configuration which it has not returned.
///
/// The time of the confirmation was read when it was asked for, not when the configuration was.
#[tokio::test(start_paused = true)]
async fn the_feed_of_published_routes_confirms_what_it_returned() {
    let bench = Bench::start(3).await;
    let cx = bench.fleet.routers["vm-1"].context();
    let mut feed = ports(cx).operators;
    let read_at = cx.shared.clock.now();
    let events = feed.next(Duration::ZERO).await.unwrap();
    assert!(matches!(events.as_slice(), [OperatorEvent::Publication(_)]));
    bench.fleet.remove_account_at_once("remove-harvest", "harvest");
    // Longer than a read of the log waits for a record.
    sleep(Duration::from_secs(30)).await;
    let asked = cx.shared.clock.now();
    assert!(feed.confirmed_at(asked).unwrap() <= read_at, "the configuration that was read is confirmed for later");
    let events = feed.next(Duration::ZERO).await.unwrap();
    assert!(matches!(events.as_slice(), [OperatorEvent::Publication(_)]), "the change is not returned");
    assert!(feed.confirmed_at(asked).unwrap() > read_at);
}
