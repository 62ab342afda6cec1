//! The network as a trait object, so that tests can put a small fake in its place.

use std::{io, net::SocketAddr};

use async_trait::async_trait;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
};

/// A connection, whatever carries it.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// A connection as a trait object.
pub type BoxConnection = Box<dyn Connection>;

/// Something that accepts connections.
#[async_trait]
pub trait Listener: Send {
    /// Waits for the next connection.
    async fn accept(&mut self) -> io::Result<BoxConnection>;

    /// Where it listens.
    fn local_address(&self) -> io::Result<SocketAddr>;
}

/// Something that makes and accepts connections.
#[async_trait]
pub trait Network: Send + Sync {
    /// Connects to an address.
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection>;

    /// Listens at an address.
    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
}

/// The machine's TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork;

#[async_trait]
impl Network for TcpNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(TcpListener::bind(at).await?))
    }
}

#[async_trait]
impl Listener for TcpListener {
    async fn accept(&mut self) -> io::Result<BoxConnection> {
        let (stream, _) = Self::accept(self).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }
}
