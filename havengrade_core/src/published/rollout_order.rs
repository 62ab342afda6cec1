//! Orders to roll out a version, and their written statuses.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::ServiceId,
    published::{bounded_time, directory::SoftwareVersion},
};

/// An operator's order to move a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: SoftwareVersion,
    /// Time from the order to its deadline.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub duration: Duration,
}

/// The outcome of an order, as it is written for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// The roll-out is in progress.
    Running,
    /// The new version has replaced the old one.
    Succeeded,
    /// The new version was worse and gets no more requests.
    RolledBack,
}

impl RolloutOutcome {
    /// The name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "rolled back",
        }
    }
}

/// The written status of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: SoftwareVersion,
    /// The outcome.
    pub outcome: RolloutOutcome,
}
