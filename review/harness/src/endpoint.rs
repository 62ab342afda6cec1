//! Endpoints: serve one request at a time on each connection and record what they run.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time::sleep,
};
use tokio_util::task::AbortOnDropHandle;

use crate::{record::Record, wire, world::host};

/// Time for which an endpoint is down after it fell over.
const TIME_DOWN: Duration = Duration::from_secs(3);

/// How an endpoint behaves.
#[derive(Clone, Debug)]
pub(crate) struct Manner {
    /// Time that a whole answer takes.
    pub(crate) answer_time: Duration,
    /// Events of a stream.
    pub(crate) events: u32,
    /// Time between two events.
    pub(crate) pause: Duration,
    /// Event before which the stream is silent for a time, as when the run is preempted and read anew.
    pub(crate) silence: Option<(u32, Duration)>,
    /// Requests that run at the same time; others are turned away. No limit if it is not set.
    pub(crate) room: Option<usize>,
    /// If it is set, all requests are turned away, and their senders are asked to rest for so many seconds.
    pub(crate) rests_s: Option<u32>,
    /// Requests turned away in a second above which the endpoint falls over, which it states in all answers.
    pub(crate) brittle: Option<usize>,
}

impl Default for Manner {
    fn default() -> Self {
        Self {
            answer_time: Duration::from_millis(20),
            events: 30,
            pause: Duration::from_millis(100),
            silence: None,
            room: None,
            rests_s: None,
            brittle: None,
        }
    }
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) arrived: Duration,
}

/// An endpoint; dropping it ends its listener and its connections.
pub(crate) struct Endpoint {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    service: &'static str,
    slots: u32,
    manner: Arc<Mutex<Manner>>,
    runs: Arc<Mutex<Vec<Run>>>,
    falls: Arc<AtomicUsize>,
    _server: AbortOnDropHandle<()>,
}

impl Endpoint {
    pub(crate) async fn start(id: &str, service: &'static str, slots: u32, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((host(), 0)).await?;
        let address = listener.local_addr()?;
        let (manner, runs) = (Arc::new(Mutex::new(Manner::default())), Arc::new(Mutex::new(Vec::new())));
        let shared = Shared {
            id: id.to_owned(),
            manner: manner.clone(),
            runs: runs.clone(),
            record: record.clone(),
            running: Arc::default(),
            rejected: Arc::default(),
            fallen: Arc::default(),
            falls: Arc::default(),
        };
        let falls = shared.falls.clone();
        let server = AbortOnDropHandle::new(tokio::spawn(async move {
            let mut listener = Some(listener);
            loop {
                let Ok(open) = listener.take().map_or_else(|| bind(address), Ok) else {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                tokio::select! {
                    () = accept(open, &shared) => return,
                    () = shared.fallen.notified() => {},
                }
                // All connections have ended with the listener, as those of a process that crashes do.
                sleep(TIME_DOWN).await;
                shared.running.store(0, Ordering::Relaxed);
            }
        }));
        Ok(Self { id: id.to_owned(), address, service, slots, manner, runs, falls, _server: server })
    }

    pub(crate) fn set_manner(&self, manner: Manner) {
        *self.manner.lock().unwrap_or_else(PoisonError::into_inner) = manner;
    }

    /// The requests that it ran so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How often it fell over.
    pub(crate) fn falls(&self) -> usize {
        self.falls.load(Ordering::Relaxed)
    }

    /// Its entry on the list.
    pub(crate) fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.service, "address": self.address, "zone": "d0", "version": "v1", "slots": self.slots,
            "state": state, "cold_remaining_ms": 0, "sequence": sequence,
        })
    }
}

#[derive(Clone)]
struct Shared {
    id: String,
    manner: Arc<Mutex<Manner>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    running: Arc<AtomicUsize>,
    /// Times at which requests were turned away.
    rejected: Arc<Mutex<Vec<Duration>>>,
    fallen: Arc<Notify>,
    falls: Arc<AtomicUsize>,
}

impl Shared {
    /// Turns a request away for want of room; returns whether the endpoint falls over.
    fn reject(&self, id: &str, tolerated: Option<usize>) -> bool {
        self.record.line(&format!("endpoint {} turns {id} away", self.id));
        let now = self.record.elapsed();
        let mut rejected = self.rejected.lock().unwrap_or_else(PoisonError::into_inner);
        rejected.retain(|at| now < *at + Duration::from_secs(1));
        rejected.push(now);
        let falls = tolerated.is_some_and(|tolerated| rejected.len() > tolerated);
        if falls {
            rejected.clear();
            self.falls.fetch_add(1, Ordering::Relaxed);
            self.record.note(&format!("endpoint {} falls over", self.id));
            self.fallen.notify_one();
        }
        falls
    }

