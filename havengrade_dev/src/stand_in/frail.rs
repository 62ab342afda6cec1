//! Stand-ins for endpoints that end when they run certain requests, and come back after some time.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use havengrade_core::published::directory::{DirectoryEvent, ListedEndpoint};
use havengrade_router::{
    net::{BoxConnection, Listener, Network},
    shared::lock,
};
use tokio::{
    io::AsyncWriteExt as _,
    select,
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::task::AbortOnDropHandle;

use crate::stand_in::{
    memory_store::MemoryStore,
    published::{
        LAST_CHUNK, STREAM_HEAD, UNFRAMED_STREAM_HEAD, chunk, event, read_request, signed_text, unframed_event,
    },
};

/// What the body of a request begins with that ends endpoints.
pub const DEADLY: &str = "deadly";
/// Time after which the entry of an endpoint that ended is gone: three silences of its pings.
const ENTRY_LAPSE: Duration = Duration::from_secs(3);
/// Events of a stream.
const EVENTS: u32 = 4;

/// How endpoints end, and how they come back.
#[derive(Clone, Copy, Debug)]
pub struct Frailty {
    /// Time from the begin of a deadly request to the end of its endpoint.
    pub fuse: Duration,
    /// Most time that a deadly request waits before that, evenly spread over those that come.
    pub most_wait: Duration,
    /// Whether the head of the answer, and for a stream its first event, goes out before the end.
    pub answers_first: bool,
    /// Time for which an endpoint is away.
    pub down: Duration,
    /// Whether it comes back under the id that it had.
    pub keeps_id: bool,
}

/// A request that an endpoint took.
#[derive(Clone, Debug)]
pub struct Taken {
    /// When.
    pub at: Instant,
    /// Its body.
    pub body: String,
}

/// What happened at the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests that they took.
    pub taken: Vec<Taken>,
    /// Their ends, each with the request that caused it.
    pub ends: Vec<Taken>,
}

impl Record {
    /// The requests that ended endpoints, each with the times of the ends.
    pub fn ends_by_body(&self) -> BTreeMap<&str, Vec<Instant>> {
        let mut ends: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for end in &self.ends {
            ends.entry(&end.body).or_default().push(end.at);
        }
        ends
    }

    /// How often a request was taken later than at a time.
    pub fn taken_after(&self, body: &str, after: Instant) -> usize {
        self.taken.iter().filter(|taken| taken.body == body && taken.at > after).count()
    }
}

/// An endpoint that ends when it runs a deadly request.
pub struct FrailEndpoint {
    _life: AbortOnDropHandle<()>,
}

/// What an endpoint shares with its connections.
#[derive(Clone)]
struct Shared {
    frailty: Frailty,
    record: Arc<Mutex<Record>>,
    end: Arc<Notify>,
}

impl FrailEndpoint {
    /// Listens at the address of an entry, and lists it.
    ///
    /// # Errors
    ///
    /// Those of the network.
    pub async fn start(
        network: Arc<dyn Network>,
        entry: ListedEndpoint,
        frailty: Frailty,
        store: MemoryStore,
        record: Arc<Mutex<Record>>,
    ) -> io::Result<Self> {
        let listener = network.bind(entry.address).await?;
        let life = tokio::spawn(live(network, listener, entry, store, frailty, record));
        Ok(Self { _life: AbortOnDropHandle::new(life) })
    }
}

/// Lives, ends and comes back, on and on.
async fn live(
    network: Arc<dyn Network>,
    first: Box<dyn Listener>,
    mut entry: ListedEndpoint,
    store: MemoryStore,
    frailty: Frailty,
    record: Arc<Mutex<Record>>,
) {
    let name = entry.id.clone();
    let mut listener = first;
    for start in 1_u32.. {
        store.list(DirectoryEvent::Seen(entry.clone()));
        let shared = Shared { frailty, record: record.clone(), end: Arc::default() };
        serve_until_end(listener, &shared).await;
        if !shared.frailty.keeps_id {
            let (store, gone) = (store.clone(), entry.id.clone());
            tokio::spawn(async move {
                sleep(ENTRY_LAPSE).await;
                store.list(DirectoryEvent::Gone(gone));
            });
            entry.id = format!("{name}.{start}");
        }
        sleep(shared.frailty.down).await;
        listener = match network.bind(entry.address).await {
            Ok(listener) => listener,
            Err(error) => return log::error!("an endpoint does not come back: {error}"),
        };
    }
}

