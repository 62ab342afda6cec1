//! Replay of the configuration stream: which records take effect.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        BaseRevision, Change, ChangeOutcome, ChangeRecord, Config, ConfigFault, ConfigRecord, Item, Scope, ScopeKind,
        VersionState, state::MAX_REMEMBERED_CHANGES, validate,
    },
    ids::{ChangeId, Offset},
};

/// Why a change had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoidReason {
    /// The scope had been changed since the operator saw it.
    Conflict {
        /// The scope.
        scope: Scope,
        /// The offset of its last change.
        changed_at: Option<Offset>,
    },
    /// The configuration would not have been valid.
    Invalid(Vec<ConfigFault>),
}

impl fmt::Display for VoidReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { scope, changed_at: Some(offset) } => {
                write!(f, "{scope} was changed at offset {offset}; plan again on what stands there now")
            },
            Self::Conflict { scope, changed_at: None } => write!(f, "{scope} was never created; plan again"),
            Self::Invalid(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&faults.join("; "))
            },
        }
    }
}

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayOutcome {
    /// The change took effect.
    Effective,
    /// The change had no effect.
    Void(VoidReason),
    /// A change with this id had been seen before.
    Duplicate(ChangeId),
    /// The snapshot was taken over.
    Restored,
    /// The record stands before what is known already, or is a snapshot that is not needed.
    Skipped,
}

impl Config {
    /// Replays the record that stands at an offset.
    ///
    /// The result depends only on the records and their order. A record that is older than what has
    /// been replayed is passed over, so the configuration only moves forward.
    pub fn replay(&mut self, offset: Offset, record: &ConfigRecord) -> ReplayOutcome {
        match record {
            ConfigRecord::Snapshot(snapshot) => self.restore(offset, snapshot),
            ConfigRecord::Change(_) if offset < self.next_offset => ReplayOutcome::Skipped,
            ConfigRecord::Change(change) => {
                self.next_offset = offset + 1;
                self.replay_change(offset, change)
            },
        }
    }

    fn restore(&mut self, offset: Offset, snapshot: &Config) -> ReplayOutcome {
        if snapshot.next_offset > self.next_offset {
            *self = snapshot.clone();
            return ReplayOutcome::Restored;
        }
        // A node that is past the snapshot has replayed all that it holds.
        if offset == self.next_offset {
            self.next_offset = offset + 1;
        }
        ReplayOutcome::Skipped
    }

    fn replay_change(&mut self, offset: Offset, record: &ChangeRecord) -> ReplayOutcome {
        if self.outcomes.contains_key(&record.change_id) {
            return ReplayOutcome::Duplicate(record.change_id.clone());
        }
        let (outcome, effect) = match self.try_apply(offset, record) {
            Ok(next) => {
                *self = next;
                self.revision = Some(offset);
                (ChangeOutcome::Effective(offset), ReplayOutcome::Effective)
            },
            Err(reason) => (ChangeOutcome::Void(reason.clone()), ReplayOutcome::Void(reason)),
        };
        self.record_outcome(record.change_id.clone(), outcome);
        effect
    }

    /// The configuration with the record's changes, or why they can't take effect.
    ///
    /// # Errors
    ///
    /// A conflict where a scope's base is not its present revision, else the faults of the result.
    pub fn try_apply(&self, offset: Offset, record: &ChangeRecord) -> Result<Config, VoidReason> {
        for scoped in &record.changes {
            self.check_base(&scoped.change, scoped.base)?;
        }
        let mut next = self.clone();
        let mut faults = Vec::new();
        for scoped in &record.changes {
            faults.extend(validate::transition(self, &scoped.change));
            next.revisions.insert(scoped.change.scope(), offset);
            next.apply(&scoped.change);
        }
        for scoped in &record.changes {
            faults.extend(validate::change(&next, &scoped.change));
        }
        faults.dedup();
        if faults.is_empty() { Ok(next) } else { Err(VoidReason::Invalid(faults)) }
    }

