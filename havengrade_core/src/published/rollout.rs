//! Roll-outs of services' software: which versions may answer a request, and which statuses to write.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

pub use crate::published::{
    attempt_outcome::{AttemptOutcome, AttemptTime, Failure, TimeKind},
    attempt_stats::{AttemptStats, KIND_SEPARATOR, RouteEvidence},
    halt::HaltReason,
    rollout_order::{RolloutOrder, RolloutOutcome, RolloutStatus},
    rollout_report::{ReportedAnswerCounts, ReportedHalt, ReportedRollout, RolloutReport, RolloutUpdate},
    service_rollout::{RolloutBounds, StatusUpdate},
    session_affinity::{SessionAffinity, SessionFingerprint},
};
use crate::{
    ids::{Incarnation, ServiceId, SessionId},
    published::{
        directory::SoftwareVersion,
        evidence_summary::EvidenceSummary,
        service_rollout::{Phase, ServiceRollout, slot_of},
        session_affinity::AffinityTable,
    },
};

/// Upper bound on the one-way delay of a message between VMs.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(500);
/// Highest number of counters in a report, each of a version and a kind of request. The others follow in the next
/// report.
const MAX_EVIDENCE: usize = 16;
/// Highest number of written statuses in a report.
const MAX_STATES: usize = 4;

/// The roll-outs of all services, and the affinity of sessions to versions.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    by_service: HashMap<ServiceId, ServiceRollout>,
    statuses: HashMap<ServiceId, RolloutStatus>,
    /// Versions that were rolled back and not ordered again since. They stay excluded during later orders of other
    /// versions.
    rolled_back: HashMap<ServiceId, HashSet<SoftwareVersion>>,
    /// Baselines that other VMs transferred for orders that this VM has not learned of yet.
    transferred_baselines: HashMap<(ServiceId, SoftwareVersion), Vec<RouteEvidence>>,
    affinities: AffinityTable,
    has_earlier_orders: bool,
    are_statuses_read: bool,
}

/// Which versions of a service may answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedVersions {
    /// All versions.
    Any,
    /// Only this version.
    Only(SoftwareVersion),
    /// All versions but this one.
    Not(SoftwareVersion),
}

impl AllowedVersions {
    /// Whether a version may answer.
    pub fn includes(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Not(not) => not != version,
        }
    }
}

impl Rollouts {
    /// Adds an operator's order that this VM learned of at `now`. Returns whether the order is new.
    pub fn add_order(&mut self, order: RolloutOrder, now: SystemTime) -> bool {
        if self.by_service.get(&order.service).is_some_and(|rollout| rollout.order == order) {
            return false;
        }
        let written = self.statuses.get(&order.service).filter(|status| status.version == order.version);
        let outcome = written.map_or(RolloutOutcome::Running, |status| status.outcome);
        if outcome != RolloutOutcome::RolledBack
            && let Some(versions) = self.rolled_back.get_mut(&order.service)
        {
            versions.remove(&order.version);
        }
        let baseline = self.transferred_baselines.remove(&(order.service.clone(), order.version.clone()));
        let previous = self.by_service.get(&order.service);
        let replaced = previous.filter(|previous| previous.outcome == RolloutOutcome::Succeeded);
        let mut rollout = ServiceRollout::new(order, outcome, now);
        rollout.replaced_version = replaced.map(|previous| previous.order.version.clone());
        rollout.versions.merge_baseline(baseline.unwrap_or_default());
        self.by_service.insert(rollout.order.service.clone(), rollout);
        true
    }

    /// Records that there were orders before this VM started, which may have ended since.
    pub fn set_has_earlier_orders(&mut self) {
        self.has_earlier_orders = true;
    }

    /// Records that all written statuses were read.
    pub fn set_statuses_read(&mut self) {
        self.are_statuses_read = true;
    }

    /// Whether the written statuses must be read, since there were orders before this VM started.
    ///
    /// The statuses of later orders arrive in reports of other VMs.
    pub fn needs_statuses(&self) -> bool {
        self.has_earlier_orders && !self.are_statuses_read
    }

