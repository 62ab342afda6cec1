//! The subset of a large service's endpoints that the VMs of a fleet use: as many as they can keep busy, and the same
//! at all VMs.
//!
//! A fleet may have ten thousand endpoints and a thousand VMs with half a request per second each. To track every
//! endpoint would cost each VM memory and work that grow with the fleet, and a shared prompt prefix would be read anew
//! at each of many endpoints.

use std::collections::{BTreeMap, HashMap};

use crate::{
    ids::ServiceId,
    published::directory::{ListedEndpoint, SoftwareVersion},
    ranking::rank,
};

/// Lower bound on the used endpoints of a service's version; if it has fewer than twice as many, all of them are used.
const MIN_ENDPOINTS: usize = 512;
/// Concurrent requests of one VM for which the subset has slots; a VM with an eighth of a core has fewer.
const REQUESTS_PER_VM: usize = 16;
/// Share of a halving step by which the number of endpoints or VMs may go beyond its bounds before the subset changes.
const HYSTERESIS: f64 = 0.25;

/// The used endpoints of all services, given by how many times those of each service's version are halved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointSubset {
    halvings: BTreeMap<(ServiceId, SoftwareVersion), u32>,
}

/// Number of endpoints and slots of a service's version.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    endpoints: usize,
    slots: usize,
}

impl EndpointSubset {
    /// The subset for a fleet with this number of VMs; the halvings of `self` are kept while they are about right.
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

    /// Whether an endpoint belongs to the subset.
    ///
    /// Each further halving selects from the endpoints that the one before it leaves, so VMs that differ by one halving
    /// share all endpoints of the smaller subset.
    pub fn includes(&self, endpoint: &ListedEndpoint) -> bool {
        if self.halvings.is_empty() {
            return true;
        }
        let key = (endpoint.service.clone(), endpoint.version.clone());
        let halvings = self.halvings.get(&key).copied().unwrap_or_default();
        rank(&[&endpoint.id]).trailing_zeros() >= halvings
    }

    /// Whether the subset contains all endpoints.
    pub fn is_all(&self) -> bool {
        self.halvings.is_empty()
    }
}

fn halvings(size: Size, vms: usize, before: u32) -> u32 {
    let slots_per_endpoint = (size.slots / size.endpoints.max(1)).max(1);
    let wanted = MIN_ENDPOINTS.max((vms * REQUESTS_PER_VM).div_ceil(slots_per_endpoint));
    let ratio = size.endpoints as f64 / wanted as f64;
    let step = f64::from(2u32.saturating_pow(before));
    let is_about_right = ratio >= step * (1.0 - HYSTERESIS) && ratio < step * 2.0 * (1.0 + HYSTERESIS);
    if before > 0 && is_about_right { before } else { ratio.max(1.0).log2() as u32 }
}
