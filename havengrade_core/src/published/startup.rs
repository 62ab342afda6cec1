//! Startup of a VM: it obtains the active state from VMs that have it, and reads the store only as far as necessary.
//!
//! The load to withstand is a start of all VMs of a fleet within a few tenths of a second, together with their
//! callers, on a store whose calls cost money and share a limit. A single VM that starts in a running fleet is the
//! easy case.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use rand::{Rng, RngExt as _, seq::IteratorRandom as _};

use crate::{ids::DomainId, published::peers::Peer, ranking::rank};

/// Longest time for which a VM listens for others before it reads the list of VMs.
///
/// Longer times don't help: with 200 ms here, 350 ms as `PEER_ANSWER_TIMEOUT` and longer rounds, a restart of the whole
/// fleet served callers of a small site worse and those of two other sites no better.
pub const MAX_LISTEN_TIME: Duration = Duration::from_millis(60);
/// Time for which a VM listens at the first start of a fleet, when all others register as well.
///
/// The list accepts one entry per millisecond.
pub const FIRST_START_LISTEN_TIME: Duration = Duration::from_millis(1000);
/// Number of VMs per first reader, which reads the store itself while no VM has the active state yet.
///
/// Each first reader then transfers the state to 15 others: at 20 KB each, that takes 0.12 s of a 20 Mbit/s link.
const VMS_PER_FIRST_READER: usize = 16;
/// Upper limit of first readers in a failure domain. The list of endpoints that each of them reads grows with the
/// fleet, so that a number that grew as well would load the store quadratically.
const MAX_FIRST_READERS: usize = 4;
/// VMs that are asked in one round.
const ASKED_PER_ROUND: usize = 2;
/// Time after the first round from which a VM without an answer reads the store itself.
///
/// The first readers need some 20 ms for their reads, and the state spreads from them in a tree of two or three levels.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a VM waits for another one that was reading the store: two requests to it may go unanswered.
const PEER_READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay between two VMs of a failure domain that read the store for want of an answer.
const READ_STEP: Duration = Duration::from_millis(20);
/// Interval between two rounds of requests.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest delay before a VM that starts retries a store that did not answer.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay as a part of the time that the store has been unreachable.
///
/// The end of an outage is thus noticed within an eighth of its duration, and the number of calls of a VM grows with
/// the logarithm of that duration.
const RETRY_DELAY_PART: f64 = 0.1;
/// Random part that is added to a retry delay, so that the retries of several VMs are spread.
const RETRY_JITTER: f64 = 0.25;

/// Time per known VM over which starting VMs spread their registrations. The list accepts one entry per millisecond,
/// and others read it meanwhile.
const REGISTRATION_TIME: Duration = Duration::from_millis(2);

/// The time over which the registrations of this many VMs are spread.
pub fn registration_spread(vms: usize) -> Duration {
    REGISTRATION_TIME * u32::try_from(vms).unwrap_or(u32::MAX)
}

/// The time for which a VM listens before it reads the list of VMs.
pub fn listen_time(rng: &mut dyn Rng) -> Duration {
    MAX_LISTEN_TIME.mul_f64(rng.random::<f64>())
}

/// The delay before the next retry of a store that has not answered since the start of the VM, `waited` ago.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::startup::retry_delay;
/// use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// assert!(retry_delay(Duration::ZERO, &mut rng) <= Duration::from_millis(125));
/// assert!(retry_delay(Duration::from_secs(4), &mut rng) >= Duration::from_millis(400));
/// ```
pub fn retry_delay(waited: Duration, rng: &mut dyn Rng) -> Duration {
    let pause = MIN_RETRY_DELAY.max(waited.mul_f64(RETRY_DELAY_PART));
    pause.mul_f64(1.0 + RETRY_JITTER * rng.random::<f64>())
}

/// The VMs of a failure domain in the order in which they read the store, or all VMs if the domain has fewer than two.
fn read_order<'a>(vms: &[&'a Peer], domain: &str) -> Vec<&'a Peer> {
    let mut order: Vec<&Peer> = vms.iter().copied().filter(|peer| peer.failure_domain == domain).collect();
    if order.len() < 2 {
        order = vms.to_vec();
    }
    order.sort_by_cached_key(|peer| (rank(&[&peer.vm]), peer.vm.clone()));
    order
}

/// The number of first readers among this many VMs.
fn first_reader_count(vms: usize) -> usize {
    vms.div_ceil(VMS_PER_FIRST_READER).min(MAX_FIRST_READERS)
}

/// The VMs that read the store first in a start of the whole fleet, by the list of VMs.
#[derive(Clone, Debug, Default)]
pub struct FirstReaders {
    by_domain: HashMap<DomainId, Vec<SocketAddr>>,
}

impl FirstReaders {
    /// Selects the first readers from a list of VMs.
    pub fn select(vms: &[&Peer]) -> Self {
        let mut by_domain = HashMap::new();
        for peer in vms {
            by_domain.entry(peer.failure_domain.clone()).or_insert_with(|| {
                let order = read_order(vms, &peer.failure_domain);
                order.iter().take(first_reader_count(order.len())).map(|peer| peer.address).collect()
            });
        }
        Self { by_domain }
    }

