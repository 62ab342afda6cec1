//! Queries to the VMs that read the store about changes in it, and answers to such queries.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::VmId,
    published::{
        directory::DirectoryEvent,
        relay::{ReaderSelection, STALE_READER_AGE, confirmed_at},
    },
};
use havengrade_rpc::reports::{StoreAnswer, StoreQuestion};

use crate::published::{
    context::PublishedContext,
    feed_reader::{ENDPOINT_FEED, FeedMessage, OPERATOR_FEED, RelayedEvents, find_service, send},
    ports::OperatorEvent,
    state_fetch::{FetchTarget, fetch_update},
    view_age::EventSource,
    wire::{decode_change, encode_change, from_i64, to_i64},
};

/// Time between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which another VM is asked if one does not answer; the most distant VM answers in about 10 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest number of changes in an answer, so that it fits into a packet; more are transferred over a connection.
const MAX_CHANGES: usize = 8;

/// Age of the view of operators' events, or of the endpoint list, from which a VM that offers to be a fallback reader is
/// asked.
const FALLBACK_AGE: Duration = Duration::from_millis(1200);

/// Number of an unsolicited answer, which only hints at new operators' events.
const HINT_NUMBER: u64 = 0;

/// The query that was sent last.
#[derive(Clone, Debug)]
struct SentQuery {
    number: u64,
    /// The VM that was asked.
    vm: VmId,
    sent_at: SystemTime,
    is_answered: bool,
    /// Position of the operators' events after which changes were asked for.
    operators_position: u64,
    /// Position of the endpoint list after which changes were asked for.
    endpoints_position: u64,
}

/// The queries of this VM.
#[derive(Debug, Default)]
pub(super) struct StoreQueries {
    last: Option<SentQuery>,
    number: u64,
    readers: ReaderSelection,
}

impl StoreQueries {
    /// Selects the readers of the store; returns the next query and the address to send it to, if one is due.
    pub(super) fn next_query(&mut self, cx: &PublishedContext, now: SystemTime) -> Option<(StoreQuestion, SocketAddr)> {
        let interval = |sent: &SentQuery| if sent.is_answered { QUERY_INTERVAL } else { ANSWER_TIMEOUT };
        if self.last.as_ref().is_some_and(|sent| now < sent.sent_at + interval(sent)) {
            return None;
        }
        if let Some(sent) = self.last.take_if(|sent| !sent.is_answered) {
            self.readers.record_miss(&sent.vm, now);
        }
        let (vm, to) = self.choose_reader(cx, now)?;
        let (operators_position, endpoints_position) = positions(cx)?;
        self.number += 1;
        self.last = Some(SentQuery {
            number: self.number,
            vm,
            sent_at: now,
            is_answered: false,
            operators_position,
            endpoints_position,
        });
        let address = cx.shared.settings.listen.peers.to_string();
        Some((
            StoreQuestion::new(to_i64(self.number), address, to_i64(operators_position), to_i64(endpoints_position)),
            to,
        ))
    }

    /// The VM to ask; none if the list of VMs has not been loaded, or if this VM reads the store and reaches it.
    fn choose_reader(&mut self, cx: &PublishedContext, now: SystemTime) -> Option<(VmId, SocketAddr)> {
        let me = &cx.shared.settings.vm.id;
        let peers = cx.shared.peers();
        if !peers.is_list_loaded() {
            return None;
        }
        let vms = peers.all().map(|peer| &peer.vm).chain([me]);
        let readers = self.readers.select(vms, me, now);
        let is_reader = readers.contains(&me);
        cx.shared.store.set_reader(is_reader, now);
        if is_reader {
            cx.shared.store.set_fallback_reader(false, now);
            if cx.shared.store.view().own_read_age(now) < STALE_READER_AGE {
                return None;
            }
        }
        let others: Vec<&VmId> = readers.into_iter().filter(|vm| *vm != me).collect();
        let vm = self.readers.next_to_ask(&others)?;
        let address = peers.address(&vm)?;
        Some((vm, address))
    }

    /// Applies an answer and relays its events to the feeds' services.
    pub(super) fn apply_answer(&mut self, cx: &PublishedContext, answer: StoreAnswer) {
        if from_i64(answer.number) == HINT_NUMBER {
            self.apply_hint(cx, &answer);
            return;
        }
        let Some(sent) = self.last.as_mut().filter(|sent| sent.number == from_i64(answer.number)) else { return };
        let age = answer_age(&answer);
        sent.is_answered = true;
        if age < STALE_READER_AGE {
            cx.shared.record_fresh_answer(cx.shared.clock.now());
        }
        if age >= STALE_READER_AGE {
            self.readers.record_stale_answer(&sent.vm);
        } else if self.readers.record_answer(&sent.vm) {
            cx.shared.store.set_fallback_reader(false, cx.shared.clock.now());
        }
        apply_operators(cx, sent, &answer);
        apply_endpoints(cx, sent, answer);
    }

    /// Applies a hint: it is never trusted as state, but makes this VM ask the sender.
    fn apply_hint(&mut self, cx: &PublishedContext, hint: &StoreAnswer) {
        let known = cx.shared.store.view().operators_position;
        let position = from_i64(hint.operators_position);
        if known.is_some_and(|known| position > known) {
            fetch_change(cx, hint, position);
        }
        let now = cx.shared.clock.now();
        let is_stale = cx.shared.operators_age(now) >= FALLBACK_AGE || cx.shared.endpoint_list_age(now) >= FALLBACK_AGE;
        if is_stale && answer_age(hint) < STALE_READER_AGE {
            self.add_fallback_reader(cx, hint);
        }
    }

