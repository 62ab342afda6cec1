//! What operators wrote, handed from VM to VM, so that a change costs one read of the store and not one a VM.

use std::{
    io::{self, Read as _, Write as _},
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::published::{relay::confirmed_at, rollout::RolloutOrder, route::Publication};
use havengrade_rpc::{frames, reports::OperatorsState};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::time::{sleep, timeout};

use crate::{
    net::{BoxConnection, Listener},
    published::{
        context::PublishedContext,
        follow::{FollowMessage, OPERATORS, Relayed},
        ports::OperatorEvent,
        store_view::{find, send},
        wire::{from_i64, to_i64},
    },
    services::ACCEPT_PAUSE,
    shared::lock,
};

/// Largest deflated document that is handed on, in bytes; a larger one would keep a small link busy, so that
/// others read the store.
const MAX_DOCUMENT: usize = 32 << 10;
/// Largest frame: a document and what stands around it.
const MAX_FRAME: usize = MAX_DOCUMENT + 1024;
/// Largest document once it is inflated, in bytes; the store takes no larger record than a quarter of that.
const MAX_INFLATED: u64 = 1 << 20;
/// Time between two of a VM's takings, so that a storm of changes is taken in few of them.
const FETCH_PAUSE: Duration = Duration::from_millis(300);
/// Time for which another VM is waited for before the store is asked.
const FETCH_LIMIT: Duration = Duration::from_millis(400);

/// The configuration in force and the orders to roll out.
#[derive(Debug, Serialize, Deserialize)]
struct Document {
    publication: Publication,
    orders: Vec<RolloutOrder>,
}

/// Why another VM did not hand on what operators wrote.
#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("no connection: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("it hands nothing on"))]
    Nothing,
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: io::Error },
    #[snafu(display("its message can't be read: {source}"))]
    Message { source: havengrade_rpc::RpcError },
    #[snafu(display("its document can't be read: {source}"))]
    Document { source: serde_json::Error },
    #[snafu(display("it knows less than it told"))]
    Old,
    #[snafu(display("it took too long"))]
    Late,
}

/// Hands what operators wrote to each VM that connects.
pub(super) async fn serve_news(cx: PublishedContext, mut listener: Box<dyn Listener>) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let cx = cx.clone();
                tokio::spawn(cx.end.clone().run_until_cancelled_owned(hand_on(cx, connection)));
            },
            Err(error) => {
                log::warn!("connection of another VM not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            },
        }
    }
}

async fn hand_on(cx: PublishedContext, connection: BoxConnection) {
    let Some(state) = state(&cx, cx.shared.clock.now()) else { return };
    let bytes = match havengrade_rpc::encode(&state) {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("what operators wrote can't be handed on: {error}"),
    };
    let mut frames = frames(connection, MAX_FRAME);
    if let Ok(Err(error)) = timeout(FETCH_LIMIT, frames.send(Bytes::from(bytes))).await {
        log::debug!("another VM left before it was told: {error}");
    }
}

/// What operators wrote, as far as this VM knows; none before its first read, and where it is too large.
fn state(cx: &PublishedContext, now: SystemTime) -> Option<OperatorsState> {
    let position = cx.shared.view().operators?;
    let age = now.duration_since(cx.shared.confirmed()?).unwrap_or_default();
    let document = match document(cx, position) {
        Ok(document) => document,
        Err(error) => {
            log::error!("what operators wrote can't be handed on: {error}");
            return None;
        },
    };
    let is_small = document.len() <= MAX_DOCUMENT;
    is_small.then(|| OperatorsState::new(to_i64(position), to_i64(age.as_millis() as u64 + 1), document))
}

/// The deflated document of a position; it is written once, since many VMs ask at the same time.
fn document(cx: &PublishedContext, position: u64) -> io::Result<Vec<u8>> {
    let mut written = lock(&cx.shared.news);
    if let Some((_, document)) = written.as_ref().filter(|(at, _)| *at == position) {
        return Ok(document.clone());
    }
    let orders = cx.shared.rollouts().orders().cloned().collect();
    let document = Document { publication: cx.shared.routes.load().publication().clone(), orders };
    let mut deflated = DeflateEncoder::new(Vec::new(), Compression::fast());
    deflated.write_all(&serde_json::to_vec(&document)?)?;
    let deflated = deflated.finish()?;
    *written = Some((position, deflated.clone()));
    Ok(deflated)
}

fn inflate(deflated: &[u8]) -> Result<Document, serde_json::Error> {
    let mut text = Vec::new();
    let read = DeflateDecoder::new(deflated).take(MAX_INFLATED).read_to_end(&mut text);
    read.map_err(serde_json::Error::io)?;
    serde_json::from_slice(&text)
}

/// Takes what operators wrote from a VM that knows it up to `position`, or else from the store.
pub(super) fn fetch(cx: &PublishedContext, from: SocketAddr, position: u64) {
    if cx.shared.is_fetching.swap(true, Ordering::AcqRel) {
        return;
    }
    let cx = cx.clone();
    tokio::spawn(async move {
        let asked = cx.shared.clock.now();
        let fetched = timeout(FETCH_LIMIT, fetch_state(&cx, from, position)).await.unwrap_or(LateSnafu.fail());
        let Some(service) = find::<OperatorEvent>(&cx, OPERATORS) else { return };
        let message = match fetched {
            Ok((state, document)) => FollowMessage::Relayed(relayed(&state, document, asked)),
            Err(error) => {
                log::info!(from = from.to_string().as_str(); "the store is read, another VM did not tell: {error}");
                FollowMessage::Hurry
            },
        };
        send(&service, message);
        // What is told meanwhile, the next answer of a reader tells again.
        sleep(FETCH_PAUSE).await;
        cx.shared.is_fetching.store(false, Ordering::Release);
    });
}

async fn fetch_state(
    cx: &PublishedContext,
    from: SocketAddr,
    position: u64,
) -> Result<(OperatorsState, Document), FetchError> {
    let connection = cx.network.connect(from).await.context(ConnectSnafu)?;
    let frame = frames(connection, MAX_FRAME).next().await.context(NothingSnafu)?.context(BrokenSnafu)?;
    let state: OperatorsState = havengrade_rpc::decode(&frame).context(MessageSnafu)?;
    if from_i64(state.position) < position {
        return OldSnafu.fail();
    }
    let document = inflate(&state.document).context(DocumentSnafu)?;
    Ok((state, document))
}

fn relayed(state: &OperatorsState, document: Document, asked: SystemTime) -> Relayed<OperatorEvent> {
    let mut events: Vec<OperatorEvent> = document.orders.into_iter().map(OperatorEvent::Rollout).collect();
    events.push(OperatorEvent::Publication(document.publication));
    let at = confirmed_at(asked, Duration::from_millis(from_i64(state.age_ms)));
    Relayed { events, from: None, position: from_i64(state.position), at }
}
