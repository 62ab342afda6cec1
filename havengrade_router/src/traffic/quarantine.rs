//! Requests that crash endpoints, at the router's own interface: what tries tell of them, and that they are sent no more.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    config::Endpoint,
    fingerprint::{RequestFingerprint, VersionFingerprint, fingerprint},
    quarantine::{QuarantineEntry, QuarantineStatus, next_trial},
};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::{
    kernel::Context,
    quarantine::{ProbeResult, log_changes, log_probe, probe},
    traffic::{Problem, active_request::Job},
};

/// Time between two looks at whether a request may be sent, while that is about to be known.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time after which a request that is held back is tried once more. Without a list two VMs may do so at the same moment, so that it comes rarely.
const TRIAL_AFTER: Duration = Duration::from_secs(600);
/// Time for which the next try of a request waits for a look: an endpoint that has ended refuses at once.
const QUICK_LOOK: Duration = Duration::from_millis(30);
/// Most time that a request waits for it.
const MOST_WAIT: Duration = Duration::from_secs(6);

/// A request on its way, with what it and the version that runs it are known by.
pub(crate) struct Watched<'a> {
    job: &'a Job,
    mark: RequestFingerprint,
    version: VersionFingerprint,
}

impl<'a> Watched<'a> {
    /// A request for a version or, with none, for a plain service's path.
    pub(crate) fn new(job: &'a Job, version: Option<&str>, path: &str) -> Self {
        let parts = [&job.entry.account, &job.decision.class.id, path].map(str::as_bytes);
        let [account, class, path] = parts;
        let version = fingerprint(&[version.unwrap_or_default().as_bytes()]);
        Self { job, mark: fingerprint(&[account, class, path, &job.body]), version }
    }

    /// Lets the request be sent, or tells why it is not.
    pub(crate) async fn admit(&self) -> Result<(), Problem> {
        let cx = &self.job.cx;
        let give_up = self.job.now() + MOST_WAIT.min(self.job.time_left());
        loop {
            let now = self.job.now();
            evaluate_suspects(cx, now);
            let standing = cx.shared.quarantine().status(self.mark, now);
            let back_after = match standing {
                QuarantineStatus::Free => return Ok(()),
                QuarantineStatus::TrialDue(hold) => return self.begin_trial(&hold, now),
                QuarantineStatus::Quarantined { retry_after } => retry_after,
                QuarantineStatus::Pending { decided_in } => decided_in,
            };
            let is_soon = matches!(standing, QuarantineStatus::Pending { .. }) && now + back_after < give_up;
            if !is_soon {
                return Err(held(back_after));
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// Tries a request once more that is held back; here no list tells which VM does, so the others are told.
    fn begin_trial(&self, hold: &QuarantineEntry, now: SystemTime) -> Result<(), Problem> {
        let until = (hold.since + TRIAL_AFTER).duration_since(now).unwrap_or_default();
        if !until.is_zero() {
            return Err(held(until));
        }
        let claimed = next_trial(&[*hold], hold, now).ok_or_else(|| held(MOST_WAIT))?;
        self.job.cx.shared.quarantine().record_trials(claimed.fingerprint, claimed.trials, claimed.last_trial);
        log::info!(request_id = self.job.entry.id.as_str(); "a request that is held back is tried once more");
        Ok(())
    }

    /// Notes that an endpoint answered the request as a whole.
    pub(crate) fn note_answered(&self) {
        let now = self.job.now();
        let change = self.job.cx.shared.quarantine().record_answer((self.mark, self.version), now);
        log_changes(change.as_slice());
    }

    /// Notes that a try broke that was `sent` to an endpoint, and looks whether that has ended.
    pub(crate) async fn note_broken(&self, endpoint: &Endpoint, sent: SystemTime) {
        let now = self.job.now();
        let ran_for = now.duration_since(sent).unwrap_or_default();
        let run = (self.mark, self.version);
        self.job.cx.shared.quarantine().record_broken_attempt(run, &endpoint.id, ran_for, now);
        let (cx, id, address) = (self.job.cx.clone(), endpoint.id.clone(), endpoint.address);
        let end = cx.end.clone();
        let looking = tokio::spawn(end.run_until_cancelled_owned(async move { look_at(&cx, &id, address).await }));
        if timeout(QUICK_LOOK, looking).await.is_err() {
            log::debug!(endpoint = endpoint.id.as_str(); "what a look at an endpoint finds is not waited for");
        }
    }
}

/// Looks whether an endpoint where a try broke has ended. One that says nothing may be cut off from this VM, and is not counted.
async fn look_at(cx: &Context, endpoint: &str, address: SocketAddr) {
    let limit = Duration::from_millis(cx.shared.settings.endpoints.connect_timeout_ms);
    let (found, _) = probe(&*cx.network, address, limit).await;
    log_probe(endpoint, found);
    let now = cx.shared.clock.now();
    match found {
        ProbeResult::Answers => cx.shared.quarantine().record_endpoint_alive(endpoint),
        ProbeResult::Refuses => cx.shared.quarantine().record_endpoint_exit(endpoint, now),
        ProbeResult::Silent => {},
    }
    evaluate_suspects(cx, now);
}

fn held(back_after: Duration) -> Problem {
    let detail = "endpoints ended under this request, so that it is held back";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "quarantined", detail).with_retry_after(back_after)
}

/// Judges by what is known now.
pub(crate) fn evaluate_suspects(cx: &Context, now: SystemTime) {
    let changes = cx.shared.quarantine().quarantine_suspects(now);
    log_changes(&changes);
}
