//! Requests that cold endpoints get from simulated fleets of several sizes, whose VMs' lists of VMs differ.
#![allow(clippy::unwrap_used)]

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    directory::ListedEndpoint,
    peers::Peer,
    send_budget::{HOLDERS, HolderInputs, SendBudgets, is_holder},
    send_limits::{Readiness, SendLimits, SendQuery},
};
use rand::{RngExt as _, seq::SliceRandom as _};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

/// Requests per second that a cold endpoint accepts.
const PER_S: f64 = 8.8;
const HOLDER_INPUTS: HolderInputs = HolderInputs { vms_revision: 1, round: 0 };
/// Requests that operators allow in a second: half as many again, plus five.
const BOUND: usize = 18;
/// Time for which an endpoint is cold.
const COLD_FOR: Duration = Duration::from_secs(3);
/// Requests per second that each VM would send to the endpoint without a limit.
const DEMAND: f64 = 6.0;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(1_800_000_000_000 + millis)
}

fn vm(index: usize, domains: usize) -> Peer {
    Peer {
        vm: format!("vm-{index}"),
        incarnation: 1,
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: format!("d{}", index % domains),
    }
}

fn endpoint(id: usize, domain: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{id}"),
        service: "x".into(),
        address: ([10, 0, 0, 9], 80).into(),
        failure_domain: domain.into(),
        version: "v1".into(),
        slots: 16,
        is_leaving: false,
        cold_for: COLD_FOR,
        start: None,
    }
}

/// Requests that a cold endpoint got: the highest number in a second, and the mean per second.
struct Received {
    most: usize,
    mean: f64,
}

/// A fleet in which the list of each VM lacks some of the others, in front of a cold endpoint.
struct Fleet {
    vms: Vec<Peer>,
    missing: f64,
}

impl Fleet {
    fn new(size: usize, missing: f64) -> Self {
        Self { vms: (0..size).map(|index| vm(index, 4)).collect(), missing }
    }

    fn send(&self, id: usize, rng: &mut ChaCha8Rng) -> Received {
        let endpoint = endpoint(id, "d1");
        let mut budgets: Vec<SendBudgets> = vec![SendBudgets::default(); self.vms.len()];
        let holders: Vec<bool> = self.vms.iter().map(|me| self.is_holder_for(me, &endpoint, rng)).collect();
        let mut sent = Vec::new();
        let mut order: Vec<usize> = (0..self.vms.len()).collect();
        for millis in (0..COLD_FOR.as_millis() as u64).step_by(10) {
            order.shuffle(rng);
            for &index in &order {
                if rng.random::<f64>() > DEMAND / 100.0 {
                    continue;
                }
                let now = at(millis);
                if budgets[index].time_until_ready(&endpoint.id, PER_S, HOLDER_INPUTS, || holders[index], now).is_zero()
                {
                    budgets[index].spend(&endpoint.id);
                    sent.push(now);
                }
            }
        }
        count_received(&sent)
    }

    fn is_holder_for(&self, me: &Peer, endpoint: &ListedEndpoint, rng: &mut ChaCha8Rng) -> bool {
        let known: Vec<Peer> =
            self.vms.iter().filter(|vm| vm.vm != me.vm && rng.random::<f64>() >= self.missing).cloned().collect();
        is_holder((&me.vm, &me.failure_domain), known.iter(), endpoint, 0)
    }
}

fn count_received(sent: &[SystemTime]) -> Received {
    let in_second =
        |from: SystemTime| sent.iter().filter(|at| (from..from + Duration::from_secs(1)).contains(*at)).count();
    let most = sent.iter().map(|from| in_second(*from)).max().unwrap_or_default();
    Received { most, mean: sent.len() as f64 / COLD_FOR.as_secs_f64() }
}

#[test]
fn fleets_of_any_size_comply_with_the_limit_of_a_cold_endpoint() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for size in [7, 84, 390] {
        let fleet = Fleet::new(size, 0.0);
        for id in 0..60 {
            let Received { most, mean } = fleet.send(id, &mut rng);
            assert!(most <= 11, "{most} in a second from {size} VMs");
            assert!(mean >= 0.3 * PER_S, "{mean} per second on average from {size} VMs");
        }
    }
}

