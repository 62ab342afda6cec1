//! The service that judges roll-outs and writes how they stand.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    ids::ServiceId,
    published::{
        evidence_summary::{EvidenceSummary, VersionCounts},
        position::Era,
        rollout::{ReportedHalt, ReportedRollout, RolloutOutcome, RolloutStatus, RouteEvidence, StatusUpdate},
    },
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use rand::RngExt as _;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::{Service, ServiceContext as _, StartError, spawn},
    published::{
        context::PublishedContext,
        ports::{NotDoneSnafu, ReplacedVersion, RolloutStore, StoreError, WriteOutcome},
        state_parts::{deflate_json, inflate_json},
    },
    services::tick,
    shared::lock,
};

/// Name of the service.
pub const NAME: &str = "published-rollouts";

/// Time between two looks at the roll-outs.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time between two reads of what other VMs wrote, while a roll-out is under way.
const READ_EVERY: Duration = Duration::from_millis(1000);
/// Time between two lines on what the judgement of a roll-out rests on, while nothing else changes.
const GROUNDS_EVERY: Duration = Duration::from_millis(2000);
/// Most time that a VM leaves to others for writing that an order was taken up.
const TAKE_UP_SPREAD_MS: u64 = 3000;
/// Most time that a VM leaves to others for writing how a roll-out ended.
const END_SPREAD_MS: u64 = 100;

/// The service, until it is started.
pub(super) struct RolloutService {
    book: Mutex<Option<Box<dyn RolloutStore>>>,
}

impl RolloutService {
    pub(super) fn new(book: Box<dyn RolloutStore>) -> Self {
        Self { book: Mutex::new(Some(book)) }
    }
}

#[async_trait]
impl Service<PublishedContext> for RolloutService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let Some(book) = lock(&self.book).take() else { return Err(StartError::Missing { name: NAME }) };
        spawn(NAME, cx, RolloutActor, (cx.clone(), book)).await
    }
}

struct RolloutActor;

/// Time to look.
struct Look;

/// Makes the service look at once.
pub(super) fn evaluate_soon(cx: &PublishedContext) {
    let service = ractor::registry::where_is(cx.actor_name(NAME)).map(ActorRef::<Look>::from);
    if let Some(Err(error)) = service.map(|service| service.cast(Look)) {
        log::debug!("the service of roll-outs is gone: {error}");
    }
}

/// How all roll-outs stand, and what is known of the versions before, for a VM that starts; none where this VM does not know
/// it itself.
pub(super) fn reported_rollouts(
    cx: &PublishedContext,
    now: SystemTime,
) -> Option<Vec<(ReportedRollout, Vec<RouteEvidence>)>> {
    let rollouts = cx.shared.rollouts();
    let usual = |status: &RolloutStatus| rollouts.baseline(&status.service, &status.version);
    let told = rollouts.statuses().map(|status| (rollouts.reported_rollout(status, now), usual(status)));
    (!rollouts.needs_statuses()).then(|| told.collect())
}

/// Takes how all roll-outs stand from another VM, and what it knows of the versions before.
pub(super) fn merge_rollouts(cx: &PublishedContext, told: impl Iterator<Item = (ReportedRollout, Vec<RouteEvidence>)>) {
    let mut rollouts = cx.shared.rollouts();
    for (ReportedRollout { status, .. }, usual) in told {
        rollouts.merge_baseline(&status.service, &status.version, usual);
        let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
        if !rollouts.is_settled(&status) && rollouts.record_status(status) {
            log::info!(state = line.as_str(); "state of a roll-out taken from another VM");
        }
    }
    rollouts.set_statuses_read();
}

/// Tells that a version is to get nothing more, by this VM's own judgement.
fn log_halt(told: &ReportedHalt) {
    metrics::counter!("rollouts_halted", "service" => told.service.clone()).increment(1);
    log::warn!(
        service = told.service.as_str(),
        version = told.version.as_str(),
        reason = told.reason.description();
        "a version gets no more requests"
    );
}

fn log_grounds(grounds: &EvidenceSummary) {
    metrics::gauge!("rollout_odds", "service" => grounds.service.clone()).set(grounds.log_odds);
    log::info!(
        service = grounds.service.as_str(),
        version = grounds.version.as_str(),
        phase = grounds.phase,
        age_ms = grounds.age.as_millis() as u64,
        odds = format!("{:.1}", grounds.log_odds).as_str(),
        turn = format!("{:.1}", grounds.degradation_log_odds).as_str(),
        writers = grounds.writers,
        new = counted(&grounds.new).as_str(),
        old = counted(&grounds.old).as_str();
        "roll-out judged"
    );
}

