//! Quarantine of requests that crash endpoints: its evidence from attempts, its trials, and its stored list.

use std::{
    collections::HashMap,
    net::IpAddr,
    ops::RangeInclusive,
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    endpoint_selection::EndpointStates as _,
    fingerprint::{EndpointFingerprint, SubjectFingerprint, VersionFingerprint, fingerprint},
    published::{directory::ListedEndpoint, position::Era},
    quarantine::{JudgedRequest, QuarantineChange, QuarantineEntry, QuarantineStatus},
};
use rand::RngExt as _;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    published::{
        active_request::{ActiveRequest, Trial},
        context::PublishedContext,
        refusal::Refusal,
    },
    quarantine::{ProbeResult, format_fingerprint, format_fingerprints, log_changes, log_probe},
};

/// Shortest interval between two probes of an endpoint; when it exits, all its requests break at the same moment.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay of the last probe after a failed attempt. An attempt that was given up may crash its endpoint afterwards, and
/// counts only if that is known within half a second.
const LAST_PROBE_DELAY: Duration = Duration::from_millis(450);
/// Longest time for which an answer without a length is kept back until it is known whether its endpoint has exited.
const UNFRAMED_PROBE_TIME: Duration = Duration::from_millis(100);
/// Time within which an endpoint must have answered this VM for a silent one to count as exited; otherwise this VM may
/// be cut off from all of them.
const RECENT_ANSWER_TIME: Duration = Duration::from_millis(1000);
/// Delay before a claim is repeated after another VM claimed the trial; reports on that trial arrive within it.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time that a request waits for its status: while the decision is pending, and while claimed sends run
/// elsewhere.
const MAX_WAIT: Duration = Duration::from_secs(12);
/// Longest time until a decision for which a request waits; otherwise its caller is asked to retry.
const MAX_DECISION_TIME: Duration = Duration::from_millis(6000);
/// Longest time for which the first send of a suspect waits for a store that can't be written: it is probably harmless.
const MAX_STORE_WAIT: Duration = Duration::from_millis(3000);
/// Interval at which a waiting request checks its status, in milliseconds.
const POLL_INTERVAL_MS: RangeInclusive<u64> = 100..=300;
/// Part of a request's time limit that must be left for a claimed send. One that its deadline or its caller cuts off
/// uses up the claim and shows nothing.
const MIN_TRIAL_TIME_PART: f64 = 0.25;
/// Shortest such wait.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Part of a request's time limit below which its claimed send does not wait until fewer others run.
const URGENT_TIME_PART: f64 = 0.6;
/// Number of usable endpoints for each claimed send that runs at the same time, since each may crash one.
const ENDPOINTS_PER_CLAIM: usize = 3;
/// Interval between two rounds of the list's synchronization while there is nothing to do.
const IDLE_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval while entries are to be read or written.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Uptime after which the reports of VMs that read the list have covered all its entries.
const LIST_REPORT_TIME: Duration = Duration::from_secs(3);
/// Longest random delay before a VM adds an entry to the list; the report of the VM that adds it first arrives in a
/// fraction of it.
const ADD_SPREAD_MS: u64 = 1500;

/// Returns the status of a request before its next attempt, after waiting for a pending decision.
async fn wait_for_status(cx: &PublishedContext, request: &ActiveRequest) -> QuarantineStatus {
    let give_up_at = cx.shared.clock.now() + MAX_WAIT;
    loop {
        let now = cx.shared.clock.now();
        let status = {
            let quarantine = cx.shared.quarantine();
            if quarantine.needs_fingerprints() {
                quarantine.status(request.judged(), now)
            } else {
                QuarantineStatus::Free
            }
        };
        let QuarantineStatus::Pending { decided_in } = status else { return status };
        if decided_in >= time_to_wait(request, now).min(MAX_DECISION_TIME) || now >= give_up_at {
            return status;
        }
        // A claimed send may end early, and the VMs must not all claim the next one at the same moment.
        let poll_interval = Duration::from_millis(cx.shared.rng().random_range(POLL_INTERVAL_MS));
        sleep(decided_in.min(poll_interval).max(MIN_WAIT)).await;
        evaluate_suspects(cx, cx.shared.clock.now());
    }
}

