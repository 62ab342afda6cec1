//! Messages between havengrade's processes and for its operators, generated from `schema/`.

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
    frame::{FramedStream, framed},
    generated::{operators, peers, reports},
    operator::{OperatorCall, OperatorError, OperatorReply, OperatorResult, decode_call, encode_reply},
    peer::{decode, encode},
};
