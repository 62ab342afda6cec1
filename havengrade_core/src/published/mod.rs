//! Published routes: existing HTTP traffic that passes through unchanged, and the decisions on it.
//!
//! A published route lets the callers of a home-grown script move over without a change: the router
//! chooses account, endpoint and model for each request, and leaves its body and headers as they are.

pub mod attempt;
pub mod cold;
pub mod directory;
pub mod emptied_domains;
pub mod endpoint_subset;
pub mod from_config;
pub mod grounds;
mod judgement;
pub mod model_choice;
mod odds;
mod order;
pub mod peers;
mod pins;
pub mod placement;
pub mod position;
pub mod recent;
pub mod relay;
pub mod retry_after;
pub mod rollout;
pub mod route;
mod running;
mod sample;
mod seen;
pub mod send_budget;
pub mod send_limits;
pub mod sent_prefixes;
pub mod signals;
pub mod startup;
pub mod state_transfer;
pub mod times;
mod told;
mod versions;
pub mod withdrawal_policy;
