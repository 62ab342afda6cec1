//! Faults singly and in pairs: nothing that must always hold is broken.
#![allow(clippy::unwrap_used)]

use std::thread;

use havengrade_dev::schedule::{Fault, FaultKind, Schedule, run};
use havengrade_replay::check::{Violation, check};
use tokio::runtime::Builder;

/// Requests of each schedule.
const REQUESTS: u64 = 60;
/// Schedules that run at once.
const AT_ONCE: usize = 8;

fn schedule(number: u64, kinds: &[FaultKind]) -> Schedule {
    let fault = |(index, kind): (u64, &FaultKind)| Fault {
        at_ms: 1_500 + 1_000 * index,
        for_ms: 6_000,
        kind: *kind,
        vm: u8::try_from(index).unwrap(),
    };
    let fault = (0..).zip(kinds).map(fault).collect();
    Schedule { seed: 100 + number, vms: 5, requests: REQUESTS, span_ms: 12_000, fault }
}

fn violations(schedule: &Schedule) -> Vec<Violation> {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    check(&runtime.block_on(run(schedule)).unwrap())
}

#[test]
fn nothing_breaks_under_single_faults_and_pairs() {
    let kinds = FaultKind::ALL;
    let mut schedules: Vec<Vec<FaultKind>> = vec![Vec::new()];
    schedules.extend(kinds.iter().map(|kind| vec![*kind]));
    for (index, first) in kinds.iter().enumerate() {
        schedules.extend(kinds[index + 1..].iter().map(|second| vec![*first, *second]));
    }
    let numbered: Vec<(u64, Vec<FaultKind>)> = (0..).zip(schedules).collect();
    let found: Vec<String> = thread::scope(|scope| {
        let chunk = numbered.len().div_ceil(AT_ONCE);
        let workers: Vec<_> = numbered
            .chunks(chunk)
            .map(|part| {
                scope.spawn(move || {
                    let run = |(number, kinds): &(u64, Vec<FaultKind>)| {
                        let violations = violations(&schedule(*number, kinds));
                        (!violations.is_empty()).then(|| format!("{kinds:?}: {violations:?}"))
                    };
                    part.iter().filter_map(run).collect::<Vec<_>>()
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
    });
    println!("{} schedules, {} requests", numbered.len(), numbered.len() as u64 * REQUESTS);
    assert!(found.is_empty(), "{} schedules failed:\n{}", found.len(), found.join("\n"));
}