/// Time for which a request may wait for its status.
fn time_to_wait(request: &ActiveRequest, now: SystemTime) -> Duration {
    let time_limit = request.deadline.duration_since(request.received_at).unwrap_or_default();
    request.time_left(now).saturating_sub(time_limit.mul_f64(MIN_TRIAL_TIME_PART))
}

/// Admits a request, or refuses it if it is quarantined. Returns the quarantine entry if its send must be claimed first.
pub(super) async fn admit(cx: &PublishedContext, request: &ActiveRequest) -> Result<Option<QuarantineEntry>, Refusal> {
    match request.trial {
        Trial::None | Trial::Required => {},
        Trial::Claimed => return Ok(None),
        Trial::Spent => return Err(request.refusal(Refusal::NoEndpoint, Refusal::Lost)),
    }
    let status = wait_for_status(cx, request).await;
    let has_time = !time_to_wait(request, cx.shared.clock.now()).is_zero();
    let refusal = match status {
        QuarantineStatus::Free => return Ok(None),
        QuarantineStatus::Suspected(_) | QuarantineStatus::TrialDue(_) if !has_time => {
            Refusal::Quarantined { retry_after: CLAIM_RETRY_DELAY }
        },
        QuarantineStatus::Suspected(entry) => return Ok(Some(entry)),
        QuarantineStatus::TrialDue(entry) if !request.attempts.is_repeat() => return Ok(Some(entry)),
        QuarantineStatus::TrialDue(_) => Refusal::Quarantined { retry_after: CLAIM_RETRY_DELAY },
        QuarantineStatus::Pending { decided_in } => Refusal::Quarantined { retry_after: decided_in },
        QuarantineStatus::Quarantined { retry_after } => Refusal::Quarantined { retry_after },
    };
    Err(request.refusal(refusal, Refusal::Lost))
}

/// Claims the send of a suspect or the trial of a quarantined request. Returns whether it may be sent now; otherwise
/// another VM was first, and the request's status must be checked again.
///
/// # Errors
///
/// [`Refusal`] if the list can't be written, or the request has waited for too long.
pub(super) async fn claim_send(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
    entry: &QuarantineEntry,
    endpoint: &ListedEndpoint,
) -> Result<bool, Refusal> {
    let entry = &QuarantineEntry { endpoint: Some(address_fingerprint(endpoint)), ..*entry };
    let now = cx.shared.clock.now();
    let refusal = request.refusal(Refusal::Quarantined { retry_after: CLAIM_RETRY_DELAY }, Refusal::Lost);
    let claimed = match cx.quarantine_list.claim_trial(entry, now).await {
        Ok(claimed) => claimed,
        Err(error) => {
            log::warn!(request = request.id.as_str(); "send of a suspected request not claimed: {error}");
            let may_retry = entry.is_first_send(now) && now < request.received_at + MAX_STORE_WAIT;
            if !may_retry || !may_wait(request, now) {
                return Err(refusal);
            }
            sleep(CLAIM_RETRY_DELAY).await;
            return Ok(false);
        },
    };
    let Some(claimed) = claimed else {
        if now >= request.received_at + MAX_WAIT {
            return Err(refusal);
        }
        // Reports on the other claim may be lost, but the list includes it.
        read_list(cx).await;
        sleep(CLAIM_RETRY_DELAY).await;
        return Ok(false);
    };
    cx.shared.quarantine().record_claim(claimed);
    cx.shared.notify_quarantine_changed();
    log::info!(
        request = request.id.as_str(),
        mark = format_fingerprint(claimed.fingerprint).as_str(),
        trials = claimed.trials;
        "trial of a quarantined request begins"
    );
    request.trial = Trial::Claimed;
    Ok(true)
}

