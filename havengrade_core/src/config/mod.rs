//! The configuration: its items, changes to them, and the replay of changes from the log.

mod change;
mod change_file;
mod items;
mod replay;
mod state;
mod validate;

pub use self::{
    change::{BaseRevision, Change, ChangeRecord, ConfigRecord, Scope, ScopeKind, ScopedChange},
    change_file::{ChangeFile, ChangeFileError, ItemDiff},
    items::{
        Account, Cascade, Endpoint, EndpointKind, Item, MigrationRule, MigrationState, ModelVersion, RequestClass,
        Rollout, RolloutState, Route, RouteAnswers, SessionKey, VersionState,
    },
    replay::{ReplayOutcome, VoidReason},
    state::{Catalog, ChangeOutcome, Config},
    validate::ConfigFault,
};
