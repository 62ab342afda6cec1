//! Requests that crash endpoints: what tries and other VMs tell of them, and the list that outlasts all VMs.

use std::{
    collections::HashMap,
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    fingerprint::{RequestFingerprint, VersionFingerprint, fingerprint},
    published::{directory::ListedEndpoint, position::Era},
    quarantine::{QuarantineChange, QuarantineEntry, QuarantineStatus},
};
use rand::RngExt as _;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    published::{active_request::ActiveRequest, context::PublishedContext, refusal::Refusal},
    quarantine::{ProbeResult, format_fingerprint, log_changes, log_probe},
};

/// Least time between two looks at an endpoint; all requests there break in the same moment when it ends.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Time within which another endpoint must have answered this VM, so that one that says nothing is not just cut off with all others.
const ANSWERED_LATELY: Duration = Duration::from_millis(1000);
/// Time after which a trial is claimed once more, where another VM was first: reports tell of it by then.
const CLAIM_PAUSE: Duration = Duration::from_millis(300);
/// Times that a request waits until it is known whether it may be sent: to be judged, for its trial, and while others are tried.
const MAX_WAITS: u32 = 12;
/// Most time of one such wait; a caller who would have to wait for longer is told to come back.
const MOST_WAIT: Duration = Duration::from_millis(6000);
/// Least time of such a wait.
const LEAST_WAIT: Duration = Duration::from_millis(20);
/// Time between two rounds of the list's keeper while there is nothing to do.
const IDLE: Duration = Duration::from_millis(1000);
/// The same while something is to be read or written.
const BUSY: Duration = Duration::from_millis(100);
/// Time since the start after which the reports of VMs that read the list have told all that is on it.
const TOLD_AFTER: Duration = Duration::from_secs(3);
/// Most time that a VM leaves to others for writing that a request is held back: reports reach them in a fraction of it.
const KEEP_SPREAD_MS: u64 = 1500;

/// What may be done with a request before its next try, once it is judged by what all VMs saw; others' reports are waited for.
async fn wait_for_status(cx: &PublishedContext, job: &ActiveRequest) -> QuarantineStatus {
    let mut standing = QuarantineStatus::Free;
    for _ in 0..MAX_WAITS {
        let now = cx.shared.clock.now();
        standing = {
            let quarantine = cx.shared.quarantine();
            if quarantine.needs_fingerprints() {
                quarantine.status(job.fingerprint(), now)
            } else {
                QuarantineStatus::Free
            }
        };
        let QuarantineStatus::Pending { decided_in } = standing else { return standing };
        if decided_in >= job.time_left(now).min(MOST_WAIT) {
            return standing;
        }
        sleep(decided_in.max(LEAST_WAIT)).await;
        evaluate_suspects(cx, cx.shared.clock.now());
    }
    standing
}

/// Whether a stream may be taken up as far as is known; a trial is one send.
pub(super) async fn may_resume(cx: &PublishedContext, job: &ActiveRequest) -> bool {
    !job.is_trial && wait_for_status(cx, job).await == QuarantineStatus::Free
}

/// Lets a request through, or refuses it where it is held back; gives what it is held for where it may be tried once more.
pub(super) async fn admit(cx: &PublishedContext, job: &ActiveRequest) -> Result<Option<QuarantineEntry>, Refusal> {
    let held = match wait_for_status(cx, job).await {
        QuarantineStatus::Free => return Ok(None),
        QuarantineStatus::TrialDue(hold) if !job.attempts.is_repeat() => return Ok(Some(hold)),
        QuarantineStatus::TrialDue(_) => Refusal::Quarantined { retry_after: CLAIM_PAUSE },
        QuarantineStatus::Pending { decided_in } => Refusal::Quarantined { retry_after: decided_in },
        QuarantineStatus::Quarantined { retry_after } => Refusal::Quarantined { retry_after },
    };
    Err(job.refusal(held, Refusal::Lost))
}

/// Makes a request the one by which it is tried once more; tells whether it may be sent now, or is to wait since another VM was first.
///
/// # Errors
///
/// [`Refusal`] where the list can't be written, or the request has waited for long enough.
pub(super) async fn claim_trial(
    cx: &PublishedContext,
    job: &mut ActiveRequest,
    hold: &QuarantineEntry,
) -> Result<bool, Refusal> {
    let now = cx.shared.clock.now();
    let held = Refusal::Quarantined { retry_after: CLAIM_PAUSE };
    let claimed = match cx.quarantine_list.claim_trial(hold, now).await {
        Ok(claimed) => claimed,
        Err(error) => {
            log::warn!(request = job.id.as_str(); "a request that is held back is not tried: {error}");
            return Err(held);
        },
    };
    let Some(kept) = claimed else {
        if now >= job.arrived + MOST_WAIT {
            return Err(held);
        }
        // The reports on the other trial may be lost; the list tells of it.
        read_list(cx).await;
        sleep(CLAIM_PAUSE).await;
        return Ok(false);
    };
    {
        let mut quarantine = cx.shared.quarantine();
        quarantine.record_trials(kept.fingerprint, kept.trials, kept.last_trial);
        quarantine.set_stored(kept.fingerprint);
    }
    log::info!(
        request = job.id.as_str(),
        mark = format_fingerprint(kept.fingerprint).as_str(),
        trials = kept.trials;
        "a request that is held back is tried once more"
    );
    job.is_trial = true;
    Ok(true)
}