/// Logs that a request is sent although endpoints have crashed while it was in progress there.
pub(super) fn log_send_after_crashes(cx: &PublishedContext, request: &ActiveRequest, endpoint: &ListedEndpoint) {
    let crashes = {
        let mut quarantine = cx.shared.quarantine();
        let crashes = if quarantine.needs_fingerprints() { quarantine.crash_count(request.fingerprint()) } else { 0 };
        if crashes > 0 {
            quarantine.record_suspect_send(request.fingerprint(), address_fingerprint(endpoint), cx.shared.clock.now());
        }
        crashes
    };
    if crashes == 0 {
        return;
    }
    log::info!(
        request = request.id.as_str(),
        mark = format_fingerprint(request.fingerprint()).as_str(),
        parts = format_fingerprints(&request.judged().parts).as_str(),
        endpoint = endpoint.id.as_str(),
        crashes = crashes,
        tries = request.tried_endpoints.len(),
        is_trial = request.trial != Trial::None;
        "request sent after crashes"
    );
}

/// Fingerprint of an endpoint's address. One that has restarted is for some time listed under its old id as well.
fn address_fingerprint(endpoint: &ListedEndpoint) -> EndpointFingerprint {
    let port = endpoint.address.port().to_be_bytes();
    match endpoint.address.ip() {
        IpAddr::V4(ip) => fingerprint(&[&ip.octets(), &port]),
        IpAddr::V6(ip) => fingerprint(&[&ip.octets(), &port]),
    }
}

/// Whether a request that was refused because no endpoint is left may wait until a claimed send of another one ends.
pub(super) fn may_wait_for_claims(
    cx: &PublishedContext,
    request: &ActiveRequest,
    refusal: Refusal,
    now: SystemTime,
) -> bool {
    let is_claim = request.trial == Trial::Required;
    let is_unsent = is_claim || request.trial == Trial::None;
    if !is_unsent || !matches!(refusal, Refusal::NoEndpoint | Refusal::Lost) || !may_wait(request, now) {
        return false;
    }
    let quarantine = cx.shared.quarantine();
    quarantine.needs_fingerprints()
        && (is_claim || quarantine.crash_count(request.fingerprint()) > 0)
        && !quarantine.reserved_endpoints(request.fingerprint(), now).is_empty()
}

/// Whether a request may go on waiting for its claimed send.
pub(super) fn may_wait(request: &ActiveRequest, now: SystemTime) -> bool {
    now < request.received_at + MAX_WAIT && !time_to_wait(request, now).is_zero()
}

/// What the quarantine says about the endpoints of a request.
struct Avoidance {
    /// Endpoints of claimed sends of other requests.
    reserved: Vec<EndpointFingerprint>,
    /// Endpoints that other requests with known crashes may be running at.
    at_risk: Vec<EndpointFingerprint>,
    /// Whether the request was in progress at crashes.
    is_suspect: bool,
}

fn avoidance(cx: &PublishedContext, request: &ActiveRequest, now: SystemTime) -> Avoidance {
    let fingerprint = request.fingerprint();
    let quarantine = cx.shared.quarantine();
    Avoidance {
        reserved: quarantine.reserved_endpoints(fingerprint, now),
        at_risk: quarantine.endpoints_at_risk(fingerprint, now),
        is_suspect: quarantine.crash_count(fingerprint) > 0,
    }
}

/// Returns the endpoints among `eligible` at which a request meets no claimed send of another one.
///
/// A claimed send that breaks beside another request shows nothing. Requests without known crashes may be causes as
/// well, but use the endpoint of a claimed send if no other one is left.
pub(super) fn without_reserved<'a>(
    cx: &PublishedContext,
    request: &ActiveRequest,
    eligible: Vec<&'a ListedEndpoint>,
    now: SystemTime,
) -> Vec<&'a ListedEndpoint> {
    if !cx.shared.quarantine().needs_fingerprints() {
        return eligible;
    }
    let Avoidance { reserved, at_risk, is_suspect } = avoidance(cx, request, now);
    let is_claim = matches!(request.trial, Trial::Required | Trial::Claimed);
    if reserved.is_empty() && !is_claim {
        return eligible;
    }
    let is_usable = |endpoint: &&&'a ListedEndpoint| {
        !request.tried_endpoints.contains(&endpoint.id) && cx.shared.endpoint_states.state(&endpoint.id).is_usable(now)
    };
    let usable: Vec<&ListedEndpoint> = eligible.iter().filter(is_usable).copied().collect();
    let unreserved = without(&usable, &reserved);
    if is_claim {
        let claims = usable.len() - unreserved.len();
        let is_limited = request.trial == Trial::Required && !is_urgent(request, now);
        if is_limited && claims >= (usable.len() / ENDPOINTS_PER_CLAIM).max(1) {
            return Vec::new();
        }
        let safe = without(&unreserved, &at_risk);
        return if safe.is_empty() { without(&eligible, &reserved) } else { safe };
    }
    if !unreserved.is_empty() {
        return unreserved;
    }
    if is_suspect && may_wait(request, now) { Vec::new() } else { eligible }
}

