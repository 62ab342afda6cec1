//! The parts of what is in force, as texts that one VM hands on to another.

use std::{
    io::{self, Read as _, Write as _},
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use havengrade_core::published::{directory::DirectoryEvent, peers::Peer, rollout::RolloutOrder, route::Publication};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{published::context::PublishedContext, shared::lock};

/// Largest text of a part once it is inflated, in bytes: thirty times the store's largest record, or 40,000 endpoints.
const MAX_INFLATED: u64 = 8 << 20;

/// What operators wrote: the configuration in force and the orders to roll out.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OperatorsPart {
    pub(super) publication: Publication,
    pub(super) orders: Vec<RolloutOrder>,
}

/// The list of endpoints, or its changes.
pub(super) type EndpointsPart = Vec<DirectoryEvent>;

/// The VMs that are known, each with the time since it was heard from.
pub(super) type VmsPart = Vec<(Peer, Duration)>;

/// A text and the revision of what it says.
type Text = Option<(u64, Bytes)>;

/// The texts that were written last; each is written once, since many VMs ask at the same time.
#[derive(Debug, Default)]
pub(super) struct WrittenParts {
    operators: Text,
    endpoints: Text,
    vms: Text,
}

/// The text of what operators wrote up to a position.
pub(super) fn operators_text(cx: &PublishedContext, position: u64) -> io::Result<Bytes> {
    let mut written = lock(&cx.shared.written);
    once(&mut written.operators, position, || {
        let orders = cx.shared.rollouts().orders().cloned().collect();
        deflate(&OperatorsPart { publication: cx.shared.routes.load().publication().clone(), orders })
    })
}

/// The text of the whole list of endpoints at a revision.
pub(super) fn endpoints_text(cx: &PublishedContext, revision: u64) -> io::Result<Bytes> {
    let listed = cx.shared.view().listed.clone();
    let mut written = lock(&cx.shared.written);
    once(&mut written.endpoints, revision, || deflate(&vec![DirectoryEvent::All(listed.to_vec())]))
}

/// The text of the VMs that are known.
pub(super) fn vms_text(cx: &PublishedContext) -> io::Result<Bytes> {
    let now = cx.shared.clock.now();
    let (revision, told) = {
        let peers = cx.shared.peers();
        (peers.revision(), peers.told(now))
    };
    let mut written = lock(&cx.shared.written);
    once(&mut written.vms, revision, || deflate(&told))
}

fn once(text: &mut Text, revision: u64, write: impl FnOnce() -> io::Result<Bytes>) -> io::Result<Bytes> {
    if let Some((_, written)) = text.as_ref().filter(|(at, _)| *at == revision) {
        return Ok(written.clone());
    }
    let written = write()?;
    *text = Some((revision, written.clone()));
    Ok(written)
}

/// Writes a part.
pub(super) fn deflate<T: Serialize>(part: &T) -> io::Result<Bytes> {
    let mut deflated = DeflateEncoder::new(Vec::new(), Compression::fast());
    deflated.write_all(&serde_json::to_vec(part)?)?;
    deflated.finish().map(Bytes::from)
}

/// Reads a part.
pub(super) fn inflate<T: DeserializeOwned>(deflated: &[u8]) -> Result<T, serde_json::Error> {
    let mut text = Vec::new();
    let read = DeflateDecoder::new(deflated).take(MAX_INFLATED).read_to_end(&mut text);
    read.map_err(serde_json::Error::io)?;
    serde_json::from_slice(&text)
}
