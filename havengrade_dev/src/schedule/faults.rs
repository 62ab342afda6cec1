//! Schedules of faults, as data files hold them.

use serde::{Deserialize, Serialize};

/// A schedule of faults over some traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Seed of the traffic.
    pub seed: u64,
    /// Number of VMs.
    pub vms: u8,
    /// Number of requests.
    pub requests: u64,
    /// Time over which they are spread, in milliseconds.
    pub span_ms: u64,
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds; it has a meaning only for some.
    #[serde(default)]
    pub for_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// VM that it is about, counted from 0.
    #[serde(default)]
    pub vm: u8,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The log service refuses every call.
    LogDown,
    /// The log service never answers.
    LogSilent,
    /// The log service takes 400 ms longer.
    LogSlow,
    /// Appends take effect, but their answers are lost.
    LogLosesAnswers,
    /// A VM dies, and is replaced when the fault is over.
    KillVm,
    /// A VM is cut off from everything, as if it were paused.
    Freeze,
    /// Other VMs don't hear a VM.
    CutFromPeers,
    /// A VM doesn't hear other VMs.
    CutToPeers,
    /// A VM doesn't hear the log service.
    CutFromLog,
    /// An engine dies.
    KillEngine,
    /// Streams break and must be resumed or moved.
    BreakStreams,
    /// Services run calls whose answers are lost.
    LoseAnswers,
    /// A version is withdrawn.
    Withdraw,
    /// An engine reports that it leaves.
    Leave,
    /// A VM is drained and replaced.
    Drain,
    /// The VM list doesn't answer.
    ListAway,
    /// All VMs are replaced, one after another.
    ReplaceAll,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 17] = [
        Self::LogDown,
        Self::LogSilent,
        Self::LogSlow,
        Self::LogLosesAnswers,
        Self::KillVm,
        Self::Freeze,
        Self::CutFromPeers,
        Self::CutToPeers,
        Self::CutFromLog,
        Self::KillEngine,
        Self::BreakStreams,
        Self::LoseAnswers,
        Self::Withdraw,
        Self::Leave,
        Self::Drain,
        Self::ListAway,
        Self::ReplaceAll,
    ];
}
