//! Quarantine functions that both interfaces use: log lines, and the probe of an endpoint.

use std::{io, net::SocketAddr, time::Duration};

use havengrade_core::{
    fingerprint::{PartFingerprint, SubjectFingerprint},
    quarantine::QuarantineChange,
};
use tokio::time::timeout;

use crate::net::{BoxConnection, Network};

/// Result of a probe of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The endpoint accepts connections.
    Answers,
    /// Nothing listens at its address: the endpoint has exited.
    Refuses,
    /// The connection failed otherwise, or timed out.
    Silent,
}

impl ProbeResult {
    /// Name of the result in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::Refuses => "refuses",
            Self::Silent => "silent",
        }
    }
}

/// Probes an endpoint by connecting to it. Returns the connection as well if it is established.
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

/// Logs and counts the result of a probe.
pub(crate) fn log_probe(endpoint: &str, result: ProbeResult) {
    metrics::counter!("endpoint_looks", "found" => result.name()).increment(1);
    log::info!(endpoint = endpoint, found = result.name(); "endpoint probed after a failed attempt");
}

/// Logs changes of the quarantine, and counts the requests that this VM quarantines.
pub(crate) fn log_changes(changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Quarantined { fingerprint, crashes, is_part } => {
                metrics::counter!("requests_quarantined").increment(1);
                log::warn!(
                    mark = format_fingerprint(*fingerprint).as_str(),
                    crashes = *crashes,
                    is_part = *is_part;
                    "request quarantined, because endpoints crash when they run it"
                );
            },
            QuarantineChange::Learned { fingerprint } => {
                log::warn!(
                    mark = format_fingerprint(*fingerprint).as_str();
                    "request quarantined by another VM or the stored list"
                );
            },
            QuarantineChange::Released { fingerprint } => {
                log::warn!(
                    mark = format_fingerprint(*fingerprint).as_str();
                    "request released from quarantine, because an endpoint answered it"
                );
            },
        }
    }
}

/// Formats the fingerprint of a request or a part for logs.
pub(crate) fn format_fingerprint(fingerprint: SubjectFingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Formats the fingerprints of prompt parts for logs.
pub(crate) fn format_fingerprints(parts: &[PartFingerprint]) -> String {
    parts.iter().copied().map(format_fingerprint).collect::<Vec<_>>().join(",")
}
