//! The network as a trait object that tests can replace by an in-memory one.

use std::{io, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::Mutex,
};

/// A byte stream to another program, independent of its transport.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// A connection as a trait object.
pub type BoxConnection = Box<dyn Connection>;

/// A listening socket.
#[async_trait]
pub trait Listener: Send {
    /// Waits for the next connection.
    async fn accept(&mut self) -> io::Result<BoxConnection>;

    /// Address of the listening socket.
    fn local_address(&self) -> io::Result<SocketAddr>;
}

/// A listening socket of a task that is started again after a panic; the task locks it while it runs.
pub(crate) type SharedListener = Arc<Mutex<Box<dyn Listener>>>;

/// A datagram socket; datagrams may be lost in transit.
#[async_trait]
pub trait DatagramSocket: Send + Sync {
    /// Sends one datagram.
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Waits for the next datagram, writes it into `buf` and returns its length.
    async fn receive(&self, buf: &mut [u8]) -> io::Result<usize>;
}

/// A network that opens and accepts connections.
#[async_trait]
pub trait Network: Send + Sync {
    /// Connects to an address.
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection>;

    /// Opens a listening socket at an address.
    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Opens a datagram socket at an address.
    async fn bind_datagrams(&self, _at: SocketAddr) -> io::Result<Arc<dyn DatagramSocket>> {
        Err(io::Error::new(io::ErrorKind::Unsupported, "this network does not support datagrams"))
    }
}

/// The network of the operating system: TCP connections and UDP datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemNetwork;

#[async_trait]
impl Network for SystemNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(TcpListener::bind(at).await?))
    }

    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<Arc<dyn DatagramSocket>> {
        Ok(Arc::new(UdpSocket::bind(at).await?))
    }
}

#[async_trait]
impl DatagramSocket for UdpSocket {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_to(bytes, to).await.map(drop)
    }

    async fn receive(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.recv(buf).await
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
