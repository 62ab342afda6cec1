//! Simulated starts of a whole fleet, and of many VMs that ask one: the load on the store, the duration, and the
//! distribution of state transfers.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    peers::Peer,
    startup::{FirstReaders, NextStep, PEER_ANSWER_TIMEOUT, ROUND_INTERVAL, StartingVm, StoreReadReports},
    state_transfer::{TransferDecision, TransferLimiter},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

const DOMAINS: usize = 6;
/// VMs of the fleet, 49 or 50 in each failure domain.
const VMS: usize = 295;
/// Duration of a read of the store, and of a state transfer from another VM.
const READ: Duration = Duration::from_millis(12);

fn fleet() -> Vec<Peer> {
    let peer = |index: usize| Peer {
        vm: format!("vm-{index}"),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8], 80)),
        failure_domain: format!("d{}", index % DOMAINS),
    };
    (0..VMS).map(peer).collect()
}

/// The result of a start of all VMs except `dead` at the same time, with the list known to all.
struct Outcome {
    /// VMs that read the store.
    readers: BTreeSet<usize>,
    /// Time until the last VM had the active state.
    took: Duration,
}

fn start(fleet: &[Peer], dead: &BTreeSet<usize>, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let index_of: BTreeMap<SocketAddr, usize> = fleet.iter().enumerate().map(|(i, peer)| (peer.address, i)).collect();
    let began = SystemTime::UNIX_EPOCH;
    let mut has_state_at: BTreeMap<usize, SystemTime> = BTreeMap::new();
    let mut readers = BTreeSet::new();
    for round in 0.. {
        let now = began + ROUND_INTERVAL * u32::try_from(round).unwrap();
        assert!(now < began + Duration::from_secs(2), "the start does not end");
        for me in (0..fleet.len()).filter(|me| !dead.contains(me)) {
            if has_state_at.contains_key(&me) {
                continue;
            }
            let others = fleet.iter().filter(|peer| peer.vm != fleet[me].vm).collect();
            let starting =
                StartingVm { me: &fleet[me], others, is_list_loaded: true, store_reads: &StoreReadReports::default() };
            let asked = starting.peers_to_ask(round, &mut rng);
            let has_answer = asked.iter().any(|to| has_state_at.get(&index_of[to]).is_some_and(|at| *at <= now));
            if !has_answer && starting.next_step(began, now) == NextStep::ReadStore {
                readers.insert(me);
            }
            if has_answer || readers.contains(&me) {
                has_state_at.insert(me, now + READ);
            }
        }
        if has_state_at.len() == fleet.len() - dead.len() {
            let last = has_state_at.values().max().unwrap();
            return Outcome { readers, took: last.duration_since(began).unwrap() };
        }
    }
    unreachable!("rounds have no end")
}

#[test]
fn a_fleet_that_starts_as_a_whole_reads_the_store_a_few_times() {
    let fleet = fleet();
    for seed in 0..20 {
        let outcome = start(&fleet, &BTreeSet::new(), seed);
        // Four first readers in each failure domain; the others receive the state before their turn.
        assert_eq!(outcome.readers.len(), 4 * DOMAINS, "seed {seed}");
        assert!(outcome.took <= PEER_ANSWER_TIMEOUT, "seed {seed}: {:?}", outcome.took);
    }
}

#[test]
fn a_failure_domain_without_its_first_readers_gets_the_state_or_reads_in_turns() {
    let fleet = fleet();
    let first = start(&fleet, &BTreeSet::new(), 1).readers;
    for seed in 0..20 {
        let outcome = start(&fleet, &first, seed);
        // Half of the rounds go to dead VMs, so that some more VMs reach their turn before they receive the state.
        assert!(outcome.readers.len() <= 12 * DOMAINS, "seed {seed}: {} readers", outcome.readers.len());
        assert!(outcome.took <= 4 * PEER_ANSWER_TIMEOUT, "seed {seed}: {:?}", outcome.took);
    }
}

#[test]
fn a_vm_that_starts_in_a_running_fleet_asks_two_vms_of_its_failure_domain() {
    let fleet = fleet();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let store_reads = StoreReadReports::default();
    let starting = StartingVm {
        me: &fleet[0],
        others: fleet[1..].iter().collect(),
        is_list_loaded: true,
        store_reads: &store_reads,
    };
    let near: BTreeSet<SocketAddr> =
        fleet.iter().filter(|peer| peer.failure_domain == "d0").map(|peer| peer.address).collect();
    let asked = starting.peers_to_ask(0, &mut rng);
    assert!(asked.len() == 2 && asked.iter().all(|address| near.contains(address)));
    let me = Peer { failure_domain: "elsewhere".into(), ..fleet[0].clone() };
    let alone =
        StartingVm { me: &me, others: fleet[1..3].iter().collect(), is_list_loaded: true, store_reads: &store_reads };
    assert_eq!(alone.peers_to_ask(0, &mut rng).len(), 2, "without VMs nearby, others are asked");
}