    /// All faults of the configuration; a configuration that was replayed has none.
    pub fn faults(&self) -> Vec<ConfigFault> {
        validate::all(self)
    }

    fn check_base(&self, change: &Change, base: BaseRevision) -> Result<(), VoidReason> {
        let scope = change.scope();
        let present = self.base_revision(&scope);
        let withdraws = matches!(change, Change::Withdraw { .. });
        if base == present || (base == BaseRevision::Any && withdraws) {
            return Ok(());
        }
        let changed_at = match present {
            BaseRevision::At(offset) => Some(offset),
            BaseRevision::Any | BaseRevision::Absent => None,
        };
        Err(VoidReason::Conflict { scope, changed_at })
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put { item } => self.put(item.clone()),
            Change::Remove { scope } => self.remove(scope),
            Change::Withdraw { version } => {
                if let Some(version) = self.versions.get_mut(version) {
                    version.state = VersionState::Withdrawn;
                }
            },
        }
    }

    fn put(&mut self, item: Item) {
        let name = item.scope().name;
        match item {
            Item::Account(item) => drop(self.accounts.insert(name, item)),
            Item::Version(item) => drop(self.versions.insert(name, item)),
            Item::Endpoint(item) => drop(self.endpoints.insert(name, item)),
            Item::Class(item) => drop(self.classes.insert(name, item)),
            Item::Cascade(item) => drop(self.cascades.insert(name, item)),
            Item::SessionKey(item) => drop(self.session_keys.insert(name, item)),
            Item::Migration(item) => drop(self.migrations.insert(name, item)),
            Item::Rollout(item) => drop(self.rollouts.insert(name, item)),
            Item::Route(item) => drop(self.routes.insert(name, item)),
        }
    }

    fn remove(&mut self, scope: &Scope) {
        let name = &scope.name;
        match scope.kind {
            ScopeKind::Account => drop(self.accounts.remove(name)),
            ScopeKind::Version => drop(self.versions.remove(name)),
            ScopeKind::Endpoint => drop(self.endpoints.remove(name)),
            ScopeKind::Class => drop(self.classes.remove(name)),
            ScopeKind::Cascade => drop(self.cascades.remove(name)),
            ScopeKind::SessionKey => drop(self.session_keys.remove(name)),
            ScopeKind::Migration => drop(self.migrations.remove(name)),
            ScopeKind::Rollout => drop(self.rollouts.remove(name)),
            ScopeKind::Route => drop(self.routes.remove(name)),
        }
    }

    /// The item in a scope, if it is filled.
    pub fn item(&self, scope: &Scope) -> Option<Item> {
        let name = &scope.name;
        match scope.kind {
            ScopeKind::Account => self.accounts.get(name).cloned().map(Item::Account),
            ScopeKind::Version => self.versions.get(name).cloned().map(Item::Version),
            ScopeKind::Endpoint => self.endpoints.get(name).cloned().map(Item::Endpoint),
            ScopeKind::Class => self.classes.get(name).cloned().map(Item::Class),
            ScopeKind::Cascade => self.cascades.get(name).cloned().map(Item::Cascade),
            ScopeKind::SessionKey => self.session_keys.get(name).cloned().map(Item::SessionKey),
            ScopeKind::Migration => self.migrations.get(name).cloned().map(Item::Migration),
            ScopeKind::Rollout => self.rollouts.get(name).cloned().map(Item::Rollout),
            ScopeKind::Route => self.routes.get(name).cloned().map(Item::Route),
        }
    }

    fn record_outcome(&mut self, change_id: ChangeId, outcome: ChangeOutcome) {
        self.outcomes.insert(change_id.clone(), outcome);
        self.remembered.push_back(change_id);
        if self.remembered.len() > MAX_REMEMBERED_CHANGES
            && let Some(oldest) = self.remembered.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}
