//! Published routes over the router's own configuration: what it follows, and whom it tells.
//!
//! Every VM replays the configuration itself, so that reading it costs nothing.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    config::Config,
    fingerprint::RequestFingerprint,
    membership::ListedVm,
    published::{
        directory::DirectoryEvent,
        from_config::{endpoints, publication},
        peers::Peer,
        rollout::RolloutStatus,
        route::CallerLimits,
    },
    quarantine::{QuarantineEntry, next_trial},
    secret,
};
use hyper::{HeaderMap, StatusCode};
use tokio::time::{Instant, sleep};

use crate::{
    kernel::Context,
    platform::VmList,
    published::{
        dialect::OwnDialect,
        ports::{
            AnswerHead, Dialect, Feed, ForwardAttributes, NotDoneSnafu, OperatorEvent, Ports, QuarantineList,
            ReplacedVersion, RequestAttributes, RolloutStore, Roster, StoreError, WriteOutcome,
        },
    },
    shared::Shared,
};

/// Time between two looks at whether the configuration has changed.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// The ports of published routes over the configuration that a router's services replay.
pub fn ports(cx: &Context) -> Ports {
    Ports {
        dialect: Box::new(ConfiguredDialect { own: OwnDialect, shared: cx.shared.clone() }),
        operators: Box::new(ConfigFeed::new(cx.shared.clone(), published)),
        endpoints: Box::new(ConfigFeed::new(cx.shared.clone(), listed)),
        statuses: Box::new(NoRollouts),
        quarantine: Arc::new(ToldOnly),
        roster: Box::new(ListedVms(cx.vm_list.clone())),
        uses_state_transfer: false,
    }
}

/// The router's own dialect, for callers and endpoints that don't know it.
///
/// Callers may leave the id of their attempt to the router, and their keys are known by their digests, as accounts
/// are configured. Endpoints neither echo the id nor sign their answers; where one echoes it, it must be the right one.
struct ConfiguredDialect {
    own: OwnDialect,
    shared: Arc<Shared>,
}

impl Dialect for ConfiguredDialect {
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes {
        let facts = self.own.decode_request(headers);
        let id = facts.id.or_else(|| Some(self.shared.new_request_id()));
        let key = facts.key.map(|key| secret::digest_hex(key.as_bytes()));
        RequestAttributes { id, key, ..facts }
    }

    fn encode_request(&self, headers: &mut HeaderMap, order: &ForwardAttributes<'_>) {
        self.own.encode_request(headers, order);
    }

    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead { is_authentic: true, ..self.own.decode_answer(status, headers) }
    }

    fn strip_answer(&self, headers: &mut HeaderMap) {
        self.own.strip_answer(headers);
    }
}

/// Follows one part of the configuration in force; each change of the configuration is one event.
struct ConfigFeed<T> {
    shared: Arc<Shared>,
    position: Option<u64>,
    part: fn(&Config, &Shared) -> T,
}

impl<T> ConfigFeed<T> {
    fn new(shared: Arc<Shared>, part: fn(&Config, &Shared) -> T) -> Self {
        Self { shared, position: None, part }
    }
}

#[async_trait]
impl<T: Send> Feed<T> for ConfigFeed<T> {
    async fn next(&mut self, wait: Duration) -> Result<Vec<T>, StoreError> {
        let until = Instant::now() + wait;
        loop {
            if !self.shared.is_caught_up() {
                return NotDoneSnafu { reason: "the configuration is not replayed yet" }.fail();
            }
            let catalog = self.shared.catalog.load_full();
            let position = catalog.config.revision.map_or(0, |offset| offset + 1);
            if self.position != Some(position) {
                self.position = Some(position);
                return Ok(vec![(self.part)(&catalog.config, &self.shared)]);
            }
            if Instant::now() >= until {
                return Ok(Vec::new());
            }
            sleep(LOOK_EVERY).await;
        }
    }

    fn position(&self) -> Option<u64> {
        self.position
    }

    fn advance(&mut self, _position: u64) {
        // What other VMs have replayed, this one replays itself.
    }

    fn confirmed_at(&self, asked: SystemTime) -> Option<SystemTime> {
        Some(self.shared.confirmed().min(asked))
    }
}

fn published(cfg: &Config, shared: &Shared) -> OperatorEvent {
    OperatorEvent::Publication(publication(cfg, caller_limits(shared)))
}

fn listed(cfg: &Config, _shared: &Shared) -> DirectoryEvent {
    DirectoryEvent::All(endpoints(cfg))
}

/// Limits on what callers may send, as the settings name them.
fn caller_limits(shared: &Shared) -> CallerLimits {
    let limits = &shared.settings.limits;
    CallerLimits {
        header_bytes: limits.max_header_bytes,
        body_bytes: limits.max_body_bytes,
        header_timeout: Duration::from_millis(limits.read_timeout_ms),
        ..CallerLimits::default()
    }
}

/// Plain services are not rolled out by the router's own configuration.
struct NoRollouts;

#[async_trait]
impl RolloutStore for NoRollouts {
    async fn read(&mut self) -> Result<Vec<RolloutStatus>, StoreError> {
        Ok(Vec::new())
    }

    async fn read_all(&mut self) -> Result<Vec<RolloutStatus>, StoreError> {
        Ok(Vec::new())
    }

    async fn write(&mut self, _status: &RolloutStatus) -> Result<WriteOutcome, StoreError> {
        NotDoneSnafu { reason: "no roll-out of a plain service can be ordered here" }.fail()
    }

    async fn save_replaced_version(&mut self, _known: &ReplacedVersion) -> Result<(), StoreError> {
        NotDoneSnafu { reason: "no roll-out of a plain service can be ordered here" }.fail()
    }

    async fn read_replaced_versions(&mut self) -> Result<Vec<ReplacedVersion>, StoreError> {
        Ok(Vec::new())
    }
}

/// Requests that are held back are known to VMs that live, which tell each other; here no list outlasts them all.
struct ToldOnly;

#[async_trait]
impl QuarantineList for ToldOnly {
    async fn read(&self) -> Result<Vec<QuarantineEntry>, StoreError> {
        Ok(Vec::new())
    }

    async fn add(&self, _hold: &QuarantineEntry) -> Result<(), StoreError> {
        Ok(())
    }

    async fn release(&self, _mark: RequestFingerprint) -> Result<(), StoreError> {
        Ok(())
    }

    /// Others are told of the trial; two VMs that begin one at the same moment both make it.
    async fn claim_trial(
        &self,
        hold: &QuarantineEntry,
        now: SystemTime,
    ) -> Result<Option<QuarantineEntry>, StoreError> {
        Ok(next_trial(&[*hold], hold, now))
    }
}

/// The platform's list of VMs, which enters and takes out VMs by itself.
struct ListedVms(Arc<dyn VmList>);

#[async_trait]
impl Roster for ListedVms {
    async fn register(&self, _peer: &Peer) -> Result<(), StoreError> {
        Ok(())
    }

    async fn deregister(&self, _vm: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Peer>, StoreError> {
        let listing = self.0.read().await.or_else(|error| NotDoneSnafu { reason: error.to_string() }.fail())?;
        // The list does not tell runs of a process; a VM's first report does.
        let peers = listing.entries.into_iter().filter(|vm| !vm.leaving);
        let peer = |vm: ListedVm| Peer {
            vm: vm.id,
            incarnation: 0,
            address: vm.peer_address,
            failure_domain: vm.failure_domain,
        };
        Ok(peers.map(peer).collect())
    }
}
