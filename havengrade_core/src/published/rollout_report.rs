//! The part of a report between VMs that concerns roll-outs.

use std::time::Duration;

use crate::{
    ids::ServiceId,
    published::{
        answer_window::RecentAnswerCounts, attempt_stats::RouteEvidence, directory::SoftwareVersion, halt::HaltReason,
        rollout_order::RolloutStatus, session_affinity::SessionAffinity,
    },
};

/// The status of a roll-out that another VM reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRollout {
    /// The status that the VM knows to be written.
    pub status: RolloutStatus,
    /// Time since the first VM learned of the order, as far as the reporting VM knows.
    pub age: Option<Duration>,
}

/// A version that another VM has halted, so that it gets no more requests; its status may not be written yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedHalt {
    /// The service.
    pub service: ServiceId,
    /// The halted version.
    pub version: SoftwareVersion,
    /// Why the version was halted.
    pub reason: HaltReason,
}

/// The answers that a VM recently received from the endpoints of a version that has succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAnswerCounts {
    /// The service.
    pub service: ServiceId,
    /// The counts of the answers.
    pub counts: RecentAnswerCounts,
}

/// What a VM reports of all roll-outs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutReport {
    /// Statistics on new versions, and on the versions that they are compared with.
    pub evidence: Vec<RouteEvidence>,
    /// Roll-outs whose statuses the VM knows to be written.
    pub states: Vec<ReportedRollout>,
    /// Versions that were halted.
    pub halts: Vec<ReportedHalt>,
    /// Recent answers of versions that have succeeded.
    pub recent: Vec<ReportedAnswerCounts>,
    /// Sessions that keep to another version than a new session would be given.
    pub sessions: Vec<SessionAffinity>,
}

/// A change to the known roll-outs that a report of another VM caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutUpdate {
    /// A roll-out started earlier than was known.
    EarlierStart {
        /// Status of the roll-out.
        status: RolloutStatus,
        /// Time since the first VM learned of the order.
        age: Duration,
    },
    /// A status was written.
    State(RolloutStatus),
    /// A version was halted.
    Halt(ReportedHalt),
}
