//! Times from outside the process, bounded so that calculations with the present time can't overflow.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest time that a record or a message may hold.
pub const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3600);

/// Deserializes a time of at most [`MAX_TIME`]; a longer one is shortened.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::{bounded_time::MAX_TIME, rollout::RolloutOrder};
///
/// let order = r#"{"service":"x","version":"v2","duration":{"secs":18446744073709551615,"nanos":0}}"#;
/// assert_eq!(serde_json::from_str::<RolloutOrder>(order).unwrap().duration, MAX_TIME);
/// ```
///
/// # Errors
///
/// The error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::deserialize(deserializer).map(|time| time.min(MAX_TIME))
}

/// Deserializes an optional time as [`deserialize`] does.
///
/// # Errors
///
/// The error of the deserializer.
pub fn deserialize_optional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    Ok(Option::<Duration>::deserialize(deserializer)?.map(|time| time.min(MAX_TIME)))
}
