//! Starts of a fleet as a whole, and many VMs that ask one: what it costs the store, how long it takes, who serves whom.
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
/// Time that a read of the store takes, and a taking from another VM.
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

/// A start of all VMs but `dead` at the same time, all of which know the list.
struct Outcome {
    /// VMs that read the store.
    readers: BTreeSet<usize>,
    /// When the last VM knew what is in force.
    took: Duration,
}

fn start(fleet: &[Peer], dead: &BTreeSet<usize>, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let index_of: BTreeMap<SocketAddr, usize> = fleet.iter().enumerate().map(|(i, peer)| (peer.address, i)).collect();
    let began = SystemTime::UNIX_EPOCH;
    let mut knows_at: BTreeMap<usize, SystemTime> = BTreeMap::new();
    let mut readers = BTreeSet::new();
    for round in 0.. {
        let now = began + ROUND_INTERVAL * u32::try_from(round).unwrap();
        assert!(now < began + Duration::from_secs(2), "the start does not end");
        for me in (0..fleet.len()).filter(|me| !dead.contains(me)) {
            if knows_at.contains_key(&me) {
                continue;
            }
            let others = fleet.iter().filter(|peer| peer.vm != fleet[me].vm).collect();
            let starting =
                StartingVm { me: &fleet[me], others, is_list_loaded: true, store_reads: &StoreReadReports::default() };
            let asked = starting.peers_to_ask(round, &mut rng);
            let is_told = asked.iter().any(|to| knows_at.get(&index_of[to]).is_some_and(|at| *at <= now));
            if !is_told && starting.next_step(began, now) == NextStep::ReadStore {
                readers.insert(me);
            }
            if is_told || readers.contains(&me) {
                knows_at.insert(me, now + READ);
            }
        }
        if knows_at.len() == fleet.len() - dead.len() {
            let last = knows_at.values().max().unwrap();
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
        // Four first ones in each failure domain; the others are told before it is their turn.
        assert_eq!(outcome.readers.len(), 4 * DOMAINS, "seed {seed}");
        assert!(outcome.took <= PEER_ANSWER_TIMEOUT, "seed {seed}: {:?}", outcome.took);
    }
}

#[test]
fn a_failure_domain_whose_first_vms_are_gone_is_told_or_reads_in_turns() {
    let fleet = fleet();
    let first = start(&fleet, &BTreeSet::new(), 1).readers;
    for seed in 0..20 {
        let outcome = start(&fleet, &first, seed);
        // Half of the rounds are lost on those that are gone, so that some more have their turn before they are told.
        assert!(outcome.readers.len() <= 12 * DOMAINS, "seed {seed}: {} readers", outcome.readers.len());
        assert!(outcome.took <= 4 * PEER_ANSWER_TIMEOUT, "seed {seed}: {:?}", outcome.took);
    }
}

#[test]
fn a_vm_that_starts_among_others_that_live_asks_two_of_its_failure_domain() {
    let fleet = fleet();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let news = StoreReadReports::default();
    let starting =
        StartingVm { me: &fleet[0], others: fleet[1..].iter().collect(), is_list_loaded: true, store_reads: &news };
    let near: BTreeSet<SocketAddr> =
        fleet.iter().filter(|peer| peer.failure_domain == "d0").map(|peer| peer.address).collect();
    let asked = starting.peers_to_ask(0, &mut rng);
    assert!(asked.len() == 2 && asked.iter().all(|address| near.contains(address)));
    let me = Peer { failure_domain: "elsewhere".into(), ..fleet[0].clone() };
    let alone = StartingVm { me: &me, others: fleet[1..3].iter().collect(), is_list_loaded: true, store_reads: &news };
    assert_eq!(alone.peers_to_ask(0, &mut rng).len(), 2, "without any nearby, others are asked");
}

#[test]
fn sixty_vms_that_ask_one_at_the_same_moment_are_served_by_each_other() {
    /// Time in which one VM is served, in milliseconds.
    const SERVING: u64 = 20;
    let address = |host: u8| SocketAddr::from(([10, 0, 0, host], 80));
    let first = address(0);
    let mut givers: BTreeMap<SocketAddr, TransferLimiter> =
        (0..=60).map(|host| (address(host), TransferLimiter::default())).collect();
    let mut waiting: Vec<(SocketAddr, SocketAddr)> = (1..=60).map(|host| (address(host), first)).collect();
    let mut being_served: Vec<(u64, SocketAddr, SocketAddr)> = Vec::new();
    let mut by_first = 0;
    let mut now = 0;
    while !(waiting.is_empty() && being_served.is_empty()) {
        let (ended, serving) = being_served.into_iter().partition(|(at, _, _)| *at <= now);
        being_served = serving;
        for (_, taker, giver) in ended {
            givers.get_mut(&giver).unwrap().finish(1, Some(taker));
        }
        for (taker, asked) in std::mem::take(&mut waiting) {
            match givers.get_mut(&asked).unwrap().admit(1) {
                TransferDecision::Serve => {
                    by_first += usize::from(asked == first);
                    being_served.push((now + SERVING, taker, asked));
                },
                TransferDecision::Redirect(other) => waiting.push((taker, other)),
                TransferDecision::Wait => waiting.push((taker, asked)),
            }
        }
        now += 1;
        assert!(now <= 10 * SERVING, "{} still wait after {now} ms", waiting.len());
    }
    assert!(by_first <= 24, "{by_first} of sixty were served by the first VM");
}

/// A VM that only knows the one that greeted it.
fn greeted<'a>(me: &'a Peer, by: &'a Peer, news: &'a StoreReadReports) -> StartingVm<'a> {
    StartingVm { me, others: vec![by], is_list_loaded: false, store_reads: news }
}

