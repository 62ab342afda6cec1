//! State that the control thread publishes and the traffic threads read.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use havengrade_core::{
    admission::Admission,
    append_budget::AppendBudget,
    config::Catalog,
    evidence::{EvidenceTotals, Tally, TallyKey},
    ids::{EndpointId, Incarnation, Offset, VmId},
    membership,
    quarantine::Quarantine,
    retry_budget::RetryBudget,
};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

use crate::{
    clock::Clock,
    endpoints::{EndpointReport, EndpointTable},
    settings::Settings,
    supervision::ServiceHealth,
    traffic::RequestTable,
};

/// Evidence that the active configuration is the newest.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Latest time at which this configuration was the newest.
    pub confirmed_at: SystemTime,
    /// Time until which the heartbeats of a majority of VMs, none with a newer configuration, are recent enough.
    pub majority_confirmed_until: SystemTime,
    /// Whether the replay has reached the newest known offset since the start.
    pub is_caught_up: bool,
}

/// Reason for refusing new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServingReason {
    /// The VM has not caught up with the configuration or has not probed the endpoints yet.
    Starting,
    /// The VM can't confirm that its configuration is the newest.
    StaleConfig,
    /// A planned stop is in progress.
    Draining,
    /// Too many bills wait to be appended to the log service.
    TooManyWaitingBills,
}

/// State shared between the control thread and the traffic threads.
pub struct SharedState {
    /// Settings of the router.
    pub settings: Arc<Settings>,
    /// Random identifier of this run of the process.
    pub incarnation: Incarnation,
    /// Clock of the router.
    pub clock: Clock,
    /// Services that have ended by themselves.
    pub health: ServiceHealth,
    /// Active configuration.
    pub catalog: ArcSwap<Catalog>,
    /// Sum of the roll-out evidence of all VMs.
    pub evidence: ArcSwap<EvidenceTotals>,
    /// States of the endpoints.
    pub endpoints: EndpointTable,
    /// Requests in progress and retained answers.
    pub requests: RequestTable,
    freshness: ArcSwap<Freshness>,
    admission: Mutex<Admission>,
    retry_budget: Mutex<RetryBudget>,
    quarantine: Mutex<Quarantine>,
    append_budget: Mutex<AppendBudget>,
    pending_evidence: Mutex<HashMap<TallyKey, Tally>>,
    rng: Mutex<ChaCha8Rng>,
    live_vms: ArcSwap<Vec<VmId>>,
    endpoint_reports: Mutex<BTreeMap<EndpointId, EndpointReport>>,
    are_endpoints_probed: AtomicBool,
    is_draining: AtomicBool,
    is_log_reachable: AtomicBool,
    waiting_bills: AtomicUsize,
    config_next: AtomicU64,
}

