//! A small deployment on loopback: the stand-in of the store, endpoints that renew their entries, and routers that run
//! as processes of their own.

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use havengrade_dev::stand_in::start;
use havengrade_router::net::SystemNetwork;
use serde_json::Value;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    Fault,
    client::{Answer, exchange, head},
    endpoint::Endpoint,
    record::Record,
    store::StoreStandIn,
    wire,
};

/// Interval at which endpoints renew their entries.
const RENEWAL: Duration = Duration::from_millis(1200);
/// Longest time until a router is ready.
const MAX_START: Duration = Duration::from_secs(20);

/// A router that runs as a process; dropping it ends the process.
pub(crate) struct Router {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Router {
    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: &str) -> Result<(), Fault> {
        let sent = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status()?;
        if sent.success() { Ok(()) } else { Err(format!("no signal {signal} to {}", self.name).into()) }
    }

    /// Ends the process without a planned stop and starts it again with the same settings.
    pub(crate) fn restart(&mut self) -> Result<(), Fault> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = launch(&self.settings, &self.log)?;
        Ok(())
    }

    /// Number of lines of its log that contain these texts.
    pub(crate) fn count_lines(&self, texts: &[&str]) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| texts.iter().all(|text| line.contains(text))).count()
    }

    /// Whether it says that it accepts callers.
    pub(crate) async fn is_ready(&self) -> bool {
        let request = head("GET", "/readiness", "check", Duration::from_secs(1), "Connection: close\r\n");
        exchange(self.readiness, request.as_bytes(), Duration::from_secs(1)).await.status == 200
    }

    /// Waits until it is ready.
    pub(crate) async fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready().await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended already, which is what is wanted.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn launch(settings: &PathBuf, log: &PathBuf) -> Result<Child, Fault> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    let errors = log.try_clone()?;
    // The command of the deploy file, which starts at the root of the repository.
    let mut command = Command::new("target/release/havengrade-published");
    command.env_clear().env("HAVENGRADE_CONFIG", settings).stdin(Stdio::null()).stdout(log).stderr(errors);
    if let Some(path) = env::var_os("PATH") {
        command.env("PATH", path);
    }
    Ok(command.spawn()?)
}

/// A directory for settings and logs that is removed at the end of the case.
struct Temporary(PathBuf);

impl Drop for Temporary {
    fn drop(&mut self) {
        // What is left behind does no harm.
        drop(fs::remove_dir_all(&self.0));
    }
}

/// The whole deployment.
pub(crate) struct World {
    pub(crate) store: Arc<StoreStandIn>,
    pub(crate) endpoints: Vec<Arc<Endpoint>>,
    pub(crate) routers: Vec<Router>,
    pub(crate) record: Record,
    store_address: SocketAddr,
    /// States of the endpoints, as they write them.
    states: Arc<Mutex<Vec<Option<&'static str>>>>,
    sequence: Arc<AtomicU64>,
    requests: AtomicU64,
    tasks: Vec<AbortOnDropHandle<()>>,
    directory: Temporary,
}

/// The loopback address of this run; others use none of its ports.
pub(crate) fn host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low.max(1))
}

