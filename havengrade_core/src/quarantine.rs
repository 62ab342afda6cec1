//! Requests that crash the endpoints that run them: who they are, as far as VMs know together, and that they are sent no more.
//!
//! A try that breaks says nothing by itself: connections get lost for many reasons. If its endpoint is then found to have ended, the
//! request was at a crash. VMs tell each other of such crashes, so that each of them can tell the cause from those
//! that only were there, whichever VMs sent them. A request that an endpoint answers as a whole has crashed none: what was seen
//! before counts no more.
//!
//! A request that comes often is in progress at many endpoints, so that it may be held back although others were the cause. So each
//! one that is held is last_trial a few times more, one VM at a time for all of them, and is free again once an endpoint answers it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

use crate::{
    answer_history::{ANSWER_LIFETIME, AnswerHistory, RunKey},
    crash_attribution::{CrashCause, CrashObservation, CrashObservations, find_crash_causes, is_same_crash_time},
    fingerprint::{RequestFingerprint, VersionFingerprint},
    gossip::{REPORTS_PER_ENTRY, least_reported},
    ids::EndpointId,
    quarantine_entry::QUARANTINE_DURATION,
};
pub use crate::{
    quarantine_entry::{QuarantineEntry, next_trial},
    quarantine_report::{QuarantineReport, ReportedAnswer, ReportedCrash, ReportedQuarantineEntry},
};

/// Time since the last crash of a request after which it is judged. Until then it waits where enough is known of it, since what other
/// VMs saw of the crash, which may name another cause, is on its way: two reports, and as much again for lost ones.
const SETTLE: Duration = Duration::from_millis(1000);
/// Time without any crash after which a request is last_trial: while other causes are at work, an innocent one would fail.
const CALM: Duration = Duration::from_millis(1500);
/// Time for which a crash counts against a request that comes rarely.
const SIGHT_LIFE: Duration = Duration::from_secs(3600);
/// Time from a try that breaks until its endpoint is known to have ended; a look takes as long as a connection may.
const BROKEN_LIFE: Duration = Duration::from_secs(3);
/// Time from when a try is given up until which the end of its endpoint is its crash: the endpoint runs it until it finds that nobody waits.
const LEFT_LIFE: Duration = Duration::from_millis(500);
/// Crashes that are remembered; the oldest ones give way.
const MAX_SIGHTS: usize = 2048;
/// Crashes that a VM which starts is told of.
const MAX_HANDED: usize = 96;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may be sent.
    Free,
    /// It is about to be known whether it may be sent: what other VMs saw is on its way, or it is being last_trial.
    Pending {
        /// Time until then, unless more is seen.
        decided_in: Duration,
    },
    /// It is held back.
    Quarantined {
        /// Time after which it may come back.
        retry_after: Duration,
    },
    /// It is held back, and is to be last_trial once more by whichever VM is the first to write so.
    TrialDue(QuarantineEntry),
}

/// A change of what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is held back by this VM's judgement.
    Quarantined {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Crashes that it was at.
        crashes: usize,
    },
    /// It is held back, as another VM or the kept list tells.
    Learned {
        /// The request.
        fingerprint: RequestFingerprint,
    },
    /// It is held back no longer, since an endpoint answered it.
    Released {
        /// The request.
        fingerprint: RequestFingerprint,
    },
}

#[derive(Clone, Debug)]
struct Hold {
    kept: QuarantineEntry,
    is_stored: bool,
    told: u32,
}

/// A try that broke or was given up.
#[derive(Clone, Debug)]
struct Broken {
    fingerprint: RequestFingerprint,
    observation: CrashObservation,
    /// Until when the end of its endpoint is its crash.
    until: SystemTime,
}

/// What is known of requests that crash endpoints.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Tries that broke or were given up lately, at endpoints of which it is not known whether they ended.
    broken: HashMap<EndpointId, Vec<Broken>>,
    /// Endpoints that ended lately.
    ended: HashMap<EndpointId, SystemTime>,
    /// Requests that were at crashes.
    observations: CrashObservations,
    /// The last crash of any.
    last_crash: Option<SystemTime>,
    /// How often each crash was told, by request and endpoint; own ones, and those of requests that were at several.
    tellings: HashMap<(RequestFingerprint, EndpointId), u32>,
    held: HashMap<RequestFingerprint, Hold>,
    /// Requests that wait until what others saw has come in, and when that will be.
    suspects: HashMap<RequestFingerprint, SystemTime>,
    /// Requests that an answer at this VM released, and that are still on the list that outlasts all VMs.
    released: HashSet<RequestFingerprint>,
    /// The last answers that this VM saw.
    answered: AnswerHistory,
    /// Answers to requests that were at crashes, when, and how often that was told.
    cleared: HashMap<RunKey, (SystemTime, u32)>,
    /// Whether what is kept of before the start is known.
    is_loaded: bool,
    /// Whether crashes or answers came to be known since the last judgement.
    is_changed: bool,
}