    async fn serve(&self, mut connection: TcpStream) -> io::Result<()> {
        connection.set_nodelay(true)?;
        let mut buf = Vec::new();
        loop {
            let Some(head) = read_head(&mut connection, &mut buf).await? else { return Ok(()) };
            let manner = self.manner.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            while buf.len() < length {
                read_more(&mut connection, &mut buf).await?;
            }
            drop(buf.drain(..length));
            self.answer(&mut connection, &head, &manner).await?;
        }
    }

    async fn answer(&self, connection: &mut TcpStream, head: &str, manner: &Manner) -> io::Result<()> {
        let id = header(head, &wire::name("request_id").to_ascii_lowercase()).unwrap_or_default();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let expected = header(head, &wire::name("expected_endpoint").to_ascii_lowercase());
        let echo = format!("{}: {id}\r\n", wire::name("request_id"));
        if expected.is_some_and(|expected| expected != self.id) {
            let refusal = format!("HTTP/1.1 421 Misdirected Request\r\n{echo}content-length: 0\r\n\r\n");
            return connection.write_all(refusal.as_bytes()).await;
        }
        let brittle = manner.brittle.map(|count| format!("{}: {count}\r\n", wire::name("brittle"))).unwrap_or_default();
        let echo = format!("{echo}{brittle}");
        if let Some(rest) = manner.rests_s {
            self.record.line(&format!("endpoint {} turns {id} away and wants {rest} s of rest", self.id));
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{echo}{}: 1\r\nRetry-After: {rest}\r\ncontent-length: 0\r\n\r\n",
                wire::name("not_run")
            );
            return connection.write_all(refusal.as_bytes()).await;
        }
        if manner.room.is_some_and(|room| self.running.load(Ordering::Relaxed) >= room) {
            if self.reject(&id, manner.brittle) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{echo}{}: 1\r\ncontent-length: 0\r\n\r\n",
                wire::name("not_run")
            );
            return connection.write_all(refusal.as_bytes()).await;
        }
        let _slot = Slot::take(&self.running);
        self.begin(&id, &path);
        let signature = format!("{}: s.{id}\r\n", wire::name("signature"));
        if !path.starts_with("/brief/") {
            sleep(manner.answer_time).await;
            let body = format!("{} {id}", self.id);
            let answer = format!("HTTP/1.1 200 OK\r\n{echo}{signature}content-length: {}\r\n\r\n{body}", body.len());
            connection.write_all(answer.as_bytes()).await?;
            self.end(&id);
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}{signature}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        connection.write_all(head.as_bytes()).await?;
        for event in 1..=manner.events {
            let silence = manner.silence.filter(|(before, _)| *before == event).map_or(manner.pause, |(_, time)| time);
            wait_open(connection, silence).await?;
            let data = format!("id: {event}\ndata: {} {id} {event}\n\n", self.id);
            connection.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).await?;
        }
        connection.write_all(b"0\r\n\r\n").await?;
        self.end(&id);
        Ok(())
    }

    fn begin(&self, id: &str, path: &str) {
        self.record.line(&format!("endpoint {} runs {id} {path}", self.id));
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let arrived = self.record.elapsed();
        runs.push(Run { request: id.to_owned(), arrived });
    }

    fn end(&self, id: &str) {
        self.record.line(&format!("endpoint {} has answered {id}", self.id));
    }
}

/// A place at an endpoint; dropping it frees the place.
struct Slot(Arc<AtomicUsize>);

impl Slot {
    fn take(running: &Arc<AtomicUsize>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The count begins anew when the endpoint is back, and no place that was taken before is freed after that.
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |running| running.checked_sub(1));
    }
}

/// Opens the listener of an endpoint that is back at its address.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

async fn accept(listener: TcpListener, shared: &Shared) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((connection, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let shared = shared.clone();
        // A connection that ends early ends what runs on it.
        connections.spawn(async move { drop(shared.serve(connection).await) });
    }
}

/// Waits for a time; ends with an error as soon as the caller closes the channel, as sound endpoints drop a request then.
async fn wait_open(connection: &mut TcpStream, time: Duration) -> io::Result<()> {
    let mut byte = [0];
    tokio::select! {
        () = sleep(time) => Ok(()),
        read = connection.peek(&mut byte) => match read? {
            0 => Err(io::ErrorKind::ConnectionAborted.into()),
            _ => {
                sleep(time).await;
                Ok(())
            },
        },
    }
}

async fn read_head(connection: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            drop(buf.drain(..end + 4));
            return Ok(Some(head));
        }
        if buf.is_empty() && !wait_readable(connection).await? {
            return Ok(None);
        }
        read_more(connection, buf).await?;
    }
}

async fn wait_readable(connection: &TcpStream) -> io::Result<bool> {
    let mut byte = [0];
    Ok(connection.peek(&mut byte).await? > 0)
}

async fn read_more(connection: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<()> {
    let mut bytes = vec![0; 64 << 10];
    let length = connection.read(&mut bytes).await?;
    if length == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    buf.extend_from_slice(&bytes[..length]);
    Ok(())
}

/// The value of a header, whose name is given in lower case.
fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}
