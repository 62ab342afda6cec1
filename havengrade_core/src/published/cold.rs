//! Cold endpoints: endpoints that have just started or become available again, and accept few requests per second from
//! all VMs together until they have warmed up.

use std::{collections::HashMap, time::SystemTime};

use crate::ids::EndpointId;

/// The endpoints that are cold according to their directory entries.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    until: HashMap<EndpointId, SystemTime>,
}

impl ColdEndpoints {
    /// Replaces all entries: the cold endpoints, each with the time until which it is cold.
    pub fn set(&mut self, until: HashMap<EndpointId, SystemTime>) {
        self.until = until;
    }

    /// Whether the entry of an endpoint says that it is cold.
    pub fn is_cold(&self, endpoint: &str, now: SystemTime) -> bool {
        self.until.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Drops endpoints that have warmed up.
    pub fn prune(&mut self, now: SystemTime) {
        self.until.retain(|_, until| now < *until);
    }
}
