//! Checks of histories: one for each thing that must always hold.

mod billing;
mod configuration;
mod endpoints;
mod requests;
mod versions;

use std::collections::BTreeMap;

use havengrade_core::ids::{AccountId, Attempt, RequestId, VmId};
use havengrade_dev::history::{Content, Event};
use havengrade_router::traffic::RunState;
use serde::Serialize;

/// Something that must always hold and did not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the check that found it.
    pub check: &'static str,
    /// What was found.
    pub detail: String,
}

/// A check of a history.
pub type Check = fn(&Indexed<'_>) -> Vec<String>;

/// All checks by name.
pub const CHECKS: [(&str, Check); 11] = [
    ("allowed_version", versions::allowed),
    ("withdrawn_version", versions::withdrawn),
    ("session_version", versions::session),
    ("billed_once", billing::billed_once),
    ("whole_answer", requests::whole_answer),
    ("answered_in_the_end", requests::answered_in_the_end),
    ("not_run", requests::not_run),
    ("at_most_once", requests::at_most_once),
    ("leaving_endpoint", endpoints::leaving),
    ("planned_stop", endpoints::planned_stop),
    ("configuration", configuration::forward_and_in_time),
];

/// Checks a history.
pub fn check(history: &[Event]) -> Vec<Violation> {
    let indexed = Indexed::new(history);
    let run = |(name, check): &(&'static str, Check)| {
        check(&indexed).into_iter().map(|detail| Violation { check: name, detail }).collect::<Vec<_>>()
    };
    CHECKS.iter().flat_map(run).collect()
}

/// An attempt with how it ended.
pub struct Tried<'a> {
    /// When it was sent, in milliseconds.
    pub(crate) at_ms: u64,
    pub(crate) request: u64,
    pub(crate) account: &'a AccountId,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<&'a String>,
    pub(crate) attempt: Attempt,
    pub(crate) vm: &'a VmId,
    pub(crate) session: Option<u64>,
    pub(crate) answer: Option<Answer<'a>>,
}

/// The answer to an attempt.
pub(crate) struct Answer<'a> {
    pub(crate) at_ms: u64,
    pub(crate) status: u16,
    pub(crate) run_state: Option<RunState>,
    pub(crate) request_id: &'a RequestId,
    pub(crate) version: Option<&'a str>,
    pub(crate) content: Content,
}

/// A history with its attempts by their numbers.
pub struct Indexed<'a> {
    pub(crate) events: &'a [Event],
    pub(crate) tried: BTreeMap<u64, Tried<'a>>,
}

impl<'a> Indexed<'a> {
    fn new(events: &'a [Event]) -> Self {
        let mut tried = BTreeMap::new();
        for event in events {
            match event {
                Event::Asked { at_ms, id, request, account, repeatable, key, attempt, vm, session, .. } => {
                    let asked = Tried {
                        at_ms: *at_ms,
                        request: *request,
                        account,
                        repeatable: *repeatable,
                        key: key.as_ref(),
                        attempt: *attempt,
                        vm,
                        session: *session,
                        answer: None,
                    };
                    tried.insert(*id, asked);
                },
                Event::Answered { at_ms, id, status, run_state, request_id, version, content } => {
                    let answer = Answer {
                        at_ms: *at_ms,
                        status: *status,
                        run_state: *run_state,
                        request_id,
                        version: version.as_deref(),
                        content: *content,
                    };
                    if let Some(asked) = tried.get_mut(id) {
                        asked.answer = Some(answer);
                    }
                },
                _ => {},
            }
        }
        Self { events, tried }
    }

    /// Attempts that got an answer.
    pub(crate) fn answered(&self) -> impl Iterator<Item = (&Tried<'a>, &Answer<'a>)> {
        self.tried.values().filter_map(|tried| Some((tried, tried.answer.as_ref()?)))
    }

    /// Calls that plain services ran: key and id of the request.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (&'a String, &'a RequestId)> {
        self.events.iter().filter_map(|event| match event {
            Event::Ran { key, request_id } => Some((key, request_id)),
            _ => None,
        })
    }
}
