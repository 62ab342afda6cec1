//! What the services and the traffic of published routes share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use havengrade_core::{
    ids::{Incarnation, ServiceId},
    published::{
        directory::ListedEndpoint,
        emptied_domains::EmptiedDomains,
        peers::{Peer, Peers},
        rollout::{RolloutBounds, Rollouts},
        route::RouteTable,
        send_limits::SendLimits,
        sent_prefixes::SentPrefixes,
        startup::StoreReadReports,
        state_transfer::TransferLimiter,
    },
    quarantine::Quarantine,
};
use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use tokio::sync::Notify;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::Clock,
    endpoints::{EndpointTable, from_millis, to_millis},
    kernel::ServiceContext,
    net::Network,
    published::{
        connection_pool::ConnectionPool,
        part_cache::PartCache,
        ports::{Dialect, QuarantineList},
        retry_budgets::RetryBudgets,
        state_fetch::PendingFetch,
        store_access::StoreAccess,
    },
    settings::{PublishedSettings, Settings},
    shared::lock,
};

/// Endpoints by the service that they belong to.
pub type EndpointsByService = HashMap<ServiceId, Vec<ListedEndpoint>>;

/// State of a router of published routes.
pub struct PublishedState {
    /// Settings that the router was started with.
    pub settings: Settings,
    /// Settings of published routes in force.
    published_settings: ArcSwap<PublishedSettings>,
    /// Run of this process.
    pub incarnation: Incarnation,
    /// When this process started.
    started: SystemTime,
    /// The clock.
    pub clock: Clock,
    /// How requests and answers are written.
    pub dialect: Box<dyn Dialect>,
    /// Configuration in force.
    pub routes: ArcSwap<RouteTable>,
    /// Endpoints that may receive new work.
    pub usable_endpoints: ArcSwap<EndpointsByService>,
    /// Failure domains whose endpoints are to get nothing.
    pub emptied_domains: ArcSwap<EmptiedDomains>,
    /// How this VM stands to the store.
    pub store: StoreAccess,
    /// What is known of each endpoint's state.
    pub endpoint_states: EndpointTable,
    /// Connections to endpoints.
    pub connection_pool: ConnectionPool,
    /// Whether what is in force was taken from another VM at least once.
    pub(super) has_received_state: AtomicBool,
    /// Whether what is in force is being taken from another VM.
    pub(super) is_receiving_state: AtomicBool,
    /// What was told meanwhile.
    pub(super) pending_fetch: Mutex<PendingFetch>,
    /// What is handed on to other VMs.
    pub(super) part_cache: Mutex<PartCache>,
    /// To whom it is handed on.
    pub(super) transfer_limiter: Mutex<TransferLimiter>,
    /// Tells those who wait that another VM became known.
    peer_known: Notify,
    /// Requests in progress.
    pub in_progress: AtomicUsize,
    config_confirmed_ms: AtomicU64,
    knows_endpoints: AtomicBool,
    /// Tells those who wait that the configuration or the endpoints became known.
    learned: Notify,
    /// When a planned stop began, in milliseconds since the Unix epoch; 0 for not yet.
    drain_since_ms: AtomicU64,
    rollouts: Mutex<Rollouts>,
    peers: Mutex<Peers>,
    store_reads: Mutex<StoreReadReports>,
    /// The retries that this VM may still make.
    pub retry_budgets: RetryBudgets,
    quarantine: Mutex<Quarantine>,
    /// Tells the keeper of the quarantine that it changed.
    quarantine_changed: Notify,
    /// When an endpoint last answered this VM, in milliseconds since the Unix epoch; 0 for never.
    last_answer_ms: AtomicU64,
    sent_prefixes: Mutex<SentPrefixes>,
    send_limits: Mutex<SendLimits>,
    rng: Mutex<ChaCha8Rng>,
}