    /// The first readers that VMs of a failure domain ask.
    pub fn in_domain(&self, domain: &str) -> &[SocketAddr] {
        self.by_domain.get(domain).map(Vec::as_slice).unwrap_or_default()
    }

    /// Whether a VM is a first reader.
    pub fn contains(&self, peer: &Peer) -> bool {
        self.in_domain(&peer.failure_domain).contains(&peer.address)
    }
}

/// Reports to a VM that starts on which VMs read the store.
#[derive(Clone, Debug, Default)]
pub struct StoreReadReports {
    /// Whether this VM is a first reader, according to a VM that has read the list of VMs.
    reads_first: bool,
    /// The first readers.
    readers: Vec<SocketAddr>,
    /// Time at which another VM was last known to be reading.
    last_read: Option<SystemTime>,
}

impl StoreReadReports {
    /// Applies the greeting of a VM that has read the list of VMs.
    pub fn apply_greeting(&mut self, reads_first: bool, readers: Vec<SocketAddr>) {
        self.reads_first |= reads_first;
        self.readers = readers;
    }

    /// Records that another VM was reading at a time; an older time has no effect.
    pub fn record_read(&mut self, last_read: SystemTime) {
        self.last_read = self.last_read.max(Some(last_read));
    }

    /// The time at which another VM was last known to be reading, if any was.
    pub fn last_read(&self) -> Option<SystemTime> {
        self.last_read
    }
}

/// The next step of a VM that has not obtained the active state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask other VMs again.
    Ask,
    /// Read the list of VMs, which decides when this VM may read the store.
    ReadVmList,
    /// Read the store.
    ReadStore,
}

/// A VM that starts, and the others that it knows.
#[derive(Clone, Debug)]
pub struct StartingVm<'a> {
    /// The starting VM.
    pub me: &'a Peer,
    /// The other known VMs.
    pub others: Vec<&'a Peer>,
    /// Whether `others` are all VMs of the list.
    pub is_list_loaded: bool,
    /// Reports on which VMs read the store.
    pub store_reads: &'a StoreReadReports,
}

impl StartingVm<'_> {
    /// The VMs of the failure domain in the order in which they read the store, or all VMs if there is no other in
    /// the domain.
    fn read_order(&self) -> Vec<&Peer> {
        let vms: Vec<&Peer> = self.others.iter().copied().chain([self.me]).collect();
        read_order(&vms, &self.me.failure_domain)
    }

    /// The VMs to ask in a round; rounds count from 0.
    ///
    /// The first round asks any VMs, since all VMs of a running fleet have the active state. Every other round asks a
    /// first reader and any other VM. While only the first readers are known by name, each round asks one of them.
    pub fn peers_to_ask(&self, round: usize, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        if !self.is_list_loaded && !self.store_reads.readers.is_empty() {
            return self.store_reads.readers.iter().copied().filter(|reader| *reader != self.me.address).sample(rng, 1);
        }
        let mut asked = self.random_peers(rng);
        if round % 2 == 1 {
            let order = self.read_order();
            let first = order.iter().take(first_reader_count(order.len())).filter(|peer| peer.vm != self.me.vm);
            asked.truncate(1);
            asked.extend(first.map(|peer| peer.address).choose(rng));
        }
        asked
    }

    fn random_peers(&self, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let domain = &self.me.failure_domain;
        let near = self.others.iter().filter(|peer| peer.failure_domain == *domain);
        let mut asked: Vec<SocketAddr> = near.map(|peer| peer.address).sample(rng, ASKED_PER_ROUND);
        if asked.len() < ASKED_PER_ROUND {
            let far = self.others.iter().filter(|peer| peer.failure_domain != *domain);
            asked.extend(far.map(|peer| peer.address).sample(rng, ASKED_PER_ROUND - asked.len()));
        }
        asked
    }

    /// The next step of this VM, if no VM that it has asked since `asked` had the active state.
    ///
    /// The VM waits while another one is known to read the store: the duration of such a read depends on the size of
    /// the fleet.
    pub fn next_step(&self, asked: SystemTime, now: SystemTime) -> NextStep {
        if self.store_reads.reads_first {
            return NextStep::ReadStore;
        }
        // A VM that was greeted waits longer, since the first readers read the list of VMs before the store.
        let timeout = if self.store_reads.readers.is_empty() { PEER_ANSWER_TIMEOUT } else { PEER_READ_TIMEOUT };
        let peer_reads_until = self.store_reads.last_read.map_or(asked, |at| at + PEER_READ_TIMEOUT);
        let read_from = peer_reads_until.max(asked + timeout);
        if !self.is_list_loaded {
            return if now >= read_from { NextStep::ReadVmList } else { NextStep::Ask };
        }
        let order = self.read_order();
        let place = order.iter().position(|peer| peer.vm == self.me.vm).unwrap_or_default();
        let turn = u32::try_from(place).unwrap_or(u32::MAX);
        let is_first = place < first_reader_count(order.len());
        if is_first || now >= read_from + READ_STEP * turn {
            return NextStep::ReadStore;
        }
        NextStep::Ask
    }
}
