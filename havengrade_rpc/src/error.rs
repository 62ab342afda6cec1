//! Error type of this crate.

use std::io;

use snafu::Snafu;

/// Error while reading, writing or answering a message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RpcError {
    /// The codec could not read or write the message.
    #[snafu(display("message: {source}"))]
    Message {
        /// Error of the codec.
        source: thrift::Error,
    },
    /// The connection failed.
    #[snafu(display("connection to {address}: {source}"))]
    Connection {
        /// Remote address.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The processor accepted a frame without calling a handler.
    #[snafu(display("message: the call is not one of the schema"))]
    UnknownCall,
}