/// What a request is known by, and the version that runs it.
fn run_of(job: &ActiveRequest, version: &str) -> (RequestFingerprint, VersionFingerprint) {
    (job.fingerprint(), fingerprint(&[version.as_bytes()]))
}

/// Notes that a request got a whole answer, so that it is none of those that crash endpoints.
pub(super) fn record_answer(cx: &PublishedContext, job: &ActiveRequest, version: &str, now: SystemTime) {
    cx.shared.record_answer_time(now);
    let run = run_of(job, version);
    let change = cx.shared.quarantine().record_answer(run, now);
    apply_changes(cx, change.as_slice());
}

/// Notes that a try broke: the connection was lost, the answer broke off, or nothing came; then looks whether the endpoint has ended.
pub(super) fn record_broken_attempt(
    cx: &PublishedContext,
    job: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) {
    let now = cx.shared.clock.now();
    let ran_for = now.duration_since(sent).unwrap_or_default();
    let run = run_of(job, &endpoint.version);
    cx.shared.quarantine().record_broken_attempt(run, &endpoint.id, ran_for, now);
    evaluate_suspects(cx, now);
    let is_due = cx.shared.endpoint_states.slot(&endpoint.id).is_some_and(|slot| slot.begin_look(LOOK_PAUSE, now));
    if !is_due {
        return;
    }
    let (cx, endpoint) = (cx.clone(), endpoint.clone());
    tokio::spawn(async move { probe_endpoint(&cx, &endpoint).await });
}

/// Notes that a try was given up while its endpoint may be at work on it; if the endpoint ends right after, that is its crash.
pub(super) fn record_abandoned_attempt(
    cx: &PublishedContext,
    job: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) {
    let now = cx.shared.clock.now();
    let ran_for = now.duration_since(sent).unwrap_or_default();
    cx.shared.quarantine().record_abandoned_attempt(run_of(job, &endpoint.version), &endpoint.id, ran_for, now);
}

/// Notes an answer that ended with its connection: it was whole if its endpoint is there.
pub(super) async fn record_unframed_answer(
    cx: &PublishedContext,
    job: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) {
    let now = cx.shared.clock.now();
    let ran_for = now.duration_since(sent).unwrap_or_default();
    match probe_endpoint(cx, endpoint).await {
        ProbeResult::Answers => record_answer(cx, job, &endpoint.version, now),
        ProbeResult::Refuses | ProbeResult::Silent => {
            let run = run_of(job, &endpoint.version);
            cx.shared.quarantine().record_broken_attempt(run, &endpoint.id, ran_for, now);
            evaluate_suspects(cx, now);
        },
    }
}

async fn probe_endpoint(cx: &PublishedContext, endpoint: &ListedEndpoint) -> ProbeResult {
    let found = cx.shared.connection_pool.probe(&endpoint.id, endpoint.address, cx.shared.clock.now()).await;
    let now = cx.shared.clock.now();
    log_probe(&endpoint.id, found);
    let hears_others = cx.shared.has_answer_within(ANSWERED_LATELY, now);
    match found {
        ProbeResult::Refuses => cx.shared.quarantine().record_endpoint_exit(&endpoint.id, now),
        ProbeResult::Silent if hears_others => cx.shared.quarantine().record_endpoint_exit(&endpoint.id, now),
        ProbeResult::Silent => {},
        ProbeResult::Answers => cx.shared.quarantine().record_endpoint_alive(&endpoint.id),
    }
    evaluate_suspects(cx, now);
    found
}

/// Judges by what is known now; where a request waits to be judged, the keeper of the list looks again.
pub(super) fn evaluate_suspects(cx: &PublishedContext, now: SystemTime) {
    if quarantine_suspects(cx, now) {
        cx.shared.notify_quarantine_changed();
    }
}

/// Judges by what is known now; tells whether a request waits to be judged.
fn quarantine_suspects(cx: &PublishedContext, now: SystemTime) -> bool {
    let (changes, has_suspects) = {
        let mut quarantine = cx.shared.quarantine();
        (quarantine.quarantine_suspects(now), quarantine.has_suspects())
    };
    apply_changes(cx, &changes);
    has_suspects
}

/// Writes the lines of changes, and wakes the keeper of the list.
pub(super) fn apply_changes(cx: &PublishedContext, changes: &[QuarantineChange]) {
    log_changes(changes);
    if !changes.is_empty() {
        cx.shared.notify_quarantine_changed();
    }
}

