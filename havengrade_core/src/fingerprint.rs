//! What a request is known by over all its repeats, at every VM.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// What a request is known by: the same for each repeat, whichever id its caller gives it.
pub type RequestFingerprint = u64;

/// What a version of endpoints is known by.
pub type VersionFingerprint = u64;

/// The fingerprint of a request with these parts (path, client account, body and the like), the same in every build.
///
/// It is quick and not secret: who can choose a part can choose the fingerprint. A part that others can't choose, such as the name of
/// the client account, keeps the fingerprints of their requests apart up to chance.
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
