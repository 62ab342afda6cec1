//! The start of a VM: it learns what is in force from others, or else from the store.

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

/// Longest time between two rounds of questions, for a VM that nobody tells and that reads the store itself.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(800);

/// How much longer VMs spread their looks at the list of VMs at the first start of all: it is long, and whoever reads it greets the others.
const FIRST_START_SPREAD: u32 = 8;

/// Learns what is in force, and then lets the services follow the store.
pub(super) async fn learn_state(cx: &PublishedContext, roster: &dyn Roster) {
    fetch_initial_state(cx, roster).await;
    feed_reader::start_reading(cx);
    log::info!(vms = cx.shared.peers().len(); "what is in force is known");
}

/// Waits until another VM is heard, or the list of VMs is read; whoever reads it greets the others.
pub(super) async fn discover_vms(cx: &PublishedContext, roster: &dyn Roster) {
    if !cx.uses_state_transfer {
        // What is followed costs nothing, and nobody hands it on.
        feed_reader::start_reading(cx);
    }
    let mut pause = listen_time(&mut *cx.shared.rng());
    if cx.shared.settings.published.is_first_start {
        // Until the others are on the list as well.
        pause = FIRST_START_LISTEN_TIME + pause * FIRST_START_SPREAD;
    }
    while timeout(pause, cx.shared.wait_for_peer()).await.is_err() {
        match read_list(cx, roster).await {
            Ok(()) => return peers::greet(cx, peer_addresses(cx)),
            Err(error) => {
                let uptime = cx.shared.uptime(cx.shared.clock.now());
                pause = retry_delay(uptime, &mut *cx.shared.rng());
                log::warn!("the list of VMs could not be read, {} ms until the next try: {error}", pause.as_millis());
            },
        }
    }
}

/// Asks others, round by round, until this VM knows what is in force.
async fn fetch_initial_state(cx: &PublishedContext, roster: &dyn Roster) {
    let asked = cx.shared.clock.now();
    let mut pause = ROUND_INTERVAL;
    for round in 0.. {
        if ask_round(cx, round).await {
            return;
        }
        let step = with_starting_vm(cx, |starting| starting.next_step(asked, cx.shared.clock.now()));
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

/// Reads the list of VMs where nobody tells anything, and greets all on it.
async fn read_list_and_greet(cx: &PublishedContext, roster: &dyn Roster) {
    match read_list(cx, roster).await {
        Ok(()) => peers::greet(cx, peer_addresses(cx)),
        Err(error) => log::warn!("nobody tells what is in force, and the list of VMs could not be read: {error}"),
    }
}

/// Learns of all VMs, since whom this one hands on to takes them from it as well.
async fn load_vm_list(cx: &PublishedContext, roster: &dyn Roster) {
    if !cx.shared.peers().is_list_loaded()
        && let Err(error) = read_list(cx, roster).await
    {
        log::warn!("the list of VMs could not be read by a VM that reads for others: {error}");
    }
}

/// What follows from this VM's start and what it knows of the others.
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

/// Asks some others at the same time; tells whether one of them told everything.
async fn ask_round(cx: &PublishedContext, round: usize) -> bool {
    if !cx.uses_state_transfer {
        return false;
    }
    let asked: Vec<SocketAddr> = with_starting_vm(cx, |starting| starting.peers_to_ask(round, &mut *cx.shared.rng()));
    let mut answers: FuturesUnordered<_> =
        asked.into_iter().map(|from| async move { (from, fetch(cx, from, FetchTarget::Everything).await) }).collect();
    while let Some((from, fetched)) = answers.next().await {
        match fetched {
            Ok(()) => return true,
            Err(error) => log::debug!("{from} did not tell what is in force: {error}"),
        }
    }
    false
}
