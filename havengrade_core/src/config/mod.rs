//! The configuration: items, changes to them, and their replay from the log.

mod change;
mod file;
mod items;
mod replay;
mod state;
mod validate;

pub use self::{
    change::{Base, Change, ChangeRecord, ConfigRecord, Scope, ScopeKind, ScopedChange},
    file::{ChangeFile, Difference, FileError},
    items::{
        Account, Cascade, Endpoint, EndpointKind, Item, MigrationRule, MigrationState, ModelVersion, RequestClass,
        Rollout, RolloutState, Route, RouteAnswers, SessionKey, VersionState,
    },
    replay::{Effect, VoidReason},
    state::{Catalog, ChangeOutcome, Config},
    validate::Invalid,
};
