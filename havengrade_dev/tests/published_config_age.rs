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
