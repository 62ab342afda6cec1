//! Memory of state, counted by the allocator.

use havengrade_core::{
    config::Catalog,
    evidence::{Evidence, Tally, TallyKey},
    ledger::Ledger,
    membership::{ListedVm, Membership},
};
use havengrade_router::endpoints::EndpointTable;
use stats_alloc::{Region, StatsAlloc};

use super::{Slopes, sample};

/// The allocator that the program counts with.
pub(crate) static ALLOCATOR: &StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

pub(super) fn measure(slopes: &mut Slopes) {
    let sizes = [100, 1000, 10_000];
    let accounts = |count| kept(|| Catalog::new(sample::config(count, 1)));
    slopes.add("account_memory", "bytes", "client account", points(&sizes, accounts));
    let endpoints = |count| {
        kept(|| {
            let catalog = Catalog::new(sample::config(1, count));
            let table = EndpointTable::default();
            table.update_endpoints(catalog.config.endpoints.keys());
            (catalog, table)
        })
    };
    slopes.add("endpoint_memory", "bytes", "endpoint", points(&[70, 700, 12_000], endpoints));
    slopes.add("claim_memory", "bytes", "remembered claim", points(&sizes, |count| kept(|| ledger(count))));
    slopes.add("member_memory", "bytes", "VM", points(&[8, 64, 390], |count| kept(|| members(count))));
    slopes.add("tally_memory", "bytes", "tally of a VM", points(&sizes, |count| kept(|| evidence(count))));
}

fn points(sizes: &[usize], bytes: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|size| (*size as f64, bytes(*size))).collect()
}

/// Bytes that what is made keeps.
fn kept<T>(make: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let made = make();
    let change = region.change();
    drop(made);
    (change.bytes_allocated as f64) - (change.bytes_deallocated as f64) + (change.bytes_reallocated as f64)
}

fn ledger(claims: usize) -> Ledger {
    let mut ledger = Ledger::default();
    for number in 0..claims {
        ledger.replay(number as u64, &sample::batch(number));
    }
    ledger
}

fn members(count: usize) -> Membership {
    let mut members = Membership::default();
    let listed = |index: usize| ListedVm {
        id: format!("vm-{index}"),
        peer_address: sample::endpoint(index).address,
        failure_domain: format!("domain-{}", index % 27),
        leaving: false,
    };
    members.replace_listed((0..count).map(listed).collect());
    members
}

fn evidence(tallies: usize) -> Evidence {
    /// Subjects that each writer has: 10 classes of 13 versions.
    const SUBJECTS: usize = 130;
    let mut evidence = Evidence::default();
    for index in 0..tallies {
        let (writer, subject) = (index / SUBJECTS, index % SUBJECTS);
        let subject = TallyKey { class: format!("class-{}", subject / 13), version: sample::version(subject % 13).id };
        evidence.merge(&subject, writer as u64, Tally { ended: 1, ..Tally::default() });
    }
    evidence
}