impl Quarantine {
    /// Whether any request is known, so that fingerprints must be worked out.
    pub fn needs_fingerprints(&self) -> bool {
        !self.observations.is_empty() || !self.held.is_empty()
    }

    /// What may be done with a request.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::quarantine::{Quarantine, QuarantineStatus};
    ///
    /// let at = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    /// let mut quarantine = Quarantine::default();
    /// for (second, endpoint) in [(10, "e1"), (12, "e2"), (14, "e3")] {
    ///     quarantine.record_broken_attempt((7, 1), endpoint, Duration::ZERO, at(second));
    ///     quarantine.record_endpoint_exit(endpoint, at(second));
    /// }
    /// quarantine.quarantine_suspects(at(14));
    /// quarantine.quarantine_suspects(at(15));
    /// assert!(matches!(quarantine.status(7, at(15)), QuarantineStatus::Pending { .. }));
    /// assert!(matches!(quarantine.status(7, at(17)), QuarantineStatus::TrialDue(_)));
    /// assert_eq!(quarantine.status(8, at(15)), QuarantineStatus::Free);
    /// ```
    pub fn status(&self, fingerprint: RequestFingerprint, now: SystemTime) -> QuarantineStatus {
        let Some(hold) = self.held.get(&fingerprint).filter(|hold| now < hold.kept.until) else {
            let Some(settled) = self.suspects.get(&fingerprint) else { return QuarantineStatus::Free };
            return QuarantineStatus::Pending { decided_in: settled.duration_since(now).unwrap_or_default() };
        };
        if let Some(left) = hold.kept.trial_left(now) {
            return QuarantineStatus::Pending { decided_in: left };
        }
        let calm = self.last_crash.map_or(SystemTime::UNIX_EPOCH, |at| at + CALM);
        let until = |at: SystemTime| at.duration_since(now).ok().filter(|left| !left.is_zero());
        match hold.kept.next_trial_at().map(|at| until(at.max(calm))) {
            Some(None) => QuarantineStatus::TrialDue(hold.kept),
            Some(Some(left)) => QuarantineStatus::Pending { decided_in: left },
            None => {
                QuarantineStatus::Quarantined { retry_after: hold.kept.until.duration_since(now).unwrap_or_default() }
            },
        }
    }

    /// Notes how many trials of a request were begun, and when the last one was.
    pub fn record_trials(&mut self, fingerprint: RequestFingerprint, trials: usize, last_trial: Option<SystemTime>) {
        if let Some(hold) = self.held.get_mut(&fingerprint).filter(|hold| hold.kept.trials < trials) {
            hold.kept.trials = trials;
            hold.kept.last_trial = last_trial;
            hold.told = 0;
        }
    }

    /// Notes that a try of a request broke, `ran_for` after it was sent to an endpoint of a version; of that endpoint it may be known that it
    /// has ended.
    pub fn record_broken_attempt(
        &mut self,
        (fingerprint, version): (RequestFingerprint, VersionFingerprint),
        endpoint: &str,
        ran_for: Duration,
        now: SystemTime,
    ) {
        let observation = CrashObservation { endpoint: endpoint.to_owned(), version, ran_for, at: now };
        if self.ended.get(endpoint).is_some_and(|ended| is_same_crash_time(*ended, now)) {
            self.see(fingerprint, observation, true, now);
        } else {
            let broken = Broken { fingerprint, observation, until: now + BROKEN_LIFE };
            self.broken.entry(endpoint.to_owned()).or_default().push(broken);
        }
    }

    /// Notes that a try of a request was given up, `ran_for` after it was sent, while the endpoint may have been at work on it.
    pub fn record_abandoned_attempt(
        &mut self,
        (fingerprint, version): (RequestFingerprint, VersionFingerprint),
        endpoint: &str,
        ran_for: Duration,
        now: SystemTime,
    ) {
        let observation = CrashObservation { endpoint: endpoint.to_owned(), version, ran_for, at: now };
        let left = Broken { fingerprint, observation, until: now + LEFT_LIFE };
        self.broken.entry(endpoint.to_owned()).or_default().push(left);
    }

