//! Asking the VMs that read the store what is new in it, and answering those that ask.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::VmId,
    published::{
        directory::DirectoryEvent,
        relay::{Readers, TOLD_LIMIT, confirmed_at},
    },
};
use havengrade_rpc::reports::{StoreAnswer, StoreQuestion};
use ractor::ActorRef;

use crate::{
    kernel::ServiceContext as _,
    published::{
        context::PublishedContext,
        follow::{ENDPOINTS, FollowMessage, OPERATORS, Relayed},
        news::fetch,
        ports::OperatorEvent,
        wire::{decode_change, encode_change, from_i64, to_i64},
    },
};

/// Time between two questions.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Most changes in one answer, so that it fits a datagram; a roll-out of some dozen endpoints does. Who misses
/// more reads the store.
const MAX_CHANGES: usize = 128;

/// Number of an answer that nobody asked for: it only says that operators wrote something.
const HINT: u64 = 0;

/// A question that was asked.
#[derive(Clone, Debug)]
struct Asked {
    number: u64,
    /// The VM that was asked.
    vm: VmId,
    at: SystemTime,
    is_answered: bool,
    operators: u64,
    endpoints: u64,
}

/// The questions of this VM.
#[derive(Debug, Default)]
pub(super) struct Questions {
    last: Option<Asked>,
    number: u64,
    readers: Readers,
}

impl Questions {
    /// Finds out who reads the store; gives a question and whom to ask, if it is time for one.
    pub(super) fn next(&mut self, cx: &PublishedContext, now: SystemTime) -> Option<(StoreQuestion, SocketAddr)> {
        if self.last.as_ref().is_some_and(|asked| now < asked.at + ASK_EVERY) {
            return None;
        }
        if let Some(asked) = self.last.take_if(|asked| !asked.is_answered) {
            self.readers.miss(&asked.vm, now);
        }
        let (vm, to) = self.choose(cx, now)?;
        let (operators, endpoints) = positions(cx)?;
        self.number += 1;
        self.last = Some(Asked { number: self.number, vm, at: now, is_answered: false, operators, endpoints });
        let address = cx.shared.settings.listen.peers.to_string();
        Some((StoreQuestion::new(to_i64(self.number), address, to_i64(operators), to_i64(endpoints)), to))
    }

    /// The reader to ask; none where this VM is one of them, or the others are not known yet.
    fn choose(&mut self, cx: &PublishedContext, now: SystemTime) -> Option<(VmId, SocketAddr)> {
        let me = &cx.shared.settings.vm.id;
        let peers = cx.shared.peers();
        if !peers.is_listed() {
            return None;
        }
        let vms = peers.all().map(|peer| &peer.vm).chain([me]);
        let readers = self.readers.among(vms, me, now);
        let is_reader = readers.contains(&me);
        cx.shared.set_reader(is_reader);
        let vm = self.readers.next(&readers).filter(|_| !is_reader)?;
        Some((vm.clone(), peers.address(vm)?))
    }

    /// Takes an answer and hands it to the services that follow the store.
    pub(super) fn take(&mut self, cx: &PublishedContext, answer: StoreAnswer) {
        if from_i64(answer.number) == HINT {
            take_hint(cx, &answer);
            return;
        }
        let Some(asked) = self.last.as_mut().filter(|asked| asked.number == from_i64(answer.number)) else { return };
        let age = Duration::from_millis(from_i64(answer.operators_age_ms.max(answer.endpoints_age_ms)));
        // One that does not reach the store itself is of no more use than one that does not answer.
        asked.is_answered = age < TOLD_LIMIT;
        if asked.is_answered {
            self.readers.hear(&asked.vm);
        }
        take_operators(cx, asked, &answer);
        take_endpoints(cx, asked, answer);
    }
}

/// What a VM that reads the store tells all others when operators wrote something.
pub(super) fn hint(cx: &PublishedContext, now: SystemTime) -> Option<StoreAnswer> {
    let question = StoreQuestion::new(to_i64(HINT), String::new(), 0, to_i64(u64::MAX));
    answer(cx, &question, now)
}

