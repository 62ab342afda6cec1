//! Roll-outs of a service's software: which requests go to the new version, and when it is judged.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, SystemTime},
};

pub use crate::published::order::{RolloutOrder, RolloutOutcome, RolloutStatus};
use crate::{
    evidence::{Evidence, Subject, Tally},
    ids::{Incarnation, ServiceId, SessionId},
    published::{
        directory::SoftwareVersion,
        odds::{Bets, odds_of},
        route::RouteId,
    },
    secret::spread,
};

/// Part of the bound on a bad version that is used; the rest is for sessions that ask more than others.
const USED_BOUND: f64 = 0.87;
/// Part of an order's time, as a part of the bound, at whose end the new version takes all requests.
///
/// Some versions are bad only under the load of all requests. What is left of the bound is for the trial
/// before, so that what a bad version gets until its order's time is over stays under the bound.
const TAKE_OVER: f64 = 0.45;
/// Time before the deadline at which the end is written; 0.3 s before it was measured to be too late, since
/// operators look only now and then.
const WRITE_AHEAD: Duration = Duration::from_millis(800);
/// Logarithm of the odds against "as good as the old one" at which a version is rolled back.
///
/// A version as good as the old one reaches it in one roll-out out of twenty (Ville's inequality). One that is
/// rolled back by mistake is ordered again; one that is let through by mistake fails its callers.
const HALT_ODDS: f64 = 3.0;
/// Time after an order from which sessions try the new version: until then VMs tell each other which sessions
/// keep to the old one.
const SESSION_WAIT: Duration = Duration::from_secs(2);
/// Time that a message between VMs may be under way.
const MESSAGE_TIME: Duration = Duration::from_millis(500);
/// Slots of a share; subjects fall evenly on them.
const SLOTS: u64 = 10_000;

/// What a session is known by between VMs.
pub type SessionMark = u64;

/// How far a new version is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is about to be rolled back.
    Halted,
    /// It gets nothing yet.
    Waiting,
    /// Some subjects try it.
    Trial,
    /// It gets everything.
    TakeOver,
}

/// A roll-out as this VM sees it.
#[derive(Clone, Debug)]
struct Running {
    order: RolloutOrder,
    /// When this VM learned of the order.
    since: SystemTime,
    /// When the first VM learned of it, as far as is known; its time counts from then.
    began: SystemTime,
    outcome: RolloutOutcome,
    /// What all VMs saw, by route and version; all versions but the new one count as `OLD`.
    evidence: Evidence,
    /// Smoothed logarithm of the old version's time to the first byte here, in milliseconds by size of the work.
    old_latency: HashMap<RouteId, f64>,
}

/// Stands for all versions but the new one in evidence.
const OLD: &str = "";

/// A VM's counters for a version of a service on a route, since the roll-out was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEvidence {
    /// The service.
    pub service: ServiceId,
    /// The new version, or an empty text for all others.
    pub version: SoftwareVersion,
    /// The route.
    pub route: RouteId,
    /// Answers.
    pub ended: u64,
    /// Answers that failed or were slow.
    pub failed: u64,
}

/// Weight of a new measurement in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// An answer this many times slower than the old version's usual counts as bad; the old version's own slow
/// answers count as well, so the factor need not be sure.
const SLOW_FACTOR: f64 = 2.5;

/// Stands in a sample's kind between the route and the model.
pub const KIND_SEPARATOR: char = '/';
/// Stands behind a kind where slow answers are counted instead of failed ones.
///
/// They are counted apart: a service whose answers are often slow, as with prompts that are not cached, would
/// otherwise hide that a new version fails.
const SLOWNESS: &str = "//slow";

/// How an answer of a version turned out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<'a> {
    /// What its time is compared with: the route, and the model where it has several.
    pub kind: &'a str,
    /// Version that answered.
    pub version: &'a str,
    /// Whether it failed: an error of the endpoint or an answer broken off.
    pub failed: bool,
    /// Time to the first byte, where one came.
    pub latency: Option<Duration>,
    /// Size of the work, to which the time is usually in proportion; 1 for a plain request.
    pub size: f64,
}

