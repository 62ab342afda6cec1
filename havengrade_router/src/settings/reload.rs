//! Reloading of settings while a program runs.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use snafu::{ResultExt as _, Snafu};
use toml::Table;

use crate::settings::{Settings, SettingsError, parse};

/// Keys that take effect without a restart; all others take effect at the next start.
const LIVE_KEYS: [&str; 10] = [
    "logging.level",
    "published.config_wait_ms",
    "published.endpoints_poll_ms",
    "published.endpoint_renewal_ms",
    "published.withdrawal",
    "published.withdrawal_ms",
    "published.max_trial_share",
    "published.session_s",
    "published.retry_ratio",
    "published.grace_s",
];

/// A failure to load a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsFileError {
    /// The file can't be read.
    #[snafu(display("--settings {}: {source}; name a file that can be read", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file has faults.
    #[snafu(display("{source}"))]
    Faulty {
        /// Error with all faults of the file.
        source: SettingsError,
    },
}

/// A settings file with the text last read from it.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Opens a settings file and reads its settings.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError`] if the file can't be read or has faults.
    pub fn open(path: &Path) -> Result<(Self, Settings), SettingsFileError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings = parse(&text).context(FaultySnafu)?;
        Ok((Self { path: path.to_owned(), text }, settings))
    }

    /// Reads the file again; returns none if its text is unchanged.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError`] if the file can't be read or has faults; the faults of a text are reported only once.
    pub fn reload(&mut self) -> Result<Option<Settings>, SettingsFileError> {
        let text = fs::read_to_string(&self.path).context(UnreadableSnafu { path: &self.path })?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse(&self.text).map(Some).context(FaultySnafu)
    }
}

/// Returns the keys whose values differ, each with whether it takes effect without a restart.
///
/// ```
/// use havengrade_router::settings::{Settings, changed_keys};
///
/// let mut new = Settings::default();
/// new.published.withdrawal_ms = 4000;
/// new.vm.id = "vm-9".into();
/// let changed = changed_keys(&Settings::default(), &new);
/// assert_eq!(changed, [("published.withdrawal_ms".to_owned(), true), ("vm.id".to_owned(), false)]);
/// ```
pub fn changed_keys(old: &Settings, new: &Settings) -> Vec<(String, bool)> {
    let (old, new) = (flatten(old), flatten(new));
    let mut all: Vec<&String> = old.keys().chain(new.keys()).collect();
    all.sort_unstable();
    all.dedup();
    let differing = all.into_iter().filter(|key| old.get(*key) != new.get(*key));
    differing.map(|key| (key.clone(), LIVE_KEYS.contains(&key.as_str()))).collect()
}

/// Maps all keys, with their sections, to their values.
fn flatten(settings: &Settings) -> Table {
    let table = Table::try_from(settings).unwrap_or_default();
    let mut flat = Table::new();
    for (section, value) in table {
        match value {
            toml::Value::Table(inner) => {
                flat.extend(inner.into_iter().map(|(key, value)| (format!("{section}.{key}"), value)));
            },
            value => drop(flat.insert(section, value)),
        }
    }
    flat
}
