//! The sections of the settings, each a plain struct with its defaults.

use std::net::SocketAddr;

use havengrade_core::{
    ids::{DomainId, Permille, VmId},
    published::withdrawal_policy::WithdrawalPolicy,
};
use serde::{Deserialize, Serialize};

/// The VM itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmSettings {
    /// Name of the VM, as the VM list shows it.
    pub id: VmId,
    /// Failure domain in which it stands.
    pub failure_domain: DomainId,
    /// Threads for traffic; 0 takes one a core.
    pub traffic_threads: usize,
}

impl Default for VmSettings {
    fn default() -> Self {
        Self { id: "vm-1".into(), failure_domain: "domain-1".into(), traffic_threads: 0 }
    }
}

/// Where the router listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// IP number and port for callers.
    pub callers: SocketAddr,
    /// IP number and port for operators.
    pub operators: SocketAddr,
    /// IP number and port for the other VMs.
    pub peers: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self { callers: loopback(8080), operators: loopback(8081), peers: loopback(8082) }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The platform's log service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogServiceSettings {
    /// IP number and port at which it answers.
    pub address: SocketAddr,
    /// Time for which it keeps records, in seconds.
    pub retention_s: u64,
    /// Time for which a read waits for new records, in milliseconds.
    pub read_wait_ms: u64,
    /// Time after which a call counts as failed, in milliseconds.
    pub timeout_ms: u64,
    /// Records of the configuration after which a snapshot is written.
    pub snapshot_every: u64,
    /// Appends that it takes from all VMs together, in a second.
    pub appends_per_second: u32,
}

impl Default for LogServiceSettings {
    fn default() -> Self {
        Self {
            address: loopback(8090),
            retention_s: 7 * 24 * 3600,
            read_wait_ms: 1000,
            timeout_ms: 1000,
            snapshot_every: 1000,
            appends_per_second: 300,
        }
    }
}

/// The platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmListSettings {
    /// IP number and port at which it answers.
    pub address: SocketAddr,
    /// Time between two reads, in milliseconds.
    pub poll_ms: u64,
}

impl Default for VmListSettings {
    fn default() -> Self {
        Self { address: loopback(8091), poll_ms: 1000 }
    }
}

/// The service that rates answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RatingSettings {
    /// Whether answers are rated at all.
    pub enabled: bool,
    /// IP number and port at which the service answers.
    pub address: SocketAddr,
    /// Share of the answers that are sent to be rated, in thousandths.
    pub sample: Permille,
    /// Time after which a rating counts as not given, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for RatingSettings {
    fn default() -> Self {
        Self { enabled: false, address: loopback(8092), sample: 200, timeout_ms: 2000 }
    }
}

/// Limits on what callers and peers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest sum of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Time in which a request must have been read, in milliseconds.
    pub read_timeout_ms: u64,
    /// Most requests in progress.
    pub max_requests: usize,
    /// Largest answer that is stored with its outcome, in bytes.
    pub max_stored_answer_bytes: usize,
    /// Answers that are kept for callers who come for them later.
    pub max_kept_answers: usize,
    /// Largest frame from a peer or an operator, in bytes.
    pub max_frame_bytes: usize,
    /// Bills that may wait for the log service before new work is refused.
    pub max_waiting_bills: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            read_timeout_ms: 10_000,
            max_requests: 4096,
            max_stored_answer_bytes: 64 << 10,
            max_kept_answers: 10_000,
            max_frame_bytes: 4 << 20,
            max_waiting_bills: 10_000,
        }
    }
}

/// Claims on requests that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Least time for which records are gathered before they are appended together, in milliseconds.
    pub batch_window_ms: u64,
    /// Time after which a claim that has not been read back is given up, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which keys and outcomes are remembered, in seconds.
    pub horizon_s: u64,
    /// Time after which an unsettled claim of a VM that is gone is settled as "may have run", in seconds.
    pub abandoned_s: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { batch_window_ms: 0, deadline_ms: 2000, horizon_s: 24 * 3600, abandoned_s: 30 }
    }
}

