//! Sizes of a deployment.

use serde::{Deserialize, Serialize};

/// Sizes of a deployment, from a TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Name of the deployment.
    pub name: String,
    /// VMs of our own.
    pub vms: f64,
    /// Failure domains.
    pub failure_domains: f64,
    /// Endpoints that are watched: engines and plain services.
    pub endpoints: f64,
    /// Versions in use.
    pub versions: f64,
    /// Request classes.
    pub classes: f64,
    /// Client accounts.
    pub accounts: f64,
    /// Requests a second at the peak.
    pub requests_per_second: f64,
    /// Requests a day.
    pub requests_per_day: f64,
    /// Share of the requests that need a claim.
    pub claimed_share: f64,
    /// Time for which claims are remembered, in seconds.
    pub horizon_s: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Appends a second that the log service takes.
    pub log_appends_per_second: f64,
    /// VMs that restart on a day.
    pub restarts_per_day: f64,
    /// Budget of control for each VM: share of a core.
    pub budget_core: f64,
    /// Budget of control for each VM: bytes.
    pub budget_memory: f64,
    /// Budget of control for each VM: bytes a second.
    pub budget_bytes_per_second: f64,
}