    /// Notes that an endpoint has ended; the tries that broke there lately were at its crash.
    pub fn record_endpoint_exit(&mut self, endpoint: &str, now: SystemTime) {
        self.ended.insert(endpoint.to_owned(), now);
        for Broken { fingerprint, observation, until } in self.broken.remove(endpoint).unwrap_or_default() {
            if now < until {
                self.see(fingerprint, observation, true, now);
            }
        }
    }

    /// Notes that an endpoint where tries broke is there: its connections were lost, and nothing more.
    pub fn record_endpoint_alive(&mut self, endpoint: &str) {
        self.broken.remove(endpoint);
    }

    /// Notes that an endpoint of a version answered a request as a whole; gives what changes by it.
    pub fn record_answer(
        &mut self,
        run: (RequestFingerprint, VersionFingerprint),
        now: SystemTime,
    ) -> Option<QuarantineChange> {
        self.answered.record(run, now);
        let change = self.clear(run, now);
        self.released.extend(change.map(|_| run.0));
        change
    }

    fn see(&mut self, fingerprint: RequestFingerprint, observation: CrashObservation, is_own: bool, now: SystemTime) {
        let run = (fingerprint, observation.version);
        if let Some(at) = self.answered.last_answer(&run, now) {
            // Others must know that it was answered before they quarantine_suspects.
            self.cleared.entry(run).or_insert((at, 0));
        }
        if self.cleared.get(&run).is_some_and(|(at, _)| observation.at <= *at) {
            return;
        }
        let seen = self.observations.entry(fingerprint).or_default();
        if seen.iter().any(|known| known.is_same_crash(&observation)) {
            return;
        }
        self.last_crash = self.last_crash.max(Some(observation.at));
        seen.push(observation);
        self.is_changed = true;
        // Others pass on only what adds up; what the first VM tells reaches enough of them.
        if is_own || seen.len() > 1 {
            let newest = seen.last().map(|observation| (fingerprint, observation.endpoint.clone()));
            self.tellings.extend(newest.map(|key| (key, 0)));
            for earlier in seen.iter() {
                self.tellings.entry((fingerprint, earlier.endpoint.clone())).or_insert(0);
            }
        }
    }

    fn clear(&mut self, run: RunKey, at: SystemTime) -> Option<QuarantineChange> {
        let (fingerprint, version) = run;
        let is_known = match self.observations.get_mut(&fingerprint) {
            Some(seen) => {
                self.is_changed = true;
                seen.retain(|observation| observation.version != version || observation.at > at);
                true
            },
            None => false,
        };
        self.observations.retain(|_, seen| !seen.is_empty());
        let refutes = |hold: &Hold| hold.kept.version == version && hold.kept.first_crash <= at;
        let is_refuted = self.held.get(&fingerprint).is_some_and(refutes);
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
        self.held.remove(&fingerprint);
        Some(QuarantineChange::Released { fingerprint })
    }

