//! The router: a microkernel, control services that find each other by name, and the traffic between callers and
//! endpoints.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

mod answer_room;
pub mod cli;
pub mod clock;
pub mod endpoints;
pub mod http;
pub mod kernel;
pub mod launch;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod platform;
pub mod published;
pub mod quarantine;
pub mod router;
pub mod services;
pub mod settings;
pub mod shared;
pub mod supervision;
pub mod traffic;
