//! Carries out the admission of generations under shortage, with its log line and metrics.

use std::time::SystemTime;

use havengrade_core::published::{
    admission::{Admission, AdmissionRequest, Forecast, ShortageReason},
    placement::{Candidate, PlacedEndpoint},
};

use crate::published::{
    active_request::{ActiveRequest, Trial},
    context::PublishedContext,
    refusal::Refusal,
};

/// Returns what is expected at the endpoints of a service for a generation that was placed.
pub(super) fn forecast(
    cx: &PublishedContext,
    service: &str,
    candidates: &[Candidate<'_>],
    placed: PlacedEndpoint<'_>,
    now: SystemTime,
) -> Forecast {
    let waiting_at = |candidate: &Candidate<'_>| f64::from(candidate.work.tokens) * candidate.slowness;
    let usable: Vec<&Candidate<'_>> = candidates.iter().filter(|c| c.state.is_usable(now)).collect();
    let total: f64 = usable.iter().copied().map(waiting_at).sum();
    let requests: f64 = usable.iter().map(|c| f64::from(c.work.requests)).sum();
    let slots: f64 = usable.iter().map(|c| f64::from(c.endpoint.slots)).sum();
    let chosen = candidates.iter().find(|c| c.endpoint.id == placed.endpoint.id);
    let slowness = chosen.map_or(1.0, |c| c.slowness);
    let rates = cx.shared.read_rates();
    Forecast {
        wait: rates.time_to_read(service, chosen.map_or(0.0, waiting_at)),
        mean_wait: rates.time_to_read(service, total / usable.len().max(1) as f64),
        read_time: rates.time_to_read(service, f64::from(placed.tokens) * slowness),
        slots_in_use: requests / slots.max(1.0),
    }
}

/// Decides once, before the first send, whether a generation of a service with models is sent.
///
/// # Errors
///
/// [`Refusal::Shortage`] if other requests are served first.
pub(super) fn decide(
    cx: &PublishedContext,
    request: &mut ActiveRequest,
    forecast: Forecast,
    now: SystemTime,
) -> Result<(), Refusal> {
    let has_models = cx.shared.routes.load().service(&request.service).is_some_and(|known| !known.models.is_empty());
    let is_first_send = !request.attempts.is_repeat() && request.tried_endpoints.is_empty();
    // The send of a suspected or quarantined request is claimed, and can't be claimed again.
    if request.is_admitted || !has_models || !is_first_send || matches!(request.trial, Trial::Claimed | Trial::Spent) {
        return Ok(());
    }
    let query = AdmissionRequest {
        service: &request.service,
        priority: request.priority,
        account: request.account.as_deref(),
        fingerprint: request.fingerprint(),
        is_resumed: request.attributes.last_event.is_some(),
        target: request.route.target,
        time_limit: request.deadline.duration_since(request.received_at).unwrap_or_default(),
        elapsed: now.duration_since(request.received_at).unwrap_or_default(),
        forecast,
    };
    let admission = cx.shared.admission().decide(query, now, &mut *cx.shared.rng());
    let outcome = admission.refused.map_or("sent", ShortageReason::name);
    metrics::counter!("admissions", "outcome" => outcome, "priority" => request.priority.to_string()).increment(1);
    if admission.refused.is_some() {
        log_refusal(&query, &request.id, admission, outcome);
        return Err(Refusal::Shortage { retry_after: admission.retry_after });
    }
    request.is_admitted = true;
    Ok(())
}

fn log_refusal(query: &AdmissionRequest<'_>, id: &str, admission: Admission, outcome: &str) {
    let forecast = query.forecast;
    log::info!(
        request = id,
        service = query.service,
        cause = outcome,
        priority = query.priority,
        account = query.account.unwrap_or("none"),
        account_use = admission.account_use,
        is_returning = admission.is_returning,
        refused_share = admission.refused_share,
        position = admission.position,
        wait_ms = forecast.wait.as_millis() as u64,
        mean_wait_ms = forecast.mean_wait.as_millis() as u64,
        read_ms = forecast.read_time.as_millis() as u64,
        slots_in_use = forecast.slots_in_use,
        target_ms = query.target.as_millis() as u64,
        left_ms = query.time_left().as_millis() as u64,
        retry_after_ms = admission.retry_after.as_millis() as u64;
        "not admitted: the endpoints are short of capacity"
    );
}

/// Sets the gauges of the shares that are refused.
pub(super) fn set_gauges(cx: &PublishedContext, now: SystemTime) {
    let shares = cx.shared.admission().refused_shares(now);
    for (service, priority, share) in shares {
        metrics::gauge!("shed_share", "service" => service, "priority" => priority.to_string()).set(share);
    }
}
