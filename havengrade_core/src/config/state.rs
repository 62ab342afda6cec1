//! The active configuration, and the indexes that routing decisions use.

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

/// Number of recent change ids that are kept to recognise late retries.
pub(crate) const MAX_REMEMBERED_CHANGES: usize = 65_536;

/// Outcome of a change.
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
/// The maps are persistent data structures, so that cloning is cheap whatever the size of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset after the last replayed record.
    pub next_offset: Offset,
    /// Offset of the last change that took effect; `None` before the first one.
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
    /// Session keys by name.
    pub session_keys: OrdMap<String, SessionKey>,
    /// Migration rules by name.
    pub migrations: OrdMap<String, MigrationRule>,
    /// Roll-outs by name.
    pub rollouts: OrdMap<RolloutId, Rollout>,
    /// Published routes by name; absent from snapshots of builds that did not support them.
    #[serde(default)]
    pub routes: OrdMap<String, Route>,
    /// Offset of the last change to each scope, including scopes whose item was removed.
    #[serde(with = "scope_list")]
    pub(crate) revisions: OrdMap<Scope, Offset>,
    /// Outcomes of recent changes.
    pub(crate) outcomes: SharedMap<ChangeId, ChangeOutcome>,
    /// Ids of the changes in `outcomes`, oldest first.
    pub(crate) remembered: Vector<ChangeId>,
}

impl Config {
    /// Returns the base revision that a change to the scope must currently have.
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

    /// Iterates over all scopes, including those whose item was removed, with the offset of their last change.
    pub fn scopes(&self) -> impl Iterator<Item = (&Scope, Offset)> {
        self.revisions.iter().map(|(scope, offset)| (scope, *offset))
    }

    /// Returns the outcome of a change, if it is still kept.
    pub fn change_outcome(&self, change_id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(change_id)
    }

    /// Returns the migration rule for a client account's requests of a class.
    pub fn migration_rule(&self, class: &str, account: &str) -> Option<&MigrationRule> {
        self.migrations.get(&format!("{class}/{account}")).or_else(|| self.migrations.get(class))
    }

    /// Returns the key that signs new session tokens.
    pub fn signing_key(&self) -> Option<&SessionKey> {
        self.session_keys.values().rfind(|key| key.signs)
    }

    /// Returns whether the version exists and may receive new work.
    pub fn is_active(&self, version: &str) -> bool {
        self.versions.get(version).is_some_and(|version| version.state == VersionState::Active)
    }
}

impl Account {
    /// Returns whether the client account allows the version.
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

/// Endpoints by the version or plain service that they serve.
#[derive(Debug, Default)]
struct EndpointIndex {
    by_version: HashMap<VersionId, Vec<EndpointId>>,
    by_service: HashMap<ServiceId, Vec<EndpointId>>,
}

impl EndpointIndex {
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

/// A configuration with the indexes that make routing decisions cheap.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The configuration.
    pub config: Config,
    index: Arc<EndpointIndex>,
}

impl Catalog {
    /// Creates a catalog and builds the indexes of the configuration.
    pub fn new(config: Config) -> Self {
        let index = Arc::new(EndpointIndex::new(&config.endpoints));
        Self { config, index }
    }

    /// Returns the catalog of a later configuration; the indexes are reused if the endpoints are unchanged.
    #[must_use]
    pub fn with_config(&self, config: Config) -> Self {
        if self.shares_endpoints_with(&config) {
            return Self { config, index: self.index.clone() };
        }
        Self::new(config)
    }

    /// Returns whether a configuration has the same endpoint map as this one.
    pub fn shares_endpoints_with(&self, config: &Config) -> bool {
        self.config.endpoints.ptr_eq(&config.endpoints)
    }

    /// Returns the endpoints that have the version loaded.
    pub fn engines_for(&self, version: &str) -> &[EndpointId] {
        self.index.by_version.get(version).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of the plain service.
    pub fn endpoints_of(&self, service: &str) -> &[EndpointId] {
        self.index.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Serialises a map with scopes as keys as a list of pairs, since keys in JSON must be strings.
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
