//! Parts of the active state, encoded for the transfer between VMs.

use std::{
    io::{self, Read as _, Write as _},
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use havengrade_core::published::{
    directory::DirectoryEvent, emptied_domains::DomainEvent, peers::Peer, rollout::RolloutOrder, route::Publication,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    published::{context::PublishedContext, part_cache::get_or_encode},
    shared::lock,
};

/// Largest decompressed part, in bytes: thirty times the store's largest record, or 40,000 endpoints.
const MAX_INFLATED_BYTES: u64 = 8 << 20;

/// Operators' changes: the active configuration, the roll-out orders, and the emptied failure domains.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OperatorsPart {
    pub(super) publication: Publication,
    pub(super) orders: Vec<RolloutOrder>,
    pub(super) domains: DomainEvent,
    /// Whether `publication` is older than the newest configuration, which the sender can't decode.
    #[serde(default)]
    pub(super) is_config_unreadable: bool,
}

/// The endpoint list, or changes of it.
pub(super) type EndpointsPart = Vec<DirectoryEvent>;

/// The known VMs, each with the time since its last report.
pub(super) type VmsPart = Vec<(Peer, Duration)>;

/// Encodes the operators' changes up to a position.
pub(super) fn encode_operators_part(cx: &PublishedContext, position: u64) -> io::Result<Bytes> {
    let mut cache = lock(&cx.shared.part_cache);
    get_or_encode(&mut cache.operators, position, || {
        let orders = cx.shared.rollouts().orders().cloned().collect();
        let domains = cx.shared.emptied_domains.load().snapshot();
        let publication = cx.shared.routes.load().publication().clone();
        let is_config_unreadable = cx.shared.store.view().is_config_unreadable;
        deflate_json(&OperatorsPart { publication, orders, domains, is_config_unreadable })
    })
}

/// Encodes the complete endpoint list at a revision.
pub(super) fn encode_endpoints_part(cx: &PublishedContext, revision: u64) -> io::Result<Bytes> {
    let (listed, is_restoring) = {
        let view = cx.shared.store.view();
        (view.listed_endpoints.clone(), view.is_restoring)
    };
    let event = if is_restoring { DirectoryEvent::Restored } else { DirectoryEvent::All };
    let mut cache = lock(&cx.shared.part_cache);
    get_or_encode(&mut cache.endpoints, revision, || deflate_json(&vec![event(listed.to_vec())]))
}

/// Encodes the known VMs.
pub(super) fn encode_vms_part(cx: &PublishedContext) -> io::Result<Bytes> {
    let now = cx.shared.clock.now();
    let (revision, known_peers) = {
        let peers = cx.shared.peers();
        (peers.revision(), peers.known_peers(now))
    };
    let mut cache = lock(&cx.shared.part_cache);
    get_or_encode(&mut cache.vms, revision, || deflate_json(&known_peers))
}

/// Serializes a part as compressed JSON.
pub(super) fn deflate_json<T: Serialize>(part: &T) -> io::Result<Bytes> {
    let mut deflated = DeflateEncoder::new(Vec::new(), Compression::fast());
    deflated.write_all(&serde_json::to_vec(part)?)?;
    deflated.finish().map(Bytes::from)
}

/// Deserializes a part from compressed JSON.
pub(super) fn inflate_json<T: DeserializeOwned>(deflated: &[u8]) -> Result<T, serde_json::Error> {
    let mut text = Vec::new();
    let read = DeflateDecoder::new(deflated).take(MAX_INFLATED_BYTES).read_to_end(&mut text);
    read.map_err(serde_json::Error::io)?;
    serde_json::from_slice(&text)
}
