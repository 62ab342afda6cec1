//! Handing what is in force on to VMs that ask for it.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::published::state_transfer::TransferDecision;
use havengrade_rpc::{
    FramedStream, RpcError, framed,
    reports::{StateHead, StatePart, StateQuestion},
};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    net::{BoxConnection, Listener},
    published::{
        context::PublishedContext,
        rollouts::reported_rollouts,
        state_parts::{deflate_json, encode_endpoints_part, encode_operators_part, encode_vms_part},
        wire::{encode_quarantine, encode_rollout, encode_signals, from_i64, to_i64},
    },
    services::ACCEPT_RETRY_DELAY,
    shared::lock,
};

/// Largest frame, in bytes.
pub(super) const MAX_FRAME: usize = 16 << 10;
/// Time for which one frame is waited for: at least 330 kbit/s, a sixtieth of the smallest link that was seen.
pub(super) const FRAME_LIMIT: Duration = Duration::from_millis(400);

/// Time for which a VM waits for others to be served; less than it waits for the first frame.
const WAIT_LIMIT: Duration = Duration::from_millis(300);
/// Time between two looks whether others were served: a fraction of the time in which one is.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// Why a VM was not handed what it asked for.
#[derive(Debug, Snafu)]
enum HandError {
    #[snafu(display("it left"))]
    Left,
    #[snafu(display("others were served all the time"))]
    Busy,
    #[snafu(display("it took too long"))]
    Late,
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: io::Error },
    #[snafu(display("a message can't be read or written: {source}"))]
    Message { source: RpcError },
    #[snafu(display("a part can't be written: {source}"))]
    Part { source: io::Error },
}