    /// Holds back the requests that explain crashes, once what others saw is known; gives those that were not held before.
    pub fn quarantine_suspects(&mut self, now: SystemTime) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        if !std::mem::take(&mut self.is_changed) && self.suspects.is_empty() {
            return changes;
        }
        self.suspects.clear();
        for CrashCause { fingerprint, crashes } in self.find_crash_causes(now) {
            let Some(last) = crashes.iter().max_by_key(|observation| observation.at) else { continue };
            if now < last.at + SETTLE {
                self.suspects.insert(fingerprint, last.at + SETTLE);
                continue;
            }
            let first_crash = crashes.iter().map(|observation| observation.at).min().unwrap_or(now);
            let kept = QuarantineEntry {
                fingerprint,
                version: last.version,
                first_crash,
                since: now,
                until: now + QUARANTINE_DURATION,
                trials: 0,
                last_trial: None,
            };
            self.released.remove(&fingerprint);
            self.held.insert(fingerprint, Hold { kept, is_stored: false, told: 0 });
            changes.push(QuarantineChange::Quarantined { fingerprint, crashes: crashes.len() });
        }
        changes
    }

    fn find_crash_causes(&self, now: SystemTime) -> Vec<CrashCause> {
        let is_answered = |run: &RunKey| {
            let told = self.cleared.get(run).is_some_and(|(at, _)| now < *at + ANSWER_LIFETIME);
            told || self.answered.last_answer(run, now).is_some()
        };
        find_crash_causes(&self.observations, |fingerprint| self.held.contains_key(&fingerprint), is_answered)
    }

    /// Whether a request waits to be judged.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether others are to be told of something at once.
    pub fn has_unreported(&self) -> bool {
        self.tellings.values().any(|told| *told == 0)
            || self.held.values().any(|hold| hold.told == 0)
            || self.cleared.values().any(|(_, told)| *told == 0)
    }

    /// What the next report tells: what is new a few times, and the rest in turn.
    pub fn next_report(&mut self, now: SystemTime) -> QuarantineReport {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let mut news = QuarantineReport::default();
        for fingerprint in least_reported(self.held.iter().map(|(fingerprint, hold)| (*fingerprint, hold.told))) {
            let Some(hold) = self.held.get_mut(&fingerprint) else { continue };
            hold.told += 1;
            news.held.push(ReportedQuarantineEntry::new(&hold.kept, hold.is_stored, now));
        }
        for key in least_reported(self.tellings.iter().map(|(key, told)| (key.clone(), *told))) {
            self.tellings.entry(key.clone()).and_modify(|told| *told += 1);
            let (fingerprint, endpoint) = key;
            let seen = self.observations.get(&fingerprint).into_iter().flatten();
            let of_endpoint = seen.filter(|observation| observation.endpoint == endpoint);
            news.crashes.extend(of_endpoint.map(|observation| ReportedCrash {
                fingerprint,
                endpoint: endpoint.clone(),
                version: observation.version,
                ran_for: observation.ran_for,
                age: age(observation.at),
            }));
        }
        for run in least_reported(self.cleared.iter().map(|(run, (_, told))| (*run, *told))) {
            let Some((at, told)) = self.cleared.get_mut(&run) else { continue };
            *told += 1;
            news.answered.push(ReportedAnswer { fingerprint: run.0, version: run.1, age: age(*at) });
        }
        news
    }

    /// What a VM that starts is told: all that is held, and the newest crashes; none before this VM knows what is kept itself.
    pub fn full_report(&self, now: SystemTime) -> Option<QuarantineReport> {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let crashes = self.observations.iter().flat_map(|(fingerprint, seen)| {
            seen.iter().map(|observation| ReportedCrash {
                fingerprint: *fingerprint,
                endpoint: observation.endpoint.clone(),
                version: observation.version,
                ran_for: observation.ran_for,
                age: age(observation.at),
            })
        });
        let mut crashes: Vec<ReportedCrash> = crashes.collect();
        crashes.sort_by_key(|crash| crash.age);
        crashes.truncate(MAX_HANDED);
        let held =
            self.held.values().map(|hold| ReportedQuarantineEntry::new(&hold.kept, hold.is_stored, now)).collect();
        let answered = self.cleared.iter();
        let answered = answered.map(|((fingerprint, version), (at, _))| ReportedAnswer {
            fingerprint: *fingerprint,
            version: *version,
            age: age(*at),
        });
        self.is_loaded.then(|| QuarantineReport { crashes, held, answered: answered.take(MAX_HANDED).collect() })
    }

    /// Takes what another VM tells; gives what changes by it.
    pub fn merge_report(&mut self, news: QuarantineReport, now: SystemTime) -> Vec<QuarantineChange> {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(SystemTime::UNIX_EPOCH);
        let mut changes: Vec<QuarantineChange> = news
            .answered
            .iter()
            .filter_map(|told| self.hear_answer((told.fingerprint, told.version), at(told.age)))
            .collect();
        for ReportedCrash { fingerprint, endpoint, version, ran_for, age } in
            news.crashes.into_iter().filter(|told| told.age < SIGHT_LIFE)
        {
            let observation = CrashObservation { endpoint, version, ran_for, at: at(age) };
            self.hear_end(&observation, now);
            self.see(fingerprint, observation, false, now);
        }
        for told in news.held {
            let kept = QuarantineEntry {
                fingerprint: told.fingerprint,
                version: told.version,
                first_crash: at(told.first_crash_age),
                since: at(told.quarantined_for),
                until: now + told.remaining.min(QUARANTINE_DURATION),
                trials: told.trials,
                last_trial: told.last_trial_age.map(at),
            };
            changes.extend(self.learn(kept, told.is_stored));
        }
        changes.extend(self.quarantine_suspects(now));
        changes
    }

    /// Takes it from another VM that an endpoint ended: tries that this VM gave up there just before were at that crash.
    fn hear_end(&mut self, told: &CrashObservation, now: SystemTime) {
        let Some(tries) = self.broken.get_mut(&told.endpoint) else { return };
        let is_left = |broken: &mut Broken| broken.observation.at <= told.at && told.at < broken.until;
        let at_crash: Vec<Broken> = tries.extract_if(.., is_left).collect();
        for Broken { fingerprint, observation, .. } in at_crash {
            self.see(fingerprint, observation, true, now);
        }
    }

    /// Takes an answer that another VM saw, also of a request of which no crash is known here yet.
    fn hear_answer(&mut self, run: RunKey, at: SystemTime) -> Option<QuarantineChange> {
        let change = self.clear(run, at);
        self.cleared.entry(run).or_insert((at, REPORTS_PER_ENTRY));
        change
    }

    fn learn(&mut self, told: QuarantineEntry, is_stored: bool) -> Option<QuarantineChange> {
        let fingerprint = told.fingerprint;
        if self.cleared.get(&(fingerprint, told.version)).is_some_and(|(at, _)| told.first_crash <= *at) {
            return None;
        }
        if let Some(known) = self.held.get_mut(&fingerprint) {
            known.is_stored |= is_stored;
            // All VMs go by the first of them that held it.
            known.kept.since = known.kept.since.min(told.since);
            self.record_trials(fingerprint, told.trials, told.last_trial);
            return None;
        }
        self.held.insert(fingerprint, Hold { kept: told, is_stored, told: 0 });
        Some(QuarantineChange::Learned { fingerprint })
    }

    /// Takes what is kept of before the start; gives what changes by it. What an endpoint has answered since is to be taken off the list.
    pub fn merge_stored(&mut self, kept: &[QuarantineEntry], now: SystemTime) -> Vec<QuarantineChange> {
        self.is_loaded = true;
        let is_refuted = |hold: &&QuarantineEntry| {
            let answered = self.cleared.get(&(hold.fingerprint, hold.version));
            answered.is_some_and(|(at, _)| hold.first_crash <= *at) && !self.held.contains_key(&hold.fingerprint)
        };
        self.released.extend(kept.iter().filter(is_refuted).map(|hold| hold.fingerprint));
        let live = kept.iter().filter(|kept| now < kept.until);
        live.filter_map(|kept| {
            self.learn(QuarantineEntry { until: kept.until.min(now + QUARANTINE_DURATION), ..*kept }, true)
        })
        .collect()
    }

    /// Notes that another VM has handed on what is known.
    pub fn set_loaded(&mut self) {
        self.is_loaded = true;
    }

    /// Whether what is kept of before the start is known.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Requests that are held back and are not known to be kept where that outlasts all VMs.
    pub fn unstored(&self) -> Vec<QuarantineEntry> {
        self.held.values().filter(|hold| !hold.is_stored).map(|hold| hold.kept).collect()
    }

    /// Notes that a request is kept as held back.
    pub fn set_stored(&mut self, fingerprint: RequestFingerprint) {
        if let Some(hold) = self.held.get_mut(&fingerprint) {
            hold.is_stored = true;
            hold.told = 0;
        }
    }

    /// All requests that are held back.
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        self.held.values().map(|hold| hold.kept).collect()
    }

    /// Requests to take off the list that outlasts all VMs, so that a start of all of them does not hold them back again.
    pub fn released(&self) -> Vec<RequestFingerprint> {
        self.released.iter().copied().collect()
    }

    /// Notes that a request is off that list.
    pub fn set_removed(&mut self, fingerprint: RequestFingerprint) {
        self.released.remove(&fingerprint);
    }

    /// Forgets what is too old to count.
    pub fn prune(&mut self, now: SystemTime) {
        self.broken.retain(|_, tries| {
            tries.retain(|broken| now < broken.until);
            !tries.is_empty()
        });
        self.ended.retain(|_, at| now < *at + BROKEN_LIFE);
        self.held.retain(|_, hold| now < hold.kept.until);
        self.cleared.retain(|_, (at, _)| now < *at + SIGHT_LIFE);
        let kept_since = self.oldest_kept(now);
        self.observations.retain(|_, seen| {
            seen.retain(|observation| observation.at > kept_since);
            !seen.is_empty()
        });
        let observations = &self.observations;
        self.tellings.retain(|(fingerprint, endpoint), _| {
            observations
                .get(fingerprint)
                .is_some_and(|seen| seen.iter().any(|observation| observation.endpoint == *endpoint))
        });
    }

    /// The time before which crashes are forgotten, by their age or since there are too many.
    fn oldest_kept(&self, now: SystemTime) -> SystemTime {
        let by_age = now.checked_sub(SIGHT_LIFE).unwrap_or(SystemTime::UNIX_EPOCH);
        let mut times: Vec<SystemTime> =
            self.observations.values().flatten().map(|observation| observation.at).collect();
        let Some(excess) = times.len().checked_sub(MAX_SIGHTS).filter(|excess| *excess > 0) else { return by_age };
        let (_, newest_forgotten, _) = times.select_nth_unstable(excess - 1);
        by_age.max(*newest_forgotten)
    }
}
