//! Parsing and validation of settings: all faults are reported together, each with its key, value and remedy.

use std::{collections::BTreeSet, fmt};

use havengrade_core::secret;
use snafu::{ResultExt as _, Snafu, ensure};
use toml::{Table, Value};

use crate::settings::Settings;

/// A fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Invalid key with its section.
    pub key: String,
    /// Value of the key.
    pub value: String,
    /// Description of the fault and its remedy.
    pub remedy: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.key, self.value, self.remedy)
    }
}

/// An unusable settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file is not valid TOML.
    #[snafu(display("settings: {source}"))]
    Malformed {
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// Some keys or values are invalid.
    #[snafu(display("settings: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\nsettings: ")))]
    Faulty {
        /// All faults of the file.
        faults: Vec<SettingsFault>,
    },
}

/// Parses settings; keys that the text omits take their defaults.
///
/// # Errors
///
/// [`SettingsError`] lists all faults at once.
///
/// ```
/// let error = havengrade_router::settings::parse("[claims]\nbatch_window = 5\nhorizon_s = 0\n").unwrap_err();
/// assert!(error.to_string().contains("claims.batch_window = 5: unknown"));
/// assert!(error.to_string().contains("claims.horizon_s = 0: must be 1 or more"));
/// ```
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let table: Table = toml::from_str(text).context(MalformedSnafu)?;
    let defaults = Table::try_from(Settings::default()).unwrap_or_default();
    let mut merged = defaults.clone();
    let mut faults = Vec::new();
    for (section, value) in &table {
        merge(&defaults, &mut merged, section, value, &mut faults);
    }
    // Invalid values are left at their defaults so that the remaining ones can still be validated.
    let settings = Settings::deserialize_table(merged).unwrap_or_default();
    faults.extend(validate(&settings));
    ensure!(faults.is_empty(), FaultySnafu { faults });
    Ok(settings)
}

impl Settings {
    fn deserialize_table(table: Table) -> Result<Self, toml::de::Error> {
        table.try_into()
    }
}

/// Merges a section key by key so that each fault is attributed to its key.
fn merge(defaults: &Table, merged: &mut Table, section: &str, value: &Value, faults: &mut Vec<SettingsFault>) {
    let Value::Table(keys) = value else {
        return merge_value(defaults, merged, &[section], value, faults);
    };
    if !matches!(defaults.get(section), Some(Value::Table(_))) {
        return merge_value(defaults, merged, &[section], value, faults);
    }
    for (key, value) in keys {
        merge_value(defaults, merged, &[section, key], value, faults);
    }
}

fn merge_value(defaults: &Table, merged: &mut Table, path: &[&str], value: &Value, faults: &mut Vec<SettingsFault>) {
    let mut candidate = defaults.clone();
    set(&mut candidate, path, value.clone());
    match Settings::deserialize_table(candidate) {
        Ok(_) => set(merged, path, value.clone()),
        Err(error) => {
            faults.push(SettingsFault {
                key: path.join("."),
                value: value.to_string(),
                remedy: remedy(error.message()),
            });
        },
    }
}

fn set(table: &mut Table, path: &[&str], value: Value) {
    match path {
        [section, key] => {
            if let Some(Value::Table(inner)) = table.get_mut(*section) {
                inner.insert((*key).to_owned(), value);
            }
        },
        [key] => drop(table.insert((*key).to_owned(), value)),
        _ => {},
    }
}

fn remedy(message: &str) -> String {
    match message.strip_prefix("unknown field") {
        Some(rest) => format!("unknown key{rest}; take it out or write one of those"),
        None => message.replace('\n', " "),
    }
}

/// Finds values of the right type that make no sense.
fn validate(settings: &Settings) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    check_zeros(settings, &mut faults);
    check_ports(settings, &mut faults);
    check_times(settings, &mut faults);
    check_names(settings, &mut faults);
    check_published(settings, &mut faults);
    faults
}

