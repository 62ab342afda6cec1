//! Sections of the settings with their defaults.

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
    /// Id of the VM in the VM list.
    pub id: VmId,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Number of traffic threads; 0 for one per core.
    pub traffic_threads: usize,
}

impl Default for VmSettings {
    fn default() -> Self {
        Self { id: "vm-1".into(), failure_domain: "domain-1".into(), traffic_threads: 0 }
    }
}

/// Addresses on which the router listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// IP address and port for callers.
    pub callers: SocketAddr,
    /// IP address and port for operators.
    pub operators: SocketAddr,
    /// IP address and port for the other VMs.
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
    /// IP address and port of the service.
    pub address: SocketAddr,
    /// Retention time of records, in seconds.
    pub retention_s: u64,
    /// Maximum time for which a read waits for new records, in milliseconds.
    pub read_wait_ms: u64,
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u64,
    /// Number of configuration records between snapshots.
    pub snapshot_every: u64,
    /// Maximum number of appends per second, over all VMs.
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
    /// IP address and port of the service.
    pub address: SocketAddr,
    /// Interval between reads, in milliseconds.
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
    /// Whether answers are rated.
    pub enabled: bool,
    /// IP address and port of the service.
    pub address: SocketAddr,
    /// Share of answers that are sent to the rating service, in thousandths.
    pub sample: Permille,
    /// Timeout of a rating, in milliseconds.
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
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time for reading a request, in milliseconds.
    pub read_timeout_ms: u64,
    /// Maximum number of requests in progress.
    pub max_requests: usize,
    /// Maximum size of an answer that is stored with its outcome, in bytes.
    pub max_stored_answer_bytes: usize,
    /// Maximum number of answers retained for callers who fetch them later.
    pub max_kept_answers: usize,
    /// Maximum size of a frame from a peer or an operator, in bytes.
    pub max_frame_bytes: usize,
    /// Number of bills waiting for the log service at which new requests are refused.
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

/// Claims on requests that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Minimum time for which records are collected before they are appended as a batch, in milliseconds.
    pub batch_window_ms: u64,
    /// Timeout for reading a claim back from the log, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which idempotency keys and outcomes are retained, in seconds.
    pub horizon_s: u64,
    /// Time after which an unsettled claim of a lost VM is settled as "may have run", in seconds.
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
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Maximum number of VMs to which each heartbeat is sent.
    pub fan_out: usize,
    /// Time without a heartbeat after which a VM counts as lost, in milliseconds.
    pub silence_ms: u64,
    /// Maximum time for which a VM serves requests without confirmation that its configuration is the newest, in
    /// milliseconds.
    pub max_staleness_ms: u64,
    /// Number of VMs that hold a copy of a bill while the log service is unreachable, other failure domains first.
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
    /// Interval between load reports of an endpoint, each requested by one of the VMs in turn, in milliseconds.
    pub report_ms: u64,
    /// Time without a report after which an endpoint counts as unresponsive, in milliseconds.
    pub silence_ms: u64,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without data after which a stream counts as stalled and is resumed, in milliseconds.
    pub stall_ms: u64,
    /// Number of failed attempts in a row after which an endpoint is ejected.
    pub eject_after: u32,
    /// Time for which an endpoint stays ejected, in milliseconds.
    pub eject_ms: u64,
    /// Maximum number of endpoints to which a request is sent, one after another.
    pub max_tries: u32,
    /// Number of retries allowed for each hundred first attempts.
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

/// Published routes, which forward existing HTTP traffic unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PublishedSettings {
    /// IP address and port for callers of published routes; none are served if it is absent.
    pub callers: Option<SocketAddr>,
    /// IP address and port at which load balancers check the readiness of this VM.
    pub readiness: SocketAddr,
    /// IP address and port at which metrics are served.
    pub metrics: SocketAddr,
    /// IP address and port of the store of configuration and endpoints.
    pub store: SocketAddr,
    /// Whether the whole deployment starts for the first time, with no VM in the stored list yet.
    pub is_first_start: bool,
    /// Maximum time for which one call waits for a configuration change, in milliseconds.
    pub config_wait_ms: u64,
    /// Interval between reads of the endpoint list, in milliseconds.
    pub endpoints_poll_ms: u64,
    /// Interval at which endpoints renew their entries on the list, in milliseconds.
    pub endpoint_renewal_ms: u64,
    /// Timeout of a call to the store, in addition to the time for which the call may wait, in milliseconds.
    pub store_timeout_ms: u64,
    /// Rule for requests with keys while this VM can't confirm that the keys are still valid.
    pub withdrawal: WithdrawalPolicy,
    /// Time after which a withdrawn key must no longer be accepted, in milliseconds; used if `withdrawal` is `bounded`.
    pub withdrawal_ms: u64,
    /// Maximum share of a service's requests that a bad new version may receive.
    pub max_trial_share: f64,
    /// Idle time after which a session ends, in seconds.
    pub session_s: f64,
    /// Maximum ratio of retries to requests, over all VMs.
    pub retry_ratio: f64,
    /// Time limit of a planned stop from its signal on, in seconds.
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
            endpoint_renewal_ms: 1200,
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
    /// Maximum time for which a stop waits for requests in progress, in seconds.
    pub limit_s: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { limit_s: 600 }
    }
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Maximum number of queued lines; further lines are dropped and counted.
    pub queue_lines: usize,
    /// Maximum number of lines written per second; further lines are dropped and counted.
    pub max_lines_per_s: u64,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self { level: "info".into(), queue_lines: 1024, max_lines_per_s: 500 }
    }
}

/// An operator with access to the operators' port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator in the audit trail.
    pub name: String,
    /// SHA-256 of the operator's key, in hexadecimal.
    pub key_sha256: String,
}
