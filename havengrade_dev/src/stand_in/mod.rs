//! Small stand-ins for the platform's services and for endpoints.

mod engine;
pub mod frail;
mod log;
pub mod memory_store;
pub mod published;
mod rating;
mod server;
mod service;
mod vm_list;

pub(crate) use self::engine::EngineHandler;
pub use self::{
    engine::{EngineFault, EngineStandIn, StartedStream, answer_tokens, expected_answer},
    log::{LogCalls, LogFault, LogStandIn},
    rating::RatingStandIn,
    server::{Call, Handler, Reply, start},
    service::{Run, ServiceFault, ServiceStandIn},
    vm_list::VmListStandIn,
};
