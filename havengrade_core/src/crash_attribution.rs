//! Attribution of endpoint crashes to requests and to parts of prompts, where several requests were in progress at each
//! crash.
//!
//! A part is a suspect if different requests with it were in progress at crashes and no request with it was answered: all
//! requests of a route may share a part, and each of them would be a suspect for it. The requests that contain a part
//! don't explain its crashes, because otherwise each of several such requests would explain a few.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

use crate::{
    answer_history::RunKey,
    fingerprint::{RequestFingerprint, SubjectFingerprint, VersionFingerprint},
    ids::EndpointId,
};

/// Crashes without another explanation that put a request into quarantine. Callers tolerate three crashes and three
/// further sends; a limit of two would quarantine harmless requests that were in progress at two endpoints that
/// crashed.
pub(crate) const MIN_UNEXPLAINED_CRASHES: usize = 3;
/// Crashes without another explanation from which on a request may explain crashes of others that were in progress
/// with it.
pub(crate) const MIN_EXPLAINING_CRASHES: usize = 2;
/// Crashes without another explanation that put a part of prompts into quarantine.
const MIN_PART_CRASHES: usize = 4;
/// Different requests with a part that must have been in progress at crashes: a request that crashes endpoints by itself
/// is repeated, with all its parts.
const MIN_PART_REQUESTS: usize = 2;
/// Number of crashes by which a request of like duration may exceed another one that explains some of its crashes.
const MAX_EXCESS_CRASHES: usize = 1;
/// Crashes that put a request into quarantine whatever else was in progress. Its caller and the router send a
/// harmless request only a few times, so that it is not in progress at as many crashes.
pub(crate) const MAX_CRASHES: usize = 6;
/// The same for a request that is probably harmless: an endpoint of the same version answered it recently, or it had
/// run for longer at the crashes than a steady suspect. A frequent request is in progress at many endpoints, and
/// several causes at once crash many.
const MAX_CRASHES_IF_UNLIKELY: usize = 12;
/// Factor by which the mean run time of such a request must exceed that of the fastest steady suspect.
const LATER_FACTOR: u32 = 2;
/// Largest spread of a steady suspect's run times, as a part of their mean.
const STEADY_SPREAD_PART: f64 = 0.5;
/// Spread of run times that counts as steady in any case.
const STEADY_SPREAD_SLACK: Duration = Duration::from_millis(20);
/// Time within which observations at an endpoint belong to one crash: an endpoint takes longer to restart, and the
/// times that VMs report for one event differ by the delay of a report.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(1000);

/// An endpoint crashed while a request was in progress there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashObservation {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Version of the endpoint.
    pub(crate) version: VersionFingerprint,
    /// Time from sending the request to its failure.
    pub(crate) ran_for: Duration,
    /// Time of the failure.
    pub(crate) at: SystemTime,
    /// The request in progress, where the observation is on a part of its prompt.
    pub(crate) request: Option<RequestFingerprint>,
}

impl CrashObservation {
    /// Whether both observations are of the same crash.
    pub(crate) fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && is_same_crash_time(self.at, other.at)
    }
}

/// Whether two times at an endpoint belong to one crash.
pub(crate) fn is_same_crash_time(one: SystemTime, other: SystemTime) -> bool {
    let apart = one.duration_since(other).or_else(|_| other.duration_since(one));
    apart.is_ok_and(|apart| apart < SAME_CRASH_WINDOW)
}

/// The observed crashes by request or part.
pub(crate) type CrashObservations = HashMap<SubjectFingerprint, Vec<CrashObservation>>;

/// A request or part that causes crashes, with the crashes at which it was in progress.
pub(crate) struct CrashCause {
    pub(crate) fingerprint: SubjectFingerprint,
    pub(crate) crashes: Vec<CrashObservation>,
    /// Whether the endpoints crashed after about the same run time each, or the cause is a part.
    pub(crate) is_clear: bool,
}

/// Whether a request or part was in progress at so many of these crashes that it may explain those of others.
pub(crate) fn may_explain_others<'a>(crashes: impl IntoIterator<Item = &'a CrashObservation>) -> bool {
    let crashes: Vec<&CrashObservation> = crashes.into_iter().collect();
    if are_of_part(crashes.iter().copied()) {
        is_part_suspect(&crashes)
    } else {
        crashes.len() >= MIN_EXPLAINING_CRASHES
    }
}

