//! One router of published routes before a store and endpoints that misbehave, on a paused clock.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    directory::{DirectoryEvent, ListedEndpoint},
    route::{AnswerShape, Publication, PublishedAccount, PublishedRoute, Repeat, RouteTarget},
};
use havengrade_dev::{
    fabric::{Fabric as _, Host, Pipes},
    stand_in::{
        memory_store::MemoryStore,
        published::{Replies, Reply, STREAM_HEAD, ScriptedEndpoint, event},
    },
};
use havengrade_router::{
    clock::Clock,
    net::{BoxConnection, Network},
    published::{ports::OperatorEvent, router::PublishedRouter},
    router::RouterEnvironment,
    settings::Settings,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    runtime::Handle,
    time::sleep,
};

pub(crate) const ROUTER: Host = 1;
pub(crate) const FIRST_ENDPOINT: Host = 100;
pub(crate) const CALLERS: Host = 250;

pub(crate) struct Bench {
    pub(crate) pipes: Pipes,
    pub(crate) store: MemoryStore,
    pub(crate) router: PublishedRouter,
    pub(crate) endpoints: Vec<ScriptedEndpoint>,
}

pub(crate) fn route(name: &str, prefix: &str, repeat: Repeat, shape: AnswerShape) -> PublishedRoute {
    PublishedRoute {
        name: name.into(),
        host: "office.example".into(),
        path_prefix: prefix.into(),
        repeat,
        shape,
        time_limit: Duration::from_secs(10),
        target: Duration::from_secs(1),
        pause_target: Some(Duration::from_secs(1)),
        priority: 0,
        targets: vec![RouteTarget { service: "events".into(), weight: 1 }],
        max_tries: 3,
        is_public: false,
        models: Vec::new(),
    }
}

pub(crate) fn publication(version: u64, keys: &[&str]) -> Publication {
    let events = AnswerShape::Events { is_resumable: true };
    let mut open = route("open", "/open/", Repeat::Allowed, AnswerShape::Whole);
    open.is_public = true;
    let mut sized = route("sized", "/sized/", Repeat::Allowed, events);
    sized.models = vec!["small".into(), "large".into()];
    Publication {
        version,
        routes: vec![
            route("read", "/read/", Repeat::Allowed, AnswerShape::Whole),
            route("once", "/once/", Repeat::Never, AnswerShape::Whole),
            route("stream", "/stream/", Repeat::Never, events),
            open,
            sized,
        ],
        accounts: Some(vec![PublishedAccount {
            name: "gate".into(),
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            priority: None,
        }]),
        ..Publication::default()
    }
}

pub(crate) fn listed(pipes: &Pipes, index: Host, version: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{index}"),
        service: "events".into(),
        address: pipes.address(FIRST_ENDPOINT + index, 0),
        failure_domain: "domain-1".into(),
        version: version.into(),
        slots: 8,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    }
}

impl Bench {
    /// A router before endpoints with these replies, once it is ready.
    pub(crate) async fn start(replies: Vec<Vec<Reply>>) -> Self {
        Self::start_with(replies.into_iter().map(|replies| Arc::new(Mutex::new(replies.into()))).collect()).await
    }

    /// A router before so many endpoints that share their replies, whichever is asked first.
    pub(crate) async fn start_shared(endpoints: usize, replies: Vec<Reply>) -> Self {
        let replies: Replies = Arc::new(Mutex::new(replies.into()));
        Self::start_with(vec![replies; endpoints]).await
    }

    pub(crate) async fn start_with(replies: Vec<Replies>) -> Self {
        let bench = Self::begin(replies, MemoryStore::default()).await;
        bench.wait_until_ready().await;
        bench
    }

