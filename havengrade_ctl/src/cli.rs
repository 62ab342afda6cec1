//! Command-line arguments of `havengradectl`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Change and watch a havengrade deployment.
///
/// The operator's key is read from the variable HAVENGRADE_KEY. Exit codes: 0 when done, 1 where the
/// call failed and nothing was changed, 2 for a wrong command line, 3 where a change was refused, 4 where
/// it is not known whether a change was made, 5 where the VM does not answer.
#[derive(Debug, Parser)]
#[command(name = "havengradectl", version)]
pub struct Options {
    /// IP number and port of a VM for operators; any VM will do.
    #[arg(long, global = true, default_value = "127.0.0.1:8081", value_name = "ADDRESS")]
    pub vm: SocketAddr,

    /// Name of the operator.
    #[arg(long, global = true, default_value = "operator", value_name = "NAME")]
    pub operator: String,

    /// How to print: for people or for programs.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub format: Format,

    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to print.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

/// What goes with every change.
#[derive(Clone, Debug, Args)]
pub struct ChangeOptions {
    /// Why the change is made; the audit trail keeps it.
    #[arg(long)]
    pub reason: String,

    /// Id of the change; give the same one again to repeat a change whose outcome is unknown.
    #[arg(long, value_name = "ID")]
    pub change_id: Option<String>,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show what a change file would alter.
    Plan {
        /// Change file, in TOML.
        file: PathBuf,
        /// Write the plan here, to be applied as it was reviewed.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Apply a change file, or a plan that was written before.
    Apply {
        /// Change file, in TOML.
        #[arg(required_unless_present = "planned")]
        file: Option<PathBuf>,
        /// Plan that `plan --out` wrote; refused if what it was made against has changed since.
        #[arg(long, value_name = "FILE", conflicts_with = "file")]
        planned: Option<PathBuf>,
        /// What goes with the change.
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Withdraw a version for good.
    Withdraw {
        /// Name of the version, `model@version`.
        version: String,
        /// What goes with the change.
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Tell what became of a change.
    Outcome {
        /// Id of the change.
        change_id: String,
    },
    /// Show the items in force.
    Show {
        /// Kind of the items, such as `account` or `version`; all where absent.
        #[arg(default_value = "")]
        kind: String,
    },
    /// Show the audit trail: every change, also those without effect.
    Audit {
        /// Offset of the first entry.
        #[arg(long, default_value_t = 0)]
        from: u32,
        /// Most entries.
        #[arg(long, default_value_t = 1000)]
        limit: u16,
    },
    /// Show the VMs and what each has in force.
    Status,
    /// Make a VM finish what is in progress and stop.
    Drain {
        /// Name of the VM.
        vm_id: String,
    },
    /// Read logs of one or more VMs from standard input and tell what became of a request.
    Explain {
        /// Id of the request, as its caller sent it.
        request: String,
    },
    /// Make a key for a client account or an operator and print its digest.
    HashKey {
        /// Name of the client account or operator.
        name: String,
        /// Secret part of the key; a random one where absent.
        #[arg(long)]
        secret: Option<String>,
    },
    /// Write the manual page and the shell completions.
    Extra {
        /// Directory to write them to.
        directory: PathBuf,
    },
}
