//! Which endpoint continues a stream: one that is silent, or another one that resumes it.

use std::{
    pin::pin,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::EndpointId,
    published::{attempt::RunState, common_silence::Silence, route::AnswerShape},
};
use tokio::time::sleep;

use crate::published::{
    active_request::ActiveRequest,
    attempt::{AnsweredAttempt, log_failed_attempt, prepare_attempt, record_failure, send_attempt},
    endpoint_choice::ChosenEndpoint,
    event_stream::{EndpointStream, EventChunk, StreamFault, StreamRelay},
    forward::next_endpoint,
    outcomes::{record_broken_outcome, record_outcome, record_session_version, version_failure},
    quarantine::{log_send_after_crashes, record_broken_attempt},
    refusal::Refusal,
};

/// Time between two checks whether another endpoint may continue the stream of a silent one.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which a silent endpoint keeps its connection once another one was asked to continue its stream. Operators
/// allow 400 ms in which both work on it.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// The caller of a stream has left.
struct CallerLeft;

/// How the silence of an endpoint ended for a stream.
pub(super) enum SilenceEnd {
    /// The endpoint went on, its stream ended, or the time was over.
    Heard(Result<Option<EventChunk>, StreamFault>),
    /// Another endpoint continues the stream.
    Replaced,
    /// The silent endpoint made room for another one, which does not continue the stream.
    Lost,
    /// The caller has left.
    CallerLeft,
}

/// An endpoint that is silent within a stream.
struct SilentEndpoint {
    id: EndpointId,
    since: SystemTime,
    patience: Duration,
}

/// Why no other endpoint may continue a stream at all; none if one may.
fn reason_not_resumable(request: &ActiveRequest) -> Option<&'static str> {
    if !matches!(request.route.shape, AnswerShape::Events { is_resumable: true }) {
        return Some("its route allows no resumption");
    }
    (!request.attempts.may_try_again()).then_some("no attempt is left")
}

/// Why no other endpoint may take the place of a silent one; none if one may. One that fails instead of continuing the
/// stream must leave an attempt for a third one, since the silent one is given up for it.
fn reason_not_replaceable(request: &ActiveRequest) -> Option<&'static str> {
    let mut attempts = request.attempts.clone();
    attempts.record(RunState::MayHaveRun);
    reason_not_resumable(request).or_else(|| (!attempts.may_try_again()).then_some("only one attempt is left"))
}

impl StreamRelay {
    /// Waits for a silent endpoint until it goes on, or until another one may continue its stream.
    ///
    /// Silence alone does not show that an endpoint has failed, so it keeps its connection while none may continue its
    /// stream, and if another one was asked that does not run the request.
    pub(super) async fn outlast_silence(
        &mut self,
        request: &mut ActiveRequest,
        upstream: &mut EndpointStream,
        patience: Duration,
    ) -> SilenceEnd {
        let id = upstream.attempt.endpoint.id.clone();
        let silent = SilentEndpoint { id, since: upstream.heard_at, patience };
        loop {
            let left = request.time_left(self.cx.shared.clock.now());
            let chosen = tokio::select! {
                biased;
                () = self.caller.closed() => return SilenceEnd::CallerLeft,
                read = upstream.next(left, left) => {
                    if std::mem::take(&mut request.has_reserved_retry) {
                        self.cx.shared.retry_budgets.refund(&request.service);
                    }
                    return self.heard_again(request, upstream, read);
                },
                chosen = self.wait_for_successor(request, &silent) => chosen,
            };
            let answered = match self.ask_beside(request, upstream, chosen).await {
                Ok(answered) => answered,
                Err(CallerLeft) => return SilenceEnd::CallerLeft,
            };
            if let Some(answered) = answered {
                self.replace(request, upstream, answered);
                return SilenceEnd::Replaced;
            }
            if upstream.is_closed() {
                return SilenceEnd::Lost;
            }
        }
    }

