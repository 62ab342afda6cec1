//! Published routes: callers' HTTP requests pass unchanged to endpoints of the router's choice.
//!
//! What differs between deployments (names of headers, formats of records, where configuration is kept)
//! is behind the traits in [`ports`].

pub mod channels;
mod choose;
pub mod configured;
pub mod context;
pub mod dialect;
pub mod events;
pub mod follow;
pub mod forward;
mod framing;
mod job;
mod news;
pub mod peers;
pub mod ports;
pub mod program;
pub mod refuse;
mod rewrite;
pub mod rollouts;
pub mod server;
mod store_view;
mod takers;
mod tries;
mod wire;
