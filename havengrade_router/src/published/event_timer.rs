//! How fast the events of a stream follow each other.

use std::time::{Duration, SystemTime};

/// Events behind the first over which the pace is measured: soon enough to judge a version by streams that still run.
const MEASURED_EVENTS: u32 = 4;

/// The pace of one run of a stream, measured once.
#[derive(Debug, Default)]
pub(super) struct EventTimer {
    first: Option<SystemTime>,
    /// Events behind the first ones.
    events: u32,
    is_measured: bool,
}

impl EventTimer {
    /// Takes events that came at `now`; gives the mean time between two once enough have come.
    pub(super) fn record_events(&mut self, events: u32, now: SystemTime) -> Option<Duration> {
        if self.first.is_none() {
            self.first = Some(now);
            return None;
        }
        self.events += events;
        if self.events < MEASURED_EVENTS { None } else { self.finish(now) }
    }

    /// The mean time between two events where it was not given yet and events came; `now` is when the stream ended, or when
    /// nobody waits any longer.
    pub(super) fn finish(&mut self, now: SystemTime) -> Option<Duration> {
        let since = self.first.filter(|_| !self.is_measured && self.events > 0)?;
        self.is_measured = true;
        Some(now.duration_since(since).unwrap_or_default() / self.events)
    }
}
