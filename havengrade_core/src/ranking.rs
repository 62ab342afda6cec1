//! Pseudo-random orders of VMs or endpoints that every VM computes alike, whatever its build.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Terminates each text, so that no two lists of texts give the same bytes; the byte does not occur in UTF-8.
const TERMINATOR: u8 = 0xff;

/// The rank of a list of texts in a uniformly distributed order, the same in every build.
///
/// The hash is fast and not keyed: whoever can choose the texts can choose the rank.
///
/// ```
/// use havengrade_core::ranking::rank;
///
/// assert_eq!(rank(&["part", "e1"]), rank(&["part", "e1"]));
/// assert_ne!(rank(&["part", "e1"]), rank(&["parte", "1"]));
/// ```
pub fn rank(texts: &[&str]) -> u64 {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write(text.as_bytes());
        hasher.write_u8(TERMINATOR);
    }
    hasher.finish()
}
