//! Requests that crash the endpoints that run them: who they are, as far as VMs know together, and that they are sent no more.
//!
//! A try that breaks says nothing by itself: connections get lost for many reasons. If its endpoint is then found to have ended, the
//! request was at a crash. VMs tell each other of such crashes, so that each of them can tell the cause from those
//! that only were there, whichever VMs sent them. A request that an endpoint answers as a whole has crashed none: what was seen
//! before counts no more.
//!
//! A request that comes often is in progress at many endpoints, so that it may be held back although others were the cause. So each
//! one that is held is tried a few times more, one VM at a time for all of them, and is free again once an endpoint answers it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime},
};

use crate::{
    answered::{ANSWER_LIFE, Answered, Run},
    blame::{Blamed, Sight, Sights, is_same_moment, to_blame},
    gossip::{REPORTS_PER_ENTRY, least_reported},
    hold::HOLD,
    ids::EndpointId,
    mark::{RequestMark, VersionMark},
};
pub use crate::{
    hold::{KeptHold, next_trial},
    quarantine_news::{QuarantineNews, ToldAnswer, ToldCrash, ToldHold},
};

/// Time since the last crash of a request after which it is judged. Until then it waits where enough is known of it, since what other
/// VMs saw of the crash, which may name another cause, is on its way: two reports, and as much again for lost ones.
const SETTLE: Duration = Duration::from_millis(1000);
/// Time without any crash after which a request is tried: while other causes are at work, an innocent one would fail.
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
pub enum Standing {
    /// It may be sent.
    Free,
    /// It is about to be known whether it may be sent: what other VMs saw is on its way, or it is being tried.
    Awaited {
        /// Time until then, unless more is seen.
        known_in: Duration,
    },
    /// It is held back.
    Held {
        /// Time after which it may come back.
        back_after: Duration,
    },
    /// It is held back, and is to be tried once more by whichever VM is the first to write so.
    OnTrial(KeptHold),
}

/// A change of what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is held back by this VM's judgement.
    Judged {
        /// The request.
        mark: RequestMark,
        /// Crashes that it was at.
        crashes: usize,
    },
    /// It is held back, as another VM or the kept list tells.
    Learned {
        /// The request.
        mark: RequestMark,
    },
    /// It is held back no longer, since an endpoint answered it.
    Released {
        /// The request.
        mark: RequestMark,
    },
}

#[derive(Clone, Debug)]
struct Hold {
    kept: KeptHold,
    is_kept: bool,
    told: u32,
}

/// A try that broke or was given up.
#[derive(Clone, Debug)]
struct Broken {
    mark: RequestMark,
    sight: Sight,
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
    sights: Sights,
    /// The last crash of any.
    last_crash: Option<SystemTime>,
    /// How often each crash was told, by request and endpoint; own ones, and those of requests that were at several.
    tellings: HashMap<(RequestMark, EndpointId), u32>,
    held: HashMap<RequestMark, Hold>,
    /// Requests that wait until what others saw has come in, and when that will be.
    suspects: HashMap<RequestMark, SystemTime>,
    /// Requests that an answer at this VM freed, and that are still on the list that outlasts all VMs.
    freed: HashSet<RequestMark>,
    /// The last answers that this VM saw.
    answered: Answered,
    /// Answers to requests that were at crashes, when, and how often that was told.
    cleared: HashMap<Run, (SystemTime, u32)>,
    /// Whether what is kept of before the start is known.
    is_read: bool,
    /// Whether crashes or answers came to be known since the last judgement.
    is_changed: bool,
}

impl Quarantine {
    /// Whether any request is known, so that marks must be worked out.
    pub fn is_watching(&self) -> bool {
        !self.sights.is_empty() || !self.held.is_empty()
    }

