//! Asking the VMs that read the store what is new in it, and answering those that ask.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::VmId,
    published::{
        directory::DirectoryEvent,
        relay::{MAX_RELAYED_AGE, ReaderSelection, confirmed_at},
    },
};
use havengrade_rpc::reports::{StoreAnswer, StoreQuestion};

use crate::published::{
    context::PublishedContext,
    follow::{ENDPOINTS, FollowMessage, OPERATORS, Relayed, find, send},
    ports::OperatorEvent,
    take::{Wanted, take_news},
    wire::{decode_change, encode_change, from_i64, to_i64},
};

/// Time between two questions.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Time after which another VM is asked where one does not answer; the farthest answers in some 10 ms.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Most changes in one answer, so that it fits a packet; who misses more takes them over a connection.
const MAX_CHANGES: usize = 8;

/// Age of the configuration from which a VM that offers to read for others is asked.
const VOLUNTEER_AGE: Duration = Duration::from_millis(1200);

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
    readers: ReaderSelection,
}

impl Questions {
    /// Finds out who reads the store; gives a question and whom to ask, if it is time for one.
    pub(super) fn next(&mut self, cx: &PublishedContext, now: SystemTime) -> Option<(StoreQuestion, SocketAddr)> {
        let pause = |asked: &Asked| if asked.is_answered { ASK_EVERY } else { ANSWER_LIMIT };
        if self.last.as_ref().is_some_and(|asked| now < asked.at + pause(asked)) {
            return None;
        }
        if let Some(asked) = self.last.take_if(|asked| !asked.is_answered) {
            self.readers.record_miss(&asked.vm, now);
        }
        let (vm, to) = self.choose(cx, now)?;
        let (operators, endpoints) = positions(cx)?;
        self.number += 1;
        self.last = Some(Asked { number: self.number, vm, at: now, is_answered: false, operators, endpoints });
        let address = cx.shared.settings.listen.peers.to_string();
        Some((StoreQuestion::new(to_i64(self.number), address, to_i64(operators), to_i64(endpoints)), to))
    }

    /// The VM to ask; none where this VM is a reader, or the others are not known yet.
    fn choose(&mut self, cx: &PublishedContext, now: SystemTime) -> Option<(VmId, SocketAddr)> {
        let me = &cx.shared.settings.vm.id;
        let peers = cx.shared.peers();
        if !peers.is_list_loaded() {
            return None;
        }
        let vms = peers.all().map(|peer| &peer.vm).chain([me]);
        let readers = self.readers.select(vms, me, now);
        let is_reader = readers.contains(&me);
        cx.shared.store.set_reader(is_reader);
        if is_reader {
            cx.shared.store.set_volunteer(false);
            return None;
        }
        let vm = self.readers.next_to_ask(&readers)?;
        let address = peers.address(&vm)?;
        Some((vm, address))
    }

    /// Takes an answer and hands it to the services that follow the store.
    pub(super) fn take(&mut self, cx: &PublishedContext, answer: StoreAnswer) {
        if from_i64(answer.number) == HINT {
            self.take_hint(cx, &answer);
            return;
        }
        let Some(asked) = self.last.as_mut().filter(|asked| asked.number == from_i64(answer.number)) else { return };
        let age = age_of(&answer);
        asked.is_answered = true;
        if age >= MAX_RELAYED_AGE {
            self.readers.record_stale_answer(&asked.vm);
        } else if self.readers.record_answer(&asked.vm) {
            cx.shared.store.set_volunteer(false);
        }
        take_operators(cx, asked, &answer);
        take_endpoints(cx, asked, answer);
    }

    /// A hint is believed no further than that its sender is worth a question.
    fn take_hint(&mut self, cx: &PublishedContext, hint: &StoreAnswer) {
        let known = cx.shared.store.view().operators;
        let position = from_i64(hint.operators_position);
        if known.is_some_and(|known| position > known) {
            look(cx, hint, position);
        }
        let now = cx.shared.clock.now();
        let is_old = cx.shared.config_age(now).is_none_or(|age| age >= VOLUNTEER_AGE);
        if is_old && age_of(hint) < MAX_RELAYED_AGE {
            self.take_volunteer(cx, hint);
        }
    }

    /// Asks the sender of a hint at once, since the readers don't reach the store.
    fn take_volunteer(&mut self, cx: &PublishedContext, hint: &StoreAnswer) {
        let Some(address) = address_of(hint) else { return };
        let vm = cx.shared.peers().all().find(|peer| peer.address == address).map(|peer| peer.vm.clone());
        if let Some(vm) = vm {
            self.readers.add_fallback(vm);
            self.last = None;
        }
    }
}

/// What a VM that reads the store tells all others when operators wrote something.
pub(super) fn hint(cx: &PublishedContext, now: SystemTime) -> Option<StoreAnswer> {
    let question = StoreQuestion::new(to_i64(HINT), String::new(), 0, to_i64(u64::MAX));
    answer(cx, &question, now)
}

/// Takes news from the VM that told of them where it hands them on, or else from the store.
fn look(cx: &PublishedContext, answer: &StoreAnswer, position: u64) {
    match address_of(answer) {
        Some(from) => take_news(cx, from, Wanted::Operators(position)),
        None => {
            if let Some(service) = find::<OperatorEvent>(cx, OPERATORS) {
                send(&service, FollowMessage::Hurry);
            }
        },
    }
}

/// Where the answering VM hands on what it knows, if it does.
fn address_of(answer: &StoreAnswer) -> Option<SocketAddr> {
    answer.address.as_ref()?.parse().ok()
}

fn age_of(answer: &StoreAnswer) -> Duration {
    Duration::from_millis(from_i64(answer.operators_age_ms.max(answer.endpoints_age_ms)))
}

/// How far this VM has read the store; none before its first reads.
fn positions(cx: &PublishedContext) -> Option<(u64, u64)> {
    let view = cx.shared.store.view();
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
    let from = address_of(&answer);
    let events = answer.changes.map(|changes| changes.into_iter().map(decode_change).collect::<Option<Vec<_>>>());
    match (events.flatten(), from) {
        (Some(events), _) => {
            let at = confirmed_at(asked.at, Duration::from_millis(from_i64(answer.endpoints_age_ms)));
            let relayed = Relayed { events, from: Some(asked.endpoints), position, at };
            send(&service, FollowMessage::Relayed(relayed));
        },
        (None, Some(from)) => take_news(cx, from, Wanted::Endpoints(position)),
        (None, None) => send(&service, FollowMessage::Hurry),
    }
}

/// Answers a question from what this VM knows; none before its own first reads.
pub(super) fn answer(cx: &PublishedContext, question: &StoreQuestion, now: SystemTime) -> Option<StoreAnswer> {
    let view = cx.shared.store.view();
    let age = |at: SystemTime| to_i64(now.duration_since(at).unwrap_or_default().as_millis() as u64 + 1);
    let changes = view.endpoints.since(from_i64(question.endpoints_position));
    let changes = changes.filter(|changes| changes.len() <= MAX_CHANGES);
    let changes = changes.and_then(|changes| changes.cloned().map(encode_change).collect::<Option<Vec<_>>>());
    Some(StoreAnswer::new(
        question.number,
        to_i64(view.operators?),
        age(cx.shared.config_confirmed_at()?),
        to_i64(view.endpoints.position()),
        age(view.endpoints_at),
        changes,
        cx.uses_state_transfer.then(|| cx.shared.settings.listen.peers.to_string()),
    ))
}
