//! The router's own names for what requests and answers of published routes tell.

use std::time::Duration;

use havengrade_core::published::{attempt::RunState, signals::Signal};
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};

use crate::published::ports::{AnswerHead, Dialect, ForwardAttributes, ReportedLoad, RequestAttributes};

/// Id of a caller's attempt, echoed by endpoints.
pub const REQUEST: HeaderName = HeaderName::from_static("havengrade-request");
/// Milliseconds that are left for the answer.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("havengrade-time-left-ms");
/// Key of the client account.
pub const KEY: HeaderName = HeaderName::from_static("havengrade-key");
/// Name of the client account, for endpoints.
pub const ACCOUNT: HeaderName = HeaderName::from_static("havengrade-account");
/// Id of the endpoint that is meant.
pub const ENDPOINT: HeaderName = HeaderName::from_static("havengrade-endpoint");
/// Name of the model, or `any`.
pub const MODEL: HeaderName = HeaderName::from_static("havengrade-model");
/// Session of the request.
pub const SESSION: HeaderName = HeaderName::from_static("havengrade-session");
/// Present where the endpoint did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("havengrade-not-run");
/// Signature of an answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("havengrade-signature");
/// The model's opinion of its answer, from 0 to 100.
pub const CONFIDENCE: HeaderName = HeaderName::from_static("havengrade-confidence");
/// Requests that run at the endpoint.
pub const RUNNING: HeaderName = HeaderName::from_static("havengrade-running");
/// Requests a second that the endpoint takes from all VMs together.
pub const LIMIT_PER_S: HeaderName = HeaderName::from_static("havengrade-limit-per-s");
/// Present where the endpoint is about to leave.
pub const LEAVING: HeaderName = HeaderName::from_static("havengrade-leaving");
/// Urgency, 0 first.
pub const PRIORITY: HeaderName = HeaderName::from_static("havengrade-priority");
/// Id of the last event that the caller has.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// What a caller writes who leaves the model to the router.
pub const ANY_MODEL: &str = "any";

/// The router's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnDialect;

impl Dialect for OwnDialect {
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes {
        RequestAttributes {
            id: text(headers, &REQUEST),
            time_limit: number(headers, &TIME_LEFT_MS).map(Duration::from_millis),
            key: text(headers, &KEY),
            session: text(headers, &SESSION),
            last_event: text(headers, &LAST_EVENT_ID),
            lets_router_choose_model: text(headers, &MODEL).is_some_and(|model| model == ANY_MODEL),
            prompt_parts: Vec::new(),
            tokens: None,
        }
    }

    fn encode_request(&self, headers: &mut HeaderMap, attributes: &ForwardAttributes<'_>) {
        for name in [&KEY, &ACCOUNT, &ENDPOINT, &PRIORITY] {
            headers.remove(name);
        }
        let millis = u64::try_from(attributes.time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIME_LEFT_MS, HeaderValue::from(millis.max(1)));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(attributes.priority)));
        let texts = [
            (ENDPOINT, Some(attributes.endpoint)),
            (ACCOUNT, attributes.account),
            (MODEL, attributes.model),
            (LAST_EVENT_ID, attributes.resume_after),
        ];
        for (name, value) in texts {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
    }

    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        let is_not_run = headers.contains_key(&NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
        let running = number(headers, &RUNNING).and_then(|value| u32::try_from(value).ok());
        AnswerHead {
            run: if is_not_run { RunState::NotRun } else { RunState::Ran },
            request: text(headers, &REQUEST),
            is_authentic: headers.contains_key(&REQUEST) && (!status.is_success() || headers.contains_key(&SIGNATURE)),
            load: running.map(|running| ReportedLoad { running, waiting: 0 }),
            signal: Signal {
                limit_per_s: parse_decimal(headers, &LIMIT_PER_S),
                is_leaving: headers.contains_key(&LEAVING),
                backoff: requested_backoff(status, parse_decimal(headers, &RETRY_AFTER)),
            },
            confidence: number(headers, &CONFIDENCE).and_then(|value| u8::try_from(value).ok()),
            keep_alive: None,
        }
    }

    fn strip_answer(&self, headers: &mut HeaderMap) {
        headers.remove(RUNNING);
    }
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// A number that is neither negative nor endless.
pub fn parse_decimal(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let number: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Time for which an endpoint that turns a request away wants nothing more from this VM, where it names so many seconds.
pub fn requested_backoff(status: StatusCode, seconds: Option<f64>) -> Option<Duration> {
    let seconds = seconds.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    Duration::try_from_secs_f64(seconds).ok()
}
