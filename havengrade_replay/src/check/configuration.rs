//! The configuration: never back, and in force in time.

use std::collections::BTreeMap;

use havengrade_dev::history::Event;

use super::Indexed;

/// Time in which an accepted change must be in force, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

/// A VM that takes requests never goes back, and has each change in force within seconds.
pub(crate) fn forward_and_in_time(history: &Indexed<'_>) -> Vec<String> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    for event in history.events {
        match event {
            Event::Accepted { at_ms, offset } => accepted.push((*at_ms, *offset)),
            Event::InForce { at_ms, vm, run, next, open } => {
                let known = newest.entry((vm, *run)).or_default();
                if next < known {
                    found.push(format!("{vm} went back from {known} to {next} at {at_ms}"));
                }
                *known = (*known).max(*next);
                let missing = accepted
                    .iter()
                    .find(|(accepted_ms, offset)| *open && at_ms > &(accepted_ms + IN_FORCE_MS) && next <= offset);
                if let Some((accepted_ms, offset)) = missing {
                    found.push(format!("{vm} takes requests at {at_ms} without {offset}, accepted at {accepted_ms}"));
                }
            },
            _ => {},
        }
    }
    found
}
