//! A look at an endpoint where a try broke: whether the endpoint has ended, or only a connection has.

use std::time::Duration;

use havengrade_core::published::directory::ListedEndpoint;

use crate::published::{context::PublishedContext, job::Job};

/// Least time between two looks at an endpoint; all requests there break in the same moment when it ends.
const LOOK_PAUSE: Duration = Duration::from_millis(300);

/// Notes that a try broke: the connection was lost, the answer broke off, or nothing came.
pub(super) fn note_break(cx: &PublishedContext, job: &Job, endpoint: &ListedEndpoint) {
    log::debug!(request = job.id.as_str(), endpoint = endpoint.id.as_str(); "a try broke");
    let now = cx.shared.clock.now();
    let is_due = cx.shared.states.slot(&endpoint.id).is_some_and(|slot| slot.begin_look(LOOK_PAUSE, now));
    if !is_due {
        return;
    }
    let (cx, endpoint) = (cx.clone(), endpoint.clone());
    tokio::spawn(async move {
        let found = cx.shared.channels.look(&endpoint.id, endpoint.address, now).await;
        metrics::counter!("endpoint_looks", "found" => found.name()).increment(1);
        log::info!(endpoint = endpoint.id.as_str(), found = found.name(); "a look at an endpoint where a try broke");
    });
}
