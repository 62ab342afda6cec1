//! Applies the send limits of endpoints, from their own signals or because they are cold, to a request.

use std::time::SystemTime;

use havengrade_core::published::{
    directory::ListedEndpoint,
    peers::Peers,
    send_budget::is_holder,
    send_limits::{Readiness, SendQuery},
};

use crate::published::{active_request::ActiveRequest, context::PublishedContext};

/// Send limits of the endpoints of one service.
pub(super) struct ServiceSendLimits<'a> {
    cx: &'a PublishedContext,
    cold_per_s: f64,
}

impl<'a> ServiceSendLimits<'a> {
    pub(super) fn new(cx: &'a PublishedContext, request: &ActiveRequest) -> Self {
        let cold_per_s = cx.shared.routes.load().service(&request.service).map_or(0.0, |service| service.cold_per_s);
        Self { cx, cold_per_s }
    }

    /// Returns the endpoints to which this VM may send another request now.
    pub(super) fn ready_endpoints<'b>(
        &self,
        endpoints: Vec<&'b ListedEndpoint>,
        now: SystemTime,
    ) -> Vec<&'b ListedEndpoint> {
        if self.cx.shared.send_limits().is_unlimited(self.cold_per_s) {
            return endpoints;
        }
        let peers = self.cx.shared.peers();
        let mut send_limits = self.cx.shared.send_limits();
        let mut is_ready = |endpoint: &&ListedEndpoint| {
            let query = self.query(&peers, endpoint, now);
            send_limits.readiness(query, |round| self.is_holder(&peers, endpoint, round), now) == Readiness::Now
        };
        endpoints.into_iter().filter(&mut is_ready).collect()
    }

    /// Returns when this VM may send another request to the first of the endpoints.
    pub(super) fn earliest_readiness(&self, endpoints: &[&ListedEndpoint], now: SystemTime) -> Readiness {
        let peers = self.cx.shared.peers();
        let mut send_limits = self.cx.shared.send_limits();
        let readiness = |endpoint: &&ListedEndpoint| {
            let query = self.query(&peers, endpoint, now);
            send_limits.readiness(query, |round| self.is_holder(&peers, endpoint, round), now)
        };
        endpoints.iter().map(readiness).min().unwrap_or(Readiness::Never)
    }

    /// Reserves a send to an endpoint; returns whether the limits allow it.
    pub(super) fn try_reserve(&self, endpoint: &ListedEndpoint, now: SystemTime) -> bool {
        let peers = self.cx.shared.peers();
        let query = self.query(&peers, endpoint, now);
        self.cx.shared.send_limits().try_reserve(query, |round| self.is_holder(&peers, endpoint, round), now)
    }

    fn query<'b>(&self, peers: &Peers, endpoint: &'b ListedEndpoint, now: SystemTime) -> SendQuery<'b> {
        SendQuery {
            endpoint,
            cold_per_s: self.cold_per_s,
            own_in_flight: self.cx.shared.endpoint_states.slot(&endpoint.id).map_or(0, |slot| slot.in_flight()),
            vms: peers.len() + 1,
            may_be_cold: self.cx.shared.emptied_domains.load().may_be_cold(&endpoint.failure_domain, now),
            vms_revision: peers.is_list_loaded().then(|| peers.revision()),
        }
    }

    /// Whether this VM is a holder of the limit of an endpoint, one of the few VMs that share it in this round.
    fn is_holder(&self, peers: &Peers, endpoint: &ListedEndpoint, round: u64) -> bool {
        let vm = &self.cx.shared.settings.vm;
        is_holder((&vm.id, &vm.failure_domain), peers.all(), endpoint, round)
    }
}
