//! Registration of this VM on the stored list of VMs, and updates of the VMs that it knows.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

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
    startup::{discover_vms, load_state},
};

/// Delays of the first two refreshes after a start: other VMs may register after the list was read, and until all know
/// them, VMs do not agree on the readers of the store.
const EARLY_REFRESHES: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(4000)];
/// Time between two reads of the list while no other VM is known.
const ALONE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two refreshes of the list; in between, starting VMs announce themselves to all others.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Largest number of readers that are asked in turn for the VMs that they know.
const MAX_READERS_ASKED: usize = 2;
/// Share of the interval that is added at random, to spread the refreshes of a fleet.
const REFRESH_JITTER: f64 = 0.5;

/// Registers this VM, learns of the other VMs and of the active state, and deregisters at a planned stop.
pub(super) async fn maintain_registration(cx: PublishedContext, roster: Arc<dyn Roster>) {
    let me = cx.own_peer();
    let known = async {
        // At the first start of the fleet the list is empty, and the readers of the store are only known once all VMs
        // are registered.
        let mut is_registered = cx.shared.settings.published.is_first_start && try_register(&*roster, &me).await;
        discover_vms(&cx, &*roster).await;
        // A VM that knows no other must be on the list before others read it. Any other VM gets ready for callers
        // first: the list accepts one entry per millisecond, and reads wait for the writes before them.
        if !is_registered && cx.shared.peers().is_empty() {
            register_with_retries(&cx, &*roster, &me).await;
            is_registered = true;
        }
        load_state(&cx, &*roster).await;
        if !is_registered {
            sleep(registration_delay(&cx)).await;
            register_with_retries(&cx, &*roster, &me).await;
        }
        tokio::join!(refresh_known_vms(&cx, &*roster), register_after_restores(&cx, &*roster, &me));
    };
    cx.graceful_shutdown.run_until_cancelled(known).await;
    if let Err(error) = roster.deregister(&me.vm).await {
        log::warn!("this VM remains registered after its stop: {error}");
    }
}

/// Random delay before this VM registers, to spread the registrations of a fleet.
fn registration_delay(cx: &PublishedContext) -> Duration {
    registration_spread(cx.shared.peers().len()).mul_f64(cx.shared.rng().random::<f64>())
}

/// Tries to register this VM once; returns whether that succeeded.
async fn try_register(roster: &dyn Roster, me: &Peer) -> bool {
    let registered = roster.register(me).await;
    if let Err(error) = &registered {
        log::warn!("this VM is not registered yet, first looking for other VMs: {error}");
    }
    registered.is_ok()
}

async fn register_with_retries(cx: &PublishedContext, roster: &dyn Roster, me: &Peer) {
    while let Err(error) = roster.register(me).await {
        let uptime = cx.shared.uptime(cx.shared.clock.now());
        let pause = retry_delay(uptime, &mut *cx.shared.rng());
        log::warn!("this VM is not registered yet, next attempt in {} ms: {error}", pause.as_millis());
        sleep(pause).await;
    }
}

/// Registers this VM again whenever the store was restored from an older copy, which may lack its entry.
async fn register_after_restores(cx: &PublishedContext, roster: &dyn Roster, me: &Peer) {
    let mut eras = cx.shared.store.eras();
    while eras.changed().await.is_ok() {
        sleep(registration_delay(cx)).await;
        register_with_retries(cx, roster, me).await;
    }
}

/// Refreshes the known VMs periodically, from a reader or else from the stored list.
async fn refresh_known_vms(cx: &PublishedContext, roster: &dyn Roster) {
    let mut early = EARLY_REFRESHES.into_iter();
    loop {
        let interval = if cx.shared.peers().is_empty() { ALONE_INTERVAL } else { REFRESH_INTERVAL };
        sleep(add_jitter(cx, early.next().unwrap_or(interval))).await;
        let known: HashSet<SocketAddr> = peer_addresses(cx).into_iter().collect();
        // Readers of the store read the list itself; the other VMs ask the readers.
        let knows_all = cx.shared.peers().is_list_loaded() && !known.is_empty();
        if !cx.uses_state_transfer || cx.shared.store.is_reader() || !knows_all {
            if let Err(error) = read_list(cx, roster).await {
                log::warn!("the list of VMs could not be read: {error}");
            }
        } else {
            sleep(registration_delay(cx)).await;
            ask_readers(cx, roster).await;
        }
        // A VM that was unknown until now may not know this VM either.
        greet(cx, peer_addresses(cx).into_iter().filter(|address| !known.contains(address)).collect());
    }
}

/// Asks readers of the store for the VMs that they know.
///
/// If none answers, this VM reads the list itself with a probability at which, of the whole fleet, as many VMs do so as
/// there are readers.
async fn ask_readers(cx: &PublishedContext, roster: &dyn Roster) {
    for _ in 0..MAX_READERS_ASKED {
        if ask_reader(cx).await {
            return;
        }
    }
    let vms = cx.shared.peers().len() + 1;
    let may_read = cx.shared.rng().random_range(0..vms) < reader_count(vms);
    if may_read && let Err(error) = read_list(cx, roster).await {
        log::warn!("the list of VMs could not be read, and no reader gave it: {error}");
    }
}

fn add_jitter(cx: &PublishedContext, pause: Duration) -> Duration {
    pause.mul_f64(1.0 + REFRESH_JITTER * cx.shared.rng().random::<f64>())
}
