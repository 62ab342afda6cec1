//! Quarantine of requests that crash the endpoints that run them, and of parts of prompts under which all requests do.
//!
//! A request and the parts of its prompt are judged by the same evidence and held back in the same way, each by itself. A
//! held part holds back all requests with it.
//!
//! A failed attempt alone is no evidence: connections are lost for many reasons. If its endpoint is then found to
//! have exited, the request was in progress at a crash. VMs report such crashes to each other, so that each of them
//! can tell the cause from requests that merely were in progress, whichever VMs sent them. A request that an endpoint
//! answers completely has caused no crash, and earlier observations of it are dropped.
//!
//! A frequent request is in progress at many endpoints, so that it may be quarantined although others were the cause.
//! Each quarantined request therefore gets a few trials, each at an endpoint that is reserved for it, and is released once an
//! endpoint answers it.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

use crate::{
    answer_history::{ANSWER_LIFETIME, AnswerHistory, RunKey},
    crash_attribution::{
        CrashCause, CrashObservation, CrashObservations, MAX_CRASHES, MIN_UNEXPLAINED_CRASHES, are_of_part,
        find_crash_causes, may_explain_others,
    },
    fingerprint::{EndpointFingerprint, PartFingerprint, RequestFingerprint, SubjectFingerprint, VersionFingerprint},
    gossip::{REPORTS_PER_ENTRY, least_reported},
    ids::EndpointId,
    open_attempts::{OpenAttempt, OpenAttempts},
    quarantine_entry::QUARANTINE_DURATION,
};
pub use crate::{
    judged_request::JudgedRequest,
    quarantine_entry::{QuarantineEntry, next_trial},
    quarantine_report::{QuarantineReport, ReportedAnswer, ReportedCrash, ReportedQuarantineEntry},
    quarantine_status::{QuarantineChange, QuarantineStatus},
};

/// Time after the last crash of a suspect before it is quarantined. Reports of other VMs on that crash, which may
/// point to another cause, arrive within it: it covers two reports, and as many again if some are lost.
const SETTLE_TIME: Duration = Duration::from_millis(1000);
/// Time without any crash that must pass before a trial: a harmless request would fail while other causes are active.
const CALM_BEFORE_TRIAL: Duration = Duration::from_millis(1500);
/// Longest time for which a trial that is due waits for that: its caller waits as well, and its endpoint is reserved.
const MAX_CALM_WAIT: Duration = Duration::from_millis(2000);
/// Time for which a crash counts against a request, chosen for requests that come rarely.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(3600);
/// Time for which an endpoint may still run a request that was sent to it.
const SUSPECT_SEND_LIFETIME: Duration = Duration::from_secs(3);
/// Time from the crash that made a request a suspect for which its first claimed send goes before trials of others.
const FIRST_SEND_TIME: Duration = Duration::from_millis(2500);
/// Age from which on the reported time of a part's last answer is brought up to date.
const ANSWER_REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Time by which a part's trial is later for requests with another suspect part, under which it may crash as well.
const AMBIGUOUS_TRIAL_DELAY: Duration = Duration::from_millis(1500);
/// Crash observations that are kept; the oldest ones are evicted.
const MAX_OBSERVATIONS: usize = 2048;
/// Crashes, and answers, in a state transfer to a VM that starts.
const MAX_TRANSFERRED: usize = 96;

#[derive(Clone, Debug)]
struct EntryState {
    entry: QuarantineEntry,
    is_stored: bool,
    report_count: u32,
}

/// The quarantined requests, and the evidence on crashes.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Recently failed or abandoned attempts, at endpoints that are not known to have exited.
    open_attempts: OpenAttempts,
    /// Observed crashes by request or part.
    observations: CrashObservations,
    /// Time of the last crash of any endpoint.
    last_crash: Option<SystemTime>,
    /// Number of reports on each crash, by request or part and endpoint; holds the own crashes, and those of requests that
    /// have several.
    report_counts: HashMap<(SubjectFingerprint, EndpointId), u32>,
    quarantined: HashMap<SubjectFingerprint, EntryState>,
    /// Recent sends of requests that were in progress at crashes, by endpoint.
    suspect_sends: HashMap<EndpointFingerprint, Vec<(SubjectFingerprint, SystemTime)>>,
    /// Requests and parts whose quarantine awaits reports of other VMs, with the time of the decision.
    suspects: HashMap<SubjectFingerprint, SystemTime>,
    /// Requests and parts that an answer at this VM released and that may still be on the stored list.
    released: HashSet<SubjectFingerprint>,
    /// Recent answers that this VM received.
    answered: AnswerHistory,
    /// Answers to requests and parts that were in progress at crashes, each with its time and the number of reports on it.
    cleared: HashMap<RunKey, (SystemTime, u32)>,
    /// Whether the entries from before the start are known.
    is_loaded: bool,
    /// Whether crashes or answers became known since suspects were last evaluated.
    is_changed: bool,
}

