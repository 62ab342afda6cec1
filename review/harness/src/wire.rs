//! Names on the wire, kept in a data file: the code of the review holds none of the platform's own.

use std::sync::LazyLock;

use serde_json::Value;

static WIRE: LazyLock<Value> = LazyLock::new(|| serde_json::from_str(include_str!("../wire.json")).unwrap_or_default());

/// A name on the wire.
pub(crate) fn name(of: &str) -> &'static str {
    WIRE.get(of).and_then(Value::as_str).unwrap_or_default()
}

/// The configuration that all cases begin with.
pub(crate) fn config() -> Value {
    WIRE.get("config").cloned().unwrap_or_default()
}