/// What was counted for a version: of how many tries how many failed, and of how many times how many were slow.
fn counted(counted: &VersionCounts) -> String {
    let VersionCounts { ended, failed, errors, first_byte_times, slow_first_bytes, event_times, slow_events } = counted;
    format!(
        "{failed}/{ended} failed, {errors} errors, {slow_first_bytes}/{first_byte_times} slow, {slow_events}/{event_times} dragging"
    )
}

struct RolloutState {
    cx: PublishedContext,
    book: Box<dyn RolloutStore>,
    /// When this VM writes, by service, unless another one did.
    due: HashMap<ServiceId, (RolloutOutcome, SystemTime)>,
    read_at: Option<SystemTime>,
    /// Changes whenever the store has come back from an older copy.
    eras: watch::Receiver<Option<Era>>,
    /// Whether states that this VM knows to be written may be gone from the store.
    may_miss_states: bool,
    /// Whether what is kept of versions that were replaced was read.
    has_read_kept: bool,
    /// The phase of each service's roll-out that was last told in a line, and when.
    told: HashMap<ServiceId, (&'static str, SystemTime)>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for RolloutActor {
    type Msg = Look;
    type State = RolloutState;
    type Arguments = (PublishedContext, Box<dyn RolloutStore>);

    async fn pre_start(
        &self,
        myself: ActorRef<Look>,
        (cx, book): Self::Arguments,
    ) -> Result<RolloutState, ActorProcessingErr> {
        let ticker = tick(myself, LOOK_EVERY, || Look);
        let eras = cx.shared.store.eras();
        Ok(RolloutState {
            cx,
            book,
            due: HashMap::new(),
            read_at: None,
            eras,
            may_miss_states: false,
            has_read_kept: false,
            told: HashMap::new(),
            _ticker: ticker,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Look>,
        _look: Look,
        state: &mut RolloutState,
    ) -> Result<(), ActorProcessingErr> {
        state.look().await;
        Ok(())
    }
}

impl RolloutState {
    async fn look(&mut self) {
        let now = self.cx.shared.clock.now();
        let bounds = self.cx.shared.rollout_bounds();
        let halted = self.cx.shared.rollouts().evaluate(bounds, now);
        self.log_grounds(now);
        halted.iter().for_each(log_halt);
        self.write_again().await;
        if !self.cx.shared.rollouts().is_any_monitored(now) {
            self.due.clear();
            return;
        }
        if self.must_read(now) && !self.read().await {
            return;
        }
        if !self.has_read_kept && self.cx.shared.rollouts().lacks_baseline(now) {
            self.read_kept().await;
        }
        let status_updates = self.cx.shared.rollouts().status_updates(bounds, now);
        for verdict in status_updates {
            if self.is_due(&verdict, now) {
                self.write(&verdict).await;
            }
        }
    }

    /// Writes again the states that the store has lost since it came back from an older copy; one of the VMs that read it does.
    async fn write_again(&mut self) {
        self.may_miss_states |= self.eras.has_changed().unwrap_or_default();
        self.eras.mark_unchanged();
        if !self.may_miss_states || !self.cx.shared.store.is_reader() {
            return;
        }
        let there = match self.book.read_all().await {
            Ok(there) => there,
            Err(error) => return log::warn!("states of roll-outs were not read: {error}"),
        };
        let missing: Vec<RolloutStatus> = self.cx.shared.rollouts().statuses_missing_from(&there);
        self.may_miss_states = !missing.is_empty();
        for status in missing {
            // Another reader that writes first makes this a conflict, and the next look finds its record.
            self.write_known(&status, "the store has lost it").await;
        }
    }

    /// Tells what this VM's judgement rests on: at each change of phase, and now and then while a roll-out is under way.
    fn log_grounds(&mut self, now: SystemTime) {
        let known = self.cx.shared.rollouts().evidence_summaries(self.cx.shared.rollout_bounds(), now);
        for grounds in known {
            let told = self.told.get(&grounds.service).copied();
            let is_news = told.is_none_or(|(phase, _)| phase != grounds.phase);
            let is_open = grounds.new.ended > 0 && grounds.phase != RolloutOutcome::RolledBack.name();
            if is_news || (is_open && told.is_some_and(|(_, at)| now >= at + GROUNDS_EVERY)) {
                log_grounds(&grounds);
                self.told.insert(grounds.service, (grounds.phase, now));
            }
        }
    }

    /// Whether the store must be asked; VMs that don't read it for others learn of written states from reports.
    fn must_read(&self, now: SystemTime) -> bool {
        let is_reader = self.cx.shared.store.is_reader() && self.cx.shared.rollouts().is_any_running();
        match self.read_at {
            Some(at) => is_reader && now >= at + READ_EVERY,
            None => is_reader || self.cx.shared.rollouts().needs_statuses(),
        }
    }

    /// Reads what other VMs wrote; tells whether the store could be read.
    async fn read(&mut self) -> bool {
        let asked = self.cx.shared.clock.now();
        let statuses = match self.book.read().await {
            Ok(statuses) => statuses,
            Err(error) => {
                log::warn!("states of roll-outs were not read: {error}");
                return false;
            },
        };
        self.read_at = Some(asked);
        for status in statuses {
            let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
            if self.cx.shared.rollouts().record_status(status) {
                log::info!(state = line.as_str(); "state of a roll-out read");
            }
        }
        self.cx.shared.rollouts().set_statuses_read();
        self.cx.shared.notify_state_learned();
        true
    }

    /// Reads what is kept of versions that were replaced, where no other VM told it.
    async fn read_kept(&mut self) {
        self.has_read_kept = true;
        let kept = match self.book.read_replaced_versions().await {
            Ok(kept) => kept,
            Err(error) => return log::warn!("what is kept of earlier versions was not read: {error}"),
        };
        for ReplacedVersion { service, replaced_by, text } in kept {
            match inflate_json(&text) {
                Ok(usual) => {
                    log::info!(service = service.as_str(), replaced_by = replaced_by.as_str(); "earlier version known");
                    self.cx.shared.rollouts().merge_baseline(&service, &replaced_by, usual);
                },
                Err(error) => log::error!(service = service.as_str(); "a kept version can't be read: {error}"),
            }
        }
    }

    /// Keeps what is known of the version that is about to go, since starts need it to judge the new one.
    async fn keep(&mut self, status: &RolloutStatus) -> Result<(), StoreError> {
        let usual = self.cx.shared.rollouts().baseline(&status.service, &status.version);
        let text = deflate_json(&usual).or_else(|error| NotDoneSnafu { reason: error.to_string() }.fail())?;
        let known = ReplacedVersion { service: status.service.clone(), replaced_by: status.version.clone(), text };
        self.book.save_replaced_version(&known).await
    }

    /// Whether this VM should write now, or leave it to another for some time yet.
    fn is_due(&mut self, verdict: &StatusUpdate, now: SystemTime) -> bool {
        let outcome = verdict.status.outcome;
        let spread = if outcome == RolloutOutcome::Running { TAKE_UP_SPREAD_MS } else { END_SPREAD_MS };
        let known = self.due.get(&verdict.status.service).filter(|(due, _)| *due == outcome);
        let at = match known {
            Some((_, at)) => *at,
            None => now + Duration::from_millis(self.cx.shared.rng().random_range(0..spread)),
        };
        self.due.insert(verdict.status.service.clone(), (outcome, at));
        now >= at
    }

    async fn write(&mut self, verdict: &StatusUpdate) {
        let is_final = verdict.status.outcome != RolloutOutcome::Running;
        // A final state must not overwrite another final one, so what others wrote is read first.
        if is_final && !self.read().await {
            return;
        }
        if self.cx.shared.rollouts().is_settled(&verdict.status) {
            return;
        }
        self.write_known(&verdict.status, verdict.reason).await;
    }

    /// Writes a state at the end of what was read.
    async fn write_known(&mut self, status: &RolloutStatus, reason: &str) {
        let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
        if status.outcome == RolloutOutcome::Succeeded
            && let Err(error) = self.keep(status).await
        {
            return log::warn!(state = line.as_str(); "not written, since the version before could not be kept: {error}");
        }
        match self.book.write(status).await {
            Ok(WriteOutcome::Written) => {
                log::info!(state = line.as_str(), reason = reason; "state of a roll-out written");
                self.cx.shared.rollouts().record_status(status.clone());
            },
            Ok(WriteOutcome::Conflict) => {
                log::info!(state = line.as_str(); "another VM wrote the state of a roll-out first");
                self.read().await;
            },
            Err(error) => {
                log::warn!(state = line.as_str(); "state of a roll-out not written: {error}");
                self.read_at = None;
            },
        }
    }
}
