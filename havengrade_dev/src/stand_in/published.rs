//! Stand-ins for endpoints of published routes that do what they are told, request by request.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use havengrade_router::{
    net::{BoxConnection, Network},
    shared::lock,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes these bytes, in which `{id}` stands for the request's id, and keeps the connection.
    Write(String),
    /// Writes these bytes after a time, and keeps the connection.
    Late(Duration, String),
    /// Writes these bytes piece by piece, with a pause after each, and keeps the connection.
    Pieces(Vec<String>, Duration),
    /// Writes these bytes and closes the connection.
    Close(String),
    /// Writes nothing and waits for the connection to end.
    Hang,
}

/// A request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its head, as it came.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Seen {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.filter(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

/// Replies that are given one after the other; endpoints may share them.
pub type Replies = Arc<Mutex<VecDeque<Reply>>>;

#[derive(Default)]
struct Script {
    replies: Replies,
    seen: Vec<Seen>,
    closed: u32,
}

/// An endpoint that does what it is told, request by request.
pub struct ScriptedEndpoint {
    script: Arc<Mutex<Script>>,
    _server: AbortOnDropHandle<()>,
}

/// A whole signed answer to a request.
pub fn signed(body: &str) -> Reply {
    Reply::Write(signed_text(body))
}

/// A whole signed answer to a request, after a time.
pub fn signed_late(body: &str, after: Duration) -> Reply {
    Reply::Late(after, signed_text(body))
}

pub(super) fn signed_text(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nhavengrade-request: {{id}}\r\nhavengrade-signature: s\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// The head of a signed stream, in chunks.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// The head of a signed stream that ends with its connection.
pub const UNFRAMED_STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nhavengrade-request: {id}\r\nhavengrade-signature: s\r\n\
     content-type: text/event-stream\r\nconnection: close\r\n\r\n";

/// One chunk of a body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// An event with an id.
pub fn event(id: u32) -> String {
    chunk(&unframed_event(id))
}

/// An event with an id, without a chunk around it.
pub fn unframed_event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

impl ScriptedEndpoint {
    /// Listens at an address; once its replies are used up it answers `ok`.
    ///
    /// # Errors
    ///
    /// Those of the network.
    pub async fn start(network: &dyn Network, at: SocketAddr, replies: Replies) -> io::Result<Self> {
        let mut listener = network.bind(at).await?;
        let script = Arc::new(Mutex::new(Script { replies, ..Script::default() }));
        let shared = script.clone();
        let server = tokio::spawn(async move {
            let mut connections = Vec::new();
            while let Ok(connection) = listener.accept().await {
                connections.push(AbortOnDropHandle::new(tokio::spawn(serve(connection, shared.clone()))));
            }
        });
        Ok(Self { script, _server: AbortOnDropHandle::new(server) })
    }

    /// Requests that were seen.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.script).seen.clone()
    }

    /// Connections that ended.
    pub fn closed(&self) -> u32 {
        lock(&self.script).closed
    }
}

async fn serve(mut connection: BoxConnection, script: Arc<Mutex<Script>>) {
    let mut buf = Vec::new();
    while let Some(seen) = read_request(&mut connection, &mut buf).await {
        let id = seen.header("havengrade-request").unwrap_or_default().to_owned();
        let reply = {
            let mut script = lock(&script);
            script.seen.push(seen);
            lock(&script.replies).pop_front().unwrap_or_else(|| signed("ok"))
        };
        if !play(&mut connection, reply, &id).await {
            break;
        }
    }
    lock(&script).closed += 1;
}

/// Carries a reply out; tells whether the connection is kept.
async fn play(connection: &mut BoxConnection, reply: Reply, id: &str) -> bool {
    let text = |bytes: &str| bytes.replace("{id}", id).into_bytes();
    match reply {
        Reply::Write(bytes) => connection.write_all(&text(&bytes)).await.is_ok(),
        Reply::Late(after, bytes) => {
            sleep(after).await;
            connection.write_all(&text(&bytes)).await.is_ok()
        },
        Reply::Close(bytes) => {
            // A caller that has left does not matter to an endpoint that closes anyway.
            let _ = connection.write_all(&text(&bytes)).await;
            false
        },
        Reply::Pieces(pieces, pause) => {
            for piece in pieces {
                let mut rest = [0; 1];
                if connection.write_all(&text(&piece)).await.is_err() {
                    return false;
                }
                if let Ok(Ok(0)) = timeout(pause, connection.read(&mut rest)).await {
                    return false;
                }
            }
            true
        },
        Reply::Hang => {
            let mut rest = [0; 1];
            // Whatever comes or ends here, the request is given up.
            let _ = connection.read(&mut rest).await;
            false
        },
    }
}

pub(super) async fn read_request(connection: &mut BoxConnection, buf: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some(seen) = take_request(buf) {
            return Some(seen);
        }
        let mut more = [0; 4096];
        let length = connection.read(&mut more).await.ok().filter(|length| *length > 0)?;
        buf.extend_from_slice(more.get(..length)?);
    }
}

fn take_request(buf: &mut Vec<u8>) -> Option<Seen> {
    let end = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(buf.get(..end)?).into_owned();
    let mut seen = Seen { head, body: Vec::new() };
    let length: usize = seen.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    seen.body = buf.get(end..end + length)?.to_vec();
    buf.drain(..end + length);
    Some(seen)
}
