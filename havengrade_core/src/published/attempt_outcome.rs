//! Outcomes and times of a VM's attempts at a version.

use std::time::Duration;

use crate::published::{
    attempt_stats::AttemptStats,
    time_histogram::{Load, millis_per_work_unit},
};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint answered with an error that it certainly caused itself.
    Error,
    /// The answer was cut off or invalid.
    Broken,
}

/// How an attempt at a version ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOutcome<'a> {
    /// The kind of request: the route, and the model where the route has several.
    pub kind: &'a str,
    /// Version that answered.
    pub version: &'a str,
    /// Endpoint that answered.
    pub endpoint: &'a str,
    /// How the attempt failed, if it did.
    pub failure: Option<Failure>,
}

/// What a time of an attempt measures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimeKind {
    /// The time to the first byte, or until the attempt was given up.
    FirstByte {
        /// Amount of work, to which the time is usually proportional; 1 for a plain request.
        work: f64,
    },
    /// The time from one event of a stream to the next.
    PerEvent,
}

/// A measured time of an attempt at a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTime<'a> {
    /// The kind of request: the route, and the model where the route has several.
    pub kind: &'a str,
    /// Version of the endpoint.
    pub version: &'a str,
    /// Endpoint of the attempt.
    pub endpoint: &'a str,
    /// How busy the endpoint was.
    pub load: Load,
    /// What the time measures.
    pub of: TimeKind,
    /// The time.
    pub time: Duration,
}

impl AttemptTime<'_> {
    /// The value that is counted in a histogram.
    pub(super) fn value(&self) -> f64 {
        let work = match self.of {
            TimeKind::FirstByte { work } => work,
            TimeKind::PerEvent => 1.0,
        };
        millis_per_work_unit(self.time, work)
    }

    /// Statistics that consist of this time alone.
    pub(super) fn stats(&self) -> AttemptStats {
        let mut stats = AttemptStats::default();
        let times = match self.of {
            TimeKind::FirstByte { .. } => &mut stats.first,
            TimeKind::PerEvent => &mut stats.pace,
        };
        times.record(self.load, self.value());
        stats
    }
}

impl AttemptOutcome<'_> {
    /// Whether the endpoint answered with an error that it caused itself.
    pub(super) fn is_error(&self) -> bool {
        self.failure == Some(Failure::Error)
    }

    /// Statistics that consist of this outcome alone.
    pub(super) fn stats(&self) -> AttemptStats {
        AttemptStats {
            ended: 1,
            failed: u64::from(self.failure.is_some()),
            errors: u64::from(self.is_error()),
            ..AttemptStats::default()
        }
    }
}
