//! Changes to the configuration, as they stand in the log.

use std::{fmt, time::SystemTime};

use serde::{Deserialize, Serialize};

use crate::{
    config::{Config, Item},
    ids::{ChangeId, Offset, VersionId},
};

/// The kinds of items.
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
    /// Keys for session tokens.
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

/// The smallest part of the configuration that has a revision of its own: one item.
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

/// The revision of its scope that a change was made against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BaseRevision {
    /// Whatever is there; only for changes that can't conflict, such as a withdrawal.
    Any,
    /// The scope had never been filled.
    Absent,
    /// The scope's last change stood at this offset.
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
    /// Withdraw a version for good.
    Withdraw {
        /// Name of the version.
        version: VersionId,
    },
}

impl Change {
    /// The scope that the change touches.
    pub fn scope(&self) -> Scope {
        match self {
            Self::Put { item } => item.scope(),
            Self::Remove { scope } => scope.clone(),
            Self::Withdraw { version } => Scope { kind: ScopeKind::Version, name: version.clone() },
        }
    }
}

/// A change with the revision that it was made against.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopedChange {
    /// Revision of the scope that the operator saw.
    pub base: BaseRevision,
    /// The change.
    pub change: Change,
}

/// What an operator asks for: changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Id that stays the same over retries.
    pub change_id: ChangeId,
    /// Who made the change.
    pub author: String,
    /// Why it was made.
    pub reason: String,
    /// When it was made, by the clock of the VM that took it.
    pub at: SystemTime,
    /// The changes.
    pub changes: Vec<ScopedChange>,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum ConfigRecord {
    /// A change by an operator or by the system itself.
    Change(ChangeRecord),
    /// The whole configuration as of the offset that it names.
    Snapshot(Box<Config>),
}
