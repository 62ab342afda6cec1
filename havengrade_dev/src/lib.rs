//! Stand-ins for the platform and a fleet of routers in one process, for demos and tests.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod caller;
pub mod demo;
pub mod fabric;
pub mod fleet;
pub mod history;
pub mod load;
pub mod processes;
pub mod scenario;
pub mod schedule;
pub mod stand_in;
