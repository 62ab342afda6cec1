//! The service that monitors endpoints: their load, whether they answer and whether they are shutting down.
//!
//! The endpoints are divided among the live VMs: one VM polls an endpoint and reports the answer to the others in
//! its heartbeats.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    config::{Catalog, Endpoint, EndpointKind},
    ids::EndpointId,
    secret::uniform_hash,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use serde::Deserialize;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    endpoints::{EndpointReport, EndpointSlot},
    http::{ConnectionReuse, get},
    kernel::Context,
    platform::ListedEndpoint,
};

/// Name of the service.
pub const NAME: &str = "endpoints";

/// Interval at which endpoints that are due are polled.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the endpoint runs or has queued.
    pub load: u32,
    /// Whether the endpoint is about to shut down.
    #[serde(default)]
    pub leaving: bool,
}

/// Messages to the service.
pub enum EndpointsMessage {
    /// Poll the endpoints that are due.
    Tick,
    /// Report of an endpoint that this VM has polled.
    OwnReport {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Number of this VM's requests in flight there when the poll began.
        own_in_flight: u32,
        /// The report.
        report: EndpointReport,
    },
    /// Reports of endpoints that another VM has polled.
    RelayedReports(Vec<(EndpointId, EndpointReport)>),
    /// Endpoints on the platform's list.
    PlatformList(Vec<ListedEndpoint>),
}

/// Actor of the service.
pub(crate) struct EndpointsActor;

/// State of a monitored endpoint.
struct MonitoredEndpoint {
    slot: Arc<EndpointSlot>,
    address: SocketAddr,
    /// Hash by which the endpoints are assigned to the live VMs.
    assignment_hash: u64,
    monitored_since: SystemTime,
    /// Time at which this VM last polled the endpoint.
    last_polled: Option<SystemTime>,
    /// Whether the endpoint has reported that it is about to shut down.
    reports_shutdown: bool,
    poll: Option<AbortOnDropHandle<()>>,
}

