//! The router's own headers for requests and answers of published routes.

use std::time::Duration;

use havengrade_core::published::{attempt::RunState, signals::Signal};
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};

use crate::published::ports::{AnswerHead, Dialect, ForwardAttributes, PromptPart, ReportedLoad, RequestAttributes};

/// Id of a caller's attempt; endpoints echo it.
pub const REQUEST: HeaderName = HeaderName::from_static("havengrade-request");
/// Milliseconds left for the answer.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("havengrade-time-left-ms");
/// Key of the client account.
pub const KEY: HeaderName = HeaderName::from_static("havengrade-key");
/// Name of the client account, for endpoints.
pub const ACCOUNT: HeaderName = HeaderName::from_static("havengrade-account");
/// Id of the addressed endpoint.
pub const ENDPOINT: HeaderName = HeaderName::from_static("havengrade-endpoint");
/// Name of the model, or [`ANY_MODEL`].
pub const MODEL: HeaderName = HeaderName::from_static("havengrade-model");
/// Parts of the prompt in order, each as its id, a colon and its number of tokens; the last one is the request's own.
pub const PROMPT_PARTS: HeaderName = HeaderName::from_static("havengrade-prompt-parts");
/// Session of the request.
pub const SESSION: HeaderName = HeaderName::from_static("havengrade-session");
/// Present if the endpoint did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("havengrade-not-run");
/// Signature of an answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("havengrade-signature");
/// Confidence of the model in its answer, from 0 to 100.
pub const CONFIDENCE: HeaderName = HeaderName::from_static("havengrade-confidence");
/// Number of requests running at the endpoint.
pub const RUNNING: HeaderName = HeaderName::from_static("havengrade-running");
/// Requests per second that the endpoint accepts from all VMs together.
pub const LIMIT_PER_S: HeaderName = HeaderName::from_static("havengrade-limit-per-s");
/// Present if the endpoint is about to shut down.
pub const LEAVING: HeaderName = HeaderName::from_static("havengrade-leaving");
/// Priority; 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("havengrade-priority");
/// Id of the last event that the caller received.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Value of [`MODEL`] that lets the router choose the model.
pub const ANY_MODEL: &str = "any";

/// Dialect with the headers of this module.
#[derive(Clone, Copy, Debug, Default)]
pub struct HavengradeDialect;

impl Dialect for HavengradeDialect {
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes {
        RequestAttributes {
            id: parse_text(headers, &REQUEST),
            time_limit: parse_integer(headers, &TIME_LEFT_MS).map(Duration::from_millis),
            key: parse_text(headers, &KEY),
            session: parse_text(headers, &SESSION),
            last_event: parse_text(headers, &LAST_EVENT_ID),
            lets_router_choose_model: parse_text(headers, &MODEL).is_some_and(|model| model == ANY_MODEL),
            prompt_parts: parse_prompt_parts(headers, &PROMPT_PARTS),
            tokens: None,
        }
    }

    fn encode_request(&self, headers: &mut HeaderMap, attributes: &ForwardAttributes<'_>) {
        for name in [&KEY, &ACCOUNT, &ENDPOINT, &PRIORITY] {
            headers.remove(name);
        }
        self.encode_time_left(headers, attributes.time_left);
        headers.insert(PRIORITY, HeaderValue::from(u16::from(attributes.priority)));
        let text_headers = [
            (ENDPOINT, Some(attributes.endpoint)),
            (ACCOUNT, attributes.account),
            (MODEL, attributes.model),
            (LAST_EVENT_ID, attributes.resume_after),
        ];
        for (name, value) in text_headers {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
    }

    fn encode_time_left(&self, headers: &mut HeaderMap, time_left: Duration) {
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIME_LEFT_MS, HeaderValue::from(millis.max(1)));
    }

    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        let is_not_run = headers.contains_key(&NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
        let running = parse_integer(headers, &RUNNING).and_then(|value| u32::try_from(value).ok());
        AnswerHead {
            run: if is_not_run { RunState::NotRun } else { RunState::Ran },
            request: parse_text(headers, &REQUEST),
            is_authentic: headers.contains_key(&REQUEST) && (!status.is_success() || headers.contains_key(&SIGNATURE)),
            load: running.map(|running| ReportedLoad { running, ..ReportedLoad::default() }),
            tolerated_rejections: None,
            signal: Signal {
                limit_per_s: parse_decimal(headers, &LIMIT_PER_S),
                is_leaving: headers.contains_key(&LEAVING),
                backoff: requested_backoff(status, parse_decimal(headers, &RETRY_AFTER)),
            },
            confidence: parse_integer(headers, &CONFIDENCE).and_then(|value| u8::try_from(value).ok()),
            keep_alive: None,
        }
    }

    fn strip_answer(&self, headers: &mut HeaderMap) {
        headers.remove(RUNNING);
    }
}

fn parse_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn parse_integer(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Parses a header as a list of prompt parts, each an id, a colon and a number of tokens; others are left out.
pub fn parse_prompt_parts(headers: &HeaderMap, name: &HeaderName) -> Vec<PromptPart> {
    let list = headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let parts = list.split(',').filter_map(|item| item.trim().split_once(':'));
    parts.filter_map(|(id, tokens)| Some(PromptPart { id: id.to_owned(), tokens: tokens.parse().ok()? })).collect()
}

/// Parses a header as a finite number that is not negative.
pub fn parse_decimal(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let number: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Backoff that an endpoint requests by rejecting a request with status 503 and a number of seconds.
pub fn requested_backoff(status: StatusCode, seconds: Option<f64>) -> Option<Duration> {
    let seconds = seconds.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    Duration::try_from_secs_f64(seconds).ok()
}
