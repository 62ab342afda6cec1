//! State that the services and the traffic of published routes share.

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
        admission::AdmissionControl,
        congestion::CongestionTracker,
        directory::ListedEndpoint,
        emptied_domains::EmptiedDomains,
        endpoint_memory::OutputLengths,
        endpoint_speed::EndpointSpeeds,
        peers::{Peer, Peers},
        read_rate::ReadRates,
        rollout::{RolloutBounds, Rollouts},
        route::RouteTable,
        send_limits::SendLimits,
        sent_prefixes::SentPrefixes,
        startup::StoreReadReports,
        state_transfer::TransferLimiter,
        unloaded_read_rate::UnloadedReadRates,
    },
    quarantine::Quarantine,
};
use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use tokio::{runtime::Handle, sync::Notify};
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
        reach_monitor::ReachMonitor,
        request_body::RequestBodies,
        request_relay::RequestRelay,
        retry_budgets::RetryBudgets,
        silence_monitor::SilenceMonitor,
        state_fetch::PendingFetch,
        store_access::StoreAccess,
        stream_buffer::StreamBuffers,
    },
    settings::{PublishedSettings, Settings},
    shared::lock,
    supervision::ServiceHealth,
};

/// Longest time for a connect to an endpoint: by then it has been tried for a hundred times as long as it takes, and
/// another endpoint may be reached.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(300);

/// Time for which an answer tells that other VMs follow the store.
const FRESH_ANSWER_LIFETIME: Duration = Duration::from_secs(2);
/// Age of this VM's view of the store from which it is not ready while other VMs follow the store.
const MAX_LAG_BEHIND_OTHERS: Duration = Duration::from_secs(5);

/// Endpoints by service.
pub type EndpointsByService = HashMap<ServiceId, Vec<ListedEndpoint>>;

/// Shared state of a router of published routes.
pub struct PublishedState {
    /// Settings at the start of the router.
    pub settings: Settings,
    /// Active settings of published routes.
    published_settings: ArcSwap<PublishedSettings>,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// When this process started.
    started_at: SystemTime,
    /// Clock of the router.
    pub clock: Clock,
    /// Services and tasks that have ended by themselves.
    pub health: ServiceHealth,
    /// Reads and writes the headers of requests and answers.
    pub dialect: Box<dyn Dialect>,
    /// Active configuration.
    pub routes: ArcSwap<RouteTable>,
    /// Endpoints that may receive new requests.
    pub usable_endpoints: ArcSwap<EndpointsByService>,
    /// Failure domains whose endpoints receive no requests.
    pub emptied_domains: ArcSwap<EmptiedDomains>,
    /// Whether this VM reads the store, and the positions that it has reached.
    pub store: StoreAccess,
    /// Load, failures and availability of each endpoint.
    pub endpoint_states: EndpointTable,
    /// Bodies of requests in progress.
    pub request_bodies: RequestBodies,
    /// Bytes of streams that wait for callers.
    pub stream_buffers: Arc<StreamBuffers>,
    /// Persistent connections to endpoints.
    pub connection_pool: ConnectionPool,
    /// Whether this VM reaches endpoints.
    pub reach: ReachMonitor,
    /// Which endpoints are awaited, and when those of each service were last heard.
    pub silences: SilenceMonitor,
    /// Relays requests to other VMs while this one reaches no endpoint.
    pub request_relay: RequestRelay,
    /// Whether another VM has transferred the active state to this VM at least once.
    pub(super) has_received_state: AtomicBool,
    /// Whether a transfer of the active state from another VM is in progress.
    pub(super) is_receiving_state: AtomicBool,
    /// Fetch that was requested during the transfer in progress.
    pub(super) pending_fetch: Mutex<PendingFetch>,
    /// Encoded parts of the active state for transfers to other VMs.
    pub(super) part_cache: Mutex<PartCache>,
    /// Limits the transfers to other VMs.
    pub(super) transfer_limiter: Mutex<TransferLimiter>,
    /// Notifies waiting tasks that another VM became known.
    peer_known: Notify,
    /// Number of requests in progress.
    pub in_progress: AtomicUsize,
    knows_endpoints: AtomicBool,
    /// Notifies waiting tasks that the configuration or the endpoints became known.
    state_learned: Notify,
    /// When the graceful shutdown began, in milliseconds since the Unix epoch; 0 before.
    drain_since_ms: AtomicU64,
    rollouts: Mutex<Rollouts>,
    peers: Mutex<Peers>,
    store_reads: Mutex<StoreReadReports>,
    /// Retries that this VM may still send, by service.
    pub retry_budgets: RetryBudgets,
    quarantine: Mutex<Quarantine>,
    /// Notifies the task that synchronizes the quarantine list.
    quarantine_changed: Notify,
    /// Number of the last report to other VMs. It is kept here so that it goes on if the service of reports is started
    /// again, since other VMs ignore reports with lower numbers.
    report_seq: AtomicU64,
    /// When another VM last told that its view of the store is recent, in milliseconds since the Unix epoch.
    fresh_answer_ms: AtomicU64,
    /// When an endpoint last answered this VM, in milliseconds since the Unix epoch; 0 for never.
    last_answer_ms: AtomicU64,
    sent_prefixes: Mutex<SentPrefixes>,
    read_rates: Mutex<ReadRates>,
    unloaded_read_rates: Mutex<UnloadedReadRates>,
    admission: Mutex<AdmissionControl>,
    congestion: Mutex<CongestionTracker>,
    endpoint_speeds: Mutex<EndpointSpeeds>,
    output_lengths: Mutex<OutputLengths>,
    send_limits: Mutex<SendLimits>,
    rng: Mutex<ChaCha8Rng>,
}

