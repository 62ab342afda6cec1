//! Memory of endpoints: which endpoints have room for a generation.
//!
//! Load: a quarter of 60 endpoints run a few requests with long prompts, which fill their memory but no slots and no queue
//! of unread prompts; the others run more requests, which are short. Counted by requests, the full endpoints look best,
//! and there a further request waits or preempts one whose prompt must be read again.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    endpoint_selection::EndpointState,
    published::{
        directory::ListedEndpoint,
        endpoint_memory::{OutputLengths, ReportedOccupancy, free_tokens},
        peers::{Peer, Peers, REPORT_LIFETIME, Work, WorkReport},
        placement::{Candidate, PlacementContext, Prompt, place},
    },
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

const START: SystemTime = SystemTime::UNIX_EPOCH;
const MEMORY_TOKENS: u32 = 270_000;
const LONG_TOKENS: u32 = 10_000;
const SHORT_TOKENS: u32 = 1000;
const OUTPUT_TOKENS: u32 = 100;

fn endpoint(index: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{index}"),
        service: "x".into(),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        failure_domain: format!("d{}", index % 3),
        version: "v1".into(),
        slots: 128,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    }
}

fn candidate(endpoint: &ListedEndpoint, work: Work, free_tokens: Option<u32>) -> Candidate<'_> {
    Candidate { endpoint, state: EndpointState::default(), work, cached_tokens: 0, slowness: 1.0, free_tokens }
}

fn prompt(shared_tokens: u32, own_tokens: u32) -> Prompt {
    let shared_prefix = (shared_tokens > 0).then(|| "m/doc".to_owned());
    Prompt { shared_prefix, shared_tokens, own_tokens, sent_tokens: shared_tokens + own_tokens }
}

