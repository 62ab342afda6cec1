//! Requests that a VM without any reachable endpoint relays to another one: streams, callers who leave, and endpoints
//! that refuse connections, on a paused clock.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use async_trait::async_trait;
use havengrade_dev::{
    fabric::{Fabric as _, Host},
    stand_in::{
        memory_store::MemoryStore,
        published::{LAST_CHUNK, Replies, Reply, ScriptedEndpoint, chunk, event, signed_late},
    },
};
use havengrade_router::{
    net::{BoxConnection, DatagramSocket, Listener, Network},
    published::router::PublishedRouter,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf},
    time::{Instant, sleep, timeout},
};

use support::published::{Bench, CALLERS, FIRST_ENDPOINT, ROUTER, event_ids, get, start_vm, status, stream};

const ENDPOINTS: Host = 3;
const OTHER_ROUTER: Host = 2;
const FRAIL_ROUTER: Host = 3;
/// Time limit of the requests, and the time past it by which their callers must see an end.
const TIME_LIMIT: Duration = Duration::from_secs(9);
const END_SLACK: Duration = Duration::from_millis(500);
/// Time within which an event that an endpoint has made reaches the caller.
const EVENT_TIME: Duration = Duration::from_millis(500);

/// Two VMs whose endpoints share their replies.
async fn start_two(replies: Vec<Reply>) -> (Bench, PublishedRouter) {
    let replies: Replies = Arc::new(Mutex::new(replies.into()));
    let bench = Bench::begin(vec![replies; usize::from(ENDPOINTS)], MemoryStore::default()).await;
    let other = start_other(&bench).await;
    sleep(Duration::from_secs(3)).await;
    (bench, other)
}

/// Cuts the first VM off from all endpoints.
fn cut_off(bench: &Bench) {
    for endpoint in FIRST_ENDPOINT..FIRST_ENDPOINT + ENDPOINTS {
        bench.pipes.cut(ROUTER, endpoint);
        bench.pipes.cut(endpoint, ROUTER);
    }
}

/// Two VMs of which the first one reaches no endpoint and knows it; the endpoints share their replies.
async fn start(replies: Vec<Reply>, first: Reply) -> (Bench, PublishedRouter) {
    let (bench, other) = start_two(std::iter::once(first).chain(replies).collect()).await;
    cut_off(&bench);
    // The first request finds that no endpoint is reached.
    assert_eq!(status(&bench.ask(&get("/read/", "first")).await), "200");
    (bench, other)
}

async fn start_other(bench: &Bench) -> PublishedRouter {
    start_vm(bench, OTHER_ROUTER, bench.pipes.network(OTHER_ROUTER)).await
}

/// A stream whose first two events come at once and whose other two come one by one, each after a pause.
fn paused_stream(pause: Duration) -> Reply {
    Reply::Pieces(vec![stream(1..=2, ""), event(3), event(4) + LAST_CHUNK], pause)
}

/// Reads from a connection until the first two events of a stream have come, each of them within a time.
async fn read_two_events(connection: &mut BoxConnection, within: Duration) -> Vec<u8> {
    let mut answer = Vec::new();
    while event_ids(&String::from_utf8_lossy(&answer)).len() < 2 {
        let read = timeout(within, connection.read_buf(&mut answer)).await;
        assert!(read.expect("the first events arrive before the others are made").unwrap() > 0);
    }
    answer
}

fn ok() -> Reply {
    signed_late("first", Duration::ZERO)
}

#[tokio::test(start_paused = true)]
async fn a_relayed_stream_arrives_event_by_event_and_whole() {
    let (bench, _other) = start(vec![paused_stream(Duration::from_secs(1))], ok()).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/stream/", "r1").as_bytes()).await.unwrap();
    let mut answer = read_two_events(&mut connection, EVENT_TIME).await;
    connection.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(event_ids(&answer), [1, 2, 3, 4], "{answer}");
    assert!(answer.ends_with(LAST_CHUNK) && answer.contains("havengrade-signature"), "{answer}");
}