/// Whether a claimed send no longer waits until fewer others run.
fn is_urgent(request: &ActiveRequest, now: SystemTime) -> bool {
    let time_limit = request.deadline.duration_since(request.received_at).unwrap_or_default();
    request.time_left(now) < time_limit.mul_f64(URGENT_TIME_PART)
}

/// Returns the endpoints whose addresses are not among `avoided`.
fn without<'a>(endpoints: &[&'a ListedEndpoint], avoided: &[EndpointFingerprint]) -> Vec<&'a ListedEndpoint> {
    endpoints.iter().copied().filter(|endpoint| !avoided.contains(&address_fingerprint(endpoint))).collect()
}

/// What is judged of a request, and the fingerprint of the version that runs it.
fn judged_run(request: &ActiveRequest, version: &str) -> (JudgedRequest, VersionFingerprint) {
    (request.judged().clone(), fingerprint(&[version.as_bytes()]))
}

/// Records that a request was answered completely, which shows that it does not crash endpoints.
pub(super) fn record_answer(cx: &PublishedContext, request: &ActiveRequest, version: &str, now: SystemTime) {
    cx.shared.record_answer_time(now);
    let run = judged_run(request, version);
    let changes = cx.shared.quarantine().record_answer(run, now);
    announce_changes(cx, &changes);
}

/// Records an attempt that failed by a lost connection, a truncated answer or a timeout, and probes whether the
/// endpoint has exited: at once, and after [`LAST_PROBE_DELAY`] if that is still open.
pub(super) fn record_broken_attempt(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) {
    let now = cx.shared.clock.now();
    let ran_for = now.duration_since(sent).unwrap_or_default();
    let run = judged_run(request, &endpoint.version);
    cx.shared.quarantine().record_broken_attempt(run, &endpoint.id, ran_for, now);
    evaluate_suspects(cx, now);
    if try_begin_probe(cx, endpoint, now) {
        let (cx, endpoint) = (cx.clone(), endpoint.clone());
        tokio::spawn(async move { probe_endpoint(&cx, &endpoint).await });
    }
    let (cx, endpoint) = (cx.clone(), endpoint.clone());
    tokio::spawn(async move {
        sleep(LAST_PROBE_DELAY).await;
        let now = cx.shared.clock.now();
        let has_open_attempts = cx.shared.quarantine().has_open_attempts(&endpoint.id, now);
        if has_open_attempts && try_begin_probe(&cx, &endpoint, now) {
            probe_endpoint(&cx, &endpoint).await;
        }
    });
}

/// Records the start of a probe, unless one started less than [`PROBE_INTERVAL`] ago; returns whether to probe.
fn try_begin_probe(cx: &PublishedContext, endpoint: &ListedEndpoint, now: SystemTime) -> bool {
    cx.shared.endpoint_states.slot(&endpoint.id).is_some_and(|slot| slot.try_begin_probe(PROBE_INTERVAL, now))
}

/// Records an attempt that was abandoned while its endpoint may still run it; an exit soon after is attributed to it.
pub(super) fn record_abandoned_attempt(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) {
    let now = cx.shared.clock.now();
    let ran_for = now.duration_since(sent).unwrap_or_default();
    cx.shared.quarantine().record_abandoned_attempt(judged_run(request, &endpoint.version), &endpoint.id, ran_for, now);
}

