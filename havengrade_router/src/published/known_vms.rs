//! The other VMs that are known: read from the kept list, or told by a VM that reads it.

use std::net::SocketAddr;

use havengrade_core::published::relay::ReaderSelection;
use rand::seq::IteratorRandom as _;

use crate::published::{
    context::PublishedContext,
    ports::{Roster, StoreError},
    state_fetch::{FetchTarget, fetch},
};

/// Where the VMs that are known hear reports.
pub(super) fn peer_addresses(cx: &PublishedContext) -> Vec<SocketAddr> {
    cx.shared.peers().all().map(|peer| peer.address).collect()
}

/// Reads the kept list.
pub(super) async fn read_list(cx: &PublishedContext, roster: &dyn Roster) -> Result<(), StoreError> {
    let listed = roster.read().await?;
    let now = cx.shared.clock.now();
    let mut known = cx.shared.peers();
    known.set_list_loaded();
    for peer in listed.into_iter().filter(|peer| peer.vm != cx.shared.settings.vm.id) {
        known.add_listed(peer, now);
    }
    log::info!(vms = known.len(); "list of VMs read");
    Ok(())
}

/// Asks one of the VMs that read the store whom it knows.
pub(super) async fn ask_reader(cx: &PublishedContext) -> bool {
    let Some(other) = random_reader(cx) else { return false };
    let fetched = fetch(cx, other, FetchTarget::Vms).await;
    if let Err(error) = &fetched {
        log::info!("{other} did not tell whom it knows: {error}");
    }
    fetched.is_ok()
}

fn random_reader(cx: &PublishedContext) -> Option<SocketAddr> {
    let me = &cx.shared.settings.vm.id;
    let peers = cx.shared.peers();
    let vms = peers.all().map(|peer| &peer.vm).chain([me]);
    let readers = ReaderSelection::default().select(vms, me, cx.shared.clock.now());
    let others = readers.into_iter().filter(|vm| *vm != me);
    others.filter_map(|vm| peers.address(vm)).choose(&mut *cx.shared.rng())
}
