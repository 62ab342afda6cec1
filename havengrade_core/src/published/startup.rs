//! How a VM that starts learns what is in force: from VMs that know it, and from the store only as far as it must.
//!
//! The load that this answers: all VMs of a fleet start within a few tenths of a second, at once with their callers, over a
//! store whose calls have a price and a common limit. A VM alone that starts among others that live is the easy case.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use rand::{Rng, RngExt as _, seq::IteratorRandom as _};

use crate::{ids::DomainId, published::peers::Peer, ranking::rank};

/// Longest time for which a VM listens for others before it reads the list of VMs.
///
/// With 200 ms here, and with 350 ms of `PEER_ANSWER_TIMEOUT` and longer rounds, a day on which all start again was worth 0.013 less on
/// one small site and as much on two others (six seeds each).
pub const MAX_LISTEN_TIME: Duration = Duration::from_millis(60);
/// Time for which a VM listens at the first start of all, when all others enter the list as well.
///
/// The list takes an entry in a millisecond.
pub const FIRST_START_LISTEN_TIME: Duration = Duration::from_millis(1000);
/// VMs for each of which one reads the store itself where nobody knows anything yet.
///
/// Each then hands on to 15 others: with 20 KB each that is 0.12 s of a link of 20 Mbit/s.
const VMS_A_FIRST: usize = 16;
/// VMs of a failure domain that read the store first, at most: the list of endpoints that each of them reads grows with the
/// fleet, so that a number that does as well would cost the store its square.
const MAX_FIRST: usize = 4;
/// VMs that are asked in one round.
const ASKED_AT_ONCE: usize = 2;
/// Time after the first round from which a VM that nobody tells reads the store itself.
///
/// The first ones need some 20 ms for their reads and hand on in a tree of two or three levels.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time since another VM surely was reading after which a VM no longer waits for it: two questions that it may leave open.
const READING_LIMIT: Duration = Duration::from_millis(800);
/// Time between two VMs of a failure domain that read the store since nobody told them.
const UNTOLD_STEP: Duration = Duration::from_millis(20);
/// Time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Least time after which the store is tried again that did not answer a VM that starts.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// Part of the time that the store has been away after which it is tried again.
///
/// So it is found within an eighth of its absence, and the calls of a VM grow with the logarithm of its absence.
const RETRY_PART: f64 = 0.1;
/// Part of that time by which retries of several VMs are spread.
const RETRY_SPREAD: f64 = 0.25;

/// Time over which VMs that start spread their entries on the list, for each VM that is known: the list takes an entry in
/// a millisecond, and others read it meanwhile.
const ENTRY_TIME: Duration = Duration::from_millis(2);

/// Time over which the entries of so many VMs are spread.
pub fn registration_spread(vms: usize) -> Duration {
    ENTRY_TIME * u32::try_from(vms).unwrap_or(u32::MAX)
}

/// How long a VM listens before it reads the list of VMs.
pub fn listen_time(rng: &mut dyn Rng) -> Duration {
    MAX_LISTEN_TIME.mul_f64(rng.random::<f64>())
}

/// Time after which the store is tried again that has not answered a VM since its start, `waited` ago.
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
    let pause = LEAST_RETRY.max(waited.mul_f64(RETRY_PART));
    pause.mul_f64(1.0 + RETRY_SPREAD * rng.random::<f64>())
}

/// The VMs of a failure domain in the order in which they read the store, or all of them where it has no two.
fn order<'a>(vms: &[&'a Peer], domain: &str) -> Vec<&'a Peer> {
    let mut order: Vec<&Peer> = vms.iter().copied().filter(|peer| peer.failure_domain == domain).collect();
    if order.len() < 2 {
        order = vms.to_vec();
    }
    order.sort_by_cached_key(|peer| (rank(&[&peer.vm]), peer.vm.clone()));
    order
}

/// How many of so many VMs read the store first.
fn first_among(vms: usize) -> usize {
    vms.div_ceil(VMS_A_FIRST).min(MAX_FIRST)
}

/// The VMs that read the store first where all start at once, by the list of VMs.
#[derive(Clone, Debug, Default)]
pub struct FirstReaders {
    by_domain: HashMap<DomainId, Vec<SocketAddr>>,
}

impl FirstReaders {
    /// Those of a list.
    pub fn select(vms: &[&Peer]) -> Self {
        let mut by_domain = HashMap::new();
        for peer in vms {
            by_domain.entry(peer.failure_domain.clone()).or_insert_with(|| {
                let order = order(vms, &peer.failure_domain);
                order.iter().take(first_among(order.len())).map(|peer| peer.address).collect()
            });
        }
        Self { by_domain }
    }

