//! The configuration in force and the indexes that decisions read.

use std::{collections::HashMap, sync::Arc};

use imbl::{HashMap as SharedMap, OrdMap, Vector};
use serde::{Deserialize, Serialize};

use crate::{
    config::{
        Account, BaseRevision, Cascade, Endpoint, EndpointKind, MigrationRule, ModelVersion, RequestClass, Rollout,
        Route, Scope, SessionKey, VersionState, VoidReason,
    },
    ids::{AccountId, CascadeId, ChangeId, ClassId, EndpointId, Offset, RolloutId, ServiceId, VersionId},
};

/// Change ids that are remembered, so that a late retry is recognised.
pub(crate) const MAX_REMEMBERED_CHANGES: usize = 65_536;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change took effect at this offset.
    Effective(Offset),
    /// The change had no effect.
    Void(VoidReason),
}

/// The configuration after all records up to an offset.
///
/// Its maps share what two copies have in common, so that a copy costs next to nothing however much
/// there is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset after the last record that was replayed.
    pub next_offset: Offset,
    /// Offset of the last change that took effect; none before the first.
    pub revision: Option<Offset>,
    /// Client accounts by name.
    pub accounts: OrdMap<AccountId, Account>,
    /// Versions by name.
    pub versions: OrdMap<VersionId, ModelVersion>,
    /// Endpoints by name.
    pub endpoints: OrdMap<EndpointId, Endpoint>,
    /// Request classes by name.
    pub classes: OrdMap<ClassId, RequestClass>,
    /// Cascades by name.
    pub cascades: OrdMap<CascadeId, Cascade>,
    /// Keys for session tokens by name.
    pub session_keys: OrdMap<String, SessionKey>,
    /// Migration rules by name.
    pub migrations: OrdMap<String, MigrationRule>,
    /// Roll-outs by name.
    pub rollouts: OrdMap<RolloutId, Rollout>,
    /// Published routes by name; snapshots of before there were any have none.
    #[serde(default)]
    pub routes: OrdMap<String, Route>,
    /// Offset of the last change of each scope, removed ones included.
    #[serde(with = "scope_list")]
    pub(crate) revisions: OrdMap<Scope, Offset>,
    /// What became of the changes that are remembered.
    pub(crate) outcomes: SharedMap<ChangeId, ChangeOutcome>,
    /// The remembered changes, oldest first.
    pub(crate) remembered: Vector<ChangeId>,
}

impl Config {
    /// The base that a change to the scope must name now.
    ///
    /// ```
    /// use havengrade_core::config::{BaseRevision, Config, Scope, ScopeKind};
    ///
    /// let scope = Scope { kind: ScopeKind::Class, name: "check-in".into() };
    /// assert_eq!(Config::default().base_revision(&scope), BaseRevision::Absent);
    /// ```
    pub fn base_revision(&self, scope: &Scope) -> BaseRevision {
        match self.revisions.get(scope) {
            Some(offset) => BaseRevision::At(*offset),
            None => BaseRevision::Absent,
        }
    }

    /// The scopes that are filled or were removed, with the offset of their last change.
    pub fn scopes(&self) -> impl Iterator<Item = (&Scope, Offset)> {
        self.revisions.iter().map(|(scope, offset)| (scope, *offset))
    }

    /// What became of a change, if it is remembered.
    pub fn change_outcome(&self, change_id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(change_id)
    }

    /// The migration rule for a client account's requests of a class.
    pub fn migration_rule(&self, class: &str, account: &str) -> Option<&MigrationRule> {
        self.migrations.get(&format!("{class}/{account}")).or_else(|| self.migrations.get(class))
    }

    /// The key that signs new session tokens.
    pub fn signing_key(&self) -> Option<&SessionKey> {
        self.session_keys.values().rfind(|key| key.signs)
    }

    /// Whether the version exists and may receive new work.
    pub fn is_active(&self, version: &str) -> bool {
        self.versions.get(version).is_some_and(|version| version.state == VersionState::Active)
    }
}

impl Account {
    /// Whether the client account allows the version.
    ///
    /// ```
    /// # let account: havengrade_core::config::Account = toml::from_str(r#"
    /// # id = "gate"
    /// # key_sha256 = ""
    /// # max_concurrent = 1
    /// # requests_per_second = 1
    /// # versions = ["swift@*", "sage@2"]
    /// # "#).unwrap();
    /// assert!(account.allows("swift@7"));
    /// assert!(account.allows("sage@2"));
    /// assert!(!account.allows("sage@3"));
    /// ```
    pub fn allows(&self, version: &str) -> bool {
        let model = version.split('@').next().unwrap_or_default();
        self.versions.iter().any(|allowed| match allowed.strip_suffix("@*") {
            Some(allowed_model) => allowed_model == model,
            None => allowed == version,
        })
    }
}

/// Which endpoints serve what.
#[derive(Debug, Default)]
struct Index {
    by_version: HashMap<VersionId, Vec<EndpointId>>,
    by_service: HashMap<ServiceId, Vec<EndpointId>>,
}

impl Index {
    fn new(endpoints: &OrdMap<EndpointId, Endpoint>) -> Self {
        let mut index = Self::default();
        for endpoint in endpoints.values() {
            match &endpoint.kind {
                EndpointKind::Engine { versions } => {
                    for version in versions {
                        index.by_version.entry(version.clone()).or_default().push(endpoint.id.clone());
                    }
                },
                EndpointKind::Service { service } => {
                    index.by_service.entry(service.clone()).or_default().push(endpoint.id.clone());
                },
                EndpointKind::Scripts => {},
            }
        }
        index
    }
}

/// A configuration with the indexes that make a decision cheap.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The configuration.
    pub config: Config,
    index: Arc<Index>,
}

impl Catalog {
    /// Builds the indexes of a configuration.
    pub fn new(config: Config) -> Self {
        let index = Arc::new(Index::new(&config.endpoints));
        Self { config, index }
    }

    /// The catalog of a later configuration; the indexes stay where the endpoints are the same.
    #[must_use]
    pub fn with_config(&self, config: Config) -> Self {
        if self.shares_endpoints_with(&config) {
            return Self { config, index: self.index.clone() };
        }
        Self::new(config)
    }

    /// Whether a configuration shares this one's endpoints.
    pub fn shares_endpoints_with(&self, config: &Config) -> bool {
        self.config.endpoints.ptr_eq(&config.endpoints)
    }

    /// Endpoints that have the version loaded.
    pub fn engines_for(&self, version: &str) -> &[EndpointId] {
        self.index.by_version.get(version).map_or(&[], Vec::as_slice)
    }

    /// Endpoints of the plain service.
    pub fn endpoints_of(&self, service: &str) -> &[EndpointId] {
        self.index.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Scopes as a list, since JSON knows only strings as keys.
mod scope_list {
    use imbl::OrdMap;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::{config::Scope, ids::Offset};

    pub(super) fn serialize<S: Serializer>(map: &OrdMap<Scope, Offset>, to: S) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<OrdMap<Scope, Offset>, D::Error> {
        Ok(Vec::<(Scope, Offset)>::deserialize(from)?.into_iter().collect())
    }
}
