//! The command line of `havengrade-replay`.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

use crate::policy::Profile;

/// Measures, capacity tables, history checks and trace replay.
#[derive(Debug, Parser)]
#[command(name = "havengrade-replay", version)]
pub struct Options {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to print.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// TOML, as `docs/capacity/slopes.toml` keeps it.
    Toml,
    /// JSON for programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Measure what one more of everything costs; takes about a minute.
    Measure {
        /// How to print.
        #[arg(long, value_enum, default_value_t = Format::Toml)]
        format: Format,
    },
    /// Write the capacity tables for some sizes.
    Capacity {
        /// Sizes of a deployment, in TOML.
        #[arg(long, value_name = "FILE", required = true)]
        sizes: Vec<PathBuf>,
        /// Slopes, as `measure` writes them.
        #[arg(long, value_name = "FILE", default_value = "docs/capacity/slopes.toml")]
        slopes: PathBuf,
    },
    /// Run a schedule of faults on a virtual clock and write its history as JSON lines.
    Record {
        /// Schedule, in TOML.
        schedule: PathBuf,
    },
    /// Check a history; exit code 1 where something that must always hold did not.
    Check {
        /// History, as JSON lines.
        history: PathBuf,
    },
    /// Run random schedules of faults and print those that fail, shrunk.
    Explore {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of schedules.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        count: u64,
        /// Faults of each schedule.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(0..=10))]
        faults: u8,
    },
    /// Try a roll-out many times, led by the evidence and by a fixed schedule, and print JSON.
    Rollout {
        /// Trial, in TOML.
        trial: PathBuf,
        /// Runs, each with its own seed.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
    },
    /// Make a trace of sample traffic, as JSON lines.
    Generate {
        /// Traffic to make.
        #[arg(long, value_enum)]
        profile: Profile,
        /// Length of the trace.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        seconds: u64,
        /// Seed of the traffic.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Replay a trace in virtual time and print JSON.
    Run {
        /// Trace, as JSON lines.
        trace: PathBuf,
        /// Name of a policy; all of them where absent.
        #[arg(long)]
        policy: Option<String>,
        /// Number of engines.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=1000))]
        engines: u16,
        /// Seed of what is random in policies and ratings.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}