    /// Those that VMs of a failure domain ask.
    pub fn in_domain(&self, domain: &str) -> &[SocketAddr] {
        self.by_domain.get(domain).map(Vec::as_slice).unwrap_or_default()
    }

    /// Whether a VM is one of them.
    pub fn contains(&self, peer: &Peer) -> bool {
        self.in_domain(&peer.failure_domain).contains(&peer.address)
    }
}

/// What others told a VM that starts of who reads the store.
#[derive(Clone, Debug, Default)]
pub struct StoreReadReports {
    /// Whether this VM is one of those that read first, as one says that has read the list of VMs.
    reads_first: bool,
    /// Those that do.
    readers: Vec<SocketAddr>,
    /// When another VM surely was reading.
    last_read: Option<SystemTime>,
}

impl StoreReadReports {
    /// Takes what a VM says that has read the list.
    pub fn apply_greeting(&mut self, reads_first: bool, readers: Vec<SocketAddr>) {
        self.reads_first |= reads_first;
        self.readers = readers;
    }

    /// Takes that another VM was reading at a time; older news have no effect.
    pub fn record_read(&mut self, last_read: SystemTime) {
        self.last_read = self.last_read.max(Some(last_read));
    }

    /// When another VM surely was reading, if any was.
    pub fn last_read(&self) -> Option<SystemTime> {
        self.last_read
    }
}

/// What a VM that nobody told what is in force does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It asks again.
    Ask,
    /// It reads the list of VMs, to learn when its turn is.
    ReadVmList,
    /// It reads the store.
    ReadStore,
}

/// A VM that starts, and the others that it knows of.
#[derive(Clone, Debug)]
pub struct StartingVm<'a> {
    /// The VM.
    pub me: &'a Peer,
    /// Others that it has heard of.
    pub others: Vec<&'a Peer>,
    /// Whether these are all that were on the list.
    pub is_list_loaded: bool,
    /// What it was told.
    pub news: &'a StoreReadReports,
}

impl StartingVm<'_> {
    /// The VMs of the failure domain in the order in which they read the store, or of all where it has no other.
    fn order(&self) -> Vec<&Peer> {
        let vms: Vec<&Peer> = self.others.iter().copied().chain([self.me]).collect();
        order(&vms, &self.me.failure_domain)
    }

    /// Whom to ask in a round; rounds count from 0.
    ///
    /// At first any VM, since in a fleet that lives all of them know. Wait, in every other round, one of those that read the
    /// store first and any other. Where only those that read first are known by name, one of them is asked each time.
    pub fn peers_to_ask(&self, round: usize, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        if !self.is_list_loaded && !self.news.readers.is_empty() {
            return self.news.readers.iter().copied().filter(|reader| *reader != self.me.address).sample(rng, 1);
        }
        let mut asked = self.any(rng);
        if round % 2 == 1 {
            let order = self.order();
            let first = order.iter().take(first_among(order.len())).filter(|peer| peer.vm != self.me.vm);
            asked.truncate(1);
            asked.extend(first.map(|peer| peer.address).choose(rng));
        }
        asked
    }

    fn any(&self, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let domain = &self.me.failure_domain;
        let near = self.others.iter().filter(|peer| peer.failure_domain == *domain);
        let mut asked: Vec<SocketAddr> = near.map(|peer| peer.address).sample(rng, ASKED_AT_ONCE);
        if asked.len() < ASKED_AT_ONCE {
            let far = self.others.iter().filter(|peer| peer.failure_domain != *domain);
            asked.extend(far.map(|peer| peer.address).sample(rng, ASKED_AT_ONCE - asked.len()));
        }
        asked
    }

    /// What this VM does, where none of those that it asked since `asked` knew anything.
    ///
    /// It waits for as long as another one is known to read the store: how long that takes depends on the fleet.
    pub fn next_step(&self, asked: SystemTime, now: SystemTime) -> NextStep {
        if self.news.reads_first {
            return NextStep::ReadStore;
        }
        // Who was greeted waits for those that read first, which look at the list of VMs before.
        let patience = if self.news.readers.is_empty() { PEER_ANSWER_TIMEOUT } else { READING_LIMIT };
        let told_until = self.news.last_read.map_or(asked, |at| at + READING_LIMIT);
        let untold_from = told_until.max(asked + patience);
        if !self.is_list_loaded {
            return if now >= untold_from { NextStep::ReadVmList } else { NextStep::Ask };
        }
        let order = self.order();
        let place = order.iter().position(|peer| peer.vm == self.me.vm).unwrap_or_default();
        let turn = u32::try_from(place).unwrap_or(u32::MAX);
        let is_first = place < first_among(order.len());
        if is_first || now >= untold_from + UNTOLD_STEP * turn {
            return NextStep::ReadStore;
        }
        NextStep::Ask
    }
}
