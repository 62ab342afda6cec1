//! Published routes: callers' HTTP requests are forwarded unchanged to endpoints that the router chooses.
//!
//! Differences between deployments (names of headers, formats of records, location of the configuration) are behind
//! the traits in [`ports`].

mod active_request;
mod admission;
mod answer_body;
mod attempt;
pub mod config_ports;
pub mod connection_pool;
pub mod context;
pub mod dialect;
pub mod endpoint_body;
mod endpoint_choice;
mod escalation;
pub mod event_stream;
mod event_timer;
mod feed_consumers;
pub mod feed_reader;
pub mod forward;
mod framing;
mod known_vms;
mod outcomes;
mod part_cache;
pub mod peers;
pub mod ports;
mod quarantine;
mod reach_monitor;
mod read_allowance;
pub mod refusal;
mod registration;
mod replacement;
pub mod request_body;
mod request_relay;
mod retry_budgets;
mod rewrite;
pub mod rollouts;
pub mod router;
mod send_limits;
pub mod server;
mod shutdown;
mod signals;
mod silence_monitor;
mod speeds;
mod startup;
mod state_fetch;
mod state_parts;
mod state_server;
mod store_access;
mod store_queries;
pub mod stream_buffer;
mod stream_succession;
mod view_age;
pub(crate) mod wire;
