//! Published routes: routing decisions for existing HTTP traffic that passes through unchanged.
//!
//! A published route replaces a home-grown script without a change for its callers: the router chooses account,
//! endpoint and model for each request, and leaves its body and headers unchanged.

pub mod account_shares;
pub mod admission;
pub mod answer_window;
pub mod attempt;
mod attempt_outcome;
mod attempt_stats;
pub mod bounded_time;
pub mod brittle;
pub mod cold;
pub mod common_silence;
pub mod congestion;
pub mod decaying_sum;
pub mod directory;
pub mod emptied_domains;
pub mod endpoint_memory;
pub mod endpoint_reach;
pub mod endpoint_speed;
pub mod endpoint_subset;
pub mod evidence_summary;
pub mod from_config;
mod halt;
mod likelihood;
pub mod model_choice;
pub mod peers;
pub mod placement;
pub mod position;
pub mod read_rate;
pub mod recent_refusals;
pub mod relay;
pub mod retry_after;
pub mod rollout;
mod rollout_order;
mod rollout_report;
pub mod route;
pub mod send_budget;
pub mod send_limits;
pub mod sent_prefixes;
mod service_rollout;
mod session_affinity;
pub mod session_set;
pub mod shed_control;
pub mod signals;
pub mod startup;
pub mod state_transfer;
pub mod time_histogram;
pub mod unloaded_read_rate;
mod version_comparison;
pub mod withdrawal_policy;
