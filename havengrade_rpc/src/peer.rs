//! Codec of the messages between VMs, in Thrift's compact protocol.

use snafu::ResultExt as _;
use thrift::{
    TConfiguration,
    protocol::{TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol as _, TSerializable},
};

use crate::{RpcError, error::MessageSnafu};

/// Maximum number of elements in a container, so that a forged length can't exhaust memory.
const MAX_ELEMENTS: usize = 65_536;

/// Encodes a message.
///
/// # Errors
///
/// [`RpcError::Message`] if the codec rejects the message.
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

/// Decodes a message.
///
/// # Errors
///
/// [`RpcError::Message`] if the bytes aren't a valid message.
pub fn decode<M: TSerializable>(bytes: &[u8]) -> Result<M, RpcError> {
    let mut protocol = TCompactInputProtocol::with_config(bytes, protocol_limits(bytes.len())?);
    M::read_from_in_protocol(&mut protocol).context(MessageSnafu)
}

/// Returns the protocol limits for a message of this many bytes.
pub(crate) fn protocol_limits(bytes: usize) -> Result<TConfiguration, RpcError> {
    TConfiguration::builder()
        .max_container_size(Some(MAX_ELEMENTS))
        .max_string_size(Some(bytes.max(1)))
        .build()
        .context(MessageSnafu)
}
