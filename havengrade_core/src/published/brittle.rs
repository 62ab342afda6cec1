//! Services whose endpoints crash when they have to reject too many requests in a second.
//!
//! All VMs together must stay below the number that the endpoints state. Each VM keeps to its share: few requests in
//! flight at an endpoint, and a pause after each rejection that is as long as its share of the rejections lasts.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    ids::{EndpointId, ServiceId},
    published::directory::ListedEndpoint,
};

/// Share of the tolerated rejections that the VMs use: rejections are not spread evenly over time.
const USED_SHARE: f64 = 0.5;
/// Longest pause after a rejection; the endpoint has usually finished all its requests by then.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Time without an answer that states the tolerance after which it no longer holds.
const LIFETIME: Duration = Duration::from_secs(10);

/// Number of rejections a second that each endpoint of a service tolerates.
#[derive(Clone, Copy, Debug)]
struct Tolerance {
    rejections_per_s: f64,
    stated_at: SystemTime,
}

/// The tolerances of services, and the pauses of their endpoints.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    tolerances: HashMap<ServiceId, Tolerance>,
    paused_until: HashMap<EndpointId, SystemTime>,
}

impl BrittleServices {
    /// Records an answer of an endpoint, with the rejections a second that it says it tolerates.
    ///
    /// An answer without such a number ends the tolerance of the service, whose endpoints state it in all answers.
    /// Returns whether that changes anything.
    pub fn record_answer(&mut self, service: &str, rejections_per_s: Option<f64>, now: SystemTime) -> bool {
        let before = self.tolerance(service, now).map(|tolerance| tolerance.rejections_per_s);
        let rejections_per_s = rejections_per_s.map(|rejections_per_s| rejections_per_s.max(1.0));
        match rejections_per_s {
            Some(rejections_per_s) => {
                self.tolerances.insert(service.to_owned(), Tolerance { rejections_per_s, stated_at: now });
            },
            None => {
                self.tolerances.remove(service);
            },
        }
        before != rejections_per_s
    }

    /// Records that an endpoint rejected a request of this VM, one of `vms`.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::brittle::BrittleServices;
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let mut brittle = BrittleServices::default();
    /// brittle.record_answer("x", Some(6.0), now);
    /// brittle.record_rejection("x", "e1", 9, now);
    /// assert_eq!(brittle.pause_left("e1", now), Some(Duration::from_secs(3)));
    /// assert_eq!(brittle.pause_left("e2", now), None);
    /// ```
    pub fn record_rejection(&mut self, service: &str, endpoint: &str, vms: usize, now: SystemTime) {
        let Some(tolerance) = self.tolerance(service, now) else { return };
        let pause = Duration::from_secs_f64(vms as f64 / (tolerance.rejections_per_s * USED_SHARE)).min(MAX_PAUSE);
        self.paused_until.retain(|_, until| now < *until);
        self.paused_until.insert(endpoint.to_owned(), now + pause);
    }

    /// Remaining time in which this VM must send nothing to an endpoint.
    pub fn pause_left(&self, endpoint: &str, now: SystemTime) -> Option<Duration> {
        let until = self.paused_until.get(endpoint)?;
        until.duration_since(now).ok().filter(|left| !left.is_zero())
    }

    /// Largest number of requests that this VM, one of `vms`, may have in flight at an endpoint: its share of the slots,
    /// since the endpoint may let none wait. None for no limit.
    pub fn max_in_flight(&self, endpoint: &ListedEndpoint, vms: usize, now: SystemTime) -> Option<u32> {
        self.tolerance(&endpoint.service, now)?;
        let vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
        Some((endpoint.slots / vms).max(1))
    }

    /// The rejections a second that the endpoints of a service tolerate, if it is brittle.
    pub fn tolerated_rejections(&self, service: &str, now: SystemTime) -> Option<f64> {
        self.tolerance(service, now).map(|tolerance| tolerance.rejections_per_s)
    }

    /// Whether no service is brittle, as far as is known.
    pub fn is_empty(&self) -> bool {
        self.tolerances.is_empty() && self.paused_until.is_empty()
    }

    fn tolerance(&self, service: &str, now: SystemTime) -> Option<Tolerance> {
        self.tolerances.get(service).copied().filter(|tolerance| now < tolerance.stated_at + LIFETIME)
    }
}
