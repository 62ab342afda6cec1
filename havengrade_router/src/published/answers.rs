//! What is noted of requests in progress and of their answers: counters, the line in the log, evidence on versions.

use std::{
    sync::atomic::Ordering,
    time::{Duration, SystemTime},
};

use havengrade_core::published::{
    directory::ListedEndpoint,
    rollout::{KIND_SEPARATOR, Sample},
};
use hyper::StatusCode;

use crate::published::{context::PublishedContext, job::Job, tries::fail};

/// Counts a request as in progress at this VM.
pub(super) struct InProgress(PublishedContext);

impl InProgress {
    pub(super) fn new(cx: &PublishedContext) -> Self {
        cx.shared.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(cx.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Prompt tokens that take as long to read as everything else takes until a first token.
const FIRST_TOKEN_WORK: f64 = 500.0;

/// Notes how an answer turned out.
pub(super) fn note_answer(cx: &PublishedContext, job: &Job, opened: &ListedEndpoint, failed: bool, took: Duration) {
    let kind = format!("{}{KIND_SEPARATOR}{}", job.route.name, job.model.as_deref().unwrap_or_default());
    let size = job.facts.tokens.map_or(1.0, |tokens| f64::from(tokens.prompt) + FIRST_TOKEN_WORK);
    let latency = (!failed).then_some(took);
    let sample = Sample { kind: &kind, version: &opened.version, failed, latency, size };
    cx.shared.rollouts().note(&job.service, sample, cx.shared.incarnation);
    if failed {
        fail(cx, opened);
    } else if let Some(slot) = cx.shared.states.slot(&opened.id) {
        slot.succeed(cx.shared.clock.now());
    }
}

/// Counts an answered request by its route and status.
pub(super) fn count_answer(job: &Job, status: StatusCode, now: SystemTime) {
    let took = now.duration_since(job.arrived).unwrap_or_default();
    metrics::histogram!("request_seconds", "route" => job.route.name.clone()).record(took.as_secs_f64());
    metrics::counter!("requests_answered", "route" => job.route.name.clone(), "status" => status.as_str().to_owned())
        .increment(1);
}

/// Writes the line of a request that got a whole answer.
pub(super) fn log_answer(job: &Job, endpoint: &ListedEndpoint, status: StatusCode, now: SystemTime) {
    count_answer(job, status, now);
    let took = now.duration_since(job.arrived).unwrap_or_default();
    log::info!(
        request = job.id.as_str(),
        route = job.route.name.as_str(),
        endpoint = endpoint.id.as_str(),
        version = endpoint.version.as_str(),
        status = status.as_u16(),
        tries = job.tried.len(),
        took_ms = took.as_millis() as u64;
        "request answered"
    );
}