impl Quarantine {
    /// Whether any request is known, so that fingerprints must be computed.
    pub fn needs_fingerprints(&self) -> bool {
        !self.observations.is_empty() || !self.quarantined.is_empty()
    }

    /// Whether a request may be sent.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::quarantine::{Quarantine, QuarantineStatus};
    ///
    /// let at = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    /// let mut quarantine = Quarantine::default();
    /// for (second, endpoint) in [(10, "e1"), (12, "e2"), (14, "e3")] {
    ///     quarantine.record_broken_attempt((7.into(), 1), endpoint, Duration::ZERO, at(second));
    ///     quarantine.record_endpoint_exit(endpoint, at(second));
    /// }
    /// quarantine.quarantine_suspects(at(14));
    /// quarantine.quarantine_suspects(at(15));
    /// assert!(matches!(quarantine.status(&7.into(), at(15)), QuarantineStatus::Pending { .. }));
    /// assert!(matches!(quarantine.status(&7.into(), at(17)), QuarantineStatus::TrialDue(_)));
    /// assert_eq!(quarantine.status(&8.into(), at(15)), QuarantineStatus::Free);
    /// ```
    pub fn status(&self, judged: &JudgedRequest, now: SystemTime) -> QuarantineStatus {
        let of_parts = judged.parts.iter().map(|part| self.part_status(*part, judged, now));
        of_parts.fold(self.request_status(judged.request, now), QuarantineStatus::and)
    }

    /// The status that a part of its prompt gives a request.
    ///
    /// Its trial does not wait for calm, because requests of many callers wait for it.
    fn part_status(&self, part: PartFingerprint, judged: &JudgedRequest, now: SystemTime) -> QuarantineStatus {
        let Some(EntryState { entry, .. }) = self.quarantined.get(&part).filter(|state| now < state.entry.until) else {
            let settled = self.suspects.get(&part).and_then(|settled| time_until(*settled, now));
            return settled.map_or(QuarantineStatus::Free, |decided_in| QuarantineStatus::Pending { decided_in });
        };
        if let Some(left) = entry.trial_left(now) {
            return QuarantineStatus::Pending { decided_in: left };
        }
        let has_other_suspect = judged.subjects().any(|other| other != part && self.is_suspect(other, now));
        let delay = if has_other_suspect { AMBIGUOUS_TRIAL_DELAY } else { Duration::ZERO };
        match self.next_trial_at(entry, now).map(|at| time_until(at + delay, now)) {
            Some(None) => QuarantineStatus::TrialDue(*entry),
            Some(Some(left)) => QuarantineStatus::Pending { decided_in: left },
            None => QuarantineStatus::Quarantined { retry_after: entry.until.duration_since(now).unwrap_or_default() },
        }
    }

    fn request_status(&self, fingerprint: RequestFingerprint, now: SystemTime) -> QuarantineStatus {
        let Some(state) = self.quarantined.get(&fingerprint).filter(|state| now < state.entry.until) else {
            return self.status_before_quarantine(fingerprint, now);
        };
        if let Some(left) = state.entry.trial_left(now) {
            return QuarantineStatus::Pending { decided_in: left };
        }
        let is_attributed = state.entry.is_attributed();
        if !is_attributed
            && let Some(left) = self.settle_time_left(&state.entry, now).or_else(|| self.claimed_send_left(now))
        {
            return QuarantineStatus::Pending { decided_in: left };
        }
        let needs_full_calm = is_attributed && self.is_likely_cause(fingerprint, now);
        let last_crash = if needs_full_calm { self.last_crash } else { self.last_crash_outside_quarantine(now) };
        let calm = last_crash.map_or(SystemTime::UNIX_EPOCH, |at| at + CALM_BEFORE_TRIAL);
        let calm_after = |due: SystemTime| due.max(calm.min(due + MAX_CALM_WAIT));
        match self.next_trial_at(&state.entry, now).map(|due| time_until(calm_after(due), now)) {
            Some(None) => QuarantineStatus::TrialDue(state.entry),
            Some(Some(left)) => QuarantineStatus::Pending { decided_in: left },
            None => {
                QuarantineStatus::Quarantined { retry_after: state.entry.until.duration_since(now).unwrap_or_default() }
            },
        }
    }

