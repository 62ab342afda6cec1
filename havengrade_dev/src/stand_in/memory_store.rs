//! A stand-in for what published routes keep on the platform: a store in memory that can be away.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::{
    fingerprint::SubjectFingerprint,
    published::{directory::DirectoryEvent, peers::Peer, rollout::RolloutStatus},
    quarantine::{QuarantineEntry, next_trial},
};
use havengrade_router::{
    published::{
        dialect::HavengradeDialect,
        ports::{
            Feed, OperatorEvent, Ports, QuarantineList, ReplacedVersion, RolloutStore, Roster, StoreError, WriteOutcome,
        },
    },
    shared::lock,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Time after which a VM no longer waits for an answer of the store.
const READ_LIMIT: Duration = Duration::from_millis(1500);

#[derive(Default)]
struct Kept {
    is_away: bool,
    /// VMs that are turned away while others are served.
    turned_away: BTreeSet<String>,
    operators: Vec<OperatorEvent>,
    endpoints: Vec<DirectoryEvent>,
    statuses: Vec<RolloutStatus>,
    versions: BTreeMap<String, ReplacedVersion>,
    held: BTreeMap<SubjectFingerprint, QuarantineEntry>,
    vms: BTreeMap<String, Peer>,
    calls: u64,
    /// Time that each answer to a read takes.
    takes: Duration,
    /// Time that a read of the list of VMs takes beside that.
    vms_take: Duration,
    /// Time for which a read of the whole list of endpoints keeps the store busy, and when it is done with those that were asked for.
    whole_read: Duration,
    busy_until: Option<Instant>,
    /// Whole reads of the list of endpoints that were asked for.
    whole_reads: u64,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct MemoryStore {
    kept: Arc<Mutex<Kept>>,
    changed: Arc<Notify>,
}

impl MemoryStore {
    /// Writes what an operator writes.
    pub fn operate(&self, event: OperatorEvent) {
        lock(&self.kept).operators.push(event);
        self.changed.notify_waiters();
    }

    /// Changes the list of endpoints.
    pub fn list(&self, event: DirectoryEvent) {
        lock(&self.kept).endpoints.push(event);
    }

    /// Lets the store be away, or back.
    pub fn set_away(&self, is_away: bool) {
        lock(&self.kept).is_away = is_away;
        self.changed.notify_waiters();
    }

    /// Turns a VM away, or serves it again; others are not affected.
    pub fn turn_away(&self, vm: &str, is_turned_away: bool) {
        let mut kept = lock(&self.kept);
        if is_turned_away {
            kept.turned_away.insert(vm.to_owned());
        } else {
            kept.turned_away.remove(vm);
        }
        drop(kept);
        self.changed.notify_waiters();
    }

    /// Lets each answer to a read take so long.
    pub fn set_slow(&self, takes: Duration) {
        lock(&self.kept).takes = takes;
    }

    /// Lets each read of the list of VMs take so much longer than other reads.
    pub fn set_slow_vms(&self, takes: Duration) {
        lock(&self.kept).vms_take = takes;
    }

    /// Lets each read of the whole list of endpoints keep the store busy for so long, one after the other.
    pub fn set_whole_read(&self, takes: Duration) {
        lock(&self.kept).whole_read = takes;
    }

    /// Reads of the whole list of endpoints so far, also those that came too late to be of use.
    pub fn whole_reads(&self) -> u64 {
        lock(&self.kept).whole_reads
    }

    /// Calls that were made, refused ones included.
    pub fn calls(&self) -> u64 {
        lock(&self.kept).calls
    }

    /// Writes a state of a roll-out, as a VM did that is gone.
    pub fn write_status(&self, status: RolloutStatus) {
        lock(&self.kept).statuses.push(status);
    }

    /// States of roll-outs that were written, in their order.
    pub fn statuses(&self) -> Vec<RolloutStatus> {
        lock(&self.kept).statuses.clone()
    }

    /// What is kept of versions that were replaced.
    pub fn known_versions(&self) -> Vec<ReplacedVersion> {
        lock(&self.kept).versions.values().cloned().collect()
    }

    /// Enters a request that is held back, as a VM did that is gone.
    pub fn hold(&self, hold: QuarantineEntry) {
        lock(&self.kept).held.insert(hold.fingerprint, hold);
    }

    /// Names of the VMs on the kept list.
    pub fn vms(&self) -> Vec<String> {
        lock(&self.kept).vms.keys().cloned().collect()
    }

    /// The ports of a VM's router over this store.
    pub fn ports(&self, vm: &str) -> Ports {
        let feed = || MemoryFeed { store: self.clone(), vm: vm.to_owned(), next: 0 };
        Ports {
            dialect: Box::new(HavengradeDialect),
            operators: Box::new(feed()),
            endpoints: Box::new(feed()),
            statuses: Box::new(feed()),
            quarantine: Arc::new(feed()),
            roster: Box::new(feed()),
            uses_state_transfer: true,
        }
    }
}

struct MemoryFeed {
    store: MemoryStore,
    vm: String,
    next: usize,
}

impl MemoryFeed {
    /// Access of the same VM that has read nothing.
    fn fresh(&self) -> Self {
        Self { store: self.store.clone(), vm: self.vm.clone(), next: 0 }
    }

    /// Counts a call; it is refused while the store is away.
    async fn call(&self) -> Result<(), StoreError> {
        let takes = {
            let mut kept = lock(&self.store.kept);
            kept.calls += 1;
            kept.takes
        };
        sleep(takes).await;
        self.check()
    }

    /// Waits for its turn, as one of those that read the whole list; who would wait for too long gives up.
    async fn read_whole(&self) -> Result<(), StoreError> {
        let done = {
            let mut kept = lock(&self.store.kept);
            kept.whole_reads += 1;
            let begins = kept.busy_until.unwrap_or_else(Instant::now).max(Instant::now());
            let done = begins + kept.whole_read;
            kept.busy_until = Some(done);
            done
        };
        let gives_up = Instant::now() + READ_LIMIT;
        sleep_until(done.min(gives_up)).await;
        let reason = "the stand-in did not answer in time".into();
        if done > gives_up { Err(StoreError::Unknown { reason }) } else { Ok(()) }
    }

    fn check(&self) -> Result<(), StoreError> {
        let kept = lock(&self.store.kept);
        if kept.is_away || kept.turned_away.contains(&self.vm) {
            return Err(StoreError::NotDone { reason: "the stand-in is away".into() });
        }
        Ok(())
    }

    fn read<T: Clone>(&mut self, of: impl Fn(&Kept) -> &Vec<T>) -> Result<Vec<T>, StoreError> {
        self.check()?;
        let kept = lock(&self.store.kept);
        let all = of(&kept);
        let new = all.get(self.next..).unwrap_or_default().to_vec();
        self.next = all.len();
        Ok(new)
    }
}

#[async_trait]
impl Feed<OperatorEvent> for MemoryFeed {
    async fn next(&mut self, wait: Duration) -> Result<Vec<OperatorEvent>, StoreError> {
        let changed = self.store.changed.clone();
        let notified = changed.notified();
        self.call().await?;
        let events = self.read(|kept| &kept.operators)?;
        if !events.is_empty() {
            return Ok(events);
        }
        // Nothing new in time is an answer as well.
        let _ = timeout(wait, notified).await;
        self.read(|kept| &kept.operators)
    }

    fn position(&self) -> Option<u64> {
        u64::try_from(self.next).ok()
    }

    fn advance(&mut self, position: u64) {
        self.next = self.next.max(usize::try_from(position).unwrap_or(usize::MAX));
    }

    fn rewound(&self) -> Box<dyn Feed<OperatorEvent>> {
        Box::new(self.fresh())
    }
}

#[async_trait]
impl Feed<DirectoryEvent> for MemoryFeed {
    async fn next(&mut self, _wait: Duration) -> Result<Vec<DirectoryEvent>, StoreError> {
        self.call().await?;
        if self.next == 0 {
            self.read_whole().await?;
        }
        self.read(|kept| &kept.endpoints)
    }

    fn position(&self) -> Option<u64> {
        u64::try_from(self.next).ok()
    }

    fn advance(&mut self, position: u64) {
        self.next = self.next.max(usize::try_from(position).unwrap_or(usize::MAX));
    }

    fn rewound(&self) -> Box<dyn Feed<DirectoryEvent>> {
        Box::new(self.fresh())
    }
}

#[async_trait]
impl RolloutStore for MemoryFeed {
    async fn read(&mut self) -> Result<Vec<RolloutStatus>, StoreError> {
        self.call().await?;
        Self::read(self, |kept| &kept.statuses)
    }

    async fn read_all(&mut self) -> Result<Vec<RolloutStatus>, StoreError> {
        self.next = 0;
        RolloutStore::read(self).await
    }

    async fn write(&mut self, status: &RolloutStatus) -> Result<WriteOutcome, StoreError> {
        self.call().await?;
        let mut kept = lock(&self.store.kept);
        if kept.statuses.len() != self.next {
            return Ok(WriteOutcome::Conflict);
        }
        kept.statuses.push(status.clone());
        Ok(WriteOutcome::Written)
    }

    async fn save_replaced_version(&mut self, known: &ReplacedVersion) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).versions.insert(known.service.clone(), known.clone());
        Ok(())
    }

    async fn read_replaced_versions(&mut self) -> Result<Vec<ReplacedVersion>, StoreError> {
        self.call().await?;
        Ok(lock(&self.store.kept).versions.values().cloned().collect())
    }

    fn rewound(&self) -> Box<dyn RolloutStore> {
        Box::new(self.fresh())
    }
}