    /// What may be done with a request.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::quarantine::{Quarantine, Standing};
    ///
    /// let at = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    /// let mut quarantine = Quarantine::default();
    /// for (second, endpoint) in [(10, "e1"), (12, "e2"), (14, "e3")] {
    ///     quarantine.note_broken((7, 1), endpoint, Duration::ZERO, at(second));
    ///     quarantine.note_ended(endpoint, at(second));
    /// }
    /// quarantine.judge(at(14));
    /// quarantine.judge(at(15));
    /// assert!(matches!(quarantine.standing(7, at(15)), Standing::Awaited { .. }));
    /// assert!(matches!(quarantine.standing(7, at(17)), Standing::OnTrial(_)));
    /// assert_eq!(quarantine.standing(8, at(15)), Standing::Free);
    /// ```
    pub fn standing(&self, mark: RequestMark, now: SystemTime) -> Standing {
        let Some(hold) = self.held.get(&mark).filter(|hold| now < hold.kept.until) else {
            let Some(settled) = self.suspects.get(&mark) else { return Standing::Free };
            return Standing::Awaited { known_in: settled.duration_since(now).unwrap_or_default() };
        };
        if let Some(left) = hold.kept.trial_left(now) {
            return Standing::Awaited { known_in: left };
        }
        let calm = self.last_crash.map_or(SystemTime::UNIX_EPOCH, |at| at + CALM);
        let until = |at: SystemTime| at.duration_since(now).ok().filter(|left| !left.is_zero());
        match hold.kept.next_trial_at().map(|at| until(at.max(calm))) {
            Some(None) => Standing::OnTrial(hold.kept),
            Some(Some(left)) => Standing::Awaited { known_in: left },
            None => Standing::Held { back_after: hold.kept.until.duration_since(now).unwrap_or_default() },
        }
    }

    /// Notes how many trials of a request were begun, and when the last one was.
    pub fn note_trials(&mut self, mark: RequestMark, trials: usize, tried: Option<SystemTime>) {
        if let Some(hold) = self.held.get_mut(&mark).filter(|hold| hold.kept.trials < trials) {
            hold.kept.trials = trials;
            hold.kept.tried = tried;
            hold.told = 0;
        }
    }

    /// Notes that a try of a request broke, `ran_for` after it was sent to an endpoint of a version; of that endpoint it may be known that it
    /// has ended.
    pub fn note_broken(
        &mut self,
        (mark, version): (RequestMark, VersionMark),
        endpoint: &str,
        ran_for: Duration,
        now: SystemTime,
    ) {
        let sight = Sight { endpoint: endpoint.to_owned(), version, ran_for, at: now };
        if self.ended.get(endpoint).is_some_and(|ended| is_same_moment(*ended, now)) {
            self.see(mark, sight, true, now);
        } else {
            let broken = Broken { mark, sight, until: now + BROKEN_LIFE };
            self.broken.entry(endpoint.to_owned()).or_default().push(broken);
        }
    }

    /// Notes that a try of a request was given up, `ran_for` after it was sent, while the endpoint may have been at work on it.
    pub fn note_left(
        &mut self,
        (mark, version): (RequestMark, VersionMark),
        endpoint: &str,
        ran_for: Duration,
        now: SystemTime,
    ) {
        let sight = Sight { endpoint: endpoint.to_owned(), version, ran_for, at: now };
        let left = Broken { mark, sight, until: now + LEFT_LIFE };
        self.broken.entry(endpoint.to_owned()).or_default().push(left);
    }

    /// Notes that an endpoint has ended; the tries that broke there lately were at its crash.
    pub fn note_ended(&mut self, endpoint: &str, now: SystemTime) {
        self.ended.insert(endpoint.to_owned(), now);
        for Broken { mark, sight, until } in self.broken.remove(endpoint).unwrap_or_default() {
            if now < until {
                self.see(mark, sight, true, now);
            }
        }
    }

    /// Notes that an endpoint where tries broke is there: its connections were lost, and nothing more.
    pub fn note_there(&mut self, endpoint: &str) {
        self.broken.remove(endpoint);
    }

