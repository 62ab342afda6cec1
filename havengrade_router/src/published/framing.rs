//! Detects ambiguous request framing on callers' connections, to prevent request smuggling.
//!
//! The HTTP library accepts heads that allow two interpretations of the body's end, and treats bytes directly after a
//! request as the next request. Both let one request hide in another. A connection with an ambiguous head is flagged,
//! so that the request is refused; one with excess bytes is closed after the answer in progress.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::net::BoxConnection;

/// Largest number of headers that is parsed; the HTTP library refuses more.
const MAX_HEADERS: usize = 128;

/// Longest end of a head, in bytes: a line feed, and an empty line that ends with CRLF.
const MAX_HEAD_END_BYTES: usize = 3;

/// Framing faults found on a connection, shared with its server.
#[derive(Clone, Default)]
pub(super) struct FramingFlags(Arc<AtomicU8>);

/// Flag: the body of a request has no unambiguous end.
const AMBIGUOUS_HEAD: u8 = 1;
/// Flag: bytes came directly after a request, before its answer.
const EXCESS_BYTES: u8 = 2;

impl FramingFlags {
    fn set(&self, flag: u8) {
        self.0.fetch_or(flag, Ordering::AcqRel);
    }

    /// Whether the head of a request was ambiguous.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.0.load(Ordering::Acquire) & AMBIGUOUS_HEAD != 0
    }

    /// Whether the connection must be closed after the answer in progress.
    pub(super) fn must_close(&self) -> bool {
        self.0.load(Ordering::Acquire) != 0
    }
}

/// Position of the next byte in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Head,
    Body {
        left: u64,
    },
    ChunkSize {
        size: u64,
        has_extension: bool,
    },
    ChunkData {
        left: u64,
    },
    ChunkEnd,
    /// In the trailer after the last chunk; `line` bytes of the current line have been read.
    Trailer {
        line: usize,
    },
    /// Parsing has stopped.
    Unknown,
}

/// Parses the framing of the requests on a connection.
struct FramingParser {
    flags: FramingFlags,
    position: Position,
    head: Vec<u8>,
    max_head: usize,
}

impl FramingParser {
    /// Parses received bytes; returns how many of them the HTTP library may read.
    fn parse(&mut self, bytes: &[u8]) -> usize {
        let mut passed = 0;
        while let Some(rest) = bytes.get(passed..).filter(|rest| !rest.is_empty()) {
            let was_head = self.position == Position::Head;
            passed += self.parse_step(rest);
            let has_ended = self.position == Position::Head && (!was_head || self.head.is_empty());
            if has_ended && passed < bytes.len() {
                self.flags.set(EXCESS_BYTES);
                return passed;
            }
        }
        passed
    }

    /// Parses some of the bytes; returns how many.
    fn parse_step(&mut self, bytes: &[u8]) -> usize {
        let first = bytes.first().copied().unwrap_or_default();
        match self.position {
            Position::Head => return self.read_head(bytes),
            Position::Body { left } => return self.skip(bytes, left, |left| Position::Body { left }, Position::Head),
            Position::ChunkData { left } => {
                return self.skip(bytes, left, |left| Position::ChunkData { left }, Position::ChunkEnd);
            },
            Position::ChunkSize { size, has_extension } => self.position = chunk_size(size, has_extension, first),
            Position::ChunkEnd if first == b'\n' => {
                self.position = Position::ChunkSize { size: 0, has_extension: false }
            },
            Position::ChunkEnd => {},
            Position::Trailer { line: 0 } if first == b'\n' => self.position = Position::Head,
            Position::Trailer { .. } if first == b'\n' => self.position = Position::Trailer { line: 0 },
            Position::Trailer { line } => {
                self.position = Position::Trailer { line: line + usize::from(first != b'\r') }
            },
            Position::Unknown => return bytes.len(),
        }
        1
    }

    fn skip(&mut self, bytes: &[u8], left: u64, rest: fn(u64) -> Position, then: Position) -> usize {
        let skipped = left.min(bytes.len() as u64);
        self.position = if skipped == left { then } else { rest(left - skipped) };
        usize::try_from(skipped).unwrap_or(bytes.len())
    }

    /// Buffers a head; once it is complete, determines the framing of its body.
    fn read_head(&mut self, bytes: &[u8]) -> usize {
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        let Some(end) = head_end(&self.head, before.saturating_sub(MAX_HEAD_END_BYTES - 1)) else {
            if self.head.len() > self.max_head {
                self.stop_parsing();
            }
            return bytes.len();
        };
        self.head.truncate(end);
        self.position = match body_position(&self.head) {
            Some(position) => position,
            None => {
                self.flags.set(AMBIGUOUS_HEAD);
                Position::Unknown
            },
        };
        self.head.clear();
        end - before
    }

