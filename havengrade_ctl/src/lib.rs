//! The operators' command line: plan and apply changes, look at what is in force, and drain VMs.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod cli;
pub mod command;
pub mod error;
pub mod explain;
pub mod print;
