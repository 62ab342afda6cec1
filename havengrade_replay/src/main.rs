//! The program `havengrade-replay`.

use std::{fs, path::Path, process::ExitCode};

use clap::Parser as _;
use havengrade_replay::{
    capacity,
    cli::{Command, Format, Options},
    measure,
};
use serde::de::DeserializeOwned;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts what is allocated, so that memory is measured and not guessed.
#[global_allocator]
static GLOBAL: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let result = match Options::parse().command {
        Command::Measure { format } => Ok(print_slopes(&measure::run(), format)),
        Command::Capacity { sizes, slopes } => tables(&sizes, &slopes),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        },
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        },
    }
}

fn print_slopes(slopes: &measure::Slopes, format: Format) -> String {
    match format {
        Format::Toml => toml::to_string(slopes).unwrap_or_default(),
        Format::Json => serde_json::to_string_pretty(slopes).unwrap_or_default(),
    }
}

fn tables(sizes: &[std::path::PathBuf], slopes: &Path) -> Result<String, String> {
    let slopes = read(slopes)?;
    let sizes = sizes.iter().map(|path| read(path)).collect::<Result<Vec<_>, _>>()?;
    Ok(capacity::tables(&slopes, &sizes))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    toml::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}
