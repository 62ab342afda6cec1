//! Core logic of havengrade: pure functions and state machines that perform no I/O.
//!
//! Functions that depend on time take the current time as an argument. Every state that the VMs agree
//! on is a pure function of the records in the platform's log service, applied in offset order.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod admission;
mod answer_history;
pub mod append_budget;
pub mod billing;
pub mod cascade;
pub mod claim;
pub mod config;
pub mod cost;
mod crash_attribution;
pub mod drain;
pub mod endpoint_selection;
pub mod evidence;
pub mod fingerprint;
mod gossip;
pub mod ids;
mod judged_request;
pub mod ledger;
pub mod membership;
mod open_attempts;
pub mod published;
pub mod quarantine;
mod quarantine_entry;
mod quarantine_report;
mod quarantine_status;
pub mod ranking;
pub mod retry_budget;
pub mod rollout;
pub mod routing;
pub mod secret;
pub mod session;
