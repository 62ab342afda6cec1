//! What both interfaces do with requests that crash endpoints: the lines on them, and the look at an endpoint.

use std::{io, net::SocketAddr, time::Duration};

use havengrade_core::{fingerprint::RequestFingerprint, quarantine::QuarantineChange};
use tokio::time::timeout;

use crate::net::{BoxConnection, Network};

/// What a look at an endpoint found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It takes connections.
    Answers,
    /// Nobody listens at its address: it has ended.
    Refuses,
    /// Nothing came back.
    Silent,
}

impl ProbeResult {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::Refuses => "refuses",
            Self::Silent => "silent",
        }
    }
}

/// Looks whether an endpoint is there; gives the connection that came about, if one did.
pub(crate) async fn probe(
    network: &dyn Network,
    address: SocketAddr,
    limit: Duration,
) -> (ProbeResult, Option<BoxConnection>) {
    match timeout(limit, network.connect(address)).await {
        Ok(Ok(connection)) => (ProbeResult::Answers, Some(connection)),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => (ProbeResult::Refuses, None),
        Ok(Err(_)) | Err(_) => (ProbeResult::Silent, None),
    }
}

/// Tells what a look found.
pub(crate) fn log_probe(endpoint: &str, found: ProbeResult) {
    metrics::counter!("endpoint_looks", "found" => found.name()).increment(1);
    log::info!(endpoint = endpoint, found = found.name(); "a look at an endpoint where a try broke");
}

/// Writes the lines of changes.
pub(crate) fn log_changes(changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Quarantined { fingerprint: mark, crashes } => {
                metrics::counter!("requests_quarantined").increment(1);
                log::warn!(
                    mark = format_fingerprint(*mark).as_str(),
                    crashes = *crashes;
                    "a request is held back, since endpoints end under it"
                );
            },
            QuarantineChange::Learned { fingerprint: mark } => {
                log::warn!(mark = format_fingerprint(*mark).as_str(); "a request is held back, as others tell");
            },
            QuarantineChange::Released { fingerprint: mark } => {
                log::warn!(mark = format_fingerprint(*mark).as_str(); "a request is held back no longer, since an endpoint answered it");
            },
        }
    }
}

/// A request's mark as it stands in lines.
pub(crate) fn format_fingerprint(mark: RequestFingerprint) -> String {
    format!("{mark:016x}")
}
