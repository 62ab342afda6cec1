//! The configuration in force and the indexes that decisions read.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        Account, Base, Cascade, Endpoint, EndpointKind, MigrationRule, ModelVersion, RequestClass, Rollout, Scope,
        SessionKey, VersionState, VoidReason,
    },
    ids::{AccountId, CascadeId, ChangeId, ClassId, EndpointId, Offset, RolloutId, ServiceId, VersionId},
};

/// Change ids that are remembered, so that a late retry is recognised.
pub(crate) const REMEMBERED_CHANGES: usize = 65_536;

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
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset after the last record that was replayed.
    pub next_offset: Offset,
    /// Offset of the last change that took effect; none before the first.
    pub revision: Option<Offset>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Versions by name.
    pub versions: BTreeMap<VersionId, ModelVersion>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Request classes by name.
    pub classes: BTreeMap<ClassId, RequestClass>,
    /// Cascades by name.
    pub cascades: BTreeMap<CascadeId, Cascade>,
    /// Keys for session tokens by name.
    pub session_keys: BTreeMap<String, SessionKey>,
    /// Migration rules by name.
    pub migrations: BTreeMap<String, MigrationRule>,
    /// Roll-outs by name.
    pub rollouts: BTreeMap<RolloutId, Rollout>,
    /// Offset of the last change of each scope, removed ones included.
    #[serde(with = "scope_list")]
    pub(crate) revisions: BTreeMap<Scope, Offset>,
    /// What became of the changes that are remembered.
    pub(crate) outcomes: HashMap<ChangeId, ChangeOutcome>,
    /// The remembered changes, oldest first.
    pub(crate) remembered: VecDeque<ChangeId>,
}

impl Config {
    /// The base that a change to the scope must name now.
    ///
    /// ```
    /// use havengrade_core::config::{Base, Config, Scope, ScopeKind};
    ///
    /// let scope = Scope { kind: ScopeKind::Class, name: "check-in".into() };
    /// assert_eq!(Config::default().base_of(&scope), Base::Absent);
    /// ```
    pub fn base_of(&self, scope: &Scope) -> Base {
        match self.revisions.get(scope) {
            Some(offset) => Base::At(*offset),
            None => Base::Absent,
        }
    }

    /// The scopes that are filled or were removed, with the offset of their last change.
    pub fn scopes(&self) -> impl Iterator<Item = (&Scope, Offset)> {
        self.revisions.iter().map(|(scope, offset)| (scope, *offset))
    }

    /// What became of a change, if it is remembered.
    pub fn outcome(&self, change_id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(change_id)
    }

    /// The migration rule for a client account's requests of a class.
    pub fn migration(&self, class: &str, account: &str) -> Option<&MigrationRule> {
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

/// A configuration with the indexes that make a decision cheap.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The configuration.
    pub config: Config,
    /// Endpoints that have a version loaded.
    by_version: HashMap<VersionId, Vec<EndpointId>>,
    /// Endpoints of a plain service.
    by_service: HashMap<ServiceId, Vec<EndpointId>>,
}

impl Catalog {
    /// Builds the indexes of a configuration.
    pub fn new(config: Config) -> Self {
        let mut catalog = Self::default();
        for endpoint in config.endpoints.values() {
            match &endpoint.kind {
                EndpointKind::Engine { versions } => {
                    for version in versions {
                        catalog.by_version.entry(version.clone()).or_default().push(endpoint.id.clone());
                    }
                },
                EndpointKind::Service { service } => {
                    catalog.by_service.entry(service.clone()).or_default().push(endpoint.id.clone());
                },
                EndpointKind::Scripts => {},
            }
        }
        catalog.config = config;
        catalog
    }

    /// Endpoints that have the version loaded.
    pub fn engines(&self, version: &str) -> &[EndpointId] {
        self.by_version.get(version).map_or(&[], Vec::as_slice)
    }

    /// Endpoints of the plain service.
    pub fn services(&self, service: &str) -> &[EndpointId] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Scopes as a list, since JSON knows only strings as keys.
mod scope_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::{config::Scope, ids::Offset};

    pub(super) fn serialize<S: Serializer>(map: &BTreeMap<Scope, Offset>, to: S) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeMap<Scope, Offset>, D::Error> {
        Ok(Vec::<(Scope, Offset)>::deserialize(from)?.into_iter().collect())
    }
}
