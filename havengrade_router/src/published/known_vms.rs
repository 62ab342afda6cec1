//! The other VMs that this one knows: from the stored list, or from a reader of the store.

use std::net::SocketAddr;

use havengrade_core::published::relay::ReaderSelection;
use rand::seq::IteratorRandom as _;

use crate::published::{
    context::PublishedContext,
    ports::{Roster, StoreError},
    state_fetch::{FetchTarget, fetch},
};

/// The addresses at which the known VMs receive reports.
pub(super) fn peer_addresses(cx: &PublishedContext) -> Vec<SocketAddr> {
    cx.shared.peers().all().map(|peer| peer.address).collect()
}

/// Reads the stored list of VMs.
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

/// Asks a random reader of the store for the VMs that it knows; returns whether it gave them.
pub(super) async fn ask_reader(cx: &PublishedContext) -> bool {
    let Some(other) = random_reader(cx) else { return false };
    let fetched = fetch(cx, other, FetchTarget::Vms).await;
    if let Err(error) = &fetched {
        log::info!("{other} did not give the VMs that it knows: {error}");
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
