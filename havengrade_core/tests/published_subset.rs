//! The subset of a large service's endpoints: its size, its members, and its stability.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, time::Duration};

use havengrade_core::published::{directory::ListedEndpoint, endpoint_subset::EndpointSubset};

fn endpoints(count: usize, version: &str) -> Vec<ListedEndpoint> {
    let endpoint = |index: usize| ListedEndpoint {
        id: format!("{version}-{index}"),
        service: "models".into(),
        address: ([10, 9, (index / 250) as u8, (index % 250) as u8], 80).into(),
        failure_domain: format!("d{}", index % 6),
        version: version.into(),
        slots: 24,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    };
    (0..count).map(endpoint).collect()
}

fn used(subset: &EndpointSubset, endpoints: &[ListedEndpoint]) -> BTreeSet<String> {
    endpoints.iter().filter(|endpoint| subset.includes(endpoint)).map(|endpoint| endpoint.id.clone()).collect()
}

#[test]
fn a_small_service_uses_all_endpoints_whatever_the_number_of_vms() {
    for (count, vms) in [(4, 9), (140, 295), (1000, 1), (1000, 2000)] {
        let endpoints = endpoints(count, "v1");
        let subset = EndpointSubset::default().resized(endpoints.iter(), vms);
        assert!(subset.is_all() && used(&subset, &endpoints).len() == count);
    }
}

#[test]
fn the_subset_grows_with_the_fleet_and_has_slots_for_the_requests_of_each_vm() {
    for (count, vms) in [(9_640, 985), (19_280, 1_970), (12_000, 390)] {
        let endpoints = endpoints(count, "v1");
        let subset = EndpointSubset::default().resized(endpoints.iter(), vms);
        let used = used(&subset, &endpoints).len();
        assert!(used * 24 >= vms * 14, "{used} of {count} endpoints for {vms} VMs");
        assert!(used <= 2 * (vms * 16 / 24).max(512) + 100, "{used} of {count} endpoints for {vms} VMs");
        let domains: BTreeSet<&str> =
            endpoints.iter().filter(|e| subset.includes(e)).map(|e| e.failure_domain.as_str()).collect();
        assert_eq!(domains.len(), 6);
    }
}

#[test]
fn a_version_with_few_endpoints_uses_all_beside_one_with_many() {
    let (old, new) = (endpoints(9_640, "v1"), endpoints(90, "v2"));
    let subset = EndpointSubset::default().resized(old.iter().chain(&new), 985);
    assert_eq!(used(&subset, &new).len(), 90);
    assert!(used(&subset, &old).len() < 2_000);
}

#[test]
fn small_changes_of_the_fleet_or_the_list_keep_the_subset() {
    let endpoints = endpoints(10_000, "v1");
    let subset = EndpointSubset::default().resized(endpoints.iter(), 985);
    for (count, vms) in [(9_000, 985), (10_000, 900), (9_500, 1_100)] {
        assert_eq!(subset.resized(endpoints[..count].iter(), vms), subset, "{count} endpoints, {vms} VMs");
    }
    let fewer = subset.resized(endpoints[..3_000].iter(), 985);
    assert_ne!(fewer, subset);
    assert!(used(&subset, &endpoints[..3_000]).is_subset(&used(&fewer, &endpoints[..3_000])));
}
