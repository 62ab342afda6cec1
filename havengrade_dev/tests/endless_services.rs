//! Plain services and engines of the router's own interface that send bytes without end: each answer ends after a bounded
//! number of them, and all together hold bounded memory.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    alloc::System,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use havengrade_core::{
    config::{Account, Cascade, ChangeFile, Endpoint, EndpointKind, ModelVersion, RequestClass, VersionState},
    secret::digest,
};
use havengrade_dev::{
    caller::Ask,
    fabric::{Fabric as _, Host},
    scenario::key_of,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, copy, sink, split},
    time::sleep,
};
use tokio_util::task::AbortOnDropHandle;

use support::{Bench, chat};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// First host of the endless endpoints, and their number.
const FIRST_ENDLESS: Host = 200;
const ENDLESS: Host = 20;
/// Name of the service, chat class, cascade and client account of the endless endpoints.
const NAME: &str = "endless";
/// Class of calls of the endless service.
const PLAIN: &str = "endless-plain";
/// Version that only the endless engines have.
const VERSION: &str = "swift@9";
/// Requests at a time.
const REQUESTS: usize = 30;
/// Bytes that the router may hold for all of them.
const MAX_MEMORY: usize = 64 << 20;
const CHUNK: usize = 32 << 10;
/// Pause after each chunk.
const CHUNK_TIME: Duration = Duration::from_millis(4);