/// Whether an answer that ended with its connection is whole. One whose endpoint has exited since may have been cut off;
/// if the endpoint does not say so in [`UNFRAMED_PROBE_TIME`], the answer is taken for whole.
pub(super) async fn check_unframed_answer(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) -> bool {
    let (cx, request, endpoint) = (cx.clone(), request.clone(), endpoint.clone());
    let recorded = tokio::spawn(async move { record_unframed_answer(&cx, &request, &endpoint, sent).await });
    match timeout(UNFRAMED_PROBE_TIME, recorded).await {
        Ok(Ok(result)) => result != ProbeResult::Refuses,
        // The check panicked or was cancelled.
        Ok(Err(_)) => false,
        Err(_) => true,
    }
}

/// Records an answer that ended with its connection: whole if the endpoint is still alive, and broken off otherwise.
async fn record_unframed_answer(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    sent: SystemTime,
) -> ProbeResult {
    let now = cx.shared.clock.now();
    let ran_for = now.duration_since(sent).unwrap_or_default();
    let result = probe_endpoint(cx, endpoint).await;
    if result == ProbeResult::Answers {
        record_answer(cx, request, &endpoint.version, now);
    } else {
        let run = judged_run(request, &endpoint.version);
        cx.shared.quarantine().record_broken_attempt(run, &endpoint.id, ran_for, now);
        evaluate_suspects(cx, now);
    }
    result
}

async fn probe_endpoint(cx: &PublishedContext, endpoint: &ListedEndpoint) -> ProbeResult {
    let result = cx.shared.connection_pool.probe(&endpoint.id, endpoint.address, cx.shared.clock.now()).await;
    let now = cx.shared.clock.now();
    log_probe(&endpoint.id, result);
    let has_recent_answer = cx.shared.has_answer_within(RECENT_ANSWER_TIME, now);
    match result {
        ProbeResult::Refuses => cx.shared.quarantine().record_endpoint_exit(&endpoint.id, now),
        ProbeResult::Silent if has_recent_answer => {
            cx.shared.quarantine().record_endpoint_exit(&endpoint.id, now);
        },
        ProbeResult::Silent => {},
        ProbeResult::Answers => cx.shared.quarantine().record_endpoint_alive(&endpoint.id),
    }
    evaluate_suspects(cx, now);
    result
}

/// Quarantines suspects by the current evidence, and wakes the list's synchronization if decisions are pending.
pub(super) fn evaluate_suspects(cx: &PublishedContext, now: SystemTime) {
    if quarantine_suspects(cx, now) {
        cx.shared.notify_quarantine_changed();
    }
}

/// Quarantines suspects by the current evidence. Returns whether decisions are pending.
fn quarantine_suspects(cx: &PublishedContext, now: SystemTime) -> bool {
    let (changes, has_suspects) = {
        let mut quarantine = cx.shared.quarantine();
        (quarantine.quarantine_suspects(now), quarantine.has_suspects())
    };
    announce_changes(cx, &changes);
    has_suspects
}

/// Logs changes of the quarantine, and wakes the list's synchronization.
pub(super) fn announce_changes(cx: &PublishedContext, changes: &[QuarantineChange]) {
    log_changes(changes);
    if !changes.is_empty() {
        cx.shared.notify_quarantine_changed();
    }
}

/// Synchronizes the stored list with the quarantine: loads it at the start unless other VMs report its entries, and
/// writes changes.
pub(super) async fn sync_quarantine_list(cx: PublishedContext) {
    let mut sync = ListSync { cx: cx.clone(), eras: cx.shared.store.eras(), write_times: HashMap::new() };
    cx.graceful_shutdown.run_until_cancelled(sync.run()).await;
}

/// Merges the stored list into the quarantine. Returns whether the list could be read.
async fn read_list(cx: &PublishedContext) -> bool {
    match cx.quarantine_list.read().await {
        Ok(entries) => {
            let changes = cx.shared.quarantine().merge_stored(&entries, cx.shared.clock.now());
            announce_changes(cx, &changes);
            true
        },
        Err(error) => {
            log::warn!("quarantine list not read: {error}");
            false
        },
    }
}

