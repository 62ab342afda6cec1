//! What connects the hosts of a fleet: real TCP on loopback, or pipes in memory that can be cut.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
};

use async_trait::async_trait;
use havengrade_router::{
    net::{BoxConnection, DatagramSocket, Listener, Network, SystemNetwork},
    shared::lock,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex},
    sync::{Mutex as AsyncMutex, mpsc},
};

/// Number of a host.
pub type Host = u16;

/// What connects the hosts of a fleet.
pub trait Fabric: Send + Sync {
    /// Address of a host's port, the ports being counted from 0.
    fn address(&self, host: Host, port: u16) -> SocketAddr;

    /// The network as a host sees it.
    fn network(&self, host: Host) -> Arc<dyn Network>;
}

/// Ports that each host may have.
const PORTS_A_HOST: u16 = 4;

/// TCP on loopback: each host has ports of its own.
#[derive(Clone, Copy, Debug)]
pub struct Loopback {
    /// First port that is used.
    pub port_base: u16,
}

impl Fabric for Loopback {
    fn address(&self, host: Host, port: u16) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.port_base + host * PORTS_A_HOST + port).into()
    }

    fn network(&self, _host: Host) -> Arc<dyn Network> {
        Arc::new(SystemNetwork)
    }
}

/// Bytes that a pipe holds.
const PIPE: usize = 4 << 10;

#[derive(Default)]
struct Wiring {
    listeners: BTreeMap<SocketAddr, mpsc::UnboundedSender<BoxConnection>>,
    sockets: BTreeMap<SocketAddr, mpsc::UnboundedSender<Vec<u8>>>,
    /// Directions in which nothing gets through.
    cuts: BTreeSet<(Host, Host)>,
    /// Readers that wait for a cut to be mended.
    stuck: Vec<Waker>,
    /// Bytes that each host read.
    read: BTreeMap<Host, u64>,
    /// Of so many datagrams all but the last one are lost; 0 loses none.
    lossy: u32,
    /// Datagrams that were sent.
    datagrams: u32,
}

/// Pipes in memory, which can be cut one way or both.
#[derive(Clone, Default)]
pub struct Pipes {
    wiring: Arc<Mutex<Wiring>>,
}

impl Pipes {
    /// Stops everything that one host sends to another.
    pub fn cut(&self, from: Host, to: Host) {
        lock(&self.wiring).cuts.insert((from, to));
    }

    /// Loses all but one of so many datagrams, or none any more with 0.
    pub fn lose_all_but_one_of(&self, datagrams: u32) {
        lock(&self.wiring).lossy = datagrams;
    }

    /// Counts a datagram; tells whether it is lost.
    fn loses(&self) -> bool {
        let mut wiring = lock(&self.wiring);
        wiring.datagrams = wiring.datagrams.wrapping_add(1);
        wiring.lossy > 0 && !wiring.datagrams.is_multiple_of(wiring.lossy)
    }

    /// Lets everything through again; what was stopped arrives late.
    pub fn mend(&self) {
        let mut wiring = lock(&self.wiring);
        wiring.cuts.clear();
        wiring.stuck.drain(..).for_each(Waker::wake);
    }

    /// Whether anything is stopped from or to a host.
    pub fn is_host_cut(&self, host: Host) -> bool {
        lock(&self.wiring).cuts.iter().any(|(from, to)| *from == host || *to == host)
    }

    /// Lets everything through again from and to a host.
    pub fn mend_host(&self, host: Host) {
        let mut wiring = lock(&self.wiring);
        wiring.cuts.retain(|(from, to)| *from != host && *to != host);
        wiring.stuck.drain(..).for_each(Waker::wake);
    }

    /// Bytes that a host has read so far, from all others.
    pub fn bytes_read(&self, host: Host) -> u64 {
        lock(&self.wiring).read.get(&host).copied().unwrap_or_default()
    }

    fn is_cut(&self, from: Host, to: Host) -> bool {
        lock(&self.wiring).cuts.contains(&(from, to))
    }
}