/// Guards against an answer that another VM breaks off and that looks complete to the caller.
#[tokio::test(start_paused = true)]
async fn a_relayed_stream_that_breaks_off_ends_visibly_unfinished() {
    let broken = || Reply::Close(stream(1..=2, ""));
    let failed = || Reply::Close(String::new());
    let (bench, _other) = start(vec![broken(), failed(), failed(), failed()], ok()).await;
    let answer = bench.ask(&get("/stream/", "r1")).await;
    assert_eq!(event_ids(&answer), [1, 2], "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK));
}

/// Guards against endpoints that work on for a caller who has left the VM that relays his request.
#[tokio::test(start_paused = true)]
async fn an_endpoint_is_told_that_the_caller_of_a_relayed_request_left() {
    for path in ["/read/", "/stream/"] {
        let (bench, _other) = start(vec![Reply::Hang], ok()).await;
        let closed = |bench: &Bench| bench.endpoints.iter().map(ScriptedEndpoint::closed).sum::<u32>();
        let mut connection = bench.connect(0).await;
        connection.write_all(get(path, "r1").as_bytes()).await.unwrap();
        sleep(Duration::from_millis(200)).await;
        let before = closed(&bench);
        drop(connection);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(closed(&bench), before + 1, "{path}: the connection to the endpoint stays open");
    }
}

/// Guards against a request that is sent again after the VM it was relayed to may have run it.
#[tokio::test(start_paused = true)]
async fn a_relayed_request_whose_vm_is_lost_is_not_called_unrun() {
    let (bench, other) = start(vec![signed_late("late", Duration::from_secs(5))], ok()).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/once/", "r1").as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    other.kill();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();
    assert_eq!(status(&answer), "502", "{answer}");
    assert_eq!(bench.arrivals().iter().filter(|id| *id == "r1").count(), 1);
}

/// Guards against a request that another VM tries as often as one that was not sent before it was relayed.
#[tokio::test(start_paused = true)]
async fn attempts_before_and_after_a_relay_count_together() {
    let broken = || Reply::Close(String::new());
    let (bench, _other) = start_two(vec![Reply::Hang, broken(), broken(), broken(), broken()]).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/read/", "r1").as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    cut_off(&bench);
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();
    assert_eq!(status(&answer), "502", "{answer}");
    let arrivals = bench.arrivals().iter().filter(|id| *id == "r1").count();
    assert_eq!(arrivals, 3, "the route allows three attempts");
}

/// Guards against a stream without an end while the VM that it comes through is frozen.
#[tokio::test(start_paused = true)]
async fn a_relayed_stream_whose_vm_freezes_ends_visibly_unfinished_at_its_time_limit() {
    let (bench, _other) = start(vec![paused_stream(Duration::from_secs(1))], ok()).await;
    let mut connection = bench.connect(0).await;
    let sent = Instant::now();
    connection.write_all(get("/stream/", "r1").as_bytes()).await.unwrap();
    let mut answer = read_two_events(&mut connection, EVENT_TIME).await;
    bench.pipes.cut(ROUTER, OTHER_ROUTER);
    bench.pipes.cut(OTHER_ROUTER, ROUTER);
    let ended = timeout(Duration::from_secs(60), connection.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "the stream has no end {:?} after its request", sent.elapsed());
    assert!((TIME_LIMIT..TIME_LIMIT + END_SLACK).contains(&sent.elapsed()), "ended after {:?}", sent.elapsed());
    assert!(!answer.ends_with(LAST_CHUNK.as_bytes()), "{}", String::from_utf8_lossy(&answer));
    let shared = &bench.router.context().shared;
    assert_eq!(shared.in_progress.load(Ordering::Relaxed), 0, "requests in progress");
}

/// Guards against a relayed stream that counts as in progress as long as its caller keeps a connection that he does not
/// read.
#[tokio::test(start_paused = true)]
async fn a_relayed_stream_whose_caller_does_not_read_ends_after_its_time_limit() {
    /// Time limit of the route, which a caller has for what waits for him after the end of a stream.
    const ROUTE_TIME_LIMIT: Duration = Duration::from_secs(10);
    let events: String = (1..=1000).map(|id| chunk(&format!("id: {id}\ndata: {}\n\n", "x".repeat(1000)))).collect();
    let (bench, _other) = start(vec![Reply::Write(stream(1..=1, "") + &events + LAST_CHUNK)], ok()).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/stream/", "r1").as_bytes()).await.unwrap();
    let in_progress = || bench.router.context().shared.in_progress.load(Ordering::Relaxed);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(in_progress(), 1, "the stream is more than what is buffered for its caller");
    sleep(TIME_LIMIT + ROUTE_TIME_LIMIT).await;
    assert_eq!(in_progress(), 0, "requests in progress");
}

/// Guards against relayed streams that are cut by a planned stop of the VM that they come through.
#[tokio::test(start_paused = true)]
async fn a_relayed_stream_outlives_the_planned_stop_of_the_vm_that_it_comes_through() {
    let (bench, other) = start(vec![paused_stream(Duration::from_millis(1900)), ok()], ok()).await;
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/stream/", "r1").as_bytes()).await.unwrap();
    let mut answer = read_two_events(&mut connection, EVENT_TIME).await;
    let shared = other.context().shared.clone();
    shared.start_drain(shared.clock.now());
    let stop = async {
        assert!(other.wait_for_drain().await, "the planned stop reached its time limit");
        other.stop().await;
    };
    let ((), read) = tokio::join!(stop, connection.read_to_end(&mut answer));
    read.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(event_ids(&answer), [1, 2, 3, 4], "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

/// Sends many streams through another VM and ends it during them; returns how many look complete to their callers.
async fn complete_streams_of_an_ended_vm(end: impl AsyncFnOnce(PublishedRouter)) -> usize {
    const STREAMS: usize = 40;
    let replies = vec![paused_stream(Duration::from_secs(8)); STREAMS];
    let (bench, other) = start(replies, ok()).await;
    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let mut connection = bench.connect(0).await;
        connection.write_all(get("/stream/", &format!("s{index}")).as_bytes()).await.unwrap();
        let mut answer = read_two_events(&mut connection, TIME_LIMIT).await;
        streams.push(tokio::spawn(async move {
            // A stream that is broken off ends in an error after what was read.
            let _ = connection.read_to_end(&mut answer).await;
            answer.ends_with(LAST_CHUNK.as_bytes())
        }));
    }
    end(other).await;
    let ended = futures::future::join_all(streams).await;
    ended.into_iter().filter(|is_complete| *is_complete.as_ref().unwrap()).count()
}

/// Guards against relayed streams that look complete because the VM that they come through was stopped or killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relayed_streams_cut_by_the_end_of_the_vm_that_they_come_through_never_look_complete() {
    assert_eq!(complete_streams_of_an_ended_vm(async |other| other.kill()).await, 0, "of a VM that was killed");
    assert_eq!(complete_streams_of_an_ended_vm(async |other| other.stop().await).await, 0, "of a VM that was stopped");
}

/// A network whose connections panic when they are read, once they are told to.
struct FrailNetwork {
    network: Arc<dyn Network>,
    fails: Arc<AtomicBool>,
}

#[async_trait]
impl Network for FrailNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection> {
        let connection = self.network.connect(to).await?;
        Ok(Box::new(FrailConnection { connection, fails: self.fails.clone() }))
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.network.bind(at).await
    }

    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<Arc<dyn DatagramSocket>> {
        self.network.bind_datagrams(at).await
    }
}

