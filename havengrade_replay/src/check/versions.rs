//! Versions: only allowed ones, no withdrawn ones, one for each session.

use std::collections::BTreeMap;

use havengrade_dev::history::Event;

use super::Indexed;

/// Time in which a withdrawal must be in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

/// Every request runs only on a version that its client account allows.
pub(crate) fn allowed(history: &Indexed<'_>) -> Vec<String> {
    let mut allowed: BTreeMap<&str, &[String]> = BTreeMap::new();
    for event in history.events {
        if let Event::Allowed { account, versions } = event {
            allowed.insert(account, versions);
        }
    }
    let fits = |allowed: &str, version: &str| match allowed.strip_suffix('*') {
        Some(model) => version.starts_with(model),
        None => allowed == version,
    };
    let wrong = history.answered().filter_map(|(tried, answer)| {
        let version = answer.version?;
        let versions = allowed.get(tried.account.as_str()).copied().unwrap_or_default();
        let is_allowed = versions.iter().any(|allowed| fits(allowed, version));
        (!is_allowed).then(|| format!("{} answered request {} of {}", version, tried.request, tried.account))
    });
    wrong.collect()
}

/// A withdrawn version receives no new work once the withdrawal must be in force.
pub(crate) fn withdrawn(history: &Indexed<'_>) -> Vec<String> {
    let withdrawals = history.events.iter().filter_map(|event| match event {
        Event::Withdrawn { at_ms, version } => Some((*at_ms, version)),
        _ => None,
    });
    let mut found = Vec::new();
    for (withdrawn_ms, withdrawn) in withdrawals {
        for event in history.events {
            if let Event::Started { at_ms, version, request_id, .. } = event
                && version == withdrawn
                && *at_ms > withdrawn_ms + IN_FORCE_MS
            {
                found.push(format!("{version}, withdrawn at {withdrawn_ms}, started {request_id} at {at_ms}"));
            }
        }
    }
    found
}

/// A session keeps its version.
pub(crate) fn session(history: &Indexed<'_>) -> Vec<String> {
    let mut versions: BTreeMap<u64, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for (tried, answer) in history.answered() {
        let (Some(session), Some(version)) = (tried.session, answer.version) else { continue };
        let first = versions.entry(session).or_insert(version);
        if *first != version {
            found.push(format!("session {session} had {first} and then {version}"));
        }
    }
    found
}
