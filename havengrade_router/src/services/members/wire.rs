//! Conversion of heartbeats and their payload between the RPC schema and the core's types.

use std::time::Duration;

use havengrade_core::{
    evidence::{Tally, TallyKey},
    ids::EndpointId,
    membership::Heartbeat,
};
use havengrade_rpc::peers::{EndpointLoad, EvidenceTally, PeerHeartbeat};

use crate::endpoints::EndpointReport;

/// Decodes an endpoint's report that another VM relays.
pub(super) fn decode_load(load: EndpointLoad) -> (EndpointId, EndpointReport) {
    let report = if load.gone {
        EndpointReport::ConnectionRefused
    } else {
        EndpointReport::Load { load: load.load.max(0).cast_unsigned(), shutting_down: load.leaving }
    };
    (load.endpoint, report)
}

/// Decodes a heartbeat without its payload.
pub(super) fn decode_heartbeat(message: &PeerHeartbeat) -> Heartbeat {
    Heartbeat {
        vm: message.vm.clone(),
        incarnation: message.incarnation.cast_unsigned(),
        seq: message.seq.cast_unsigned(),
        config_next: message.config_next.cast_unsigned(),
        revision: message.revision.map(i64::cast_unsigned),
        staleness: Duration::from_millis(message.staleness_ms.max(0).cast_unsigned()),
        ready: message.ready,
        draining: message.draining,
        in_progress: message.in_progress.max(0).cast_unsigned(),
    }
}

/// Encodes a tally for a heartbeat.
pub(super) fn encode_tally(key: &TallyKey, tally: &Tally) -> EvidenceTally {
    EvidenceTally::new(
        key.class.clone(),
        key.version.clone(),
        tally.rated.cast_signed(),
        tally.score.cast_signed(),
        tally.ended.cast_signed(),
        tally.failed.cast_signed(),
        tally.passed.cast_signed(),
    )
}

/// Decodes a tally of a heartbeat.
pub(super) fn decode_tally(tally: &EvidenceTally) -> (TallyKey, Tally) {
    let key = TallyKey { class: tally.request_class.clone(), version: tally.version.clone() };
    let tally = Tally {
        rated: tally.rated.cast_unsigned(),
        score: tally.score.cast_unsigned(),
        ended: tally.ended.cast_unsigned(),
        failed: tally.failed.cast_unsigned(),
        passed: tally.passed.cast_unsigned(),
    };
    (key, tally)
}
