//! Measures the speed of endpoints by the times of answers, and logs which endpoints are slow.

use std::time::{Duration, SystemTime};

use havengrade_core::published::{
    endpoint_speed::{ReportedSpeed, SpeedChange, SpeedKind, SpeedSample},
    route::AnswerShape,
    unloaded_read_rate::FirstEventTime,
};

use crate::published::{active_request::ActiveRequest, attempt::Attempt, context::PublishedContext};

/// Prompt tokens of the largest model whose reading takes as long as all other work until the first event.
const FIRST_EVENT_BASE_TOKENS: f64 = 500.0;

/// Records the time to the first event of a generation.
pub(super) fn record_first_event(cx: &PublishedContext, request: &ActiveRequest, attempt: &Attempt, took: Duration) {
    if request.attributes.tokens.is_none() {
        return;
    }
    let now = cx.shared.clock.now();
    let speeds = cx.shared.endpoint_speeds();
    let (slowness, known) = (speeds.slowness(&attempt.endpoint, now), speeds.known_slowness(&attempt.endpoint, now));
    drop(speeds);
    cx.shared.read_rates().record(&request.service, f64::from(attempt.tokens_to_read), took, slowness);
    // An endpoint that may be faster than the others would make them look too fast.
    if let Some(slowness) = known {
        let first_event = FirstEventTime { own_tokens: f64::from(attempt.own_tokens), time: took, slowness };
        cx.shared.unloaded_read_rates().record(&request.service, first_event, now);
    }
    record(cx, sample(request, attempt, SpeedKind::FirstEvent, took));
}

/// Records the time per event of a generation.
pub(super) fn record_event_time(cx: &PublishedContext, request: &ActiveRequest, attempt: &Attempt, pause: Duration) {
    if request.attributes.tokens.is_some() {
        record(cx, sample(request, attempt, SpeedKind::PerEvent, pause));
    }
}

/// Records the time to the whole answer of a plain request. That of a generation depends on the length of its output.
pub(super) fn record_whole_answer(cx: &PublishedContext, request: &ActiveRequest, attempt: &Attempt, took: Duration) {
    if request.attributes.tokens.is_none() {
        record(cx, sample(request, attempt, SpeedKind::WholeAnswer, took));
    }
}

/// Records the time that was waited for an answer in vain: a lower bound on the time to its first event, or to the
/// whole answer of a plain request. Without it, an endpoint that is too slow to answer in time would not count as slow.
pub(super) fn record_wait(cx: &PublishedContext, request: &ActiveRequest, attempt: &Attempt, waited: Duration) {
    let is_stream = matches!(request.route.shape, AnswerShape::Events { .. });
    let kind = match (is_stream, request.attributes.tokens) {
        (true, Some(_)) => SpeedKind::FirstEvent,
        (false, None) => SpeedKind::WholeAnswer,
        _ => return,
    };
    record(cx, SpeedSample { is_complete: false, ..sample(request, attempt, kind, waited) });
}

fn sample<'a>(request: &'a ActiveRequest, attempt: &'a Attempt, kind: SpeedKind, time: Duration) -> SpeedSample<'a> {
    let work = match kind {
        SpeedKind::FirstEvent => f64::from(attempt.tokens_to_read) + FIRST_EVENT_BASE_TOKENS,
        SpeedKind::PerEvent | SpeedKind::WholeAnswer => 1.0,
    };
    let (endpoint, load, model) = (&attempt.endpoint, attempt.load, request.model.as_deref());
    SpeedSample { endpoint, model, load, kind, work, time, is_complete: true }
}

fn record(cx: &PublishedContext, sample: SpeedSample<'_>) {
    let is_counted = cx.shared.endpoint_speeds().record_sample(sample, cx.shared.clock.now());
    if is_counted {
        metrics::counter!("endpoint_speed_samples", "source" => "answer").increment(1);
    }
}

/// Logs the endpoints that became slow or are no longer slow, and returns the measurements for the next report.
pub(super) fn next_speed_report(cx: &PublishedContext, now: SystemTime) -> Vec<ReportedSpeed> {
    let mut speeds = cx.shared.endpoint_speeds();
    let changes = speeds.take_changes(now);
    let slow = speeds.slow_count();
    let report = speeds.next_report(now);
    drop(speeds);
    for change in changes {
        log_change(&change);
    }
    metrics::gauge!("endpoints_slow").set(slow as f64);
    report
}

fn log_change(SpeedChange { endpoint, slowness, samples, is_slow }: &SpeedChange) {
    let message = if *is_slow { "endpoint is slower than others" } else { "endpoint is no longer slower than others" };
    log::info!(endpoint = endpoint.as_str(), slowness = slowness, samples = samples; "{message}");
}

/// Merges the measurements that another VM reports.
pub(super) fn merge_reported_speeds(cx: &PublishedContext, reported: Vec<ReportedSpeed>, now: SystemTime) {
    let samples = reported.iter().map(|speed| u64::from(speed.samples)).sum();
    metrics::counter!("endpoint_speed_samples", "source" => "vm").increment(samples);
    cx.shared.endpoint_speeds().merge_reported(reported, now);
}