/// State of the service.
pub(crate) struct EndpointsState {
    cx: Context,
    monitored: BTreeMap<EndpointId, MonitoredEndpoint>,
    /// Configuration whose endpoints are monitored.
    catalog: Arc<Catalog>,
    /// Endpoints that the platform is about to remove.
    listed_shutting_down: HashSet<EndpointId>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for EndpointsActor {
    type Msg = EndpointsMessage;
    type State = EndpointsState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<EndpointsState, ActorProcessingErr> {
        Ok(EndpointsState {
            catalog: cx.shared.catalog.load_full(),
            cx,
            monitored: BTreeMap::new(),
            listed_shutting_down: HashSet::new(),
            _ticker: super::send_periodically(myself, TICK_INTERVAL, || EndpointsMessage::Tick),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: EndpointsMessage,
        state: &mut EndpointsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            EndpointsMessage::Tick => state.tick(&myself),
            EndpointsMessage::OwnReport { endpoint, own_in_flight, report } => {
                state.apply_report(&endpoint, report, Some(own_in_flight));
                state.cx.shared.record_endpoint_report(endpoint, report);
            },
            EndpointsMessage::RelayedReports(reports) => {
                reports.into_iter().for_each(|(endpoint, report)| state.apply_report(&endpoint, report, None));
            },
            EndpointsMessage::PlatformList(listed) => state.apply_platform_list(&listed),
        }
        Ok(())
    }
}

impl EndpointsState {
    fn tick(&mut self, myself: &ActorRef<EndpointsMessage>) {
        self.update_monitored();
        self.check_first_answers();
        let live = self.cx.shared.live_vms();
        let own_index = live.iter().position(|vm| vm == self.cx.shared.vm()).unwrap_or_default() as u64;
        let now = self.cx.shared.clock.now();
        let report_interval = Duration::from_millis(self.cx.shared.settings.endpoints.report_ms);
        let silence_timeout = Duration::from_millis(self.cx.shared.settings.endpoints.silence_ms);
        for (id, monitored) in &mut self.monitored {
            let time_since_activity = monitored.time_since_activity(now);
            if time_since_activity > silence_timeout {
                monitored.slot.mark_unresponsive();
            }
            // All VMs poll an endpoint without a recent report, since the VM responsible for it may be gone.
            let is_responsible = monitored.assignment_hash % live.len().max(1) as u64 == own_index;
            let is_due =
                is_responsible || time_since_activity > report_interval * 3 / 2 || monitored.needs_direct_report();
            let was_polled = monitored
                .last_polled
                .is_some_and(|last_polled| now.duration_since(last_polled).unwrap_or_default() < report_interval);
            if is_due && !was_polled {
                monitored.last_polled = Some(now);
                let poll = poll_load(
                    self.cx.clone(),
                    myself.clone(),
                    id.clone(),
                    monitored.address,
                    monitored.slot.in_flight(),
                );
                monitored.poll = Some(AbortOnDropHandle::new(tokio::spawn(poll)));
            }
        }
    }

    /// Marks the endpoints as probed once each has answered or its first poll has timed out.
    fn check_first_answers(&self) {
        /// Time that an endpoint has for its first answer.
        const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
        let now = self.cx.shared.clock.now();
        let has_timed_out =
            |last_polled: SystemTime| now.duration_since(last_polled).unwrap_or_default() >= FIRST_ANSWER_TIMEOUT;
        let is_probed = |monitored: &MonitoredEndpoint| {
            monitored.slot.last_activity().is_some() || monitored.last_polled.is_some_and(has_timed_out)
        };
        if self.cx.shared.is_caught_up() && self.monitored.values().all(is_probed) {
            self.cx.shared.set_endpoints_probed();
        }
    }

    /// Monitors the endpoints of the active configuration, except scripts, which don't report their load.
    fn update_monitored(&mut self) {
        let catalog = self.cx.shared.catalog.load_full();
        if !self.monitored.is_empty() && self.catalog.shares_endpoints_with(&catalog.config) {
            return;
        }
        let mut known = std::mem::take(&mut self.monitored);
        let now = self.cx.shared.clock.now();
        for endpoint in catalog.config.endpoints.values().filter(|endpoint| endpoint.kind == EndpointKind::Scripts) {
            if let Some(slot) = self.cx.shared.endpoints.slot(&endpoint.id) {
                slot.record_activity(now);
            }
        }
        for endpoint in catalog.config.endpoints.values().filter(|endpoint| endpoint.kind != EndpointKind::Scripts) {
            let unchanged = known.remove(&endpoint.id).filter(|monitored| monitored.address == endpoint.address);
            let slot = self.cx.shared.endpoints.slot(&endpoint.id).unwrap_or_default();
            let monitored = unchanged.unwrap_or_else(|| MonitoredEndpoint::new(endpoint, slot, now));
            self.monitored.insert(endpoint.id.clone(), monitored);
        }
        self.catalog = catalog;
    }

    fn apply_report(&mut self, endpoint: &str, report: EndpointReport, own_in_flight: Option<u32>) {
        let is_listed_shutting_down = self.listed_shutting_down.contains(endpoint);
        let Some(monitored) = self.monitored.get_mut(endpoint) else { return };
        match report {
            EndpointReport::ConnectionRefused => monitored.slot.mark_unresponsive(),
            EndpointReport::Load { load, shutting_down } => {
                // A relayed report may be old, so only a direct report can reset the flag.
                monitored.reports_shutdown = shutting_down || (own_in_flight.is_none() && monitored.reports_shutdown);
                monitored.slot.record_load(load, own_in_flight.unwrap_or_else(|| monitored.slot.in_flight()));
                monitored.slot.record_activity(self.cx.shared.clock.now());
                monitored.slot.set_shutting_down(monitored.reports_shutdown || is_listed_shutting_down);
            },
        }
    }

    fn apply_platform_list(&mut self, listed: &[ListedEndpoint]) {
        self.listed_shutting_down = listed.iter().filter(|vm| vm.leaving).map(|vm| vm.id.clone()).collect();
        for (id, monitored) in &self.monitored {
            monitored.slot.set_shutting_down(monitored.reports_shutdown || self.listed_shutting_down.contains(id));
        }
    }
}

impl MonitoredEndpoint {
    fn new(endpoint: &Endpoint, slot: Arc<EndpointSlot>, now: SystemTime) -> Self {
        Self {
            slot,
            address: endpoint.address,
            assignment_hash: uniform_hash(&[&endpoint.id]),
            monitored_since: now,
            last_polled: None,
            reports_shutdown: false,
            poll: None,
        }
    }

    /// Returns whether only a direct report can tell the state of the endpoint.
    fn needs_direct_report(&self) -> bool {
        self.slot.last_activity().is_none() || self.reports_shutdown
    }

    /// Returns the time since the last activity of the endpoint, or since its monitoring began.
    fn time_since_activity(&self, now: SystemTime) -> Duration {
        let last_activity = self
            .slot
            .last_activity()
            .map_or(self.monitored_since, |last_activity| last_activity.max(self.monitored_since));
        now.duration_since(last_activity).unwrap_or_default()
    }
}

/// Requests the load report of an endpoint and sends it to the service.
async fn poll_load(
    cx: Context,
    service: ActorRef<EndpointsMessage>,
    endpoint: EndpointId,
    address: SocketAddr,
    own_in_flight: u32,
) {
    let timeout = Duration::from_millis(cx.shared.settings.endpoints.silence_ms);
    let request = get(&format!("http://{address}/load"));
    let report = match cx.http.call(address, request, ConnectionReuse::Allowed, timeout, MAX_REPORT_BYTES).await {
        Ok(answer) => {
            let body = answer.into_ok_body(address).ok();
            body.and_then(|body| serde_json::from_slice::<LoadReport>(&body).ok()).map(std::convert::Into::into)
        },
        Err(error) => error.is_known_not_sent().then_some(EndpointReport::ConnectionRefused),
    };
    if let Some(report) = report {
        let _ = service.cast(EndpointsMessage::OwnReport { endpoint, own_in_flight, report });
    }
}

impl From<LoadReport> for EndpointReport {
    fn from(report: LoadReport) -> Self {
        Self::Load { load: report.load, shutting_down: report.leaving }
    }
}
