//! Validation of configurations, with a remedy for each fault.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        Account, Cascade, Change, Config, Endpoint, EndpointKind, Item, MigrationRule, MigrationState, ModelVersion,
        RequestClass, Rollout, Route, Scope, ScopeKind, SessionKey, VersionState,
    },
    secret,
};

/// A fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFault {
    /// Path of the faulty field, beginning with its scope.
    pub field: String,
    /// What is wrong and how to correct it.
    pub remedy: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.remedy)
    }
}

/// Maximum share or score, in thousandths.
const MAX_PERMILLE: u32 = 1000;

fn fault(field: String, remedy: impl Into<String>) -> ConfigFault {
    ConfigFault { field, remedy: remedy.into() }
}

/// Returns the faults of a change that depend on the configuration before it.
pub(crate) fn transition(before: &Config, change: &Change) -> Vec<ConfigFault> {
    let scope = change.scope();
    match change {
        Change::Put { item: Item::Version(item) } => {
            let was_withdrawn =
                before.versions.get(&item.id).is_some_and(|version| version.state == VersionState::Withdrawn);
            if was_withdrawn && item.state == VersionState::Active {
                return vec![fault(
                    format!("{scope}.state"),
                    "a withdrawn version stays so; add a new version instead",
                )];
            }
            Vec::new()
        },
        Change::Remove { scope } if before.item(scope).is_none() => {
            vec![fault(scope.to_string(), "it does not exist; leave it out of the change")]
        },
        Change::Withdraw { version } if !before.versions.contains_key(version) => {
            vec![fault(scope.to_string(), "no such version; `havengradectl show versions` lists them")]
        },
        Change::Put { .. } | Change::Remove { .. } | Change::Withdraw { .. } => Vec::new(),
    }
}

/// Returns the faults that a change introduces into a configuration that was valid before it.
///
/// A new or replaced item is checked together with the items that it refers to. Items that refer to it are checked
/// only if the change can break their references.
pub(crate) fn change(cfg: &Config, change: &Change) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    match change {
        Change::Put { item } => {
            check_item(cfg, item, &mut faults);
            check_dependents(cfg, item, &mut faults);
        },
        Change::Remove { .. } => check_all(cfg, &mut faults),
        Change::Withdraw { .. } => {},
    }
    faults
}

fn check_item(cfg: &Config, item: &Item, faults: &mut Vec<ConfigFault>) {
    match item {
        Item::Account(item) => check_account(cfg, item, faults),
        Item::Version(item) => check_version(item, faults),
        Item::Endpoint(item) => check_endpoint(cfg, item, faults),
        Item::Class(item) => check_class(cfg, item, faults),
        Item::Cascade(item) => check_cascade(cfg, item, faults),
        Item::SessionKey(item) => check_session_key(item, faults),
        Item::Migration(item) => check_migration(cfg, item, faults),
        Item::Rollout(item) => check_rollout(cfg, item, faults),
        Item::Route(item) => check_route(cfg, item, faults),
    }
}

/// Checks the items whose references a replaced item may have broken.
fn check_dependents(cfg: &Config, item: &Item, faults: &mut Vec<ConfigFault>) {
    match item {
        Item::Endpoint(_) => {
            cfg.migrations.values().for_each(|item| check_migration(cfg, item, faults));
            cfg.routes.values().for_each(|item| check_route(cfg, item, faults));
        },
        Item::SessionKey(_) => cfg.classes.values().for_each(|item| check_class(cfg, item, faults)),
        _ => {},
    }
}

/// Returns all faults of a configuration.
pub(crate) fn all(cfg: &Config) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    check_all(cfg, &mut faults);
    faults
}

fn check_all(cfg: &Config, faults: &mut Vec<ConfigFault>) {
    cfg.accounts.values().for_each(|item| check_account(cfg, item, faults));
    cfg.cascades.values().for_each(|item| check_cascade(cfg, item, faults));
    cfg.migrations.values().for_each(|item| check_migration(cfg, item, faults));
    cfg.rollouts.values().for_each(|item| check_rollout(cfg, item, faults));
    cfg.routes.values().for_each(|item| check_route(cfg, item, faults));
    cfg.session_keys.values().for_each(|item| check_session_key(item, faults));
    cfg.versions.values().for_each(|item| check_version(item, faults));
    cfg.classes.values().for_each(|item| check_class(cfg, item, faults));
    cfg.endpoints.values().for_each(|item| check_endpoint(cfg, item, faults));
}

