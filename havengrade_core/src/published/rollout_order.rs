//! Orders to roll a version out, and how they stand.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids::ServiceId, published::directory::SoftwareVersion};

/// An operator's order to shift a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: SoftwareVersion,
    /// Time from the order until it should be done.
    pub duration: Duration,
}

/// How an order stands, as it is written for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// It is under way.
    Running,
    /// The new version has taken over.
    Succeeded,
    /// The new version was worse and gets no more requests.
    RolledBack,
}

impl RolloutOutcome {
    /// A name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "rolled back",
        }
    }
}

/// A written state of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: SoftwareVersion,
    /// How it stands.
    pub outcome: RolloutOutcome,
}