/// What should be written for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The status to write.
    pub status: RolloutStatus,
    /// Why, for the log.
    pub reason: &'static str,
}

/// The roll-outs of all services and the sessions that keep to a version.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    by_service: HashMap<ServiceId, Running>,
    statuses: HashMap<ServiceId, RolloutStatus>,
    sessions: HashMap<SessionId, Pin>,
    /// Sessions that other VMs keep at the old version, and until when.
    held: HashMap<SessionMark, SystemTime>,
    has_old_orders: bool,
    are_statuses_read: bool,
}

#[derive(Clone, Debug)]
struct Pin {
    version: SoftwareVersion,
    used: SystemTime,
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
        let running = Running {
            since: now,
            began: now,
            outcome,
            evidence: Evidence::default(),
            old_latency: HashMap::new(),
            order,
        };
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

    /// Takes a written status; tells whether it changes what is known.
    pub fn note_status(&mut self, status: RolloutStatus) -> bool {
        if self.statuses.get(&status.service) == Some(&status) {
            return false;
        }
        if let Some(running) = self.by_service.get_mut(&status.service) {
            let is_final = running.outcome != RolloutOutcome::Running;
            if running.order.version == status.version && !is_final {
                running.outcome = status.outcome;
            }
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
        written.is_some_and(|known| known == status || known.outcome != RolloutOutcome::Running)
    }

    /// Whether any order is still under way.
    pub fn is_any_running(&self) -> bool {
        self.by_service.values().any(|running| running.outcome == RolloutOutcome::Running)
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
        match running.outcome {
            RolloutOutcome::Succeeded => return Allowed::Only(new.clone()),
            RolloutOutcome::RolledBack => return Allowed::Not(new.clone()),
            RolloutOutcome::Running => {},
        }
        let pin = session.and_then(|id| self.sessions.get(id)).filter(|pin| now < pin.used + bounds.session_time);
        let takes_new = match (running.phase(bounds, session.is_some(), now), pin) {
            (Phase::Halted | Phase::Waiting, _) => false,
            (Phase::TakeOver, _) => true,
            (Phase::Trial, Some(pin)) => pin.version == *new,
            (Phase::Trial, None) => {
                let is_held = session.is_some_and(|id| self.is_held(id, now));
                !is_held && place(session.unwrap_or(subject)) < running.slots(bounds, session.is_some())
            },
        };
        if takes_new { Allowed::Only(new.clone()) } else { Allowed::Not(new.clone()) }
    }

    /// Whether any version may answer where none of the allowed ones is left; one that was found bad never may.
    pub fn may_take_any(&self, service: &str) -> bool {
        self.by_service
            .get(service)
            .is_none_or(|running| running.outcome != RolloutOutcome::RolledBack && running.odds() <= HALT_ODDS)
    }

    /// Notes which version answers a session.
    pub fn pin(&mut self, session: &str, version: &str, now: SystemTime) {
        match self.sessions.get_mut(session) {
            Some(pin) => {
                if pin.version != version {
                    version.clone_into(&mut pin.version);
                }
                pin.used = now;
            },
            None => drop(self.sessions.insert(session.to_owned(), Pin { version: version.to_owned(), used: now })),
        }
    }

    /// Forgets sessions that rested for longer than `session_time`.
    pub fn prune(&mut self, session_time: Duration, now: SystemTime) {
        self.sessions.retain(|_, pin| now < pin.used + session_time);
        self.held.retain(|_, until| now < *until);
    }

    /// Sessions that would try a new version, but keep to the old one, since they began with it.
    ///
    /// Other VMs are told of them, for the case that their next request goes there.
    pub fn held_sessions(&self, bounds: RolloutBounds, now: SystemTime) -> Vec<SessionMark> {
        let running = self.by_service.values().filter(|running| running.outcome == RolloutOutcome::Running);
        let running: Vec<&Running> = running.collect();
        let live = self.sessions.iter().filter(|(_, pin)| now < pin.used + bounds.session_time);
        let old = live.filter(|(id, pin)| {
            running.iter().any(|r| pin.version != r.order.version && place(id) < r.slots(bounds, true))
        });
        let own = old.map(|(id, _)| mark(id));
        let others = self.held.iter().filter(|(_, until)| !running.is_empty() && now < **until);
        let others = others.map(|(mark, _)| *mark);
        own.chain(others).collect()
    }

    /// Notes a session that another VM keeps at the old version.
    pub fn hold(&mut self, session: SessionMark, bounds: RolloutBounds, now: SystemTime) {
        // Reports pass sessions on from VM to VM, so the first one counts.
        self.held.entry(session).or_insert(now + bounds.session_time);
    }

    fn is_held(&self, session: &str, now: SystemTime) -> bool {
        self.held.get(&mark(session)).is_some_and(|until| now < *until)
    }

    /// Counts an answer of a service that this VM, of run `own`, saw.
    pub fn note(&mut self, service: &str, sample: Sample<'_>, own: Incarnation) {
        if let Some(running) = self.by_service.get_mut(service) {
            running.note(sample, own);
        }
    }

    /// Takes another VM's counters; they only grow, so older ones have no effect.
    pub fn merge(&mut self, writer: Incarnation, seen: &RouteEvidence) {
        let Some(running) = self.by_service.get_mut(&seen.service) else { return };
        if seen.version != OLD && seen.version != running.order.version {
            return;
        }
        let subject = Subject { class: seen.route.clone(), version: seen.version.clone() };
        let tally = Tally { ended: seen.ended, failed: seen.failed, ..Tally::default() };
        running.evidence.merge(&subject, writer, tally);
    }

    /// The counters of this VM, of run `own`, for orders that are under way.
    pub fn own_evidence(&self, own: Incarnation) -> Vec<RouteEvidence> {
        let running = self.by_service.values().filter(|running| running.outcome == RolloutOutcome::Running);
        running.flat_map(|running| running.own_evidence(own)).collect()
    }

    /// What should be written now, for all services.
    pub fn verdicts(&self, now: SystemTime) -> Vec<Verdict> {
        let running = self.by_service.values().filter(|running| running.outcome == RolloutOutcome::Running);
        running.filter_map(|running| running.verdict(self.written(&running.order.service), now)).collect()
    }
}

/// The operators' bounds on roll-outs and sessions.
#[derive(Clone, Copy, Debug)]
pub struct RolloutBounds {
    /// Largest share of a service's requests that a bad version may get.
    pub max_share: f64,
    /// Pause after which a session's next request no longer belongs to it.
    pub session_time: Duration,
}

impl Running {
    /// Part of the order's time that has passed.
    fn progress(&self, now: SystemTime) -> f64 {
        let passed = now.duration_since(self.began).unwrap_or_default();
        passed.as_secs_f64() / self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// How far the new version is trusted.
    fn phase(&self, bounds: RolloutBounds, is_session: bool, now: SystemTime) -> Phase {
        if self.odds() > HALT_ODDS {
            return Phase::Halted;
        }
        if self.progress(now) >= 1.0 - self.take_over(bounds) {
            return Phase::TakeOver;
        }
        // Sessions that began before the order keep to the old version; other VMs must learn of them first.
        let is_early = now < self.since + SESSION_WAIT;
        if is_session && is_early { Phase::Waiting } else { Phase::Trial }
    }

    /// Slots of subjects that try the new version; sessions begin later than other requests.
    fn slots(&self, bounds: RolloutBounds, is_session: bool) -> u64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let waited = if is_session { SESSION_WAIT.as_secs_f64() / duration } else { 0.0 };
        let take_over = self.take_over(bounds);
        let trial = (1.0 - waited - take_over).max(bounds.max_share);
        let share = (USED_BOUND * bounds.max_share - take_over) / trial;
        (share.max(0.0) * SLOTS as f64) as u64
    }

