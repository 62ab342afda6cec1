//! Messages between havengrade's processes and from its operators, generated from `schema/`.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]
#![cfg_attr(test, allow(clippy::unwrap_used))]

mod client;
mod error;
mod frame;
mod generated;
mod operator;
mod peer;

pub use self::{
    client::{OperatorClient, connect},
    error::RpcError,
    frame::{Frames, frames},
    generated::{operators, peers, reports},
    operator::{OperatorCall, OperatorFault, OperatorReply, OperatorResult, answer_call, parse_call},
    peer::{decode, encode},
};
