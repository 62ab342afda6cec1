//! Reconstructs the outcome of a request from the logs of several VMs.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Time before the first line of a request from which VM events are shown, in milliseconds.
const VM_EVENT_WINDOW_MS: u64 = 15_000;
/// Maximum number of VM events that are shown; the latest ones are kept.
const MAX_VM_EVENTS: usize = 6;

/// A parsed line of a log.
struct LogLine {
    unix_ms: u64,
    vm: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. A prefix before the first brace, such as a timestamp or a host name, is skipped.
    fn parse(text: &str) -> Option<Self> {
        let json = text.get(text.find('{')?..)?;
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let unix_ms = fields.remove("unix_ms")?.as_u64()?;
        let mut take_string = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => text,
            _ => String::new(),
        };
        let (vm, message) = (take_string("vm"), take_string("message"));
        fields.remove("level");
        Some(Self { unix_ms, vm, message, fields })
    }

    fn string(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    fn belongs_to(&self, request: &str) -> bool {
        self.string("request") == request
    }

    /// Whether the line reports an event of the VM itself, such as a change of its endpoint list, not of a request.
    fn is_vm_event(&self) -> bool {
        !self.fields.contains_key("request")
    }
}

/// Formats the log lines of a request in order of time, the preceding events of the VMs that handled it, and the cause
/// of its outcome as a sentence.
///
/// ```
/// use havengrade_ctl::explain::explain;
///
/// let log = r#"{"unix_ms":5,"vm":"a","message":"request refused","request":"r1","reason":"no_route","version":3}"#;
/// assert!(explain(log, "r1").contains("no route has its host and path in version 3"));
/// assert!(explain(log, "r2").contains("no line"));
/// ```
pub fn explain(logs: &str, request: &str) -> String {
    let mut lines: Vec<LogLine> = logs.lines().filter_map(LogLine::parse).collect();
    lines.sort_by_key(|line| line.unix_ms);
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| line.belongs_to(request)).collect();
    let Some((first, last)) = request_lines.first().zip(request_lines.last()) else {
        return format!("{request}: no line in these logs; it reached none of their VMs, or its lines were dropped\n");
    };
    let mut out = String::new();
    for event in recent_vm_events(&lines, &request_lines, first.unix_ms) {
        write_line(&mut out, event, first.unix_ms, "  believed ");
    }
    for line in &request_lines {
        write_line(&mut out, line, first.unix_ms, "");
    }
    // Writing to a string does not fail.
    let _ = writeln!(out, "cause: {}", describe_outcome(&request_lines, last));
    out
}

/// Returns the latest events, before the first line of the request, of the VMs that handled it.
fn recent_vm_events<'a>(lines: &'a [LogLine], request_lines: &[&LogLine], from_ms: u64) -> Vec<&'a LogLine> {
    let is_recent_event =
        |line: &&LogLine| line.is_vm_event() && line.unix_ms <= from_ms && line.unix_ms + VM_EVENT_WINDOW_MS >= from_ms;
    let is_same_vm = |line: &&LogLine| request_lines.iter().any(|request_line| request_line.vm == line.vm);
    let mut recent: Vec<&LogLine> = lines.iter().filter(is_recent_event).filter(is_same_vm).collect();
    let surplus = recent.len().saturating_sub(MAX_VM_EVENTS);
    recent.drain(..surplus);
    recent
}

/// Appends a line with its time relative to `from_ms`.
fn write_line(out: &mut String, line: &LogLine, from_ms: u64, prefix: &str) {
    let offset_ms = i128::from(line.unix_ms) - i128::from(from_ms);
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={}", format_value(value))).collect();
    // Writing to a string does not fail.
    let _ = writeln!(out, "{offset_ms:>+7} ms  {}  {prefix}{}  {}", line.vm, line.message, fields.join(" "));
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Describes the outcome of a request from its last line, with the attempts that failed before it.
fn describe_outcome(request_lines: &[&LogLine], last: &LogLine) -> String {
    let attempts: Vec<&str> =
        request_lines.iter().filter_map(|line| line.message.strip_prefix("try failed: ")).collect();
    let failed_attempts =
        if attempts.is_empty() { String::new() } else { format!(", after tries that failed: {}", attempts.join("; ")) };
    if last.message == "request refused" {
        return format!("refused: {}{failed_attempts}", describe_refusal(last));
    }
    if last.message == "request answered" {
        let (status, took) = (last.number("status"), last.number("took_ms"));
        let by = format!("endpoint {} of version {}", last.string("endpoint"), last.string("version"));
        return format!("{by} answered {status} after {took} ms{failed_attempts}");
    }
    if last.message == "the caller left before an answer" {
        return format!("its caller left after {} ms, before an answer{failed_attempts}", last.number("held_ms"));
    }
    if let Some(outcome) = last.message.strip_prefix("stream ended: ") {
        let (first, took, resumed) = (last.number("first_event_ms"), last.number("took_ms"), last.number("resumed"));
        return format!(
            "{outcome} after {took} ms; first event after {first} ms, taken up again {resumed} times{failed_attempts}"
        );
    }
    format!("its last line does not end it ({}); the process may have ended{failed_attempts}", last.message)
}

/// Describes why a request was refused, from its refusal line.
fn describe_refusal(line: &LogLine) -> String {
    let (version, age, held) = (line.number("version"), line.number("config_age_ms"), line.number("held_ms"));
    match line.string("reason") {
        "no_route" => format!("no route has its host and path in version {version}"),
        "unknown_key" => format!("its key belongs to no client account in version {version}"),
        "stale_configuration" => {
            format!("version {version} was confirmed {age} ms ago, too long to trust keys or routes")
        },
        "starting" => "the VM did not know the configuration yet".into(),
        "stopping" => "the VM was about to stop and could have cut its answer off".into(),
        "bad_version" => "the only version that was there was found to be bad; it did not run".to_owned(),
        "quarantined" => "held back, since endpoints end under it; it did not run".to_owned(),
        "domain_emptied" => {
            "all endpoints that could serve it stand in failure domains that operators have emptied; it did not run"
                .into()
        },
        "endpoints_at_limit" => {
            "each endpoint that could serve it is cold, at the limit that it named, or at rest; it did not run".into()
        },
        "endpoints_leave" => "each endpoint that could serve it has said that it leaves; it did not run".into(),
        "session_version_gone" => "the version of its session was replaced; it did not run".to_owned(),
        "shortage" => {
            "the endpoints were short of capacity, and other requests were served first; it did not run".into()
        },
        "no_endpoint" => format!("no endpoint took it within {held} ms; it did not run"),
        "no_time_left" => format!("its time was over after {held} ms before an endpoint took it; it did not run"),
        "failed_after_run" => {
            "the endpoint ran it and answered with a status that means \"not run\"; it must not run again".into()
        },
        "lost" => format!("it was sent, and no answer came; given up after {held} ms, it may have run"),
        "timed_out" => format!("no answer came within its time of {held} ms; it may have run"),
        "malformed" => "its head or body can be read in more than one way".into(),
        "too_large" => "its body is larger than the limit".into(),
        other => format!("for the reason {other:?}, which this program does not know"),
    }
}