/// Whether these crashes are those of a part.
pub(crate) fn are_of_part<'a>(crashes: impl IntoIterator<Item = &'a CrashObservation>) -> bool {
    crashes.into_iter().any(|observation| observation.request.is_some())
}

/// Whether a part was in progress at so many crashes, in so many requests, that it is a suspect.
fn is_part_suspect(crashes: &[&CrashObservation]) -> bool {
    let requests: HashSet<RequestFingerprint> = crashes.iter().filter_map(|observation| observation.request).collect();
    crashes.len() >= MIN_PART_CRASHES && requests.len() >= MIN_PART_REQUESTS
}

/// The requests and parts to quarantine that are not in quarantine yet.
pub(crate) fn find_crash_causes(
    observations: &CrashObservations,
    is_quarantined: impl Fn(SubjectFingerprint) -> bool,
    is_answered: impl Fn(&RunKey) -> bool,
) -> Vec<CrashCause> {
    let (known, others): (Vec<_>, Vec<_>) = observations
        .iter()
        .map(|(fingerprint, crashes)| Suspect { fingerprint: *fingerprint, crashes: crashes.iter().collect() })
        .partition(|suspect| is_quarantined(suspect.fingerprint));
    let (parts, mut requests): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|suspect| are_of_part(suspect.crashes.iter().copied()));
    let mut causes = find_part_causes(&known, parts, &is_answered);
    let known_parts = known.iter().filter(|suspect| are_of_part(suspect.crashes.iter().copied()));
    let of_parts = known_parts.flat_map(|suspect| suspect.crashes.iter().copied());
    let of_parts: Vec<&CrashObservation> = of_parts.chain(causes.iter().flat_map(|cause| &cause.crashes)).collect();
    // Requests that were in progress beside a part that crashes endpoints are not the cause there.
    for suspect in &mut requests {
        suspect.crashes.retain(|crash| !of_parts.iter().any(|known| known.is_same_crash(crash)));
    }
    let of_requests = find_request_causes(&known, requests, is_answered);
    causes.extend(of_requests);
    causes
}

