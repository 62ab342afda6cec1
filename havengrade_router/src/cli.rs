//! The command line of the router.

use std::path::PathBuf;

use clap::Parser;

/// Model-aware router for versions and cascades.
///
/// Exit codes: 0 after a planned stop in which all requests ended, 1 if the router failed to start, 2
/// for an invalid command line, 3 for invalid settings, 4 if a planned stop reached its time limit with
/// requests in progress, 5 if SIGINT cut it short.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Options {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE", env = "HAVENGRADE_CONFIG", required_unless_present = "print_defaults")]
    pub settings: Option<PathBuf>,

    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,

    /// Print the default settings and exit.
    #[arg(long)]
    pub print_defaults: bool,
}