    /// Asks another endpoint to continue the stream; none if it does not. The silent one keeps its connection meanwhile, up
    /// to [`MAX_OVERLAP`], and is not read: it is not known when the other one begins to work on the request.
    async fn ask_beside(
        &self,
        request: &mut ActiveRequest,
        upstream: &mut EndpointStream,
        chosen: ChosenEndpoint,
    ) -> Result<Option<AnsweredAttempt>, CallerLeft> {
        let mut asking = pin!(self.ask(request, chosen));
        tokio::select! {
            biased;
            () = self.caller.closed() => return Err(CallerLeft),
            answered = &mut asking => return Ok(answered),
            () = sleep(MAX_OVERLAP) => upstream.close(),
        }
        tokio::select! {
            biased;
            () = self.caller.closed() => Err(CallerLeft),
            answered = asking => Ok(answered),
        }
    }

    fn heard_again(
        &self,
        request: &ActiveRequest,
        upstream: &EndpointStream,
        read: Result<Option<EventChunk>, StreamFault>,
    ) -> SilenceEnd {
        log::info!(
            request = request.id.as_str(),
            endpoint = upstream.attempt.endpoint.id.as_str(),
            silent_ms = upstream.silent_for(self.cx.shared.clock.now()).as_millis() as u64,
            goes_on = read.is_ok();
            "silence of an endpoint ended"
        );
        SilenceEnd::Heard(read)
    }

    /// Waits until another endpoint may continue the stream of a silent one, chooses it and connects to it.
    async fn wait_for_successor(&self, request: &mut ActiveRequest, silent: &SilentEndpoint) -> ChosenEndpoint {
        let mut logged = "";
        loop {
            let reason = match self.choose_successor(request, silent).await {
                Ok(chosen) => {
                    // Kept for another endpoint if this one can't be reached, or until the silent one goes on.
                    request.has_reserved_retry = true;
                    if prepare_attempt(&self.cx, request, &chosen.endpoint).await.is_ok() {
                        request.has_reserved_retry = false;
                        return chosen;
                    }
                    "the other endpoint can't be reached"
                },
                Err(reason) => reason,
            };
            if reason != logged {
                logged = reason;
                log::info!(
                    request = request.id.as_str(),
                    endpoint = silent.id.as_str(),
                    reason = reason;
                    "waiting for a silent endpoint"
                );
            }
            if reason_not_replaceable(request).is_some() {
                std::future::pending::<()>().await;
            }
            sleep(SUCCESSOR_CHECK_INTERVAL).await;
        }
    }

