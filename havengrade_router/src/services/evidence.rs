//! The service that collects evidence of how well versions answer, on this VM and on the others.

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

/// Interval at which the evidence is evaluated and published to the traffic threads.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Messages to the service.
pub enum EvidenceMessage {
    /// Merge tallies of another incarnation.
    Merge(Incarnation, Vec<(TallyKey, Tally)>),
    /// Take the own tallies that have changed since the last call, or all of them.
    TakeOwn {
        /// Whether to include unchanged tallies.
        all: bool,
        /// Receives the tallies.
        reply: RpcReplyPort<Vec<(TallyKey, Tally)>>,
    },
    /// Evaluate and publish the evidence.
    Tick,
}

/// Actor of the service.
pub(crate) struct EvidenceActor;

/// State of the service.
pub(crate) struct EvidenceState {
    cx: Context,
    evidence: Evidence,
    /// Keys of the own tallies, and whether each has changed since `take_own_tallies` last returned it.
    own_keys: BTreeMap<TallyKey, bool>,
    /// Whether a tally has changed since the last publication.
    is_dirty: bool,
    /// Configuration revision for which the roll-outs were last evaluated.
    evaluated_revision: Option<Offset>,
    /// Ids of the changes that this VM has proposed.
    proposed_changes: BTreeSet<ChangeId>,
    proposals: Vec<AbortOnDropHandle<()>>,
    _ticker: AbortOnDropHandle<()>,
}

impl Actor for EvidenceActor {
    type Msg = EvidenceMessage;
    type State = EvidenceState;
    type Arguments = Context;

    async fn pre_start(&self, myself: ActorRef<Self::Msg>, cx: Context) -> Result<EvidenceState, ActorProcessingErr> {
        let ticker = super::send_periodically(myself, PUBLISH_INTERVAL, || EvidenceMessage::Tick);
        let evidence = Evidence::default();
        Ok(EvidenceState {
            cx,
            evidence,
            own_keys: BTreeMap::new(),
            is_dirty: false,
            evaluated_revision: None,
            proposed_changes: BTreeSet::new(),
            proposals: Vec::new(),
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
                let _ = reply.send(state.take_own_tallies(all));
            },
            EvidenceMessage::Tick => state.publish(),
        }
        Ok(())
    }
}

impl EvidenceState {
    /// Adds the tallies that traffic has recorded since the last call.
    fn collect_traffic_tallies(&mut self) {
        for (key, tally) in self.cx.shared.take_evidence() {
            self.evidence.record(&key, self.cx.shared.incarnation, tally);
            self.own_keys.insert(key, true);
            self.is_dirty = true;
        }
    }

    fn merge(&mut self, writer: Incarnation, tallies: &[(TallyKey, Tally)]) {
        for (key, tally) in tallies {
            self.evidence.merge(key, writer, *tally);
        }
        self.is_dirty |= !tallies.is_empty();
    }

    fn take_own_tallies(&mut self, all: bool) -> Vec<(TallyKey, Tally)> {
        let writer = self.cx.shared.incarnation;
        let mut tallies = Vec::new();
        for (key, has_changed) in &mut self.own_keys {
            if all || *has_changed {
                *has_changed = false;
                tallies.push((key.clone(), self.evidence.writer_tally(key, writer)));
            }
        }
        tallies
    }

    fn publish(&mut self) {
        self.collect_traffic_tallies();
        let catalog = self.cx.shared.catalog.load();
        if !std::mem::take(&mut self.is_dirty) && self.evaluated_revision == catalog.config.revision {
            return;
        }
        self.evaluated_revision = catalog.config.revision;
        let mut totals = self.evidence.totals().clone();
        totals.halted_rollouts = rollout::rollouts_to_halt(&catalog.config, &totals);
        for item in catalog.config.rollouts.values() {
            if let Some(next) = rollout::next_state(&catalog.config, item, &totals) {
                self.propose(&catalog.config, &next);
            }
        }
        self.cx.shared.evidence.store(Arc::new(totals));
    }

    /// Proposes the next state of a roll-out; the first VM whose record takes effect decides.
    fn propose(&mut self, config: &Config, next: &Rollout) {
        let item = Item::Rollout(next.clone());
        let base = config.base_revision(&item.scope());
        let (action, reason) = match next.state {
            RolloutState::Halted => ("halt", "the evidence speaks against the new version"),
            RolloutState::Running | RolloutState::Paused => ("step", "the step has gathered its evidence"),
        };
        // All VMs derive the same id for the same change, so that it takes effect only once.
        let change_id = format!("{action}-{}-{}-{base:?}", next.id, next.step);
        if !self.proposed_changes.insert(change_id.clone()) {
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
        self.proposals.retain(|proposal| !proposal.is_finished());
        self.proposals.push(AbortOnDropHandle::new(tokio::spawn(async move {
            // The outcome shows in the configuration; if the record is lost, another VM proposes the change.
            drop(service.call(|reply| ConfigMessage::Propose { record, reply }, None).await);
        })));
    }
}