/// The parts that cause crashes: those with most crashes first, since others are in progress at some of them.
fn find_part_causes(
    known: &[Suspect<'_>],
    mut parts: Vec<Suspect<'_>>,
    is_answered: impl Fn(&RunKey) -> bool,
) -> Vec<CrashCause> {
    parts.retain(|part| is_part_suspect(&part.crashes) && !part.is_answered(&is_answered));
    parts.sort_by_cached_key(|part| (Reverse(part.crashes.len()), part.fingerprint));
    let mut causes: Vec<CrashCause> = Vec::new();
    for Suspect { fingerprint, crashes } in parts {
        let is_own = |other: SubjectFingerprint| crashes.iter().any(|crash| crash.request == Some(other));
        let is_known = |crash: &CrashObservation| {
            let others = known.iter().filter(|suspect| !is_own(suspect.fingerprint));
            others.flat_map(|suspect| &suspect.crashes).any(|known| known.is_same_crash(crash))
        };
        let is_found = |crash: &CrashObservation| {
            causes.iter().flat_map(|cause| &cause.crashes).any(|known| known.is_same_crash(crash))
        };
        let unexplained: Vec<&CrashObservation> =
            crashes.iter().copied().filter(|crash| !is_known(crash) && !is_found(crash)).collect();
        if is_part_suspect(&unexplained) {
            let crashes = crashes.into_iter().cloned().collect();
            causes.push(CrashCause { fingerprint, crashes, is_clear: true });
        }
    }
    causes
}

/// The requests that cause crashes.
///
/// A crash is explained by a request that is already in quarantine, or by one that is more likely the cause and was
/// in progress at other crashes as well. An endpoint crashes soon after the cause was sent to it, so requests with
/// the shortest run times are the most likely causes, and among those with like run times the ones with the most
/// crashes. A long-running or very frequent request has run for an arbitrary time when an endpoint crashes.
fn find_request_causes(
    known: &[Suspect<'_>],
    mut suspects: Vec<Suspect<'_>>,
    is_answered: impl Fn(&RunKey) -> bool,
) -> Vec<CrashCause> {
    // Explained crashes, each with the number of crashes of the request that explains it.
    let known = known.iter().flat_map(|suspect| &suspect.crashes);
    let mut explained: Vec<(&CrashObservation, usize)> = known.map(|crash| (*crash, usize::MAX)).collect();
    let mut causes = Vec::new();
    suspects.retain(|suspect| suspect.crashes.len() >= MIN_EXPLAINING_CRASHES);
    suspects
        .sort_by_cached_key(|suspect| (suspect.run_time_class(), Reverse(suspect.crashes.len()), suspect.fingerprint));
    let steady: Vec<(Duration, Vec<&CrashObservation>)> = suspects.iter().filter_map(Suspect::as_steady).collect();
    for suspect in &suspects {
        let is_late = suspect.is_later_than(&steady);
        let is_steady = suspect.as_steady().is_some();
        let is_answered = suspect.is_answered(&is_answered);
        let Suspect { fingerprint, crashes } = suspect;
        // A request of like duration that was in progress at many more crashes is not explained by the other one.
        let may_explain = |count: usize| is_late || crashes.len() <= count.saturating_add(MAX_EXCESS_CRASHES);
        let is_unexplained = |observation: &&&CrashObservation| {
            !explained.iter().any(|(known, count)| may_explain(*count) && known.is_same_crash(observation))
        };
        let unexplained: Vec<&CrashObservation> = crashes.iter().filter(is_unexplained).copied().collect();
        let is_certain = crashes.len() >= if is_answered || is_late { MAX_CRASHES_IF_UNLIKELY } else { MAX_CRASHES };
        let is_cause = is_certain || (!is_answered && is_steady && unexplained.len() >= MIN_UNEXPLAINED_CRASHES);
        if is_cause {
            let crashes = crashes.iter().copied().cloned().collect();
            causes.push(CrashCause { fingerprint: *fingerprint, crashes, is_clear: is_steady });
        }
        if is_cause || (!is_answered && unexplained.len() >= MIN_EXPLAINING_CRASHES) {
            explained.extend(unexplained.into_iter().map(|observation| (observation, crashes.len())));
        }
    }
    causes
}

/// A request or part, with crashes at which it was in progress.
struct Suspect<'a> {
    fingerprint: SubjectFingerprint,
    crashes: Vec<&'a CrashObservation>,
}

impl Suspect<'_> {
    /// Whether an endpoint of a version that crashed under the suspect answered it recently.
    fn is_answered(&self, is_answered: impl Fn(&RunKey) -> bool) -> bool {
        self.crashes.iter().any(|observation| is_answered(&(self.fingerprint, observation.version)))
    }

    /// The power of two, in milliseconds, above the mean run time. Requests that share it count as equally fast, and
    /// the number of crashes decides between them.
    fn run_time_class(&self) -> u32 {
        u128::BITS - self.mean_run_time().as_millis().leading_zeros()
    }

    /// The mean run time and the crashes, if the endpoints crashed after about the same run time each.
    ///
    /// A cause that waits at the endpoint before it runs is not steady: the time since it was sent carries no
    /// information.
    fn as_steady(&self) -> Option<(Duration, Vec<&CrashObservation>)> {
        let times = || self.crashes.iter().map(|observation| observation.ran_for);
        let spread = times().max()? - times().min()?;
        let is_steady = spread <= self.mean_run_time().mul_f64(STEADY_SPREAD_PART).max(STEADY_SPREAD_SLACK);
        (is_steady && self.crashes.len() >= MIN_UNEXPLAINED_CRASHES)
            .then(|| (self.mean_run_time(), self.crashes.clone()))
    }

    /// Whether a faster steady suspect was in progress at most of this one's crashes.
    fn is_later_than(&self, steady: &[(Duration, Vec<&CrashObservation>)]) -> bool {
        let faster: Vec<&CrashObservation> = steady
            .iter()
            .filter(|(mean_run_time, _)| self.mean_run_time() > *mean_run_time * LATER_FACTOR)
            .flat_map(|(_, crashes)| crashes)
            .copied()
            .collect();
        let explained = self
            .crashes
            .iter()
            .filter(|observation| faster.iter().any(|known| known.is_same_crash(observation)))
            .count();
        2 * explained > self.crashes.len()
    }

    /// Mean time for which the request had run when endpoints crashed.
    fn mean_run_time(&self) -> Duration {
        let sum: Duration = self.crashes.iter().map(|observation| observation.ran_for).sum();
        sum / u32::try_from(self.crashes.len()).unwrap_or(u32::MAX).max(1)
    }
}