    /// The newest order of each service.
    pub fn orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.by_service.values().map(|rollout| &rollout.order)
    }

    /// Records a written status. Returns whether it changes the known one, which it can't do after a terminal status.
    pub fn record_status(&mut self, status: RolloutStatus) -> bool {
        let known = self.statuses.get(&status.service).filter(|known| known.version == status.version);
        if known.is_some_and(|known| !may_replace(known.outcome, status.outcome)) {
            return false;
        }
        if let Some(rollout) = self.by_service.get_mut(&status.service)
            && rollout.order.version == status.version
            && may_replace(rollout.outcome, status.outcome)
        {
            rollout.outcome = status.outcome;
        }
        if status.outcome == RolloutOutcome::RolledBack {
            self.rolled_back.entry(status.service.clone()).or_default().insert(status.version.clone());
        }
        self.statuses.insert(status.service.clone(), status);
        true
    }

    /// Merges a status that another VM reports as written. Returns whether it changes the known one.
    ///
    /// VMs learn of statuses at different times, so that a report of a running roll-out does not replace a known
    /// terminal status, and statuses of other orders are ignored.
    pub fn merge_status(&mut self, status: RolloutStatus) -> bool {
        let ordered = self.by_service.get(&status.service).map(|rollout| &rollout.order.version);
        let is_settled = self.is_settled(&status);
        ordered == Some(&status.version) && !is_settled && self.record_status(status)
    }

    /// Merges the time at which the first VM learned of an order, which is earlier than that of a VM that has started
    /// since.
    ///
    /// A report of an ended order is ignored, since its sender may not have learned yet that the version was ordered
    /// again. Returns whether the time is earlier than the known one by more than the delay of a message.
    pub fn merge_start_time(&mut self, status: &RolloutStatus, started_at: SystemTime) -> bool {
        let rollout = self.by_service.get_mut(&status.service);
        let rollout = rollout.filter(|rollout| rollout.order.version == status.version);
        let Some(rollout) = rollout.filter(|_| status.outcome == RolloutOutcome::Running) else { return false };
        let known = rollout.started_at;
        rollout.started_at = known.min(started_at);
        started_at + MAX_MESSAGE_DELAY < known
    }

    /// Time since the first VM learned of a service's newest order, if that is for this version.
    pub fn order_age(&self, service: &str, version: &str, now: SystemTime) -> Option<Duration> {
        let rollout = self.by_service.get(service).filter(|rollout| rollout.order.version == version)?;
        Some(now.duration_since(rollout.started_at).unwrap_or_default())
    }

    /// The status that is known to be written for a service.
    pub fn written_status(&self, service: &str) -> Option<&RolloutStatus> {
        self.statuses.get(service)
    }

    /// All statuses that are known to be written.
    pub fn statuses(&self) -> impl Iterator<Item = &RolloutStatus> {
        self.statuses.values()
    }

    /// Whether a status need not be written any more: it is written already, or the order has ended otherwise.
    pub fn is_settled(&self, status: &RolloutStatus) -> bool {
        let written = self.statuses.get(&status.service).filter(|known| known.version == status.version);
        written.is_some_and(|known| !may_replace(known.outcome, status.outcome))
    }

    /// Statuses that are known to be written, but are not among those that the store holds, since it has lost some.
    pub fn statuses_missing_from(&self, stored: &[RolloutStatus]) -> Vec<RolloutStatus> {
        let is_stored = |known: &RolloutStatus| {
            stored.iter().filter(|status| status.service == known.service).any(|status| {
                let is_same_order = status.version == known.version;
                status == known || (is_same_order && may_replace(known.outcome, status.outcome))
            })
        };
        let mut missing: Vec<RolloutStatus> =
            self.statuses.values().filter(|known| !is_stored(known)).cloned().collect();
        missing.sort_by(|a, b| a.service.cmp(&b.service));
        missing
    }

    /// Whether any roll-out is in progress.
    pub fn is_any_running(&self) -> bool {
        self.by_service.values().any(|rollout| rollout.outcome == RolloutOutcome::Running)
    }

    /// Whether any version is monitored: its roll-out is in progress, or has succeeded not long ago.
    pub fn is_any_monitored(&self, now: SystemTime) -> bool {
        self.by_service.values().any(|rollout| rollout.is_monitored(now))
    }

    /// Which versions may answer a request, within the bound on the share of a bad version.
    ///
    /// A session keeps to the version of its last request for `session_idle_timeout`. Other requests are assigned by
    /// `subject`, the request's id.
    pub fn allowed_versions(
        &self,
        service: &str,
        subject: &str,
        session: Option<&str>,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> AllowedVersions {
        let Some(rollout) = self.by_service.get(service) else { return AllowedVersions::Any };
        let new = &rollout.order.version;
        let affinity = session.and_then(|id| self.affinities.version(id, bounds.session_idle_timeout, now));
        // A session does not keep to a version that was rolled back.
        let affinity = affinity.filter(|version| !self.is_rolled_back(service, version));
        let gets_new = match (rollout.phase(bounds, session.is_some(), now), affinity) {
            (Phase::Halted, _) => false,
            (Phase::FullTraffic | Phase::Succeeded, _) => true,
            // Exactly this version, rather than any but the new one: the session may be two orders old.
            (Phase::Waiting | Phase::Trial, Some(version)) => return AllowedVersions::Only(version.clone()),
            (Phase::Waiting, None) => false,
            (Phase::Trial, None) => {
                slot_of(session.unwrap_or(subject)) < rollout.trial_slots(bounds, session.is_some())
            },
        };
        if gets_new { AllowedVersions::Only(new.clone()) } else { AllowedVersions::Not(new.clone()) }
    }

    /// Whether a request that was assigned to the new version may go to the old ones as well: the version is on trial,
    /// and the request belongs to no session that keeps to a version.
    pub fn may_use_old_versions(
        &self,
        service: &str,
        session: Option<&str>,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> bool {
        let Some(rollout) = self.by_service.get(service) else { return false };
        let is_trial = rollout.phase(bounds, session.is_some(), now) == Phase::Trial;
        let affinity = session.and_then(|id| self.affinities.version(id, bounds.session_idle_timeout, now));
        is_trial && affinity.is_none()
    }

    /// Whether a version is the new version of a service's newest order.
    pub fn is_target_version(&self, service: &str, version: &str) -> bool {
        self.by_service.get(service).is_some_and(|rollout| rollout.order.version == version)
    }

    /// The version that a live session keeps to, as far as this VM knows.
    pub fn session_version(&self, session: &str, bounds: RolloutBounds, now: SystemTime) -> Option<&SoftwareVersion> {
        self.affinities.version(session, bounds.session_idle_timeout, now)
    }

    /// Whether live sessions of a service may keep to another version than new sessions are given.
    pub fn may_have_mixed_sessions(&self, service: &str, bounds: RolloutBounds, now: SystemTime) -> bool {
        self.by_service.get(service).is_some_and(|rollout| rollout.may_have_mixed_sessions(bounds, now))
    }

    /// Time until a session ends, if the session is live.
    pub fn session_time_left(&self, session: &str, bounds: RolloutBounds, now: SystemTime) -> Option<Duration> {
        self.affinities.time_left(session, bounds.session_idle_timeout, now)
    }

    /// Whether any version may answer if no endpoint of an allowed version is left; false after a halt.
    pub fn may_use_any_version(&self, service: &str) -> bool {
        self.by_service.get(service).is_none_or(|rollout| !rollout.is_halted())
    }

    /// Whether a version gets no requests: it was halted in the newest order, or rolled back in an earlier one.
    pub fn is_halted(&self, service: &str, version: &str) -> bool {
        let is_halted = |rollout: &ServiceRollout| rollout.order.version == version && rollout.is_halted();
        self.is_rolled_back(service, version) || self.by_service.get(service).is_some_and(is_halted)
    }

    /// Whether a version was rolled back and has not been ordered again.
    pub fn is_rolled_back(&self, service: &str, version: &str) -> bool {
        self.rolled_back.get(service).is_some_and(|versions| versions.contains(version))
    }

    /// Records which version answers a session, with a request that may be in flight until `busy_until`. The session's
    /// idle time begins after it.
    pub fn begin_session_request(&mut self, session: &str, version: &str, busy_until: SystemTime, now: SystemTime) {
        self.affinities.set(session, version, busy_until, now);
    }

    /// Records that no request of a session is in flight any longer.
    pub fn mark_session_idle(&mut self, session: &str, now: SystemTime) {
        self.affinities.mark_idle(session, now);
    }

    /// Records that a request of a session has ended, which restarts the session's idle timeout.
    pub fn extend_session(&mut self, session: &str, version: &str, now: SystemTime) {
        self.affinities.extend(session, version, now);
    }

    /// Removes sessions that have been idle for longer than `session_idle_timeout`.
    pub fn prune_sessions(&mut self, session_idle_timeout: Duration, now: SystemTime) {
        self.affinities.prune(session_idle_timeout, now);
    }

    /// Sessions for the next report, in case their next requests go to other VMs: those that keep to another version
    /// than a new session would be given.
    pub fn next_session_report(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<SessionAffinity> {
        self.next_sessions(bounds, None, now)
    }

    fn next_sessions(
        &mut self,
        bounds: RolloutBounds,
        own: Option<Incarnation>,
        now: SystemTime,
    ) -> Vec<SessionAffinity> {
        let mixed: Vec<&ServiceRollout> =
            self.by_service.values().filter(|rollout| rollout.may_have_mixed_sessions(bounds, now)).collect();
        if mixed.is_empty() {
            return Vec::new();
        }
        let is_relevant = |session: &SessionId, version: &SoftwareVersion, last_used: SystemTime| {
            mixed.iter().any(|rollout| rollout.must_report_session(session, version, last_used, bounds, now))
        };
        self.affinities.next_report(is_relevant, own, bounds.session_idle_timeout, now)
    }

    /// Merges the affinity of a session that another VM reported.
    pub fn merge_session(&mut self, affinity: SessionAffinity, now: SystemTime) {
        self.affinities.merge(None, affinity, now);
    }

    /// Records that a VM sent a report, and whether it is in the failure domain of this VM, before the report is merged.
    pub fn record_sender(&mut self, from: Incarnation, is_near: bool, now: SystemTime) {
        self.affinities.record_sender(from, is_near, now);
    }

    /// Counts the outcome of an attempt at a service that this VM, of incarnation `own`, made.
    pub fn record_outcome(&mut self, service: &str, outcome: AttemptOutcome<'_>, own: Incarnation, now: SystemTime) {
        if let Some(rollout) = self.monitored(service, now) {
            rollout.record_outcome(&outcome, own, now);
        }
    }

    /// Counts a time of an attempt that is in progress, or was given up.
    pub fn record_time(&mut self, service: &str, time: AttemptTime<'_>, own: Incarnation, now: SystemTime) {
        if let Some(rollout) = self.monitored(service, now) {
            rollout.record_time(&time, own, now);
        }
    }

    fn monitored(&mut self, service: &str, now: SystemTime) -> Option<&mut ServiceRollout> {
        self.by_service.get_mut(service).filter(|rollout| rollout.is_monitored(now))
    }

    /// Merges another VM's counters; they only grow, so that older ones have no effect.
    pub fn merge_evidence(&mut self, writer: Incarnation, evidence: &RouteEvidence) {
        if let Some(rollout) = self.by_service.get_mut(&evidence.service) {
            rollout.versions.merge(writer, evidence);
        }
    }

    /// The baseline of a service's version `ordered`, for a VM that starts.
    pub fn baseline(&self, service: &str, ordered: &str) -> Vec<RouteEvidence> {
        let rollout = self.by_service.get(service).filter(|rollout| rollout.order.version == ordered);
        rollout.map(|rollout| rollout.versions.baseline()).unwrap_or_default()
    }

    /// Whether this VM has no baseline for a version that has succeeded, so that it can't evaluate the version.
    pub fn lacks_baseline(&self, now: SystemTime) -> bool {
        let mut monitored = self.by_service.values().filter(|rollout| rollout.is_monitored(now));
        monitored.any(|rollout| rollout.outcome == RolloutOutcome::Succeeded && rollout.versions.baseline().is_empty())
    }

    /// Merges the baseline of a service's version `ordered` from another VM or the store; the order itself may arrive
    /// later.
    pub fn merge_baseline(&mut self, service: &str, ordered: &str, baseline: Vec<RouteEvidence>) {
        match self.by_service.get_mut(service) {
            Some(rollout) if rollout.order.version == ordered => rollout.versions.merge_baseline(baseline),
            _ => drop(self.transferred_baselines.insert((service.to_owned(), ordered.to_owned()), baseline)),
        }
    }

    /// Summaries of the evidence on each order.
    pub fn evidence_summaries(&self, bounds: RolloutBounds, now: SystemTime) -> Vec<EvidenceSummary> {
        self.by_service.values().map(|rollout| rollout.evidence_summary(bounds, now)).collect()
    }

    /// Whether this VM, of incarnation `own`, has evidence on a new version that it has not reported yet.
    pub fn has_unreported_evidence(&self, own: Incarnation, now: SystemTime) -> bool {
        let mut monitored = self.by_service.values().filter(|rollout| rollout.is_monitored(now));
        monitored.any(|rollout| rollout.versions.has_unreported(own))
    }

    /// The next report of this VM, of incarnation `own`, within the limits of a datagram.
    pub fn next_report(&mut self, bounds: RolloutBounds, own: Incarnation, now: SystemTime) -> RolloutReport {
        let mut evidence = Vec::new();
        for rollout in self.by_service.values_mut().filter(|rollout| rollout.is_monitored(now)) {
            evidence.extend(rollout.versions.next_report(own, MAX_EVIDENCE - evidence.len(), now));
        }
        let sessions = self.next_sessions(bounds, Some(own), now);
        let states = self.statuses().take(MAX_STATES).map(|status| self.reported_rollout(status, now)).collect();
        let halts = self.by_service.values().filter_map(ServiceRollout::reported_halt).collect();
        let recent = self.by_service.values().filter_map(|rollout| rollout.reported_counts(now)).collect();
        RolloutReport { evidence, states, halts, recent, sessions }
    }

    /// A roll-out as an entry of a report.
    pub fn reported_rollout(&self, status: &RolloutStatus, now: SystemTime) -> ReportedRollout {
        ReportedRollout { status: status.clone(), age: self.order_age(&status.service, &status.version, now) }
    }

    /// Merges a report of the VM incarnation `from`. Returns the changes to the known roll-outs.
    pub fn merge_report(&mut self, from: Incarnation, report: RolloutReport, now: SystemTime) -> Vec<RolloutUpdate> {
        self.affinities.record_report(from, now);
        for evidence in &report.evidence {
            self.merge_evidence(from, evidence);
        }
        for affinity in report.sessions {
            self.affinities.merge(Some(from), affinity, now);
        }
        for reported in report.recent {
            if let Some(rollout) = self.by_service.get_mut(&reported.service) {
                rollout.merge_counts(from, reported.counts, now);
            }
        }
        let mut updates: Vec<RolloutUpdate> =
            report.states.into_iter().flat_map(|reported| self.merge_rollout(reported, now)).collect();
        updates.extend(report.halts.into_iter().filter_map(|reported| self.merge_halt(reported)));
        updates
    }

    fn merge_halt(&mut self, reported: ReportedHalt) -> Option<RolloutUpdate> {
        let rollout = self.by_service.get_mut(&reported.service)?;
        let is_new = rollout.order.version == reported.version && rollout.merge_halt(reported.reason);
        is_new.then_some(RolloutUpdate::Halt(reported))
    }

    fn merge_rollout(&mut self, reported: ReportedRollout, now: SystemTime) -> Vec<RolloutUpdate> {
        let ReportedRollout { status, age } = reported;
        let mut updates = Vec::new();
        let started_at = age.and_then(|age| Some((age, now.checked_sub(age)?)));
        if let Some((age, started_at)) = started_at
            && self.merge_start_time(&status, started_at)
        {
            updates.push(RolloutUpdate::EarlierStart { status: status.clone(), age });
        }
        if self.merge_status(status.clone()) {
            updates.push(RolloutUpdate::State(status));
        }
        updates
    }

    /// Evaluates the evidence on all versions. Returns the versions that were halted by it.
    pub fn evaluate(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<ReportedHalt> {
        self.by_service.values_mut().filter_map(|rollout| rollout.evaluate(bounds, now)).collect()
    }

    /// Evaluates the evidence on all versions, and returns the statuses that should be written now.
    pub fn status_updates(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<StatusUpdate> {
        self.evaluate(bounds, now);
        let monitored = self.by_service.values().filter(|rollout| rollout.is_monitored(now));
        monitored
            .filter_map(|rollout| rollout.status_update(self.written_status(&rollout.order.service), now))
            .collect()
    }
}

/// Whether an outcome may replace another one: terminal outcomes are final, except that a version which has succeeded
/// may still be rolled back.
fn may_replace(before: RolloutOutcome, after: RolloutOutcome) -> bool {
    matches!(
        (before, after),
        (RolloutOutcome::Running, RolloutOutcome::Succeeded | RolloutOutcome::RolledBack)
            | (RolloutOutcome::Succeeded, RolloutOutcome::RolledBack)
    )
}