#[test]
fn who_reads_first_is_decided_by_the_whole_list_and_told_to_those_that_know_little() {
    let fleet = fleet();
    let all: Vec<&Peer> = fleet.iter().collect();
    let first = FirstReaders::select(&all);
    let began = SystemTime::UNIX_EPOCH;
    let mut reads = 0;
    for me in &fleet[1..] {
        let mut news = StoreReadReports::default();
        news.apply_greeting(first.contains(me), first.in_domain(&me.failure_domain).to_vec());
        let starting = greeted(me, &fleet[0], &news);
        let step = starting.next_step(began, began);
        reads += usize::from(step == NextStep::ReadStore);
        let asked = starting.peers_to_ask(0, &mut ChaCha8Rng::seed_from_u64(1));
        assert!(asked.iter().all(|to| first.in_domain(&me.failure_domain).contains(to)), "{asked:?}");
    }
    assert!((4 * DOMAINS - 1..=4 * DOMAINS).contains(&reads), "{reads} of {VMS} read the store at once");
}

#[test]
fn a_vm_waits_for_as_long_as_another_one_reads_and_then_looks_at_the_list() {
    let fleet = fleet();
    let began = SystemTime::UNIX_EPOCH;
    let mut news = StoreReadReports::default();
    for seconds in 0..3 {
        let at = began + Duration::from_secs(seconds);
        news.record_read(at);
        assert_eq!(greeted(&fleet[1], &fleet[0], &news).next_step(began, at + ROUND_INTERVAL), NextStep::Ask);
    }
    let later = began + Duration::from_secs(3);
    assert_eq!(greeted(&fleet[1], &fleet[0], &news).next_step(began, later), NextStep::ReadVmList);
}

#[test]
fn twice_the_vms_of_a_failure_domain_read_the_store_no_more_often_at_a_start_of_all() {
    let of = |vms: usize| {
        let fleet: Vec<Peer> = (0..vms).map(|index| Peer { vm: format!("vm-{index}"), ..fleet()[0].clone() }).collect();
        FirstReaders::select(&fleet.iter().collect::<Vec<_>>()).in_domain("d0").len()
    };
    assert_eq!([of(10), of(50), of(164), of(334)], [1, 4, 4, 4]);
}
