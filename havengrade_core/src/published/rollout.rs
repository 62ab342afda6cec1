//! Roll-outs of a service's software: which requests go to the new version, and when it is judged.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

pub use crate::published::{
    judgement::Halt,
    order::{RolloutOrder, RolloutOutcome, RolloutStatus},
    pins::{KeptSession, SessionMark},
    running::{RolloutBounds, Verdict},
    sample::{Failure, Sample, TimeNote, TimeOf},
    seen::{KIND_SEPARATOR, RouteEvidence, Seen},
    told::{Learned, RolloutNews, ToldHalt, ToldRecent, ToldRollout},
};
use crate::{
    ids::{Incarnation, ServiceId, SessionId},
    published::{
        directory::SoftwareVersion,
        grounds::Grounds,
        pins::Pins,
        running::{Phase, Running, place},
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
    by_service: HashMap<ServiceId, Running>,
    statuses: HashMap<ServiceId, RolloutStatus>,
    /// Versions that were rolled back and not ordered again since; a later order does not make them good.
    barred: HashMap<ServiceId, HashSet<SoftwareVersion>>,
    /// What another VM told of the versions before orders that this VM has not learned of yet.
    handed: HashMap<(ServiceId, SoftwareVersion), Vec<RouteEvidence>>,
    pins: Pins,
    has_old_orders: bool,
    are_statuses_read: bool,
}

/// Which versions of a service may answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// All.
    Any,
    /// Only this one.
    Only(SoftwareVersion),
    /// All but this one.
    Not(SoftwareVersion),
}

impl Allowed {
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
    pub fn order(&mut self, order: RolloutOrder, now: SystemTime) -> bool {
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
        let mut running = Running::new(order, outcome, now);
        running.replaces = replaced.map(|before| before.order.version.clone());
        running.versions.take_usual(handed.unwrap_or_default());
        self.by_service.insert(running.order.service.clone(), running);
        true
    }

