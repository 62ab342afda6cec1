//! Answers that the HTTP client of the router's own interface gives up before their end, on a paused clock.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use havengrade_dev::fabric::{Fabric as _, Pipes};
use havengrade_router::{
    http::{ConnectionReuse, HttpClient, post},
    net::BoxConnection,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

/// Size of a request that no connection buffers.
const REQUEST_BYTES: usize = 1 << 20;
/// Time after which the connection of an answer that was given up must be closed.
const CLOSE_TIME: Duration = Duration::from_secs(60);

/// Reads the first bytes of a request only and answers without end, until the connection is closed.
async fn answer_without_reading(mut connection: BoxConnection) {
    let mut buf = [0; 1024];
    connection.read_exact(&mut buf).await.unwrap();
    connection.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
    while connection.write_all(&buf).await.is_ok() {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against connections that stay open for as long as an endpoint does not read, although its answer was given up.
#[tokio::test(start_paused = true)]
async fn the_connection_of_an_abandoned_answer_is_closed_although_its_request_is_not_read() {
    let pipes = Pipes::default();
    let address: SocketAddr = pipes.address(2, 0);
    let mut listener = pipes.network(2).bind(address).await.unwrap();
    let server = AbortOnDropHandle::new(tokio::spawn(async move {
        answer_without_reading(listener.accept().await.unwrap()).await;
    }));
    let client = HttpClient::new(pipes.network(1), Duration::from_secs(1));
    let request = post(&format!("http://{address}/"), "x".repeat(REQUEST_BYTES));
    let answer = client.send(address, request, ConnectionReuse::Allowed, Duration::from_secs(5)).await.unwrap();
    drop(answer);
    assert!(timeout(CLOSE_TIME, server).await.is_ok(), "the connection is still open");
}