/// The other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Most VMs that a heartbeat is sent to at once.
    pub fan_out: usize,
    /// Time after which a VM that is not heard from counts as gone, in milliseconds.
    pub silence_ms: u64,
    /// Time for which a VM serves without knowing that its configuration is the newest, in milliseconds.
    pub max_staleness_ms: u64,
    /// VMs that hold a bill while the log service is away, in other failure domains first.
    pub bill_copies: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self { heartbeat_ms: 500, fan_out: 10, silence_ms: 2500, max_staleness_ms: 5000, bill_copies: 4 }
    }
}

/// Endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointSettings {
    /// Time between two looks at an endpoint's load by the VM whose turn it is, in milliseconds.
    pub report_ms: u64,
    /// Time after which an endpoint that does not report counts as gone, in milliseconds.
    pub silence_ms: u64,
    /// Time in which a connection must stand, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without a sign of a stream after which it is resumed, in milliseconds.
    pub stall_ms: u64,
    /// Tries in a row that may fail before an endpoint is passed over.
    pub eject_after: u32,
    /// Time for which it is passed over then, in milliseconds.
    pub eject_ms: u64,
    /// Endpoints that a request may try.
    pub max_tries: u32,
    /// Retries that a hundred first tries pay for.
    pub retry_percent: u32,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            report_ms: 1000,
            silence_ms: 2500,
            connect_timeout_ms: 500,
            stall_ms: 2000,
            eject_after: 3,
            eject_ms: 5000,
            max_tries: 4,
            retry_percent: 20,
        }
    }
}

/// Published routes: existing HTTP traffic that passes through unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PublishedSettings {
    /// IP number and port for callers of published routes; where it is left out, none are served.
    pub callers: Option<SocketAddr>,
    /// IP number and port at which a balancer asks whether this VM takes connections.
    pub readiness: SocketAddr,
    /// IP number and port at which metrics are served.
    pub metrics: SocketAddr,
    /// IP number and port of the store that holds configuration and endpoints.
    pub store: SocketAddr,
    /// Whether the whole deployment starts for the first time, so that no VM is on the kept list yet.
    pub is_first_start: bool,
    /// Time for which a change of the configuration is waited for in one call, in milliseconds.
    pub config_wait_ms: u64,
    /// Time between two reads of the list of endpoints, in milliseconds.
    pub endpoints_poll_ms: u64,
    /// Time after which a call to the store counts as failed, beside the time it may wait, in milliseconds.
    pub store_timeout_ms: u64,
    /// Whether requests with keys are refused while it can't be known that their keys still hold.
    pub withdrawal: WithdrawalPolicy,
    /// Time after which a withdrawn key must no longer be used, in milliseconds; it counts where `withdrawal` is
    /// `bounded`.
    pub withdrawal_ms: u64,
    /// Share of a service's requests that a bad new version may get.
    pub max_trial_share: f64,
    /// Pause after which a session's next request no longer belongs to it, in seconds.
    pub session_s: f64,
    /// Most retries for each request, over all VMs.
    pub retry_ratio: f64,
    /// Time from the signal of a planned stop to its end, in seconds.
    pub grace_s: f64,
}

impl Default for PublishedSettings {
    fn default() -> Self {
        Self {
            callers: None,
            readiness: loopback(8083),
            metrics: loopback(8084),
            store: loopback(8090),
            is_first_start: false,
            config_wait_ms: 700,
            endpoints_poll_ms: 600,
            store_timeout_ms: 1500,
            withdrawal: WithdrawalPolicy::Bounded,
            withdrawal_ms: 5000,
            max_trial_share: 0.15,
            session_s: 5.0,
            retry_ratio: 0.9,
            grace_s: 8.0,
        }
    }
}

/// Planned stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time after which a stop no longer waits for requests in progress, in seconds.
    pub limit_s: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { limit_s: 600 }
    }
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Lines that wait to be written; more are dropped and counted.
    pub queue_lines: usize,
    /// Most lines that are written in a second; more are dropped and counted.
    pub max_lines_per_s: u64,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self { level: "info".into(), queue_lines: 1024, max_lines_per_s: 500 }
    }
}

/// Someone who may call the operators' port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator, as the audit trail shows it.
    pub name: String,
    /// SHA-256 of the operator's key, in hexadecimal.
    pub key_sha256: String,
}
