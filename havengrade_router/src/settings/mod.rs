//! Settings of the router, one file a section.

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
    /// Where the router listens.
    pub listen: ListenSettings,
    /// The platform's log service.
    pub log_service: LogServiceSettings,
    /// The platform's VM list.
    pub vm_list: VmListSettings,
    /// The service that rates answers.
    pub rating: RatingSettings,
    /// Limits on what callers and peers may send.
    pub limits: LimitSettings,
    /// Claims on requests that may not be repeated.
    pub claims: ClaimSettings,
    /// The other VMs.
    pub peers: PeerSettings,
    /// Endpoints.
    pub endpoints: EndpointSettings,
    /// Published routes.
    pub published: PublishedSettings,
    /// Planned stops.
    pub drain: DrainSettings,
    /// Logs.
    pub logging: LoggingSettings,
    /// Who may call the operators' port.
    pub operators: Vec<Operator>,
}

impl Settings {
    /// The defaults as a settings file.
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
