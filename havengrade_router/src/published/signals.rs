//! Signals of endpoints on their limits, shutdowns and backoff, from the heads of answers and from other VMs.

use std::time::SystemTime;

use havengrade_core::published::{
    directory::ListedEndpoint,
    signals::{ReportedSignal, Signal, SignalChange},
};
use hyper::StatusCode;

use crate::published::{active_request::ActiveRequest, context::PublishedContext, ports::AnswerHead};

/// Source of a change that an answer to this VM signals.
const OWN_ANSWER: &str = "answer";
/// Source of a change that another VM reports.
const OTHER_VM: &str = "vm";

/// Records the load and the signals in the head of an answer, unless another endpoint answered at the address.
pub(super) fn record_answer_signals(
    cx: &PublishedContext,
    request: &ActiveRequest,
    endpoint: &ListedEndpoint,
    status: StatusCode,
    answer_head: &AnswerHead,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(load) = answer_head.load
        && let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id)
    {
        slot.record_answer_load(load.running.saturating_add(load.waiting), load.slots, cx.shared.clock.now());
    }
    let now = cx.shared.clock.now();
    if let Some(slowness) = answer_head.load.and_then(|load| load.slowness) {
        cx.shared.endpoint_speeds().record_reported(endpoint, slowness, now);
    }
    let is_for_request = answer_head.request.as_ref() == Some(&request.id);
    let is_valid_answer = is_for_request && answer_head.is_authentic && status.is_success();
    let Signal { limit_per_s, is_leaving, .. } = answer_head.signal;
    let tolerated = answer_head.tolerated_rejections;
    let is_changed = cx.shared.send_limits().brittle.record_answer(&endpoint.service, tolerated, now);
    if is_changed {
        log::info!(
            service = endpoint.service.as_str(),
            per_s = tolerated;
            "number of tolerated rejections changed"
        );
    }
    let changes = cx.shared.send_limits().record_signal(endpoint, answer_head.signal, is_valid_answer, now);
    for change in changes {
        log_change(&endpoint.id, change, OWN_ANSWER);
    }
    if limit_per_s.is_some() || is_leaving {
        metrics::counter!("endpoint_signals_heard").increment(1);
    }
}

/// Merges the signals of endpoints that another VM reports.
pub(super) fn merge_reported_signals(cx: &PublishedContext, reported: Vec<ReportedSignal>, now: SystemTime) {
    let changes = cx.shared.send_limits().signals.merge_reported(reported, now);
    for (endpoint, change) in changes {
        log_change(&endpoint, change, OTHER_VM);
    }
}

fn log_change(endpoint: &str, change: SignalChange, source: &str) {
    match change {
        SignalChange::Limited(per_s) => {
            log::info!(endpoint = endpoint, per_s = per_s, by = source; "endpoint names a limit");
        },
        SignalChange::Unlimited => log::info!(endpoint = endpoint, by = source; "endpoint no longer names a limit"),
        SignalChange::ShuttingDown => log::info!(endpoint = endpoint, by = source; "endpoint says that it leaves"),
        SignalChange::BackoffRequested(backoff) => {
            let rest_ms = backoff.as_millis() as u64;
            log::info!(endpoint = endpoint, rest_ms = rest_ms, by = source; "endpoint asks this VM for rest");
        },
    }
}