    /// Notes that some orders stood there before this VM started, so that they may have ended since.
    pub fn set_old_orders(&mut self) {
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
    pub fn note_status(&mut self, status: RolloutStatus) -> bool {
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
    pub fn learn_status(&mut self, status: RolloutStatus) -> bool {
        let ordered = self.by_service.get(&status.service).map(|running| &running.order.version);
        let is_settled = self.is_settled(&status);
        ordered == Some(&status.version) && !is_settled && self.note_status(status)
    }

    /// Takes from another VM when the first one learned of an order; a VM that started since learned of it later.
    ///
    /// A VM to which the order has ended may not have heard yet that the version was ordered again, and is not
    /// believed. Tells whether the time differs from what was known by more than a message may be under way.
    pub fn learn_beginning(&mut self, told: &RolloutStatus, began: SystemTime) -> bool {
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
    pub fn missing_in(&self, there: &[RolloutStatus]) -> Vec<RolloutStatus> {
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
    pub fn is_any_watched(&self, now: SystemTime) -> bool {
        self.by_service.values().any(|running| running.is_watched(now))
    }

    /// Which versions may answer a request, for a bound on the share of a bad version.
    ///
    /// `subject` is the request's id, or that of its session, which keeps to the version of its last
    /// request for `session_time`.
    pub fn allowed(
        &self,
        service: &str,
        subject: &str,
        session: Option<&str>,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> Allowed {
        let Some(running) = self.by_service.get(service) else { return Allowed::Any };
        let new = &running.order.version;
        let pinned = session.and_then(|id| self.pins.version(id, bounds.session_time, now));
        // A session leaves a version that was rolled back.
        let pinned = pinned.filter(|version| !self.is_barred(service, version));
        let takes_new = match (running.phase(bounds, session.is_some(), now), pinned) {
            (Phase::Halted, _) => false,
            (Phase::TakeOver | Phase::Succeeded, _) => true,
            // Not just any version but the new one: an order may have replaced this one since, and another begun.
            (Phase::Waiting | Phase::Trial, Some(version)) => return Allowed::Only(version.clone()),
            (Phase::Waiting, None) => false,
            (Phase::Trial, None) => place(session.unwrap_or(subject)) < running.slots(bounds, session.is_some()),
        };
        if takes_new { Allowed::Only(new.clone()) } else { Allowed::Not(new.clone()) }
    }

    /// Whether a request may go to the old versions as well as to the one that is tried: its order is under way, and no session of its
    /// own keeps the request to a version.
    pub fn may_leave_trial(
        &self,
        service: &str,
        session: Option<&str>,
        bounds: RolloutBounds,
        now: SystemTime,
    ) -> bool {
        let Some(running) = self.by_service.get(service) else { return false };
        let is_trial = running.phase(bounds, session.is_some(), now) == Phase::Trial;
        let pinned = session.and_then(|id| self.pins.version(id, bounds.session_time, now));
        is_trial && pinned.is_none()
    }

    /// Whether a version is the one of a service's newest order.
    pub fn is_ordered(&self, service: &str, version: &str) -> bool {
        self.by_service.get(service).is_some_and(|running| running.order.version == version)
    }

    /// The version that a live session keeps to, as far as this VM knows.
    pub fn session_version(&self, session: &str, bounds: RolloutBounds, now: SystemTime) -> Option<&SoftwareVersion> {
        self.pins.version(session, bounds.session_time, now)
    }

    /// Whether live sessions of a service may keep to another version than new ones are given.
    pub fn has_unsettled_sessions(&self, service: &str, bounds: RolloutBounds, now: SystemTime) -> bool {
        self.by_service.get(service).is_some_and(|running| running.moves_sessions(bounds, now))
    }

    /// Time until a session ends, if it is live.
    pub fn session_left(&self, session: &str, bounds: RolloutBounds, now: SystemTime) -> Option<Duration> {
        self.pins.left(session, bounds.session_time, now)
    }

    /// Whether any version may answer where none of the allowed ones is left; one that was found bad never may.
    pub fn may_take_any(&self, service: &str) -> bool {
        self.by_service.get(service).is_none_or(|running| !running.is_halted())
    }

    /// Whether a version gets nothing: it was found to be bad, now or in an earlier order.
    pub fn is_bad(&self, service: &str, version: &str) -> bool {
        let is_halted = |running: &Running| running.order.version == version && running.is_halted();
        self.is_barred(service, version) || self.by_service.get(service).is_some_and(is_halted)
    }

    /// Whether a version was rolled back and has not been ordered again.
    pub fn is_barred(&self, service: &str, version: &str) -> bool {
        self.barred.get(service).is_some_and(|barred| barred.contains(version))
    }

    /// Notes which version answers a session, with a request that may be in progress until `busy_until`; the session's pause begins only
    /// after it.
    pub fn begin_request(&mut self, session: &str, version: &str, busy_until: SystemTime, now: SystemTime) {
        self.pins.pin(session, version, busy_until, now);
    }

    /// Notes that no request of a session is in progress any longer.
    pub fn end_session_request(&mut self, session: &str, now: SystemTime) {
        self.pins.end(session, now);
    }

    /// Notes that a request of a session has ended, from when its pause counts.
    pub fn end_request(&mut self, session: &str, version: &str, now: SystemTime) {
        self.pins.touch(session, version, now);
    }

    /// Forgets sessions that rested for longer than `session_time`.
    pub fn prune(&mut self, session_time: Duration, now: SystemTime) {
        self.pins.prune(session_time, now);
    }

    /// Sessions of which other VMs are to know, for the case that their next requests go there: those whose version is another one than they
    /// would be given as new ones.
    pub fn tell_sessions(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<KeptSession> {
        let unsettled: Vec<&Running> =
            self.by_service.values().filter(|running| running.moves_sessions(bounds, now)).collect();
        if unsettled.is_empty() {
            return Vec::new();
        }
        let is_wanted = |session: &SessionId, version: &SoftwareVersion| {
            unsettled.iter().any(|running| running.surprises(session, version, bounds, now))
        };
        self.pins.tell(is_wanted, MAX_SESSIONS, bounds.session_time, now)
    }

    /// Takes what another VM tells of a session.
    pub fn hear_session(&mut self, kept: KeptSession, now: SystemTime) {
        self.pins.hear(kept, now);
    }

    /// Counts the end of a try at a service that this VM, of run `own`, made.
    pub fn note(&mut self, service: &str, sample: Sample<'_>, own: Incarnation, now: SystemTime) {
        if let Some(running) = self.watched(service, now) {
            running.note(&sample, own, now);
        }
    }

    /// Counts a time of a try that is under way, or was given up.
    pub fn note_time(&mut self, service: &str, note: TimeNote<'_>, own: Incarnation, now: SystemTime) {
        if let Some(running) = self.watched(service, now) {
            running.note_time(&note, own, now);
        }
    }

    fn watched(&mut self, service: &str, now: SystemTime) -> Option<&mut Running> {
        self.by_service.get_mut(service).filter(|running| running.is_watched(now))
    }

    /// Takes another VM's counters; they only grow, so older ones have no effect.
    pub fn merge(&mut self, writer: Incarnation, evidence: &RouteEvidence) {
        if let Some(running) = self.by_service.get_mut(&evidence.service) {
            running.versions.merge(writer, evidence);
        }
    }

    /// What is known of the version that a service had before the order of another one, for a VM that starts.
    pub fn usual(&self, service: &str, ordered: &str) -> Vec<RouteEvidence> {
        let running = self.by_service.get(service).filter(|running| running.order.version == ordered);
        running.map(|running| running.versions.usual()).unwrap_or_default()
    }

    /// Whether a version has succeeded of whose predecessor this VM knows nothing, so that it can't be judged well.
    pub fn lacks_usual(&self, now: SystemTime) -> bool {
        let mut watched = self.by_service.values().filter(|running| running.is_watched(now));
        watched.any(|running| running.outcome == RolloutOutcome::Succeeded && running.versions.usual().is_empty())
    }

    /// Takes what another VM knows of the version that a service had before the order of another one; the order itself may
    /// come later.
    pub fn take_usual(&mut self, service: &str, ordered: &str, usual: Vec<RouteEvidence>) {
        match self.by_service.get_mut(service) {
            Some(running) if running.order.version == ordered => running.versions.take_usual(usual),
            _ => drop(self.handed.insert((service.to_owned(), ordered.to_owned()), usual)),
        }
    }

    /// What this VM's judgement of each order rests on.
    pub fn grounds(&self, bounds: RolloutBounds, now: SystemTime) -> Vec<Grounds> {
        self.by_service.values().map(|running| running.grounds(bounds, now)).collect()
    }

    /// Whether a VM of run `own` saw something of a new version that the others were not told yet.
    pub fn has_news(&self, own: Incarnation, now: SystemTime) -> bool {
        let mut watched = self.by_service.values().filter(|running| running.is_watched(now));
        watched.any(|running| running.versions.has_news(own))
    }

    /// What a VM of run `own` tells the others, in a datagram's limits.
    pub fn news(&mut self, bounds: RolloutBounds, own: Incarnation, now: SystemTime) -> RolloutNews {
        let mut evidence = Vec::new();
        for running in self.by_service.values_mut().filter(|running| running.is_watched(now)) {
            evidence.extend(running.versions.tell(own, MAX_EVIDENCE - evidence.len(), now));
        }
        let sessions = self.tell_sessions(bounds, now);
        let states = self.statuses().take(MAX_STATES).map(|status| self.told(status, now)).collect();
        let halts = self.by_service.values().filter_map(Running::told_halt).collect();
        let recent = self.by_service.values().filter_map(|running| running.tell_recent(now)).collect();
        RolloutNews { evidence, states, halts, recent, sessions }
    }

    /// How a roll-out stands, as other VMs are told.
    pub fn told(&self, status: &RolloutStatus, now: SystemTime) -> ToldRollout {
        ToldRollout { status: status.clone(), age: self.order_age(&status.service, &status.version, now) }
    }

    /// Takes what a VM's run `from` tells; gives what was not known before.
    pub fn hear(&mut self, from: Incarnation, news: RolloutNews, now: SystemTime) -> Vec<Learned> {
        for seen in &news.evidence {
            self.merge(from, seen);
        }
        for kept in news.sessions {
            self.hear_session(kept, now);
        }
        for told in news.recent {
            if let Some(running) = self.by_service.get_mut(&told.service) {
                running.hear_recent(from, told.seen, now);
            }
        }
        let mut learned: Vec<Learned> = news.states.into_iter().flat_map(|told| self.hear_state(told, now)).collect();
        learned.extend(news.halts.into_iter().filter_map(|told| self.hear_halt(told)));
        learned
    }

    fn hear_halt(&mut self, told: ToldHalt) -> Option<Learned> {
        let running = self.by_service.get_mut(&told.service)?;
        let is_news = running.order.version == told.version && running.learn_halt(told.halt);
        is_news.then_some(Learned::Halt(told))
    }

    fn hear_state(&mut self, told: ToldRollout, now: SystemTime) -> Vec<Learned> {
        let ToldRollout { status, age } = told;
        let mut learned = Vec::new();
        let began = age.and_then(|age| Some((age, now.checked_sub(age)?)));
        if let Some((age, began)) = began
            && self.learn_beginning(&status, began)
        {
            learned.push(Learned::Beginning { status: status.clone(), age });
        }
        if self.learn_status(status.clone()) {
            learned.push(Learned::State(status));
        }
        learned
    }

    /// Judges all versions by what is known now; tells which ones are to get nothing more from now on.
    pub fn judge(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<ToldHalt> {
        self.by_service.values_mut().filter_map(|running| running.judge(bounds, now)).collect()
    }

    /// Judges all versions, and tells what should be written now.
    pub fn verdicts(&mut self, bounds: RolloutBounds, now: SystemTime) -> Vec<Verdict> {
        self.judge(bounds, now);
        let watched = self.by_service.values().filter(|running| running.is_watched(now));
        watched.filter_map(|running| running.verdict(self.written(&running.order.service), now)).collect()
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
