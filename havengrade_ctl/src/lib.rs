//! The operators' command line: plan and apply changes, show the active configuration, and drain VMs.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod cli;
pub mod command;
pub mod error;
pub mod explain;
pub mod output;
