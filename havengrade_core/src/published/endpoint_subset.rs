//! Which endpoints of a large service the VMs of a fleet use: as many as they can keep busy, the same ones at all VMs.
//!
//! The load that this answers: ten thousand endpoints before a thousand VMs, each of which sees half a request a second. To hold and follow
//! all endpoints costs each VM what grows with the fleet, and a shared part of a prompt is read anew at each of many places.

use std::collections::{BTreeMap, HashMap};

use crate::{
    ids::ServiceId,
    published::directory::{ListedEndpoint, SoftwareVersion},
    ranking::rank,
};

/// Endpoints of a service's version that are used at least; where there are fewer than twice as many, all are.
const MIN_ENDPOINTS: usize = 512;
/// Requests in progress at one VM for which what is used has slots: a VM with an eighth of a core has fewer.
const REQUESTS_PER_VM: usize = 16;
/// Part of a step by which the number of endpoints or VMs may change before another part is used.
const HYSTERESIS: f64 = 0.25;

/// How many times the endpoints of each service's version are halved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointSubset {
    halvings: BTreeMap<(ServiceId, SoftwareVersion), u32>,
}

/// What a service's version has.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    endpoints: usize,
    slots: usize,
}

impl EndpointSubset {
    /// What a fleet of so many VMs uses of the endpoints; `self` is what it has used before, which goes on while it is about right.
    #[must_use]
    pub fn resized<'a>(&self, endpoints: impl Iterator<Item = &'a ListedEndpoint>, vms: usize) -> Self {
        let mut sizes: HashMap<(&str, &str), Size> = HashMap::new();
        for endpoint in endpoints {
            let size = sizes.entry((&endpoint.service, &endpoint.version)).or_default();
            size.endpoints += 1;
            size.slots += endpoint.slots as usize;
        }
        let halvings = sizes.into_iter().filter_map(|((service, version), size)| {
            let key = (service.to_owned(), version.to_owned());
            let before = self.halvings.get(&key).copied().unwrap_or_default();
            let halvings = halvings(size, vms, before);
            (halvings > 0).then_some((key, halvings))
        });
        Self { halvings: halvings.collect() }
    }

    /// Whether an endpoint is one of those that are used.
    ///
    /// Those that are left after one halving more are among those that are left after one less, so that VMs which differ by a step have most in
    /// common.
    pub fn includes(&self, endpoint: &ListedEndpoint) -> bool {
        if self.halvings.is_empty() {
            return true;
        }
        let key = (endpoint.service.clone(), endpoint.version.clone());
        let halvings = self.halvings.get(&key).copied().unwrap_or_default();
        rank(&[&endpoint.id]).trailing_zeros() >= halvings
    }

    /// Whether all endpoints are used.
    pub fn is_all(&self) -> bool {
        self.halvings.is_empty()
    }
}

fn halvings(size: Size, vms: usize, before: u32) -> u32 {
    let slots_each = (size.slots / size.endpoints.max(1)).max(1);
    let wanted = MIN_ENDPOINTS.max((vms * REQUESTS_PER_VM).div_ceil(slots_each));
    let ratio = size.endpoints as f64 / wanted as f64;
    let step = f64::from(2u32.saturating_pow(before));
    let is_about_right = ratio >= step * (1.0 - HYSTERESIS) && ratio < step * 2.0 * (1.0 + HYSTERESIS);
    if before > 0 && is_about_right { before } else { ratio.max(1.0).log2() as u32 }
}
