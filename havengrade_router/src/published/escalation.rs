//! Assesses the load when a model answers with low confidence, and records whether the answer is kept or replaced.

use std::time::{Duration, SystemTime};

use havengrade_core::{
    endpoint_selection::EndpointStates as _,
    published::{
        congestion::{EndpointWork, congestion, mean_waiting_tokens, mean_waiting_tokens_of_all, waiting_tokens},
        directory::ListedEndpoint,
        model_choice::EscalationInput,
        peers::Work,
    },
};

use crate::published::{
    active_request::ActiveRequest,
    context::PublishedContext,
    endpoint_choice::{outside_emptied_domains, weighted_prompt},
    peers::LARGE_FLEET_INTERVAL,
};

/// Factor from a share to percent.
const PERCENT: f64 = 100.0;

/// The situation of a request with a low-confidence answer, and the load that it was derived from.
pub(super) struct EscalationSituation {
    /// Input of the decision.
    pub(super) input: EscalationInput,
    /// Mean waiting work of the endpoints, in prompt tokens of the largest model.
    waiting_tokens: f64,
    /// Time in which the endpoints read the waiting work if nothing else delays them.
    waiting_time: Duration,
    /// Waiting work and prompt tokens until the first event of the stronger model.
    tokens_to_first_event: f64,
}

impl EscalationSituation {
    /// Assesses the situation of a request that could be run by a stronger model.
    pub(super) fn assess(
        cx: &PublishedContext,
        request: &ActiveRequest,
        confidence: u8,
        stronger: &str,
        now: SystemTime,
    ) -> Self {
        let waiting_tokens = waiting_tokens_of_service(cx, &request.service, now);
        let tokens_to_first_event = tokens_to_first_event(cx, request, stronger, waiting_tokens, now);
        let time_to_read = |tokens: f64| cx.shared.read_rates().time_to_read(&request.service, tokens);
        let waiting_time = cx.shared.unloaded_read_rates().time_to_read(&request.service, waiting_tokens, now);
        let route = &request.route;
        let input = EscalationInput {
            confidence,
            priority: request.priority,
            congestion: congestion(waiting_time, route.pause_target, route.target),
            first_event_in: time_to_read(tokens_to_first_event),
            time_to_target: (request.received_at + route.target).duration_since(now).unwrap_or_default(),
            time_left: request.time_left(now),
        };
        Self { input, waiting_tokens, waiting_time, tokens_to_first_event }
    }

    /// Logs and counts that the answer is kept.
    pub(super) fn record_kept(&self, request: &ActiveRequest, reason: &'static str) {
        count_decision(reason);
        self.log(request, reason, "", "low confidence of the model; keeping its answer");
    }

    /// Logs and counts that the answer is replaced.
    pub(super) fn record_replaced(&self, request: &ActiveRequest, stronger: &str) {
        count_decision("replaced");
        self.log(request, "replaced", stronger, "low confidence of the model; sending the request to a stronger one");
    }

    fn log(&self, request: &ActiveRequest, decision: &str, stronger: &str, message: &str) {
        let input = &self.input;
        log::info!(
            request = request.id.as_str(),
            decision = decision,
            confidence = input.confidence,
            stronger = stronger,
            priority = input.priority,
            congestion_percent = (input.congestion * PERCENT) as u64,
            waiting_tokens = self.waiting_tokens as u64,
            waiting_ms = self.waiting_time.as_millis() as u64,
            tokens_to_first_event = self.tokens_to_first_event as u64,
            first_event_in_ms = input.first_event_in.as_millis() as u64,
            to_target_ms = input.time_to_target.as_millis() as u64,
            left_ms = input.time_left.as_millis() as u64;
            "{message}"
        );
    }
}

fn count_decision(decision: &'static str) {
    metrics::counter!("low_confidence_answers", "decision" => decision).increment(1);
}

/// Updates the gauge of congestion of each service that has several models.
pub(super) fn record_congestion(cx: &PublishedContext, now: SystemTime) {
    let routes = cx.shared.routes.load();
    for service in routes.publication().services.iter().filter(|service| service.models.len() > 1) {
        let tokens = waiting_tokens_of_service(cx, &service.name, now);
        let time = cx.shared.unloaded_read_rates().time_to_read(&service.name, tokens, now);
        metrics::gauge!("congestion_seconds", "service" => service.name.clone()).set(time.as_secs_f64());
    }
}

/// Smoothed mean work that waits at the usable endpoints of a service, in prompt tokens of the largest model.
fn waiting_tokens_of_service(cx: &PublishedContext, service: &str, now: SystemTime) -> f64 {
    let usable = cx.shared.usable_endpoints.load();
    let listed = usable.get(service).map(Vec::as_slice).unwrap_or_default();
    if let Some(tokens) = cx.shared.congestion().current_tokens(service, listed.len(), now) {
        return tokens;
    }
    let is_usable = |endpoint: &&ListedEndpoint| cx.shared.endpoint_states.state(&endpoint.id).is_usable(now);
    let endpoints = outside_emptied_domains(cx, listed).into_iter().filter(is_usable);
    let work = endpoints.map(|endpoint| endpoint_work(cx, endpoint));
    let measured = if cx.shared.peers().is_large() {
        let domain = &cx.shared.settings.vm.failure_domain;
        let coverage = cx.shared.peers().report_coverage(domain, LARGE_FLEET_INTERVAL);
        mean_waiting_tokens(work, domain, coverage)
    } else {
        mean_waiting_tokens_of_all(work)
    };
    cx.shared.congestion().record(service, measured, now)
}

fn endpoint_work<'a>(cx: &PublishedContext, endpoint: &'a ListedEndpoint) -> EndpointWork<'a> {
    EndpointWork {
        failure_domain: &endpoint.failure_domain,
        own: own_work(cx, &endpoint.id),
        reported: cx.shared.peers().work(&endpoint.id),
    }
}

fn own_work(cx: &PublishedContext, endpoint: &str) -> Work {
    cx.shared.endpoint_states.slot(endpoint).map_or_else(Work::default, |slot| slot.work())
}

/// Work until the first event of a stronger model, in prompt tokens of the largest one: at an average endpoint, or at
/// one that has a part of the prompt cached if it is ready earlier.
fn tokens_to_first_event(
    cx: &PublishedContext,
    request: &ActiveRequest,
    stronger: &str,
    waiting: f64,
    now: SystemTime,
) -> f64 {
    let Some((prompt, prefixes)) = weighted_prompt(cx, request, Some(stronger)) else { return waiting };
    let prompt_tokens = f64::from(prompt.own_tokens) + f64::from(prompt.shared_tokens);
    let sent = cx.shared.sent_prefixes();
    let cached = sent.cached_tokens(&prefixes, now).into_iter();
    let usable = cached.filter(|(endpoint, _)| cx.shared.endpoint_states.state(endpoint).is_usable(now));
    let at_cached = usable.map(|(endpoint, tokens)| {
        let work = own_work(cx, endpoint) + cx.shared.peers().work(endpoint);
        waiting_tokens(work) + prompt_tokens - f64::from(tokens)
    });
    at_cached.fold(waiting + prompt_tokens, f64::min)
}
