//! Refusals of requests, which report "not run" only where the request provably didn't run.

use havengrade_core::{
    claim::{ApplyResult, KeyState, Outcome},
    ids::RequestId,
    ledger::LedgerRecord,
};
use hyper::StatusCode;

use crate::{
    kernel::Context,
    services::outbox::SubmitOutcome,
    traffic::{Problem, RunState, active_request::IdempotencyKey, ledger_client, request_table::RequestOutcome},
};

/// Returns the outcome of a request that this VM has not sent and never will.
///
/// For a request with an idempotency key, "not run" is a guarantee for all attempts so far. The refusal is therefore
/// written to the log, which voids later claims of those attempts. Without the log, the guarantee holds only for a
/// request that its caller has numbered as the first attempt.
pub(crate) async fn refuse(
    cx: &Context,
    idempotency_key: Option<&IdempotencyKey>,
    request_id: &str,
    problem: Problem,
) -> RequestOutcome {
    let Some(idempotency_key) = idempotency_key else { return RequestOutcome::Failed(problem) };
    if !cx.shared.is_log_reachable() {
        return RequestOutcome::Failed(without_log_proof(idempotency_key, problem));
    }
    let record = LedgerRecord::Void {
        key: idempotency_key.claim_key.clone(),
        up_to: idempotency_key.attempt(),
        holder: cx.shared.incarnation,
        request_id: request_id.to_owned(),
    };
    match ledger_client::submit(cx, record).await {
        SubmitOutcome::Logged(ApplyResult::Applied) => RequestOutcome::Failed(problem),
        SubmitOutcome::Logged(ApplyResult::AlreadyClaimed { request_id, .. }) => {
            let state = ledger_client::find_key(cx, idempotency_key.claim_key.clone()).await;
            state
                .and_then(|state| known_outcome(&state, idempotency_key))
                .unwrap_or(RequestOutcome::PendingElsewhere(request_id))
        },
        SubmitOutcome::Logged(_) | SubmitOutcome::Replicated | SubmitOutcome::Cancelled => {
            RequestOutcome::Failed(without_log_proof(idempotency_key, problem))
        },
    }
}

/// Reports "not run" without a record in the log only for a caller's first attempt.
fn without_log_proof(idempotency_key: &IdempotencyKey, problem: Problem) -> Problem {
    if idempotency_key.attempt == Some(1) {
        return problem;
    }
    Problem { run_state: RunState::MayHaveRun, ..problem }
}

/// Returns the outcome for a key that the log shows as claimed.
pub(crate) fn known_outcome(state: &KeyState, idempotency_key: &IdempotencyKey) -> Option<RequestOutcome> {
    let claim = state.claim.as_ref()?;
    if claim.body != Some(idempotency_key.body_digest) {
        return Some(RequestOutcome::Failed(key_reused()));
    }
    let Some(outcome) = &state.outcome else {
        return Some(RequestOutcome::PendingElsewhere(claim.request_id.clone()));
    };
    Some(stored_outcome(outcome, &claim.request_id))
}

/// Converts an outcome from the ledger.
pub(crate) fn stored_outcome(outcome: &Outcome, request_id: &RequestId) -> RequestOutcome {
    match outcome {
        Outcome::Answered { status, content_type, body } => {
            RequestOutcome::Answered { status: *status, content_type: content_type.clone(), body: body.clone().into() }
        },
        Outcome::MayHaveRun => RequestOutcome::Failed(answer_lost().with_request_id(request_id)),
    }
}

/// Problem kind of a request whose answer is lost.
pub(crate) const ANSWER_LOST: &str = "answer_lost";

/// Returns the problem of a request whose answer is lost.
pub(crate) fn answer_lost() -> Problem {
    let detail = "the endpoint may have run the request, but its answer is lost; look there before you send another";
    Problem::may_have_run(StatusCode::BAD_GATEWAY, ANSWER_LOST, detail)
}

fn key_reused() -> Problem {
    let detail = "Idempotency-Key: it stands for a request with another body; send a key that is new for each request";
    Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", detail)
}

/// Returns the outcome of an attempt that an earlier refusal in the log has voided.
pub(crate) fn attempt_refused(up_to: u32) -> RequestOutcome {
    let detail = format!("X-Havengrade-Attempt: attempts up to {up_to} were refused for good; send {}", up_to + 1);
    RequestOutcome::Failed(Problem::not_run(StatusCode::CONFLICT, "attempt_refused", detail))
}

/// Returns the outcome of a request whose claim had no effect.
pub(crate) async fn outcome_without_claim(
    cx: &Context,
    idempotency_key: &IdempotencyKey,
    result: ApplyResult,
) -> RequestOutcome {
    match result {
        ApplyResult::AlreadyVoided { up_to } => attempt_refused(up_to),
        ApplyResult::BodyMismatch => RequestOutcome::Failed(key_reused()),
        ApplyResult::AlreadyClaimed { request_id, .. } => {
            let state = ledger_client::find_key(cx, idempotency_key.claim_key.clone()).await;
            state
                .and_then(|state| known_outcome(&state, idempotency_key))
                .unwrap_or(RequestOutcome::PendingElsewhere(request_id))
        },
        ApplyResult::Applied | ApplyResult::NotApplicable => RequestOutcome::Failed(answer_lost()),
    }
}
