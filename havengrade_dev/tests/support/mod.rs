//! What the tests of a fleet share: a deployment in memory on a paused clock.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

pub(crate) mod frail_fleet;
pub(crate) mod one_router;
pub(crate) mod published;
pub(crate) mod store_fleet;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    config::{Account, ChangeFile, RequestClass},
    secret::digest,
};
use havengrade_dev::{
    caller::{Ask, Caller, Got},
    fabric::{Fabric, Host, Pipes},
    fleet::{Fleet, FleetOptions, router_host},
    scenario::{CRATES, EVENTS, key_of},
};
use havengrade_router::{net::BoxConnection, settings::Settings};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::sleep,
};

/// Host from which callers call.
const CALLERS: Host = 250;

/// A deployment in memory.
pub(crate) struct Bench {
    pub(crate) fleet: Fleet,
    pub(crate) pipes: Pipes,
}

impl Bench {
    pub(crate) async fn start(routers: u8) -> Self {
        Self::start_tuned(routers, |_| {}).await
    }

    pub(crate) async fn start_tuned(routers: u8, tune: fn(&mut Settings)) -> Self {
        let pipes = Pipes::default();
        let options = FleetOptions {
            fabric: Arc::new(pipes.clone()),
            routers,
            engines: 6,
            seed: 7,
            origin: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            tune,
        };
        Self { fleet: Fleet::start(options).await.unwrap(), pipes }
    }

    pub(crate) fn caller(&self, account: &str) -> Caller {
        Caller::new(self.pipes.network(CALLERS), account)
    }

    pub(crate) fn callers_port(&self, index: u8) -> SocketAddr {
        self.pipes.address(router_host(index), 0)
    }

    pub(crate) async fn ask(&self, account: &str, index: u8, ask: &Ask) -> Got {
        self.caller(account).ask(self.callers_port(index), ask).await.unwrap()
    }

    /// Sends raw bytes to a port of a router and reads until it closes the connection.
    pub(crate) async fn raw(&self, index: u8, port: u16, bytes: &[u8]) -> Vec<u8> {
        let mut connection = self.open(index, port).await;
        // A port that closes early on bad bytes is what some tests look for.
        let _ = connection.write_all(bytes).await;
        let _ = connection.shutdown().await;
        let mut answer = Vec::new();
        let _ = connection.read_to_end(&mut answer).await;
        answer
    }

    pub(crate) async fn open(&self, index: u8, port: u16) -> BoxConnection {
        let network = self.pipes.network(CALLERS);
        network.connect(self.pipes.address(router_host(index), port)).await.unwrap()
    }

    /// Runs of a plain service's endpoints with this idempotency key.
    pub(crate) fn runs(&self, key: &str) -> usize {
        let services = self.fleet.services.values();
        services.flat_map(|service| service.runs()).filter(|run| run.key == key).count()
    }

    /// Whether a router takes requests.
    pub(crate) fn is_open(&self, index: u8) -> bool {
        let vm = havengrade_dev::fleet::vm_name(index);
        let now = self.fleet.clock().now();
        self.fleet.routers[&vm].context().shared.not_serving_reason(now).is_none()
    }
}

pub(crate) fn check_in(key: &str) -> Ask {
    Ask {
        class: "check-in".into(),
        service: Some(EVENTS.into()),
        prompt: "ticket".into(),
        key: Some(key.into()),
        ..Ask::default()
    }
}

pub(crate) fn bin_tag(key: &str) -> Ask {
    Ask { class: "bin-tag".into(), service: Some(CRATES.into()), ..check_in(key) }
}

pub(crate) fn chat(class: &str, prompt: &str) -> Ask {
    Ask { class: class.into(), prompt: prompt.into(), ..Ask::default() }
}

/// Class whose chat requests may run only once, and the client account that may send them.
pub(crate) const ONCE: &str = "once";

/// A deployment in which the client account [`ONCE`] may send chat requests that may not be repeated.
pub(crate) async fn start_with_once() -> Bench {
    let bench = Bench::start(1).await;
    let class = RequestClass {
        id: ONCE.to_owned(),
        priority: 0,
        deadline_ms: 20_000,
        repeatable: false,
        durable: false,
        cascade: Some("quick".to_owned()),
        pins_sessions: false,
        session_s: 3600,
    };
    let account = Account {
        id: ONCE.to_owned(),
        key_sha256: hex::encode(digest(key_of(ONCE).as_bytes())),
        versions: vec!["swift@*".to_owned(), "sage@*".to_owned()],
        classes: vec![ONCE.to_owned()],
        max_concurrent: 200,
        requests_per_second: 1000,
        weight: 1,
    };
    let change = ChangeFile { class: vec![class], account: vec![account], ..ChangeFile::default() };
    bench.fleet.apply_at_once("once", &change);
    sleep(Duration::from_secs(2)).await;
    bench
}
