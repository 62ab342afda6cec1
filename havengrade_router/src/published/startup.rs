//! The startup of a VM, which gets the active state from other VMs, or else from the store.

use std::{net::SocketAddr, time::Duration};

use futures::{StreamExt as _, stream::FuturesUnordered};
use havengrade_core::published::startup::{
    FIRST_START_LISTEN_TIME, NextStep, ROUND_INTERVAL, StartingVm, listen_time, retry_delay,
};
use tokio::time::timeout;

use crate::published::{
    context::PublishedContext,
    feed_reader,
    known_vms::{peer_addresses, read_list},
    peers,
    ports::Roster,
    state_fetch::{FetchTarget, fetch},
};

/// Longest time between two rounds of requests, for a VM that reads the store itself since no other VM gave the state.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(800);

/// Factor by which VMs spread their reads of the list of VMs further at the first start of the fleet.
///
/// The list is long then, and the first VM that reads it greets the others, which need not read it any more.
const FIRST_START_SPREAD: u32 = 8;

/// Gets the active state, and then allows the services to read the store.
pub(super) async fn load_state(cx: &PublishedContext, roster: &dyn Roster) {
    fetch_initial_state(cx, roster).await;
    feed_reader::start_reading(cx);
    log::info!(vms = cx.shared.peers().len(); "active state received");
}

/// Waits until another VM reports to this one, or reads the list of VMs and greets all VMs on it.
pub(super) async fn discover_vms(cx: &PublishedContext, roster: &dyn Roster) {
    if !cx.uses_state_transfer {
        // Reads of the feeds cost nothing, and other VMs do not transfer the state.
        feed_reader::start_reading(cx);
    }
    let mut pause = listen_time(&mut *cx.shared.rng());
    if cx.shared.settings.published.is_first_start {
        // Leaves time for the others to register as well.
        pause = FIRST_START_LISTEN_TIME + pause * FIRST_START_SPREAD;
    }
    while timeout(pause, cx.shared.wait_for_peer()).await.is_err() {
        match read_list(cx, roster).await {
            Ok(()) => return peers::greet(cx, peer_addresses(cx)),
            Err(error) => {
                let uptime = cx.shared.uptime(cx.shared.clock.now());
                pause = retry_delay(uptime, &mut *cx.shared.rng());
                log::warn!("the list of VMs could not be read, next attempt in {} ms: {error}", pause.as_millis());
            },
        }
    }
}

/// Asks other VMs, round by round, until this VM has the active state.
async fn fetch_initial_state(cx: &PublishedContext, roster: &dyn Roster) {
    let started_at = cx.shared.clock.now();
    let mut pause = ROUND_INTERVAL;
    for round in 0.. {
        if ask_peers(cx, round).await {
            return;
        }
        let step = with_starting_vm(cx, |starting| starting.next_step(started_at, cx.shared.clock.now()));
        match step {
            NextStep::Ask => {},
            NextStep::ReadVmList => read_list_and_greet(cx, roster).await,
            NextStep::ReadStore => {
                cx.shared.store.start_initial_read(cx.shared.clock.now());
                load_vm_list(cx, roster).await;
                feed_reader::start_reading(cx);
                pause = (pause * 2).min(MAX_ROUND_INTERVAL);
            },
        }
        if timeout(pause, cx.shared.wait_for_state()).await.is_ok() {
            return;
        }
    }
}

/// Reads the list of VMs, since no known VM gave the state, and greets all VMs on it.
async fn read_list_and_greet(cx: &PublishedContext, roster: &dyn Roster) {
    match read_list(cx, roster).await {
        Ok(()) => peers::greet(cx, peer_addresses(cx)),
        Err(error) => log::warn!("no other VM gave the active state, and the list of VMs could not be read: {error}"),
    }
}

/// Loads the list of VMs, which this VM sends along with the state that it transfers to others.
async fn load_vm_list(cx: &PublishedContext, roster: &dyn Roster) {
    if !cx.shared.peers().is_list_loaded()
        && let Err(error) = read_list(cx, roster).await
    {
        log::warn!("the list of VMs could not be read by a reader of the store: {error}");
    }
}

/// Calls a function with the state of this VM's startup and the VMs that it knows.
fn with_starting_vm<T>(cx: &PublishedContext, decide: impl FnOnce(StartingVm<'_>) -> T) -> T {
    let me = cx.own_peer();
    let peers = cx.shared.peers();
    let store_reads = cx.shared.store_reads();
    decide(StartingVm {
        me: &me,
        others: peers.all().collect(),
        is_list_loaded: peers.is_list_loaded(),
        store_reads: &store_reads,
    })
}

/// Asks some other VMs at the same time; returns whether one of them gave the whole state.
async fn ask_peers(cx: &PublishedContext, round: usize) -> bool {
    if !cx.uses_state_transfer {
        return false;
    }
    let peers: Vec<SocketAddr> = with_starting_vm(cx, |starting| starting.peers_to_ask(round, &mut *cx.shared.rng()));
    let mut answers: FuturesUnordered<_> =
        peers.into_iter().map(|from| async move { (from, fetch(cx, from, FetchTarget::Everything).await) }).collect();
    while let Some((from, fetched)) = answers.next().await {
        match fetched {
            Ok(()) => return true,
            Err(error) => log::debug!("{from} did not give the active state: {error}"),
        }
    }
    false
}