#[test]
fn different_lists_of_vms_stay_within_the_bound() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    for size in [7, 84, 390] {
        // Each VM doesn't know a tenth of the others, as happens right after all of them have started.
        let fleet = Fleet::new(size, 0.1);
        let worst = (0..200).map(|id| fleet.send(id, &mut rng).most).max().unwrap();
        assert!(worst <= BOUND, "{worst} in a second from {size} VMs");
    }
}

/// Shows why holders are needed: if the limit were divided evenly among all VMs, a large fleet would exceed the bound.
///
/// With 84 VMs the sum complies with the limit only on average, since each VM sends a whole request or none.
#[test]
fn an_equal_share_for_each_vm_exceeds_the_bound_in_a_large_fleet() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut worst = HashMap::new();
    for size in [7, 84, 390] {
        for _ in 0..600 {
            let rate = PER_S / size as f64;
            let mut saved: Vec<f64> = (0..size).map(|_| rng.random::<f64>()).collect();
            let mut sent = Vec::new();
            for millis in (0..COLD_FOR.as_millis() as u64).step_by(10) {
                for share in &mut saved {
                    *share = (*share + rate / 100.0).min(1.0);
                    if *share >= 1.0 && rng.random::<f64>() < DEMAND / 100.0 {
                        *share -= 1.0;
                        sent.push(at(millis));
                    }
                }
            }
            let most = worst.entry(size).or_insert(0);
            *most = count_received(&sent).most.max(*most);
        }
    }
    assert!(worst[&84] > BOUND || worst[&390] > BOUND, "{worst:?}");
}

#[test]
fn holders_are_in_the_endpoints_own_domain_if_it_has_enough_vms() {
    let vms: Vec<Peer> = (0..8).map(|index| vm(index, 4)).collect();
    let holders = |domain: &str, vms: &[Peer]| {
        let holds = |me: &&Peer| {
            let others: Vec<Peer> = vms.iter().filter(|vm| vm.vm != me.vm).cloned().collect();
            is_holder((&me.vm, &me.failure_domain), others.iter(), &endpoint(1, domain), 0)
        };
        vms.iter().filter(holds).cloned().collect::<Vec<Peer>>()
    };
    assert!(holders("d2", &vms).iter().all(|vm| vm.failure_domain == "d2"));
    assert_eq!(holders("d2", &vms).len(), HOLDERS);
    assert_eq!(holders("elsewhere", &vms).len(), HOLDERS);
    let without: Vec<Peer> = vms.iter().filter(|vm| vm.vm != "vm-2").cloned().collect();
    let mixed = holders("d2", &without);
    assert_eq!(mixed.len(), HOLDERS, "a VM of another domain replaces the missing one");
    assert_eq!(mixed.iter().filter(|vm| vm.failure_domain == "d2").count(), 1);
}

#[test]
fn a_vm_that_has_just_started_accumulates_budget_before_it_sends() {
    let mut budgets = SendBudgets::default();
    let mut may = |millis| budgets.time_until_ready("e1", PER_S, HOLDER_INPUTS, || true, at(millis)).is_zero();
    assert!(!may(0) && !may(100));
    assert!(may(300));
}

#[test]
fn requests_to_a_warm_endpoint_use_up_no_budget() {
    let (mut send_limits, e1) = (SendLimits::default(), endpoint(1, "d1"));
    let query = |may_be_cold| SendQuery {
        endpoint: &e1,
        cold_per_s: PER_S,
        may_be_cold,
        vms_revision: Some(1),
        own_in_flight: 0,
        vms: 1,
    };
    assert_ne!(send_limits.readiness(query(true), |_| true, at(0)), Readiness::Now);
    (0..40).for_each(|_| assert!(send_limits.try_reserve(query(false), |_| true, at(10))));
    assert_eq!(send_limits.readiness(query(true), |_| true, at(1000)), Readiness::Now);
}