/// Hands what is in force on to each VM that connects.
pub(super) async fn serve_state(cx: PublishedContext, mut listener: Box<dyn Listener>) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                let served = cx.forced_shutdown.clone().run_until_cancelled_owned(serve(cx.clone(), connection));
                tokio::spawn(served);
            },
            Err(error) => {
                log::warn!("connection of another VM not accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

async fn serve(cx: PublishedContext, connection: BoxConnection) {
    if let Err(error) = answer(&cx, connection).await {
        log::info!("another VM was not handed what is in force: {error}");
    }
}

async fn answer(cx: &PublishedContext, connection: BoxConnection) -> Result<(), HandError> {
    let mut frames = framed(connection, MAX_FRAME);
    let frame = timeout(FRAME_LIMIT, frames.next()).await.ok().context(LateSnafu)?;
    let frame = frame.context(LeftSnafu)?.context(BrokenSnafu)?;
    let question: StateQuestion = havengrade_rpc::decode(&frame).context(MessageSnafu)?;
    if cx.shared.store.is_reading(cx.shared.clock.now()) {
        // Who asks a VM that will know soon need not ask again and again.
        let _ = timeout(WAIT_LIMIT, cx.shared.wait_for_state()).await;
    }
    if question.only_vms || !can_hand_on(cx, &question) {
        // It only wants to know whom this very VM knows, or learns no more here.
        return hand(cx, &question, &mut frames).await.map(drop);
    }
    let (admission, revision) = admit(cx).await;
    match admission {
        TransferDecision::Serve => {},
        TransferDecision::Wait => return BusySnafu.fail(),
        TransferDecision::Redirect(other) => {
            let head = StateHead { ask_instead: Some(other.to_string()), ..empty_head() };
            return send_head(&mut frames, &head).await;
        },
    }
    let served = hand(cx, &question, &mut frames).await;
    let taker: Option<SocketAddr> = question.address.parse().ok();
    let is_whole = matches!(served, Ok(true));
    lock(&cx.shared.transfer_limiter).finish(revision, taker.filter(|_| is_whole));
    served.map(drop)
}

/// Whether this VM knows what is in force, and all VMs where they are wanted: who was told of some takes those for all.
fn can_hand_on(cx: &PublishedContext, question: &StateQuestion) -> bool {
    cx.shared.knows_state() && (!question.wants_vms || cx.shared.peers().is_list_loaded())
}

/// Decides on a VM that asks, once it may be served or another one can be named; at what revision.
async fn admit(cx: &PublishedContext) -> (TransferDecision, u64) {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let revision = revision(cx);
        let admission = lock(&cx.shared.transfer_limiter).admit(revision);
        if admission != TransferDecision::Wait || Instant::now() >= until {
            return (admission, revision);
        }
        sleep(WAIT_STEP).await;
    }
}

/// A number that rises whenever what is in force changes.
fn revision(cx: &PublishedContext) -> u64 {
    let view = cx.shared.store.view();
    view.operators.unwrap_or_default().saturating_add(view.endpoints.revision())
}

/// Hands on what this VM knows; tells whether it was all that is in force.
async fn hand(
    cx: &PublishedContext,
    question: &StateQuestion,
    frames: &mut FramedStream<BoxConnection>,
) -> Result<bool, HandError> {
    let answer = Answer::new(cx, question, cx.shared.clock.now()).context(PartSnafu)?;
    let is_whole = answer.head.operators.is_some() && answer.head.endpoints.is_some();
    send_head(frames, &answer.head).await?;
    for text in answer.texts {
        send_text(frames, text).await?;
    }
    Ok(is_whole)
}

async fn send_head(frames: &mut FramedStream<BoxConnection>, head: &StateHead) -> Result<(), HandError> {
    let bytes = havengrade_rpc::encode(head).context(MessageSnafu)?;
    send(frames, Bytes::from(bytes)).await
}

async fn send_text(frames: &mut FramedStream<BoxConnection>, mut text: Bytes) -> Result<(), HandError> {
    while !text.is_empty() {
        let piece = text.split_to(text.len().min(MAX_FRAME));
        send(frames, piece).await?;
    }
    Ok(())
}

async fn send(frames: &mut FramedStream<BoxConnection>, frame: Bytes) -> Result<(), HandError> {
    timeout(FRAME_LIMIT, frames.send(frame)).await.ok().context(LateSnafu)?.context(BrokenSnafu)
}

/// A head after which nothing follows; the generated default names empty things instead of none.
fn empty_head() -> StateHead {
    StateHead {
        ask_instead: None,
        operators: None,
        endpoints: None,
        vms: None,
        rollouts: None,
        quarantine: None,
        signals: None,
        reading_age_ms: None,
    }
}

fn age_ms(at: SystemTime, now: SystemTime) -> i64 {
    to_i64(now.duration_since(at).unwrap_or_default().as_millis() as u64)
}

/// An answer: its head, and the texts that follow.
struct Answer {
    head: StateHead,
    texts: Vec<Bytes>,
}

impl Answer {
    fn new(cx: &PublishedContext, question: &StateQuestion, now: SystemTime) -> io::Result<Self> {
        let mut answer = Self { head: empty_head(), texts: Vec::new() };
        // Without its own first reads this VM has nothing to tell but whom it knows.
        if question.only_vms {
            if cx.shared.peers().is_list_loaded() {
                answer.head.vms = Some(answer.part(0, Duration::ZERO, encode_vms_part(cx)?));
            }
            return Ok(answer);
        }
        if can_hand_on(cx, question) {
            answer.add_operators(cx, question, now)?;
            answer.add_endpoints(cx, question, now)?;
            answer.head.rollouts = reported_rollouts(cx, now)
                .map(|told| told.into_iter().map(|(told, usual)| encode_rollout(told, usual)).collect());
        } else {
            answer.head.reading_age_ms = cx.shared.last_store_read_at(now).map(|at| age_ms(at, now));
        }
        answer.head.quarantine = cx.shared.quarantine().full_report(now).map(encode_quarantine);
        answer.head.signals = Some(encode_signals(cx.shared.send_limits().signals.transfer_entries(now)));
        if question.wants_vms && can_hand_on(cx, question) {
            answer.head.vms = Some(answer.part(0, Duration::ZERO, encode_vms_part(cx)?));
        }
        Ok(answer)
    }

    fn add_operators(&mut self, cx: &PublishedContext, question: &StateQuestion, now: SystemTime) -> io::Result<()> {
        let position = cx.shared.store.view().operators.unwrap_or_default();
        let is_news = question.operators_position.is_none_or(|known| from_i64(known) < position);
        let text = if is_news { encode_operators_part(cx, position)? } else { Bytes::new() };
        self.head.operators = Some(self.part(position, cx.shared.config_age(now).unwrap_or_default(), text));
        Ok(())
    }

    fn add_endpoints(&mut self, cx: &PublishedContext, question: &StateQuestion, now: SystemTime) -> io::Result<()> {
        let known = question.endpoints_position.map(from_i64);
        let (position, revision, age, changes) = {
            let view = cx.shared.store.view();
            let changes = known.and_then(|known| view.endpoints.since(known));
            let changes = changes.map(|changes| changes.cloned().collect::<Vec<_>>());
            let age = now.duration_since(view.endpoints_at).unwrap_or_default();
            (view.endpoints.position(), view.endpoints.revision(), age, changes)
        };
        let is_ahead = known.is_some_and(|known| known > position);
        let text = match changes {
            Some(changes) if changes.is_empty() => Bytes::new(),
            Some(changes) => deflate_json(&changes)?,
            None if is_ahead => Bytes::new(),
            None => encode_endpoints_part(cx, revision)?,
        };
        self.head.endpoints = Some(self.part(position, age, text));
        Ok(())
    }

    fn part(&mut self, position: u64, age: Duration, text: Bytes) -> StatePart {
        let bytes = to_i64(text.len() as u64);
        self.texts.push(text);
        StatePart::new(to_i64(position), to_i64(age.as_millis() as u64 + 1), bytes)
    }
}
