//! Settings of the router, read from a TOML file.

mod parse;
mod reload;
mod sections;

use serde::{Deserialize, Serialize};

pub use self::{
    parse::{SettingsError, SettingsFault, parse},
    reload::{SettingsFile, SettingsFileError, changed_keys},
    sections::{
        ClaimSettings, DrainSettings, EndpointSettings, LimitSettings, ListenSettings, LogServiceSettings,
        LoggingSettings, Operator, PeerSettings, PublishedSettings, RatingSettings, VmListSettings, VmSettings,
    },
};

/// All settings of a router.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The VM itself.
    pub vm: VmSettings,
    /// Addresses on which the router listens.
    pub listen: ListenSettings,
    /// The platform's log service.
    pub log_service: LogServiceSettings,
    /// The platform's VM list.
    pub vm_list: VmListSettings,
    /// The service that rates answers.
    pub rating: RatingSettings,
    /// Limits on what callers and peers may send.
    pub limits: LimitSettings,
    /// Claims on requests that must not run twice.
    pub claims: ClaimSettings,
    /// The other VMs.
    pub peers: PeerSettings,
    /// Endpoints.
    pub endpoints: EndpointSettings,
    /// Published routes.
    pub published: PublishedSettings,
    /// Planned stops.
    pub drain: DrainSettings,
    /// Logging.
    pub logging: LoggingSettings,
    /// Operators with access to the operators' port.
    pub operators: Vec<Operator>,
}

impl Settings {
    /// Returns the default settings as the text of a settings file.
    ///
    /// ```
    /// use havengrade_router::settings::{self, Settings};
    ///
    /// assert_eq!(settings::parse(&Settings::default_toml()).unwrap(), Settings::default());
    /// ```
    pub fn default_toml() -> String {
        toml::to_string(&Self::default()).unwrap_or_default()
    }
}
