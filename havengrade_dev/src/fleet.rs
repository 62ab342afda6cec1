//! A whole deployment in one process: stand-ins and a number of routers.

use std::{
    collections::BTreeMap,
    io,
    sync::Arc,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    config::{
        BaseRevision, Change, ChangeFile, ChangeRecord, Config, ConfigRecord, Endpoint, EndpointKind, Scope, ScopeKind,
        ScopedChange,
    },
    ids::{EndpointId, VmId},
    membership::ListedVm,
    secret::digest,
};
use havengrade_router::{
    clock::Clock,
    kernel::StartError,
    platform::{ListedEndpoint, VmListing},
    router::{Router, RouterEnvironment},
    settings::{Operator, Settings},
};
use snafu::{ResultExt as _, Snafu};
use tokio::{runtime::Handle, time::sleep};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    fabric::{Fabric, Host},
    scenario::{CHEAP, CHEAP_NEXT, CRATES, EVENTS, OPERATOR, OPERATOR_KEY, STRONG, first_change},
    stand_in::{EngineHandler, EngineStandIn, LogStandIn, RatingStandIn, ServiceStandIn, VmListStandIn, start},
};

/// Why a fleet did not start.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A stand-in did not start.
    #[snafu(display("stand-in {name} did not start: {source}; give another --port-base"))]
    StandIn {
        /// Name of the stand-in.
        name: String,
        /// What the system says.
        source: io::Error,
    },
    /// A router did not start.
    #[snafu(display("{source}"))]
    Router {
        /// Why.
        source: StartError,
    },
    /// The routers did not become ready.
    #[snafu(display("the routers did not become ready in time"))]
    NotReady,
}

/// What a fleet consists of.
pub struct FleetOptions {
    /// What connects its hosts.
    pub fabric: Arc<dyn Fabric>,
    /// Number of routers.
    pub routers: u8,
    /// Number of engines.
    pub engines: u8,
    /// Seed of everything that is random.
    pub seed: u64,
    /// Wall time at the start; a fixed one makes runs repeatable.
    pub origin: SystemTime,
    /// Changes the settings of each router.
    pub tune: fn(&mut Settings),
}

/// Failure domains of the sample deployment.
const DOMAINS: Host = 4;
const LOG_HOST: Host = 1;
const VM_LIST_HOST: Host = 2;
const RATING_HOST: Host = 3;
const ROUTER_HOSTS: Host = 120;
const SERVICE_HOSTS: Host = 4;
const SCRIPTS_HOST: Host = 7;
const ENGINE_HOSTS: Host = 10;
/// Streams that an engine runs at once.
const ENGINE_SLOTS: u32 = 8;
/// Lag of the VM list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// A whole deployment.
pub struct Fleet {
    options: FleetOptions,
    clock: Clock,
    starts: u64,
    /// The log service.
    pub log: Arc<LogStandIn>,
    /// The VM list.
    pub vm_list: Arc<VmListStandIn>,
    /// The rating service.
    pub rating: Arc<RatingStandIn>,
    /// Engines by name.
    pub engines: BTreeMap<EndpointId, Arc<EngineStandIn>>,
    /// Plain services and scripts by the name of their endpoint.
    pub services: BTreeMap<EndpointId, Arc<ServiceStandIn>>,
    /// Routers by VM.
    pub routers: BTreeMap<VmId, Router>,
    stand_ins: BTreeMap<String, AbortOnDropHandle<()>>,
}

/// Name of the VM of a router, counted from 0.
pub fn vm_name(index: u8) -> VmId {
    format!("vm-{}", index + 1)
}

/// Host of a router, counted from 0.
pub fn router_host(index: u8) -> Host {
    ROUTER_HOSTS + Host::from(index)
}

/// Address of an engine or of an endpoint of the sample services, by its name.
pub fn endpoint_address(fabric: &dyn Fabric, id: &str) -> std::net::SocketAddr {
    let number = id.rsplit('-').next().and_then(|number| number.parse::<Host>().ok()).unwrap_or(1);
    let host = match id.split('-').next() {
        Some("engine") => ENGINE_HOSTS + number - 1,
        Some("events") => SERVICE_HOSTS + number - 1,
        Some("crates") => SERVICE_HOSTS + 2,
        _ => SCRIPTS_HOST,
    };
    fabric.address(host, 0)
}

/// Host of the VM list.
pub fn vm_list_host() -> Host {
    VM_LIST_HOST
}

/// Host of the log service.
pub fn log_host() -> Host {
    LOG_HOST
}

