//! How a VM that starts learns what is in force: from VMs that know it, and from the store only as far as it must.
//!
//! The load that this answers: all VMs of a fleet start within a few tenths of a second, at once with their callers, over a
//! store whose calls have a price and a common limit. A VM alone that starts among others that live is the easy case.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use rand::{Rng, RngExt as _, seq::IteratorRandom as _};

use crate::{ids::VmId, published::peers::Peer, ranking::rank};

/// Longest time for which a VM listens for others before it reads the list of VMs.
///
/// With 200 ms here, and with 350 ms of `UNTOLD_LIMIT` and longer rounds, a day on which all start again was worth 0.013 less on
/// one small site and as much on two others (six seeds each).
pub const LISTEN: Duration = Duration::from_millis(60);
/// VMs for each of which one reads the store itself where nobody knows anything yet.
///
/// Each then hands on to 15 others: with 20 KB each that is 0.12 s of a link of 20 Mbit/s.
const VMS_A_FIRST: usize = 16;
/// VMs that are asked in one round.
const ASKED_AT_ONCE: usize = 2;
/// Time after the first round from which a VM that nobody tells reads the store itself.
///
/// The first ones need some 20 ms for their reads and hand on in a tree of two or three levels.
pub const UNTOLD_LIMIT: Duration = Duration::from_millis(200);
/// Time between two VMs of a failure domain that read the store since nobody told them.
const UNTOLD_STEP: Duration = Duration::from_millis(20);
/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(50);
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
pub fn entry_spread(vms: usize) -> Duration {
    ENTRY_TIME * u32::try_from(vms).unwrap_or(u32::MAX)
}

/// How long a VM listens before it reads the list of VMs.
pub fn listen_for(rng: &mut dyn Rng) -> Duration {
    LISTEN.mul_f64(rng.random::<f64>())
}

/// Time after which the store is tried again that has not answered a VM since its start, `waited` ago.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::start::retry_after;
/// use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// assert!(retry_after(Duration::ZERO, &mut rng) <= Duration::from_millis(125));
/// assert!(retry_after(Duration::from_secs(4), &mut rng) >= Duration::from_millis(400));
/// ```
pub fn retry_after(waited: Duration, rng: &mut dyn Rng) -> Duration {
    let pause = LEAST_RETRY.max(waited.mul_f64(RETRY_PART));
    pause.mul_f64(1.0 + RETRY_SPREAD * rng.random::<f64>())
}

/// A VM that starts, and the others that it knows of.
#[derive(Clone, Debug)]
pub struct Starting<'a> {
    /// Name of the VM.
    pub me: &'a VmId,
    /// Its failure domain.
    pub domain: &'a str,
    /// Others that it has heard of.
    pub others: Vec<&'a Peer>,
}

impl Starting<'_> {
    /// The VMs of the failure domain in the order in which they read the store, or of all where it has no other.
    fn order(&self) -> Vec<(u64, &VmId, Option<SocketAddr>)> {
        let near = self.others.iter().filter(|peer| peer.failure_domain == self.domain);
        let mut order: Vec<_> = near.map(|peer| (rank(&[&peer.vm]), &peer.vm, Some(peer.address))).collect();
        if order.is_empty() {
            order = self.others.iter().map(|peer| (rank(&[&peer.vm]), &peer.vm, Some(peer.address))).collect();
        }
        order.push((rank(&[self.me]), self.me, None));
        order.sort_unstable();
        order
    }

    /// Whom to ask in a round; rounds count from 0.
    ///
    /// At first any VM, since in a fleet that lives all of them know. Later, in every other round, one of those that read the
    /// store first and any other.
    pub fn ask(&self, round: usize, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let mut asked = self.any(rng);
        if round % 2 == 1 {
            let order = self.order();
            let first = order.iter().take(order.len().div_ceil(VMS_A_FIRST));
            asked.truncate(1);
            asked.extend(first.filter_map(|(_, _, address)| *address).choose(rng));
        }
        asked
    }

    fn any(&self, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let near = self.others.iter().filter(|peer| peer.failure_domain == self.domain);
        let mut asked: Vec<SocketAddr> = near.map(|peer| peer.address).sample(rng, ASKED_AT_ONCE);
        if asked.len() < ASKED_AT_ONCE {
            let far = self.others.iter().filter(|peer| peer.failure_domain != self.domain);
            asked.extend(far.map(|peer| peer.address).sample(rng, ASKED_AT_ONCE - asked.len()));
        }
        asked
    }

    /// Whether this VM reads the store itself, where none of those that it asked in its first round at `asked` knew anything.
    pub fn reads_store(&self, asked: SystemTime, now: SystemTime) -> bool {
        let order = self.order();
        let place = order.iter().position(|(_, vm, _)| *vm == self.me).unwrap_or_default();
        let is_first = place < order.len().div_ceil(VMS_A_FIRST);
        let turn = u32::try_from(place).unwrap_or(u32::MAX);
        is_first || now >= asked + UNTOLD_LIMIT + UNTOLD_STEP * turn
    }
}