fn check_zeros(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    /// Keys for which 0 is a valid value.
    const MAY_BE_ZERO: [&str; 4] =
        ["vm.traffic_threads", "rating.sample", "claims.batch_window_ms", "endpoints.retry_percent"];
    let table = Table::try_from(settings).unwrap_or_default();
    for (section, value) in &table {
        let Value::Table(keys) = value else { continue };
        for (key, value) in keys {
            let path = format!("{section}.{key}");
            if *value == Value::Integer(0) && !MAY_BE_ZERO.contains(&path.as_str()) {
                faults.push(SettingsFault { key: path, value: "0".into(), remedy: "must be 1 or more".into() });
            }
        }
    }
}

fn check_ports(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let listen = &settings.listen;
    let mut seen = BTreeSet::new();
    let ports = [
        ("listen.callers", listen.callers),
        ("listen.operators", listen.operators),
        ("listen.peers", listen.peers),
        ("published.readiness", settings.published.readiness),
        ("published.metrics", settings.published.metrics),
    ];
    let published = settings.published.callers.map(|address| ("published.callers", address));
    for (key, address) in ports.into_iter().chain(published) {
        if address.port() != 0 && !seen.insert(address) {
            let remedy = "another port of this VM has the same address; give each its own".into();
            faults.push(SettingsFault { key: key.into(), value: address.to_string(), remedy });
        }
    }
}

/// Upper bound for the retry ratio; more retries for each request would multiply an overload.
const MAX_RETRY_RATIO: f64 = 10.0;

fn check_published(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let published = &settings.published;
    let ranges = [
        ("published.max_trial_share", published.max_trial_share, 1.0),
        ("published.retry_ratio", published.retry_ratio, MAX_RETRY_RATIO),
    ];
    for (key, value, max) in ranges {
        if !(0.0..=max).contains(&value) {
            let remedy = format!("must be from 0 to {max}");
            faults.push(SettingsFault { key: key.into(), value: value.to_string(), remedy });
        }
    }
    for (key, seconds) in [("published.session_s", published.session_s), ("published.grace_s", published.grace_s)] {
        if !seconds.is_finite() || seconds <= 0.0 {
            faults.push(SettingsFault {
                key: key.into(),
                value: seconds.to_string(),
                remedy: "must be more than 0".into(),
            });
        }
    }
}

fn check_times(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let pairs = [
        ("claims.batch_window_ms", settings.claims.batch_window_ms, "claims.deadline_ms", settings.claims.deadline_ms),
        ("claims.horizon_s", settings.claims.horizon_s, "log_service.retention_s", settings.log_service.retention_s),
        ("peers.heartbeat_ms", settings.peers.heartbeat_ms, "peers.silence_ms", settings.peers.silence_ms),
        ("endpoints.report_ms", settings.endpoints.report_ms, "endpoints.silence_ms", settings.endpoints.silence_ms),
    ];
    for (key, value, limit_key, limit) in pairs {
        if value >= limit {
            let remedy = format!("must be less than {limit_key}, which is {limit}");
            faults.push(SettingsFault { key: key.into(), value: value.to_string(), remedy });
        }
    }
}

fn check_names(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let mut fault = |key: &str, value: &str, remedy: &str| {
        faults.push(SettingsFault { key: key.into(), value: format!("{value:?}"), remedy: remedy.into() });
    };
    let id = &settings.vm.id;
    if id.is_empty() || id.contains(['/', '.']) {
        fault("vm.id", id, "must be a name without a slash or a dot");
    }
    if settings.vm.failure_domain.is_empty() {
        fault("vm.failure_domain", "", "must be a name");
    }
    let level = &settings.logging.level;
    if level.parse::<log::LevelFilter>().is_err() {
        fault("logging.level", level, "must be error, warn, info, debug or trace");
    }
    let mut names = BTreeSet::new();
    for operator in &settings.operators {
        if operator.name.is_empty() || !names.insert(&operator.name) {
            fault("operators.name", &operator.name, "must be a name of its own");
        }
        if secret::parse_digest(&operator.key_sha256).is_none() {
            let remedy = "must be 64 hexadecimal digits, as `havengradectl hash-key` prints";
            fault("operators.key_sha256", &operator.key_sha256, remedy);
        }
    }
}
