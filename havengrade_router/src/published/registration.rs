//! This VM on the kept list of VMs, and the others that it knows.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use havengrade_core::published::{
    peers::Peer,
    relay::reader_count,
    startup::{registration_spread, retry_delay},
};
use rand::RngExt as _;
use tokio::time::sleep;

use crate::published::{
    context::PublishedContext,
    known_vms::{ask_reader, peer_addresses, read_list},
    peers::greet,
    ports::Roster,
    startup::{discover_vms, learn_state},
};

/// Times of the first looks after a start: some enter after the list was read first, and while they do, VMs don't agree yet on
/// who reads the store.
const EARLY_REFRESHES: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(4000)];
/// Time between two reads of the kept list while no other VM is known.
const ALONE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two looks at the list; in between, VMs that start tell all others of themselves.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Readers that are asked for the VMs that they know, one after the other.
const MAX_READERS_ASKED: usize = 2;
/// Part of that time by which the VMs of a fleet are spread.
const REFRESH_JITTER: f64 = 0.5;

/// Enters this VM on the kept list, learns of the others and of what is in force, and leaves the list at a planned stop.
pub(super) async fn maintain_registration(cx: PublishedContext, roster: Box<dyn Roster>) {
    let me = cx.own_peer();
    let known = async {
        // At the first start of all the list is empty, and nobody knows who reads the store until all are on it.
        let mut is_registered = cx.shared.settings.published.is_first_start && try_register(&*roster, &me).await;
        discover_vms(&cx, &*roster).await;
        // Alone, a VM must be on the list before others look. Otherwise callers come first: the list takes one entry a
        // millisecond, and whoever reads it waits for those before.
        if !is_registered && cx.shared.peers().is_empty() {
            register_with_retries(&cx, &*roster, &me).await;
            is_registered = true;
        }
        learn_state(&cx, &*roster).await;
        if !is_registered {
            sleep(registration_delay(&cx)).await;
            register_with_retries(&cx, &*roster, &me).await;
        }
        tokio::join!(refresh_known_vms(&cx, &*roster), register_after_restores(&cx, &*roster, &me));
    };
    cx.graceful_shutdown.run_until_cancelled(known).await;
    if let Err(error) = roster.deregister(&me.vm).await {
        log::warn!("this VM stays on the list of VMs after its stop: {error}");
    }
}

/// Time that this VM leaves to others for their entries.
fn registration_delay(cx: &PublishedContext) -> Duration {
    registration_spread(cx.shared.peers().len()).mul_f64(cx.shared.rng().random::<f64>())
}

/// Enters this VM before anything else; tells whether that was done.
async fn try_register(roster: &dyn Roster, me: &Peer) -> bool {
    let registered = roster.register(me).await;
    if let Err(error) = &registered {
        log::warn!("this VM is not on the list of VMs yet, others are looked for: {error}");
    }
    registered.is_ok()
}

async fn register_with_retries(cx: &PublishedContext, roster: &dyn Roster, me: &Peer) {
    while let Err(error) = roster.register(me).await {
        let uptime = cx.shared.uptime(cx.shared.clock.now());
        let pause = retry_delay(uptime, &mut *cx.shared.rng());
        log::warn!("this VM is not on the list of VMs yet, {} ms until the next try: {error}", pause.as_millis());
        sleep(pause).await;
    }
}

/// Enters this VM again whenever the store has come back from an older copy, which may not hold its entry.
async fn register_after_restores(cx: &PublishedContext, roster: &dyn Roster, me: &Peer) {
    let mut eras = cx.shared.store.eras();
    while eras.changed().await.is_ok() {
        sleep(registration_delay(cx)).await;
        register_with_retries(cx, roster, me).await;
    }
}

/// Learns of others now and then: of a VM that is known, or else from the kept list.
async fn refresh_known_vms(cx: &PublishedContext, roster: &dyn Roster) {
    let mut early = EARLY_REFRESHES.into_iter();
    loop {
        let interval = if cx.shared.peers().is_empty() { ALONE_INTERVAL } else { REFRESH_INTERVAL };
        sleep(add_jitter(cx, early.next().unwrap_or(interval))).await;
        let known: HashSet<SocketAddr> = peer_addresses(cx).into_iter().collect();
        // Those that read the store look at the kept list itself; what they learn the others ask for.
        let knows_all = cx.shared.peers().is_list_loaded() && !known.is_empty();
        if !cx.uses_state_transfer || cx.shared.store.is_reader() || !knows_all {
            if let Err(error) = read_list(cx, roster).await {
                log::warn!("the list of VMs could not be read: {error}");
            }
        } else {
            sleep(registration_delay(cx)).await;
            ask_readers(cx, roster).await;
        }
        // Whoever was not known may not know this VM either.
        greet(cx, peer_addresses(cx).into_iter().filter(|address| !known.contains(address)).collect());
    }
}

/// Asks those that read the store whom they know. Where none tells, it reads the list itself with a chance by which, of a whole fleet, as many do
/// as there are readers.
async fn ask_readers(cx: &PublishedContext, roster: &dyn Roster) {
    for _ in 0..MAX_READERS_ASKED {
        if ask_reader(cx).await {
            return;
        }
    }
    let vms = cx.shared.peers().len() + 1;
    let may_read = cx.shared.rng().random_range(0..vms) < reader_count(vms);
    if may_read && let Err(error) = read_list(cx, roster).await {
        log::warn!("the list of VMs could not be read, and nobody told it: {error}");
    }
}

fn add_jitter(cx: &PublishedContext, pause: Duration) -> Duration {
    pause.mul_f64(1.0 + REFRESH_JITTER * cx.shared.rng().random::<f64>())
}
