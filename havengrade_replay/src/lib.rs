//! Measures, capacity tables, history checks and trace replay.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod capacity;
pub mod check;
pub mod cli;
pub mod explore;
pub mod measure;
pub mod policy;
pub mod rollout;
