//! The platform's append-only log.

use std::{fmt, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use havengrade_core::ids::Offset;
use http_body_util::Full;
use hyper::Request;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use crate::http::{Answer, ConnectionReuse, HttpClient, HttpError, get, post};

/// The streams of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogStream {
    /// Changes to the configuration.
    Config,
    /// Claims, refusals and outcomes with their bills.
    Ledger,
    /// Bills of requests without a claim.
    Bills,
}

impl fmt::Display for LogStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Ledger => "ledger",
            Self::Bills => "bills",
        })
    }
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's offset.
    pub offset: Offset,
    /// The record's content as JSON.
    pub data: String,
}

/// The records of a stream from an offset on, with the bounds of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSlice {
    /// Offset of the oldest retained record.
    pub first: Offset,
    /// Offset that the next record will have.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

/// A failed call to the log service.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The call failed; an append may have taken effect all the same.
    #[snafu(display("log service: {source}"))]
    Call {
        /// Error of the HTTP client.
        source: HttpError,
    },
    /// The answer can't be decoded.
    #[snafu(display("log service: its answer can't be read: {source}"))]
    Answer {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// The log service.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record and returns its offset.
    async fn append(&self, stream: LogStream, data: String) -> Result<Offset, LogError>;

    /// Reads up to `max` records from an offset on; waits up to `wait` if there are none yet.
    async fn read(&self, stream: LogStream, from: Offset, max: usize, wait: Duration) -> Result<LogSlice, LogError>;
}

/// The log service over HTTP.
pub struct HttpLogService {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

/// Largest answer of the log service, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpLogService {
    /// A client of the log service at an address; a call fails after `timeout`.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self { client, address, timeout }
    }

    async fn call(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<Bytes, LogError> {
        let result = self.client.call(self.address, request, ConnectionReuse::Allowed, timeout, MAX_ANSWER_BYTES).await;
        let answer: Answer = result.context(CallSnafu)?;
        answer.into_ok_body(self.address).context(CallSnafu)
    }
}

#[async_trait]
impl LogService for HttpLogService {
    async fn append(&self, stream: LogStream, data: String) -> Result<Offset, LogError> {
        let uri = format!("http://{}/streams/{stream}", self.address);
        let body = self.call(post(&uri, data), self.timeout).await?;
        let appended: Appended = serde_json::from_slice(&body).context(AnswerSnafu)?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: LogStream, from: Offset, max: usize, wait: Duration) -> Result<LogSlice, LogError> {
        let wait_ms = wait.as_millis();
        let uri = format!("http://{}/streams/{stream}?from={from}&max={max}&wait_ms={wait_ms}", self.address);
        let body = self.call(get(&uri), self.timeout + wait).await?;
        serde_json::from_slice(&body).context(AnswerSnafu)
    }
}
