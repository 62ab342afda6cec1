//! Blocking client for operators' tools.

use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use snafu::ResultExt as _;
use thrift::{
    protocol::{TBinaryInputProtocol, TBinaryOutputProtocol},
    transport::{ReadHalf, TFramedReadTransport, TFramedWriteTransport, TIoChannel as _, TTcpChannel, WriteHalf},
};

use crate::{
    RpcError,
    error::{ConnectionSnafu, MessageSnafu},
    operators::OperatorsSyncClient,
};

/// Client of the operators' service.
pub type OperatorClient = OperatorsSyncClient<
    TBinaryInputProtocol<TFramedReadTransport<ReadHalf<TTcpChannel>>>,
    TBinaryOutputProtocol<TFramedWriteTransport<WriteHalf<TTcpChannel>>>,
>;

/// Connects to a VM's port for operators. `timeout` applies to the connection and to each reply.
///
/// # Errors
///
/// [`RpcError::Connection`] if the connection can't be established.
pub fn connect(address: SocketAddr, timeout: Duration) -> Result<OperatorClient, RpcError> {
    let at = address.to_string();
    let stream = TcpStream::connect_timeout(&address, timeout).context(ConnectionSnafu { address: &at })?;
    stream.set_read_timeout(Some(timeout)).context(ConnectionSnafu { address: &at })?;
    stream.set_nodelay(true).context(ConnectionSnafu { address: &at })?;
    let (read, write) = TTcpChannel::with_stream(stream).split().context(MessageSnafu)?;
    let input = TBinaryInputProtocol::new(TFramedReadTransport::new(read), true);
    let output = TBinaryOutputProtocol::new(TFramedWriteTransport::new(write), true);
    Ok(OperatorsSyncClient::new(input, output))
}