    /// Notes that an endpoint of a version answered a request as a whole; gives what changes by it.
    pub fn note_answered(&mut self, run: (RequestMark, VersionMark), now: SystemTime) -> Option<QuarantineChange> {
        self.answered.note(run, now);
        let change = self.clear(run, now);
        self.freed.extend(change.map(|_| run.0));
        change
    }

    fn see(&mut self, mark: RequestMark, sight: Sight, is_own: bool, now: SystemTime) {
        let run = (mark, sight.version);
        if let Some(at) = self.answered.at(&run, now) {
            // Others must know that it was answered before they judge.
            self.cleared.entry(run).or_insert((at, 0));
        }
        if self.cleared.get(&run).is_some_and(|(at, _)| sight.at <= *at) {
            return;
        }
        let seen = self.sights.entry(mark).or_default();
        if seen.iter().any(|known| known.is_same(&sight)) {
            return;
        }
        self.last_crash = self.last_crash.max(Some(sight.at));
        seen.push(sight);
        self.is_changed = true;
        // Others pass on only what adds up; what the first VM tells reaches enough of them.
        if is_own || seen.len() > 1 {
            let newest = seen.last().map(|sight| (mark, sight.endpoint.clone()));
            self.tellings.extend(newest.map(|key| (key, 0)));
            for earlier in seen.iter() {
                self.tellings.entry((mark, earlier.endpoint.clone())).or_insert(0);
            }
        }
    }

    fn clear(&mut self, run: Run, at: SystemTime) -> Option<QuarantineChange> {
        let (mark, version) = run;
        let is_known = match self.sights.get_mut(&mark) {
            Some(seen) => {
                self.is_changed = true;
                seen.retain(|sight| sight.version != version || sight.at > at);
                true
            },
            None => false,
        };
        self.sights.retain(|_, seen| !seen.is_empty());
        let refutes = |hold: &Hold| hold.kept.version == version && hold.kept.first_crash <= at;
        let is_refuted = self.held.get(&mark).is_some_and(refutes);
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
        self.held.remove(&mark);
        Some(QuarantineChange::Released { mark })
    }

