//! A connection that can be read only as far as an allowance permits.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::net::BoxConnection;

/// Allowance that permits any number of bytes.
const UNLIMITED: usize = usize::MAX;

/// The number of bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub(super) struct ReadAllowance(Arc<AtomicUsize>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl ReadAllowance {
    /// Permits this number of bytes from now on.
    pub(super) fn limit(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Permits any number of bytes from now on.
    pub(super) fn lift(&self) {
        self.limit(UNLIMITED);
    }

    /// Uses up a part of the allowance; returns whether it sufficed.
    fn spend(&self, bytes: usize) -> bool {
        let spent = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| match left {
            UNLIMITED => Some(UNLIMITED),
            left => left.checked_sub(bytes),
        });
        spent.is_ok()
    }
}

/// A connection whose reads fail once its allowance is used up.
pub(super) struct LimitedConnection {
    pub(super) connection: BoxConnection,
    pub(super) allowance: ReadAllowance,
}

impl AsyncRead for LimitedConnection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.connection).poll_read(cx, buf))?;
        if this.allowance.spend(buf.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let reason = "more bytes than any head of an answer has";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)))
    }
}

impl AsyncWrite for LimitedConnection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().connection).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().connection).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().connection).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().connection).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }
}
