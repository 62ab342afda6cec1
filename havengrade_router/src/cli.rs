//! The command line of the router.

use std::path::PathBuf;

use clap::Parser;

/// Model-aware router for versions and cascades.
///
/// Exit codes: 0 after a planned stop that cut nothing off, 1 where it did not start, 2 for a wrong
/// command line, 3 for faulty settings, 4 where a planned stop reached its limit with requests in
/// progress, 5 after a second signal.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Options {
    /// Settings file, in TOML.
    #[arg(long, value_name = "FILE", env = "HAVENGRADE_CONFIG", required_unless_present = "print_defaults")]
    pub settings: Option<PathBuf>,

    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,

    /// Print the default settings and exit.
    #[arg(long)]
    pub print_defaults: bool,
}