impl Fabric for Pipes {
    fn address(&self, host: Host, port: u16) -> SocketAddr {
        {
            let [high, low] = host.to_be_bytes();
            (Ipv4Addr::new(10, 0, high, low), 8000 + port).into()
        }
    }

    fn network(&self, host: Host) -> Arc<dyn Network> {
        Arc::new(PipeNetwork { pipes: self.clone(), host })
    }
}

struct PipeNetwork {
    pipes: Pipes,
    host: Host,
}

fn host_of(address: SocketAddr) -> Host {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Host::from_be_bytes([high, low])
        },
        SocketAddr::V6(_) => Host::MAX,
    }
}

#[async_trait]
impl Network for PipeNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxConnection> {
        let far = host_of(to);
        if self.pipes.is_cut(self.host, far) || self.pipes.is_cut(far, self.host) {
            // The first packet, or its answer, is lost: nothing comes until the caller gives up.
            std::future::pending::<()>().await;
        }
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let listener = lock(&self.pipes.wiring).listeners.get(&to).cloned().ok_or_else(refused)?;
        let (near_end, far_end) = duplex(PIPE);
        let end = |stream, from, to| Pipe { stream, pipes: self.pipes.clone(), from, to };
        listener.send(Box::new(end(far_end, self.host, far))).map_err(|_| refused())?;
        Ok(Box::new(end(near_end, far, self.host)))
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut wiring = lock(&self.pipes.wiring);
        if wiring.listeners.get(&at).is_some_and(|listener| !listener.is_closed()) {
            return Err(io::Error::from(io::ErrorKind::AddrInUse));
        }
        wiring.listeners.insert(at, tx);
        Ok(Box::new(PipeListener { rx, at }))
    }

    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<Arc<dyn DatagramSocket>> {
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.pipes.wiring).sockets.insert(at, tx);
        Ok(Arc::new(PipeSocket { pipes: self.pipes.clone(), host: self.host, rx: AsyncMutex::new(rx) }))
    }
}

/// A socket whose datagrams are lost where a cut or nobody is.
struct PipeSocket {
    pipes: Pipes,
    host: Host,
    rx: AsyncMutex<mpsc::UnboundedReceiver<Vec<u8>>>,
}

#[async_trait]
impl DatagramSocket for PipeSocket {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let socket = lock(&self.pipes.wiring).sockets.get(&to).cloned();
        let is_lost = self.pipes.is_cut(self.host, host_of(to)) || self.pipes.loses();
        if let (false, Some(socket)) = (is_lost, socket) {
            // Like any datagram, one to a socket that was closed is lost without a word.
            let _ = socket.send(bytes.to_vec());
        }
        Ok(())
    }

    async fn receive(&self, buf: &mut [u8]) -> io::Result<usize> {
        let gone = || io::Error::from(io::ErrorKind::NotConnected);
        let bytes = self.rx.lock().await.recv().await.ok_or_else(gone)?;
        let length = bytes.len().min(buf.len());
        buf.iter_mut().zip(&bytes).for_each(|(to, from)| *to = *from);
        Ok(length)
    }
}

struct PipeListener {
    rx: mpsc::UnboundedReceiver<BoxConnection>,
    at: SocketAddr,
}

#[async_trait]
impl Listener for PipeListener {
    async fn accept(&mut self) -> io::Result<BoxConnection> {
        self.rx.recv().await.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

/// One end of a pipe; what it reads was sent by `from`.
struct Pipe {
    stream: DuplexStream,
    pipes: Pipes,
    from: Host,
    to: Host,
}

impl AsyncRead for Pipe {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        {
            let mut wiring = lock(&self.pipes.wiring);
            if wiring.cuts.contains(&(self.from, self.to)) {
                wiring.stuck.push(cx.waker().clone());
                return Poll::Pending;
            }
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        *lock(&self.pipes.wiring).read.entry(self.to).or_default() += (buf.filled().len() - before) as u64;
        polled
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
