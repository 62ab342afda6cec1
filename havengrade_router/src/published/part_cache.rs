//! Texts that are bytes once for all VMs that ask for them.

use std::io;

use bytes::Bytes;

/// A cached and the revision of what it says.
pub(super) type CachedPart = Option<(u64, Bytes)>;

/// The texts that were bytes last; each is bytes once, since many VMs ask at the same time.
#[derive(Debug, Default)]
pub(super) struct PartCache {
    pub(super) operators: CachedPart,
    pub(super) endpoints: CachedPart,
    pub(super) vms: CachedPart,
}

/// The cached of a revision, bytes unless it was the last one.
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
