//! Attribution of endpoint crashes to requests, where several requests were in progress at each crash.

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

/// Crashes without another explanation that put a request into quarantine. Callers tolerate three crashes and three
/// further sends; a limit of two would quarantine harmless requests that were in progress at two endpoints that
/// crashed.
pub(crate) const MIN_UNEXPLAINED_CRASHES: usize = 3;
/// Crashes without another explanation from which on a request may explain crashes of others that were in progress
/// with it.
pub(crate) const MIN_EXPLAINING_CRASHES: usize = 2;
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

/// The observed crashes by request.
pub(crate) type CrashObservations = HashMap<RequestFingerprint, Vec<CrashObservation>>;

/// A request that causes crashes, with the crashes at which it was in progress.
pub(crate) struct CrashCause {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) crashes: Vec<CrashObservation>,
    /// Whether the endpoints crashed after about the same run time each.
    pub(crate) is_steady: bool,
}

/// The requests to quarantine that are not in quarantine yet.
///
/// A crash is explained by a request that is already in quarantine, or by one that is more likely the cause and was
/// in progress at other crashes as well. An endpoint crashes soon after the cause was sent to it, so requests with
/// the shortest run times are the most likely causes, and among those with like run times the ones with the most
/// crashes. A long-running or very frequent request has run for an arbitrary time when an endpoint crashes.
pub(crate) fn find_crash_causes(
    observations: &CrashObservations,
    is_quarantined: impl Fn(RequestFingerprint) -> bool,
    is_answered: impl Fn(&RunKey) -> bool,
) -> Vec<CrashCause> {
    // Explained crashes, each with the number of crashes of the request that explains it.
    let known = observations.iter().filter(|(fingerprint, _)| is_quarantined(**fingerprint)).flat_map(|(_, seen)| seen);
    let mut explained: Vec<(&CrashObservation, usize)> = known.map(|observation| (observation, usize::MAX)).collect();
    let mut causes = Vec::new();
    let suspects = suspects(observations, is_quarantined);
    let steady: Vec<(Duration, Vec<&CrashObservation>)> = suspects.iter().filter_map(Suspect::as_steady).collect();
    for suspect in &suspects {
        let is_late = suspect.is_later_than(&steady);
        let is_steady = suspect.as_steady().is_some();
        let Suspect { fingerprint, crashes } = suspect;
        let fingerprint = *fingerprint;
        // A request of like duration that was in progress at many more crashes is not explained by the other one.
        let may_explain = |count: usize| is_late || crashes.len() <= count.saturating_add(MAX_EXCESS_CRASHES);
        let is_unexplained = |observation: &&&CrashObservation| {
            !explained.iter().any(|(known, count)| may_explain(*count) && known.is_same_crash(observation))
        };
        let unexplained: Vec<&CrashObservation> = crashes.iter().filter(is_unexplained).copied().collect();
        let is_answered = crashes.iter().any(|observation| is_answered(&(fingerprint, observation.version)));
        let is_certain = crashes.len() >= if is_answered || is_late { MAX_CRASHES_IF_UNLIKELY } else { MAX_CRASHES };
        let is_cause = is_certain || (!is_answered && is_steady && unexplained.len() >= MIN_UNEXPLAINED_CRASHES);
        if is_cause {
            causes.push(CrashCause { fingerprint, crashes: crashes.iter().copied().cloned().collect(), is_steady });
        }
        if is_cause || (!is_answered && unexplained.len() >= MIN_EXPLAINING_CRASHES) {
            explained.extend(unexplained.into_iter().map(|observation| (observation, crashes.len())));
        }
    }
    causes
}

/// A request that is not in quarantine and was in progress at several crashes.
struct Suspect<'a> {
    fingerprint: RequestFingerprint,
    crashes: Vec<&'a CrashObservation>,
}

impl Suspect<'_> {
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

/// The requests that may have caused crashes, the most likely ones first.
fn suspects(observations: &CrashObservations, is_quarantined: impl Fn(RequestFingerprint) -> bool) -> Vec<Suspect<'_>> {
    let several = observations
        .iter()
        .filter(|(fingerprint, crashes)| crashes.len() >= MIN_EXPLAINING_CRASHES && !is_quarantined(**fingerprint));
    let mut suspects: Vec<Suspect<'_>> = several
        .map(|(fingerprint, crashes)| Suspect { fingerprint: *fingerprint, crashes: crashes.iter().collect() })
        .collect();
    suspects
        .sort_by_cached_key(|suspect| (suspect.run_time_class(), Reverse(suspect.crashes.len()), suspect.fingerprint));
    suspects
}
