//! Roll-outs of a service's software: which requests go to the new version, and when it is judged.

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
        service_rollout::{Phase, ServiceRollout, place},
        session_affinity::AffinityTable,
    },
};

/// Time that a message between VMs may be under way.
const MESSAGE_TIME: Duration = Duration::from_millis(500);
/// Counters that a VM's news name, each of a version on a route with a model; the others come with the next news.
const MAX_EVIDENCE: usize = 16;
/// Sessions that news name.
const MAX_SESSIONS: usize = 48;
/// States of roll-outs that news name.
const MAX_STATES: usize = 4;

/// The roll-outs of all services and the sessions that keep to a version.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    by_service: HashMap<ServiceId, ServiceRollout>,
    statuses: HashMap<ServiceId, RolloutStatus>,
    /// VersionComparison that were rolled back and not ordered again since; a later order does not make them good.
    barred: HashMap<ServiceId, HashSet<SoftwareVersion>>,
    /// What another VM told of the versions before orders that this VM has not learned of yet.
    handed: HashMap<(ServiceId, SoftwareVersion), Vec<RouteEvidence>>,
    pins: AffinityTable,
    has_old_orders: bool,
    are_statuses_read: bool,
}

/// Which versions of a service may answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedVersions {
    /// All.
    Any,
    /// Only this one.
    Only(SoftwareVersion),
    /// All but this one.
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
    /// Takes an operator's order that was learned of at `now`; tells whether it is a new one.
    pub fn add_order(&mut self, order: RolloutOrder, now: SystemTime) -> bool {
        if self.by_service.get(&order.service).is_some_and(|running| running.order == order) {
            return false;
        }
        let written = self.statuses.get(&order.service).filter(|status| status.version == order.version);
        let outcome = written.map_or(RolloutOutcome::Running, |status| status.outcome);
        if outcome != RolloutOutcome::RolledBack
            && let Some(barred) = self.barred.get_mut(&order.service)
        {
            barred.remove(&order.version);
        }
        let handed = self.handed.remove(&(order.service.clone(), order.version.clone()));
        let before = self.by_service.get(&order.service);
        let replaced = before.filter(|before| before.outcome == RolloutOutcome::Succeeded);
        let mut running = ServiceRollout::new(order, outcome, now);
        running.replaces = replaced.map(|before| before.order.version.clone());
        running.versions.merge_baseline(handed.unwrap_or_default());
        self.by_service.insert(running.order.service.clone(), running);
        true
    }

    /// Notes that some orders stood there before this VM started, so that they may have ended since.
    pub fn set_has_earlier_orders(&mut self) {
        self.has_old_orders = true;
    }

    /// Notes that all written statuses were read.
    pub fn set_statuses_read(&mut self) {
        self.are_statuses_read = true;
    }

    /// Whether orders stood there before this VM started of which it does not know yet how they ended.
    ///
    /// Of later orders, other VMs tell how they stand.
    pub fn needs_statuses(&self) -> bool {
        self.has_old_orders && !self.are_statuses_read
    }

    /// The newest order of each service.
    pub fn orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.by_service.values().map(|running| &running.order)
    }

    /// Takes a written status; tells whether it changes what is known. An end stands.
    pub fn record_status(&mut self, status: RolloutStatus) -> bool {
        let known = self.statuses.get(&status.service).filter(|known| known.version == status.version);
        if known.is_some_and(|known| !follows(known.outcome, status.outcome)) {
            return false;
        }
        if let Some(running) = self.by_service.get_mut(&status.service)
            && running.order.version == status.version
            && follows(running.outcome, status.outcome)
        {
            running.outcome = status.outcome;
        }
        if status.outcome == RolloutOutcome::RolledBack {
            self.barred.entry(status.service.clone()).or_default().insert(status.version.clone());
        }
        self.statuses.insert(status.service.clone(), status);
        true
    }

    /// Takes a status that another VM says is written; tells whether it changes what is known.
    ///
    /// VMs learn at different times, so one that says "under way" does not undo an end that is known, and one
    /// of another order says nothing.
    pub fn merge_status(&mut self, status: RolloutStatus) -> bool {
        let ordered = self.by_service.get(&status.service).map(|running| &running.order.version);
        let is_settled = self.is_settled(&status);
        ordered == Some(&status.version) && !is_settled && self.record_status(status)
    }

    /// Takes from another VM when the first one learned of an order; a VM that started since learned of it later.
    ///
    /// A VM to which the order has ended may not have heard yet that the version was ordered again, and is not
    /// believed. Tells whether the time differs from what was known by more than a message may be under way.
    pub fn merge_start_time(&mut self, told: &RolloutStatus, began: SystemTime) -> bool {
        let running = self.by_service.get_mut(&told.service);
        let running = running.filter(|running| running.order.version == told.version);
        let Some(running) = running.filter(|_| told.outcome == RolloutOutcome::Running) else { return false };
        let known = running.began;
        running.began = known.min(began);
        began + MESSAGE_TIME < known
    }

    /// Time since the first VM learned of a service's newest order, where it is for this version.
    pub fn order_age(&self, service: &str, version: &str, now: SystemTime) -> Option<Duration> {
        let running = self.by_service.get(service).filter(|running| running.order.version == version)?;
        Some(now.duration_since(running.began).unwrap_or_default())
    }

    /// The status that is known to be written for a service.
    pub fn written(&self, service: &str) -> Option<&RolloutStatus> {
        self.statuses.get(service)
    }

    /// All statuses that are known to be written.
    pub fn statuses(&self) -> impl Iterator<Item = &RolloutStatus> {
        self.statuses.values()
    }

    /// Whether a status needs no more writing: it stands there, or the order has ended another way.
    pub fn is_settled(&self, status: &RolloutStatus) -> bool {
        let written = self.statuses.get(&status.service).filter(|known| known.version == status.version);
        written.is_some_and(|known| !follows(known.outcome, status.outcome))
    }

    /// Statuses that are known to be written, and that a store which has lost some does not hold any more.
    pub fn statuses_missing_from(&self, there: &[RolloutStatus]) -> Vec<RolloutStatus> {
        let stands = |known: &RolloutStatus| {
            there.iter().filter(|status| status.service == known.service).any(|status| {
                let is_same_order = status.version == known.version;
                status == known || (is_same_order && follows(known.outcome, status.outcome))
            })
        };
        let mut missing: Vec<RolloutStatus> = self.statuses.values().filter(|known| !stands(known)).cloned().collect();
        missing.sort_by(|a, b| a.service.cmp(&b.service));
        missing
    }

    /// Whether any order is still under way.
    pub fn is_any_running(&self) -> bool {
        self.by_service.values().any(|running| running.outcome == RolloutOutcome::Running)
    }

    /// Whether any version is judged: its order is under way, or it has succeeded not long ago.
    pub fn is_any_monitored(&self, now: SystemTime) -> bool {
        self.by_service.values().any(|running| running.is_watched(now))
    }

    /// Which versions may answer a request, for a bound on the share of a bad version.
    ///
    /// `subject` is the request's id, or that of its session, which keeps to the version of its last
    /// request for `session_idle_timeout`.
    pub fn allowed_versions(
        &self,
        service: &str,
        subject: &str,
        session: Option<&str>,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> AllowedVersions {
        let Some(running) = self.by_service.get(service) else { return AllowedVersions::Any };
        let new = &running.order.version;
        let pinned = session.and_then(|id| self.pins.version(id, bounds.session_idle_timeout, now));
        // A session leaves a version that was rolled back.
        let pinned = pinned.filter(|version| !self.is_rolled_back(service, version));
        let takes_new = match (running.phase(bounds, session.is_some(), now), pinned) {
            (Phase::Halted, _) => false,
            (Phase::TakeOver | Phase::Succeeded, _) => true,
            // Not just any version but the new one: an order may have replaced this one since, and another begun.
            (Phase::Waiting | Phase::Trial, Some(version)) => return AllowedVersions::Only(version.clone()),
            (Phase::Waiting, None) => false,
            (Phase::Trial, None) => place(session.unwrap_or(subject)) < running.slots(bounds, session.is_some()),
        };
        if takes_new { AllowedVersions::Only(new.clone()) } else { AllowedVersions::Not(new.clone()) }
    }

    /// Whether a request may go to the old versions as well as to the one that is tried: its order is under way, and no session of its
    /// own keeps the request to a version.
    pub fn may_use_old_versions(
        &self,
        service: &str,
        session: Option<&str>,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> bool {
        let Some(running) = self.by_service.get(service) else { return false };
        let is_trial = running.phase(bounds, session.is_some(), now) == Phase::Trial;
        let pinned = session.and_then(|id| self.pins.version(id, bounds.session_idle_timeout, now));
        is_trial && pinned.is_none()
    }

    /// Whether a version is the one of a service's newest order.
    pub fn is_target_version(&self, service: &str, version: &str) -> bool {
        self.by_service.get(service).is_some_and(|running| running.order.version == version)
    }

    /// The version that a live session keeps to, as far as this VM knows.
    pub fn session_version(&self, session: &str, bounds: RolloutBounds, now: SystemTime) -> Option<&SoftwareVersion> {
        self.pins.version(session, bounds.session_idle_timeout, now)
    }

    /// Whether live sessions of a service may keep to another version than new ones are given.
    pub fn may_have_mixed_sessions(&self, service: &str, bounds: RolloutBounds, now: SystemTime) -> bool {
        self.by_service.get(service).is_some_and(|running| running.moves_sessions(bounds, now))
    }

    /// Time until a session ends, if it is live.
    pub fn session_time_left(&self, session: &str, bounds: RolloutBounds, now: SystemTime) -> Option<Duration> {
        self.pins.left(session, bounds.session_idle_timeout, now)
    }

    /// Whether any version may answer where none of the allowed ones is left; one that was found bad never may.
    pub fn may_use_any_version(&self, service: &str) -> bool {
        self.by_service.get(service).is_none_or(|running| !running.is_halted())
    }

    /// Whether a version gets nothing: it was found to be bad, now or in an earlier order.
    pub fn is_halted(&self, service: &str, version: &str) -> bool {
        let is_halted = |running: &ServiceRollout| running.order.version == version && running.is_halted();
        self.is_rolled_back(service, version) || self.by_service.get(service).is_some_and(is_halted)
    }

    /// Whether a version was rolled back and has not been ordered again.
    pub fn is_rolled_back(&self, service: &str, version: &str) -> bool {
        self.barred.get(service).is_some_and(|barred| barred.contains(version))
    }

    /// Notes which version answers a session, with a request that may be in progress until `busy_until`; the session's pause begins only
    /// after it.
    pub fn begin_session_request(&mut self, session: &str, version: &str, busy_until: SystemTime, now: SystemTime) {
        self.pins.pin(session, version, busy_until, now);
    }

    /// Notes that no request of a session is in progress any longer.
    pub fn mark_session_idle(&mut self, session: &str, now: SystemTime) {
        self.pins.end(session, now);
    }

    /// Notes that a request of a session has ended, from when its pause counts.
    pub fn extend_session(&mut self, session: &str, version: &str, now: SystemTime) {
        self.pins.touch(session, version, now);
    }

    /// Forgets sessions that rested for longer than `session_idle_timeout`.
    pub fn prune_sessions(&mut self, session_idle_timeout: Duration, now: SystemTime) {
        self.pins.prune(session_idle_timeout, now);
    }

    /// Sessions of which other VMs are to know, for the case that their next requests go there: those whose version is another one than they
    /// would be given as new ones.
    pub fn next_session_report(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<SessionAffinity> {
        let unsettled: Vec<&ServiceRollout> =
            self.by_service.values().filter(|running| running.moves_sessions(bounds, now)).collect();
        if unsettled.is_empty() {
            return Vec::new();
        }
        let is_wanted = |session: &SessionId, version: &SoftwareVersion| {
            unsettled.iter().any(|running| running.surprises(session, version, bounds, now))
        };
        self.pins.tell(is_wanted, MAX_SESSIONS, bounds.session_idle_timeout, now)
    }

    /// Takes what another VM tells of a session.
    pub fn merge_session(&mut self, kept: SessionAffinity, now: SystemTime) {
        self.pins.hear(kept, now);
    }

    /// Counts the end of a try at a service that this VM, of run `own`, made.
    pub fn record_outcome(&mut self, service: &str, sample: AttemptOutcome<'_>, own: Incarnation, now: SystemTime) {
        if let Some(running) = self.watched(service, now) {
            running.note(&sample, own, now);
        }
    }

    /// Counts a time of a try that is under way, or was given up.
    pub fn record_time(&mut self, service: &str, note: AttemptTime<'_>, own: Incarnation, now: SystemTime) {
        if let Some(running) = self.watched(service, now) {
            running.note_time(&note, own, now);
        }
    }

    fn watched(&mut self, service: &str, now: SystemTime) -> Option<&mut ServiceRollout> {
        self.by_service.get_mut(service).filter(|running| running.is_watched(now))
    }

    /// Takes another VM's counters; they only grow, so older ones have no effect.
    pub fn merge_evidence(&mut self, writer: Incarnation, evidence: &RouteEvidence) {
        if let Some(running) = self.by_service.get_mut(&evidence.service) {
            running.versions.merge(writer, evidence);
        }
    }

    /// What is known of the version that a service had before the order of another one, for a VM that starts.
    pub fn baseline(&self, service: &str, ordered: &str) -> Vec<RouteEvidence> {
        let running = self.by_service.get(service).filter(|running| running.order.version == ordered);
        running.map(|running| running.versions.usual()).unwrap_or_default()
    }

    /// Whether a version has succeeded of whose predecessor this VM knows nothing, so that it can't be judged well.
    pub fn lacks_baseline(&self, now: SystemTime) -> bool {
        let mut watched = self.by_service.values().filter(|running| running.is_watched(now));
        watched.any(|running| running.outcome == RolloutOutcome::Succeeded && running.versions.usual().is_empty())
    }

    /// Takes what another VM knows of the version that a service had before the order of another one; the order itself may
    /// come later.
    pub fn merge_baseline(&mut self, service: &str, ordered: &str, usual: Vec<RouteEvidence>) {
        match self.by_service.get_mut(service) {
            Some(running) if running.order.version == ordered => running.versions.merge_baseline(usual),
            _ => drop(self.handed.insert((service.to_owned(), ordered.to_owned()), usual)),
        }
    }

    /// What this VM's judgement of each order rests on.
    pub fn evidence_summaries(&self, bounds: RolloutBounds, now: SystemTime) -> Vec<EvidenceSummary> {
        self.by_service.values().map(|running| running.evidence_summary(bounds, now)).collect()
    }

    /// Whether a VM of run `own` saw something of a new version that the others were not told yet.
    pub fn has_unreported_evidence(&self, own: Incarnation, now: SystemTime) -> bool {
        let mut watched = self.by_service.values().filter(|running| running.is_watched(now));
        watched.any(|running| running.versions.has_news(own))
    }

    /// What a VM of run `own` tells the others, in a datagram's limits.
    pub fn next_report(&mut self, bounds: RolloutBounds, own: Incarnation, now: SystemTime) -> RolloutReport {
        let mut evidence = Vec::new();
        for running in self.by_service.values_mut().filter(|running| running.is_watched(now)) {
            evidence.extend(running.versions.tell(own, MAX_EVIDENCE - evidence.len(), now));
        }
        let sessions = self.next_session_report(bounds, now);
        let states = self.statuses().take(MAX_STATES).map(|status| self.reported_rollout(status, now)).collect();
        let halts = self.by_service.values().filter_map(ServiceRollout::told_halt).collect();
        let recent = self.by_service.values().filter_map(|running| running.tell_recent(now)).collect();
        RolloutReport { evidence, states, halts, recent, sessions }
    }

    /// How a roll-out stands, as other VMs are told.
    pub fn reported_rollout(&self, status: &RolloutStatus, now: SystemTime) -> ReportedRollout {
        ReportedRollout { status: status.clone(), age: self.order_age(&status.service, &status.version, now) }
    }

    /// Takes what a VM's run `from` tells; gives what was not known before.
    pub fn merge_report(&mut self, from: Incarnation, news: RolloutReport, now: SystemTime) -> Vec<RolloutUpdate> {
        for seen in &news.evidence {
            self.merge_evidence(from, seen);
        }
        for kept in news.sessions {
            self.merge_session(kept, now);
        }
        for told in news.recent {
            if let Some(running) = self.by_service.get_mut(&told.service) {
                running.hear_recent(from, told.counts, now);
            }
        }
        let mut learned: Vec<RolloutUpdate> =
            news.states.into_iter().flat_map(|told| self.hear_state(told, now)).collect();
        learned.extend(news.halts.into_iter().filter_map(|told| self.hear_halt(told)));
        learned
    }

    fn hear_halt(&mut self, told: ReportedHalt) -> Option<RolloutUpdate> {
        let running = self.by_service.get_mut(&told.service)?;
        let is_news = running.order.version == told.version && running.learn_halt(told.reason);
        is_news.then_some(RolloutUpdate::Halt(told))
    }

    fn hear_state(&mut self, told: ReportedRollout, now: SystemTime) -> Vec<RolloutUpdate> {
        let ReportedRollout { status, age } = told;
        let mut learned = Vec::new();
        let began = age.and_then(|age| Some((age, now.checked_sub(age)?)));
        if let Some((age, began)) = began
            && self.merge_start_time(&status, began)
        {
            learned.push(RolloutUpdate::EarlierStart { status: status.clone(), age });
        }
        if self.merge_status(status.clone()) {
            learned.push(RolloutUpdate::State(status));
        }
        learned
    }

    /// Judges all versions by what is known now; tells which ones are to get nothing more from now on.
    pub fn evaluate(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<ReportedHalt> {
        self.by_service.values_mut().filter_map(|running| running.judge(bounds, now)).collect()
    }

    /// Judges all versions, and tells what should be written now.
    pub fn status_updates(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<StatusUpdate> {
        self.evaluate(bounds, now);
        let watched = self.by_service.values().filter(|running| running.is_watched(now));
        watched.filter_map(|running| running.status_update(self.written(&running.order.service), now)).collect()
    }
}

/// Whether an outcome may come after another one: an end stands, but a version that has succeeded may still turn bad.
fn follows(before: RolloutOutcome, after: RolloutOutcome) -> bool {
    matches!(
        (before, after),
        (RolloutOutcome::Running, RolloutOutcome::Succeeded | RolloutOutcome::RolledBack)
            | (RolloutOutcome::Succeeded, RolloutOutcome::RolledBack)
    )
}
