//! Summaries of the evidence on a roll-out, for logs and metrics.

use std::time::Duration;

use crate::{
    ids::ServiceId,
    published::{
        attempt_stats::AttemptStats,
        directory::SoftwareVersion,
        likelihood::{slower_streams, very_slow},
    },
};

/// Attempts that were counted for a version, over all routes and models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Attempts that ended.
    pub ended: u64,
    /// Attempts that ended in an error or a broken answer.
    pub failed: u64,
    /// Errors that the endpoints certainly caused themselves.
    pub errors: u64,
    /// Measured times to the first byte.
    pub first_byte_times: u64,
    /// Times to the first byte that are very slow in comparison with the old version.
    pub slow_first_bytes: u64,
    /// Streams whose time per event was measured.
    pub event_times: u64,
    /// Streams whose time per event is very slow in comparison with the old version.
    pub slow_events: u64,
    /// Streams that are compared with the fast ones of the old version, at endpoints without heavy load.
    pub compared_streams: u64,
    /// Those among them that are slower.
    pub slower_streams: u64,
}

impl VersionCounts {
    /// Adds the statistics of one kind of request, compared with those of the old version for the same kind.
    pub(super) fn add(&mut self, stats: &AttemptStats, old: &AttemptStats) {
        self.ended += stats.ended;
        self.failed += stats.failed;
        self.errors += stats.errors;
        self.first_byte_times += stats.first.total();
        self.event_times += stats.pace.total();
        self.slow_first_bytes += very_slow(&stats.first, &old.first);
        self.slow_events += very_slow(&stats.pace, &old.pace);
        let streams = slower_streams(&stats.pace, &old.pace);
        self.compared_streams += streams.total as u64;
        self.slower_streams += streams.bad as u64;
    }
}

/// What one VM knows of a roll-out when it evaluates it.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSummary {
    /// The service.
    pub service: ServiceId,
    /// The version that was ordered.
    pub version: SoftwareVersion,
    /// Phase of the roll-out on this VM.
    pub phase: &'static str,
    /// Time since the first VM learned of the order, as far as is known.
    pub age: Duration,
    /// Logarithm of the odds that the version is worse than the others, by all evidence.
    pub log_odds: f64,
    /// Logarithm of the odds that the version has become worse; after its success, by errors alone, since only those
    /// are certainly caused by the version.
    pub degradation_log_odds: f64,
    /// Counts of the new version.
    pub new: VersionCounts,
    /// Counts of all other versions.
    pub old: VersionCounts,
    /// Incarnations of VMs whose statistics are included.
    pub writers: usize,
}