    /// Stops parsing after a head over the limit, which the HTTP library refuses by itself.
    fn stop_parsing(&mut self) {
        self.head.clear();
        self.position = Position::Unknown;
    }
}

fn chunk_size(size: u64, has_extension: bool, byte: u8) -> Position {
    match byte {
        b'\n' if size == 0 => Position::Trailer { line: 0 },
        b'\n' => Position::ChunkData { left: size },
        _ if has_extension || !byte.is_ascii_hexdigit() => Position::ChunkSize { size, has_extension: byte != b'\r' },
        _ => {
            let digit = char::from(byte).to_digit(16).unwrap_or_default();
            Position::ChunkSize { size: size.saturating_mul(16).saturating_add(u64::from(digit)), has_extension }
        },
    }
}

/// Finds the end of a head, its first empty line, of which no part ends before `from`.
///
/// The HTTP library takes a line feed alone for the end of a line. Lines are found as it finds them, so that no head
/// seems to be longer than it is to the library.
fn head_end(head: &[u8], from: usize) -> Option<usize> {
    let rest = head.get(from..)?;
    let line_ends = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(index, _)| from + index + 1);
    line_ends.filter_map(|start| empty_line_end(head, start)).next()
}

/// The end of the line that starts at `start` if it is empty.
fn empty_line_end(head: &[u8], start: usize) -> Option<usize> {
    match head.get(start..)? {
        [b'\n', ..] => Some(start + 1),
        [b'\r', b'\n', ..] => Some(start + 2),
        _ => None,
    }
}

/// Whether a line ends with a line feed alone; other programs may not take it for the end of a line.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let is_bare = |(index, byte): (usize, &u8)| *byte == b'\n' && head.get(index.wrapping_sub(1)) != Some(&b'\r');
    head.iter().enumerate().any(is_bare)
}

/// Returns the position after a head, by the framing of its body; none if the framing is ambiguous.
fn body_position(head: &[u8]) -> Option<Position> {
    if has_folded_lines(head) || has_bare_line_feed(head) {
        return None;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    if request.parse(head).is_err() {
        // The HTTP library refuses this head as well.
        return Some(Position::Unknown);
    }
    let values = |name: &str| {
        let named = request.headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value).collect::<Vec<_>>()
    };
    match (values("content-length").as_slice(), values("transfer-encoding").as_slice()) {
        ([], []) => Some(Position::Head),
        ([length], []) => match parse_length(length)? {
            0 => Some(Position::Head),
            left => Some(Position::Body { left }),
        },
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => {
            Some(Position::ChunkSize { size: 0, has_extension: false })
        },
        _ => None,
    }
}

/// Whether a header value continues on the next line.
fn has_folded_lines(head: &[u8]) -> bool {
    head.windows(2).any(|pair| matches!(pair, [b'\n', b' ' | b'\t']))
}

fn parse_length(text: &[u8]) -> Option<u64> {
    let is_plain = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    if is_plain { std::str::from_utf8(text).ok()?.parse().ok() } else { None }
}

/// A connection whose request framing is checked; bytes directly after a request are withheld from the HTTP library.
pub(super) struct FramingCheckedConnection {
    connection: BoxConnection,
    parser: FramingParser,
}

impl FramingCheckedConnection {
    /// Wraps a connection whose heads may have up to `max_head` bytes; also returns its flags.
    pub(super) fn new(connection: BoxConnection, max_head: usize) -> (Self, FramingFlags) {
        let flags = FramingFlags::default();
        let parser = FramingParser { flags: flags.clone(), position: Position::Head, head: Vec::new(), max_head };
        (Self { connection, parser }, flags)
    }
}

impl AsyncRead for FramingCheckedConnection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.connection).poll_read(cx, buf);
        if this.parser.flags.0.load(Ordering::Acquire) & EXCESS_BYTES != 0 && buf.filled().len() > before {
            // The connection is closed after the answer in progress, so nothing more of it is read.
            buf.set_filled(before);
            return Poll::Pending;
        }
        let passed = this.parser.parse(buf.filled().get(before..).unwrap_or_default());
        buf.set_filled(before + passed);
        polled
    }
}

impl AsyncWrite for FramingCheckedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(cx)
    }
}