/// A hint is believed no further than that the store is worth a look.
fn take_hint(cx: &PublishedContext, hint: &StoreAnswer) {
    let known = cx.shared.view().operators;
    let position = from_i64(hint.operators_position);
    if known.is_some_and(|known| position > known) {
        look(cx, hint, position);
    }
}

/// Takes news from the VM that told of them where it hands them on, or else from the store.
fn look(cx: &PublishedContext, answer: &StoreAnswer, position: u64) {
    let from = answer.address.as_ref().and_then(|address| address.parse().ok());
    match from {
        Some(from) => fetch(cx, from, position),
        None => {
            if let Some(service) = find::<OperatorEvent>(cx, OPERATORS) {
                send(&service, FollowMessage::Hurry);
            }
        },
    }
}

/// How far this VM has read the store; none before its first reads.
fn positions(cx: &PublishedContext) -> Option<(u64, u64)> {
    let view = cx.shared.view();
    Some((view.operators?, view.endpoints.position()))
}

fn take_operators(cx: &PublishedContext, asked: &Asked, answer: &StoreAnswer) {
    let Some(service) = find::<OperatorEvent>(cx, OPERATORS) else { return };
    let position = from_i64(answer.operators_position);
    if position > asked.operators {
        look(cx, answer, position);
    } else if position == asked.operators {
        let at = confirmed_at(asked.at, Duration::from_millis(from_i64(answer.operators_age_ms)));
        let relayed = Relayed { events: Vec::new(), from: Some(position), position, at };
        send(&service, FollowMessage::Relayed(relayed));
    }
}

fn take_endpoints(cx: &PublishedContext, asked: &Asked, answer: StoreAnswer) {
    let Some(service) = find::<DirectoryEvent>(cx, ENDPOINTS) else { return };
    let position = from_i64(answer.endpoints_position);
    if position < asked.endpoints {
        return;
    }
    let events = answer.changes.map(|changes| changes.into_iter().map(decode_change).collect::<Option<Vec<_>>>());
    let message = match events.flatten() {
        Some(events) => {
            let at = confirmed_at(asked.at, Duration::from_millis(from_i64(answer.endpoints_age_ms)));
            FollowMessage::Relayed(Relayed { events, from: Some(asked.endpoints), position, at })
        },
        None => FollowMessage::Hurry,
    };
    send(&service, message);
}

pub(super) fn find<T: Send + 'static>(cx: &PublishedContext, name: &str) -> Option<ActorRef<FollowMessage<T>>> {
    ractor::registry::where_is(cx.actor_name(name)).map(ActorRef::from)
}

pub(super) fn send<T: Send + 'static>(service: &ActorRef<FollowMessage<T>>, message: FollowMessage<T>) {
    if let Err(error) = service.cast(message) {
        log::debug!("a service that follows the store is gone: {error}");
    }
}

/// Answers a question from what this VM knows; none before its own first reads.
pub(super) fn answer(cx: &PublishedContext, question: &StoreQuestion, now: SystemTime) -> Option<StoreAnswer> {
    let view = cx.shared.view().clone();
    let age = |at: SystemTime| to_i64(now.duration_since(at).unwrap_or_default().as_millis() as u64 + 1);
    let changes = view.endpoints.since(from_i64(question.endpoints_position));
    let changes = changes.filter(|changes| changes.len() <= MAX_CHANGES);
    let changes = changes.and_then(|changes| changes.into_iter().map(encode_change).collect::<Option<Vec<_>>>());
    Some(StoreAnswer::new(
        question.number,
        to_i64(view.operators?),
        age(cx.shared.confirmed()?),
        to_i64(view.endpoints.position()),
        age(view.endpoints_at),
        changes,
        cx.hands_news_on.then(|| cx.shared.settings.listen.peers.to_string()),
    ))
}
