//! Service that evaluates roll-outs and writes their statuses to the store.

use std::{
    collections::HashMap,
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
    services::send_periodically,
};

/// Name of the service.
pub const NAME: &str = "published-rollouts";

/// Interval between two evaluations of the roll-outs.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two reads of the statuses that other VMs wrote, while a roll-out is in progress.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between two log lines on the evidence of a roll-out whose phase does not change.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_millis(2000);
/// Longest random delay before a VM writes that a roll-out has started; usually another VM has written it by then.
const START_WRITE_SPREAD_MS: u64 = 3000;
/// Longest random delay before a VM writes how a roll-out ended; usually another VM has written it by then.
const END_WRITE_SPREAD_MS: u64 = 100;

/// Service that is not started yet.
pub(super) struct RolloutService {
    store: Box<dyn RolloutStore>,
}

impl RolloutService {
    pub(super) fn new(store: Box<dyn RolloutStore>) -> Self {
        Self { store }
    }
}

#[async_trait]
impl Service<PublishedContext> for RolloutService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        spawn(NAME, cx, RolloutActor, (cx.clone(), self.store.rewound())).await
    }
}

struct RolloutActor;

/// Message that triggers an evaluation.
struct Evaluate;

/// Triggers an evaluation without waiting for the next interval.
pub(super) fn evaluate_soon(cx: &PublishedContext) {
    let service = ractor::registry::where_is(cx.actor_name(NAME)).map(ActorRef::<Evaluate>::from);
    if let Some(Err(error)) = service.map(|service| service.cast(Evaluate)) {
        log::debug!("the roll-out service has stopped: {error}");
    }
}

/// Returns the statuses and baselines of all roll-outs for a VM that starts, or `None` if this VM lacks some itself.
pub(super) fn reported_rollouts(
    cx: &PublishedContext,
    now: SystemTime,
) -> Option<Vec<(ReportedRollout, Vec<RouteEvidence>)>> {
    let rollouts = cx.shared.rollouts();
    let baseline = |status: &RolloutStatus| rollouts.baseline(&status.service, &status.version);
    let reported = rollouts.statuses().map(|status| (rollouts.reported_rollout(status, now), baseline(status)));
    (!rollouts.needs_statuses()).then(|| reported.collect())
}

/// Merges the statuses and baselines of all roll-outs that another VM transferred.
pub(super) fn merge_rollouts(
    cx: &PublishedContext,
    reported: impl Iterator<Item = (ReportedRollout, Vec<RouteEvidence>)>,
) {
    let mut rollouts = cx.shared.rollouts();
    for (ReportedRollout { status, .. }, baseline) in reported {
        rollouts.merge_baseline(&status.service, &status.version, baseline);
        let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
        if !rollouts.is_settled(&status) && rollouts.record_status(status) {
            log::info!(state = line.as_str(); "roll-out status received from another VM");
        }
    }
    rollouts.set_statuses_read();
}

/// Logs and counts the halt of a version by this VM's own evaluation.
fn log_halt(halt: &ReportedHalt) {
    metrics::counter!("rollouts_halted", "service" => halt.service.clone()).increment(1);
    log::warn!(
        service = halt.service.as_str(),
        version = halt.version.as_str(),
        reason = halt.reason.description();
        "a version gets no more requests"
    );
}

fn log_summary(summary: &EvidenceSummary) {
    metrics::gauge!("rollout_odds", "service" => summary.service.clone()).set(summary.log_odds);
    log::info!(
        service = summary.service.as_str(),
        version = summary.version.as_str(),
        phase = summary.phase,
        age_ms = summary.age.as_millis() as u64,
        odds = format!("{:.1}", summary.log_odds).as_str(),
        turn = format!("{:.1}", summary.degradation_log_odds).as_str(),
        writers = summary.writers,
        new = format_counts(&summary.new).as_str(),
        old = format_counts(&summary.old).as_str();
        "roll-out evaluated"
    );
}

/// Formats the counts of a version: failed attempts of all, errors, and slow times of all that were measured.
fn format_counts(counts: &VersionCounts) -> String {
    let VersionCounts { ended, failed, errors, first_byte_times, slow_first_bytes, .. } = counts;
    let VersionCounts { event_times, slow_events, compared_streams, slower_streams, .. } = counts;
    format!(
        "{failed}/{ended} failed, {errors} errors, {slow_first_bytes}/{first_byte_times} slow, \
         {slow_events}/{event_times} dragging, {slower_streams}/{compared_streams} slower than the fast ones"
    )
}

