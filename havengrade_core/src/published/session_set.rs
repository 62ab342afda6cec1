//! Sessions of a report in few bytes, grouped by their versions.

use std::{collections::BTreeMap, time::Duration};

use crate::published::{directory::SoftwareVersion, session_affinity::SessionAffinity};

/// Bytes of a session's fingerprint.
const FINGERPRINT_BYTES: usize = 8;
/// Bytes of a session. The last three are the milliseconds since it was last served, up to 4.6 h.
const SESSION_BYTES: usize = 11;
/// Longest time in milliseconds that three bytes hold.
const MAX_USED_MS: u64 = 0xff_ffff;

/// Packs sessions by version, in 11 bytes each.
///
/// ```
/// use std::time::Duration;
///
/// use havengrade_core::published::{
///     rollout::SessionAffinity,
///     session_set::{pack_sessions, unpack_sessions},
/// };
///
/// let affinity = SessionAffinity { session: u64::MAX - 1, version: "v2".into(), used_ago: Duration::from_millis(70_000) };
/// let sets = pack_sessions(std::slice::from_ref(&affinity));
/// assert_eq!(sets[0].1.len(), 11);
/// assert_eq!(unpack_sessions("v2", &sets[0].1), [affinity]);
/// ```
pub fn pack_sessions(sessions: &[SessionAffinity]) -> Vec<(SoftwareVersion, Vec<u8>)> {
    let mut by_version: BTreeMap<&SoftwareVersion, Vec<u8>> = BTreeMap::new();
    for affinity in sessions {
        let entries = by_version.entry(&affinity.version).or_default();
        let used_ms = u64::try_from(affinity.used_ago.as_millis()).unwrap_or(MAX_USED_MS).min(MAX_USED_MS);
        entries.extend(affinity.session.to_be_bytes());
        entries.extend(used_ms.to_be_bytes().into_iter().skip(2 * FINGERPRINT_BYTES - SESSION_BYTES));
    }
    by_version.into_iter().map(|(version, entries)| (version.clone(), entries)).collect()
}

/// Unpacks the sessions of a version; an incomplete one at the end is ignored.
///
/// ```
/// use havengrade_core::published::session_set::unpack_sessions;
///
/// assert!(unpack_sessions("v2", &[0; 10]).is_empty());
/// ```
pub fn unpack_sessions(version: &str, entries: &[u8]) -> Vec<SessionAffinity> {
    let number = |bytes: &[u8]| bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte));
    let unpack = |entry: &[u8; SESSION_BYTES]| {
        let (session, used_ms) = entry.split_at(FINGERPRINT_BYTES);
        SessionAffinity {
            session: number(session),
            version: version.to_owned(),
            used_ago: Duration::from_millis(number(used_ms)),
        }
    };
    entries.as_chunks().0.iter().map(unpack).collect()
}
