//! Cache of encoded state parts, so that each is encoded once for all VMs that ask for it.

use std::io;

use bytes::Bytes;

/// An encoded part and the revision of its content.
pub(super) type CachedPart = Option<(u64, Bytes)>;

/// The parts that were encoded last; many VMs ask for them at the same time.
#[derive(Debug, Default)]
pub(super) struct PartCache {
    pub(super) operators: CachedPart,
    pub(super) endpoints: CachedPart,
    pub(super) vms: CachedPart,
}

/// The part at a revision, encoded anew unless the cached one has that revision.
pub(super) fn get_or_encode(
    cached: &mut CachedPart,
    revision: u64,
    encode: impl FnOnce() -> io::Result<Bytes>,
) -> io::Result<Bytes> {
    if let Some((_, bytes)) = cached.as_ref().filter(|(at, _)| *at == revision) {
        return Ok(bytes.clone());
    }
    let bytes = encode()?;
    *cached = Some((revision, bytes.clone()));
    Ok(bytes)
}
