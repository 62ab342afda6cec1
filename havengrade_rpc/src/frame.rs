//! Framing: a four-byte length before each message, as in Thrift's framed transport.

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Connection that carries length-delimited frames.
pub type FramedStream<S> = Framed<S, LengthDelimitedCodec>;

/// Wraps a connection to read and write frames of up to `max_frame_bytes` bytes.
///
/// A longer frame results in an error before any of it is buffered.
pub fn framed<S: AsyncRead + AsyncWrite>(stream: S, max_frame_bytes: usize) -> FramedStream<S> {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_framed(stream)
}
