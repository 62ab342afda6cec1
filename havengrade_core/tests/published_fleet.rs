//! Reports between VMs of published routes: which of them count, and which VMs read the store.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    peers::{PEER_TIMEOUT, Peer, Peers, REPORT_LIFETIME, Work, WorkReport},
    relay::ReaderSelection,
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

const START: SystemTime = SystemTime::UNIX_EPOCH;

fn at(millis: u64) -> SystemTime {
    START + Duration::from_millis(millis)
}

fn peer(vm: &str, host: u8, domain: &str) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 80));
    Peer { vm: vm.into(), incarnation: 1, address, failure_domain: domain.into() }
}

fn report(incarnation: u64, seq: u64, requests: u32) -> WorkReport {
    let peer = Peer { incarnation, ..peer("vm-2", 2, "d1") };
    WorkReport { peer, seq, work: vec![("a".into(), Work { requests, tokens: 10, memory_tokens: 0 })] }
}

#[test]
fn late_reports_have_no_effect() {
    let mut peers = Peers::default();
    peers.apply_report(report(1, 2, 5), at(0));
    peers.apply_report(report(1, 1, 9), at(10));
    assert_eq!(peers.work("a").requests, 5);
    peers.apply_report(report(2, 1, 7), at(20));
    assert_eq!(peers.work("a").requests, 7);
}

/// The failure domains of the VMs that receive a report, in a fleet with this many VMs in each.
fn report_targets(vms: &[(&str, u8)], from: &str, seed: u64) -> Vec<String> {
    let mut peers = Peers::default();
    let mut domains = HashMap::new();
    for (domain, count) in vms {
        for index in 0..*count {
            let host = u8::try_from(domains.len()).expect("a small fleet");
            let peer = peer(&format!("vm-{domain}-{index}"), host, domain);
            domains.insert(peer.address, (*domain).to_owned());
            peers.add_listed(peer, at(0));
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    peers.report_targets(from, &mut rng).into_iter().map(|address| domains[&address].clone()).collect()
}

#[test]
fn reports_go_to_all_of_a_small_fleet_and_mostly_nearby_in_a_large_one() {
    assert_eq!(report_targets(&[("d1", 1), ("d2", 2), ("d3", 2)], "d1", 1).len(), 5);
    let large = report_targets(&[("d1", 30), ("d2", 30), ("d3", 30)], "d1", 1);
    let near = large.iter().filter(|domain| *domain == "d1").count();
    assert_eq!((near, large.len() - near), (20, 3));
    let scattered = report_targets(&[("d1", 2), ("d2", 30)], "d1", 1);
    assert_eq!(scattered.len(), 8, "other failure domains fill up for a small one");
}

#[test]
fn a_silent_vm_has_no_work_and_is_removed() {
    let mut peers = Peers::default();
    peers.apply_report(report(1, 1, 5), at(0));
    peers.expire(START + REPORT_LIFETIME);
    assert_eq!(peers.work("a"), Work::default());
    assert_eq!(peers.len(), 1);
    peers.expire(START + PEER_TIMEOUT);
    assert!(peers.is_empty());
}

#[test]
fn readers_that_do_not_answer_are_skipped_for_a_time() {
    let vms: Vec<String> = (0..20).map(|index| format!("vm-{index}")).collect();
    let me = &vms[0];
    let mut readers = ReaderSelection::default();
    let among = |readers: &ReaderSelection, ms| -> Vec<String> {
        readers.select(vms.iter(), me, at(ms)).into_iter().cloned().collect()
    };
    let initial = among(&readers, 0);
    assert_eq!(initial.len(), 2);
    readers.record_miss(&initial[0], at(0));
    assert_eq!(among(&readers, 0), initial, "one datagram may be lost");
    readers.record_miss(&initial[0], at(400));
    let without = among(&readers, 400);
    assert!(!without.contains(&initial[0]) && without.len() == 2);
    assert_eq!(among(&readers, 2_400), initial, "it is asked again after a time");
    readers.record_miss(&initial[0], at(2_400));
    assert_eq!(among(&readers, 6_300), without, "each further miss doubles the time");
    readers.record_answer(&initial[0]);
    assert_eq!(among(&readers, 2_400), initial);
}

#[test]
fn a_vm_never_skips_itself() {
    let me = "vm-0".to_owned();
    let mut readers = ReaderSelection::default();
    (0..9).for_each(|_| readers.record_miss(&me, at(0)));
    assert_eq!(readers.select([&me].into_iter(), &me, at(0)), [&me]);
}

#[test]
fn readers_are_asked_in_turns() {
    let (a, b) = ("a".to_owned(), "b".to_owned());
    let mut readers = ReaderSelection::default();
    let asked: Vec<_> = (0..4).filter_map(|_| readers.next_to_ask(&[&a, &b])).collect();
    assert_eq!(asked, ["b", "a", "b", "a"]);
    assert_eq!(readers.next_to_ask(&[]), None);
}
