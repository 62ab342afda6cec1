//! Keys of client accounts of the router's own interface that operators withdraw while a request arrives.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

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
