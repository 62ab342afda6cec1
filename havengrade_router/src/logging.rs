//! Logs as JSON lines on standard output, through a bounded queue that never makes anyone wait.

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

/// Lines that are written out together.
const MAX_BATCH: usize = 64;
/// Time over which lines are counted for the limit on their rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Writes records of the set level and above, each with the name of the VM.
pub fn init(settings: &LoggingSettings, vm: &str) {
    let (tx, rx) = sync_channel(settings.queue_lines);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = LineWriter { tx, dropped: dropped.clone() };
    let limit = settings.max_lines_per_s;
    let spawned = thread::Builder::new().name("log".into()).spawn(move || {
        write_lines(&rx, &dropped, limit, &Instant::now, &mut io::stdout());
    });
    if let Err(error) = spawned {
        eprintln!("no thread for logs: {error}");
        return;
    }
    let vm = vm.to_owned();
    let builder = Builder::new()
        // The level in force is the one below, which may change while the program runs.
        .filter_level(LevelFilter::Trace)
        .target(Target::Pipe(Box::new(writer)))
        .format(move |f, record| {
            let line = line(record, &vm, SystemTime::now());
            writeln!(f, "{line}")
        })
        .try_init();
    if builder.is_err() {
        eprintln!("logs are written by another logger");
    }
    set_level(settings);
}

/// Puts the set level in force.
pub fn set_level(settings: &LoggingSettings) {
    log::set_max_level(settings.level.parse().unwrap_or(LevelFilter::Info));
}

/// Hands lines to the thread that writes them; a line that finds the queue full is dropped and counted.
pub struct LineWriter {
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// A writer with room for so many lines, what it hands on, and the count of what it drops.
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

/// Lines of the present second.
struct Rate {
    began: Instant,
    lines: u64,
    max_lines_per_s: u64,
}

impl Rate {
    /// Counts a line; tells whether it may be written.
    fn allows(&mut self, now: Instant) -> bool {
        if now.duration_since(self.began) >= RATE_WINDOW {
            self.began = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= self.max_lines_per_s
    }
}

/// Writes lines out, at most so many a second by `clock`, until nobody hands any on; tells of those that were
/// dropped.
pub fn write_lines(
    rx: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    max_lines_per_s: u64,
    clock: &dyn Fn() -> Instant,
    out: &mut dyn Write,
) {
    let mut rate = Rate { began: clock(), lines: 0, max_lines_per_s };
    let mut told = 0;
    while let Ok(first) = rx.recv() {
        let now = clock();
        let mut batch = Vec::new();
        for line in std::iter::once(first).chain(rx.try_iter().take(MAX_BATCH - 1)) {
            if rate.allows(now) {
                batch.extend_from_slice(&line);
            } else {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > told && !batch.is_empty() {
            let line = json!({ "level": "WARN", "message": "log lines dropped", "dropped": lost - told });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
            told = lost;
        }
        // Where standard output is gone there is nobody left to tell.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}

/// One line of the log.
fn line(record: &log::Record<'_>, vm: &str, now: SystemTime) -> serde_json::Value {
    let since: Duration = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("unix_ms".into(), json!(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("vm".into(), json!(vm));
    fields.0.insert("message".into(), json!(record.args().to_string()));
    // A field that can't be written is left out; the rest of the line is worth more than an error.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

/// Collects the fields of a record.
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
