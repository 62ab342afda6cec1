//! Fingerprints of requests and endpoint versions, which every VM and every build computes alike.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Identifies a request by its content, so that all repeats share it whichever id the caller gives them.
pub type RequestFingerprint = u64;

/// Identifies a part of prompts by its id, whichever requests contain it.
pub type PartFingerprint = u64;

/// Identifies what the quarantine judges: a request, or a part of prompts.
pub type SubjectFingerprint = u64;

/// Identifies a software version of endpoints.
pub type VersionFingerprint = u64;

/// Identifies an endpoint by its address.
pub type EndpointFingerprint = u64;

/// The fingerprint of a request with these parts (path, client account, body and the like), the same in every build.
///
/// The hash is fast and not keyed: whoever can choose a part can produce collisions. A part that others can't choose,
/// such as the name of the client account, keeps the fingerprints of different accounts apart except by chance.
///
/// ```
/// use havengrade_core::fingerprint::fingerprint;
///
/// assert_eq!(fingerprint(&[b"/read/", b"body"]), fingerprint(&[b"/read/", b"body"]));
/// assert_ne!(fingerprint(&[b"/read/", b"body"]), fingerprint(&[b"/read/b", b"ody"]));
/// ```
pub fn fingerprint(parts: &[&[u8]]) -> RequestFingerprint {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// The fingerprint of a part of prompts with this id. It is never that of a request, which has more parts.
///
/// ```
/// use havengrade_core::fingerprint::prompt_part_fingerprint;
///
/// assert_eq!(prompt_part_fingerprint("5c1e07a2"), prompt_part_fingerprint("5c1e07a2"));
/// assert_ne!(prompt_part_fingerprint("5c1e07a2"), prompt_part_fingerprint("91bd3f06"));
/// ```
pub fn prompt_part_fingerprint(id: &str) -> PartFingerprint {
    fingerprint(&[b"prompt part", id.as_bytes()])
}