    /// Adds the sender of a hint as a fallback reader and makes a query due, since the readers do not reach the store.
    fn add_fallback_reader(&mut self, cx: &PublishedContext, hint: &StoreAnswer) {
        let Some(address) = transfer_address(hint) else { return };
        let vm = cx.shared.peers().all().find(|peer| peer.address == address).map(|peer| peer.vm.clone());
        if let Some(vm) = vm {
            self.readers.add_fallback(vm);
            self.last = None;
        }
    }
}

/// Whether this VM, which has become a fallback reader, has read what others would ask it for.
pub(super) fn can_offer_reads(cx: &PublishedContext, now: SystemTime) -> bool {
    cx.shared.endpoint_list_age(now) < STALE_READER_AGE && cx.shared.operators_age(now) < STALE_READER_AGE
}

/// The hint that a reader sends to all other VMs after operators wrote something.
pub(super) fn change_hint(cx: &PublishedContext, now: SystemTime) -> Option<StoreAnswer> {
    let query = StoreQuestion::new(to_i64(HINT_NUMBER), String::new(), 0, to_i64(u64::MAX));
    answer_query(cx, &query, now)
}

/// Fetches a change from the VM that reported it if it transfers state, or else from the store.
fn fetch_change(cx: &PublishedContext, answer: &StoreAnswer, position: u64) {
    match transfer_address(answer) {
        Some(from) => fetch_update(cx, from, FetchTarget::Operators(position)),
        None => {
            if let Some(service) = find_service::<OperatorEvent>(cx, OPERATOR_FEED) {
                send(&service, FeedMessage::RequestRead);
            }
        },
    }
}

/// The address at which the answering VM transfers its state, if it does.
fn transfer_address(answer: &StoreAnswer) -> Option<SocketAddr> {
    answer.address.as_ref()?.parse().ok()
}

fn answer_age(answer: &StoreAnswer) -> Duration {
    Duration::from_millis(from_i64(answer.operators_age_ms.max(answer.endpoints_age_ms)))
}

/// The positions of this VM's view of the store; none before its first reads.
fn positions(cx: &PublishedContext) -> Option<(u64, u64)> {
    let view = cx.shared.store.view();
    Some((view.operators_position?, view.endpoint_changes.position()))
}

fn apply_operators(cx: &PublishedContext, sent: &SentQuery, answer: &StoreAnswer) {
    let Some(service) = find_service::<OperatorEvent>(cx, OPERATOR_FEED) else { return };
    let position = from_i64(answer.operators_position);
    if position > sent.operators_position {
        fetch_change(cx, answer, position);
    } else if position == sent.operators_position {
        let at = confirmed_at(sent.sent_at, Duration::from_millis(from_i64(answer.operators_age_ms)));
        let source = EventSource::Answer { vm: sent.vm.clone(), relist_grace: None };
        let relayed = RelayedEvents { events: Vec::new(), from: Some(position), position, at, source };
        send(&service, FeedMessage::Relayed(relayed));
    }
}

fn apply_endpoints(cx: &PublishedContext, sent: &SentQuery, answer: StoreAnswer) {
    let Some(service) = find_service::<DirectoryEvent>(cx, ENDPOINT_FEED) else { return };
    let position = from_i64(answer.endpoints_position);
    if position < sent.endpoints_position {
        return;
    }
    let from = transfer_address(&answer);
    let events = answer.changes.map(|changes| changes.into_iter().map(decode_change).collect::<Option<Vec<_>>>());
    match (events.flatten(), from) {
        (Some(events), _) => {
            let at = confirmed_at(sent.sent_at, Duration::from_millis(from_i64(answer.endpoints_age_ms)));
            let relist_grace = answer.relist_grace_ms.map(|grace| Duration::from_millis(from_i64(grace)));
            let source = EventSource::Answer { vm: sent.vm.clone(), relist_grace };
            let relayed = RelayedEvents { events, from: Some(sent.endpoints_position), position, at, source };
            send(&service, FeedMessage::Relayed(relayed));
        },
        (None, Some(from)) => fetch_update(cx, from, FetchTarget::Endpoints(position)),
        (None, None) => send(&service, FeedMessage::RequestRead),
    }
}

/// Answers a query from this VM's view of the store; none before its first reads.
///
/// A VM that reads the store for others vouches only for what it read itself, so that they learn when it no longer
/// reaches the store.
pub(super) fn answer_query(cx: &PublishedContext, query: &StoreQuestion, now: SystemTime) -> Option<StoreAnswer> {
    let is_reader = cx.shared.store.is_reader();
    let view = cx.shared.store.view();
    let age = |confirmed_at: SystemTime, read_age: Duration| {
        let age = now.duration_since(confirmed_at).unwrap_or_default();
        let age = if is_reader { age.max(read_age) } else { age };
        to_i64(age.as_millis() as u64 + 1)
    };
    let changes = view.endpoint_changes.since(from_i64(query.endpoints_position));
    let changes = changes.filter(|changes| changes.len() <= MAX_CHANGES);
    let changes = changes.and_then(|changes| changes.cloned().map(encode_change).collect::<Option<Vec<_>>>());
    Some(StoreAnswer::new(
        query.number,
        to_i64(view.operators_position?),
        age(view.operators_confirmed_at, view.operators_read_age(now)),
        to_i64(view.endpoint_changes.position()),
        age(view.endpoints_confirmed_at, view.endpoints_read_age(now)),
        changes,
        cx.uses_state_transfer.then(|| cx.shared.settings.listen.peers.to_string()),
        to_i64(view.relist_grace(now).as_millis() as u64),
    ))
}