/// Keeps the list of requests that are held back: reads it at a start where no other VM told, and writes what is new.
pub(super) async fn sync_quarantine_list(cx: PublishedContext) {
    let mut keeper = Keeper { cx: cx.clone(), eras: cx.shared.store.eras(), due: HashMap::new() };
    cx.graceful_shutdown.run_until_cancelled(keeper.run()).await;
}

/// Takes what is on the list; tells whether it could be read.
async fn read_list(cx: &PublishedContext) -> bool {
    match cx.quarantine_list.read().await {
        Ok(kept) => {
            let changes = cx.shared.quarantine().merge_stored(&kept, cx.shared.clock.now());
            apply_changes(cx, &changes);
            true
        },
        Err(error) => {
            log::warn!("the list of requests that are held back was not read: {error}");
            false
        },
    }
}

struct Keeper {
    cx: PublishedContext,
    /// Changes whenever the store has come back from an older copy.
    eras: watch::Receiver<Option<Era>>,
    /// When this VM writes that a request is held back, unless another one did.
    due: HashMap<RequestFingerprint, SystemTime>,
}

impl Keeper {
    async fn run(&mut self) {
        loop {
            let now = self.cx.shared.clock.now();
            self.cx.shared.quarantine().prune(now);
            let has_suspects = quarantine_suspects(&self.cx, now);
            if self.eras.has_changed().unwrap_or_default() {
                self.eras.mark_unchanged();
                self.look_for_lost().await;
            }
            if self.cx.shared.store.follows() && !self.cx.shared.quarantine().is_loaded() {
                self.learn(now).await;
            }
            let unstored = self.cx.shared.quarantine().unstored();
            self.due.retain(|mark, _| unstored.iter().any(|hold| hold.fingerprint == *mark));
            for hold in &unstored {
                if self.is_due(hold.fingerprint, now) {
                    self.keep(hold).await;
                }
            }
            let freed = self.cx.shared.quarantine().released();
            for mark in &freed {
                self.release(*mark).await;
            }
            let is_done =
                unstored.is_empty() && freed.is_empty() && !has_suspects && self.cx.shared.quarantine().is_loaded();
            let pause = if is_done { IDLE } else { BUSY };
            let is_changed = timeout(pause, self.cx.shared.wait_for_quarantine_change()).await.is_ok();
            if is_changed {
                // What changes at the same moment is looked at together.
                sleep(BUSY).await;
            }
        }
    }

    /// Writes what an older copy of the list lacks, and finds what it holds though it was freed since; one of the VMs that read it does.
    async fn look_for_lost(&self) {
        if !self.cx.shared.store.is_reader() || !read_list(&self.cx).await {
            return;
        }
        // Entered again unless they stand there; what VMs tell each other of the list is of before its loss.
        let held = self.cx.shared.quarantine().entries();
        for hold in &held {
            self.keep(hold).await;
        }
    }

    fn is_due(&mut self, mark: RequestFingerprint, now: SystemTime) -> bool {
        let spread = Duration::from_millis(self.cx.shared.rng().random_range(0..KEEP_SPREAD_MS));
        now >= *self.due.entry(mark).or_insert(now + spread)
    }

    /// Learns what is on the list: by reading it, where this VM had to learn all else from the store as well, or by the reports of those
    /// that did.
    async fn learn(&self, now: SystemTime) {
        let was_handed = self.cx.shared.has_received_state.load(Ordering::Acquire);
        if !was_handed || self.cx.shared.store.is_reader() {
            if !read_list(&self.cx).await {
                sleep(IDLE).await;
            }
        } else if self.cx.shared.uptime(now) >= TOLD_AFTER {
            self.cx.shared.quarantine().set_loaded();
        }
    }

    async fn release(&self, mark: RequestFingerprint) {
        match self.cx.quarantine_list.release(mark).await {
            Ok(()) => {
                log::info!(mark = format_fingerprint(mark).as_str(); "a request is off the list of those that are held back");
                self.cx.shared.quarantine().set_removed(mark);
            },
            Err(error) => {
                log::warn!(mark = format_fingerprint(mark).as_str(); "a request that is free is still on the list: {error}");
                sleep(IDLE).await;
            },
        }
    }

    async fn keep(&self, hold: &QuarantineEntry) {
        match self.cx.quarantine_list.add(hold).await {
            Ok(()) => {
                log::info!(mark = format_fingerprint(hold.fingerprint).as_str(); "a request is on the list of those that are held back");
                self.cx.shared.quarantine().set_stored(hold.fingerprint);
            },
            Err(error) => {
                log::warn!(mark = format_fingerprint(hold.fingerprint).as_str(); "a request that is held back was not written: {error}");
                sleep(IDLE).await;
            },
        }
    }
}
