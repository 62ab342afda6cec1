//! Bills: one for each request.

use std::collections::BTreeMap;

use havengrade_dev::history::{Content, Event};

use super::Indexed;

/// Each request that ran or was answered has one bill.
///
/// Attempts with one key are one request, whichever of them carries the bill.
pub(crate) fn billed_once(history: &Indexed<'_>) -> Vec<String> {
    let mut by_id: BTreeMap<&str, usize> = BTreeMap::new();
    let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for event in history.events {
        let Event::Billed { bill } = event else { continue };
        *by_id.entry(&bill.request_id).or_default() += 1;
        if let Some(key) = &bill.key {
            *by_key.entry(key).or_default() += 1;
        }
    }
    let mut found = Vec::new();
    let twice = by_id.iter().chain(&by_key).filter(|(_, count)| **count > 1);
    found.extend(twice.map(|(id, count)| format!("{id} has {count} bills")));
    let ran = history.runs().filter(|(key, _)| !by_key.contains_key(key.as_str()));
    found.extend(ran.map(|(key, id)| format!("{key} ran ({id}) and has no bill")));
    let answered = history.answered().filter(|(tried, answer)| {
        tried.key.is_none() && answer.content == Content::Whole && !by_id.contains_key(answer.request_id.as_str())
    });
    found.extend(answered.map(|(_, answer)| format!("{} was answered and has no bill", answer.request_id)));
    found
}
