//! Stand-ins for what published routes meet: a store in memory that can be away, and endpoints that misbehave.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    mark::RequestMark,
    published::{directory::DirectoryEvent, peers::Peer, rollout::RolloutStatus},
    quarantine::{KeptHold, next_trial},
};
use havengrade_router::{
    net::{BoxConnection, Network},
    published::{
        dialect::OwnDialect,
        ports::{
            Feed, KnownVersion, OperatorEvent, Ports, QuarantineBook, Roster, StatusBook, StoreError, WriteOutcome,
        },
    },
    shared::lock,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync::Notify,
    time::{sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

#[derive(Default)]
struct Kept {
    is_away: bool,
    /// VMs that are turned away while others are served.
    turned_away: BTreeSet<String>,
    operators: Vec<OperatorEvent>,
    endpoints: Vec<DirectoryEvent>,
    statuses: Vec<RolloutStatus>,
    versions: BTreeMap<String, KnownVersion>,
    held: BTreeMap<RequestMark, KeptHold>,
    vms: BTreeMap<String, Peer>,
    calls: u64,
    /// Time that each answer to a read takes.
    takes: Duration,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct MemoryStore {
    kept: Arc<Mutex<Kept>>,
    changed: Arc<Notify>,
}

impl MemoryStore {
    /// Writes what an operator writes.
    pub fn operate(&self, event: OperatorEvent) {
        lock(&self.kept).operators.push(event);
        self.changed.notify_waiters();
    }

    /// Changes the list of endpoints.
    pub fn list(&self, event: DirectoryEvent) {
        lock(&self.kept).endpoints.push(event);
    }

    /// Lets the store be away, or back.
    pub fn set_away(&self, is_away: bool) {
        lock(&self.kept).is_away = is_away;
        self.changed.notify_waiters();
    }

    /// Turns a VM away, or serves it again; others are not affected.
    pub fn turn_away(&self, vm: &str, is_turned_away: bool) {
        let mut kept = lock(&self.kept);
        if is_turned_away {
            kept.turned_away.insert(vm.to_owned());
        } else {
            kept.turned_away.remove(vm);
        }
        drop(kept);
        self.changed.notify_waiters();
    }

    /// Lets each answer to a read take so long.
    pub fn set_slow(&self, takes: Duration) {
        lock(&self.kept).takes = takes;
    }

    /// Calls that were made, refused ones included.
    pub fn calls(&self) -> u64 {
        lock(&self.kept).calls
    }

    /// Writes a state of a roll-out, as a VM did that is gone.
    pub fn write_status(&self, status: RolloutStatus) {
        lock(&self.kept).statuses.push(status);
    }

    /// States of roll-outs that were written, in their order.
    pub fn statuses(&self) -> Vec<RolloutStatus> {
        lock(&self.kept).statuses.clone()
    }

    /// What is kept of versions that were replaced.
    pub fn known_versions(&self) -> Vec<KnownVersion> {
        lock(&self.kept).versions.values().cloned().collect()
    }

    /// Enters a request that is held back, as a VM did that is gone.
    pub fn hold(&self, hold: KeptHold) {
        lock(&self.kept).held.insert(hold.mark, hold);
    }

    /// Names of the VMs on the kept list.
    pub fn vms(&self) -> Vec<String> {
        lock(&self.kept).vms.keys().cloned().collect()
    }

    /// The ports of a VM's router over this store.
    pub fn ports(&self, vm: &str) -> Ports {
        let feed = || MemoryFeed { store: self.clone(), vm: vm.to_owned(), next: 0 };
        Ports {
            dialect: Box::new(OwnDialect),
            operators: Box::new(feed()),
            endpoints: Box::new(feed()),
            statuses: Box::new(feed()),
            quarantine: Arc::new(feed()),
            roster: Box::new(feed()),
            hands_news_on: true,
        }
    }
}

struct MemoryFeed {
    store: MemoryStore,
    vm: String,
    next: usize,
}

impl MemoryFeed {
    /// Counts a call; it is refused while the store is away.
    async fn call(&self) -> Result<(), StoreError> {
        let takes = {
            let mut kept = lock(&self.store.kept);
            kept.calls += 1;
            kept.takes
        };
        sleep(takes).await;
        self.check()
    }

    fn check(&self) -> Result<(), StoreError> {
        let kept = lock(&self.store.kept);
        if kept.is_away || kept.turned_away.contains(&self.vm) {
            return Err(StoreError::NotDone { reason: "the stand-in is away".into() });
        }
        Ok(())
    }

    fn read<T: Clone>(&mut self, of: impl Fn(&Kept) -> &Vec<T>) -> Result<Vec<T>, StoreError> {
        self.check()?;
        let kept = lock(&self.store.kept);
        let all = of(&kept);
        let new = all.get(self.next..).unwrap_or_default().to_vec();
        self.next = all.len();
        Ok(new)
    }
}

#[async_trait]
impl Feed<OperatorEvent> for MemoryFeed {
    async fn next(&mut self, wait: Duration) -> Result<Vec<OperatorEvent>, StoreError> {
        let changed = self.store.changed.clone();
        let notified = changed.notified();
        self.call().await?;
        let events = self.read(|kept| &kept.operators)?;
        if !events.is_empty() {
            return Ok(events);
        }
        // Nothing new in time is an answer as well.
        let _ = timeout(wait, notified).await;
        self.read(|kept| &kept.operators)
    }

    fn position(&self) -> Option<u64> {
        u64::try_from(self.next).ok()
    }

    fn advance(&mut self, position: u64) {
        self.next = self.next.max(usize::try_from(position).unwrap_or(usize::MAX));
    }
}

#[async_trait]
impl Feed<DirectoryEvent> for MemoryFeed {
    async fn next(&mut self, _wait: Duration) -> Result<Vec<DirectoryEvent>, StoreError> {
        self.call().await?;
        self.read(|kept| &kept.endpoints)
    }

    fn position(&self) -> Option<u64> {
        u64::try_from(self.next).ok()
    }

    fn advance(&mut self, position: u64) {
        self.next = self.next.max(usize::try_from(position).unwrap_or(usize::MAX));
    }
}

#[async_trait]
impl StatusBook for MemoryFeed {
    async fn read(&mut self) -> Result<Vec<RolloutStatus>, StoreError> {
        self.call().await?;
        Self::read(self, |kept| &kept.statuses)
    }

    async fn read_all(&mut self) -> Result<Vec<RolloutStatus>, StoreError> {
        self.next = 0;
        StatusBook::read(self).await
    }

    async fn write(&mut self, status: &RolloutStatus) -> Result<WriteOutcome, StoreError> {
        self.call().await?;
        let mut kept = lock(&self.store.kept);
        if kept.statuses.len() != self.next {
            return Ok(WriteOutcome::Conflict);
        }
        kept.statuses.push(status.clone());
        Ok(WriteOutcome::Written)
    }

    async fn keep(&mut self, known: &KnownVersion) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).versions.insert(known.service.clone(), known.clone());
        Ok(())
    }

    async fn kept(&mut self) -> Result<Vec<KnownVersion>, StoreError> {
        self.call().await?;
        Ok(lock(&self.store.kept).versions.values().cloned().collect())
    }
}

#[async_trait]
impl QuarantineBook for MemoryFeed {
    async fn read(&self) -> Result<Vec<KeptHold>, StoreError> {
        self.call().await?;
        Ok(lock(&self.store.kept).held.values().copied().collect())
    }

    async fn keep(&self, hold: &KeptHold) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).held.entry(hold.mark).or_insert(*hold);
        Ok(())
    }

    async fn release(&self, mark: RequestMark) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).held.remove(&mark);
        Ok(())
    }

    async fn claim_trial(&self, hold: &KeptHold, now: SystemTime) -> Result<Option<KeptHold>, StoreError> {
        self.call().await?;
        let mut kept = lock(&self.store.kept);
        let known: Vec<KeptHold> = kept.held.values().copied().collect();
        let next = next_trial(&known, hold, now);
        kept.held.extend(next.map(|next| (next.mark, next)));
        Ok(next)
    }
}

#[async_trait]
impl Roster for MemoryFeed {
    async fn enter(&self, peer: &Peer) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).vms.insert(peer.vm.clone(), peer.clone());
        Ok(())
    }

    async fn leave(&self, vm: &str) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).vms.remove(vm);
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Peer>, StoreError> {
        self.call().await?;
        Ok(lock(&self.store.kept).vms.values().cloned().collect())
    }
}

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

/// One chunk of a body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// An event with an id.
pub fn event(id: u32) -> String {
    chunk(&format!("id: {id}\ndata: piece {id}\n\n"))
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
