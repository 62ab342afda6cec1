//! Change files, which operators write, review and apply.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::config::{
    Account, Cascade, Change, Config, ConfigFault, Endpoint, Item, MigrationRule, ModelVersion, RequestClass, Rollout,
    Route, Scope, ScopedChange, SessionKey, validate,
};

/// Error of a change file that can't be used.
#[derive(Debug, Snafu)]
pub enum ChangeFileError {
    /// The file is not TOML, or a key in it is unknown or of the wrong type.
    #[snafu(display("change file: {source}"))]
    Malformed {
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// The file contains no changes.
    #[snafu(display("change file: it holds no change; add a table such as [[account]] or [[remove]]"))]
    Empty,
    /// A scope occurs in the file more than once.
    #[snafu(display("change file: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")))]
    DuplicateScopes {
        /// One fault for each repeated scope.
        faults: Vec<ConfigFault>,
    },
}

/// A change file in TOML, which states the items as they are to be after the change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeFile {
    /// Versions of models to create or replace.
    pub version: Vec<ModelVersion>,
    /// Endpoints to create or replace.
    pub endpoint: Vec<Endpoint>,
    /// Cascades to create or replace.
    pub cascade: Vec<Cascade>,
    /// Request classes to create or replace.
    pub class: Vec<RequestClass>,
    /// Client accounts to create or replace.
    pub account: Vec<Account>,
    /// Session keys to create or replace.
    pub session_key: Vec<SessionKey>,
    /// Migration rules to create or replace.
    pub migration: Vec<MigrationRule>,
    /// Roll-outs to create or replace.
    pub rollout: Vec<Rollout>,
    /// Published routes to create or replace.
    pub route: Vec<Route>,
    /// Items to remove.
    pub remove: Vec<Scope>,
}

/// Difference that a change makes to the item of one scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemDiff {
    /// The scope.
    pub scope: Scope,
    /// The item in the active configuration, if there is one.
    pub before: Option<Item>,
    /// The item after the change, unless it is removed.
    pub after: Option<Item>,
}

impl ChangeFile {
    /// Parses a change file.
    ///
    /// # Errors
    ///
    /// The text of a [`ChangeFileError`] names the faulty key and how to correct it.
    ///
    /// ```
    /// use havengrade_core::config::ChangeFile;
    ///
    /// let text = "[[remove]]\nkind = \"endpoint\"\nname = \"engine-7\"\n";
    /// assert_eq!(ChangeFile::parse(text).unwrap().remove.len(), 1);
    /// assert!(ChangeFile::parse("[[acount]]\n").unwrap_err().to_string().contains("acount"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, ChangeFileError> {
        let file: Self = toml::from_str(text).context(MalformedSnafu)?;
        let scopes: Vec<Scope> = file.changes().iter().map(Change::scope).collect();
        ensure!(!scopes.is_empty(), EmptySnafu);
        let faults = validate::duplicate_scopes(&scopes);
        ensure!(faults.is_empty(), DuplicateScopesSnafu { faults });
        Ok(file)
    }

    /// Returns the changes that turn the configuration into the state in the file, each with its base revision.
    pub fn changes_against(&self, cfg: &Config) -> Vec<ScopedChange> {
        let differs = |change: &Change| match change {
            Change::Put { item } => cfg.item(&item.scope()).as_ref() != Some(item),
            Change::Remove { .. } | Change::Withdraw { .. } => true,
        };
        self.changes()
            .into_iter()
            .filter(differs)
            .map(|change| ScopedChange { base: cfg.base_revision(&change.scope()), change })
            .collect()
    }

    fn changes(&self) -> Vec<Change> {
        let mut items: Vec<Item> = Vec::new();
        items.extend(self.version.iter().cloned().map(Item::Version));
        items.extend(self.endpoint.iter().cloned().map(Item::Endpoint));
        items.extend(self.cascade.iter().cloned().map(Item::Cascade));
        items.extend(self.class.iter().cloned().map(Item::Class));
        items.extend(self.account.iter().cloned().map(Item::Account));
        items.extend(self.session_key.iter().cloned().map(Item::SessionKey));
        items.extend(self.migration.iter().cloned().map(Item::Migration));
        items.extend(self.rollout.iter().cloned().map(Item::Rollout));
        items.extend(self.route.iter().cloned().map(Item::Route));
        let puts = items.into_iter().map(|item| Change::Put { item });
        puts.chain(self.remove.iter().cloned().map(|scope| Change::Remove { scope })).collect()
    }
}

impl ItemDiff {
    /// Returns the difference that each of the changes would make to the configuration.
    pub fn for_changes(cfg: &Config, changes: &[ScopedChange]) -> Vec<Self> {
        let after = |change: &Change| match change {
            Change::Put { item } => Some(item.clone()),
            Change::Remove { .. } | Change::Withdraw { .. } => None,
        };
        let difference = |scoped: &ScopedChange| {
            let scope = scoped.change.scope();
            Self { before: cfg.item(&scope), after: after(&scoped.change), scope }
        };
        changes.iter().map(difference).collect()
    }
}
