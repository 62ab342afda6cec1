//! The service that watches endpoints: their load, their silence and their leaving.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    config::{Endpoint, EndpointKind},
    ids::EndpointId,
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use serde::Deserialize;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    http::{Reuse, get},
    kernel::{Context, Service, StartError, spawn},
    platform::ListedEndpoint,
};

/// Name of the service.
pub const NAME: &str = "endpoints";

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
    /// Time to look at all endpoints.
    Tick,
    /// An endpoint answered, or did not.
    Reported {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests of ours that were there when it was asked.
        own: u32,
        /// Its report, if one came.
        report: Option<LoadReport>,
    },
    /// The platform's list.
    Listed(Vec<ListedEndpoint>),
}

/// The service.
pub struct EndpointsService;

#[async_trait]
impl Service for EndpointsService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &Context) -> Result<ActorCell, StartError> {
        spawn(NAME, cx, EndpointsActor, cx.clone()).await
    }
}

struct EndpointsActor;

struct EndpointsState {
    cx: Context,
    heard: HashMap<EndpointId, SystemTime>,
    /// Endpoints that said of themselves that they leave.
    says_leaving: HashSet<EndpointId>,
    /// Endpoints that the platform lists as leaving.
    listed_leaving: HashSet<EndpointId>,
    asking: HashMap<EndpointId, AbortOnDropHandle<()>>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for EndpointsActor {
    type Msg = EndpointsMessage;
    type State = EndpointsState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<EndpointsState, ActorProcessingErr> {
        let every = Duration::from_millis(cx.shared.settings.endpoints.report_ms);
        Ok(EndpointsState {
            cx,
            heard: HashMap::new(),
            says_leaving: HashSet::new(),
            listed_leaving: HashSet::new(),
            asking: HashMap::new(),
            _ticker: super::tick(myself, every, || EndpointsMessage::Tick),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: EndpointsMessage,
        state: &mut EndpointsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            EndpointsMessage::Tick => state.ask_all(&myself),
            EndpointsMessage::Reported { endpoint, own, report } => state.reported(&endpoint, own, report),
            EndpointsMessage::Listed(listed) => state.listed(&listed),
        }
        Ok(())
    }
}

impl EndpointsState {
    fn ask_all(&mut self, myself: &ActorRef<EndpointsMessage>) {
        let catalog = self.cx.shared.catalog.load_full();
        self.forget_removed(|id| catalog.config.endpoints.contains_key(id));
        for endpoint in catalog.config.endpoints.values() {
            self.note_silence(&endpoint.id);
            // Scripts know nothing of load reports; they are taken to be there.
            let is_busy = self.asking.get(&endpoint.id).is_some_and(|task| !task.is_finished());
            if endpoint.kind != EndpointKind::Scripts && !is_busy {
                let task = tokio::spawn(ask(self.cx.clone(), myself.clone(), Arc::new(endpoint.clone())));
                self.asking.insert(endpoint.id.clone(), AbortOnDropHandle::new(task));
            }
        }
    }

    fn forget_removed(&mut self, is_there: impl Fn(&str) -> bool) {
        self.heard.retain(|id, _| is_there(id));
        self.says_leaving.retain(|id| is_there(id));
        self.asking.retain(|id, _| is_there(id));
    }

    fn note_silence(&mut self, endpoint: &str) {
        let now = self.cx.shared.clock.now();
        let limit = Duration::from_millis(self.cx.shared.settings.endpoints.silence_ms);
        let Some(heard) = self.heard.get(endpoint) else {
            self.heard.insert(endpoint.to_owned(), now);
            return;
        };
        let is_silent = now.duration_since(*heard).unwrap_or_default() > limit;
        if is_silent
            && !self
                .cx
                .shared
                .catalog
                .load()
                .config
                .endpoints
                .get(endpoint)
                .is_some_and(|e| e.kind == EndpointKind::Scripts)
            && let Some(slot) = self.cx.shared.endpoints.slot(endpoint)
        {
            slot.fall_silent();
        }
    }

    fn reported(&mut self, endpoint: &str, own: u32, report: Option<LoadReport>) {
        let Some(slot) = self.cx.shared.endpoints.slot(endpoint) else { return };
        let Some(report) = report else { return };
        self.heard.insert(endpoint.to_owned(), self.cx.shared.clock.now());
        if report.leaving {
            self.says_leaving.insert(endpoint.to_owned());
        } else {
            self.says_leaving.remove(endpoint);
        }
        slot.report(report.load, own);
        slot.set_leaving(report.leaving || self.listed_leaving.contains(endpoint));
    }

    fn listed(&mut self, listed: &[ListedEndpoint]) {
        self.listed_leaving = listed.iter().filter(|vm| vm.leaving).map(|vm| vm.id.clone()).collect();
        for vm in listed {
            if let Some(slot) = self.cx.shared.endpoints.slot(&vm.id) {
                slot.set_leaving(vm.leaving || self.says_leaving.contains(&vm.id));
            }
        }
    }
}

async fn ask(cx: Context, service: ActorRef<EndpointsMessage>, endpoint: Arc<Endpoint>) {
    let own = cx.shared.endpoints.slot(&endpoint.id).map_or(0, |slot| slot.in_flight());
    let limit = Duration::from_millis(cx.shared.settings.endpoints.silence_ms);
    let request = get(&format!("http://{}/load", endpoint.address));
    let called = cx.http.call(endpoint.address, request, Reuse::Allowed, limit, MAX_REPORT).await;
    let answer = called.and_then(|answer| answer.expect_ok(endpoint.address));
    let report = answer.ok().and_then(|body| serde_json::from_slice(&body).ok());
    let _ = service.cast(EndpointsMessage::Reported { endpoint: endpoint.id.clone(), own, report });
}
