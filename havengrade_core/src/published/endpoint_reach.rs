//! Whether a VM can connect to any endpoint at all.
//!
//! A failed connect to one endpoint says nothing of the others, so it only raises a doubt. The doubt is settled by
//! connects to several endpoints of different failure domains: if none of them succeeds, the VM is cut off.

use std::time::{Duration, SystemTime};

use rand::{Rng, seq::IteratorRandom as _};

use crate::published::directory::ListedEndpoint;

/// Endpoints to which a check connects; with fewer, some that are down at the same time would pass for a VM that is cut
/// off.
const CHECKED_ENDPOINTS: usize = 8;
/// Fewest endpoints from whose failures a VM concludes that it is cut off; a single one may just have ended.
const MIN_CHECKED_ENDPOINTS: usize = 2;
/// Share of the endpoints of a check that must be connected to before a VM that was cut off counts as reaching them.
///
/// One that reaches a few of them would send most of its requests to others.
const MIN_REGAINED_SHARE: f64 = 0.5;
/// Time for which a successful connect dispels doubts.
const PROOF_LIFETIME: Duration = Duration::from_millis(250);

/// A change of whether any endpoint can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No endpoint can be reached from now on.
    Lost,
    /// Endpoints can be reached again, after this time without.
    Regained {
        /// Time for which no endpoint could be reached.
        lost_for: Duration,
    },
}

/// What is known of the reach of a VM.
#[derive(Clone, Debug, Default)]
pub struct EndpointReach {
    connected_at: Option<SystemTime>,
    lost_since: Option<SystemTime>,
    is_checking: bool,
}

impl EndpointReach {
    /// Whether no endpoint can be reached, as far as is known.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Whether a failed connect, or a silence, must be followed by a check; a check begins then.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::endpoint_reach::EndpointReach;
    ///
    /// let now = SystemTime::UNIX_EPOCH + Duration::from_secs(9);
    /// let mut reach = EndpointReach::default();
    /// assert!(reach.begin_check(now));
    /// assert!(!reach.begin_check(now), "one check at a time");
    /// reach.finish_check(4, 1, now);
    /// assert!(!reach.begin_check(now), "an endpoint has just been reached");
    /// assert!(reach.begin_check(now + Duration::from_secs(1)));
    /// ```
    pub fn begin_check(&mut self, now: SystemTime) -> bool {
        let is_proven = self.connected_at.is_some_and(|at| now < at + PROOF_LIFETIME);
        let begins = !self.is_checking && !is_proven;
        self.is_checking |= begins;
        begins
    }

    /// Records the result of a check: of so many endpoints, so many could be connected to.
    ///
    /// While the VM is cut off, the check goes on; see [`Self::is_lost`].
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::endpoint_reach::{EndpointReach, ReachChange};
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut reach = EndpointReach::default();
    /// assert_eq!(reach.finish_check(4, 0, now), Some(ReachChange::Lost));
    /// assert_eq!(reach.finish_check(4, 1, now), None, "most endpoints are still out of reach");
    /// assert!(reach.is_lost());
    /// assert_eq!(reach.finish_check(4, 2, now), Some(ReachChange::Regained { lost_for: Duration::ZERO }));
    /// ```
    pub fn finish_check(&mut self, checked: usize, connected: usize, now: SystemTime) -> Option<ReachChange> {
        if connected > 0 {
            self.record_connect(now);
        }
        let change = match self.lost_since {
            None if connected == 0 && checked >= MIN_CHECKED_ENDPOINTS => {
                self.lost_since = Some(now);
                Some(ReachChange::Lost)
            },
            Some(since) if checked > 0 && connected as f64 >= checked as f64 * MIN_REGAINED_SHARE => {
                self.lost_since = None;
                Some(ReachChange::Regained { lost_for: now.duration_since(since).unwrap_or_default() })
            },
            _ => None,
        };
        self.is_checking = self.is_lost();
        change
    }

    /// Records a successful connect to any endpoint.
    pub fn record_connect(&mut self, now: SystemTime) {
        self.connected_at = Some(now);
    }
}

/// Selects the endpoints of a check at random, from as many failure domains as possible.
pub fn select_checked<'a>(
    endpoints: impl Iterator<Item = &'a ListedEndpoint>,
    rng: &mut dyn Rng,
) -> Vec<&'a ListedEndpoint> {
    let sampled = endpoints.sample(rng, CHECKED_ENDPOINTS * 4);
    let mut selected: Vec<&ListedEndpoint> = Vec::new();
    for is_domain_new in [true, false] {
        for endpoint in &sampled {
            let is_selected = selected.iter().any(|known| known.id == endpoint.id);
            let has_domain = selected.iter().any(|known| known.failure_domain == endpoint.failure_domain);
            if selected.len() < CHECKED_ENDPOINTS && !is_selected && (!has_domain || !is_domain_new) {
                selected.push(endpoint);
            }
        }
    }
    selected
}
