//! Bytes of messages and records.

use havengrade_core::{config::ConfigRecord, ledger::LedgerRecord, membership::ListedVm};
use havengrade_router::platform::VmListing;
use havengrade_rpc::{
    encode,
    peers::{AccountUse, EndpointLoad, EvidenceTally, PeerHeartbeat, PeerRecord, PeerRecords, PeerReply, PeerRequest},
};

use super::{Slopes, sample};

/// Bytes of a frame's length.
const FRAME: usize = 4;

pub(super) fn measure(slopes: &mut Slopes) {
    let counts = [0, 5, 10, 40];
    let heartbeats = |make: fn(usize) -> PeerHeartbeat| -> Vec<(f64, f64)> {
        counts.iter().map(|count| (*count as f64, heartbeat_bytes(make(*count)))).collect()
    };
    slopes.add("heartbeat_bytes", "bytes", "client account in use", heartbeats(|count| heartbeat(count, 0)));
    slopes.add("evidence_bytes", "bytes", "changed tally", heartbeats(|count| heartbeat(0, count)));
    slopes.add("report_entry_bytes", "bytes", "report in a heartbeat", reports(&[1, 10, 84]));
    slopes.add("vm_list_bytes", "bytes", "listed VM", listings(&[8, 64, 390]));
    slopes.add("relay_bytes", "bytes", "relayed record", records(&[1, 8, 64]));
    slopes.add("change_bytes", "bytes", "configuration change", changes(&[1, 10, 100]));
    slopes.add("snapshot_bytes", "bytes", "endpoint", snapshots(&[70, 700, 12_000]));
    slopes.add("claimed_request_bytes", "bytes", "claimed request", ledger_bytes(&[1, 16, 256]));
    slopes.add("bill_bytes", "bytes", "bill", bill_bytes(&[1, 16, 256]));
}

fn heartbeat(uses: usize, tallies: usize) -> PeerHeartbeat {
    let uses = (0..uses).map(|index| AccountUse::new(format!("account-{index}"), 7)).collect::<Vec<_>>();
    let tally = |index: usize| {
        EvidenceTally::new("lot-question".to_owned(), format!("model@{index}"), 4000, 3_000_000, 20_000, 30, 3500)
    };
    let tallies = (0..tallies).map(tally).collect::<Vec<_>>();
    PeerHeartbeat::new(
        "vm-3".to_owned(),
        i64::MAX / 3,
        100_000,
        50_000,
        49_998,
        700,
        true,
        false,
        40,
        (!uses.is_empty()).then_some(uses),
        (!tallies.is_empty()).then_some(tallies),
        None,
        None,
    )
}

fn reports(counts: &[usize]) -> Vec<(f64, f64)> {
    let bytes = |count: &usize| {
        let report = |index: usize| EndpointLoad::new(format!("engine-{index}"), 7, false, false);
        let mut message = heartbeat(0, 0);
        message.loads = Some((0..*count).map(report).collect());
        (*count as f64, heartbeat_bytes(message))
    };
    counts.iter().map(bytes).collect()
}

fn listings(counts: &[usize]) -> Vec<(f64, f64)> {
    let bytes = |count: &usize| {
        let listed = |index: usize| ListedVm {
            id: format!("vm-{index}"),
            peer_address: sample::endpoint(index).address,
            failure_domain: format!("domain-{}", index % 27),
            leaving: false,
        };
        let listing = VmListing { entries: (0..*count).map(listed).collect(), endpoints: Vec::new() };
        (*count as f64, json(&listing).len() as f64)
    };
    counts.iter().map(bytes).collect()
}

fn heartbeat_bytes(heartbeat: PeerHeartbeat) -> f64 {
    encoded(&PeerRequest::Heartbeat(heartbeat))
}

fn encoded<M: thrift::protocol::TSerializable>(message: &M) -> f64 {
    encode(message).map_or(0, |bytes| bytes.len() + FRAME) as f64
}

fn json(record: &impl serde::Serialize) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

fn records(counts: &[usize]) -> Vec<(f64, f64)> {
    let config = sample::config(10, 70);
    let record = json(&sample::usual_change(&config, 1)).into_bytes();
    let bytes = |count: &usize| {
        let records = (0..*count).map(|index| PeerRecord::new(50_000 + index as i64, record.clone())).collect();
        (*count as f64, encoded(&PeerReply::Records(PeerRecords::new(records, 50_100, None))))
    };
    counts.iter().map(bytes).collect()
}

fn changes(counts: &[usize]) -> Vec<(f64, f64)> {
    let config = sample::config(10, 70);
    let bytes = |count: &usize| {
        let sum: usize = (0..*count).map(|number| json(&sample::usual_change(&config, number)).len()).sum();
        (*count as f64, sum as f64)
    };
    counts.iter().map(bytes).collect()
}

fn snapshots(endpoints: &[usize]) -> Vec<(f64, f64)> {
    let bytes = |count: &usize| {
        let snapshot = ConfigRecord::Snapshot(Box::new(sample::config(10, *count)));
        (*count as f64, json(&snapshot).len() as f64)
    };
    endpoints.iter().map(bytes).collect()
}

fn ledger_bytes(counts: &[usize]) -> Vec<(f64, f64)> {
    let bytes = |count: &usize| {
        let mut batch = sample::batch(0);
        batch.records = (0..*count).flat_map(|number| sample::batch(number).records).collect();
        (*count as f64, json(&batch).len() as f64)
    };
    counts.iter().map(bytes).collect()
}

fn bill_bytes(counts: &[usize]) -> Vec<(f64, f64)> {
    let bytes = |count: &usize| {
        let mut batch = sample::batch(0);
        batch.records = (0..*count).map(|number| LedgerRecord::Bill(sample::bill(number))).collect();
        (*count as f64, json(&batch).len() as f64)
    };
    counts.iter().map(bytes).collect()
}
