//! Texts that are written once for all VMs that ask for them.

use std::io;

use bytes::Bytes;

/// A text and the revision of what it says.
pub(super) type Text = Option<(u64, Bytes)>;

/// The texts that were written last; each is written once, since many VMs ask at the same time.
#[derive(Debug, Default)]
pub(super) struct WrittenParts {
    pub(super) operators: Text,
    pub(super) endpoints: Text,
    pub(super) vms: Text,
}

/// The text of a revision, written unless it was the last one.
pub(super) fn once(text: &mut Text, revision: u64, write: impl FnOnce() -> io::Result<Bytes>) -> io::Result<Bytes> {
    if let Some((_, written)) = text.as_ref().filter(|(at, _)| *at == revision) {
        return Ok(written.clone());
    }
    let written = write()?;
    *text = Some((revision, written.clone()));
    Ok(written)
}