    fn status_before_quarantine(&self, fingerprint: RequestFingerprint, now: SystemTime) -> QuarantineStatus {
        if let Some(settled) = self.suspects.get(&fingerprint) {
            return QuarantineStatus::Pending { decided_in: settled.duration_since(now).unwrap_or_default() };
        }
        let mut crashes = self.observations.get(&fingerprint).cloned().unwrap_or_default();
        crashes.retain(|crash| !self.is_explained_by_part(crash));
        let is_answered = crashes.iter().any(|observation| self.is_answered(&(fingerprint, observation.version), now));
        if crashes.len() < if is_answered { MAX_CRASHES } else { MIN_UNEXPLAINED_CRASHES } {
            return QuarantineStatus::Free;
        }
        let last = crashes.iter().map(|observation| observation.at).max().unwrap_or(now);
        if let Some(left) = time_until(last + SETTLE_TIME, now) {
            return QuarantineStatus::Pending { decided_in: left };
        }
        let unexplained = crashes.iter().filter(|crash| !self.is_explained(crash)).count();
        if unexplained >= MIN_UNEXPLAINED_CRASHES
            && let Some(left) = self.claimed_send_left(now)
        {
            return QuarantineStatus::Pending { decided_in: left };
        }
        new_entry(fingerprint, &crashes, now).map_or(QuarantineStatus::Free, QuarantineStatus::Suspected)
    }

    /// Whether a part that is held, or is about to be, was in progress at a crash.
    fn is_explained_by_part(&self, crash: &CrashObservation) -> bool {
        let held = self.quarantined.keys().chain(self.suspects.keys()).filter(|held| self.is_part(**held));
        held.filter_map(|part| self.observations.get(part)).flatten().any(|known| known.is_same_crash(crash))
    }

    /// Whether the crashes known of a subject are those of a part.
    fn is_part(&self, fingerprint: SubjectFingerprint) -> bool {
        self.observations.get(&fingerprint).is_some_and(are_of_part)
    }

    /// Whether a subject may explain crashes of others, unless it was answered recently.
    fn is_suspect(&self, fingerprint: SubjectFingerprint, now: SystemTime) -> bool {
        self.observations.get(&fingerprint).is_some_and(|crashes| {
            may_explain_others(crashes)
                && !crashes.iter().any(|crash| self.is_answered(&(fingerprint, crash.version), now))
        })
    }

    /// Time of the last recent crash at which no quarantined request was in progress.
    fn last_crash_outside_quarantine(&self, now: SystemTime) -> Option<SystemTime> {
        let is_quarantined = |fingerprint: &SubjectFingerprint| self.quarantined.contains_key(fingerprint);
        let (inside, outside): (Vec<_>, Vec<_>) =
            self.observations.iter().partition(|(fingerprint, _)| is_quarantined(fingerprint));
        let recent =
            outside.into_iter().flat_map(|(_, crashes)| crashes).filter(|crash| crash.at + CALM_BEFORE_TRIAL > now);
        let is_inside = |crash: &CrashObservation| {
            inside.iter().flat_map(|(_, crashes)| *crashes).any(|known| known.is_same_crash(crash))
        };
        recent.filter(|crash| !is_inside(crash)).map(|crash| crash.at).max()
    }

    /// The time from which the next trial is due, if one is left.
    ///
    /// A crash under the last claimed send that another request may have caused shows nothing, so that the next trial is
    /// due at once.
    fn next_trial_at(&self, entry: &QuarantineEntry, now: SystemTime) -> Option<SystemTime> {
        let due = entry.next_trial_at()?;
        let last = entry.last_trial.and_then(|at| self.crash_since(entry.fingerprint, Some(at)));
        let Some(crash) = last else { return Some(due) };
        if self.is_sole_suspect(entry.fingerprint, crash, now) {
            return Some(due);
        }
        self.first_sends_until(now).max(Some(crash.at + SETTLE_TIME))
    }

    /// Whether no other request explains one of the crashes of a request, or its crashes are not known here.
    fn is_likely_cause(&self, fingerprint: SubjectFingerprint, now: SystemTime) -> bool {
        let Some(crashes) = self.observations.get(&fingerprint) else { return true };
        crashes.iter().any(|crash| self.is_sole_suspect(fingerprint, crash, now))
    }

    /// The time until which suspects that were not sent yet go before trials.
    fn first_sends_until(&self, now: SystemTime) -> Option<SystemTime> {
        let unclaimed = self.observations.iter().filter(|(fingerprint, crashes)| {
            crashes.len() >= MIN_UNEXPLAINED_CRASHES
                && !are_of_part(*crashes)
                && !self.quarantined.contains_key(fingerprint)
                && !crashes.iter().any(|crash| self.is_answered(&(**fingerprint, crash.version), now))
        });
        let suspected_at = |crashes: &[CrashObservation]| {
            let mut times: Vec<SystemTime> = crashes.iter().map(|crash| crash.at).collect();
            times.sort_unstable();
            times.get(MIN_UNEXPLAINED_CRASHES - 1).copied()
        };
        unclaimed.filter_map(|(_, crashes)| suspected_at(crashes)).max().map(|at| at + FIRST_SEND_TIME)
    }

    /// Claimed sends that run at any VM, each with the time left; its crash ends it.
    fn running_claims(&self, now: SystemTime) -> impl Iterator<Item = (&QuarantineEntry, Duration)> {
        self.quarantined.values().filter_map(move |state| {
            let left = state.entry.trial_left(now)?;
            let crash = self.crash_since(state.entry.fingerprint, state.entry.last_trial);
            crash.is_none().then_some((&state.entry, left))
        })
    }