impl PublishedState {
    /// The state of a router that has just started.
    pub fn new(
        settings: Settings,
        clock: Clock,
        dialect: Box<dyn Dialect>,
        network: Arc<dyn Network>,
        seed: u64,
    ) -> Self {
        let connect_timeout = Duration::from_millis(settings.endpoints.connect_timeout_ms);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            // The sign is given up so that ids pass through the schema's signed integers.
            incarnation: rng.next_u64() >> 1,
            started: clock.now(),
            clock,
            dialect,
            routes: ArcSwap::default(),
            usable_endpoints: ArcSwap::default(),
            emptied_domains: ArcSwap::default(),
            store: StoreAccess::default(),
            endpoint_states: EndpointTable::default(),
            connection_pool: ConnectionPool::new(network, connect_timeout),
            has_received_state: AtomicBool::new(false),
            is_receiving_state: AtomicBool::new(false),
            pending_fetch: Mutex::default(),
            part_cache: Mutex::default(),
            transfer_limiter: Mutex::default(),
            peer_known: Notify::new(),
            in_progress: AtomicUsize::new(0),
            config_confirmed_ms: AtomicU64::new(0),
            knows_endpoints: AtomicBool::new(false),
            learned: Notify::new(),
            drain_since_ms: AtomicU64::new(0),
            rollouts: Mutex::default(),
            peers: Mutex::default(),
            store_reads: Mutex::default(),
            retry_budgets: RetryBudgets::new(settings.published.retry_ratio),
            quarantine: Mutex::default(),
            quarantine_changed: Notify::new(),
            last_answer_ms: AtomicU64::new(0),
            sent_prefixes: Mutex::default(),
            send_limits: Mutex::default(),
            rng: Mutex::new(rng),
            published_settings: ArcSwap::from_pointee(settings.published.clone()),
            settings,
        }
    }

    /// Settings of published routes in force; addresses are those of the start.
    pub fn published_settings(&self) -> Arc<PublishedSettings> {
        self.published_settings.load_full()
    }

    /// Puts settings of published routes in force.
    pub fn apply_settings(&self, settings: PublishedSettings) {
        self.retry_budgets.set_ratio(settings.retry_ratio);
        self.published_settings.store(Arc::new(settings));
    }

    /// Notes that nothing newer than the configuration in force existed at `at`.
    pub fn confirm_config(&self, at: SystemTime) {
        self.config_confirmed_ms.fetch_max(to_millis(at), Ordering::AcqRel);
    }

    /// When nothing newer than the configuration in force existed, as far as is known.
    pub fn config_confirmed_at(&self) -> Option<SystemTime> {
        from_millis(self.config_confirmed_ms.load(Ordering::Acquire))
    }

    /// Whether a request with a key may be sent to an endpoint now.
    pub fn may_use_key(&self, now: SystemTime) -> bool {
        let settings = self.published_settings.load();
        settings.withdrawal.may_use_key(self.config_confirmed_at(), Duration::from_millis(settings.withdrawal_ms), now)
    }

    /// Age of the configuration in force: time since nothing newer existed for sure.
    pub fn config_age(&self, now: SystemTime) -> Option<Duration> {
        self.config_confirmed_at().map(|at| now.duration_since(at).unwrap_or_default())
    }

    /// Time since this process started.
    pub fn uptime(&self, now: SystemTime) -> Duration {
        now.duration_since(self.started).unwrap_or_default()
    }

    /// Notes that the endpoints have been listed once.
    pub fn set_endpoints_known(&self) {
        if !self.knows_endpoints.swap(true, Ordering::AcqRel) {
            self.notify_state_learned();
        }
    }

    /// Tells those who wait for it that something became known.
    pub fn notify_state_learned(&self) {
        self.learned.notify_waiters();
    }

    /// Puts a configuration in force.
    pub fn set_routes(&self, routes: RouteTable) {
        self.routes.store(Arc::new(routes));
        self.notify_state_learned();
    }

    /// Whether this VM knows where requests go: a configuration and the endpoints.
    pub fn knows_routes(&self) -> bool {
        self.routes.load().version() > 0 && self.knows_endpoints()
    }

    /// Whether the endpoints have been listed once.
    pub fn knows_endpoints(&self) -> bool {
        self.knows_endpoints.load(Ordering::Acquire)
    }

    /// Whether this VM knows what operators wrote, if they wrote anything, and the endpoints.
    pub fn knows_state(&self) -> bool {
        self.knows_endpoints() && self.store.view().operators_position.is_some()
    }

    /// Waits until this VM knows what operators wrote and the endpoints.
    pub async fn wait_for_state(&self) {
        loop {
            let learned = self.learned.notified();
            if self.knows_state() {
                return;
            }
            learned.await;
        }
    }

    /// Waits until another VM is known.
    pub async fn wait_for_peer(&self) {
        loop {
            let peer_known = self.peer_known.notified();
            if !self.peers().is_empty() {
                return;
            }
            peer_known.await;
        }
    }

    /// Tells those who wait for it that another VM is known.
    pub fn notify_peer_known(&self) {
        self.peer_known.notify_waiters();
    }

    /// Waits until this VM knows where requests go, and how roll-outs of before its start stand.
    pub async fn wait_for_routes_and_rollouts(&self) {
        loop {
            let learned = self.learned.notified();
            if self.knows_routes() && !self.rollouts().needs_statuses() {
                return;
            }
            learned.await;
        }
    }

    /// Begins a planned stop; later calls have no effect.
    pub fn start_drain(&self, now: SystemTime) {
        let begun = self.drain_since_ms.compare_exchange(0, to_millis(now), Ordering::AcqRel, Ordering::Acquire);
        if begun.is_ok() {
            log::info!(vm = self.settings.vm.id.as_str(); "planned stop begins");
        }
    }

    /// When a planned stop began, if one did.
    pub fn drain_since(&self) -> Option<SystemTime> {
        from_millis(self.drain_since_ms.load(Ordering::Acquire))
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.drain_since().is_some()
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self, now: SystemTime) -> bool {
        let needs_keys = self.routes.load().needs_keys();
        self.knows_routes() && !self.is_draining() && (!needs_keys || self.may_use_key(now))
    }

    /// The roll-outs, locked for a moment.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        lock(&self.rollouts)
    }

    /// What is known of requests that crash endpoints, locked for a moment.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Tells the keeper of the quarantine that it changed.
    pub fn notify_quarantine_changed(&self) {
        self.quarantine_changed.notify_one();
    }

    /// Waits until the quarantine has changed.
    pub async fn wait_for_quarantine_change(&self) {
        self.quarantine_changed.notified().await;
    }

    /// Notes that an endpoint answered this VM.
    pub fn record_answer_time(&self, now: SystemTime) {
        self.last_answer_ms.fetch_max(to_millis(now), Ordering::AcqRel);
    }

    /// Whether an endpoint answered this VM lately.
    pub fn has_answer_within(&self, time: Duration, now: SystemTime) -> bool {
        from_millis(self.last_answer_ms.load(Ordering::Acquire)).is_some_and(|at| now < at + time)
    }

    /// The other VMs, locked for a moment.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// What others told this VM at its start of who reads the store, locked for a moment.
    pub fn store_reads(&self) -> MutexGuard<'_, StoreReadReports> {
        lock(&self.store_reads)
    }

    /// When this VM or another one surely was reading the store for those that start, if any was.
    pub fn last_store_read_at(&self, now: SystemTime) -> Option<SystemTime> {
        if self.store.is_reading_initial_state(now) { Some(now) } else { self.store_reads().last_read() }
    }

    /// The operators' bounds on roll-outs.
    pub fn rollout_bounds(&self) -> RolloutBounds {
        let settings = self.published_settings.load();
        RolloutBounds {
            max_share: settings.max_trial_share,
            session_idle_timeout: Duration::from_secs_f64(settings.session_s),
        }
    }

    /// The parts of prompts that were sent to endpoints, locked for a moment.
    pub fn sent_prefixes(&self) -> MutexGuard<'_, SentPrefixes> {
        lock(&self.sent_prefixes)
    }

    /// What holds back requests to endpoints, locked for a moment.
    pub fn send_limits(&self) -> MutexGuard<'_, SendLimits> {
        lock(&self.send_limits)
    }

    /// The random numbers, locked for a moment.
    pub fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        lock(&self.rng)
    }
}

