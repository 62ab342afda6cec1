//! The service that counts how well versions answer, here and on the other VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use havengrade_core::{
    config::{Change, ChangeRecord, Config, Item, Rollout, RolloutState, ScopedChange},
    evidence::{Evidence, Tally, TallyKey},
    ids::{ChangeId, Incarnation, Offset},
    rollout,
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::Context,
    services::config::{self, ConfigMessage},
};

/// Name of the service.
pub const NAME: &str = "evidence";

/// Time between two publications to traffic.
const PUBLISH_EVERY: Duration = Duration::from_millis(200);

/// What the service is told and asked.
pub enum EvidenceMessage {
    /// Another VM's counters.
    Merge(Incarnation, Vec<(TallyKey, Tally)>),
    /// Own counters that have changed since the last call, or all of them.
    TakeOwn {
        /// Whether all are asked for.
        all: bool,
        /// Is given the counters.
        reply: RpcReplyPort<Vec<(TallyKey, Tally)>>,
    },
    /// Time to publish.
    Tick,
}

/// The actor of the service.
pub(crate) struct EvidenceActor;

/// State of the service.
pub(crate) struct EvidenceState {
    cx: Context,
    evidence: Evidence,
    own: BTreeMap<TallyKey, bool>,
    is_dirty: bool,
    /// Revision for which the roll-outs were last judged.
    judged: Option<Offset>,
    /// Ids of the changes that were proposed.
    proposed: BTreeSet<ChangeId>,
    calls: Vec<AbortOnDropHandle<()>>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for EvidenceActor {
    type Msg = EvidenceMessage;
    type State = EvidenceState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<EvidenceState, ActorProcessingErr> {
        let ticker = super::send_periodically(myself, PUBLISH_EVERY, || EvidenceMessage::Tick);
        let evidence = Evidence::default();
        Ok(EvidenceState {
            cx,
            evidence,
            own: BTreeMap::new(),
            is_dirty: false,
            judged: None,
            proposed: BTreeSet::new(),
            calls: Vec::new(),
            _ticker: ticker,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: EvidenceMessage,
        state: &mut EvidenceState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            EvidenceMessage::Merge(writer, tallies) => state.merge(writer, &tallies),
            EvidenceMessage::TakeOwn { all, reply } => {
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

    fn merge(&mut self, writer: Incarnation, tallies: &[(TallyKey, Tally)]) {
        for (subject, tally) in tallies {
            self.evidence.merge(subject, writer, *tally);
        }
        self.is_dirty |= !tallies.is_empty();
    }

    fn take_own(&mut self, all: bool) -> Vec<(TallyKey, Tally)> {
        let writer = self.cx.shared.incarnation;
        let mut taken = Vec::new();
        for (subject, has_changed) in &mut self.own {
            if all || *has_changed {
                *has_changed = false;
                taken.push((subject.clone(), self.evidence.writer_tally(subject, writer)));
            }
        }
        taken
    }

    fn publish(&mut self) {
        self.take_seen();
        let catalog = self.cx.shared.catalog.load();
        if !std::mem::take(&mut self.is_dirty) && self.judged == catalog.config.revision {
            return;
        }
        self.judged = catalog.config.revision;
        let mut totals = self.evidence.totals().clone();
        totals.halted_rollouts = rollout::rollouts_to_halt(&catalog.config, &totals);
        for item in catalog.config.rollouts.values() {
            if let Some(next) = rollout::next_state(&catalog.config, item, &totals) {
                self.propose(&catalog.config, &next);
            }
        }
        self.cx.shared.evidence.store(Arc::new(totals));
    }

    /// Proposes how a roll-out should stand; the first VM whose record takes effect decides.
    fn propose(&mut self, config: &Config, next: &Rollout) {
        let item = Item::Rollout(next.clone());
        let base = config.base_revision(&item.scope());
        let (verb, reason) = match next.state {
            RolloutState::Halted => ("halt", "the evidence speaks against the new version"),
            RolloutState::Running | RolloutState::Paused => ("step", "the step has gathered its evidence"),
        };
        // All VMs give the same change the same id, so that it stands in the log as one.
        let change_id = format!("{verb}-{}-{}-{base:?}", next.id, next.step);
        if !self.proposed.insert(change_id.clone()) {
            return;
        }
        let record = ChangeRecord {
            change_id,
            author: format!("havengrade on {}", self.cx.shared.vm()),
            reason: reason.to_owned(),
            at: self.cx.shared.clock.now(),
            changes: vec![ScopedChange { base, change: Change::Put { item } }],
        };
        let Some(service) = self.cx.find::<ConfigMessage>(config::NAME) else { return };
        self.calls.retain(|call| !call.is_finished());
        self.calls.push(AbortOnDropHandle::new(tokio::spawn(async move {
            // What became of it shows in the configuration; a lost record is proposed by another VM.
            drop(service.call(|reply| ConfigMessage::Propose { record, reply }, None).await);
        })));
    }
}