    /// Time left of a claimed send whose endpoint is not known.
    fn claimed_send_left(&self, now: SystemTime) -> Option<Duration> {
        let unknown = self.running_claims(now).filter(|(entry, _)| entry.endpoint.is_none());
        unknown.map(|(_, left)| left).min()
    }

    /// Endpoints at which claimed sends of other requests run, by the fingerprints of their addresses.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::quarantine::{Quarantine, QuarantineEntry};
    ///
    /// let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
    /// let mut quarantine = Quarantine::default();
    /// quarantine.record_claim(QuarantineEntry {
    ///     fingerprint: 7,
    ///     version: 1,
    ///     first_crash: now - Duration::from_secs(9),
    ///     since: now,
    ///     until: now + Duration::from_secs(3600),
    ///     trials: 0,
    ///     last_trial: Some(now),
    ///     endpoint: Some(11),
    /// });
    /// assert_eq!(quarantine.reserved_endpoints(8, now), [11]);
    /// assert!(quarantine.reserved_endpoints(7, now).is_empty(), "its own send");
    /// ```
    pub fn reserved_endpoints(&self, fingerprint: SubjectFingerprint, now: SystemTime) -> Vec<EndpointFingerprint> {
        let others = self.running_claims(now).filter(|(entry, _)| entry.fingerprint != fingerprint);
        others.filter_map(|(entry, _)| entry.endpoint).collect()
    }

    /// Records that a request with known crashes is sent to an endpoint.
    pub fn record_suspect_send(
        &mut self,
        fingerprint: SubjectFingerprint,
        endpoint: EndpointFingerprint,
        now: SystemTime,
    ) {
        self.suspect_sends.entry(endpoint).or_default().push((fingerprint, now));
    }

