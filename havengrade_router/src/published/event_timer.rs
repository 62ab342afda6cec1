//! Measures the time per event of a stream.

use std::time::{Duration, SystemTime};

/// Number of events after the first one over which the time per event is measured: small enough to evaluate a version
/// by streams that still run.
const MEASURED_EVENTS: u32 = 4;

/// Measures the time per event of one run of a stream, once.
#[derive(Debug, Default)]
pub(super) struct EventTimer {
    first_at: Option<SystemTime>,
    /// Number of events after the first record.
    events: u32,
    is_measured: bool,
}

impl EventTimer {
    /// Records events received at `now`; returns the mean time per event once enough of them have been received.
    pub(super) fn record_events(&mut self, events: u32, now: SystemTime) -> Option<Duration> {
        if self.first_at.is_none() {
            self.first_at = Some(now);
            return None;
        }
        self.events += events;
        if self.events < MEASURED_EVENTS { None } else { self.finish(now) }
    }

    /// The mean time per event if it has not been returned yet and events were received.
    ///
    /// `now` is the time at which the stream ended or was abandoned.
    pub(super) fn finish(&mut self, now: SystemTime) -> Option<Duration> {
        let since = self.first_at.filter(|_| !self.is_measured && self.events > 0)?;
        self.is_measured = true;
        Some(now.duration_since(since).unwrap_or_default() / self.events)
    }
}