fn check_account(cfg: &Config, item: &Account, faults: &mut Vec<ConfigFault>) {
    let field = |name: &str| format!("account {}.{name}", item.id);
    if item.id.is_empty() || item.id.contains('.') {
        faults.push(fault(field("id"), "must be a name without a dot, since the dot ends it in a key"));
    }
    if secret::parse_digest(&item.key_sha256).is_none() {
        faults.push(fault(field("key_sha256"), "must be 64 hexadecimal digits, as `havengradectl hash-key` prints"));
    }
    if item.max_concurrent == 0 {
        faults.push(fault(field("max_concurrent"), "must be 1 or more; remove the account to stop it"));
    }
    if item.requests_per_second == 0 {
        faults.push(fault(field("requests_per_second"), "must be 1 or more; remove the account to stop it"));
    }
    if item.weight == 0 {
        faults.push(fault(field("weight"), "must be 1 or more"));
    }
    for class in &item.classes {
        if !cfg.classes.contains_key(class) {
            faults.push(fault(field("classes"), format!("names class {class}, which does not exist; add it first")));
        }
    }
    for version in &item.versions {
        let is_known = match version.strip_suffix("@*") {
            Some(model) => cfg.versions.values().any(|known| known.model == model),
            None => cfg.versions.contains_key(version),
        };
        if !is_known {
            faults.push(fault(field("versions"), format!("names {version}, which does not exist; add it first")));
        }
    }
}

fn check_version(item: &ModelVersion, faults: &mut Vec<ConfigFault>) {
    if item.id.split_once('@').is_none_or(|(model, version)| model != item.model || version.is_empty()) {
        let remedy = format!("must be its model and a version, as in {}@1", item.model);
        faults.push(fault(format!("version {}.id", item.id), remedy));
    }
    if item.prior_quality > MAX_PERMILLE {
        faults.push(fault(format!("version {}.prior_quality", item.id), "must be 0 to 1000 thousandths"));
    }
}

fn check_class(cfg: &Config, item: &RequestClass, faults: &mut Vec<ConfigFault>) {
    let field = |name: &str| format!("class {}.{name}", item.id);
    if item.deadline_ms == 0 {
        faults.push(fault(field("deadline_ms"), "must be 1 or more"));
    }
    if item.pins_sessions && cfg.signing_key().is_none() {
        let remedy = "needs a session_key with signs = true; add one to the change";
        faults.push(fault(field("pins_sessions"), remedy));
    }
    if let Some(cascade) = &item.cascade
        && !cfg.cascades.contains_key(cascade)
    {
        faults.push(fault(field("cascade"), format!("names {cascade}, which does not exist; add it first")));
    }
}

fn check_endpoint(cfg: &Config, item: &Endpoint, faults: &mut Vec<ConfigFault>) {
    if item.capacity == 0 {
        faults.push(fault(format!("endpoint {}.capacity", item.id), "must be 1 or more"));
    }
    let EndpointKind::Engine { versions } = &item.kind else { return };
    for version in versions.iter().filter(|version| !cfg.versions.contains_key(*version)) {
        let remedy = format!("names {version}, which does not exist; add it first");
        faults.push(fault(format!("endpoint {}.versions", item.id), remedy));
    }
}

fn check_cascade(cfg: &Config, item: &Cascade, faults: &mut Vec<ConfigFault>) {
    let field = |name: &str| format!("cascade {}.{name}", item.id);
    if item.steps.is_empty() {
        faults.push(fault(field("steps"), "must name one version or more, from cheap to strong"));
    }
    for version in item.steps.iter().filter(|version| !cfg.versions.contains_key(*version)) {
        faults.push(fault(field("steps"), format!("names {version}, which does not exist; add it first")));
    }
    if item.quality_target > MAX_PERMILLE {
        faults.push(fault(field("quality_target"), "must be 0 to 1000 thousandths"));
    }
    if item.explore > MAX_PERMILLE {
        faults.push(fault(field("explore"), "must be 0 to 1000 thousandths"));
    }
}

fn check_migration(cfg: &Config, item: &MigrationRule, faults: &mut Vec<ConfigFault>) {
    let field = |name: &str| format!("migration {}.{name}", item.name());
    if !cfg.classes.contains_key(&item.class) {
        faults.push(fault(field("class"), format!("class {} does not exist; add it first", item.class)));
    }
    if let Some(account) = &item.account
        && !cfg.accounts.contains_key(account)
    {
        faults.push(fault(field("account"), format!("account {account} does not exist; add it first")));
    }
    if let MigrationState::Scripts { endpoint } = &item.state {
        let is_scripts = cfg.endpoints.get(endpoint).is_some_and(|found| found.kind == EndpointKind::Scripts);
        if !is_scripts {
            faults.push(fault(field("endpoint"), format!("{endpoint} is no endpoint of kind scripts; add it first")));
        }
    }
}

