//! Logs as JSON lines.

use std::{
    io::{self, Write as _},
    time::{Duration, SystemTime},
};

use env_logger::{Builder, Target};
use log::{
    LevelFilter,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

/// Writes records of this level and above to standard error, one JSON object a line.
pub fn init(level: LevelFilter) {
    let builder = Builder::new()
        .filter_level(level)
        .target(Target::Stderr)
        .format(|f, record| {
            let line = line(record, SystemTime::now());
            writeln!(f, "{line}")
        })
        .try_init();
    if builder.is_err() {
        let _ = writeln!(io::stderr(), "logs are written by another logger");
    }
}

/// One line of the log.
fn line(record: &log::Record<'_>, now: SystemTime) -> serde_json::Value {
    let since: Duration = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("unix_ms".into(), json!(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("target".into(), json!(record.target()));
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
