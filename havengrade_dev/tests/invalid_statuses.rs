//! Endpoints and services whose answers have a status that is none of a final answer of HTTP.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use havengrade_dev::{
    fabric::{Fabric as _, Pipes},
    stand_in::published::{LAST_CHUNK, Replies, Reply, signed},
};
use havengrade_router::{
    http::{ConnectionReuse, HttpClient, get},
    net::{BoxConnection, Listener, Network},
    published::connection_pool::{ConnectionError, ConnectionPool},
};
use http_body_util::Full;
use hyper::Request;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, duplex},
    time::sleep,
};

use support::{
    one_router::start_endpoint,
    published::{Bench, FIRST_ENDPOINT, ROUTER, get as get_published, status, stream},
};

/// Statuses that no final answer has. 101 ends HTTP on its connection, which no request asks for.
const INVALID: [&str; 9] = ["000", "001", "099", "101", "600", "601", "799", "998", "999"];
/// The first and the last status of a final answer.
const FINAL: [&str; 2] = ["200", "599"];

/// A whole answer with its signature.
fn answer(status: &str) -> String {
    format!(
        "HTTP/1.1 {status} Odd\r\nhavengrade-request: {{id}}\r\nhavengrade-signature: s\r\ncontent-length: 3\r\n\r\nodd"
    )
}

/// Guards against bytes of an endpoint in trouble that a caller gets as its answer.
#[tokio::test(start_paused = true)]
async fn an_invalid_status_is_no_answer_to_a_request() {
    let replies = Replies::default();
    let bench = Bench::start_with(vec![replies.clone(); 3]).await;
    for invalid in INVALID {
        let whole = signed("done");
        let events = Reply::Write(stream(1..=2, LAST_CHUNK));
        let cases = [("/once/", "502", whole.clone()), ("/read/", "200", whole), ("/stream/", "200", events)];
        for (path, expected, next) in cases {
            let id = format!("{path}{invalid}");
            *replies.lock().unwrap() = vec![Reply::Write(answer(invalid)), next].into();
            let received = bench.ask(&get_published(path, &id)).await;
            assert_eq!(status(&received), expected, "{path} {invalid}: {received}");
            assert!(!received.contains("odd") && !received.contains("Odd"), "{path} {invalid}: {received}");
            let attempts = bench.arrivals().iter().filter(|arrived| **arrived == id).count();
            assert_eq!(attempts, if path == "/once/" { 1 } else { 2 }, "{path} {invalid}");
            replies.lock().unwrap().clear();
            // Endpoints that fail are left out for a time.
            sleep(Duration::from_secs(3)).await;
        }
    }
}

/// Guards against an invalid status on the connections to endpoints, and to other VMs, which are of the same kind.
#[tokio::test(start_paused = true)]
async fn an_invalid_status_fails_its_connection() {
    for code in INVALID.into_iter().chain(FINAL) {
        let pipes = Pipes::default();
        let _endpoint = start_endpoint(&*pipes.network(FIRST_ENDPOINT), vec![Reply::Write(answer(code))]).await;
        let pool = ConnectionPool::new(pipes.network(ROUTER), Duration::from_secs(1));
        let at = pipes.address(FIRST_ENDPOINT, 0);
        let mut connection = pool.acquire("e0", at, Duration::ZERO, SystemTime::UNIX_EPOCH).await.unwrap();
        let sent = connection.send(Request::new(Full::new(Bytes::new()))).await;
        // Whoever sent it must not take it for one that did not run.
        let may_have_run =
            !matches!(sent, Ok(_) | Err(ConnectionError::NotConnected { .. } | ConnectionError::NotSent { .. }));
        assert_eq!(may_have_run, INVALID.contains(&code), "{code}");
    }
}

/// A network whose server answers with a status.
struct OddServer(&'static str);

#[async_trait]
impl Network for OddServer {
    async fn connect(&self, _to: SocketAddr) -> io::Result<BoxConnection> {
        let (near, mut far) = duplex(4 << 10);
        let answer = answer(self.0);
        tokio::spawn(async move {
            let mut request = [0; 1024];
            let _ = far.read(&mut request).await;
            let _ = far.write_all(answer.as_bytes()).await;
            sleep(Duration::from_secs(1)).await;
        });
        Ok(Box::new(near))
    }

    async fn bind(&self, _at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

/// Guards against an invalid status that the router's own interface, or the client of the store, takes for an answer.
#[tokio::test(start_paused = true)]
async fn an_invalid_status_is_no_answer_for_the_http_client() {
    for code in INVALID.into_iter().chain(FINAL) {
        let client = HttpClient::new(Arc::new(OddServer(code)), Duration::from_secs(1));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 80));
        let request = get(&format!("http://{address}/"));
        let limit = Duration::from_secs(10);
        let answer = client.call(address, request, ConnectionReuse::Never, limit, 1 << 20).await;
        let may_have_run = answer.as_ref().is_err_and(|error| !error.is_known_not_sent());
        assert_eq!(may_have_run, INVALID.contains(&code), "{code}: {answer:?}");
    }
}
