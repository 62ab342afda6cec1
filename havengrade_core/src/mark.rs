//! What a request is known by over all its repeats, at every VM.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// What a request is known by: the same for each repeat, whichever id its caller gives it.
pub type RequestMark = u64;

/// What a version of endpoints is known by.
pub type VersionMark = u64;

/// The mark of a request with these parts (path, client account, body and the like), the same in every build.
///
/// It is quick and not secret: who can choose a part can choose the mark. A part that others can't choose, such as the name of
/// the client account, keeps the marks of their requests apart up to chance.
///
/// ```
/// use havengrade_core::mark::mark;
///
/// assert_eq!(mark(&[b"/read/", b"body"]), mark(&[b"/read/", b"body"]));
/// assert_ne!(mark(&[b"/read/", b"body"]), mark(&[b"/read/b", b"ody"]));
/// ```
pub fn mark(parts: &[&[u8]]) -> RequestMark {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}
