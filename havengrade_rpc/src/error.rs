//! Errors of messages and frames.

use std::io;

use snafu::Snafu;

/// Why a message could not be read, written or answered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RpcError {
    /// The bytes are not a message of the schema.
    #[snafu(display("message: {source}"))]
    Message {
        /// What the codec says.
        source: thrift::Error,
    },
    /// The connection failed.
    #[snafu(display("connection to {address}: {source}"))]
    Connection {
        /// The other side.
        address: String,
        /// What the system says.
        source: io::Error,
    },
    /// A call was parsed without its arguments being given to the handler.
    #[snafu(display("message: the call is not one of the schema"))]
    UnknownCall,
}
