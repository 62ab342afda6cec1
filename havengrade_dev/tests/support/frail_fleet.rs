//! Routers of published routes before endpoints that crash when they run certain requests, on a paused clock.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, SystemTime},
};

use havengrade_core::published::route::Publication;
use havengrade_dev::{
    fabric::{Fabric as _, Host, Pipes},
    stand_in::{
        frail::{FrailEndpoint, Frailty, Record},
        memory_store::MemoryStore,
    },
};
use havengrade_router::{
    clock::Clock,
    published::{ports::OperatorEvent, router::PublishedRouter},
    router::RouterEnvironment,
    settings::Settings,
};
use tokio::{
    io::AsyncWriteExt as _,
    runtime::Handle,
    time::{sleep, timeout},
};

use super::published::{CALLERS, FIRST_ENDPOINT, listed, read_all, request, status};

/// Time in which a fleet that starts together has found itself.
pub(crate) const START: Duration = Duration::from_secs(3);
/// Time for which callers wait.
pub(crate) const PATIENCE: Duration = Duration::from_secs(9);

/// VMs over one store, and what happened at their endpoints.
pub(crate) struct FrailFleet {
    pub(crate) pipes: Pipes,
    pub(crate) store: MemoryStore,
    pub(crate) record: Arc<Mutex<Record>>,
    pub(crate) routers: Mutex<Vec<(Host, PublishedRouter)>>,
    /// Hosts of the VMs that live.
    hosts: Mutex<Vec<Host>>,
    started: AtomicU32,
    asked: AtomicU32,
}

impl FrailFleet {
    /// Starts VMs and endpoints; of so many datagrams one gets through, 0 for all.
    pub(crate) async fn start(
        vms: Host,
        endpoints: Host,
        frailty: Frailty,
        one_datagram_of: u32,
        publication: Publication,
    ) -> (Self, Vec<FrailEndpoint>) {
        let fleet = Self {
            pipes: Pipes::default(),
            store: MemoryStore::default(),
            record: Arc::default(),
            routers: Mutex::default(),
            hosts: Mutex::default(),
            started: AtomicU32::new(0),
            asked: AtomicU32::new(0),
        };
        fleet.pipes.lose_all_but_one_of(one_datagram_of);
        let mut started = Vec::new();
        for index in 0..endpoints {
            let network = fleet.pipes.network(FIRST_ENDPOINT + index);
            let entry = listed(&fleet.pipes, index, "v1");
            let endpoint = FrailEndpoint::start(network, entry, frailty, fleet.store.clone(), fleet.record.clone());
            started.push(endpoint.await.unwrap());
        }
        fleet.store.operate(OperatorEvent::Publication(publication));
        for _ in 0..vms {
            fleet.add().await;
        }
        sleep(START).await;
        (fleet, started)
    }

    /// Starts a VM at a host of its own.
    pub(crate) async fn add(&self) {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let host = Host::try_from(number + 1).unwrap();
        assert!(host < FIRST_ENDPOINT);
        let mut settings = Settings::default();
        settings.vm.id = format!("vm-{host}");
        settings.published.callers = Some(self.pipes.address(host, 0));
        settings.listen.peers = self.pipes.address(host, 1);
        settings.published.readiness = self.pipes.address(host, 2);
        settings.published.metrics = self.pipes.address(host, 3);
        let origin = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let parts = RouterEnvironment {
            network: self.pipes.network(host),
            clock: Clock::starting_at(origin),
            seed: u64::from(number),
        };
        let ports = self.store.ports(&settings.vm.id);
        let router = PublishedRouter::start(settings, parts, ports, &Handle::current()).await.unwrap();
        self.routers.lock().unwrap().push((host, router));
        self.hosts.lock().unwrap().push(host);
    }

    /// Kills the VM that has run for the longest.
    pub(crate) fn kill_oldest(&self) {
        let (host, router) = self.routers.lock().unwrap().remove(0);
        self.hosts.lock().unwrap().retain(|other| *other != host);
        router.kill();
    }

    /// Asks a VM; an empty answer where it is gone.
    pub(crate) async fn ask(&self, host: Host, path: &str, more: &str, body: &str) -> String {
        let id = format!("r{}", self.asked.fetch_add(1, Ordering::Relaxed));
        let asked = async {
            let connected = self.pipes.network(CALLERS).connect(self.pipes.address(host, 0)).await;
            let Ok(mut connection) = connected else { return String::new() };
            let request = request("POST", path, &id, more, body);
            let Ok(()) = connection.write_all(request.as_bytes()).await else { return String::new() };
            read_all(&mut connection).await
        };
        timeout(PATIENCE, asked).await.unwrap_or_default()
    }

    /// A VM that lives, by a number that is drawn; none for a moment where all were killed.
    pub(crate) fn host(&self, drawn: u32) -> Option<Host> {
        let hosts = self.hosts.lock().unwrap();
        hosts.get(drawn as usize % hosts.len().max(1)).copied()
    }
}

pub(crate) fn is_whole(answer: &str) -> bool {
    let is_ended =
        if answer.contains("event-stream") { answer.ends_with("0\r\n\r\n") } else { answer.contains("fine") };
    status(answer) == "200" && is_ended
}

pub(crate) fn reason(answer: &str) -> String {
    let reason = answer.rsplit_once("{\"error\":\"").and_then(|(_, rest)| rest.split('"').next());
    format!("{} {}", status(answer), reason.unwrap_or("broken off"))
}

pub(crate) fn come_back_after(answer: &str) -> Duration {
    let told = answer.lines().find_map(|line| line.strip_prefix("retry-after: ")?.trim().parse().ok());
    told.map_or(Duration::from_millis(50), Duration::from_secs_f64).min(PATIENCE / 3)
}
