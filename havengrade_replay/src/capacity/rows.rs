//! The rows of the capacity tables: slope times size.

use havengrade_router::{services::members::HEARTBEATS_PER_EVIDENCE, settings::PeerSettings};

use super::Sizes;
use crate::measure::Slopes;

/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Tallies that change between two heartbeats with evidence, as a share of all.
const CHANGED_TALLIES: f64 = 0.25;
/// Length of the outage that held bills are worked out for, in seconds.
const OUTAGE: f64 = 600.0;
/// Plain services that stood beside the engines where the slope of reports was measured.
const SERVICES: f64 = 3.0;
/// Milliseconds of a second.
const MILLIS: f64 = 1e3;
/// Microseconds of a second.
const MICROS: f64 = 1e6;

/// Which budget a row counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// Control: bounded by the budget of each VM.
    Control,
    /// Traffic: grows with the requests, bounded by the VM.
    Traffic,
}

/// What one role costs a VM.
pub(crate) struct Row {
    pub(crate) role: &'static str,
    pub(crate) mechanism: &'static str,
    pub(crate) is_built: bool,
    pub(crate) side: Side,
    pub(crate) memory: f64,
    pub(crate) core: f64,
    pub(crate) bytes: f64,
}

/// The settings that a router has unless told otherwise.
fn peers() -> PeerSettings {
    PeerSettings::default()
}

/// VMs that a heartbeat goes to at the most.
fn fan_out() -> f64 {
    peers().fan_out as f64
}

/// Heartbeats that a VM sends, and about as many that it is sent, each second.
fn exchanges(sizes: &Sizes) -> f64 {
    MILLIS / peers().heartbeat_ms as f64 * fan_out().min(sizes.vms - 1.0)
}

/// Bytes a second that an idle VM is predicted to read.
pub(crate) fn idle_bytes(slopes: &Slopes, vms: f64, endpoints: f64) -> f64 {
    let sizes = Sizes { vms, endpoints, ..Sizes::idle() };
    [tails(slopes), list(slopes, &sizes), heartbeats(slopes, &sizes), reports(slopes, &sizes)].iter().sum()
}

/// Both streams are waited on, and the list of a single VM is read.
fn tails(slopes: &Slopes) -> f64 {
    slopes.at("poll_bytes", -SERVICES)
}

fn list(slopes: &Slopes, sizes: &Sizes) -> f64 {
    slopes.per("vm_list_bytes") * (sizes.vms - 1.0)
}

/// A reply to each heartbeat that is sent, and as many heartbeats from others.
fn heartbeats(slopes: &Slopes, sizes: &Sizes) -> f64 {
    2.0 * exchanges(sizes) * slopes.at("heartbeat_bytes", 0.0)
}

fn reports(slopes: &Slopes, sizes: &Sizes) -> f64 {
    let own = sizes.endpoints / sizes.vms;
    own * slopes.per("poll_bytes") + (sizes.endpoints - own) * slopes.per("report_entry_bytes")
}

fn evidence_bytes(slopes: &Slopes, sizes: &Sizes) -> f64 {
    let changed = sizes.classes * sizes.versions * CHANGED_TALLIES;
    exchanges(sizes) / HEARTBEATS_PER_EVIDENCE as f64 * changed * slopes.per("evidence_bytes")
}

pub(crate) fn rows(slopes: &Slopes, sizes: &Sizes) -> Vec<Row> {
    let mut rows = control(slopes, sizes);
    rows.extend(traffic(slopes, sizes));
    rows
}

fn control(slopes: &Slopes, sizes: &Sizes) -> Vec<Row> {
    let changes = sizes.changes_per_day / DAY;
    let row = |role, mechanism, memory, core, bytes| Row {
        role,
        mechanism,
        is_built: true,
        side: Side::Control,
        memory,
        core,
        bytes,
    };
    vec![
        row(
            "configuration",
            "log order, persistent maps, incremental checks",
            sizes.accounts * slopes.per("account_memory") + sizes.endpoints * slopes.per("endpoint_memory"),
            changes * slopes.at("change_time", sizes.endpoints) / MICROS,
            changes * slopes.per("change_bytes"),
        ),
        row("log tails", "one long read a stream and second", 0.0, 0.0, tails(slopes)),
        row("VM list", "each VM reads it whole each second", 0.0, 0.0, list(slopes, sizes)),
        row(
            "heartbeats",
            "bounded fan-out, both ways at once",
            sizes.vms * slopes.per("member_memory"),
            slopes.at("idle_core", sizes.vms.min(fan_out() + 1.0)),
            heartbeats(slopes, sizes),
        ),
        row("load reports", "endpoints shared between live VMs, relayed", 0.0, 0.0, reports(slopes, sizes)),
        row(
            "evidence",
            "own counters, every fourth heartbeat",
            sizes.vms * sizes.classes * sizes.versions * slopes.per("tally_memory"),
            0.0,
            evidence_bytes(slopes, sizes),
        ),
    ]
}

fn traffic(slopes: &Slopes, sizes: &Sizes) -> Vec<Row> {
    let claimed = sizes.requests_per_second * sizes.claimed_share;
    let remembered = sizes.requests_per_day * sizes.claimed_share * sizes.horizon_s / DAY;
    let unclaimed_here = (sizes.requests_per_second - claimed) / sizes.vms;
    let row = |role, mechanism, memory, core, bytes| Row {
        role,
        mechanism,
        is_built: true,
        side: Side::Traffic,
        memory,
        core,
        bytes,
    };
    vec![
        row(
            "claims and outcomes",
            "every VM replays the ledger",
            remembered * slopes.per("claim_memory"),
            claimed * slopes.per("ledger_time") / MICROS,
            claimed * slopes.per("claimed_request_bytes"),
        ),
        row("bills", "a stream that no VM reads", 0.0, 0.0, unclaimed_here * slopes.per("bill_bytes")),
        row(
            "bills in an outage of 10 minutes",
            "held here and by four others",
            (1.0 + peers().bill_copies as f64) * unclaimed_here * OUTAGE * slopes.per("bill_bytes"),
            0.0,
            0.0,
        ),
        row(
            "decisions",
            "best of three drawn endpoints",
            0.0,
            sizes.requests_per_second / sizes.vms * slopes.at("decision_time", sizes.endpoints) / MICROS,
            0.0,
        ),
    ]
}