    /// Endpoints to which this VM recently sent other requests with known crashes.
    pub fn endpoints_at_risk(&self, fingerprint: SubjectFingerprint, now: SystemTime) -> Vec<EndpointFingerprint> {
        let is_open = |(other, at): &(SubjectFingerprint, SystemTime)| {
            *other != fingerprint && now < *at + SUSPECT_SEND_LIFETIME && self.observations.contains_key(other)
        };
        let at_risk = self.suspect_sends.iter().filter(|(_, sends)| sends.iter().any(is_open));
        at_risk.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Whether a request to which crashes are attributed was in progress at a crash.
    fn is_explained(&self, crash: &CrashObservation) -> bool {
        let causes = self.quarantined.values().filter(|state| state.entry.is_attributed());
        let mut explained = causes.filter_map(|state| self.observations.get(&state.entry.fingerprint)).flatten();
        explained.any(|known| known.is_same_crash(crash))
    }

    /// Number of known crashes at which a request was in progress.
    pub fn crash_count(&self, fingerprint: SubjectFingerprint) -> usize {
        self.observations.get(&fingerprint).map_or(0, Vec::len)
    }

    /// Records that this VM claimed a trial or the send of a suspect, with the stored entry of the claim.
    pub fn record_claim(&mut self, claimed: QuarantineEntry) {
        self.merge_entry(claimed, true);
    }

    /// Records the number of started trials of a request, and the start of the last one.
    fn record_trials(
        &mut self,
        fingerprint: SubjectFingerprint,
        trials: usize,
        last_trial: Option<SystemTime>,
        endpoint: Option<EndpointFingerprint>,
    ) {
        if let Some(state) = self.quarantined.get_mut(&fingerprint).filter(|state| state.entry.trials < trials) {
            state.entry.trials = trials;
            state.entry.last_trial = last_trial;
            state.entry.endpoint = endpoint;
            state.report_count = 0;
        }
    }

    /// Records that an attempt failed `ran_for` after it was sent to an endpoint of a version. The endpoint may
    /// already be known to have exited.
    pub fn record_broken_attempt(
        &mut self,
        (judged, version): (JudgedRequest, VersionFingerprint),
        endpoint: &str,
        ran_for: Duration,
        now: SystemTime,
    ) {
        let observation = CrashObservation { endpoint: endpoint.to_owned(), version, ran_for, at: now, request: None };
        let attempt = OpenAttempt { judged, observation, is_abandoned: false };
        if let Some(attempt) = self.open_attempts.add(attempt) {
            self.add_own_crash(attempt, now);
        }
    }

    /// Records that an attempt was abandoned `ran_for` after it was sent, while the endpoint may still have been
    /// running it.
    pub fn record_abandoned_attempt(
        &mut self,
        (judged, version): (JudgedRequest, VersionFingerprint),
        endpoint: &str,
        ran_for: Duration,
        now: SystemTime,
    ) {
        let observation = CrashObservation { endpoint: endpoint.to_owned(), version, ran_for, at: now, request: None };
        self.open_attempts.add(OpenAttempt { judged, observation, is_abandoned: true });
    }

    /// Records that an endpoint exited; recently failed attempts there were in progress at its crash.
    pub fn record_endpoint_exit(&mut self, endpoint: &str, now: SystemTime) {
        for attempt in self.open_attempts.record_exit(endpoint, now) {
            self.add_own_crash(attempt, now);
        }
    }

    /// Records that an endpoint is alive: attempts that failed there only lost their connections.
    pub fn record_endpoint_alive(&mut self, endpoint: &str) {
        self.open_attempts.record_alive(endpoint);
    }

    /// Whether an exit of an endpoint would be attributed to attempts that failed or were abandoned there.
    pub fn has_open_attempts(&self, endpoint: &str, now: SystemTime) -> bool {
        self.open_attempts.has_open(endpoint, now)
    }

    /// Records that an endpoint of a version answered a request completely; returns the changes that follow.
    pub fn record_answer(
        &mut self,
        (judged, version): (JudgedRequest, VersionFingerprint),
        now: SystemTime,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for fingerprint in judged.subjects() {
            self.answered.record((fingerprint, version), now);
            let change = self.apply_answer((fingerprint, version), now);
            self.released.extend(change.map(|_| fingerprint));
            changes.extend(change);
        }
        changes
    }

    /// Adds a crash that this VM observed, for the request and for the parts of its prompt.
    fn add_own_crash(&mut self, OpenAttempt { judged, observation, .. }: OpenAttempt, now: SystemTime) {
        for part in judged.parts {
            let of_part = CrashObservation { request: Some(judged.request), ..observation.clone() };
            self.add_observation(part, of_part, true, now);
        }
        self.add_observation(judged.request, observation, true, now);
    }

    fn add_observation(
        &mut self,
        fingerprint: SubjectFingerprint,
        observation: CrashObservation,
        is_own: bool,
        now: SystemTime,
    ) {
        let run = (fingerprint, observation.version);
        if let Some(at) = self.answered.last_answer(&run, now)
            && (!is_own || observation.request.is_none())
        {
            // Other VMs must know of the answer before they evaluate the request or part.
            let known = self.cleared.entry(run).or_insert((at, 0));
            if observation.request.is_some() && known.0 + ANSWER_REPORT_INTERVAL < at {
                *known = (at, 0);
            }
        }
        if self.cleared.get(&run).is_some_and(|(at, _)| observation.at <= *at) {
            return;
        }
        // No request with a part that crashes endpoints is ever answered.
        if observation.request.is_some() && self.is_answered(&run, now) {
            return;
        }
        let observations = self.observations.entry(fingerprint).or_default();
        if observations.iter().any(|known| known.is_same_crash(&observation)) {
            return;
        }
        self.last_crash = self.last_crash.max(Some(observation.at));
        observations.push(observation);
        self.is_changed = true;
        // Crashes of other VMs are relayed only if the request has several; the reports of the first VM reach enough
        // others.
        if is_own || observations.len() > 1 {
            let newest = observations.last().map(|observation| (fingerprint, observation.endpoint.clone()));
            self.report_counts.extend(newest.map(|key| (key, 0)));
            for earlier in observations.iter() {
                self.report_counts.entry((fingerprint, earlier.endpoint.clone())).or_insert(0);
            }
        }
    }

    fn apply_answer(&mut self, run: RunKey, at: SystemTime) -> Option<QuarantineChange> {
        let (fingerprint, version) = run;
        let observations = self.observations.get_mut(&fingerprint);
        let is_known = observations.is_some();
        if let Some(observations) = observations {
            self.is_changed = true;
            observations.retain(|observation| observation.version != version || observation.at > at);
            if observations.is_empty() {
                self.observations.remove(&fingerprint);
            }
        }
        let refutes = |state: &EntryState| state.entry.version == version && state.entry.first_crash <= at;
        let is_refuted = self.quarantined.get(&fingerprint).is_some_and(refutes);
        if !is_known && !is_refuted {
            return None;
        }
        let known = self.cleared.entry(run).or_insert((at, 0));
        if known.0 < at {
            *known = (at, 0);
        }
        if !is_refuted {
            return None;
        }
        self.quarantined.remove(&fingerprint);
        Some(QuarantineChange::Released { fingerprint })
    }

    /// Quarantines the requests to which crashes are attributed, once reports of other VMs have had time to arrive;
    /// returns the new ones.
    pub fn quarantine_suspects(&mut self, now: SystemTime) -> Vec<QuarantineChange> {
        self.skip_pointless_trials(now);
        let mut changes = Vec::new();
        if !std::mem::take(&mut self.is_changed) && self.suspects.is_empty() {
            return changes;
        }
        self.suspects.clear();
        for CrashCause { fingerprint, crashes, is_clear } in self.find_crash_causes(now) {
            if self.quarantined.contains_key(&fingerprint) {
                continue;
            }
            let Some(last) = crashes.iter().max_by_key(|observation| observation.at) else { continue };
            if now < last.at + SETTLE_TIME {
                self.suspects.insert(fingerprint, last.at + SETTLE_TIME);
                continue;
            }
            let Some(mut entry) = new_entry(fingerprint, &crashes, now) else { continue };
            if !is_clear {
                entry.last_trial = last.at.checked_sub(last.ran_for);
            }
            self.released.remove(&fingerprint);
            self.quarantined.insert(fingerprint, EntryState { entry, is_stored: false, report_count: 0 });
            let is_part = are_of_part(&crashes);
            changes.push(QuarantineChange::Quarantined { fingerprint, crashes: crashes.len(), is_part });
        }
        changes
    }

    /// Time until the crash under the send of a suspect can be judged.
    fn settle_time_left(&self, entry: &QuarantineEntry, now: SystemTime) -> Option<Duration> {
        let crash = self.crash_since(entry.fingerprint, Some(entry.since))?;
        time_until(crash.at + SETTLE_TIME, now)
    }

    /// Skips the first trial of each suspect under whose send an endpoint crashed that ran no other suspect.
    fn skip_pointless_trials(&mut self, now: SystemTime) {
        let is_settled = |crash: &CrashObservation| crash.at + SETTLE_TIME <= now;
        let sole_suspects: Vec<SubjectFingerprint> = self
            .quarantined
            .values()
            .filter(|state| !state.entry.is_attributed())
            .filter(|state| {
                let crash = self.crash_since(state.entry.fingerprint, state.entry.last_trial);
                crash
                    .is_some_and(|crash| is_settled(crash) && self.is_sole_suspect(state.entry.fingerprint, crash, now))
            })
            .map(|state| state.entry.fingerprint)
            .collect();
        for fingerprint in sole_suspects {
            let Some(entry) = self.quarantined.get(&fingerprint).map(|state| state.entry) else { continue };
            self.record_trials(fingerprint, 1, entry.last_trial, entry.endpoint);
        }
    }

    /// The first known crash at which a request was in progress that was sent at `since` or later.
    fn crash_since(&self, fingerprint: SubjectFingerprint, since: Option<SystemTime>) -> Option<&CrashObservation> {
        let crashes = self.observations.get(&fingerprint)?.iter();
        let is_sent_since = |crash: &&CrashObservation| crash.at.checked_sub(crash.ran_for) >= since;
        crashes.filter(is_sent_since).min_by_key(|crash| crash.at)
    }

    /// Whether no other request at a crash was in progress at several crashes.
    fn is_sole_suspect(&self, fingerprint: SubjectFingerprint, crash: &CrashObservation, now: SystemTime) -> bool {
        !self.observations.iter().any(|(other, crashes)| {
            *other != fingerprint
                && crashes.iter().any(|known| known.is_same_crash(crash))
                && self.is_suspect(*other, now)
        })
    }

    fn find_crash_causes(&self, now: SystemTime) -> Vec<CrashCause> {
        let is_answered = |run: &RunKey| self.is_answered(run, now);
        let is_attributed = |fingerprint: SubjectFingerprint| {
            self.quarantined.get(&fingerprint).is_some_and(|state| state.entry.is_attributed())
        };
        find_crash_causes(&self.observations, is_attributed, is_answered)
    }

    /// Whether an endpoint of a version answered a request recently.
    fn is_answered(&self, run: &RunKey, now: SystemTime) -> bool {
        let is_cleared = self.cleared.get(run).is_some_and(|(at, _)| now < *at + ANSWER_LIFETIME);
        is_cleared || self.answered.last_answer(run, now).is_some()
    }

    /// Whether the decision on any request is pending.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether anything has not been reported to other VMs yet.
    pub fn has_unreported(&self) -> bool {
        self.report_counts.values().any(|report_count| *report_count == 0)
            || self.quarantined.values().any(|state| state.report_count == 0)
            || self.cleared.values().any(|(_, report_count)| *report_count == 0)
    }

    /// The next report. New entries appear in several reports, the others in turn.
    pub fn next_report(&mut self, now: SystemTime) -> QuarantineReport {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let mut report = QuarantineReport::default();
        for fingerprint in
            least_reported(self.quarantined.iter().map(|(fingerprint, state)| (*fingerprint, state.report_count)))
        {
            let Some(state) = self.quarantined.get_mut(&fingerprint) else { continue };
            state.report_count += 1;
            report.held.push(ReportedQuarantineEntry::new(&state.entry, state.is_stored, now));
        }
        // Parts go first, those at most crashes before others: each of them decides on many requests.
        let crashes = self.report_counts.iter().map(|((fingerprint, endpoint), report_count)| {
            let part_crashes = if self.is_part(*fingerprint) { self.crash_count(*fingerprint) } else { 0 };
            ((Reverse(part_crashes), *fingerprint, endpoint.clone()), *report_count)
        });
        for (_, fingerprint, endpoint) in least_reported(crashes) {
            let observations = self.observations.get(&fingerprint).into_iter().flatten();
            let of_endpoint = observations.filter(|observation| observation.endpoint == endpoint);
            report.crashes.extend(of_endpoint.map(|observation| ReportedCrash::new(fingerprint, observation, now)));
            self.report_counts.entry((fingerprint, endpoint)).and_modify(|report_count| *report_count += 1);
        }
        for run in least_reported(self.cleared.iter().map(|(run, (_, report_count))| (*run, *report_count))) {
            let Some((at, report_count)) = self.cleared.get_mut(&run) else { continue };
            *report_count += 1;
            report.answered.push(ReportedAnswer { fingerprint: run.0, version: run.1, age: age(*at) });
        }
        report
    }

    /// The state transfer for a VM that starts: all quarantined requests, and the crashes of those that have the most,
    /// the latest first. None before this VM has loaded the entries from before its own start.
    pub fn full_report(&self, now: SystemTime) -> Option<QuarantineReport> {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let crashes = self.observations.iter().flat_map(|(fingerprint, observations)| {
            observations.iter().map(|observation| ReportedCrash::new(*fingerprint, observation, now))
        });
        let mut crashes: Vec<ReportedCrash> = crashes.collect();
        // A VM that knows only some crashes of a suspect would send it without a claim.
        crashes.sort_by_key(|crash| (Reverse(self.crash_count(crash.fingerprint).min(MAX_CRASHES)), crash.age));
        crashes.truncate(MAX_TRANSFERRED);
        let held = self
            .quarantined
            .values()
            .map(|state| ReportedQuarantineEntry::new(&state.entry, state.is_stored, now))
            .collect();
        let answered = self.cleared.iter();
        let answered = answered.map(|((fingerprint, version), (at, _))| ReportedAnswer {
            fingerprint: *fingerprint,
            version: *version,
            age: age(*at),
        });
        self.is_loaded.then(|| QuarantineReport { crashes, held, answered: answered.take(MAX_TRANSFERRED).collect() })
    }

    /// Merges the report of another VM; returns the changes.
    pub fn merge_report(&mut self, report: QuarantineReport, now: SystemTime) -> Vec<QuarantineChange> {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(SystemTime::UNIX_EPOCH);
        let mut changes: Vec<QuarantineChange> = report
            .answered
            .iter()
            .filter_map(|reported| {
                self.apply_reported_answer((reported.fingerprint, reported.version), at(reported.age))
            })
            .collect();
        for ReportedCrash { fingerprint, endpoint, version, ran_for, age, request } in
            report.crashes.into_iter().filter(|reported| reported.age < OBSERVATION_LIFETIME)
        {
            let observation = CrashObservation { endpoint, version, ran_for, at: at(age), request };
            self.apply_reported_crash(&observation, now);
            self.add_observation(fingerprint, observation, false, now);
        }
        for reported in report.held {
            let entry = QuarantineEntry {
                fingerprint: reported.fingerprint,
                version: reported.version,
                first_crash: at(reported.first_crash_age),
                since: at(reported.quarantined_for),
                until: now + reported.remaining.min(QUARANTINE_DURATION),
                trials: reported.trials,
                last_trial: reported.last_trial_age.map(at),
                endpoint: reported.endpoint,
            };
            changes.extend(self.merge_entry(entry, reported.is_stored));
        }
        changes.extend(self.quarantine_suspects(now));
        changes
    }

    /// Applies a crash that another VM reported: attempts that this VM abandoned there just before were in progress
    /// at that crash.
    fn apply_reported_crash(&mut self, reported: &CrashObservation, now: SystemTime) {
        for attempt in self.open_attempts.take_at_crash(reported) {
            self.add_own_crash(attempt, now);
        }
    }

    /// Applies an answer that another VM reported, also for a request without known crashes.
    fn apply_reported_answer(&mut self, run: RunKey, at: SystemTime) -> Option<QuarantineChange> {
        let change = self.apply_answer(run, at);
        self.cleared.entry(run).or_insert((at, REPORTS_PER_ENTRY));
        change
    }

    fn merge_entry(&mut self, reported: QuarantineEntry, is_stored: bool) -> Option<QuarantineChange> {
        let fingerprint = reported.fingerprint;
        if self.cleared.get(&(fingerprint, reported.version)).is_some_and(|(at, _)| reported.first_crash <= *at) {
            return None;
        }
        if let Some(known) = self.quarantined.get_mut(&fingerprint) {
            known.is_stored |= is_stored;
            // All VMs use the earliest start of the quarantine.
            known.entry.since = known.entry.since.min(reported.since);
            if known.entry.is_same_send(&reported) {
                known.entry.endpoint = known.entry.endpoint.or(reported.endpoint);
            } else if known.entry.trials == reported.trials && known.entry.last_trial < reported.last_trial {
                known.entry.last_trial = reported.last_trial;
                known.entry.endpoint = reported.endpoint;
            }
            self.record_trials(fingerprint, reported.trials, reported.last_trial, reported.endpoint);
            return None;
        }
        self.quarantined.insert(fingerprint, EntryState { entry: reported, is_stored, report_count: 0 });
        Some(QuarantineChange::Learned { fingerprint })
    }

    /// Merges the stored list; returns the changes. Entries that an answer has refuted are to be removed from the list.
    pub fn merge_stored(&mut self, entries: &[QuarantineEntry], now: SystemTime) -> Vec<QuarantineChange> {
        self.is_loaded = true;
        let is_refuted = |stored: &&QuarantineEntry| {
            let answered = self.cleared.get(&(stored.fingerprint, stored.version));
            answered.is_some_and(|(at, _)| stored.first_crash <= *at)
                && !self.quarantined.contains_key(&stored.fingerprint)
        };
        self.released.extend(entries.iter().filter(is_refuted).map(|stored| stored.fingerprint));
        let live = entries.iter().filter(|stored| now < stored.until);
        live.filter_map(|stored| {
            self.merge_entry(QuarantineEntry { until: stored.until.min(now + QUARANTINE_DURATION), ..*stored }, true)
        })
        .collect()
    }

    /// Records that another VM has transferred its state.
    pub fn set_loaded(&mut self) {
        self.is_loaded = true;
    }

    /// Whether the entries from before the start are known.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Quarantined requests that are not known to be on the stored list, which outlives all VMs.
    pub fn unstored(&self) -> Vec<QuarantineEntry> {
        self.quarantined.values().filter(|state| !state.is_stored).map(|state| state.entry).collect()
    }

    /// Records that the entry of a request is on the stored list.
    pub fn set_stored(&mut self, fingerprint: SubjectFingerprint) {
        if let Some(state) = self.quarantined.get_mut(&fingerprint) {
            state.is_stored = true;
            state.report_count = 0;
        }
    }

    /// All quarantined requests.
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        self.quarantined.values().map(|state| state.entry).collect()
    }

