//! Minimal HTTP/1.1 on raw sockets, so that stand-ins can behave in ways that a library prevents.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::TcpStream,
    time::timeout,
};

/// A buffered connection.
pub type Conn = BufReader<TcpStream>;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
}

impl Head {
    /// Value of a header; empty if it is missing.
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// Reads a head; an error at the end of the connection.
pub async fn read_head(conn: &mut Conn) -> io::Result<Head> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if conn.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(head);
        }
        if head.start.is_empty() {
            head.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body with a length.
pub async fn read_sized(conn: &mut Conn, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = vec![0; head.get("content-length").parse().unwrap_or_default()];
    conn.read_exact(&mut body).await?;
    Ok(body)
}

/// How an exchange ended for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Whole,
    /// The connection ended or was reset before the end of the answer, or before any answer.
    Cut,
    /// Nothing more came within the limit.
    TimedOut,
}

/// An answer as the client got it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if there was no head.
    pub status: u16,
    /// Head.
    pub head: Head,
    /// Body, as far as it came.
    pub body: Vec<u8>,
    /// How the exchange ended.
    pub end: End,
}

/// Opens a connection.
pub async fn connect(to: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::with_capacity(16 << 10, stream))
}

/// Reads an answer with a length or chunks.
pub async fn read_answer(conn: &mut Conn, limit: Duration) -> Answer {
    let mut answer = Answer { status: 0, head: Head::default(), body: Vec::new(), end: End::Cut };
    let read = timeout(limit, async {
        let head = read_head(conn).await?;
        answer.status = head.status();
        answer.head = head.clone();
        if head.get("transfer-encoding").is_empty() {
            answer.body = read_sized(conn, &head).await?;
            return Ok::<_, io::Error>(());
        }
        loop {
            let mut line = String::new();
            if conn.read_line(&mut line).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim_end().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            conn.read_exact(&mut chunk).await?;
            answer.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    })
    .await;
    answer.end = match read {
        Ok(Ok(())) => End::Whole,
        Ok(Err(_)) => End::Cut,
        Err(_) => End::TimedOut,
    };
    answer
}

/// Sends a request over a connection and reads its answer.
pub async fn exchange(conn: &mut Conn, request: &[u8], limit: Duration) -> Answer {
    if conn.get_mut().write_all(request).await.is_err() {
        return Answer { status: 0, head: Head::default(), body: Vec::new(), end: End::Cut };
    }
    read_answer(conn, limit).await
}
