//! The service that watches endpoints: their load, their silence and their leaving.
//!
//! The live VMs share the endpoints among them: each endpoint is asked by one VM, which tells the others
//! with its heartbeats.

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
    http::{Reuse, get},
    kernel::Context,
    platform::ListedEndpoint,
};

/// Name of the service.
pub const NAME: &str = "endpoints";

/// Time between two looks at whose turn it is.
const TICK: Duration = Duration::from_millis(250);
/// Largest load report, in bytes.
const MAX_REPORT: usize = 64 << 10;

/// An endpoint's report of itself.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct LoadReport {
    /// Requests that it runs or has queued.
    pub load: u32,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// What the service is told.
pub enum EndpointsMessage {
    /// Time to look whose turn it is.
    Tick,
    /// An endpoint answered.
    OwnReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests of ours that were there when it was asked.
        own: u32,
        /// Its report.
        report: EndpointReport,
    },
    /// Reports that another VM was given.
    RelayedReports(Vec<(EndpointId, EndpointReport)>),
    /// The platform's list.
    PlatformList(Vec<ListedEndpoint>),
}

/// The actor of the service.
pub(crate) struct EndpointsActor;

/// What is kept of an endpoint that is watched.
struct Watched {
    slot: Arc<EndpointSlot>,
    address: SocketAddr,
    /// By this number the VMs share the endpoints among them.
    place: u64,
    since: SystemTime,
    asked: Option<SystemTime>,
    says_leaving: bool,
    asking: Option<AbortOnDropHandle<()>>,
}

/// State of the service.
pub(crate) struct EndpointsState {
    cx: Context,
    watched: BTreeMap<EndpointId, Watched>,
    /// Configuration whose endpoints are watched.
    catalog: Arc<Catalog>,
    /// Endpoints that the platform lists as leaving.
    listed_leaving: HashSet<EndpointId>,
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
            watched: BTreeMap::new(),
            listed_leaving: HashSet::new(),
            _ticker: super::send_periodically(myself, TICK, || EndpointsMessage::Tick),
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
            EndpointsMessage::OwnReport { endpoint, own, report } => {
                state.reported(&endpoint, report, Some(own));
                state.cx.shared.note_report(endpoint, report);
            },
            EndpointsMessage::RelayedReports(reports) => {
                reports.into_iter().for_each(|(endpoint, report)| state.reported(&endpoint, report, None));
            },
            EndpointsMessage::PlatformList(listed) => state.listed(&listed),
        }
        Ok(())
    }
}

impl EndpointsState {
    fn tick(&mut self, myself: &ActorRef<EndpointsMessage>) {
        self.follow_configuration();
        self.note_known();
        let live = self.cx.shared.live_vms();
        let own = live.iter().position(|vm| vm == self.cx.shared.vm()).unwrap_or_default() as u64;
        let now = self.cx.shared.clock.now();
        let report = Duration::from_millis(self.cx.shared.settings.endpoints.report_ms);
        let silence = Duration::from_millis(self.cx.shared.settings.endpoints.silence_ms);
        for (id, watched) in &mut self.watched {
            let unheard = watched.unheard(now);
            if unheard > silence {
                watched.slot.fall_silent();
            }
            // Where its VM does not tell of it, for one that is gone itself, everyone asks.
            let is_own_turn = watched.place % live.len().max(1) as u64 == own;
            let is_due = is_own_turn || unheard > report * 3 / 2 || watched.is_in_doubt();
            let was_asked = watched.asked.is_some_and(|asked| now.duration_since(asked).unwrap_or_default() < report);
            if is_due && !was_asked {
                watched.asked = Some(now);
                let ask = ask(self.cx.clone(), myself.clone(), id.clone(), watched.address, watched.slot.in_flight());
                watched.asking = Some(AbortOnDropHandle::new(tokio::spawn(ask)));
            }
        }
    }

    /// Notes that every endpoint has given a sign, or has had its time for one.
    fn note_known(&self) {
        /// Time that an endpoint has for its first sign.
        const FIRST_SIGN: Duration = Duration::from_millis(500);
        let now = self.cx.shared.clock.now();
        let had_time = |asked: SystemTime| now.duration_since(asked).unwrap_or_default() >= FIRST_SIGN;
        let is_known = |watched: &Watched| watched.slot.heard().is_some() || watched.asked.is_some_and(had_time);
        if self.cx.shared.is_caught_up() && self.watched.values().all(is_known) {
            self.cx.shared.set_endpoints_known();
        }
    }

