//! Several routers of published routes over one store in memory, on a paused clock.

use std::time::{Duration, SystemTime};

use havengrade_core::published::{
    directory::{DirectoryEvent, ListedEndpoint},
    route::{Publication, PublishedAccount},
};
use havengrade_dev::{
    fabric::{Fabric as _, Host, Pipes},
    stand_in::memory_store::MemoryStore,
};
use havengrade_router::{
    clock::Clock,
    published::{ports::OperatorEvent, router::PublishedRouter},
    router::RouterEnvironment,
    settings::Settings,
};
use tokio::{runtime::Handle, time::sleep};

/// Time in which a fleet that starts together has found itself.
pub(crate) const START: Duration = Duration::from_secs(3);

pub(crate) struct Bench {
    pub(crate) pipes: Pipes,
    pub(crate) store: MemoryStore,
    pub(crate) routers: Vec<PublishedRouter>,
    pub(crate) domains: Host,
    pub(crate) is_first_start: bool,
}

pub(crate) fn publication(version: u64) -> OperatorEvent {
    let accounts = vec![PublishedAccount { name: "gate".into(), keys: vec!["k1".into()], priority: None }];
    OperatorEvent::Publication(Publication { version, accounts: Some(accounts), ..Publication::default() })
}

pub(crate) fn name(index: usize) -> String {
    format!("vm-{index}")
}

/// An endpoint of the list.
pub(crate) fn endpoint(index: usize, version: &str) -> DirectoryEvent {
    DirectoryEvent::Seen(ListedEndpoint {
        id: format!("{version}-{index}"),
        service: "models".into(),
        address: ([10, 9, (index / 250) as u8, (index % 250) as u8], 80).into(),
        failure_domain: format!("d{}", index % 6),
        version: version.into(),
        slots: 8,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    })
}

/// Ids of the endpoints that a VM uses.
pub(crate) fn usable(router: &PublishedRouter) -> Vec<String> {
    let usable = router.context().shared.usable_endpoints.load();
    usable.get("models").into_iter().flatten().map(|endpoint| endpoint.id.clone()).collect()
}

impl Bench {
    pub(crate) async fn start(vms: Host) -> Self {
        Self::start_in(vms, 1).await
    }

    /// VMs in so many failure domains, which start together.
    pub(crate) async fn start_in(vms: Host, domains: Host) -> Self {
        let mut bench = Self {
            pipes: Pipes::default(),
            store: MemoryStore::default(),
            routers: Vec::new(),
            domains,
            is_first_start: false,
        };
        bench.store.operate(publication(1));
        bench.start_all(vms).await;
        bench
    }

    pub(crate) async fn start_all(&mut self, vms: Host) {
        for host in 1..=vms {
            self.add(host).await;
        }
        sleep(START).await;
    }

    /// Kills the routers as a loss of power would.
    pub(crate) fn kill_all(&mut self) {
        for router in self.routers.drain(..) {
            router.kill();
        }
    }

    /// VMs that don't know where requests go.
    pub(crate) fn unknowing(&self) -> usize {
        self.routers.iter().filter(|router| !router.context().shared.knows_routes()).count()
    }

    pub(crate) async fn add(&mut self, host: Host) {
        let mut settings = Settings::default();
        settings.vm.id = name(self.routers.len());
        if self.domains > 1 {
            settings.vm.failure_domain = format!("d{}", host % self.domains);
        }
        settings.published.callers = Some(self.pipes.address(host, 0));
        settings.listen.peers = self.pipes.address(host, 1);
        settings.published.is_first_start = self.is_first_start;
        settings.published.readiness = self.pipes.address(host, 2);
        settings.published.metrics = self.pipes.address(host, 3);
        let origin = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let parts = RouterEnvironment {
            network: self.pipes.network(host),
            clock: Clock::starting_at(origin),
            seed: u64::from(host),
        };
        let ports = self.store.ports(&settings.vm.id);
        self.routers.push(PublishedRouter::start(settings, parts, ports, &Handle::current()).await.unwrap());
    }

    /// Indices of the VMs that read the store for others.
    pub(crate) fn readers(&self) -> Vec<usize> {
        let reads = |router: &&PublishedRouter| router.context().shared.store.is_reader();
        self.routers.iter().enumerate().filter(|(_, router)| reads(router)).map(|(index, _)| index).collect()
    }

    pub(crate) fn versions(&self) -> Vec<u64> {
        self.routers.iter().map(|router| router.context().shared.routes.load().version()).collect()
    }

    /// VMs that may not use keys now.
    pub(crate) fn stale(&self) -> usize {
        let is_stale = |router: &&PublishedRouter| {
            let shared = &router.context().shared;
            !shared.may_use_key(shared.clock.now())
        };
        self.routers.iter().filter(is_stale).count()
    }
}
