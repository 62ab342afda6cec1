//! Replay of traces in virtual time: our decisions and simple baselines against one small model of engines.

mod engines;
mod policies;
mod run;
mod trace;

pub use self::{
    policies::{POLICIES, Policy},
    run::{ClassReport, Report, replay},
    trace::{Profile, Request, generate, parse},
};
