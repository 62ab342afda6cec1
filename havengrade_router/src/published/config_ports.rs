//! Ports of published routes over the router's own configuration.
//!
//! Every VM replays the configuration itself, so reading it is free.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    config::Config,
    fingerprint::SubjectFingerprint,
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
        dialect::HavengradeDialect,
        ports::{
            AnswerHead, Dialect, Feed, ForwardAttributes, NotDoneSnafu, OperatorEvent, Ports, QuarantineList,
            ReplacedVersion, RequestAttributes, RolloutStore, Roster, StoreError, WriteOutcome,
        },
    },
    shared::SharedState,
};

/// Interval between two checks whether the configuration has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the ports of published routes over the configuration that a router's services replay.
pub fn ports(cx: &Context) -> Ports {
    Ports {
        dialect: Box::new(ConfigDialect { own: HavengradeDialect, shared: cx.shared.clone() }),
        operators: Box::new(ConfigFeed::new(cx.shared.clone(), publication_event)),
        endpoints: Box::new(ConfigFeed::new(cx.shared.clone(), endpoints_event)),
        statuses: Box::new(NoRollouts),
        quarantine: Arc::new(UnstoredQuarantine),
        roster: Box::new(PlatformRoster(cx.vm_list.clone())),
        uses_state_transfer: false,
    }
}

/// The router's own dialect, for callers and endpoints that don't know it.
///
/// Callers may omit the id of their attempt, and their keys are looked up by digest, as accounts are configured.
/// Endpoints neither echo the id nor sign their answers; if an endpoint echoes an id, it must be that of the request.
struct ConfigDialect {
    own: HavengradeDialect,
    shared: Arc<SharedState>,
}

impl Dialect for ConfigDialect {
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes {
        let attributes = self.own.decode_request(headers);
        let id = attributes.id.or_else(|| Some(self.shared.new_request_id()));
        let key = attributes.key.map(|key| secret::digest_hex(key.as_bytes()));
        RequestAttributes { id, key, ..attributes }
    }

    fn encode_request(&self, headers: &mut HeaderMap, attributes: &ForwardAttributes<'_>) {
        self.own.encode_request(headers, attributes);
    }

    fn encode_time_left(&self, headers: &mut HeaderMap, time_left: Duration) {
        HavengradeDialect.encode_time_left(headers, time_left);
    }

    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead { is_authentic: true, ..self.own.decode_answer(status, headers) }
    }

    fn strip_answer(&self, headers: &mut HeaderMap) {
        self.own.strip_answer(headers);
    }
}

/// Feed of one part of the active configuration, with one event for each change of the configuration.
struct ConfigFeed<T> {
    shared: Arc<SharedState>,
    position: Option<u64>,
    /// Time at which the configuration of the last read was known to be the newest.
    confirmed_at: SystemTime,
    part: fn(&Config, &SharedState) -> T,
}

impl<T> ConfigFeed<T> {
    fn new(shared: Arc<SharedState>, part: fn(&Config, &SharedState) -> T) -> Self {
        Self { shared, position: None, confirmed_at: SystemTime::UNIX_EPOCH, part }
    }
}

#[async_trait]
impl<T: Send + 'static> Feed<T> for ConfigFeed<T> {
    async fn next(&mut self, wait: Duration) -> Result<Vec<T>, StoreError> {
        let deadline = Instant::now() + wait;
        loop {
            if !self.shared.is_caught_up() {
                return NotDoneSnafu { reason: "the configuration has not been replayed yet" }.fail();
            }
            // Read before the configuration, which so is the one that was confirmed or a newer one.
            self.confirmed_at = self.shared.config_confirmed_at();
            let catalog = self.shared.catalog.load_full();
            let position = catalog.config.revision.map_or(0, |offset| offset + 1);
            if self.position != Some(position) {
                self.position = Some(position);
                return Ok(vec![(self.part)(&catalog.config, &self.shared)]);
            }
            if Instant::now() >= deadline {
                return Ok(Vec::new());
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn position(&self) -> Option<u64> {
        self.position
    }

    fn advance(&mut self, _position: u64) {
        // This VM replays the configuration itself, so it needs no state transfer.
    }

    fn confirmed_at(&self, asked: SystemTime) -> Option<SystemTime> {
        Some(self.confirmed_at.min(asked))
    }

    fn rewound(&self) -> Box<dyn Feed<T>> {
        Box::new(Self::new(self.shared.clone(), self.part))
    }
}

fn publication_event(cfg: &Config, shared: &SharedState) -> OperatorEvent {
    OperatorEvent::Publication(publication(cfg, caller_limits(shared)))
}

fn endpoints_event(cfg: &Config, _shared: &SharedState) -> DirectoryEvent {
    DirectoryEvent::All(endpoints(cfg))
}

/// Returns the limits on callers' requests from the settings.
fn caller_limits(shared: &SharedState) -> CallerLimits {
    let limits = &shared.settings.limits;
    CallerLimits {
        header_bytes: limits.max_header_bytes,
        body_bytes: limits.max_body_bytes,
        header_timeout: Duration::from_millis(limits.read_timeout_ms),
        ..CallerLimits::default()
    }
}

/// Empty store, because the router's own configuration has no roll-outs of plain services.
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
        NotDoneSnafu { reason: "roll-outs of plain services are not supported" }.fail()
    }

    async fn save_replaced_version(&mut self, _replaced: &ReplacedVersion) -> Result<(), StoreError> {
        NotDoneSnafu { reason: "roll-outs of plain services are not supported" }.fail()
    }

    async fn read_replaced_versions(&mut self) -> Result<Vec<ReplacedVersion>, StoreError> {
        Ok(Vec::new())
    }

    fn rewound(&self) -> Box<dyn RolloutStore> {
        Box::new(Self)
    }
}

/// List that stores nothing: quarantined requests are known only from reports between running VMs.
struct UnstoredQuarantine;

#[async_trait]
impl QuarantineList for UnstoredQuarantine {
    async fn read(&self) -> Result<Vec<QuarantineEntry>, StoreError> {
        Ok(Vec::new())
    }

    async fn add(&self, _entry: &QuarantineEntry) -> Result<(), StoreError> {
        Ok(())
    }

    async fn release(&self, _fingerprint: SubjectFingerprint) -> Result<(), StoreError> {
        Ok(())
    }

    /// Other VMs learn of the trial from reports, so two VMs that begin one at the same moment both run it.
    async fn claim_trial(
        &self,
        entry: &QuarantineEntry,
        now: SystemTime,
    ) -> Result<Option<QuarantineEntry>, StoreError> {
        Ok(next_trial(&[*entry], entry, now))
    }
}

/// The platform's list of VMs, which adds and removes VMs by itself.
struct PlatformRoster(Arc<dyn VmList>);

#[async_trait]
impl Roster for PlatformRoster {
    async fn register(&self, _peer: &Peer) -> Result<(), StoreError> {
        Ok(())
    }

    async fn deregister(&self, _vm: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Peer>, StoreError> {
        let vm_list = self.0.read().await.or_else(|error| NotDoneSnafu { reason: error.to_string() }.fail())?;
        // The list has no incarnations; they are known from each VM's first report.
        let running = vm_list.entries.into_iter().filter(|vm| !vm.leaving);
        let peer = |vm: ListedVm| Peer {
            vm: vm.id,
            incarnation: 0,
            address: vm.peer_address,
            failure_domain: vm.failure_domain,
        };
        Ok(running.map(peer).collect())
    }
}
