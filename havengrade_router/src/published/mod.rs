//! Published routes: callers' HTTP requests pass unchanged to endpoints of the router's choice.
//!
//! What differs between deployments (names of headers, formats of records, where configuration is kept)
//! is behind the traits in [`ports`].

mod answers;
pub mod channels;
mod choose;
pub mod config_ports;
pub mod context;
pub mod dialect;
pub mod events;
pub mod follow;
pub mod forward;
mod framing;
mod hand_on;
mod job;
mod pace;
pub mod peers;
pub mod ports;
mod quarantine;
pub mod refuse;
mod restrained;
mod retries;
mod rewrite;
pub mod rollouts;
mod roster;
pub mod router;
pub mod server;
mod signals;
mod starting;
mod state_parts;
mod stopping;
mod store_access;
mod store_view;
mod take;
mod takers;
mod tries;
mod vms;
pub(crate) mod wire;
mod written;
