//! SHA-256 digests: of keys, which are compared in constant time, and for uniform hashing.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Bytes of a SHA-256 digest.
pub const DIGEST_LEN: usize = 32;

/// A SHA-256 digest.
pub type Digest = [u8; DIGEST_LEN];

/// The digest of a key or a body.
///
/// ```
/// let digest = havengrade_core::secret::digest(b"gate.s3cret");
/// assert_eq!(havengrade_core::secret::parse_digest(&hex::encode(digest)), Some(digest));
/// ```
pub fn digest(secret: &[u8]) -> Digest {
    Sha256::digest(secret).into()
}

/// The digest of a secret in hexadecimal.
///
/// ```
/// use havengrade_core::secret::{digest_hex, parse_digest};
///
/// assert!(parse_digest(&digest_hex(b"key")).is_some());
/// ```
pub fn digest_hex(secret: &[u8]) -> String {
    hex::encode(digest(secret))
}

/// Parses a digest from 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    hex::decode_to_slice(text, &mut digest).ok()?;
    Some(digest)
}

/// Whether the secret has the given digest in hexadecimal, compared in constant time.
///
/// A digest that cannot be parsed matches nothing and takes as long to reject.
///
/// ```
/// use havengrade_core::secret;
///
/// let stored = hex::encode(secret::digest(b"gate.s3cret"));
/// assert!(secret::matches("gate.s3cret", &stored));
/// assert!(!secret::matches("gate.guess", &stored));
/// ```
pub fn matches(secret: &str, digest_hex: &str) -> bool {
    let parsed = parse_digest(digest_hex);
    let stored = parsed.unwrap_or_default();
    let same: bool = digest(secret.as_bytes()).ct_eq(&stored).into();
    same && parsed.is_some()
}

/// A uniformly distributed hash of the parts, the same on every VM and in every build.
///
/// ```
/// use havengrade_core::secret::uniform_hash;
///
/// assert_eq!(uniform_hash(&["a", "b"]), uniform_hash(&["a", "b"]));
/// assert_ne!(uniform_hash(&["ab", ""]), uniform_hash(&["a", "b"]));
/// ```
pub fn uniform_hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest: Digest = hasher.finalize().into();
    let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
    u64::from_le_bytes(*first)
}
