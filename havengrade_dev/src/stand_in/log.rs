//! A stand-in for the platform's log service, with outages, slowness and lost answers on demand.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use async_trait::async_trait;
use havengrade_core::{
    billing::Bills,
    config::ConfigRecord,
    ledger::{Batch, Ledger, LedgerRecord},
};
use havengrade_router::{
    platform::{LogRecord, LogSlice, LogStream},
    shared::lock,
};
use hyper::{Method, StatusCode};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use super::server::{Call, Handler, Reply, bytes, json};

/// What is wrong with the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses every call.
    Down,
    /// It never answers.
    Silent,
    /// It takes so much longer for every call.
    Slow(Duration),
    /// Appends take effect, but their answers are lost.
    LosesAnswers,
}

#[derive(Default)]
struct Streams {
    records: BTreeMap<String, Vec<String>>,
    first: BTreeMap<String, u64>,
    fault: LogFault,
    appends: u64,
    reads: u64,
}

/// The log service.
#[derive(Default)]
pub struct LogStandIn {
    streams: Mutex<Streams>,
    appended: Notify,
}

/// How often the log was called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCalls {
    /// Appends that took effect.
    pub appends: u64,
    /// Reads.
    pub reads: u64,
}

impl LogStandIn {
    /// Makes something wrong, or right again.
    pub fn set_fault(&self, fault: LogFault) {
        lock(&self.streams).fault = fault;
    }

    /// Whether an append takes effect now.
    pub fn takes_appends(&self) -> bool {
        !matches!(lock(&self.streams).fault, LogFault::Down | LogFault::Silent)
    }

    /// How often the log was called so far.
    pub fn calls(&self) -> LogCalls {
        let streams = lock(&self.streams);
        LogCalls { appends: streams.appends, reads: streams.reads }
    }

    /// Forgets the records before an offset, as a retention limit does.
    pub fn forget_before(&self, stream: LogStream, offset: u64) {
        lock(&self.streams).first.insert(stream.to_string(), offset);
    }

    /// All records of a stream that were ever appended.
    pub fn records(&self, stream: LogStream) -> Vec<String> {
        lock(&self.streams).records.get(&stream.to_string()).cloned().unwrap_or_default()
    }

    /// The ledger that the records amount to.
    pub fn ledger(&self) -> Ledger {
        let mut ledger = Ledger::default();
        for (offset, record) in (0..).zip(self.records(LogStream::Ledger)) {
            if let Ok(batch) = serde_json::from_str::<Batch>(&record) {
                ledger.replay(offset, &batch);
            }
        }
        ledger
    }

    /// Records in all batches of the ledger and of the stream of bills.
    pub fn batched_records(&self) -> usize {
        self.batches(LogStream::Ledger).chain(self.batches(LogStream::Bills)).map(|batch| batch.records.len()).sum()
    }

    fn batches(&self, stream: LogStream) -> impl Iterator<Item = Batch> {
        self.records(stream).into_iter().filter_map(|data| serde_json::from_str(&data).ok())
    }

    /// The bills that count in all streams.
    pub fn bills(&self) -> Bills {
        let mut bills = Bills::default();
        for batch in self.batches(LogStream::Ledger).chain(self.batches(LogStream::Bills)) {
            batch.records.iter().filter_map(LedgerRecord::bill).for_each(|bill| _ = bills.add(bill));
        }
        bills
    }

    /// Appends a change as an operator's own tool would.
    pub fn append_config(&self, record: &ConfigRecord) {
        self.append(&LogStream::Config.to_string(), serde_json::to_string(record).unwrap_or_default());
    }

    /// Appends a record without a call.
    pub fn append(&self, stream: &str, data: String) -> u64 {
        let mut streams = lock(&self.streams);
        streams.appends += 1;
        let records = streams.records.entry(stream.to_owned()).or_default();
        records.push(data);
        let offset = records.len() as u64 - 1;
        drop(streams);
        self.appended.notify_waiters();
        offset
    }

    fn slice(&self, stream: &str, from: u64, max: usize) -> LogSlice {
        let streams = lock(&self.streams);
        let first = streams.first.get(stream).copied().unwrap_or_default();
        let records = streams.records.get(stream).map_or(&[][..], Vec::as_slice);
        let start = from.max(first);
        let kept = (0..).zip(records).filter(|(offset, _)| *offset >= start).take(max);
        let records_out = kept.map(|(offset, data)| LogRecord { offset, data: data.clone() }).collect();
        LogSlice { first, next: records.len() as u64, records: records_out }
    }

    async fn read(&self, stream: &str, from: u64, max: usize, wait: Duration) -> LogSlice {
        lock(&self.streams).reads += 1;
        let until = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let slice = self.slice(stream, from, max);
            if !slice.records.is_empty() || timeout_at(until, appended).await.is_err() {
                return slice;
            }
        }
    }
}

#[async_trait]
impl Handler for LogStandIn {
    async fn handle(&self, call: Call) -> Reply {
        let fault = lock(&self.streams).fault;
        match fault {
            LogFault::Down => return bytes(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "down".into()),
            LogFault::Silent => std::future::pending().await,
            LogFault::Slow(by) => sleep(by).await,
            LogFault::None | LogFault::LosesAnswers => {},
        }
        let Some(stream) = call.path.strip_prefix("/streams/") else {
            return bytes(StatusCode::NOT_FOUND, "text/plain", "no such path".into());
        };
        if call.method == Method::POST {
            let offset = self.append(stream, String::from_utf8_lossy(&call.body).into_owned());
            if fault == LogFault::LosesAnswers {
                return None;
            }
            return json(StatusCode::OK, &serde_json::json!({ "offset": offset }));
        }
        let max = usize::try_from(call.number("max")).unwrap_or(usize::MAX);
        let wait = Duration::from_millis(call.number("wait_ms"));
        let slice = self.read(stream, call.number("from"), max, wait).await;
        // An outage that began while the read waited takes its answer along.
        if lock(&self.streams).fault == LogFault::Down {
            return None;
        }
        json(StatusCode::OK, &serde_json::to_value(slice).unwrap_or_default())
    }
}
