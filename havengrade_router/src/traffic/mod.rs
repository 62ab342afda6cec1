//! The router's own API for callers: requests are forwarded to endpoints on dedicated traffic threads.

mod active_request;
mod answer;
mod backoff;
mod caller_headers;
mod chat_api;
mod engine_stream;
mod execution;
pub(crate) mod ledger_client;
mod plain_call;
mod problem;
pub(crate) mod quarantine;
mod refusal;
mod request_table;
mod routes;
mod server;

pub use self::{
    chat_api::ChatRequest,
    problem::{Problem, RunState},
    request_table::{RequestStatus, RequestTable},
    server::serve,
};
