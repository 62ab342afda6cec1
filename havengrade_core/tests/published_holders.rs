//! The holders of a limited endpoint: each VM tells alike whether it is one, and which others are.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use havengrade_core::published::{
    directory::ListedEndpoint,
    peers::Peer,
    send_budget::{HOLDERS, holders, is_holder},
};

fn endpoint(index: u8) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{index}"),
        service: "models".into(),
        address: ([10, 9, 0, index], 80).into(),
        failure_domain: format!("d{}", index % 4),
        version: "v1".into(),
        slots: 8,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    }
}

fn peer(index: u8) -> Peer {
    Peer {
        vm: format!("vm-{index}"),
        incarnation: u64::from(index),
        address: ([10, 8, 0, index], 80).into(),
        failure_domain: format!("d{}", index % 3),
    }
}

/// Guards against requests that are relayed to VMs which don't take themselves for holders.
#[test]
fn vms_name_as_holders_those_that_take_themselves_for_holders() {
    for vms in [1, 2, 3, 9, 40] {
        let peers: Vec<Peer> = (0..vms).map(peer).collect();
        for endpoint in (0..12).map(endpoint) {
            for round in [0, 1, 2, 7, u64::MAX] {
                let all = peers.iter().map(|peer| (peer.vm.as_str(), peer.failure_domain.as_str()));
                let mut named = holders(all, &endpoint, round);
                let mut own: Vec<&str> = peers
                    .iter()
                    .filter(|me| {
                        let others = peers.iter().filter(|peer| peer.vm != me.vm);
                        is_holder((&me.vm, &me.failure_domain), others, &endpoint, round)
                    })
                    .map(|peer| peer.vm.as_str())
                    .collect();
                named.sort_unstable();
                own.sort_unstable();
                assert_eq!(named, own, "{vms} VMs, {} in round {round}", endpoint.id);
                assert_eq!(own.len(), HOLDERS.min(usize::from(vms)));
            }
        }
    }
}