struct RolloutState {
    cx: PublishedContext,
    store: Box<dyn RolloutStore>,
    /// When this VM writes the outcome of each service's roll-out, unless another VM writes it first.
    write_times: HashMap<ServiceId, (RolloutOutcome, SystemTime)>,
    last_read: Option<SystemTime>,
    /// Changes whenever the store was restored from an older copy.
    eras: watch::Receiver<Option<Era>>,
    /// Whether the store may have lost statuses that this VM knows to be written.
    may_miss_statuses: bool,
    /// Whether the saved baselines were read.
    has_read_baselines: bool,
    /// The phase in which the evidence on each service's roll-out was last logged, and when.
    last_logged: HashMap<ServiceId, (&'static str, SystemTime)>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for RolloutActor {
    type Msg = Evaluate;
    type State = RolloutState;
    type Arguments = (PublishedContext, Box<dyn RolloutStore>);

    async fn pre_start(
        &self,
        myself: ActorRef<Evaluate>,
        (cx, store): Self::Arguments,
    ) -> Result<RolloutState, ActorProcessingErr> {
        let ticker = send_periodically(myself, EVALUATION_INTERVAL, || Evaluate);
        let eras = cx.shared.store.eras();
        Ok(RolloutState {
            cx,
            store,
            write_times: HashMap::new(),
            last_read: None,
            eras,
            may_miss_statuses: false,
            has_read_baselines: false,
            last_logged: HashMap::new(),
            _ticker: ticker,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Evaluate>,
        _message: Evaluate,
        state: &mut RolloutState,
    ) -> Result<(), ActorProcessingErr> {
        state.evaluate().await;
        Ok(())
    }
}

impl RolloutState {
    async fn evaluate(&mut self) {
        let now = self.cx.shared.clock.now();
        let bounds = self.cx.shared.rollout_bounds();
        let halted = self.cx.shared.rollouts().evaluate(bounds, now);
        self.log_evidence(now);
        halted.iter().for_each(log_halt);
        self.rewrite_lost().await;
        if !self.cx.shared.rollouts().is_any_monitored(now) {
            self.write_times.clear();
            return;
        }
        if self.must_read(now) && !self.read().await {
            return;
        }
        if !self.has_read_baselines && self.cx.shared.rollouts().lacks_baseline(now) {
            self.read_baselines().await;
        }
        let status_updates = self.cx.shared.rollouts().status_updates(bounds, now);
        for update in status_updates {
            if self.is_due(&update, now) {
                self.write(&update).await;
            }
        }
    }

    /// Rewrites the statuses that a store restored from an older copy has lost; only VMs that read the store do so.
    async fn rewrite_lost(&mut self) {
        self.may_miss_statuses |= self.eras.has_changed().unwrap_or_default();
        self.eras.mark_unchanged();
        if !self.may_miss_statuses || !self.cx.shared.store.is_reader() {
            return;
        }
        let stored = match self.store.read_all().await {
            Ok(stored) => stored,
            Err(error) => return log::warn!("roll-out statuses not read: {error}"),
        };
        let missing: Vec<RolloutStatus> = self.cx.shared.rollouts().statuses_missing_from(&stored);
        self.may_miss_statuses = !missing.is_empty();
        for status in missing {
            // If another reader writes first, this is a conflict, and the next evaluation finds its record.
            self.write_at_end(&status, "the store has lost it").await;
        }
    }

    /// Logs the evidence on each roll-out when its phase changes, and at intervals while its new version is in use.
    fn log_evidence(&mut self, now: SystemTime) {
        let summaries = self.cx.shared.rollouts().evidence_summaries(self.cx.shared.rollout_bounds(), now);
        for summary in summaries {
            let logged = self.last_logged.get(&summary.service).copied();
            let is_new_phase = logged.is_none_or(|(phase, _)| phase != summary.phase);
            let is_in_use = summary.new.ended > 0 && summary.phase != RolloutOutcome::RolledBack.name();
            if is_new_phase || (is_in_use && logged.is_some_and(|(_, at)| now >= at + EVIDENCE_LOG_INTERVAL)) {
                log_summary(&summary);
                self.last_logged.insert(summary.service, (summary.phase, now));
            }
        }
    }

    /// Whether the statuses must be read now; VMs that don't read the store for others learn them from reports.
    fn must_read(&self, now: SystemTime) -> bool {
        let is_reader = self.cx.shared.store.is_reader() && self.cx.shared.rollouts().is_any_running();
        match self.last_read {
            Some(at) => is_reader && now >= at + READ_INTERVAL,
            None => is_reader || self.cx.shared.rollouts().needs_statuses(),
        }
    }

    /// Reads the statuses that other VMs wrote. Returns whether the store could be read.
    async fn read(&mut self) -> bool {
        let started = self.cx.shared.clock.now();
        let statuses = match self.store.read().await {
            Ok(statuses) => statuses,
            Err(error) => {
                log::warn!("roll-out statuses not read: {error}");
                return false;
            },
        };
        self.last_read = Some(started);
        for status in statuses {
            let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
            if self.cx.shared.rollouts().record_status(status) {
                log::info!(state = line.as_str(); "roll-out status read");
            }
        }
        self.cx.shared.rollouts().set_statuses_read();
        self.cx.shared.notify_state_learned();
        true
    }

    /// Reads the saved baselines, if no other VM has transferred them.
    async fn read_baselines(&mut self) {
        self.has_read_baselines = true;
        let replaced_versions = match self.store.read_replaced_versions().await {
            Ok(replaced_versions) => replaced_versions,
            Err(error) => return log::warn!("roll-out baselines not read: {error}"),
        };
        for ReplacedVersion { service, replaced_by, baseline } in replaced_versions {
            match inflate_json(&baseline) {
                Ok(baseline) => {
                    log::info!(service = service.as_str(), replaced_by = replaced_by.as_str(); "baseline read");
                    self.cx.shared.rollouts().merge_baseline(&service, &replaced_by, baseline);
                },
                Err(error) => log::error!(service = service.as_str(); "malformed roll-out baseline: {error}"),
            }
        }
    }

    /// Saves the baseline of a roll-out, because VMs that start later need it to evaluate the new version.
    async fn save_baseline(&mut self, status: &RolloutStatus) -> Result<(), StoreError> {
        let baseline = self.cx.shared.rollouts().baseline(&status.service, &status.version);
        let baseline = deflate_json(&baseline).or_else(|error| NotDoneSnafu { reason: error.to_string() }.fail())?;
        let replaced =
            ReplacedVersion { service: status.service.clone(), replaced_by: status.version.clone(), baseline };
        self.store.save_replaced_version(&replaced).await
    }

    /// Whether this VM should write a status now, instead of waiting for another VM to write it.
    fn is_due(&mut self, update: &StatusUpdate, now: SystemTime) -> bool {
        let outcome = update.status.outcome;
        let spread = if outcome == RolloutOutcome::Running { START_WRITE_SPREAD_MS } else { END_WRITE_SPREAD_MS };
        let known = self.write_times.get(&update.status.service).filter(|(due, _)| *due == outcome);
        let at = match known {
            Some((_, at)) => *at,
            None => now + Duration::from_millis(self.cx.shared.rng().random_range(0..spread)),
        };
        self.write_times.insert(update.status.service.clone(), (outcome, at));
        now >= at
    }

    async fn write(&mut self, update: &StatusUpdate) {
        let is_final = update.status.outcome != RolloutOutcome::Running;
        // A terminal status must not overwrite another one, so the statuses that other VMs wrote are read first.
        if is_final && !self.read().await {
            return;
        }
        if self.cx.shared.rollouts().is_settled(&update.status) {
            return;
        }
        self.write_at_end(&update.status, update.reason).await;
    }

    /// The evidence on which this VM decides a roll-out, for the log, and the number of VMs that it is from.
    fn describe_evidence(&self, status: &RolloutStatus) -> (String, usize) {
        let (bounds, now) = (self.cx.shared.rollout_bounds(), self.cx.shared.clock.now());
        let summaries = self.cx.shared.rollouts().evidence_summaries(bounds, now);
        let summary = summaries.iter().find(|summary| summary.service == status.service);
        let describe = |summary: &EvidenceSummary| {
            let (new, old) = (format_counts(&summary.new), format_counts(&summary.old));
            (format!("odds {:.1}; new: {new}; old: {old}", summary.log_odds), summary.writers)
        };
        summary.map_or_else(Default::default, describe)
    }

    /// Writes a status unless another record was written since the last read.
    async fn write_at_end(&mut self, status: &RolloutStatus, reason: &str) {
        let line = format!("{} to {}: {:?}", status.service, status.version, status.outcome);
        if status.outcome == RolloutOutcome::Succeeded
            && let Err(error) = self.save_baseline(status).await
        {
            return log::warn!(state = line.as_str(); "roll-out status not written; baseline not saved: {error}");
        }
        match self.store.write(status).await {
            Ok(WriteOutcome::Written) => {
                let (evidence, writers) = self.describe_evidence(status);
                log::info!(
                    state = line.as_str(), reason = reason, evidence = evidence.as_str(), writers = writers;
                    "roll-out status written"
                );
                self.cx.shared.rollouts().record_status(status.clone());
            },
            Ok(WriteOutcome::Conflict) => {
                log::info!(state = line.as_str(); "another VM wrote a roll-out status first");
                self.read().await;
            },
            Err(error) => {
                log::warn!(state = line.as_str(); "roll-out status not written: {error}");
                self.last_read = None;
            },
        }
    }
}
