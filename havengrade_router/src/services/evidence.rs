//! The service that counts how well versions answer, here and on the other VMs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use havengrade_core::{
    evidence::{Evidence, Subject, Tally},
    ids::Incarnation,
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio_util::task::AbortOnDropHandle;

use crate::kernel::{Context, Service, StartError, spawn};

/// Name of the service.
pub const NAME: &str = "evidence";

/// Time between two publications to traffic.
const PUBLISH_EVERY: Duration = Duration::from_millis(200);

/// What the service is told and asked.
pub enum EvidenceMessage {
    /// Another VM's counters.
    Merge(Incarnation, Vec<(Subject, Tally)>),
    /// Own counters that have changed since the last call, or all of them.
    Own {
        /// Whether all are asked for.
        all: bool,
        /// Is given the counters.
        reply: RpcReplyPort<Vec<(Subject, Tally)>>,
    },
    /// Time to publish.
    Tick,
}

/// The service.
pub struct EvidenceService;

#[async_trait]
impl Service for EvidenceService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &Context) -> Result<ActorCell, StartError> {
        spawn(NAME, cx, EvidenceActor, cx.clone()).await
    }
}

struct EvidenceActor;

struct EvidenceState {
    cx: Context,
    evidence: Evidence,
    own: BTreeMap<Subject, bool>,
    is_dirty: bool,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for EvidenceActor {
    type Msg = EvidenceMessage;
    type State = EvidenceState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<EvidenceState, ActorProcessingErr> {
        let ticker = super::tick(myself, PUBLISH_EVERY, || EvidenceMessage::Tick);
        let evidence = Evidence::default();
        Ok(EvidenceState { cx, evidence, own: BTreeMap::new(), is_dirty: false, _ticker: ticker })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: EvidenceMessage,
        state: &mut EvidenceState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            EvidenceMessage::Merge(writer, tallies) => state.merge(writer, &tallies),
            EvidenceMessage::Own { all, reply } => {
                let _ = reply.send(state.take_own(all));
            },
            EvidenceMessage::Tick => state.publish(),
        }
        Ok(())
    }
}

impl EvidenceState {
    /// Takes what traffic has seen since the last time.
    fn take_seen(&mut self) {
        for (subject, tally) in self.cx.shared.take_evidence() {
            self.evidence.record(&subject, self.cx.shared.incarnation, tally);
            self.own.insert(subject, true);
            self.is_dirty = true;
        }
    }

    fn merge(&mut self, writer: Incarnation, tallies: &[(Subject, Tally)]) {
        for (subject, tally) in tallies {
            self.evidence.merge(subject, writer, *tally);
        }
        self.is_dirty |= !tallies.is_empty();
    }

    fn take_own(&mut self, all: bool) -> Vec<(Subject, Tally)> {
        let writer = self.cx.shared.incarnation;
        let mut taken = Vec::new();
        for (subject, has_changed) in &mut self.own {
            if all || *has_changed {
                *has_changed = false;
                taken.push((subject.clone(), self.evidence.own(subject, writer)));
            }
        }
        taken
    }

    fn publish(&mut self) {
        self.take_seen();
        if std::mem::take(&mut self.is_dirty) {
            self.cx.shared.evidence.store(Arc::new(self.evidence.totals().clone()));
        }
    }
}
