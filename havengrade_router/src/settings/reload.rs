//! Settings that are read again while a program runs.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use snafu::{ResultExt as _, Snafu};
use toml::Table;

use crate::settings::{Settings, SettingsError, parse};

/// Keys that take effect while a program runs; all others do so with the next start.
const LIVE_KEYS: [&str; 9] = [
    "logging.level",
    "published.config_wait_ms",
    "published.endpoints_poll_ms",
    "published.withdrawal",
    "published.withdrawal_ms",
    "published.max_trial_share",
    "published.session_s",
    "published.retry_ratio",
    "published.grace_s",
];

/// Why a settings file was not taken over.
#[derive(Debug, Snafu)]
pub enum SettingsFileError {
    /// The file can't be read.
    #[snafu(display("--settings {}: {source}; name a file that can be read", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// It holds faults.
    #[snafu(display("{source}"))]
    Faulty {
        /// All of them.
        source: SettingsError,
    },
}

/// A settings file, and the text that was read last.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads a file for the first time.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError`] where it can't be read or holds faults.
    pub fn open(path: &Path) -> Result<(Self, Settings), SettingsFileError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings = parse(&text).context(FaultySnafu)?;
        Ok((Self { path: path.to_owned(), text }, settings))
    }

    /// Reads the file again; none where its text is the same as before.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError`] where it can't be read or holds faults; a faulty text is named once only.
    pub fn reload(&mut self) -> Result<Option<Settings>, SettingsFileError> {
        let text = fs::read_to_string(&self.path).context(UnreadableSnafu { path: &self.path })?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse(&self.text).map(Some).context(FaultySnafu)
    }
}

/// Keys whose values differ, and whether each takes effect without a restart.
///
/// ```
/// use havengrade_router::settings::{Settings, changed_keys};
///
/// let mut new = Settings::default();
/// new.published.withdrawal_ms = 4000;
/// new.vm.id = "vm-9".into();
/// let found = changed_keys(&Settings::default(), &new);
/// assert_eq!(found, [("published.withdrawal_ms".to_owned(), true), ("vm.id".to_owned(), false)]);
/// ```
pub fn changed_keys(old: &Settings, new: &Settings) -> Vec<(String, bool)> {
    let (old, new) = (keys(old), keys(new));
    let mut all: Vec<&String> = old.keys().chain(new.keys()).collect();
    all.sort_unstable();
    all.dedup();
    let differing = all.into_iter().filter(|key| old.get(*key) != new.get(*key));
    differing.map(|key| (key.clone(), LIVE_KEYS.contains(&key.as_str()))).collect()
}

/// All keys with their sections, and their values.
fn keys(settings: &Settings) -> Table {
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