    /// Chooses an endpoint that continues the stream of a silent one.
    ///
    /// # Errors
    ///
    /// The reason for which there is none now.
    async fn choose_successor(
        &self,
        request: &mut ActiveRequest,
        silent: &SilentEndpoint,
    ) -> Result<ChosenEndpoint, &'static str> {
        if let Some(reason) = reason_not_replaceable(request) {
            return Err(reason);
        }
        let shared = &self.cx.shared;
        let silence = Silence { endpoint: &silent.id, since: silent.since, patience: silent.patience };
        if !shared.silences.may_replace(&request.service, silence, shared.clock.now()) {
            return Err("the other endpoints are silent as well");
        }
        let has_other = shared
            .usable_endpoints
            .load()
            .get(&request.service)
            .is_some_and(|endpoints| endpoints.iter().any(|endpoint| endpoint.id != silent.id));
        if !has_other {
            return Err("there is no other endpoint");
        }
        if !request.has_reserved_retry && !shared.retry_budgets.has_spare_retry(&request.service) {
            return Err("the retry budget has none to spare");
        }
        let chosen = next_endpoint(&self.cx, request).await.map_err(Refusal::name)?;
        if chosen.endpoint.id == silent.id {
            shared.retry_budgets.refund(&request.service);
            return Err("no other endpoint may get the request");
        }
        Ok(chosen)
    }

    /// Continues the stream with the answer of another endpoint, and closes the connection of the one before.
    fn replace(&mut self, request: &ActiveRequest, upstream: &mut EndpointStream, answered: AnsweredAttempt) {
        upstream.record_remaining_event_time(&self.cx, request);
        self.record_fault(request, upstream, StreamFault::Stalled);
        *upstream = self.resumed_stream(request, answered);
    }

    /// Resumes a stream whose connection broke at another endpoint, after the last event that the caller got.
    pub(super) async fn resume(&mut self, request: &mut ActiveRequest) -> Option<EndpointStream> {
        loop {
            if let Some(reason) = reason_not_resumable(request) {
                log::info!(request = request.id.as_str(); "stream not resumed: {reason}");
                return None;
            }
            let chosen = tokio::select! {
                biased;
                () = self.caller.closed() => return None,
                chosen = next_endpoint(&self.cx, request) => chosen,
            };
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    log::info!(
                        request = request.id.as_str(),
                        reason = refusal.name();
                        "stream not resumed: no further attempt is possible"
                    );
                    return None;
                },
            };
            let answered = tokio::select! {
                biased;
                () = self.caller.closed() => return None,
                answered = self.ask(request, chosen) => answered,
            };
            if let Some(answered) = answered {
                return Some(self.resumed_stream(request, answered));
            }
        }
    }

    /// Asks an endpoint to continue the stream after the last event that the caller got; none if it does not.
    async fn ask(&self, request: &mut ActiveRequest, chosen: ChosenEndpoint) -> Option<AnsweredAttempt> {
        let last_id = self.last_id.clone().or_else(|| request.attributes.last_event.clone());
        log_send_after_crashes(&self.cx, request, &chosen.endpoint);
        request.tried_endpoints.push(chosen.endpoint.id.clone());
        match send_attempt(&self.cx, request, chosen, last_id.as_deref()).await {
            Ok(answered) if answered.head.status.is_success() => {
                let now = self.cx.shared.clock.now();
                record_session_version(&self.cx, request, &answered.attempt.endpoint.version, now);
                request.record_attempt(RunState::Ran);
                Some(answered)
            },
            Ok(answered) => {
                record_outcome(&self.cx, request, &answered.attempt.endpoint, version_failure(answered.head.status));
                record_failure(&self.cx, &answered.attempt.endpoint);
                request.record_attempt(RunState::Ran);
                None
            },
            Err(state) => {
                if state == RunState::NotSent {
                    self.cx.shared.retry_budgets.refund(&request.service);
                }
                request.record_attempt(state);
                None
            },
        }
    }

    /// Logs the resumption and returns the stream of the new attempt.
    fn resumed_stream(&mut self, request: &ActiveRequest, answered: AnsweredAttempt) -> EndpointStream {
        self.resumed += 1;
        log::info!(
            request = request.id.as_str(),
            endpoint = answered.attempt.endpoint.id.as_str(),
            after_event = self.last_id.as_deref().unwrap_or_default();
            "stream resumed"
        );
        EndpointStream::new(&self.cx, answered)
    }

    /// Logs a fault of the stream of an attempt and records it for its endpoint.
    pub(super) fn record_fault(&self, request: &ActiveRequest, upstream: &EndpointStream, fault: StreamFault) {
        let endpoint = &upstream.attempt.endpoint;
        log_failed_attempt(request, endpoint, fault.reason());
        log::info!(
            request = request.id.as_str(),
            endpoint = endpoint.id.as_str(),
            silent_ms = upstream.silent_for(self.cx.shared.clock.now()).as_millis() as u64;
            "stream of an endpoint broke"
        );
        if fault == StreamFault::CutOff {
            record_broken_outcome(&self.cx, request, endpoint);
        }
        record_broken_attempt(&self.cx, request, endpoint, upstream.attempt.sent_at);
        record_failure(&self.cx, endpoint);
    }
}
