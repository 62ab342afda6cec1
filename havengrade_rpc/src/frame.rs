//! Frames: a four-byte length before each message, as stock framed clients speak them.

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// A connection that carries frames.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Reads and writes frames of up to `max_frame` bytes over a connection.
///
/// A longer frame ends the connection with an error, before any of it is stored.
pub fn frames<S: AsyncRead + AsyncWrite>(stream: S, max_frame: usize) -> Frames<S> {
    LengthDelimitedCodec::builder().max_frame_length(max_frame).new_framed(stream)
}