/// A port of the loopback address that nothing else of the run uses. Those that the system chooses by itself are higher.
fn next_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(21000);
    (host(), NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

impl World {
    /// Starts the store with a configuration, and endpoints that renew their entries.
    pub(crate) async fn start(
        services: &[(&'static str, u32)],
        config: &Value,
        record: &Record,
    ) -> Result<Self, Fault> {
        let store = Arc::new(StoreStandIn::default());
        let store_address = next_port();
        let server = start(Arc::new(SystemNetwork), store_address, store.clone()).await?;
        store.put(wire::name("operators_topic"), wire::name("config_key"), Some(&config.to_string()));
        let directory = env::temp_dir().join(format!("havengrade-review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let mut world = Self {
            store,
            endpoints: Vec::new(),
            routers: Vec::new(),
            record: record.clone(),
            store_address,
            states: Arc::default(),
            sequence: Arc::default(),
            requests: AtomicU64::new(0),
            tasks: vec![server],
            directory: Temporary(directory),
        };
        for (index, (service, slots)) in services.iter().enumerate() {
            let endpoint = Arc::new(Endpoint::start(&format!("e-{index}"), service, *slots, record).await?);
            world.endpoints.push(endpoint);
            world.states.lock().unwrap_or_else(PoisonError::into_inner).push(Some("ready"));
            world.write_entry(index);
        }
        let (listed, states) = (world.endpoints.clone(), world.states.clone());
        let (store, sequence) = (world.store.clone(), world.sequence.clone());
        world.tasks.push(AbortOnDropHandle::new(tokio::spawn(async move {
            loop {
                sleep(RENEWAL).await;
                for (index, endpoint) in listed.iter().enumerate() {
                    let state = states.lock().unwrap_or_else(PoisonError::into_inner)[index];
                    write(&store, endpoint, state, &sequence);
                }
            }
        })));
        Ok(world)
    }

    fn write_entry(&self, index: usize) {
        let state = self.states.lock().unwrap_or_else(PoisonError::into_inner)[index];
        write(&self.store, &self.endpoints[index], state, &self.sequence);
    }

    /// Changes the state that an endpoint writes; returns the time at which the store took it.
    pub(crate) fn set_state(&self, index: usize, state: &'static str) -> Duration {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)[index] = Some(state);
        self.write_entry(index);
        let at = self.record.elapsed();
        self.record.note(&format!("the store takes the state {state} of {}", self.endpoints[index].id));
        at
    }

    /// Starts routers and waits until they are ready and know each other.
    pub(crate) async fn start_routers(&mut self, count: usize) -> Result<(), Fault> {
        for index in 0..count {
            let name = format!("vm-{index}");
            let [operators, peers, callers, readiness, metrics] = std::array::from_fn(|_| next_port());
            let settings = format!(
                "[vm]\nid = \"{name}\"\nfailure_domain = \"d{}\"\ntraffic_threads = 1\n\n\
                 [listen]\noperators = \"{operators}\"\npeers = \"{peers}\"\n\n\
                 [limits]\nmax_body_bytes = 4194304\n\n\
                 [published]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\nmetrics = \"{metrics}\"\n\
                 store = \"{}\"\nendpoint_renewal_ms = 1200\nis_first_start = true\nwithdrawal_ms = 5000\n\
                 max_trial_share = 0.15\nwithdrawal = \"when-learned\"\nretry_ratio = 0.9\nsession_s = 5\ngrace_s = 8\n\n\
                 [logging]\nlevel = \"info\"\n",
                index % 2,
                self.store_address,
            );
            let path = self.directory.0.join(format!("{name}.toml"));
            fs::write(&path, settings)?;
            let log = self.directory.0.join(format!("{name}.log"));
            let child = launch(&path, &log)?;
            self.routers.push(Router { name, callers, readiness, settings: path, log, child });
        }
        for router in &self.routers {
            if !router.wait_ready(MAX_START).await {
                self.keep_logs();
                return Err(format!("{} is not ready", router.name).into());
            }
        }
        // In touch: the time in the bounds of the deployment, and some more.
        sleep(Duration::from_millis(4000)).await;
        self.record.note(&format!("{count} routers are ready"));
        Ok(())
    }

    /// A new id of a request.
    pub(crate) fn next_id(&self) -> String {
        format!("r-{}", self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a request without a body on a channel of its own and returns the answer.
    pub(crate) fn ask(&self, router: usize, path: &str) -> impl Future<Output = Answer> + use<> {
        let (id, record) = (self.next_id(), self.record.clone());
        let (callers, name) = (self.routers[router].callers, self.routers[router].name.clone());
        let request = head("GET", path, &id, Duration::from_millis(2500), "Connection: close\r\n");
        async move {
            record.line(&format!("{id} sent to {name}"));
            let answer = exchange(callers, request.as_bytes(), Duration::from_millis(2500)).await;
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record.line(&format!("{id} answered by {name}: {} {body}", answer.status));
            answer
        }
    }

    /// Copies the logs of the routers, for a look at a failed case.
    pub(crate) fn keep_logs(&self) {
        if let Some(to) = env::var_os("KEEP_LOGS") {
            for router in &self.routers {
                drop(fs::copy(&router.log, PathBuf::from(&to).join(format!("{}.log", router.name))));
            }
        }
    }
}

fn write(store: &StoreStandIn, endpoint: &Endpoint, state: Option<&str>, sequence: &AtomicU64) {
    if let Some(state) = state {
        let entry = endpoint.entry(state, sequence.fetch_add(1, Ordering::Relaxed));
        store.put(wire::name("endpoints_topic"), &endpoint.id, Some(&entry.to_string()));
    }
}