    /// Part of the order's time for which the new version has all requests before the deadline.
    fn take_over(&self, bounds: RolloutBounds) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let written = WRITE_AHEAD.as_secs_f64() / duration;
        (TAKE_OVER * bounds.max_share).max(written)
    }

    fn note(&mut self, sample: Sample<'_>, own: Incarnation) {
        let is_new = sample.version == self.order.version;
        let latency =
            sample.latency.map(|latency| (latency.as_secs_f64().mul_add(1000.0, 1.0) / sample.size.max(1.0)).ln());
        let usual = self.old_latency.get(sample.kind).copied();
        let is_slow = matches!((latency, usual), (Some(latency), Some(usual)) if latency > usual + SLOW_FACTOR.ln());
        let version = if is_new { sample.version } else { OLD };
        self.count(sample.kind.to_owned(), version, sample.failed, own);
        if latency.is_some() && usual.is_some() {
            self.count(format!("{}{SLOWNESS}", sample.kind), version, is_slow, own);
        }
        if let (false, Some(latency)) = (is_new, latency) {
            let usual = usual.unwrap_or(latency);
            self.old_latency.insert(sample.kind.to_owned(), usual + LATENCY_WEIGHT * (latency - usual));
        }
    }

    fn count(&mut self, class: String, version: &str, is_bad: bool, own: Incarnation) {
        let subject = Subject { class, version: version.to_owned() };
        self.evidence.record(&subject, own, Tally { ended: 1, failed: u64::from(is_bad), ..Tally::default() });
    }