/// Synchronization of the stored list.
struct ListSync {
    cx: PublishedContext,
    /// Changes whenever the store was restored from an older copy.
    eras: watch::Receiver<Option<Era>>,
    /// When this VM adds each new entry to the list, unless another VM adds it first.
    write_times: HashMap<SubjectFingerprint, SystemTime>,
}

impl ListSync {
    async fn run(&mut self) {
        loop {
            let now = self.cx.shared.clock.now();
            self.cx.shared.quarantine().prune(now);
            let has_suspects = quarantine_suspects(&self.cx, now);
            if self.eras.has_changed().unwrap_or_default() {
                self.eras.mark_unchanged();
                self.restore_entries().await;
            }
            if self.cx.shared.store.may_read() && !self.cx.shared.quarantine().is_loaded() {
                self.load(now).await;
            }
            let unstored = self.cx.shared.quarantine().unstored();
            self.write_times.retain(|fingerprint, _| unstored.iter().any(|entry| entry.fingerprint == *fingerprint));
            for entry in &unstored {
                if self.is_due(entry.fingerprint, now) {
                    self.add(entry).await;
                }
            }
            let released = self.cx.shared.quarantine().released();
            for fingerprint in &released {
                self.release(*fingerprint).await;
            }
            let is_done =
                unstored.is_empty() && released.is_empty() && !has_suspects && self.cx.shared.quarantine().is_loaded();
            let pause = if is_done { IDLE_INTERVAL } else { BUSY_INTERVAL };
            let is_changed = timeout(pause, self.cx.shared.wait_for_quarantine_change()).await.is_ok();
            if is_changed {
                // Handles changes of the same moment together.
                sleep(BUSY_INTERVAL).await;
            }
        }
    }

    /// Adds the entries that a restored list lacks, and merges those that it has although they were released since.
    /// Only VMs that read the store do so.
    async fn restore_entries(&self) {
        if !self.cx.shared.store.is_reader() || !read_list(&self.cx).await {
            return;
        }
        // Adds all entries, because those that VMs report as stored may have been stored before the list was restored.
        let entries = self.cx.shared.quarantine().entries();
        for entry in &entries {
            self.add(entry).await;
        }
    }

    fn is_due(&mut self, fingerprint: SubjectFingerprint, now: SystemTime) -> bool {
        let spread = Duration::from_millis(self.cx.shared.rng().random_range(0..ADD_SPREAD_MS));
        now >= *self.write_times.entry(fingerprint).or_insert(now + spread)
    }

    /// Loads the list: reads it if this VM reads the store or got no state transfer, and otherwise waits for the
    /// reports of the VMs that did.
    async fn load(&self, now: SystemTime) {
        let has_received_state = self.cx.shared.has_received_state.load(Ordering::Acquire);
        if !has_received_state || self.cx.shared.store.is_reader() {
            if !read_list(&self.cx).await {
                sleep(IDLE_INTERVAL).await;
            }
        } else if self.cx.shared.uptime(now) >= LIST_REPORT_TIME {
            self.cx.shared.quarantine().set_loaded();
        }
    }

    async fn release(&self, fingerprint: SubjectFingerprint) {
        match self.cx.quarantine_list.release(fingerprint).await {
            Ok(()) => {
                log::info!(
                    mark = format_fingerprint(fingerprint).as_str();
                    "released request removed from the quarantine list"
                );
                self.cx.shared.quarantine().set_removed(fingerprint);
            },
            Err(error) => {
                log::warn!(
                    mark = format_fingerprint(fingerprint).as_str();
                    "released request not removed from the quarantine list: {error}"
                );
                sleep(IDLE_INTERVAL).await;
            },
        }
    }

    async fn add(&self, entry: &QuarantineEntry) {
        match self.cx.quarantine_list.add(entry).await {
            Ok(()) => {
                log::info!(
                    mark = format_fingerprint(entry.fingerprint).as_str();
                    "request added to the quarantine list"
                );
                self.cx.shared.quarantine().set_stored(entry.fingerprint);
            },
            Err(error) => {
                log::warn!(
                    mark = format_fingerprint(entry.fingerprint).as_str();
                    "request not added to the quarantine list: {error}"
                );
                sleep(IDLE_INTERVAL).await;
            },
        }
    }
}
