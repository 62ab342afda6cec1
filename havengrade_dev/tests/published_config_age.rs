//! How long a VM in contact with the store may use an older configuration while others stop, are cut off or are killed.
#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::BTreeSet, time::Duration};

use havengrade_dev::fabric::Host;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use support::store_fleet::{Bench, name, publication};

/// Time after its acknowledgement within which a configuration must be in force at a VM in contact.
const APPLY_TIME: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The VMs are stopped: they neither read nor send.
    Stopped,
    /// The VMs do not reach the store.
    CutFromStore,
    /// The VMs reach the store, but no other VM.
    CutFromVms,
    /// Other VMs hear these VMs, which hear nothing.
    Deaf,
    /// The VMs do not reach the store, and are the only ones that each other VM reaches.
    OnlyReached,
}

const FAULTS: [Fault; 5] = [Fault::Stopped, Fault::CutFromStore, Fault::CutFromVms, Fault::Deaf, Fault::OnlyReached];

fn inject(bench: &Bench, vms: Host, index: usize, kind: Fault) {
    let host = Host::try_from(index + 1).unwrap();
    if matches!(kind, Fault::OnlyReached) {
        let readers: BTreeSet<usize> = bench.readers().into_iter().collect();
        let is_reader = |host: Host| readers.contains(&(usize::from(host) - 1));
        for (from, to) in (1..=vms).flat_map(|from| (1..=vms).map(move |to| (from, to))) {
            if from != to && !is_reader(from) && !is_reader(to) {
                bench.pipes.cut(from, to);
            }
        }
    }
    let is_cut_off = matches!(kind, Fault::Stopped | Fault::CutFromVms);
    for other in (1..=vms).filter(|other| *other != host) {
        if is_cut_off {
            bench.pipes.cut(host, other);
        }
        if is_cut_off || matches!(kind, Fault::Deaf) {
            bench.pipes.cut(other, host);
        }
    }
    if matches!(kind, Fault::Stopped | Fault::CutFromStore | Fault::OnlyReached) {
        bench.store.turn_away(&name(index), true);
    }
}

/// Injects a fault into readers of the store and some other VMs, and has operators publish at random times.
///
/// Returns the longest time for which a sound VM used an older configuration after the newest one was written.
async fn longest_use(vms: Host, kind: Fault, readers_only: bool, seed: u64) -> (Duration, usize) {
    let bench = Bench::start_in(vms, 4).await;
    sleep(Duration::from_secs(3)).await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faulty: BTreeSet<usize> = bench.readers().into_iter().collect();
    if !readers_only {
        faulty.extend((0..usize::from(vms)).filter(|_| rng.random::<f64>() < 0.3));
    }
    for index in &faulty {
        inject(&bench, vms, *index, kind);
        sleep(Duration::from_millis(rng.random_range(0..300))).await;
    }
    let mut longest = (Duration::ZERO, 0);
    for version in 2..8 {
        sleep(Duration::from_millis(rng.random_range(0..1200))).await;
        bench.store.operate(publication(version));
        let written = Instant::now();
        while written.elapsed() < Duration::from_secs(5) {
            sleep(STEP).await;
            let versions = bench.versions();
            let mut late = (0..versions.len()).filter(|index| !faulty.contains(index) && versions[*index] < version);
            let Some(last) = late.next_back() else { break };
            longest = longest.max((written.elapsed(), last));
        }
    }
    longest
}

/// Guards against a VM that waits for others to tell it of a configuration which they do not learn.
#[tokio::test(start_paused = true)]
async fn vms_in_contact_apply_a_configuration_in_time_while_others_are_faulty() {
    let mut late = Vec::new();
    for kind in FAULTS {
        for readers_only in [true, false] {
            for seed in 1..=4 {
                let (longest, vm) = longest_use(9, kind, readers_only, seed).await;
                if longest > APPLY_TIME {
                    late.push(format!("{kind:?}, only readers: {readers_only}, seed {seed}: VM {vm} {longest:?} late"));
                }
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Replaces a VM by one that starts.
async fn restart(bench: &mut Bench, index: usize) {
    let host = Host::try_from(index + 1).unwrap();
    bench.routers.remove(index).kill();
    // Its ports are free once its tasks have ended.
    sleep(STEP).await;
    let others = bench.routers.split_off(index);
    bench.add(host).await;
    bench.routers.extend(others);
}

/// Injects one fault of any kind, or ends all of them.
async fn inject_any(bench: &mut Bench, vms: Host, rng: &mut ChaCha8Rng) {
    let index = rng.random_range(0..usize::from(vms));
    match rng.random_range(0..10) {
        0..4 => inject(bench, vms, index, FAULTS[rng.random_range(0..FAULTS.len())]),
        4 => bench.store.set_away(rng.random_bool(0.5)),
        5 => bench.store.set_slow(Duration::from_millis(rng.random_range(0..900))),
        6 => bench.pipes.lose_all_but_one_of(rng.random_range(0..4)),
        7 => bench.pipes.delay_datagrams(Duration::from_millis(rng.random_range(0..6000))),
        8 => restart(bench, index).await,
        _ => {
            bench.pipes.mend();
            bench.store.set_away(false);
            (0..usize::from(vms)).for_each(|index| bench.store.turn_away(&name(index), false));
        },
    }
}

/// Guards against a configuration that a VM takes for the newest at a time at which another one had been written.
///
/// Whatever a VM reads or is told, late, in another order, from VMs that know less, or at its start, must not make its
/// configuration look younger than it is.
#[tokio::test(start_paused = true)]
async fn no_vm_confirms_a_configuration_after_its_successor_was_written() {
    const VMS: Host = 6;
    for seed in 1..=12 {
        let mut bench = Bench::start_in(VMS, 3).await;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Times at which the successors of the versions were written.
        let mut replaced = vec![None, None];
        let mut confirmations = 0;
        for step in 0..4000 {
            sleep(STEP).await;
            if step % 40 == 0 {
                inject_any(&mut bench, VMS, &mut rng).await;
            }
            if rng.random_bool(0.01) {
                *replaced.last_mut().unwrap() = Some(Instant::now());
                bench.store.operate(publication(replaced.len() as u64));
                replaced.push(None);
            }
            for (vm, router) in bench.routers.iter().enumerate() {
                let shared = &router.context().shared;
                let routes = shared.routes.load();
                let version = usize::try_from(routes.version()).unwrap();
                let (Some(age), Some(replaced)) = (routes.age(shared.clock.now()), replaced[version]) else { continue };
                confirmations += 1;
                let confirmed = Instant::now() - age;
                assert!(
                    confirmed <= replaced,
                    "seed {seed}, step {step}: VM {vm} takes version {version} for the newest {:?} after the next",
                    confirmed - replaced
                );
            }
        }
        assert!(confirmations > 100, "seed {seed}: an older configuration was in force {confirmations} times only");
    }
}