fn chosen(candidates: &[Candidate<'_>], prompt: &Prompt, domain: &str, rng: &mut ChaCha8Rng) -> String {
    let prompt = Some(prompt);
    let placement = PlacementContext { failure_domain: domain, tried: &[], sees_all_work: true, prompt, now: START };
    place(candidates, placement, rng).unwrap().endpoint.id.clone()
}

fn requests(requests: u32) -> Work {
    Work { requests, ..Work::default() }
}

#[test]
fn an_endpoint_without_room_is_used_only_if_no_other_is_left() {
    let endpoints: Vec<_> = (0..3).map(|index| endpoint(index * 3)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let full = candidate(&endpoints[0], requests(0), Some(1999));
    let busy = candidate(&endpoints[1], requests(90), Some(2000));
    let ejected = EndpointState { ejected_until: Some(START + Duration::from_secs(1)), ..EndpointState::default() };
    let ejected = Candidate { state: ejected, ..candidate(&endpoints[2], requests(0), Some(9000)) };
    for _ in 0..20 {
        assert_eq!(chosen(&[full, busy, ejected], &prompt(0, 2000), "d0", &mut rng), "e3");
        assert_eq!(chosen(&[full, ejected], &prompt(0, 2000), "d0", &mut rng), "e0", "an ejected one is no better");
    }
}

#[test]
fn a_prefix_that_is_expected_to_be_cached_needs_no_room() {
    let endpoints = [endpoint(0), endpoint(3)];
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let prompt = prompt(6000, 2500);
    let idle: Vec<_> = endpoints.iter().map(|e| candidate(e, requests(0), None)).collect();
    let preferred_id = chosen(&idle, &prompt, "d0", &mut rng);
    let (preferred, other) = if preferred_id == "e0" { (0, 1) } else { (1, 0) };
    let at = |index: usize, work, free| candidate(&endpoints[index], requests(work), Some(free));
    // The preferred endpoint of the prefix has more work than reading the prefix elsewhere would cost.
    let choices = [at(preferred, 400, 2500), at(other, 0, 8499)];
    assert_eq!(chosen(&choices, &prompt, "d0", &mut rng), endpoints[preferred].id, "8,500 tokens at the other one");
    let cached = Candidate { cached_tokens: 6000, ..at(other, 0, 2500) };
    assert_eq!(chosen(&[at(preferred, 0, 2499), cached], &prompt, "d0", &mut rng), endpoints[other].id);
}

#[test]
fn among_endpoints_with_room_the_choice_is_as_without_the_rule() {
    let endpoints: Vec<_> = (0..12).map(endpoint).collect();
    for seed in 0..200 {
        let choose = |free: Option<u32>| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let works: Vec<u32> = endpoints.iter().map(|_| rng.random_range(0..20)).collect();
            let candidates: Vec<_> =
                endpoints.iter().zip(works).map(|(e, work)| candidate(e, requests(work), free)).collect();
            chosen(&candidates, &prompt(3000, 500), "d1", &mut rng)
        };
        assert_eq!(choose(None), choose(Some(100_000)));
        assert_eq!(choose(None), choose(Some(0)), "also where no endpoint has room");
    }
}

/// The VMs of a fleet, in three failure domains, with the running requests that each has sent.
struct Fleet {
    vms: Vec<(Peer, Vec<(String, Work)>)>,
}

impl Fleet {
    fn new(vms: usize, rng: &mut ChaCha8Rng) -> Self {
        let vm = |index: usize| {
            let address = SocketAddr::from(([10, 2, (index / 250) as u8, (index % 250) as u8], 80));
            Peer { vm: format!("vm-{index}"), incarnation: 1, address, failure_domain: format!("d{}", index % 3) }
        };
        let mut fleet = Self { vms: (0..vms).map(|index| (vm(index), Vec::new())).collect() };
        for index in 0..60 {
            let (requests, memory_tokens) = if is_full(index) { (30, LONG_TOKENS) } else { (50, SHORT_TOKENS) };
            for _ in 0..requests {
                // Four of five requests are placed in the failure domain of their VM.
                let any = rng.random_range(0..vms);
                let vm = if rng.random_range(0..5) > 0 { any - any % 3 + index % 3 } else { any };
                let (_, work) = &mut fleet.vms[vm.min(vms - 1)];
                let id = format!("e{index}");
                let more = Work { requests: 1, tokens: 0, memory_tokens };
                match work.iter_mut().find(|(known, _)| *known == id) {
                    Some((_, work)) => *work = *work + more,
                    None => work.push((id, more)),
                }
            }
        }
        fleet
    }

    /// What a VM knows after the reports of 2.4 s, one every 0.4 s to the targets that their senders choose.
    fn known_to(&self, observer: usize, rng: &mut ChaCha8Rng) -> Peers {
        let mut all = Peers::default();
        self.vms.iter().for_each(|(peer, _)| all.add_listed(peer.clone(), START));
        let me = &self.vms[observer].0;
        let mut known = Peers::default();
        self.vms
            .iter()
            .filter(|(peer, _)| peer.vm != me.vm)
            .for_each(|(peer, _)| known.add_listed(peer.clone(), START));
        for seq in 1..=6 {
            for (peer, work) in self.vms.iter().filter(|(peer, _)| peer.vm != me.vm) {
                if all.report_targets(&peer.failure_domain, rng).contains(&me.address) {
                    known.apply_report(WorkReport { peer: peer.clone(), seq, work: work.clone() }, START);
                }
            }
        }
        known
    }
}

fn is_full(index: usize) -> bool {
    index.is_multiple_of(4)
}

/// Of 100 requests that some VMs send, how many are sent to endpoints without room: with their known memory, and without.
fn sent_without_room(vms: usize) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(vms as u64);
    let fleet = Fleet::new(vms, &mut rng);
    let endpoints: Vec<_> = (0..60).map(endpoint).collect();
    let mut sent = (0, 0);
    for observer in (0..20).map(|index| index % vms) {
        let known = fleet.known_to(observer, &mut rng);
        let (me, own) = &fleet.vms[observer];
        let work = |id: &str| {
            let own = own.iter().find(|(known, _)| known == id).map(|(_, work)| *work).unwrap_or_default();
            own + known.work(id)
        };
        let mut count = |knows_memory: bool| {
            let candidates: Vec<_> = endpoints
                .iter()
                .map(|e| {
                    let free = free_tokens(MEMORY_TOKENS, work(&e.id), None, OUTPUT_TOKENS, START);
                    candidate(e, work(&e.id), knows_memory.then_some(free))
                })
                .collect();
            let ids = (0..5).map(|_| chosen(&candidates, &prompt(0, 12_000), &me.failure_domain, &mut rng));
            ids.filter(|id| is_full(id[1..].parse().unwrap())).count()
        };
        sent.0 += count(true);
        sent.1 += count(false);
    }
    sent
}