    /// Requests to remove from the stored list, so that a restart of all VMs does not quarantine them again.
    pub fn released(&self) -> Vec<SubjectFingerprint> {
        self.released.iter().copied().collect()
    }

    /// Records that a request is no longer on the stored list.
    pub fn set_removed(&mut self, fingerprint: SubjectFingerprint) {
        self.released.remove(&fingerprint);
    }

    /// Drops entries and evidence that are too old to count.
    pub fn prune(&mut self, now: SystemTime) {
        self.open_attempts.prune(now);
        self.suspect_sends.retain(|_, sends| {
            sends.retain(|(_, at)| now < *at + SUSPECT_SEND_LIFETIME);
            !sends.is_empty()
        });
        self.quarantined.retain(|_, state| now < state.entry.until);
        self.cleared.retain(|_, (at, _)| now < *at + OBSERVATION_LIFETIME);
        let cutoff = self.eviction_cutoff(now);
        self.observations.retain(|_, observations| {
            observations.retain(|observation| observation.at > cutoff);
            !observations.is_empty()
        });
        let observations = &self.observations;
        self.report_counts.retain(|(fingerprint, endpoint), _| {
            observations
                .get(fingerprint)
                .is_some_and(|observations| observations.iter().any(|observation| observation.endpoint == *endpoint))
        });
    }

