//! Published routes: callers' HTTP requests pass unchanged to endpoints of the router's choice.
//!
//! What differs between deployments (names of headers, formats of records, where configuration is kept)
//! is behind the traits in [`ports`].

mod active_request;
mod attempt;
pub mod config_ports;
pub mod connection_pool;
pub mod context;
pub mod dialect;
mod endpoint_choice;
pub mod event_stream;
pub mod follow;
pub mod forward;
mod framing;
mod hand_on;
mod outcomes;
mod pace;
pub mod peers;
pub mod ports;
mod quarantine;
pub mod refusal;
mod retry_budgets;
mod rewrite;
pub mod rollouts;
mod roster;
pub mod router;
mod send_limits;
pub mod server;
mod signals;
mod starting;
mod state_parts;
mod stopping;
mod store_access;
mod store_view;
mod take;
mod takers;
mod vms;
pub(crate) mod wire;
mod written;
