//! Endpoints that leave, and VMs that are stopped as planned.

use std::collections::BTreeSet;

use havengrade_dev::history::{Content, Event};

use super::Indexed;

/// Time after its first sign of leaving from which an endpoint gets no new work, in milliseconds.
const LEFT_MS: u64 = 3_000;

/// An endpoint that is leaving receives no new work after a few seconds.
pub(crate) fn leaving(history: &Indexed<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for event in history.events {
        let Event::Leaving { at_ms: left_ms, endpoint: left } = event else { continue };
        for event in history.events {
            if let Event::Started { at_ms, endpoint, request_id, .. } = event
                && endpoint == left
                && *at_ms > left_ms + LEFT_MS
            {
                found.push(format!("{left}, leaving since {left_ms}, got {request_id} at {at_ms}"));
            }
        }
    }
    found
}

/// A planned stop cuts off no request in progress.
pub(crate) fn planned_stop(history: &Indexed<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for event in history.events {
        let Event::DrainBegan { at_ms: began_ms, vm } = event else { continue };
        let lost: BTreeSet<u64> = history
            .events
            .iter()
            .filter_map(|event| match event {
                // What was never sent is not in progress at the VM.
                Event::Lost { id, sent: true, .. } => Some(*id),
                _ => None,
            })
            .collect();
        for (id, tried) in history.tried.iter().filter(|(_, tried)| tried.vm == vm && tried.at_ms <= *began_ms) {
            let is_broken = tried
                .answer
                .as_ref()
                .is_some_and(|answer| answer.at_ms > *began_ms && answer.content == Content::Broken);
            // A connection that broke while the VM was being stopped; one of another time has another cause.
            let was_lost = lost.contains(id) && ended_during_drain(history, *id, *began_ms, vm);
            if is_broken || was_lost {
                found.push(format!(
                    "request {} was cut off by the stop of {vm} that began at {began_ms}",
                    tried.request
                ));
            }
        }
    }
    found
}

fn ended_during_drain(history: &Indexed<'_>, id: u64, began_ms: u64, vm: &str) -> bool {
    /// Time after the end of a stop in which its connections are closed, in milliseconds.
    const CLOSING_MS: u64 = 1_000;
    let ended_ms = history.events.iter().find_map(|event| match event {
        Event::DrainEnded { at_ms, vm: ended } if ended == vm && *at_ms >= began_ms => Some(*at_ms),
        _ => None,
    });
    let Some(ended_ms) = ended_ms else { return false };
    history.events.iter().any(|event| {
        matches!(event, Event::Lost { at_ms, id: lost, .. } if *lost == id && (began_ms..=ended_ms + CLOSING_MS).contains(at_ms))
    })
}