fn check_rollout(cfg: &Config, item: &Rollout, faults: &mut Vec<ConfigFault>) {
    let field = |name: &str| format!("rollout {}.{name}", item.id);
    for (name, version) in [("from", &item.from), ("to", &item.to)] {
        if !cfg.versions.contains_key(version) {
            faults.push(fault(field(name), format!("version {version} does not exist; add it first")));
        }
    }
    if item.from == item.to {
        faults.push(fault(field("to"), "must differ from `from`"));
    }
    let is_rising = item.steps.windows(2).all(|pair| pair[0] < pair[1]);
    if item.steps.is_empty() || !is_rising || item.steps.iter().any(|step| *step > MAX_PERMILLE) {
        faults.push(fault(field("steps"), "must be rising shares of up to 1000 thousandths"));
    }
    if item.step >= item.steps.len() {
        faults.push(fault(field("step"), "must be the index of one of the steps"));
    }
    let others = cfg.rollouts.values().filter(|other| other.id != item.id && other.from == item.from);
    for other in others {
        faults.push(fault(field("from"), format!("roll-out {} replaces it too; remove one of them", other.id)));
    }
}

fn check_route(cfg: &Config, item: &Route, faults: &mut Vec<ConfigFault>) {
    let field = |name: &str| format!("route {}.{name}", item.id);
    if item.host.is_empty() || item.host.contains([':', '/']) {
        faults.push(fault(field("host"), "must be a host name without a port"));
    }
    if !item.path_prefix.starts_with('/') || !item.path_prefix.ends_with('/') {
        faults.push(fault(field("path_prefix"), "must begin and end with a slash"));
    }
    for (name, value) in [("time_limit_ms", item.time_limit_ms), ("target_ms", item.target_ms)] {
        if value == 0 {
            faults.push(fault(field(name), "must be 1 or more"));
        }
    }
    if item.max_tries == 0 {
        faults.push(fault(field("max_tries"), "must be 1 or more"));
    }
    let serves =
        |endpoint: &Endpoint| matches!(&endpoint.kind, EndpointKind::Service { service } if *service == item.service);
    if !cfg.endpoints.values().any(serves) {
        let remedy = format!("no endpoint serves {}; add one of kind service first", item.service);
        faults.push(fault(field("service"), remedy));
    }
    let is_same = |other: &&Route| other.host.eq_ignore_ascii_case(&item.host) && other.path_prefix == item.path_prefix;
    for other in cfg.routes.values().filter(|other| other.id != item.id).filter(is_same) {
        faults.push(fault(field("path_prefix"), format!("route {} has the same host and path; remove one", other.id)));
    }
}

fn check_session_key(item: &SessionKey, faults: &mut Vec<ConfigFault>) {
    /// Minimum length of a session key's secret, in bytes.
    const MIN_SECRET_BYTES: usize = 16;
    let is_long_enough = hex::decode(&item.secret_hex).is_ok_and(|secret| secret.len() >= MIN_SECRET_BYTES);
    if !is_long_enough {
        let field = format!("session_key {}.secret_hex", item.id);
        faults.push(fault(field, "must be 32 hexadecimal digits or more"));
    }
    if item.id.is_empty() || item.id.contains('.') {
        faults.push(fault(format!("session_key {}.id", item.id), "must be a name without a dot"));
    }
}

/// Returns a fault for each repeated occurrence of a scope in a change file.
pub(crate) fn duplicate_scopes(scopes: &[Scope]) -> Vec<ConfigFault> {
    let mut seen = std::collections::BTreeSet::new();
    scopes
        .iter()
        .filter(|scope| !seen.insert((*scope).clone()))
        .map(|scope| fault(scope.to_string(), "stands twice in the file; keep one"))
        .collect()
}

impl ScopeKind {
    /// All kinds, in display order.
    pub const ALL: [Self; 9] = [
        Self::Account,
        Self::Version,
        Self::Endpoint,
        Self::Class,
        Self::Cascade,
        Self::SessionKey,
        Self::Migration,
        Self::Rollout,
        Self::Route,
    ];
}
