//! Requests: whole answers, an honest "not run", and no second run of what may not be repeated.

use std::collections::{BTreeMap, BTreeSet};

use havengrade_dev::history::Content;
use havengrade_router::traffic::RunState;

use super::Indexed;

/// An answer that looks whole is the whole answer to the caller's own request.
pub(crate) fn whole_answer(history: &Indexed<'_>) -> Vec<String> {
    let wrong = history.answered().filter(|(_, answer)| answer.content == Content::Wrong);
    wrong
        .map(|(tried, answer)| {
            format!("request {} got another's answer or a part ({})", tried.request, answer.request_id)
        })
        .collect()
}

/// A request that may be repeated is answered whole in the end, unless its session has ended.
pub(crate) fn answered_in_the_end(history: &Indexed<'_>) -> Vec<String> {
    /// Status of an answer that tells that a session has ended.
    const SESSION_ENDED: u16 = 409;
    let mut open: BTreeSet<u64> = BTreeSet::new();
    let mut done: BTreeSet<u64> = BTreeSet::new();
    for tried in history.tried.values().filter(|tried| tried.repeatable) {
        open.insert(tried.request);
        let is_done = tried.answer.as_ref().is_some_and(|answer| {
            answer.content == Content::Whole || (tried.session.is_some() && answer.status == SESSION_ENDED)
        });
        if is_done {
            done.insert(tried.request);
        }
    }
    open.difference(&done).map(|request| format!("request {request} was never answered whole")).collect()
}

/// When a caller is told "not run", no attempt up to that one ran.
pub(crate) fn not_run(history: &Indexed<'_>) -> Vec<String> {
    // The id of an attempt's request tells which attempt a run belongs to.
    let mut attempts: BTreeMap<&str, u32> = BTreeMap::new();
    for (tried, answer) in history.answered() {
        attempts.entry(answer.request_id).or_insert(tried.attempt);
    }
    let mut ran: BTreeMap<&str, (&str, Option<u32>)> = BTreeMap::new();
    for (key, id) in history.runs() {
        ran.insert(key, (id, attempts.get(id.as_str()).copied()));
    }
    let mut found = Vec::new();
    for (tried, answer) in history.answered() {
        let says_not_run = answer.run_state == Some(RunState::NotRun) && answer.status != 422;
        let Some((id, attempt)) = tried.key.filter(|_| says_not_run).and_then(|key| ran.get(key.as_str())) else {
            continue;
        };
        let is_own = *id == answer.request_id.as_str();
        if is_own || attempt.is_some_and(|attempt| attempt <= tried.attempt) {
            found
                .push(format!("attempt {} of request {} was told not run, but {id} ran", tried.attempt, tried.request));
        }
    }
    found
}

/// A request that may not be repeated runs at most once.
pub(crate) fn at_most_once(history: &Indexed<'_>) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for (key, _) in history.runs() {
        *runs.entry(key).or_default() += 1;
    }
    runs.iter().filter(|(_, count)| **count > 1).map(|(key, count)| format!("{key} ran {count} times")).collect()
}
