//! Configuration changes as they are recorded in the log.

use std::{fmt, time::SystemTime};

use serde::{Deserialize, Serialize};

use crate::{
    config::{Config, Item},
    ids::{ChangeId, Offset, VersionId},
};

/// Kind of a configuration item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScopeKind {
    /// Client accounts.
    Account,
    /// Versions of models.
    Version,
    /// Endpoints.
    Endpoint,
    /// Request classes.
    Class,
    /// Cascades.
    Cascade,
    /// Keys that sign session tokens.
    SessionKey,
    /// Migration rules.
    Migration,
    /// Roll-outs.
    Rollout,
    /// Published routes.
    Route,
}

impl fmt::Display for ScopeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Account => "account",
            Self::Version => "version",
            Self::Endpoint => "endpoint",
            Self::Class => "class",
            Self::Cascade => "cascade",
            Self::SessionKey => "session_key",
            Self::Migration => "migration",
            Self::Rollout => "rollout",
            Self::Route => "route",
        };
        f.write_str(name)
    }
}

/// Kind and name of an item; the smallest part of the configuration that has its own revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scope {
    /// Kind of the item.
    pub kind: ScopeKind,
    /// Name of the item.
    pub name: String,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// Revision of its scope that a change is based on, checked for conflicts when the change is replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BaseRevision {
    /// Any revision. Accepted only for changes that can't conflict, such as a withdrawal.
    Any,
    /// The scope never contained an item.
    Absent,
    /// The last change to the scope is at this offset.
    At(Offset),
}

/// A change to one scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum Change {
    /// Create or replace an item.
    Put {
        /// The whole new item.
        item: Item,
    },
    /// Remove an item.
    Remove {
        /// The item's scope.
        scope: Scope,
    },
    /// Withdraw a version permanently.
    Withdraw {
        /// Name of the version.
        version: VersionId,
    },
}

impl Change {
    /// Returns the scope that the change affects.
    pub fn scope(&self) -> Scope {
        match self {
            Self::Put { item } => item.scope(),
            Self::Remove { scope } => scope.clone(),
            Self::Withdraw { version } => Scope { kind: ScopeKind::Version, name: version.clone() },
        }
    }
}

/// A change and the revision that it is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopedChange {
    /// Revision of the scope when the operator planned the change.
    pub base: BaseRevision,
    /// The change.
    pub change: Change,
}

/// A transaction of an operator: its changes take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Id that is the same for all retries of the request.
    pub change_id: ChangeId,
    /// Name of the operator or component that made the change.
    pub author: String,
    /// Reason that the author gave.
    pub reason: String,
    /// Time at which the VM that accepted the request received it, by that VM's clock.
    pub at: SystemTime,
    /// The changes.
    pub changes: Vec<ScopedChange>,
}

/// A record of the configuration log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum ConfigRecord {
    /// A change by an operator or by the system itself.
    Change(ChangeRecord),
    /// The whole configuration as of its `next_offset`.
    Snapshot(Box<Config>),
}
