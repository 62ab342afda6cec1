//! Refusals: "not run" is said only where it is certain.

use havengrade_core::{
    claim::{ApplyResult, KeyState, Outcome},
    ids::RequestId,
    ledger::LedgerRecord,
};
use hyper::StatusCode;

use crate::{
    kernel::Context,
    services::outbox::SubmitOutcome,
    traffic::{Problem, RunState, active_request::Keyed, ledger_client, request_table::End},
};

/// The end of a request that this VM has not sent and never will.
///
/// For a request with a key, "not run" is a promise about all attempts so far. So a refusal is written
/// to the log, which makes later claims of those attempts ineffective. Without the log it can be said
/// only of a first attempt that its caller has counted.
pub(crate) async fn refuse(cx: &Context, keyed: Option<&Keyed>, request_id: &str, problem: Problem) -> End {
    let Some(keyed) = keyed else { return End::Failed(problem) };
    if !cx.shared.is_log_reachable() {
        return End::Failed(without_log(keyed, problem));
    }
    let record = LedgerRecord::Void {
        key: keyed.key.clone(),
        up_to: keyed.attempt(),
        holder: cx.shared.incarnation,
        request_id: request_id.to_owned(),
    };
    match ledger_client::submit(cx, record).await {
        SubmitOutcome::Logged(ApplyResult::Applied) => End::Failed(problem),
        SubmitOutcome::Logged(ApplyResult::AlreadyClaimed { request_id, .. }) => {
            let state = ledger_client::find_key(cx, keyed.key.clone()).await;
            state.and_then(|state| known(&state, keyed)).unwrap_or(End::PendingElsewhere(request_id))
        },
        SubmitOutcome::Logged(_) | SubmitOutcome::Replicated | SubmitOutcome::Cancelled => {
            End::Failed(without_log(keyed, problem))
        },
    }
}

fn without_log(keyed: &Keyed, problem: Problem) -> Problem {
    if keyed.attempt == Some(1) {
        return problem;
    }
    Problem { run_state: RunState::MayHaveRun, ..problem }
}

/// The end that the log already shows for a key, if it does.
pub(crate) fn known(state: &KeyState, keyed: &Keyed) -> Option<End> {
    let claim = state.claim.as_ref()?;
    if claim.body != Some(keyed.body) {
        return Some(End::Failed(other_body()));
    }
    let Some(outcome) = &state.outcome else {
        return Some(End::PendingElsewhere(claim.request_id.clone()));
    };
    Some(stored(outcome, &claim.request_id))
}

/// The end that a stored outcome stands for.
pub(crate) fn stored(outcome: &Outcome, request_id: &RequestId) -> End {
    match outcome {
        Outcome::Answered { status, content_type, body } => {
            End::Answered { status: *status, content_type: content_type.clone(), body: body.clone().into() }
        },
        Outcome::MayHaveRun => End::Failed(lost_answer().with_request_id(request_id)),
    }
}

/// Kind of the problem of a request whose answer is lost.
pub(crate) const ANSWER_LOST: &str = "answer_lost";

/// The problem of a request whose answer is lost.
pub(crate) fn lost_answer() -> Problem {
    let detail = "the endpoint may have run the request, but its answer is lost; look there before you send another";
    Problem::may_have_run(StatusCode::BAD_GATEWAY, ANSWER_LOST, detail)
}

fn other_body() -> Problem {
    let detail = "Idempotency-Key: it stands for a request with another body; send a key that is new for each request";
    Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", detail)
}

/// The end of an attempt that the log has refused before.
pub(crate) fn voided(up_to: u32) -> End {
    let detail = format!("X-Havengrade-Attempt: attempts up to {up_to} were refused for good; send {}", up_to + 1);
    End::Failed(Problem::not_run(StatusCode::CONFLICT, "attempt_refused", detail))
}

/// The end that a claim without effect stands for.
pub(crate) async fn unclaimed(cx: &Context, keyed: &Keyed, verdict: ApplyResult) -> End {
    match verdict {
        ApplyResult::AlreadyVoided { up_to } => voided(up_to),
        ApplyResult::BodyMismatch => End::Failed(other_body()),
        ApplyResult::AlreadyClaimed { request_id, .. } => {
            let state = ledger_client::find_key(cx, keyed.key.clone()).await;
            state.and_then(|state| known(&state, keyed)).unwrap_or(End::PendingElsewhere(request_id))
        },
        ApplyResult::Applied | ApplyResult::NotApplicable => End::Failed(lost_answer()),
    }
}