#[async_trait]
impl QuarantineList for MemoryFeed {
    async fn read(&self) -> Result<Vec<QuarantineEntry>, StoreError> {
        self.call().await?;
        Ok(lock(&self.store.kept).held.values().copied().collect())
    }

    async fn add(&self, hold: &QuarantineEntry) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).held.entry(hold.fingerprint).or_insert(*hold);
        Ok(())
    }

    async fn release(&self, mark: SubjectFingerprint) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).held.remove(&mark);
        Ok(())
    }

    async fn claim_trial(
        &self,
        hold: &QuarantineEntry,
        now: SystemTime,
    ) -> Result<Option<QuarantineEntry>, StoreError> {
        self.call().await?;
        let mut kept = lock(&self.store.kept);
        let known: Vec<QuarantineEntry> = kept.held.values().copied().collect();
        let next = next_trial(&known, hold, now);
        kept.held.extend(next.map(|next| (next.fingerprint, next)));
        Ok(next)
    }
}

#[async_trait]
impl Roster for MemoryFeed {
    async fn register(&self, peer: &Peer) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).vms.insert(peer.vm.clone(), peer.clone());
        Ok(())
    }

    async fn deregister(&self, vm: &str) -> Result<(), StoreError> {
        self.call().await?;
        lock(&self.store.kept).vms.remove(vm);
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Peer>, StoreError> {
        self.call().await?;
        let takes = lock(&self.store.kept).vms_take;
        sleep(takes).await;
        Ok(lock(&self.store.kept).vms.values().cloned().collect())
    }
}