impl SharedState {
    /// Creates the state of a router that has just started.
    pub fn new(settings: Arc<Settings>, clock: Clock, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let freshness = Freshness {
            confirmed_at: SystemTime::UNIX_EPOCH,
            majority_confirmed_until: SystemTime::UNIX_EPOCH,
            is_caught_up: false,
        };
        Self {
            // The schema has signed integers only, so the top bit stays clear.
            incarnation: rng.next_u64() >> 1,
            clock,
            health: ServiceHealth::default(),
            catalog: ArcSwap::default(),
            evidence: ArcSwap::default(),
            endpoints: EndpointTable::default(),
            requests: RequestTable::new(settings.limits.max_kept_answers),
            freshness: ArcSwap::from_pointee(freshness),
            admission: Mutex::default(),
            pending_evidence: Mutex::default(),
            append_budget: Mutex::default(),
            quarantine: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(settings.endpoints.retry_percent)),
            rng: Mutex::new(rng),
            live_vms: ArcSwap::from_pointee(vec![settings.vm.id.clone()]),
            endpoint_reports: Mutex::default(),
            are_endpoints_probed: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_log_reachable: AtomicBool::new(false),
            waiting_bills: AtomicUsize::new(0),
            config_next: AtomicU64::new(0),
            settings,
        }
    }

    /// Id of this VM.
    pub fn vm(&self) -> &VmId {
        &self.settings.vm.id
    }

    /// Reason for refusing new requests now; none if they are accepted.
    pub fn not_serving_reason(&self, now: SystemTime) -> Option<NotServingReason> {
        let freshness = self.freshness.load();
        if self.is_draining.load(Ordering::Acquire) {
            return Some(NotServingReason::Draining);
        }
        if !freshness.is_caught_up || !self.are_endpoints_probed.load(Ordering::Acquire) {
            return Some(NotServingReason::Starting);
        }
        if !self.is_fresh(now) {
            return Some(NotServingReason::StaleConfig);
        }
        let is_full = self.waiting_bills.load(Ordering::Relaxed) >= self.settings.limits.max_waiting_bills;
        is_full.then_some(NotServingReason::TooManyWaitingBills)
    }

    /// Whether the configuration is recent enough to serve requests.
    pub fn is_fresh(&self, now: SystemTime) -> bool {
        let freshness = self.freshness.load();
        let max_staleness = Duration::from_millis(self.settings.peers.max_staleness_ms);
        let has_majority = freshness.majority_confirmed_until > now;
        freshness.is_caught_up && membership::may_serve(self.staleness(now), has_majority, max_staleness)
    }

    /// Latest time at which the active configuration was the newest.
    pub fn config_confirmed_at(&self) -> SystemTime {
        self.freshness.load().confirmed_at
    }

    /// Time since the active configuration was last confirmed as the newest.
    pub fn staleness(&self, now: SystemTime) -> Duration {
        now.duration_since(self.config_confirmed_at()).unwrap_or_default()
    }

    /// Records that the active configuration was the newest at `at`.
    pub fn confirm_config(&self, at: SystemTime) {
        self.freshness.rcu(|known| Freshness {
            confirmed_at: known.confirmed_at.max(at),
            is_caught_up: true,
            ..**known
        });
    }

    /// Sets the time until which a majority of VMs confirms the configuration.
    pub fn set_majority_confirmed_until(&self, until: SystemTime) {
        self.freshness.rcu(|known| Freshness { majority_confirmed_until: until, ..**known });
    }

    /// Records that the replay has reached the newest offset known to a majority.
    pub fn set_caught_up(&self) {
        self.freshness.rcu(|known| Freshness { is_caught_up: true, ..**known });
    }

    /// Whether the replay has reached the newest known offset since the start.
    pub fn is_caught_up(&self) -> bool {
        self.freshness.load().is_caught_up
    }

    /// Records that the first probe of the endpoints is complete.
    pub fn set_endpoints_probed(&self) {
        self.are_endpoints_probed.store(true, Ordering::Release);
    }

    /// Begins a planned stop; returns whether this is the first call.
    pub fn start_drain(&self) -> bool {
        !self.is_draining.swap(true, Ordering::AcqRel)
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Sets whether the log service answers.
    pub fn set_log_reachable(&self, reachable: bool) {
        self.is_log_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Whether the log service answered the last call.
    pub fn is_log_reachable(&self) -> bool {
        self.is_log_reachable.load(Ordering::Relaxed)
    }

    /// Sets the live VMs, including this one, sorted by id.
    pub fn set_live_vms(&self, vms: Vec<VmId>) {
        self.live_vms.store(Arc::new(vms));
    }

    /// Live VMs, including this one, sorted by id.
    pub fn live_vms(&self) -> Arc<Vec<VmId>> {
        self.live_vms.load_full()
    }

    /// Number of live VMs, among which the limits of client accounts and of the log service are divided.
    pub fn live_vm_count(&self) -> u32 {
        u32::try_from(self.live_vms.load().len()).unwrap_or(u32::MAX).max(1)
    }

    /// Adds an endpoint's report to the next heartbeat.
    pub fn record_endpoint_report(&self, endpoint: EndpointId, report: EndpointReport) {
        lock(&self.endpoint_reports).insert(endpoint, report);
    }

    /// Takes the endpoint reports recorded since the last call.
    pub fn take_endpoint_reports(&self) -> BTreeMap<EndpointId, EndpointReport> {
        std::mem::take(&mut *lock(&self.endpoint_reports))
    }

    /// Adjusts the number of waiting bills by the change of one queue from `before` to `after`.
    pub fn adjust_waiting_bills(&self, before: usize, after: usize) {
        self.waiting_bills.fetch_add(after.wrapping_sub(before), Ordering::Relaxed);
    }

    /// Number of bills that wait to be appended to the log service.
    pub fn waiting_bills(&self) -> usize {
        self.waiting_bills.load(Ordering::Relaxed)
    }

    /// Sets the offset of the next configuration record to replay.
    pub fn set_config_next(&self, next: Offset) {
        self.config_next.store(next, Ordering::Release);
    }

    /// Offset of the next configuration record to replay.
    pub fn config_next(&self) -> Offset {
        self.config_next.load(Ordering::Acquire)
    }

    /// Locks the limits of client accounts.
    pub fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    /// Locks the quarantine of requests that crash endpoints.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Acquires one append to the log service from this VM's share of the append rate.
    ///
    /// # Errors
    ///
    /// The time until an append becomes available.
    pub fn try_acquire_append(&self, now: SystemTime) -> Result<(), Duration> {
        let share = f64::from(self.settings.log_service.appends_per_second) / f64::from(self.live_vm_count());
        lock(&self.append_budget).try_acquire(share, now)
    }

    /// Adds a tally to the evidence that the control thread takes next.
    pub fn record_evidence(&self, key: TallyKey, tally: Tally) {
        let mut pending = lock(&self.pending_evidence);
        let sum = pending.entry(key).or_default();
        *sum = sum.plus(&tally);
    }

    /// Takes the evidence recorded since the last call.
    pub fn take_evidence(&self) -> HashMap<TallyKey, Tally> {
        std::mem::take(&mut *lock(&self.pending_evidence))
    }

    /// Locks the random number generator.
    pub fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        lock(&self.rng)
    }

    /// Generates a request id that begins with the id of this VM.
    pub fn new_request_id(&self) -> String {
        let mut bytes = [0; 16];
        self.rng().fill_bytes(&mut bytes);
        let id = uuid::Builder::from_random_bytes(bytes).into_uuid();
        format!("{}.{id}", self.vm())
    }
}

/// Locks a mutex, even a poisoned one: no panic leaves the state behind these mutexes inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
