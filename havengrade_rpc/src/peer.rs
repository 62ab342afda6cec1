//! Messages between VMs, in the compact protocol.

use snafu::ResultExt as _;
use thrift::{
    TConfiguration,
    protocol::{TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol as _, TSerializable},
};

use crate::{RpcError, error::MessageSnafu};

/// Most elements of a list in a message, so that a false length can't take memory.
const MAX_ELEMENTS: usize = 65_536;

/// Writes a message.
///
/// # Errors
///
/// [`RpcError::Message`] where the codec refuses it.
///
/// ```
/// use havengrade_rpc::{decode, encode, peers::{PeerDrain, PeerRequest}};
///
/// let request = PeerRequest::Drain(PeerDrain::new("ana".to_owned()));
/// assert_eq!(decode::<PeerRequest>(&encode(&request).unwrap()).unwrap(), request);
/// ```
pub fn encode<M: TSerializable>(message: &M) -> Result<Vec<u8>, RpcError> {
    let mut buf = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut buf);
    message.write_to_out_protocol(&mut protocol).context(MessageSnafu)?;
    protocol.flush().context(MessageSnafu)?;
    Ok(buf)
}

/// Reads a message.
///
/// # Errors
///
/// [`RpcError::Message`] for bytes that are not one.
pub fn decode<M: TSerializable>(bytes: &[u8]) -> Result<M, RpcError> {
    let mut protocol = TCompactInputProtocol::with_config(bytes, limits(bytes.len())?);
    M::read_from_in_protocol(&mut protocol).context(MessageSnafu)
}

/// What a message of this many bytes can hold at the most.
pub(crate) fn limits(bytes: usize) -> Result<TConfiguration, RpcError> {
    TConfiguration::builder()
        .max_container_size(Some(MAX_ELEMENTS))
        .max_string_size(Some(bytes.max(1)))
        .build()
        .context(MessageSnafu)
}
