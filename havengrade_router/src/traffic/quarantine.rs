//! Quarantine of requests that crash endpoints, for the router's own API: records attempts and holds back suspects.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    config::Endpoint,
    fingerprint::{RequestFingerprint, VersionFingerprint, fingerprint},
    quarantine::{QuarantineStatus, next_trial},
};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::{
    kernel::Context,
    quarantine::{ProbeResult, format_fingerprint, log_changes, log_probe, probe},
    traffic::{Problem, active_request::ActiveRequest},
};

/// Interval at which a request checks its quarantine status while the decision is pending.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a quarantined request is sent once more as a trial.
///
/// The router's own API has no shared list that assigns trials, so two VMs may send one at the same time; the long
/// delay keeps this rare.
const TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Time for which the next attempt of a request waits for a probe; an endpoint that has exited refuses connections at
/// once.
const PROBE_WAIT: Duration = Duration::from_millis(30);
/// Most time that a request waits for a pending quarantine decision.
const MAX_WAIT: Duration = Duration::from_secs(6);

/// Decision of the quarantine on the next attempt of a request.
enum Admission {
    /// The request may be sent.
    Admitted,
    /// The decision is pending.
    Pending {
        /// Time until the decision.
        decided_in: Duration,
    },
    /// The request must not be sent.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A request in execution with the fingerprints by which the quarantine knows it and its version.
pub(crate) struct RequestQuarantine<'a> {
    request: &'a ActiveRequest,
    fingerprint: RequestFingerprint,
    version_fingerprint: VersionFingerprint,
}

impl<'a> RequestQuarantine<'a> {
    /// Creates the fingerprints of a request for a version or, without one, for a path of a plain service.
    pub(crate) fn new(request: &'a ActiveRequest, version: Option<&str>, path: &str) -> Self {
        let parts = [&request.entry.account, &request.decision.class.id, path].map(str::as_bytes);
        let [account, class, path] = parts;
        let version_fingerprint = fingerprint(&[version.unwrap_or_default().as_bytes()]);
        Self { request, fingerprint: fingerprint(&[account, class, path, &request.body]), version_fingerprint }
    }

    /// Waits until the quarantine lets the request be sent; the error says why it doesn't.
    pub(crate) async fn admit(&self) -> Result<(), Problem> {
        let give_up_at = self.request.now() + MAX_WAIT.min(self.request.time_left());
        loop {
            let now = self.request.now();
            evaluate_suspects(&self.request.cx, now);
            match self.decide(now) {
                Admission::Admitted => return Ok(()),
                Admission::Pending { decided_in } if now + decided_in < give_up_at => sleep(POLL_INTERVAL).await,
                Admission::Pending { decided_in } => return Err(quarantined(decided_in)),
                Admission::Refused { retry_after } => return Err(quarantined(retry_after)),
            }
        }
    }

    /// Decides on the next attempt. The send of a suspect or a trial is recorded at once, so that no other request of
    /// this VM is sent as well and other VMs learn of it.
    fn decide(&self, now: SystemTime) -> Admission {
        let mut quarantine = self.request.cx.shared.quarantine();
        let entry = match quarantine.status(&self.fingerprint.into(), now) {
            QuarantineStatus::Free => return Admission::Admitted,
            QuarantineStatus::Pending { decided_in } => return Admission::Pending { decided_in },
            QuarantineStatus::Quarantined { retry_after } => return Admission::Refused { retry_after },
            QuarantineStatus::Suspected(entry) => entry,
            QuarantineStatus::TrialDue(entry) => match (entry.since + TRIAL_DELAY).duration_since(now) {
                Ok(retry_after) if !retry_after.is_zero() => return Admission::Refused { retry_after },
                _ => entry,
            },
        };
        let Some(claimed) = next_trial(&[], &entry, now) else { return Admission::Refused { retry_after: MAX_WAIT } };
        quarantine.record_claim(claimed);
        log::info!(
            request_id = self.request.entry.id.as_str(),
            mark = format_fingerprint(claimed.fingerprint).as_str(),
            trials = claimed.trials;
            "trial of a quarantined request begins"
        );
        Admission::Admitted
    }

    /// Records that an endpoint answered the request completely.
    pub(crate) fn record_answer(&self) {
        let now = self.request.now();
        let run = (self.fingerprint.into(), self.version_fingerprint);
        let changes = self.request.cx.shared.quarantine().record_answer(run, now);
        log_changes(&changes);
    }

    /// Records that an attempt, started at `sent_at`, lost its connection, and probes whether the endpoint has exited.
    pub(crate) async fn record_broken_attempt(&self, endpoint: &Endpoint, sent_at: SystemTime) {
        let now = self.request.now();
        let ran_for = now.duration_since(sent_at).unwrap_or_default();
        let run = (self.fingerprint.into(), self.version_fingerprint);
        self.request.cx.shared.quarantine().record_broken_attempt(run, &endpoint.id, ran_for, now);
        let (cx, id, address) = (self.request.cx.clone(), endpoint.id.clone(), endpoint.address);
        let shutdown = cx.forced_shutdown.clone();
        let probe_task =
            tokio::spawn(shutdown.run_until_cancelled_owned(async move { probe_endpoint(&cx, &id, address).await }));
        if timeout(PROBE_WAIT, probe_task).await.is_err() {
            log::debug!(endpoint = endpoint.id.as_str(); "not waiting for the probe of an endpoint");
        }
    }
}

/// Probes whether an endpoint has exited after an attempt there broke.
///
/// A silent endpoint may only be cut off from this VM, so it isn't counted as exited.
async fn probe_endpoint(cx: &Context, endpoint: &str, address: SocketAddr) {
    let limit = Duration::from_millis(cx.shared.settings.endpoints.connect_timeout_ms);
    let (result, _) = probe(&*cx.network, address, limit).await;
    log_probe(endpoint, result);
    let now = cx.shared.clock.now();
    match result {
        ProbeResult::Answers => cx.shared.quarantine().record_endpoint_alive(endpoint),
        ProbeResult::Refuses => cx.shared.quarantine().record_endpoint_exit(endpoint, now),
        ProbeResult::Silent => {},
    }
    evaluate_suspects(cx, now);
}

fn quarantined(retry_after: Duration) -> Problem {
    let detail = "endpoints ended under this request, so that it is held back";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "quarantined", detail).with_retry_after(retry_after)
}

/// Quarantines the requests to which the crashes known now are attributed.
pub(crate) fn evaluate_suspects(cx: &Context, now: SystemTime) {
    let changes = cx.shared.quarantine().quarantine_suspects(now);
    log_changes(&changes);
}