struct FrailConnection {
    connection: BoxConnection,
    fails: Arc<AtomicBool>,
}

impl AsyncRead for FrailConnection {
    fn poll_read(mut self: Pin<&mut Self>, task: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.connection).poll_read(task, buf);
        assert!(!self.fails.load(Ordering::Relaxed) || polled.is_pending(), "the test ends the task of a connection");
        polled
    }
}

impl AsyncWrite for FrailConnection {
    fn poll_write(mut self: Pin<&mut Self>, task: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(task, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(task)
    }
}

/// Guards against a stream that looks complete because the task that reads it from another VM panicked.
#[tokio::test(start_paused = true)]
async fn a_relayed_stream_whose_connection_task_panics_never_looks_complete() {
    let (bench, _other) = start_two(vec![ok(), paused_stream(Duration::from_secs(1))]).await;
    let fails = Arc::new(AtomicBool::new(false));
    let network = Arc::new(FrailNetwork { network: bench.pipes.network(FRAIL_ROUTER), fails: fails.clone() });
    let _frail = start_vm(&bench, FRAIL_ROUTER, network).await;
    sleep(Duration::from_secs(3)).await;
    for endpoint in FIRST_ENDPOINT..FIRST_ENDPOINT + ENDPOINTS {
        bench.pipes.cut(FRAIL_ROUTER, endpoint);
        bench.pipes.cut(endpoint, FRAIL_ROUTER);
    }
    let connect = async || bench.pipes.network(CALLERS).connect(bench.pipes.address(FRAIL_ROUTER, 0)).await.unwrap();
    let mut connection = connect().await;
    connection.write_all(get("/read/", "first").as_bytes()).await.unwrap();
    let mut first = String::new();
    connection.read_to_string(&mut first).await.unwrap();
    assert_eq!(status(&first), "200", "{first}");
    let mut connection = connect().await;
    connection.write_all(get("/stream/", "r1").as_bytes()).await.unwrap();
    let mut answer = read_two_events(&mut connection, EVENT_TIME).await;
    fails.store(true, Ordering::Relaxed);
    // A stream that is broken off ends in an error after what was read.
    let _ = connection.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(event_ids(&answer), [1, 2], "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}
