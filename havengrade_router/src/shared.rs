//! What the control thread publishes and traffic reads.

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
    traffic::RequestTable,
};

/// What is known about the age of the configuration in force.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// When nothing newer existed, as far as is known.
    pub confirmed_at: SystemTime,
    /// Until when a majority of VMs, none of which knows anything newer, counts as heard.
    pub majority_confirmed_until: SystemTime,
    /// Whether the newest known offset has been reached once.
    pub is_caught_up: bool,
}

/// Why new requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServingReason {
    /// The VM has not caught up with the configuration, or has not looked at the endpoints yet.
    Starting,
    /// The VM can't know whether its configuration is the newest.
    StaleConfig,
    /// The VM is about to stop.
    Draining,
    /// Too many bills wait for the log service.
    TooManyWaitingBills,
}

/// State that is shared between the control thread and traffic.
pub struct SharedState {
    /// Settings of the router.
    pub settings: Arc<Settings>,
    /// Run of this process.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// Configuration in force.
    pub catalog: ArcSwap<Catalog>,
    /// Evidence of all VMs.
    pub evidence: ArcSwap<EvidenceTotals>,
    /// States of the endpoints.
    pub endpoints: EndpointTable,
    /// Requests in progress and kept answers.
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
    /// The state of a router that has just started.
    pub fn new(settings: Arc<Settings>, clock: Clock, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let freshness = Freshness {
            confirmed_at: SystemTime::UNIX_EPOCH,
            majority_confirmed_until: SystemTime::UNIX_EPOCH,
            is_caught_up: false,
        };
        Self {
            // The sign is given up so that ids pass through the schema's signed integers.
            incarnation: rng.next_u64() >> 1,
            clock,
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

    /// Name of this VM.
    pub fn vm(&self) -> &VmId {
        &self.settings.vm.id
    }

    /// Why new requests are refused now, if they are.
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

    /// Whether the configuration may be relied on now.
    pub fn is_fresh(&self, now: SystemTime) -> bool {
        let freshness = self.freshness.load();
        let max_staleness = Duration::from_millis(self.settings.peers.max_staleness_ms);
        let hears_majority = freshness.majority_confirmed_until > now;
        freshness.is_caught_up && membership::may_serve(self.staleness(now), hears_majority, max_staleness)
    }

    /// When nothing newer than the configuration in force existed for sure.
    pub fn config_confirmed_at(&self) -> SystemTime {
        self.freshness.load().confirmed_at
    }

    /// How long ago nothing newer than the configuration in force existed for sure.
    pub fn staleness(&self, now: SystemTime) -> Duration {
        now.duration_since(self.config_confirmed_at()).unwrap_or_default()
    }

    /// Notes that nothing newer existed at `at`.
    pub fn confirm_config(&self, at: SystemTime) {
        self.freshness.rcu(|known| Freshness {
            confirmed_at: known.confirmed_at.max(at),
            is_caught_up: true,
            ..**known
        });
    }

    /// Notes until when a majority counts as heard.
    pub fn set_majority_confirmed_until(&self, until: SystemTime) {
        self.freshness.rcu(|known| Freshness { majority_confirmed_until: until, ..**known });
    }

    /// Notes that the newest offset that a majority knows has been reached.
    pub fn set_caught_up(&self) {
        self.freshness.rcu(|known| Freshness { is_caught_up: true, ..**known });
    }

    /// Whether the newest offset has been reached once.
    pub fn is_caught_up(&self) -> bool {
        self.freshness.load().is_caught_up
    }

    /// Notes that the endpoints have been asked for a first sign.
    pub fn set_endpoints_probed(&self) {
        self.are_endpoints_probed.store(true, Ordering::Release);
    }

    /// Begins a planned stop; tells whether it is the first call.
    pub fn start_drain(&self) -> bool {
        !self.is_draining.swap(true, Ordering::AcqRel)
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Notes whether the log service answers.
    pub fn set_log_reachable(&self, reachable: bool) {
        self.is_log_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Whether the log service answered when it was last called.
    pub fn is_log_reachable(&self) -> bool {
        self.is_log_reachable.load(Ordering::Relaxed)
    }

    /// Notes which VMs live, this one among them, in the order of their names.
    pub fn set_live_vms(&self, vms: Vec<VmId>) {
        self.live_vms.store(Arc::new(vms));
    }

    /// VMs that live, in the order of their names.
    pub fn live_vms(&self) -> Arc<Vec<VmId>> {
        self.live_vms.load_full()
    }

    /// Live VMs that share the limits of client accounts and of the log service.
    pub fn live_vm_count(&self) -> u32 {
        u32::try_from(self.live_vms.load().len()).unwrap_or(u32::MAX).max(1)
    }

    /// Notes an endpoint's report for the next heartbeat.
    pub fn record_endpoint_report(&self, endpoint: EndpointId, report: EndpointReport) {
        lock(&self.endpoint_reports).insert(endpoint, report);
    }

    /// Takes the reports since the last call.
    pub fn take_endpoint_reports(&self) -> BTreeMap<EndpointId, EndpointReport> {
        std::mem::take(&mut *lock(&self.endpoint_reports))
    }

    /// Notes that so many records more, or fewer, wait for the log service.
    pub fn adjust_waiting_bills(&self, before: usize, after: usize) {
        self.waiting_bills.fetch_add(after.wrapping_sub(before), Ordering::Relaxed);
    }

    /// Bills that wait for the log service.
    pub fn waiting_bills(&self) -> usize {
        self.waiting_bills.load(Ordering::Relaxed)
    }

    /// Notes up to which offset the configuration has been replayed.
    pub fn set_config_next(&self, next: Offset) {
        self.config_next.store(next, Ordering::Release);
    }

    /// Offset up to which the configuration has been replayed.
    pub fn config_next(&self) -> Offset {
        self.config_next.load(Ordering::Acquire)
    }

    /// The limits of client accounts, locked for a moment.
    pub fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    /// What is known of requests that crash endpoints, locked for a moment.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// The retry budget, locked for a moment.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Takes an append to the log out of this VM's share, or tells how long to wait for one.
    ///
    /// # Errors
    ///
    /// The time after which there will be one.
    pub fn try_acquire_append(&self, now: SystemTime) -> Result<(), Duration> {
        let share = f64::from(self.settings.log_service.appends_per_second) / f64::from(self.live_vm_count());
        lock(&self.append_budget).try_acquire(share, now)
    }

    /// Notes how a version answered; it waits here, summed up, until the control thread takes it.
    pub fn record_evidence(&self, subject: TallyKey, tally: Tally) {
        let mut seen = lock(&self.pending_evidence);
        let sum = seen.entry(subject).or_default();
        *sum = sum.plus(&tally);
    }

    /// Takes what was noted since the last call.
    pub fn take_evidence(&self) -> HashMap<TallyKey, Tally> {
        std::mem::take(&mut *lock(&self.pending_evidence))
    }

    /// The random numbers, locked for a moment.
    pub fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        lock(&self.rng)
    }

    /// A new id for a request, which carries the name of this VM.
    pub fn new_request_id(&self) -> String {
        let mut bytes = [0; 16];
        self.rng().fill_bytes(&mut bytes);
        let id = uuid::Builder::from_random_bytes(bytes).into_uuid();
        format!("{}.{id}", self.vm())
    }
}

/// Locks a mutex; the state behind ours is whole even after a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
