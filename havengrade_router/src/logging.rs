//! Logging as JSON lines on standard output through a bounded queue that never blocks the caller.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use env_logger::{Builder, Target};
use log::{
    LevelFilter,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

use crate::settings::LoggingSettings;

/// Maximum number of lines in one write.
const MAX_BATCH_LINES: usize = 64;
/// Window in which lines are counted for the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Installs the logger, which writes records of the configured level and above, each with the id of the VM.
pub fn init(settings: &LoggingSettings, vm: &str) {
    let (tx, rx) = sync_channel(settings.queue_lines);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = LineWriter { tx, dropped: dropped.clone() };
    let limit = settings.max_lines_per_s;
    let spawned = thread::Builder::new().name("log".into()).spawn(move || {
        write_lines(&rx, &dropped, limit, &Instant::now, &mut io::stdout());
    });
    if let Err(error) = spawned {
        eprintln!("failed to start the log thread: {error}");
        return;
    }
    let vm = vm.to_owned();
    let builder = Builder::new()
        // The level is filtered by `log::set_max_level`, which can change while the program runs.
        .filter_level(LevelFilter::Trace)
        .target(Target::Pipe(Box::new(writer)))
        .format(move |f, record| {
            let line = format_record(record, &vm, SystemTime::now());
            writeln!(f, "{line}")
        })
        .try_init();
    if builder.is_err() {
        eprintln!("another logger is already installed");
    }
    set_level(settings);
}

/// Applies the configured log level.
pub fn set_level(settings: &LoggingSettings) {
    log::set_max_level(settings.level.parse().unwrap_or(LevelFilter::Info));
}

/// Queues lines for the log thread; a line is dropped and counted if the queue is full.
pub struct LineWriter {
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Creates a writer with a queue of `lines` lines, the receiver of the queue and the counter of dropped lines.
    pub fn new(lines: usize) -> (Self, Receiver<Vec<u8>>, Arc<AtomicU64>) {
        let (tx, rx) = sync_channel(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        (Self { tx, dropped: dropped.clone() }, rx, dropped)
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tx.try_send(line.to_vec()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Rate limiter that counts the lines of the current window.
struct RateLimiter {
    window_start: Instant,
    lines: u64,
    max_lines_per_s: u64,
}

impl RateLimiter {
    /// Counts a line; returns whether it may be written.
    fn try_acquire(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= self.max_lines_per_s
    }
}

/// Writes queued lines, at most `max_lines_per_s` per second of `clock`, until all senders are dropped.
///
/// Adds a line with the number of dropped lines after lines were dropped.
pub fn write_lines(
    rx: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    max_lines_per_s: u64,
    clock: &dyn Fn() -> Instant,
    out: &mut dyn Write,
) {
    let mut rate_limiter = RateLimiter { window_start: clock(), lines: 0, max_lines_per_s };
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let now = clock();
        let mut batch = Vec::new();
        for line in std::iter::once(first).chain(rx.try_iter().take(MAX_BATCH_LINES - 1)) {
            if rate_limiter.try_acquire(now) {
                batch.extend_from_slice(&line);
            } else {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported && !batch.is_empty() {
            let line = json!({ "level": "WARN", "message": "log lines dropped", "dropped": total - reported });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
            reported = total;
        }
        // Once standard output is closed there is no place left to report the error.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}

/// Formats a record as one line of the log.
fn format_record(record: &log::Record<'_>, vm: &str, now: SystemTime) -> serde_json::Value {
    let since: Duration = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("unix_ms".into(), json!(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("vm".into(), json!(vm));
    fields.0.insert("message".into(), json!(record.args().to_string()));
    // A field that can't be formatted is left out so that the rest of the line is still logged.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

/// Collector of the fields of a record.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_borrowed_str()) {
            (Some(number), _) => json!(number),
            (None, Some(text)) => json!(text),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