impl Fleet {
    /// Starts the stand-ins, applies the first change and starts the routers.
    ///
    /// # Errors
    ///
    /// [`FleetError`] where an address is taken or the routers don't become ready.
    pub async fn start(options: FleetOptions) -> Result<Self, FleetError> {
        let listing = VmListing {
            entries: (0..options.routers).map(|index| listed(&options, index)).collect(),
            endpoints: Vec::new(),
        };
        let mut fleet = Self {
            clock: Clock::starting_at(options.origin),
            starts: 0,
            log: Arc::default(),
            vm_list: Arc::new(VmListStandIn::new(LIST_LAG, listing)),
            rating: Arc::default(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            routers: BTreeMap::new(),
            stand_ins: BTreeMap::new(),
            options,
        };
        fleet.start_platform().await?;
        let endpoints = fleet.start_endpoints().await?;
        fleet.apply_at_once("first", &first_change(endpoints));
        for index in 0..fleet.options.routers {
            fleet.start_router(index).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_platform(&mut self) -> Result<(), FleetError> {
        for (version, quality) in [(CHEAP, 720), (CHEAP_NEXT, 740), (STRONG, 940)] {
            self.rating.set_quality(version, quality);
        }
        let (log, vm_list, rating) = (self.log.clone(), self.vm_list.clone(), self.rating.clone());
        self.start_stand_in("log", LOG_HOST, log).await?;
        self.start_stand_in("vm-list", VM_LIST_HOST, vm_list).await?;
        self.start_stand_in("rating", RATING_HOST, rating).await
    }

    async fn start_stand_in(
        &mut self,
        name: &str,
        host: Host,
        handler: Arc<dyn crate::stand_in::Handler>,
    ) -> Result<(), FleetError> {
        let (network, at) = (self.options.fabric.network(host), self.options.fabric.address(host, 0));
        let handle = start(network, at, handler).await.context(StandInSnafu { name })?;
        self.stand_ins.insert(name.to_owned(), handle);
        Ok(())
    }

    async fn start_endpoints(&mut self) -> Result<Vec<Endpoint>, FleetError> {
        let mut endpoints = Vec::new();
        for index in 0..self.options.engines {
            let id = format!("engine-{}", index + 1);
            let versions = match index % 3 {
                0 => vec![CHEAP.to_owned(), CHEAP_NEXT.to_owned(), STRONG.to_owned()],
                1 => vec![CHEAP.to_owned(), CHEAP_NEXT.to_owned()],
                _ => vec![STRONG.to_owned()],
            };
            let engine = Arc::new(EngineStandIn::new(versions.clone(), ENGINE_SLOTS));
            let host = ENGINE_HOSTS + Host::from(index);
            self.start_stand_in(&id, host, Arc::new(EngineHandler(engine.clone()))).await?;
            self.engines.insert(id.clone(), engine);
            endpoints.push(self.endpoint(&id, host, EndpointKind::Engine { versions }, false));
        }
        let services = [("events-1", EVENTS, false), ("events-2", EVENTS, false), ("crates-1", CRATES, true)];
        for (index, (id, service, deduplicates)) in (0..).zip(services) {
            let host = SERVICE_HOSTS + index;
            self.start_service(id, host, deduplicates).await?;
            let kind = EndpointKind::Service { service: service.to_owned() };
            endpoints.push(self.endpoint(id, host, kind, deduplicates));
        }
        let host = SCRIPTS_HOST;
        self.start_service("scripts-1", host, false).await?;
        endpoints.push(self.endpoint("scripts-1", host, EndpointKind::Scripts, false));
        Ok(endpoints)
    }

    async fn start_service(&mut self, id: &str, host: Host, deduplicates: bool) -> Result<(), FleetError> {
        /// Time that a call takes.
        const TAKES: Duration = Duration::from_millis(5);
        let service = Arc::new(ServiceStandIn::new(id, deduplicates, TAKES));
        self.services.insert(id.to_owned(), service.clone());
        self.start_stand_in(id, host, service).await
    }

    fn endpoint(&self, id: &str, host: Host, kind: EndpointKind, deduplicates: bool) -> Endpoint {
        Endpoint {
            id: id.to_owned(),
            address: self.options.fabric.address(host, 0),
            failure_domain: domain(host % DOMAINS),
            capacity: ENGINE_SLOTS,
            checks_fence: false,
            deduplicates,
            kind,
        }
    }

    /// Writes a change straight into the log, without a router.
    pub fn apply_at_once(&self, change_id: &str, file: &ChangeFile) {
        let changes = file.changes_against(&Config::default());
        let changes = changes.into_iter().map(|it| ScopedChange { base: BaseRevision::Absent, ..it }).collect();
        self.append_change(change_id, changes);
    }

    /// Withdraws a version straight in the log, without a router.
    pub fn withdraw_at_once(&self, change_id: &str, version: &str) {
        let change = Change::Withdraw { version: version.to_owned() };
        self.append_change(change_id, vec![ScopedChange { base: BaseRevision::Any, change }]);
    }

    /// Removes a client account straight in the log, without a router's call.
    pub fn remove_account_at_once(&self, change_id: &str, account: &str) {
        let scope = Scope { kind: ScopeKind::Account, name: account.to_owned() };
        let catalogs = self.routers.values().map(|router| router.context().shared.catalog.load_full());
        let mut offsets = catalogs.filter_map(|catalog| {
            let known = catalog.config.scopes().find(|(known, _)| **known == scope);
            known.map(|(_, offset)| offset)
        });
        let base = offsets.next().map_or(BaseRevision::Absent, BaseRevision::At);
        self.append_change(change_id, vec![ScopedChange { base, change: Change::Remove { scope: scope.clone() } }]);
    }

    fn append_change(&self, change_id: &str, changes: Vec<ScopedChange>) {
        let record = ChangeRecord {
            change_id: change_id.to_owned(),
            author: OPERATOR.to_owned(),
            reason: "sample deployment".to_owned(),
            at: self.clock.now(),
            changes,
        };
        self.log.append_config(&ConfigRecord::Change(record));
    }

    /// Settings of a router, counted from 0.
    pub fn settings(&self, index: u8) -> Settings {
        let fabric = &self.options.fabric;
        let host = router_host(index);
        let mut settings = Settings::default();
        settings.vm.id = vm_name(index);
        settings.vm.failure_domain = domain(Host::from(index) % DOMAINS);
        settings.listen.callers = fabric.address(host, 0);
        settings.listen.operators = fabric.address(host, 1);
        settings.listen.peers = fabric.address(host, 2);
        settings.log_service.address = fabric.address(LOG_HOST, 0);
        settings.vm_list.address = fabric.address(VM_LIST_HOST, 0);
        settings.rating.address = fabric.address(RATING_HOST, 0);
        settings.rating.enabled = true;
        let key_sha256 = hex::encode(digest(OPERATOR_KEY.as_bytes()));
        settings.operators = vec![Operator { name: OPERATOR.to_owned(), key_sha256 }];
        (self.options.tune)(&mut settings);
        settings
    }

    /// Starts a router, or one in the place of a router that was killed.
    ///
    /// # Errors
    ///
    /// [`FleetError::Router`] where it does not start.
    pub async fn start_router(&mut self, index: u8) -> Result<(), FleetError> {
        self.starts += 1;
        let parts = RouterEnvironment {
            network: self.options.fabric.network(router_host(index)),
            clock: self.clock,
            seed: self.options.seed.wrapping_add(self.starts),
        };
        let router = Router::start(self.settings(index), parts, &Handle::current()).await.context(RouterSnafu)?;
        self.routers.insert(vm_name(index), router);
        Ok(())
    }

    /// Ends a router as a crash would.
    pub fn kill_router(&mut self, index: u8) {
        if let Some(router) = self.routers.remove(&vm_name(index)) {
            router.kill();
        }
    }

    /// Ends a stand-in as a crash of its VM would.
    pub fn kill_stand_in(&mut self, name: &str) {
        self.stand_ins.remove(name);
    }

    /// Waits until all routers take requests.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotReady`] where they don't.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        const LOOKS: u32 = 400;
        const PAUSE: Duration = Duration::from_millis(25);
        for _ in 0..LOOKS {
            let now = self.clock.now();
            if self.routers.values().all(|router| router.context().shared.not_serving_reason(now).is_none()) {
                return Ok(());
            }
            sleep(PAUSE).await;
        }
        NotReadySnafu.fail()
    }

    /// The clock that all routers share.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Lists an endpoint as leaving.
    pub fn list_leaving(&self, endpoint: &str) {
        let listed = ListedEndpoint { id: endpoint.to_owned(), leaving: true };
        self.vm_list.change(|listing| listing.endpoints.push(listed));
    }
}

fn domain(number: Host) -> String {
    format!("domain-{}", number + 1)
}

fn listed(options: &FleetOptions, index: u8) -> ListedVm {
    ListedVm {
        id: vm_name(index),
        peer_address: options.fabric.address(router_host(index), 2),
        failure_domain: domain(Host::from(index) % DOMAINS),
        leaving: false,
    }
}