    /// Watches the endpoints of the configuration in force; scripts know nothing of reports and are left out.
    fn follow_configuration(&mut self) {
        let catalog = self.cx.shared.catalog.load_full();
        if !self.watched.is_empty() && self.catalog.shares_endpoints_with(&catalog.config) {
            return;
        }
        let mut known = std::mem::take(&mut self.watched);
        let now = self.cx.shared.clock.now();
        for endpoint in catalog.config.endpoints.values().filter(|endpoint| endpoint.kind == EndpointKind::Scripts) {
            if let Some(slot) = self.cx.shared.endpoints.slot(&endpoint.id) {
                slot.hear(now);
            }
        }
        for endpoint in catalog.config.endpoints.values().filter(|endpoint| endpoint.kind != EndpointKind::Scripts) {
            let kept = known.remove(&endpoint.id).filter(|watched| watched.address == endpoint.address);
            let slot = self.cx.shared.endpoints.slot(&endpoint.id).unwrap_or_default();
            let watched = kept.unwrap_or_else(|| Watched::new(endpoint, slot, now));
            self.watched.insert(endpoint.id.clone(), watched);
        }
        self.catalog = catalog;
    }

    fn reported(&mut self, endpoint: &str, report: EndpointReport, own: Option<u32>) {
        let is_listed = self.listed_leaving.contains(endpoint);
        let Some(watched) = self.watched.get_mut(endpoint) else { return };
        match report {
            EndpointReport::Gone => watched.slot.fall_silent(),
            EndpointReport::Load { load, leaving } => {
                // A relayed report may have been on its way for long; only a report to ourselves takes it back.
                watched.says_leaving = leaving || (own.is_none() && watched.says_leaving);
                watched.slot.report(load, own.unwrap_or_else(|| watched.slot.in_flight()));
                watched.slot.hear(self.cx.shared.clock.now());
                watched.slot.set_leaving(watched.says_leaving || is_listed);
            },
        }
    }

    fn listed(&mut self, listed: &[ListedEndpoint]) {
        self.listed_leaving = listed.iter().filter(|vm| vm.leaving).map(|vm| vm.id.clone()).collect();
        for (id, watched) in &self.watched {
            watched.slot.set_leaving(watched.says_leaving || self.listed_leaving.contains(id));
        }
    }
}

impl Watched {
    fn new(endpoint: &Endpoint, slot: Arc<EndpointSlot>, now: SystemTime) -> Self {
        Self {
            slot,
            address: endpoint.address,
            place: uniform_hash(&[&endpoint.id]),
            since: now,
            asked: None,
            says_leaving: false,
            asking: None,
        }
    }

    /// Whether only a report to ourselves tells how it stands.
    fn is_in_doubt(&self) -> bool {
        self.slot.heard().is_none() || self.says_leaving
    }

    /// Time since there was last a sign of it, or since it is watched.
    fn unheard(&self, now: SystemTime) -> Duration {
        let heard = self.slot.heard().map_or(self.since, |heard| heard.max(self.since));
        now.duration_since(heard).unwrap_or_default()
    }
}

async fn ask(cx: Context, service: ActorRef<EndpointsMessage>, endpoint: EndpointId, address: SocketAddr, own: u32) {
    let limit = Duration::from_millis(cx.shared.settings.endpoints.silence_ms);
    let request = get(&format!("http://{address}/load"));
    let report = match cx.http.call(address, request, Reuse::Allowed, limit, MAX_REPORT).await {
        Ok(answer) => {
            let body = answer.expect_ok(address).ok();
            body.and_then(|body| serde_json::from_slice::<LoadReport>(&body).ok()).map(std::convert::Into::into)
        },
        Err(error) => error.surely_not_sent().then_some(EndpointReport::Gone),
    };
    if let Some(report) = report {
        let _ = service.cast(EndpointsMessage::OwnReport { endpoint, own, report });
    }
}

impl From<LoadReport> for EndpointReport {
    fn from(report: LoadReport) -> Self {
        Self::Load { load: report.load, leaving: report.leaving }
    }
}
