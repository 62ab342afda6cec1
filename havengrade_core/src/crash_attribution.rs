//! Which requests are to blame where endpoints end while several are in progress there.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    answer_history::RunKey,
    fingerprint::{RequestFingerprint, VersionFingerprint},
    ids::EndpointId,
};

/// Crashes that nothing else explains for which a request is held back. The users allow three crashes and three sends after the third one;
/// with two, an innocent request that was in progress at two endpoints that ended would be held.
const ENOUGH: usize = 3;
/// Crashes that nothing else explains from which on a request may explain those of others that were there with it.
const LIKELY: usize = 2;
/// Crashes by which a request that ran for as short may exceed another one that explains some of them.
const LEAD: usize = 1;
/// Crashes that are enough whatever else was there. An innocent request is sent a few times by its caller and by the router, so that it is not
/// at as many.
const CERTAIN: usize = 6;
/// The same for a request that is likely to be innocent: an endpoint of the same version answered it lately, or it ran for longer when
/// endpoints ended than a steady suspect did. One that comes often is in progress at many endpoints, and several causes at once end many of them.
const DESPITE_DOUBT: usize = 12;
/// How many times longer than that of the quickest steady suspect its mean time must be for that.
const LONGER: u32 = 2;
/// Part of its mean time by which the times of a steady suspect differ at most.
const STEADY_PART: f64 = 0.5;
/// Time by which they may differ in any case.
const STEADY_SLACK: Duration = Duration::from_millis(20);
/// Time within which what VMs saw at an endpoint is one crash: an endpoint takes longer to come back, and what VMs tell each other of a
/// moment differs by the time that a report takes.
const SAME_CRASH: Duration = Duration::from_millis(1000);

/// An endpoint ended while a request was in progress there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashObservation {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Version of the endpoint.
    pub(crate) version: VersionFingerprint,
    /// Time from when the request was sent there until it broke.
    pub(crate) ran_for: Duration,
    /// When the request broke.
    pub(crate) at: SystemTime,
}

impl CrashObservation {
    /// Whether both are of the same crash.
    pub(crate) fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && is_same_crash_time(self.at, other.at)
    }
}

/// Whether two moments at an endpoint belong to one crash.
pub(crate) fn is_same_crash_time(one: SystemTime, other: SystemTime) -> bool {
    let apart = one.duration_since(other).or_else(|_| other.duration_since(one));
    apart.is_ok_and(|apart| apart < SAME_CRASH)
}

/// The crashes that each request saw.
pub(crate) type CrashObservations = HashMap<RequestFingerprint, Vec<CrashObservation>>;

/// A request to hold back, with the crashes that it was at.
pub(crate) struct CrashCause {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) crashes: Vec<CrashObservation>,
}

/// The requests to hold back that are not held yet.
///
/// A crash is explained by a request that is held already, or by one that is more likely the cause and was at others as well. An endpoint
/// ends soon after the cause was sent there, so those are more likely that ran for the shortest times, and of those that ran for about as
/// long, those that were at the most crashes. One that was there for long, or that comes so often that it is everywhere, ran for any time when an
/// endpoint ended.
pub(crate) fn find_crash_causes(
    observations: &CrashObservations,
    is_held: impl Fn(RequestFingerprint) -> bool,
    is_answered: impl Fn(&RunKey) -> bool,
) -> Vec<CrashCause> {
    // Each with the number of crashes of the request that explains it.
    let held = observations.iter().filter(|(fingerprint, _)| is_held(**fingerprint)).flat_map(|(_, seen)| seen);
    let mut explained: Vec<(&CrashObservation, usize)> = held.map(|observation| (observation, usize::MAX)).collect();
    let mut causes = Vec::new();
    let suspects = suspects(observations, is_held);
    let steady: Vec<(Duration, Vec<&CrashObservation>)> = suspects.iter().filter_map(Suspect::as_steady).collect();
    for suspect in &suspects {
        let is_late = suspect.is_later_than(&steady);
        let Suspect { fingerprint, seen } = suspect;
        let fingerprint = *fingerprint;
        // One that is as quick, and was at many more crashes, is not explained by the other.
        let may_explain = |crashes: usize| is_late || seen.len() <= crashes.saturating_add(LEAD);
        let is_open = |observation: &&&CrashObservation| {
            !explained.iter().any(|(known, crashes)| may_explain(*crashes) && known.is_same_crash(observation))
        };
        let open: Vec<&CrashObservation> = seen.iter().filter(is_open).copied().collect();
        let is_answered = seen.iter().any(|observation| is_answered(&(fingerprint, observation.version)));
        let is_certain = seen.len() >= if is_answered || is_late { DESPITE_DOUBT } else { CERTAIN };
        let is_enough = is_certain || (!is_answered && open.len() >= ENOUGH);
        if is_enough {
            causes.push(CrashCause { fingerprint, crashes: seen.iter().copied().cloned().collect() });
        }
        if is_enough || (!is_answered && open.len() >= LIKELY) {
            explained.extend(open.into_iter().map(|observation| (observation, seen.len())));
        }
    }
    causes
}

/// A request that is not held back and was at several crashes.
struct Suspect<'a> {
    fingerprint: RequestFingerprint,
    seen: Vec<&'a CrashObservation>,
}

impl Suspect<'_> {
    /// The power of two, in milliseconds, that its mean time lies below: requests of one are alike, and the number of crashes decides.
    fn quickness(&self) -> u32 {
        u128::BITS - self.ran_for().as_millis().leading_zeros()
    }

    /// Its mean time and crashes, if endpoints ended about as long after each time it was sent.
    ///
    /// A cause that waits at the endpoint before it runs is not steady: the time since it was sent says nothing of it.
    fn as_steady(&self) -> Option<(Duration, Vec<&CrashObservation>)> {
        let times = || self.seen.iter().map(|observation| observation.ran_for);
        let spread = times().max()? - times().min()?;
        let is_steady = spread <= self.ran_for().mul_f64(STEADY_PART).max(STEADY_SLACK);
        (is_steady && self.seen.len() >= ENOUGH).then(|| (self.ran_for(), self.seen.clone()))
    }

    /// Whether a quicker steady suspect was there at most of its crashes.
    fn is_later_than(&self, steady: &[(Duration, Vec<&CrashObservation>)]) -> bool {
        let quicker: Vec<&CrashObservation> = steady
            .iter()
            .filter(|(ran_for, _)| self.ran_for() > *ran_for * LONGER)
            .flat_map(|(_, seen)| seen)
            .copied()
            .collect();
        let explained =
            self.seen.iter().filter(|observation| quicker.iter().any(|known| known.is_same_crash(observation))).count();
        2 * explained > self.seen.len()
    }

    /// Mean time that it ran for when endpoints ended.
    fn ran_for(&self) -> Duration {
        let sum: Duration = self.seen.iter().map(|observation| observation.ran_for).sum();
        sum / u32::try_from(self.seen.len()).unwrap_or(u32::MAX).max(1)
    }
}

/// The requests that may be the cause of crashes, the likely ones first.
fn suspects(observations: &CrashObservations, is_held: impl Fn(RequestFingerprint) -> bool) -> Vec<Suspect<'_>> {
    let several = observations.iter().filter(|(fingerprint, seen)| seen.len() >= LIKELY && !is_held(**fingerprint));
    let mut suspects: Vec<Suspect<'_>> =
        several.map(|(fingerprint, seen)| Suspect { fingerprint: *fingerprint, seen: seen.iter().collect() }).collect();
    suspects.sort_by_cached_key(|suspect| (suspect.quickness(), Reverse(suspect.seen.len()), suspect.fingerprint));
    suspects
}