/// What every service of published routes is given.
#[derive(Clone)]
pub struct PublishedContext {
    /// State shared with traffic.
    pub shared: Arc<PublishedState>,
    /// The network.
    pub network: Arc<dyn Network>,
    /// The kept list of requests that are held back.
    pub quarantine_list: Arc<dyn QuarantineList>,
    /// Ends the tasks of traffic.
    pub forced_shutdown: CancellationToken,
    /// Makes callers' connections end with the answer that they are at.
    pub graceful_shutdown: CancellationToken,
    /// Callers' connections and whatever else a planned stop waits for.
    pub tracked_tasks: TaskTracker,
    /// Whether VMs take what operators wrote from each other.
    pub uses_state_transfer: bool,
    /// Number of the router within the process, since the registry of actors is the process's.
    pub router_number: u64,
}

impl PublishedContext {
    /// This VM, as others know it.
    pub fn own_peer(&self) -> Peer {
        let settings = &self.shared.settings;
        Peer {
            vm: settings.vm.id.clone(),
            incarnation: self.shared.incarnation,
            address: settings.listen.peers,
            failure_domain: settings.vm.failure_domain.clone(),
        }
    }
}

impl ServiceContext for PublishedContext {
    fn actor_name(&self, service: &str) -> String {
        format!("{}/{}/{service}", self.shared.settings.vm.id, self.router_number)
    }
}