/// The number of VMs, and how many of 100 requests may be sent to full endpoints. The more VMs there are, the fewer of
/// their reports each of them receives.
#[test]
fn reports_tell_vms_of_fleets_of_all_sizes_which_endpoints_have_room() {
    for (vms, at_most) in [(7, 0), (69, 20), (300, 33), (1000, 42)] {
        let (with, without) = sent_without_room(vms);
        println!("{vms} VMs: {with} of 100 requests to full endpoints, {without} without the rule");
        assert!(with <= at_most && with < without, "{vms} VMs: {with}, {without} without the rule");
    }
}

fn report(vm: usize, seq: u64, memory_tokens: u32) -> WorkReport {
    let address = SocketAddr::from(([10, 2, 0, vm as u8], 80));
    let peer = Peer { vm: format!("vm-{vm}"), incarnation: 1, address, failure_domain: "d0".into() };
    WorkReport { peer, seq, work: vec![("e0".into(), Work { requests: 1, tokens: 0, memory_tokens })] }
}

#[test]
fn work_of_vms_that_are_lost_takes_no_memory_after_a_time() {
    let mut peers = Peers::default();
    peers.apply_report(report(1, 1, 200_000), START);
    peers.apply_report(report(2, 1, 50_000), START);
    let free = |peers: &Peers| free_tokens(MEMORY_TOKENS, peers.work("e0"), None, OUTPUT_TOKENS, START);
    assert_eq!(free(&peers), 270_000 - 250_000 - 100);
    let later = START + REPORT_LIFETIME;
    peers.apply_report(report(2, 2, 60_000), later);
    assert_eq!(free(&peers), 270_000 - 60_000 - 100, "VM 1 has not reported since");
    peers.apply_report(report(2, 1, 250_000), later);
    assert_eq!(free(&peers), 270_000 - 60_000 - 100, "a late report has no effect");
}

#[test]
fn vms_of_a_large_fleet_that_are_heard_stand_for_the_others() {
    let mut peers = Peers::default();
    (0..20).for_each(|vm| peers.add_listed(report(vm, 0, 0).peer, START));
    (0..10).for_each(|vm| assert!(peers.apply_report(report(vm, 1, 1000), START)));
    assert_eq!(peers.work("e0"), Work { requests: 10, tokens: 0, memory_tokens: 20_000 });
    let mut peers = Peers::default();
    (0..200).for_each(|vm| peers.add_listed(report(vm, 0, 0).peer, START));
    peers.apply_report(report(0, 1, 1000), START);
    assert_eq!(peers.work("e0").memory_tokens, 4000, "one VM does not stand for hundreds");
}

#[test]
fn an_endpoint_that_restarts_is_not_taken_for_full_by_its_old_word() {
    let reported = ReportedOccupancy { requests: 128, slots: 128, sent_since: 0, at: START };
    let free = |millis| {
        free_tokens(
            MEMORY_TOKENS,
            Work::default(),
            Some(reported),
            OUTPUT_TOKENS,
            START + Duration::from_millis(millis),
        )
    };
    assert_eq!(free(499), 0);
    assert_eq!(free(500), MEMORY_TOKENS - OUTPUT_TOKENS);
}

#[test]
fn the_expected_output_follows_the_recent_streams_of_the_route() {
    let mut lengths = OutputLengths::default();
    (0..100).for_each(|_| lengths.record("chat", 10, 40));
    assert_eq!(lengths.expected("chat", 1000), 40);
    (0..32).for_each(|_| lengths.record("chat", 70, 280));
    assert_eq!(lengths.expected("chat", 1000), 280, "earlier ones are forgotten");
    assert_eq!(lengths.expected("chat", 100), 100, "the stated limit holds");
    assert_eq!(lengths.expected("other", 1000), 256, "routes don't share what is learned");
    lengths.record("other", 0, 1000);
    assert_eq!(lengths.expected("other", 1000), 256, "a stream without events says nothing");
    (0..2000).for_each(|route| lengths.record(&format!("r{route}"), 1, 1));
    assert_eq!(lengths.expected("chat", 1000), 256, "routes are forgotten before they fill the VM's memory");
}