    fn own_evidence(&self, own: Incarnation) -> Vec<RouteEvidence> {
        let subjects = self.evidence.subjects();
        let counted = subjects.map(|subject| (subject, self.evidence.own(subject, own)));
        let seen = counted.filter(|(_, tally)| tally.ended > 0);
        seen.map(|(subject, tally)| RouteEvidence {
            service: self.order.service.clone(),
            version: subject.version.clone(),
            route: subject.class.clone(),
            ended: tally.ended,
            failed: tally.failed,
        })
        .collect()
    }

    /// Logarithm of the odds that the new version is worse, on all routes together or on one of them.
    fn odds(&self) -> f64 {
        let totals = self.evidence.totals();
        let mut by_route: HashMap<&str, Bets> = HashMap::new();
        let kinds: BTreeSet<&str> = self.evidence.subjects().map(|subject| subject.class.as_str()).collect();
        for kind in kinds {
            let route = kind.split_once(KIND_SEPARATOR).map_or(kind, |(route, _)| route);
            let bet = odds_of(&totals.get(kind, &self.order.version), &totals.get(kind, OLD));
            by_route.entry(route).or_default().add(kind.ends_with(SLOWNESS), bet);
        }
        let sum = by_route.values().fold(Bets::default(), |sum, bets| sum.plus(*bets));
        let most = by_route.values().map(|bets| bets.odds()).fold(f64::MIN, f64::max);
        // Looking at the routes one by one as well is paid for by their number.
        let choices = (by_route.len() as f64).max(1.0).ln();
        sum.odds().max(most - choices)
    }

    fn verdict(&self, written: Option<&RolloutStatus>, now: SystemTime) -> Option<Verdict> {
        let is_due = now + WRITE_AHEAD >= self.began + self.order.duration;
        let (outcome, reason) = if self.odds() > HALT_ODDS {
            (RolloutOutcome::RolledBack, "the new version fails or is slow more often than the old one")
        } else if is_due {
            (RolloutOutcome::Succeeded, "the new version took all requests and is as good as the old one")
        } else {
            (RolloutOutcome::Running, "the order was taken up")
        };
        let status =
            RolloutStatus { service: self.order.service.clone(), version: self.order.version.clone(), outcome };
        (written != Some(&status)).then_some(Verdict { status, reason })
    }
}

/// Where a subject stands among the slots, evenly spread and the same on every VM and for every order.
fn place(subject: &str) -> u64 {
    spread(&[subject]) % SLOTS
}

/// What a session is known by between VMs.
fn mark(session: &str) -> SessionMark {
    spread(&[session, "mark"])
}