/// What an endpoint sends after a request: a beginning, and then a text without end.
#[derive(Clone, Copy, Debug)]
struct Endless {
    head: &'static str,
    repeated: &'static str,
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

const BODIES: [Endless; 7] = [
    Endless { head: "", repeated: "x" },
    Endless { head: OK, repeated: "x-a: b\r\n" },
    Endless { head: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" },
    Endless { head: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x" },
    Endless { head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", repeated: "4\r\nabcd\r\n" },
    Endless { head: "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", repeated: "x" },
    Endless { head: "HTTP/1.1 500 Failed\r\n\r\n", repeated: "x" },
];

const STREAMS: [Endless; 4] = [
    Endless { head: OK, repeated: "x-a: b\r\n" },
    Endless { head: EVENTS, repeated: "x" },
    Endless { head: EVENTS, repeated: ": a comment\n" },
    Endless { head: EVENTS, repeated: "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"}}]}\n\n" },
];

/// Report of an engine that has room.
const LOAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 26\r\n\r\n{\"load\":0,\"leaving\":false}";

/// Counts of endless answers.
#[derive(Default)]
struct Sent {
    answers: AtomicUsize,
    /// Those that the router has not closed.
    open: AtomicUsize,
}

/// Serves each connection at an address with an endless answer.
async fn serve(bench: &Bench, host: Host, answer: Endless, sent: &Arc<Sent>) -> AbortOnDropHandle<()> {
    let mut listener = bench.pipes.network(host).bind(bench.pipes.address(host, 0)).await.unwrap();
    let sent = sent.clone();
    AbortOnDropHandle::new(tokio::spawn(async move {
        while let Ok(connection) = listener.accept().await {
            let sent = sent.clone();
            tokio::spawn(async move {
                let (mut reader, mut connection) = split(connection);
                let mut request = vec![0; 4096];
                let Ok(read @ 1..) = reader.read(&mut request).await else { return };
                if request[..read].starts_with(b"GET /load") {
                    let _ = connection.write_all(LOAD.as_bytes()).await;
                    return;
                }
                let _rest = AbortOnDropHandle::new(tokio::spawn(async move { copy(&mut reader, &mut sink()).await }));
                sent.answers.fetch_add(1, Ordering::Relaxed);
                sent.open.fetch_add(1, Ordering::Relaxed);
                let chunk = answer.repeated.repeat(CHUNK / answer.repeated.len());
                let mut next = answer.head;
                while connection.write_all(next.as_bytes()).await.is_ok() {
                    next = &chunk;
                    sleep(CHUNK_TIME).await;
                }
                sent.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }))
}

/// Bytes that are allocated now.
fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// A class that calls the endless service, and one that chats with the endless engines.
fn change(endpoints: Vec<Endpoint>) -> ChangeFile {
    let version = ModelVersion {
        id: VERSION.to_owned(),
        model: "swift".to_owned(),
        input_cost_micros: 100,
        output_cost_micros: 400,
        prior_quality: 700,
        state: VersionState::Active,
    };
    let cascade = Cascade {
        id: NAME.to_owned(),
        steps: vec![VERSION.to_owned()],
        quality_target: 600,
        explore: 0,
        check_answers: false,
    };
    let chat = RequestClass {
        id: NAME.to_owned(),
        priority: 1,
        deadline_ms: 5_000,
        repeatable: true,
        durable: false,
        cascade: Some(NAME.to_owned()),
        pins_sessions: false,
        session_s: 3600,
    };
    let plain = RequestClass { id: PLAIN.to_owned(), cascade: None, ..chat.clone() };
    let account = Account {
        id: NAME.to_owned(),
        key_sha256: hex::encode(digest(key_of(NAME).as_bytes())),
        versions: vec![VERSION.to_owned()],
        classes: vec![NAME.to_owned(), PLAIN.to_owned()],
        max_concurrent: 200,
        requests_per_second: 1000,
        weight: 1,
    };
    ChangeFile {
        version: vec![version],
        endpoint: endpoints,
        cascade: vec![cascade],
        class: vec![chat, plain],
        account: vec![account],
        ..ChangeFile::default()
    }
}

/// Sends requests at a time to endpoints of this kind that all send an endless answer.
async fn check(answer: Endless, kind: &EndpointKind, ask: &Ask) {
    let bench = Bench::start(1).await;
    let (sent, mut servers, mut endpoints) = (Arc::<Sent>::default(), Vec::new(), Vec::new());
    for index in 0..ENDLESS {
        let host = FIRST_ENDLESS + index;
        servers.push(serve(&bench, host, answer, &sent).await);
        endpoints.push(Endpoint {
            id: format!("endless-{index}"),
            address: bench.pipes.address(host, 0),
            failure_domain: "d0".to_owned(),
            capacity: 64,
            checks_fence: false,
            deduplicates: false,
            kind: kind.clone(),
        });
    }
    bench.fleet.apply_at_once(NAME, &change(endpoints));
    sleep(Duration::from_secs(5)).await;
    let before = allocated();
    let is_over = Arc::new(AtomicBool::new(false));
    let sampler = tokio::spawn({
        let is_over = is_over.clone();
        async move {
            let mut most = 0;
            while !is_over.load(Ordering::Relaxed) {
                most = most.max(allocated());
                sleep(Duration::from_micros(500)).await;
            }
            most
        }
    });
    let (caller, port) = (bench.caller(NAME), bench.callers_port(0));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (caller, ask) = (caller.clone(), Ask { key: Some(format!("k{number}")), ..ask.clone() });
            tokio::spawn(async move { caller.ask(port, &ask).await.unwrap().status.as_u16() })
        })
        .collect();
    for request in requests {
        let status = request.await.unwrap();
        assert!(matches!(status, 502..=504), "{answer:?} is answered with {status}");
    }
    is_over.store(true, Ordering::Relaxed);
    let memory = sampler.await.unwrap().saturating_sub(before);
    println!("{answer:?}: {} KB of memory", memory >> 10);
    assert!(memory <= MAX_MEMORY, "{answer:?}: {memory} bytes of memory");
    sleep(Duration::from_secs(2)).await;
    assert!(sent.answers.load(Ordering::Relaxed) > 0, "{answer:?}: no endpoint got a request");
    assert_eq!(sent.open.load(Ordering::Relaxed), 0, "{answer:?}: connections stay open");
}

/// Guards against a VM that runs out of memory, and ends all its requests, by a plain service that never ends an answer.
#[tokio::test(start_paused = true)]
async fn endless_answers_of_plain_services_hold_bounded_memory() {
    let kind = EndpointKind::Service { service: NAME.to_owned() };
    let ask = Ask { service: Some(NAME.to_owned()), ..chat(PLAIN, "ticket") };
    for answer in BODIES {
        check(answer, &kind, &ask).await;
    }
}

/// Guards against a VM that runs out of memory, and ends all its requests, by an engine that never ends a stream.
#[tokio::test(start_paused = true)]
async fn endless_streams_of_engines_hold_bounded_memory() {
    let kind = EndpointKind::Engine { versions: vec![VERSION.to_owned()] };
    for answer in STREAMS {
        check(answer, &kind, &chat(NAME, "which lot?")).await;
    }
}
