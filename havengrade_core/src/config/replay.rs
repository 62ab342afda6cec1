//! Replay of the configuration log, which decides which records take effect.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        BaseRevision, Change, ChangeOutcome, ChangeRecord, Config, ConfigFault, ConfigRecord, Item, Scope, ScopeKind,
        VersionState, state::MAX_REMEMBERED_CHANGES, validate,
    },
    ids::{ChangeId, Offset},
};

/// Reason why a change had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoidReason {
    /// The scope was changed after the revision that the change is based on.
    Conflict {
        /// The scope.
        scope: Scope,
        /// Offset of its last change.
        changed_at: Option<Offset>,
    },
    /// The change would make the configuration invalid.
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

/// Result of the replay of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayOutcome {
    /// The change took effect.
    Effective,
    /// The change had no effect.
    Void(VoidReason),
    /// A change with this id was replayed before.
    Duplicate(ChangeId),
    /// The configuration was replaced by the snapshot.
    Restored,
    /// The record was skipped: it was replayed before, or it is a snapshot without newer records.
    Skipped,
}

impl Config {
    /// Replays the record at an offset.
    ///
    /// The result depends only on the records and their order. A record below `next_offset` is skipped, so the
    /// configuration never goes back to an older state.
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
        // A VM that is ahead of the snapshot has already replayed all changes in it.
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

    /// Returns the configuration with the record's changes applied.
    ///
    /// # Errors
    ///
    /// [`VoidReason::Conflict`] if a scope's base is not its current revision, otherwise the faults of the resulting
    /// configuration.
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

    /// Returns all faults of the configuration; a replayed configuration has none.
    pub fn faults(&self) -> Vec<ConfigFault> {
        validate::all(self)
    }

    fn check_base(&self, change: &Change, base: BaseRevision) -> Result<(), VoidReason> {
        let scope = change.scope();
        let current = self.base_revision(&scope);
        let is_withdrawal = matches!(change, Change::Withdraw { .. });
        if base == current || (base == BaseRevision::Any && is_withdrawal) {
            return Ok(());
        }
        let changed_at = match current {
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

    /// Returns the item of a scope, if it exists.
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