#[test]
fn sixty_vms_that_ask_one_at_the_same_time_serve_each_other() {
    /// Duration of one state transfer, in milliseconds.
    const SERVING: u64 = 20;
    let address = |host: u8| SocketAddr::from(([10, 0, 0, host], 80));
    let first = address(0);
    let mut limiters: BTreeMap<SocketAddr, TransferLimiter> =
        (0..=60).map(|host| (address(host), TransferLimiter::default())).collect();
    let mut waiting: Vec<(SocketAddr, SocketAddr)> = (1..=60).map(|host| (address(host), first)).collect();
    let mut being_served: Vec<(u64, SocketAddr, SocketAddr)> = Vec::new();
    let mut by_first = 0;
    let mut now = 0;
    while !(waiting.is_empty() && being_served.is_empty()) {
        let (ended, serving) = being_served.into_iter().partition(|(at, _, _)| *at <= now);
        being_served = serving;
        for (_, requester, server) in ended {
            limiters.get_mut(&server).unwrap().finish(1, Some(requester));
        }
        for (requester, asked) in std::mem::take(&mut waiting) {
            match limiters.get_mut(&asked).unwrap().admit(1) {
                TransferDecision::Serve => {
                    by_first += usize::from(asked == first);
                    being_served.push((now + SERVING, requester, asked));
                },
                TransferDecision::Redirect(other) => waiting.push((requester, other)),
                TransferDecision::Wait => waiting.push((requester, asked)),
            }
        }
        now += 1;
        assert!(now <= 10 * SERVING, "{} still wait after {now} ms", waiting.len());
    }
    assert!(by_first <= 24, "{by_first} of sixty were served by the first VM");
}

/// A starting VM that only knows the VM that greeted it.
fn greeted<'a>(me: &'a Peer, by: &'a Peer, store_reads: &'a StoreReadReports) -> StartingVm<'a> {
    StartingVm { me, others: vec![by], is_list_loaded: false, store_reads }
}

#[test]
fn first_readers_follow_from_the_whole_list_and_are_named_in_greetings() {
    let fleet = fleet();
    let all: Vec<&Peer> = fleet.iter().collect();
    let first = FirstReaders::select(&all);
    let began = SystemTime::UNIX_EPOCH;
    let mut reads = 0;
    for me in &fleet[1..] {
        let mut store_reads = StoreReadReports::default();
        store_reads.apply_greeting(first.contains(me), first.in_domain(&me.failure_domain).to_vec());
        let starting = greeted(me, &fleet[0], &store_reads);
        let step = starting.next_step(began, began);
        reads += usize::from(step == NextStep::ReadStore);
        let asked = starting.peers_to_ask(0, &mut ChaCha8Rng::seed_from_u64(1));
        assert!(asked.iter().all(|to| first.in_domain(&me.failure_domain).contains(to)), "{asked:?}");
    }
    assert!((4 * DOMAINS - 1..=4 * DOMAINS).contains(&reads), "{reads} of {VMS} read the store at once");
}

#[test]
fn a_vm_waits_while_another_one_reads_and_then_reads_the_list() {
    let fleet = fleet();
    let began = SystemTime::UNIX_EPOCH;
    let mut store_reads = StoreReadReports::default();
    for seconds in 0..3 {
        let at = began + Duration::from_secs(seconds);
        store_reads.record_read(at);
        assert_eq!(greeted(&fleet[1], &fleet[0], &store_reads).next_step(began, at + ROUND_INTERVAL), NextStep::Ask);
    }
    let later = began + Duration::from_secs(3);
    assert_eq!(greeted(&fleet[1], &fleet[0], &store_reads).next_step(began, later), NextStep::ReadVmList);
}

#[test]
fn first_readers_do_not_grow_with_large_failure_domains() {
    let first_readers = |vms: usize| {
        let fleet: Vec<Peer> = (0..vms).map(|index| Peer { vm: format!("vm-{index}"), ..fleet()[0].clone() }).collect();
        FirstReaders::select(&fleet.iter().collect::<Vec<_>>()).in_domain("d0").len()
    };
    assert_eq!([first_readers(10), first_readers(50), first_readers(164), first_readers(334)], [1, 4, 4, 4]);
}
