//! Callers who read large whole answers slowly or not at all: what waits for all of them takes bounded memory.
#![allow(clippy::unwrap_used)]

mod support;

use std::{alloc::System, sync::Arc, time::Duration};

use havengrade_core::published::directory::DirectoryEvent;
use havengrade_dev::{
    fabric::{Fabric as _, Host},
    stand_in::memory_store::MemoryStore,
};
use havengrade_router::net::BoxConnection;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{Instant, sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

use support::published::{Bench, FIRST_ENDPOINT, get, listed};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ENDPOINTS: Host = 8;
const CALLERS: usize = 48;
const ANSWER_BYTES: usize = 4 << 20;
/// Memory that all answers may take, beside what the connections buffer.
const MAX_MEMORY: usize = 48 << 20;
/// Time limit of the route; callers have slightly less.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Answers each request with a whole answer of [`ANSWER_BYTES`].
async fn serve(bench: &Bench, host: Host) -> AbortOnDropHandle<()> {
    let body: Arc<[u8]> = vec![b'x'; ANSWER_BYTES].into();
    let mut listener = bench.pipes.network(host).bind(bench.pipes.address(host, 0)).await.unwrap();
    AbortOnDropHandle::new(tokio::spawn(async move {
        while let Ok(mut connection) = listener.accept().await {
            let body = body.clone();
            tokio::spawn(async move {
                let mut buf = vec![0; 4096];
                while let Ok(read @ 1..) = connection.read(&mut buf).await {
                    let request = String::from_utf8_lossy(&buf[..read]).into_owned();
                    let id = request.lines().find_map(|line| line.strip_prefix("havengrade-request: "));
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nhavengrade-request: {}\r\nhavengrade-signature: s\r\n\
                         content-length: {ANSWER_BYTES}\r\n\r\n",
                        id.unwrap_or_default()
                    );
                    if connection.write_all(head.as_bytes()).await.is_err()
                        || connection.write_all(&body).await.is_err()
                    {
                        return;
                    }
                }
            });
        }
    }))
}

/// A router before endpoints with large answers.
async fn start() -> (Bench, Vec<AbortOnDropHandle<()>>) {
    let bench = Bench::begin(Vec::new(), MemoryStore::default()).await;
    let mut servers = Vec::new();
    for index in 0..ENDPOINTS {
        servers.push(serve(&bench, FIRST_ENDPOINT + index).await);
        bench.store.list(DirectoryEvent::Seen(listed(&bench.pipes, index, "v1")));
    }
    bench.wait_until_ready().await;
    sleep(Duration::from_secs(2)).await;
    (bench, servers)
}

/// Bytes that are allocated now.
fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// Asks for an answer and doesn't read it.
async fn ask_without_reading(bench: &Bench, id: usize) -> BoxConnection {
    let mut connection = bench.connect(0).await;
    connection.write_all(get("/read/", &format!("r{id}")).as_bytes()).await.unwrap();
    connection
}

/// Reads an answer to its end, in pieces with a pause after each; returns whether it is a whole one.
async fn is_read_whole(mut connection: BoxConnection, pause: Duration) -> bool {
    let (mut bytes, mut head, mut buf) = (0, Vec::new(), vec![0; 64 << 10]);
    while let Ok(read @ 1..) = connection.read(&mut buf).await {
        if head.len() < 1024 {
            head.extend_from_slice(&buf[..read]);
        }
        bytes += read;
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    head.starts_with(b"HTTP/1.1 200") && bytes > ANSWER_BYTES
}

/// Guards against a VM that runs out of memory, and ends all its requests, by callers who don't read their answers.
#[tokio::test(start_paused = true)]
async fn whole_answers_of_callers_who_do_not_read_take_bounded_memory_and_time() {
    let (bench, _servers) = start().await;
    let before = allocated();
    let mut callers = Vec::new();
    for id in 0..CALLERS {
        callers.push(ask_without_reading(&bench, id).await);
    }
    let (mut most, began) = (0, Instant::now());
    while began.elapsed() < 2 * TIME_LIMIT {
        sleep(Duration::from_millis(10)).await;
        most = most.max(allocated().saturating_sub(before));
    }
    println!("{} KB at most", most >> 10);
    assert!(most <= MAX_MEMORY, "{most} bytes of memory");
    sleep(TIME_LIMIT).await;
    assert_eq!(bench.router.context().shared.stream_buffers.buffered_bytes(), 0, "answers are kept for callers");
    for caller in callers {
        let ended = timeout(Duration::from_secs(1), is_read_whole(caller, Duration::ZERO)).await;
        assert_eq!(ended, Ok(false), "the connection of a caller who does not read is closed");
    }
}

/// Guards against answers that are held back from callers who read them at once, and from those who read slowly.
#[tokio::test(start_paused = true)]
async fn whole_answers_reach_callers_who_read() {
    let (bench, _servers) = start().await;
    for id in 0..CALLERS {
        assert!(is_read_whole(ask_without_reading(&bench, id).await, Duration::ZERO).await);
    }
    // A connection holds 4 KB, so that it takes 12.3 s to read 4 MB, more than the time limit.
    let pause = Duration::from_millis(12);
    let mut slow = Vec::new();
    for id in 0..3 {
        slow.push(tokio::spawn(is_read_whole(ask_without_reading(&bench, CALLERS + id).await, pause)));
    }
    for caller in slow {
        assert!(caller.await.unwrap(), "a slow caller gets the whole answer");
    }
    assert_eq!(bench.router.context().shared.stream_buffers.buffered_bytes(), 0);
}