impl PublishedState {
    /// Creates the state of a router that has just started.
    pub fn new(
        settings: Settings,
        clock: Clock,
        dialect: Box<dyn Dialect>,
        network: Arc<dyn Network>,
        seed: u64,
    ) -> Self {
        let connect_timeout = Duration::from_millis(settings.endpoints.connect_timeout_ms).min(MAX_CONNECT_TIME);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            // 63 bits fit into the signed integers of the schema.
            incarnation: rng.next_u64() >> 1,
            started_at: clock.now(),
            clock,
            health: ServiceHealth::default(),
            dialect,
            routes: ArcSwap::default(),
            usable_endpoints: ArcSwap::default(),
            emptied_domains: ArcSwap::default(),
            store: StoreAccess::default(),
            endpoint_states: EndpointTable::default(),
            request_bodies: RequestBodies::default(),
            stream_buffers: Arc::default(),
            connection_pool: ConnectionPool::new(network.clone(), connect_timeout),
            reach: ReachMonitor::new(seed),
            silences: SilenceMonitor::default(),
            request_relay: RequestRelay::new(network),
            has_received_state: AtomicBool::new(false),
            is_receiving_state: AtomicBool::new(false),
            pending_fetch: Mutex::default(),
            part_cache: Mutex::default(),
            transfer_limiter: Mutex::default(),
            peer_known: Notify::new(),
            in_progress: AtomicUsize::new(0),
            knows_endpoints: AtomicBool::new(false),
            state_learned: Notify::new(),
            drain_since_ms: AtomicU64::new(0),
            rollouts: Mutex::default(),
            peers: Mutex::default(),
            store_reads: Mutex::default(),
            retry_budgets: RetryBudgets::new(settings.published.retry_ratio),
            quarantine: Mutex::default(),
            quarantine_changed: Notify::new(),
            report_seq: AtomicU64::new(0),
            fresh_answer_ms: AtomicU64::new(0),
            last_answer_ms: AtomicU64::new(0),
            sent_prefixes: Mutex::default(),
            read_rates: Mutex::default(),
            unloaded_read_rates: Mutex::default(),
            admission: Mutex::default(),
            congestion: Mutex::default(),
            endpoint_speeds: Mutex::default(),
            output_lengths: Mutex::default(),
            send_limits: Mutex::default(),
            rng: Mutex::new(rng),
            published_settings: ArcSwap::from_pointee(settings.published.clone()),
            settings,
        }
    }

    /// Active settings of published routes; addresses stay those of the start.
    pub fn published_settings(&self) -> Arc<PublishedSettings> {
        self.published_settings.load_full()
    }

    /// Activates new settings of published routes.
    pub fn apply_settings(&self, settings: PublishedSettings) {
        self.retry_budgets.set_ratio(settings.retry_ratio);
        self.published_settings.store(Arc::new(settings));
    }

    /// Records that the active configuration was the newest at `at`.
    pub fn confirm_config(&self, at: SystemTime) {
        self.routes.load().confirm(at);
    }

    /// The last time at which the active configuration was known to be the newest.
    pub fn config_confirmed_at(&self) -> Option<SystemTime> {
        self.routes.load().confirmed_at()
    }

    /// Whether requests with a key of the active configuration may be sent to endpoints, given its age.
    pub fn may_use_key(&self, now: SystemTime) -> bool {
        self.may_use_key_of(&self.routes.load(), now)
    }

    /// Whether requests with a key that was looked up in a configuration may be sent to endpoints, given its age.
    pub fn may_use_key_of(&self, routes: &RouteTable, now: SystemTime) -> bool {
        let settings = self.published_settings.load();
        settings.withdrawal.may_use_key(routes.confirmed_at(), Duration::from_millis(settings.withdrawal_ms), now)
    }

    /// Age of the active configuration: time since it was last known to be the newest.
    pub fn config_age(&self, now: SystemTime) -> Option<Duration> {
        self.routes.load().age(now)
    }

    /// Age of the view of operators' events: time since it was last known to be up to date.
    pub fn operators_age(&self, now: SystemTime) -> Duration {
        self.store.view().operators_age(now)
    }

    /// Age of the endpoint list: time since it was last known to be up to date.
    pub fn endpoint_list_age(&self, now: SystemTime) -> Duration {
        now.duration_since(self.store.view().endpoints_confirmed_at).unwrap_or_default()
    }

    /// Time since this process started.
    pub fn uptime(&self, now: SystemTime) -> Duration {
        now.duration_since(self.started_at).unwrap_or_default()
    }

    /// Records that the list of endpoints has been read once.
    pub fn set_endpoints_known(&self) {
        if !self.knows_endpoints.swap(true, Ordering::AcqRel) {
            self.notify_state_learned();
        }
    }

    /// Notifies the tasks that wait for the configuration, the endpoints or the states of roll-outs.
    pub fn notify_state_learned(&self) {
        self.state_learned.notify_waiters();
    }

    /// Activates a configuration that was the newest at `at`.
    pub fn set_routes(&self, routes: RouteTable, at: SystemTime) {
        routes.confirm(at);
        // When the active configuration was last known to be the newest, this one did not exist yet or was it as well.
        if let Some(at) = self.config_confirmed_at() {
            routes.confirm(at);
        }
        self.routes.store(Arc::new(routes));
        self.notify_state_learned();
    }

    /// Whether this VM can route requests: it has a configuration and the endpoints.
    pub fn knows_routes(&self) -> bool {
        self.routes.load().version() > 0 && self.knows_endpoints()
    }

    /// Whether the list of endpoints has been read once.
    pub fn knows_endpoints(&self) -> bool {
        self.knows_endpoints.load(Ordering::Acquire)
    }

    /// Whether this VM has read the operators' records, of which there may be none, and the endpoints.
    pub fn knows_state(&self) -> bool {
        self.knows_endpoints() && self.store.view().operators_position.is_some()
    }

    /// Waits until this VM has read the operators' records and the endpoints.
    pub async fn wait_for_state(&self) {
        loop {
            let learned = self.state_learned.notified();
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

    /// Notifies the tasks that wait for another VM.
    pub fn notify_peer_known(&self) {
        self.peer_known.notify_waiters();
    }

    /// Waits until this VM can route requests and knows the states of roll-outs that began before its start.
    pub async fn wait_for_routes_and_rollouts(&self) {
        loop {
            let learned = self.state_learned.notified();
            if self.knows_routes() && !self.rollouts().needs_statuses() {
                return;
            }
            learned.await;
        }
    }

    /// Begins a graceful shutdown; later calls have no effect.
    pub fn start_drain(&self, now: SystemTime) {
        let begun = self.drain_since_ms.compare_exchange(0, to_millis(now), Ordering::AcqRel, Ordering::Acquire);
        if begun.is_ok() {
            log::info!(vm = self.settings.vm.id.as_str(); "planned stop begins");
        }
    }

    /// When the graceful shutdown began.
    pub fn drain_since(&self) -> Option<SystemTime> {
        from_millis(self.drain_since_ms.load(Ordering::Acquire))
    }

    /// Whether the graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.drain_since().is_some()
    }

    /// Whether this VM reports to the load balancer that it accepts new connections.
    pub fn is_ready(&self, now: SystemTime) -> bool {
        let may_serve = self.knows_routes() && !self.is_draining() && !self.is_left_behind(now);
        let routes = self.routes.load();
        may_serve && (!routes.needs_keys() || self.may_use_key_of(&routes, now))
    }

    /// Number of the next report to other VMs.
    pub(super) fn next_report_seq(&self) -> u64 {
        self.report_seq.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Records that another VM has told that its view of the store is recent.
    pub(super) fn record_fresh_answer(&self, now: SystemTime) {
        self.fresh_answer_ms.fetch_max(to_millis(now), Ordering::AcqRel);
    }

    /// Whether this VM does not follow the store although others do, so that they serve callers better.
    ///
    /// If no VM follows the store, all go on with what they know.
    fn is_left_behind(&self, now: SystemTime) -> bool {
        let fresh_answer = from_millis(self.fresh_answer_ms.load(Ordering::Acquire));
        let do_others_follow = fresh_answer.is_some_and(|at| now < at + FRESH_ANSWER_LIFETIME);
        let age = self.operators_age(now).max(self.endpoint_list_age(now));
        do_others_follow && age >= MAX_LAG_BEHIND_OTHERS
    }

    /// Locks the roll-outs; hold the guard only briefly.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        lock(&self.rollouts)
    }

    /// Locks the quarantine of requests that crash endpoints; hold the guard only briefly.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Wakes the task that synchronizes the quarantine list.
    pub fn notify_quarantine_changed(&self) {
        self.quarantine_changed.notify_one();
    }

    /// Waits until the quarantine changes.
    pub async fn wait_for_quarantine_change(&self) {
        self.quarantine_changed.notified().await;
    }

    /// Records that an endpoint answered this VM.
    pub fn record_answer_time(&self, now: SystemTime) {
        self.last_answer_ms.fetch_max(to_millis(now), Ordering::AcqRel);
    }

    /// Time since an endpoint last answered this VM; none if none has.
    pub fn since_endpoint_answer(&self, now: SystemTime) -> Option<Duration> {
        let answered_at = from_millis(self.last_answer_ms.load(Ordering::Acquire));
        answered_at.map(|at| now.duration_since(at).unwrap_or_default())
    }

    /// Whether an endpoint answered this VM within `time` before `now`.
    pub fn has_answer_within(&self, time: Duration, now: SystemTime) -> bool {
        from_millis(self.last_answer_ms.load(Ordering::Acquire)).is_some_and(|at| now < at + time)
    }

    /// Locks the other VMs; hold the guard only briefly.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Locks the reports of other VMs, received at the start, on who reads the store; hold the guard only briefly.
    pub fn store_reads(&self) -> MutexGuard<'_, StoreReadReports> {
        lock(&self.store_reads)
    }

    /// The last time at which this VM or another one is known to have read the store for VMs that start.
    pub fn last_store_read_at(&self, now: SystemTime) -> Option<SystemTime> {
        if self.store.is_reading_initial_state(now) { Some(now) } else { self.store_reads().last_read() }
    }

    /// Bounds on roll-outs from the operators' settings.
    pub fn rollout_bounds(&self) -> RolloutBounds {
        let settings = self.published_settings.load();
        RolloutBounds {
            max_share: settings.max_trial_share,
            session_idle_timeout: Duration::from_secs_f64(settings.session_s),
        }
    }

    /// Locks the prompt prefixes that were sent to endpoints; hold the guard only briefly.
    pub fn sent_prefixes(&self) -> MutexGuard<'_, SentPrefixes> {
        lock(&self.sent_prefixes)
    }

    /// Locks the rates at which endpoints read prompts; hold the guard only briefly.
    pub fn read_rates(&self) -> MutexGuard<'_, ReadRates> {
        lock(&self.read_rates)
    }

    /// Locks the rates at which endpoints read prompts while no other work delays them; hold the guard only briefly.
    pub fn unloaded_read_rates(&self) -> MutexGuard<'_, UnloadedReadRates> {
        lock(&self.unloaded_read_rates)
    }

    /// Locks the admission of generations; hold the guard only briefly.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionControl> {
        lock(&self.admission)
    }

    /// Locks the measured congestion of services; hold the guard only briefly.
    pub fn congestion(&self) -> MutexGuard<'_, CongestionTracker> {
        lock(&self.congestion)
    }

    /// Locks the speeds of endpoints; hold the guard only briefly.
    pub fn endpoint_speeds(&self) -> MutexGuard<'_, EndpointSpeeds> {
        lock(&self.endpoint_speeds)
    }

    /// Locks the lengths of recent streams; hold the guard only briefly.
    pub fn output_lengths(&self) -> MutexGuard<'_, OutputLengths> {
        lock(&self.output_lengths)
    }

    /// Locks the send limits of endpoints; hold the guard only briefly.
    pub fn send_limits(&self) -> MutexGuard<'_, SendLimits> {
        lock(&self.send_limits)
    }

    /// Locks the random number generator; hold the guard only briefly.
    pub fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        lock(&self.rng)
    }
}

/// Context of every service of published routes.
#[derive(Clone)]
pub struct PublishedContext {
    /// State shared with traffic.
    pub shared: Arc<PublishedState>,
    /// Opens connections and sockets.
    pub network: Arc<dyn Network>,
    /// Stored list of quarantined requests.
    pub quarantine_list: Arc<dyn QuarantineList>,
    /// Cancels all tasks that serve traffic.
    pub forced_shutdown: CancellationToken,
    /// Runtime of the traffic.
    pub traffic: Handle,
    /// Closes callers' connections after the answers in progress.
    pub graceful_shutdown: CancellationToken,
    /// Tasks that the graceful shutdown waits for, such as callers' connections.
    pub tracked_tasks: TaskTracker,
    /// Whether VMs transfer the operators' records to each other.
    pub uses_state_transfer: bool,
    /// Number of the router within the process; makes the names of actors unique in the registry of the process.
    pub router_number: u64,
}

impl PublishedContext {
    /// Identity of this VM, as other VMs know it.
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

    fn health(&self) -> &ServiceHealth {
        &self.shared.health
    }

    fn clock(&self) -> &Clock {
        &self.shared.clock
    }
}
