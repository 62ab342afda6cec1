//! Heartbeats and what they carry, in the schema's terms and in ours.

use std::time::Duration;

use havengrade_core::{
    evidence::{Tally, TallyKey},
    ids::EndpointId,
    membership::Heartbeat,
};
use havengrade_rpc::peers::{EndpointLoad, EvidenceTally, PeerHeartbeat};

use crate::endpoints::EndpointReport;

/// A report of an endpoint as another VM tells it.
pub(super) fn from_load(load: EndpointLoad) -> (EndpointId, EndpointReport) {
    let report = if load.gone {
        EndpointReport::Gone
    } else {
        EndpointReport::Load { load: load.load.max(0).cast_unsigned(), leaving: load.leaving }
    };
    (load.endpoint, report)
}

/// A heartbeat without its news.
pub(super) fn to_heartbeat(message: &PeerHeartbeat) -> Heartbeat {
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

/// A tally as a heartbeat carries it.
pub(super) fn to_wire(subject: &TallyKey, tally: &Tally) -> EvidenceTally {
    EvidenceTally::new(
        subject.class.clone(),
        subject.version.clone(),
        tally.rated.cast_signed(),
        tally.score.cast_signed(),
        tally.ended.cast_signed(),
        tally.failed.cast_signed(),
        tally.passed.cast_signed(),
    )
}

/// A tally that a heartbeat carried.
pub(super) fn from_wire(tally: &EvidenceTally) -> (TallyKey, Tally) {
    let subject = TallyKey { class: tally.request_class.clone(), version: tally.version.clone() };
    let tally = Tally {
        rated: tally.rated.cast_unsigned(),
        score: tally.score.cast_unsigned(),
        ended: tally.ended.cast_unsigned(),
        failed: tally.failed.cast_unsigned(),
        passed: tally.passed.cast_unsigned(),
    };
    (subject, tally)
}