    pub(crate) async fn wait_until_ready(&self) {
        while !self.is_ready().await {
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// A router that has just started.
    pub(crate) async fn begin(replies: Vec<Replies>, store: MemoryStore) -> Self {
        let origin = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        Self::begin_with(replies, store, Settings::default(), Clock::starting_at(origin)).await
    }

    /// A router that has just started with these settings, but for its addresses, and this clock.
    pub(crate) async fn begin_with(
        replies: Vec<Replies>,
        store: MemoryStore,
        mut settings: Settings,
        clock: Clock,
    ) -> Self {
        let pipes = Pipes::default();
        let mut endpoints = Vec::new();
        for (index, replies) in (0..).zip(replies) {
            let host = FIRST_ENDPOINT + index;
            let at = pipes.address(host, 0);
            endpoints.push(ScriptedEndpoint::start(&*pipes.network(host), at, replies).await.unwrap());
            store.list(DirectoryEvent::Seen(listed(&pipes, index, "v1")));
        }
        store.operate(OperatorEvent::Publication(publication(1, &["k1"])));
        settings.published.callers = Some(pipes.address(ROUTER, 0));
        settings.listen.peers = pipes.address(ROUTER, 1);
        settings.published.readiness = pipes.address(ROUTER, 2);
        settings.published.metrics = pipes.address(ROUTER, 3);
        let parts = RouterEnvironment { network: pipes.network(ROUTER), clock, seed: 7 };
        let router = PublishedRouter::start(settings, parts, store.ports("vm-1"), &Handle::current()).await.unwrap();
        Self { pipes, store, router, endpoints }
    }

    pub(crate) fn network(&self, host: Host) -> Arc<dyn Network> {
        self.pipes.network(host)
    }

    pub(crate) async fn connect(&self, port: u16) -> BoxConnection {
        self.pipes.network(CALLERS).connect(self.pipes.address(ROUTER, port)).await.unwrap()
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let mut connection = self.connect(2).await;
        let question = b"GET /readiness HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        connection.write_all(question).await.unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.unwrap();
        answer.starts_with("HTTP/1.1 200")
    }

    /// Sends a request on a connection of its own and reads until the router closes it.
    pub(crate) async fn ask(&self, request: &str) -> String {
        let mut connection = self.connect(0).await;
        connection.write_all(request.as_bytes()).await.unwrap();
        read_all(&mut connection).await
    }

    /// Ids of the requests that reached endpoints, in no order.
    pub(crate) fn arrivals(&self) -> Vec<String> {
        let seen = self.endpoints.iter().flat_map(ScriptedEndpoint::seen);
        seen.map(|seen| seen.header("havengrade-request").unwrap_or_default().to_owned()).collect()
    }

    pub(crate) fn log_of(&self, index: usize) -> Vec<havengrade_dev::stand_in::published::Seen> {
        self.endpoints[index].seen()
    }
}

/// Starts a further VM before the endpoints of a bench.
pub(crate) async fn start_vm(bench: &Bench, host: Host, network: Arc<dyn Network>) -> PublishedRouter {
    let vm = format!("vm-{host}");
    let mut settings = Settings::default();
    settings.vm.id.clone_from(&vm);
    settings.published.callers = Some(bench.pipes.address(host, 0));
    settings.listen.peers = bench.pipes.address(host, 1);
    settings.published.readiness = bench.pipes.address(host, 2);
    settings.published.metrics = bench.pipes.address(host, 3);
    let origin = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let parts = RouterEnvironment { network, clock: Clock::starting_at(origin), seed: 6 + u64::from(host) };
    PublishedRouter::start(settings, parts, bench.store.ports(&vm), &Handle::current()).await.unwrap()
}

pub(crate) async fn read_all(connection: &mut BoxConnection) -> String {
    let mut answer = Vec::new();
    // A stream that is broken off ends in an error after what was read.
    let _ = connection.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

pub(crate) fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: office.example\r\nhavengrade-request: {id}\r\n\
         havengrade-time-left-ms: 9000\r\nhavengrade-key: k1\r\nconnection: close\r\ncontent-length: {}\r\n{more}\r\n{body}",
        body.len()
    )
}

pub(crate) fn get(path: &str, id: &str) -> String {
    request("GET", path, id, "", "")
}

pub(crate) fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

pub(crate) const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nhavengrade-not-run: 1\r\ncontent-length: 0\r\n\r\n";
pub(crate) const FAILED: &str =
    "HTTP/1.1 500 Failed\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\ncontent-length: 3\r\n\r\nbad";

/// The ids of the events of an answer.
pub(crate) fn event_ids(answer: &str) -> Vec<u32> {
    answer.lines().filter_map(|line| line.strip_prefix("id: ")).map(|id| id.trim().parse().unwrap()).collect()
}

/// A stream with these events, and what stands behind them.
pub(crate) fn stream(events: std::ops::RangeInclusive<u32>, end: &str) -> String {
    let events: String = events.map(event).collect();
    format!("{STREAM_HEAD}{events}{end}")
}
