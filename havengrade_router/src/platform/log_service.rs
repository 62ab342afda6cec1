//! The platform's append-only log.

use std::{fmt, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use havengrade_core::ids::Offset;
use http_body_util::Full;
use hyper::Request;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use crate::http::{Answer, HttpClient, HttpError, Reuse, get, post};

/// The streams that the system keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Changes to the configuration.
    Config,
    /// Claims, refusals and outcomes with their bills.
    Ledger,
    /// Bills of requests without a claim.
    Bills,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Ledger => "ledger",
            Self::Bills => "bills",
        })
    }
}

/// A record as the log gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its content, JSON.
    pub data: String,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSlice {
    /// Offset of the oldest record that is kept.
    pub first: Offset,
    /// Offset that the next record will have.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

/// Why the log did not serve a call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The call failed; an append may have taken effect all the same.
    #[snafu(display("log service: {source}"))]
    Call {
        /// What the client says.
        source: HttpError,
    },
    /// The answer is not one of a log service.
    #[snafu(display("log service: its answer can't be read: {source}"))]
    Answer {
        /// What the reader says.
        source: serde_json::Error,
    },
}

/// The log service.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record.
    async fn append(&self, stream: Stream, data: String) -> Result<Offset, LogError>;

    /// Reads up to `max` records from an offset; waits up to `wait` where there are none.
    async fn read(&self, stream: Stream, from: Offset, max: usize, wait: Duration) -> Result<LogSlice, LogError>;
}

/// The log service over HTTP.
pub struct HttpLogService {
    client: HttpClient,
    address: SocketAddr,
    limit: Duration,
}

/// Largest answer of the log service, in bytes.
const MAX_ANSWER: usize = 64 << 20;

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpLogService {
    /// The log service at an address; a call fails after `limit`.
    pub fn new(client: HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self { client, address, limit }
    }

    async fn call(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Bytes, LogError> {
        let called = self.client.call(self.address, request, Reuse::Allowed, limit, MAX_ANSWER).await;
        let answer: Answer = called.context(CallSnafu)?;
        answer.expect_ok(self.address).context(CallSnafu)
    }
}

#[async_trait]
impl LogService for HttpLogService {
    async fn append(&self, stream: Stream, data: String) -> Result<Offset, LogError> {
        let uri = format!("http://{}/streams/{stream}", self.address);
        let body = self.call(post(&uri, data), self.limit).await?;
        let appended: Appended = serde_json::from_slice(&body).context(AnswerSnafu)?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: Stream, from: Offset, max: usize, wait: Duration) -> Result<LogSlice, LogError> {
        let wait_ms = wait.as_millis();
        let uri = format!("http://{}/streams/{stream}?from={from}&max={max}&wait_ms={wait_ms}", self.address);
        let body = self.call(get(&uri), self.limit + wait).await?;
        serde_json::from_slice(&body).context(AnswerSnafu)
    }
}
