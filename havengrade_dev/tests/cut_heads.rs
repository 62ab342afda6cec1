//! Endpoints that stop in the middle of the head of an answer and close the connection.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_trait::async_trait;
use havengrade_dev::stand_in::{
    memory_store::MemoryStore,
    published::{LAST_CHUNK, Replies, Reply, STREAM_HEAD, event, signed},
};
use havengrade_router::{
    http::{ConnectionReuse, HttpClient, get},
    net::{BoxConnection, Listener, Network},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, duplex},
    time::sleep,
};

use support::published::{Bench, FIRST_ENDPOINT, ROUTER, get as get_published, start_vm, status};

const ENDPOINTS: u16 = 3;
/// Heads of whole answers with a length, in chunks and up to the end of the connection, and of a stream.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\ncontent-length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\n\r\n",
    STREAM_HEAD,
];
/// Time for which endpoints that failed are left out.
const EJECTION_TIME: Duration = Duration::from_secs(3);

/// A sound answer of each kind of route.
fn sound(path: &str) -> Reply {
    if path == "/stream/" {
        return Reply::Write(format!("{STREAM_HEAD}{}{LAST_CHUNK}", event(1)));
    }
    signed("done")
}

/// Asks on each kind of route for an answer whose head is cut at each byte.
async fn check(is_relayed: bool) {
    let replies = Replies::default();
    let bench = Bench::begin(vec![replies.clone(); usize::from(ENDPOINTS)], MemoryStore::default()).await;
    let _other = start_vm(&bench, 2, bench.network(2)).await;
    sleep(EJECTION_TIME).await;
    if is_relayed {
        for endpoint in FIRST_ENDPOINT..FIRST_ENDPOINT + ENDPOINTS {
            bench.pipes.cut(ROUTER, endpoint);
            bench.pipes.cut(endpoint, ROUTER);
        }
        assert_eq!(status(&bench.ask(&get_published("/read/", "first")).await), "200");
    }
    for (number, head) in HEADS.into_iter().enumerate() {
        for cut in 0..head.len() {
            for path in ["/once/", "/read/", "/stream/"] {
                sleep(EJECTION_TIME).await;
                *replies.lock().unwrap() = vec![Reply::Close(head[..cut].to_owned()), sound(path)].into();
                let answer = bench.ask(&get_published(path, &format!("{path}{number}-{cut}"))).await;
                replies.lock().unwrap().clear();
                let case = format!("{path} {:?}, relayed: {is_relayed}", &head[..cut]);
                match path {
                    "/once/" => assert_eq!(status(&answer), "502", "{case}: {answer}"),
                    "/read/" => assert!(status(&answer) == "200" && answer.ends_with("done"), "{case}: {answer}"),
                    _ => assert!(answer.contains("piece 1") && answer.ends_with(LAST_CHUNK), "{case}: {answer}"),
                }
            }
        }
    }
}

/// Guards against a part of a head that callers get as a whole answer with an empty or short body.
#[tokio::test(start_paused = true)]
async fn a_cut_head_is_no_answer() {
    for is_relayed in [false, true] {
        check(is_relayed).await;
    }
}

/// Guards against the same on a connection on which an earlier request was answered.
#[tokio::test(start_paused = true)]
async fn a_cut_head_on_a_kept_connection_is_no_answer() {
    let replies = Replies::default();
    let bench = Bench::start_with(vec![replies.clone()]).await;
    let mut cuts = 0;
    for (number, head) in HEADS.into_iter().enumerate() {
        for cut in 0..head.len() {
            *replies.lock().unwrap() = vec![signed("done"), Reply::Close(head[..cut].to_owned())].into();
            let [first, second] =
                ["first", "second"].map(|name| get_published("/once/", &format!("{number}-{cut}-{name}")));
            assert_eq!(status(&bench.ask(&first).await), "200");
            assert_eq!(status(&bench.ask(&second).await), "502", "{:?}", &head[..cut]);
            cuts += 1;
            sleep(EJECTION_TIME).await;
            // After each cut the router probes the endpoint, on a connection that is closed once it was idle.
            assert_eq!(bench.endpoints[0].closed(), 2 * cuts - 1, "both requests came on one connection");
        }
    }
}

/// A network whose server closes its connections within the head of an answer.
struct CuttingServer(&'static str);

#[async_trait]
impl Network for CuttingServer {
    async fn connect(&self, _to: SocketAddr) -> io::Result<BoxConnection> {
        let (near, mut far) = duplex(4 << 10);
        let answer = self.0;
        tokio::spawn(async move {
            let mut request = [0; 1024];
            let _ = far.read(&mut request).await;
            let _ = far.write_all(answer.as_bytes()).await;
        });
        Ok(Box::new(near))
    }

    async fn bind(&self, _at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

/// Guards against the same at the router's own interface and at the store.
#[tokio::test(start_paused = true)]
async fn a_cut_head_is_no_answer_for_the_http_client() {
    for head in HEADS {
        for cut in 0..head.len() {
            let client = HttpClient::new(Arc::new(CuttingServer(&head[..cut])), Duration::from_secs(1));
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 80));
            let request = get(&format!("http://{address}/"));
            let answer = client.call(address, request, ConnectionReuse::Never, Duration::from_secs(10), 1 << 20).await;
            assert!(answer.is_err_and(|error| !error.is_known_not_sent()), "{:?}", &head[..cut]);
        }
    }
}
