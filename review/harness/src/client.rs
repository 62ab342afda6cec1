//! Callers: send requests over plain TCP and say how the channel ended.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

use crate::wire;

/// What a caller saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// Status; 0 if no head came.
    pub(crate) status: u16,
    /// Body, without the framing of chunks.
    pub(crate) body: Vec<u8>,
    /// Whether the body came to its end.
    pub(crate) is_complete: bool,
    /// Everything that arrived.
    pub(crate) raw: Vec<u8>,
}

/// The head of a request without a body, for a connection that is used once.
pub(crate) fn head(method: &str, path: &str, id: &str, deadline: Duration, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: office.example\r\n{}: {id}\r\n{}: {}\r\n{more}\r\n",
        wire::name("request_id"),
        wire::name("deadline"),
        deadline.as_millis()
    )
}

/// Sends bytes on a new connection and reads until the answer is complete, the channel ends or the time is over.
pub(crate) async fn exchange(to: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let reading = async {
        let Ok(mut connection) = TcpStream::connect(to).await else { return };
        if connection.write_all(bytes).await.is_err() {
            return;
        }
        let mut buf = vec![0; 64 << 10];
        while let Ok(length) = connection.read(&mut buf).await {
            answer.raw.extend_from_slice(&buf[..length]);
            parse(&mut answer, length == 0);
            if answer.is_complete || length == 0 {
                return;
            }
        }
    };
    // An answer that is not complete in time is one that is not complete.
    let _ = timeout(limit, reading).await;
    answer
}

/// Reads what has arrived so far.
fn parse(answer: &mut Answer, is_end: bool) {
    let Some(end) = answer.raw.windows(4).position(|four| four == b"\r\n\r\n") else { return };
    let head = String::from_utf8_lossy(&answer.raw[..end]).to_ascii_lowercase();
    let body = &answer.raw[end + 4..];
    answer.status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':').map(str::trim));
    if header("transfer-encoding") == Some("chunked") {
        (answer.body, answer.is_complete) = unchunk(body);
    } else if let Some(length) = header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        answer.is_complete = body.len() >= length;
        answer.body = body[..body.len().min(length)].to_vec();
    } else {
        answer.is_complete = is_end;
        answer.body = body.to_vec();
    }
}

/// The content of chunks, and whether the last one has come.
fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line) = bytes.windows(2).position(|two| two == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..line]).ok().and_then(|size| usize::from_str_radix(size, 16).ok());
        let Some(size) = size else { return (body, false) };
        bytes = &bytes[line + 2..];
        if size == 0 {
            return (body, bytes.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&bytes[..size.min(bytes.len())]);
        if bytes.len() < size + 2 {
            return (body, false);
        }
        bytes = &bytes[size + 2..];
    }
    (body, false)
}