/// Serves connections until a deadly request has ended the endpoint; all connections end with it.
async fn serve_until_end(mut listener: Box<dyn Listener>, shared: &Shared) {
    let mut connections = JoinSet::new();
    loop {
        select! {
            biased;
            () = shared.end.notified() => return,
            accepted = listener.accept() => match accepted {
                Ok(connection) => drop(connections.spawn(serve(connection, shared.clone()))),
                Err(_) => return,
            },
        }
    }
}

async fn serve(mut connection: BoxConnection, shared: Shared) {
    let mut buf = Vec::new();
    while let Some(seen) = read_request(&mut connection, &mut buf).await {
        let body = String::from_utf8_lossy(&seen.body).into_owned();
        let id = seen.header("havengrade-request").unwrap_or_default().to_owned();
        let taken = Taken { at: Instant::now(), body: body.clone() };
        lock(&shared.record).taken.push(taken);
        let is_stream = seen.head.contains(" /stream/");
        let shape = seen.header("x-shape").unwrap_or_default();
        if body.starts_with(DEADLY) {
            return end(connection, &shared, body, &id, is_stream, shape).await;
        }
        if !run(&mut connection, &body, &id, is_stream, shape).await {
            return;
        }
    }
}

/// Runs a deadly request: the endpoint ends after a time.
async fn end(mut connection: BoxConnection, shared: &Shared, body: String, id: &str, is_stream: bool, shape: &str) {
    if shared.frailty.answers_first && is_stream {
        let (head, event, _) = stream_format(shape);
        let begin = format!("{head}{}", event(1)).replace("{id}", id);
        // A caller that has left does not save the endpoint.
        drop(connection.write_all(begin.as_bytes()).await);
    }
    sleep(shared.frailty.fuse + wait_of(shared)).await;
    lock(&shared.record).ends.push(Taken { at: Instant::now(), body });
    shared.end.notify_one();
    // The connection ends with the endpoint, not before.
    std::future::pending::<()>().await;
}

/// Time for which the request that was taken last waits before it runs, as it would in a queue.
fn wait_of(shared: &Shared) -> Duration {
    /// Prime to the number of parts, so that one request after the other waits for another time.
    const STEP: usize = 37;
    const PARTS: usize = 100;
    let taken = lock(&shared.record).taken.len();
    shared.frailty.most_wait.mul_f64((taken * STEP % PARTS) as f64 / PARTS as f64)
}

/// Runs a request whose body ends in the milliseconds of its work; tells whether the connection is kept.
async fn run(connection: &mut BoxConnection, body: &str, id: &str, is_stream: bool, shape: &str) -> bool {
    let work =
        body.rsplit(' ').next().and_then(|millis| millis.parse().ok()).map_or(Duration::ZERO, Duration::from_millis);
    let text = |bytes: &str| bytes.replace("{id}", id).into_bytes();
    if is_stream {
        let (head, event, end) = stream_format(shape);
        if connection.write_all(&text(head)).await.is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            sleep(work / EVENTS).await;
            if connection.write_all(event(number).as_bytes()).await.is_err() {
                return false;
            }
        }
        return connection.write_all(end.as_bytes()).await.is_ok() && !end.is_empty();
    }
    sleep(work).await;
    let head = "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\n";
    match shape {
        "chunked" => {
            let answer = format!("{head}transfer-encoding: chunked\r\n\r\n{}{LAST_CHUNK}", chunk("fine"));
            connection.write_all(&text(&answer)).await.is_ok()
        },
        "unframed" => {
            let answer = format!("{head}connection: close\r\n\r\nfine");
            // It ends with its connection.
            drop(connection.write_all(&text(&answer)).await);
            false
        },
        _ => connection.write_all(&text(&signed_text("fine"))).await.is_ok(),
    }
}

/// The head of a stream, its events, and what stands behind them; nothing where it ends with its connection.
fn stream_format(shape: &str) -> (&'static str, fn(u32) -> String, &'static str) {
    if shape == "unframed" { (UNFRAMED_STREAM_HEAD, unframed_event, "") } else { (STREAM_HEAD, event, LAST_CHUNK) }
}