    /// Holds back the requests that explain crashes, once what others saw is known; gives those that were not held before.
    pub fn judge(&mut self, now: SystemTime) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        if !std::mem::take(&mut self.is_changed) && self.suspects.is_empty() {
            return changes;
        }
        self.suspects.clear();
        for Blamed { mark, crashes } in self.to_blame(now) {
            let Some(last) = crashes.iter().max_by_key(|sight| sight.at) else { continue };
            if now < last.at + SETTLE {
                self.suspects.insert(mark, last.at + SETTLE);
                continue;
            }
            let first_crash = crashes.iter().map(|sight| sight.at).min().unwrap_or(now);
            let kept = KeptHold {
                mark,
                version: last.version,
                first_crash,
                since: now,
                until: now + HOLD,
                trials: 0,
                tried: None,
            };
            self.freed.remove(&mark);
            self.held.insert(mark, Hold { kept, is_kept: false, told: 0 });
            changes.push(QuarantineChange::Judged { mark, crashes: crashes.len() });
        }
        changes
    }

    fn to_blame(&self, now: SystemTime) -> Vec<Blamed> {
        let is_answered = |run: &Run| {
            let told = self.cleared.get(run).is_some_and(|(at, _)| now < *at + ANSWER_LIFE);
            told || self.answered.at(run, now).is_some()
        };
        to_blame(&self.sights, |mark| self.held.contains_key(&mark), is_answered)
    }

    /// Whether a request waits to be judged.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether others are to be told of something at once.
    pub fn has_news(&self) -> bool {
        self.tellings.values().any(|told| *told == 0)
            || self.held.values().any(|hold| hold.told == 0)
            || self.cleared.values().any(|(_, told)| *told == 0)
    }

    /// What the next report tells: what is new a few times, and the rest in turn.
    pub fn tell(&mut self, now: SystemTime) -> QuarantineNews {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let mut news = QuarantineNews::default();
        for mark in least_reported(self.held.iter().map(|(mark, hold)| (*mark, hold.told))) {
            let Some(hold) = self.held.get_mut(&mark) else { continue };
            hold.told += 1;
            news.held.push(ToldHold::new(&hold.kept, hold.is_kept, now));
        }
        for key in least_reported(self.tellings.iter().map(|(key, told)| (key.clone(), *told))) {
            self.tellings.entry(key.clone()).and_modify(|told| *told += 1);
            let (mark, endpoint) = key;
            let seen = self.sights.get(&mark).into_iter().flatten();
            let of_endpoint = seen.filter(|sight| sight.endpoint == endpoint);
            news.crashes.extend(of_endpoint.map(|sight| ToldCrash {
                mark,
                endpoint: endpoint.clone(),
                version: sight.version,
                ran_for: sight.ran_for,
                age: age(sight.at),
            }));
        }
        for run in least_reported(self.cleared.iter().map(|(run, (_, told))| (*run, *told))) {
            let Some((at, told)) = self.cleared.get_mut(&run) else { continue };
            *told += 1;
            news.answered.push(ToldAnswer { mark: run.0, version: run.1, age: age(*at) });
        }
        news
    }

    /// What a VM that starts is told: all that is held, and the newest crashes; none before this VM knows what is kept itself.
    pub fn hand_on(&self, now: SystemTime) -> Option<QuarantineNews> {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let crashes = self.sights.iter().flat_map(|(mark, seen)| {
            seen.iter().map(|sight| ToldCrash {
                mark: *mark,
                endpoint: sight.endpoint.clone(),
                version: sight.version,
                ran_for: sight.ran_for,
                age: age(sight.at),
            })
        });
        let mut crashes: Vec<ToldCrash> = crashes.collect();
        crashes.sort_by_key(|crash| crash.age);
        crashes.truncate(MAX_HANDED);
        let held = self.held.values().map(|hold| ToldHold::new(&hold.kept, hold.is_kept, now)).collect();
        let answered = self.cleared.iter();
        let answered =
            answered.map(|((mark, version), (at, _))| ToldAnswer { mark: *mark, version: *version, age: age(*at) });
        self.is_read.then(|| QuarantineNews { crashes, held, answered: answered.take(MAX_HANDED).collect() })
    }

    /// Takes what another VM tells; gives what changes by it.
    pub fn hear(&mut self, news: QuarantineNews, now: SystemTime) -> Vec<QuarantineChange> {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(SystemTime::UNIX_EPOCH);
        let mut changes: Vec<QuarantineChange> =
            news.answered.iter().filter_map(|told| self.hear_answer((told.mark, told.version), at(told.age))).collect();
        for ToldCrash { mark, endpoint, version, ran_for, age } in
            news.crashes.into_iter().filter(|told| told.age < SIGHT_LIFE)
        {
            let sight = Sight { endpoint, version, ran_for, at: at(age) };
            self.hear_end(&sight, now);
            self.see(mark, sight, false, now);
        }
        for told in news.held {
            let kept = KeptHold {
                mark: told.mark,
                version: told.version,
                first_crash: at(told.age),
                since: at(told.held_for),
                until: now + told.left.min(HOLD),
                trials: told.trials,
                tried: told.tried_ago.map(at),
            };
            changes.extend(self.learn(kept, told.is_kept));
        }
        changes.extend(self.judge(now));
        changes
    }

    /// Takes it from another VM that an endpoint ended: tries that this VM gave up there just before were at that crash.
    fn hear_end(&mut self, told: &Sight, now: SystemTime) {
        let Some(tries) = self.broken.get_mut(&told.endpoint) else { return };
        let is_left = |broken: &mut Broken| broken.sight.at <= told.at && told.at < broken.until;
        let at_crash: Vec<Broken> = tries.extract_if(.., is_left).collect();
        for Broken { mark, sight, .. } in at_crash {
            self.see(mark, sight, true, now);
        }
    }

    /// Takes an answer that another VM saw, also of a request of which no crash is known here yet.
    fn hear_answer(&mut self, run: Run, at: SystemTime) -> Option<QuarantineChange> {
        let change = self.clear(run, at);
        self.cleared.entry(run).or_insert((at, REPORTS_PER_ENTRY));
        change
    }

    fn learn(&mut self, told: KeptHold, is_kept: bool) -> Option<QuarantineChange> {
        let mark = told.mark;
        if self.cleared.get(&(mark, told.version)).is_some_and(|(at, _)| told.first_crash <= *at) {
            return None;
        }
        if let Some(known) = self.held.get_mut(&mark) {
            known.is_kept |= is_kept;
            // All VMs go by the first of them that held it.
            known.kept.since = known.kept.since.min(told.since);
            self.note_trials(mark, told.trials, told.tried);
            return None;
        }
        self.held.insert(mark, Hold { kept: told, is_kept, told: 0 });
        Some(QuarantineChange::Learned { mark })
    }

    /// Takes what is kept of before the start; gives what changes by it. What an endpoint has answered since is to be taken off the list.
    pub fn take_kept(&mut self, kept: &[KeptHold], now: SystemTime) -> Vec<QuarantineChange> {
        self.is_read = true;
        let is_refuted = |hold: &&KeptHold| {
            let answered = self.cleared.get(&(hold.mark, hold.version));
            answered.is_some_and(|(at, _)| hold.first_crash <= *at) && !self.held.contains_key(&hold.mark)
        };
        self.freed.extend(kept.iter().filter(is_refuted).map(|hold| hold.mark));
        let live = kept.iter().filter(|kept| now < kept.until);
        live.filter_map(|kept| self.learn(KeptHold { until: kept.until.min(now + HOLD), ..*kept }, true)).collect()
    }

    /// Notes that another VM has handed on what is known.
    pub fn set_read(&mut self) {
        self.is_read = true;
    }

    /// Whether what is kept of before the start is known.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Requests that are held back and are not known to be kept where that outlasts all VMs.
    pub fn unkept(&self) -> Vec<KeptHold> {
        self.held.values().filter(|hold| !hold.is_kept).map(|hold| hold.kept).collect()
    }

    /// Notes that a request is kept as held back.
    pub fn set_kept(&mut self, mark: RequestMark) {
        if let Some(hold) = self.held.get_mut(&mark) {
            hold.is_kept = true;
            hold.told = 0;
        }
    }

    /// All requests that are held back.
    pub fn held(&self) -> Vec<KeptHold> {
        self.held.values().map(|hold| hold.kept).collect()
    }

    /// Requests to take off the list that outlasts all VMs, so that a start of all of them does not hold them back again.
    pub fn freed(&self) -> Vec<RequestMark> {
        self.freed.iter().copied().collect()
    }

    /// Notes that a request is off that list.
    pub fn set_off_list(&mut self, mark: RequestMark) {
        self.freed.remove(&mark);
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
        self.sights.retain(|_, seen| {
            seen.retain(|sight| sight.at > kept_since);
            !seen.is_empty()
        });
        let sights = &self.sights;
        self.tellings.retain(|(mark, endpoint), _| {
            sights.get(mark).is_some_and(|seen| seen.iter().any(|sight| sight.endpoint == *endpoint))
        });
    }

    /// The time before which crashes are forgotten, by their age or since there are too many.
    fn oldest_kept(&self, now: SystemTime) -> SystemTime {
        let by_age = now.checked_sub(SIGHT_LIFE).unwrap_or(SystemTime::UNIX_EPOCH);
        let mut times: Vec<SystemTime> = self.sights.values().flatten().map(|sight| sight.at).collect();
        let Some(excess) = times.len().checked_sub(MAX_SIGHTS).filter(|excess| *excess > 0) else { return by_age };
        let (_, newest_forgotten, _) = times.select_nth_unstable(excess - 1);
        by_age.max(*newest_forgotten)
    }
}