    /// The time up to which crashes are dropped, because of their age or because there are too many.
    fn eviction_cutoff(&self, now: SystemTime) -> SystemTime {
        let by_age = now.checked_sub(OBSERVATION_LIFETIME).unwrap_or(SystemTime::UNIX_EPOCH);
        let mut times: Vec<SystemTime> =
            self.observations.values().flatten().map(|observation| observation.at).collect();
        let Some(excess) = times.len().checked_sub(MAX_OBSERVATIONS).filter(|excess| *excess > 0) else {
            return by_age;
        };
        let (_, newest_forgotten, _) = times.select_nth_unstable(excess - 1);
        by_age.max(*newest_forgotten)
    }
}

/// The entry of a request that enters the quarantine at `now`; none without crashes.
fn new_entry(
    fingerprint: SubjectFingerprint,
    crashes: &[CrashObservation],
    now: SystemTime,
) -> Option<QuarantineEntry> {
    let first = crashes.iter().min_by_key(|observation| observation.at)?;
    let last = crashes.iter().max_by_key(|observation| observation.at)?;
    Some(QuarantineEntry {
        fingerprint,
        version: last.version,
        first_crash: first.at,
        since: now,
        until: now + QUARANTINE_DURATION,
        trials: 0,
        last_trial: None,
        endpoint: None,
    })
}

/// Time from `now` until `at`; none once it is reached.
fn time_until(at: SystemTime, now: SystemTime) -> Option<Duration> {
    at.duration_since(now).ok().filter(|left| !left.is_zero())
}
