//! To whom a VM hands on what is in force, so that many who ask at once do not queue at it.
//!
//! The load that this answers: a change, or a start of all VMs, makes some sixty others ask one VM within a few
//! milliseconds, and its link carries 20 Mbit/s. Those that were served serve the rest.

use std::{collections::VecDeque, net::SocketAddr};

/// Others that are served at the same time: a part of 20 KB to each takes 32 ms of a link of 20 Mbit/s.
const AT_ONCE: usize = 4;
/// Others that were served and are named to those that come later.
const MAX_NAMED: usize = 32;

/// What to do with a VM that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// Hand on to it.
    Serve,
    /// Name this VM, which was handed the same.
    Redirect(SocketAddr),
    /// Let it wait: the link is busy, and nobody was served yet whom it could ask.
    Wait,
}

/// The VMs that are being served and those that were.
#[derive(Clone, Debug, Default)]
pub struct TransferLimiter {
    busy: usize,
    /// Who was served what stands at this revision.
    revision: u64,
    served: VecDeque<SocketAddr>,
}

impl TransferLimiter {
    /// Decides on a VM that asks for what stands at a revision.
    ///
    /// Those that come at once before anyone was served wait, so that they don't share one link.
    ///
    /// ```
    /// use havengrade_core::published::state_transfer::{TransferDecision, TransferLimiter};
    ///
    /// let mut limiter = TransferLimiter::default();
    /// let taker = "10.0.0.2:80".parse().unwrap();
    /// (0..4).for_each(|_| assert_eq!(limiter.admit(7), TransferDecision::Serve));
    /// assert_eq!(limiter.admit(7), TransferDecision::Wait);
    /// limiter.finish(7, Some(taker));
    /// assert_eq!(limiter.admit(7), TransferDecision::Serve);
    /// assert_eq!(limiter.admit(7), TransferDecision::Redirect(taker));
    /// assert_eq!(limiter.admit(8), TransferDecision::Wait, "nobody has the newer one yet");
    /// ```
    pub fn admit(&mut self, revision: u64) -> TransferDecision {
        if revision != self.revision {
            self.revision = revision;
            self.served.clear();
        }
        if self.busy >= AT_ONCE {
            let Some(instead) = self.served.pop_front() else { return TransferDecision::Wait };
            self.served.push_back(instead);
            return TransferDecision::Redirect(instead);
        }
        self.busy += 1;
        TransferDecision::Serve
    }

    /// Notes that a VM was served, or left before it was.
    pub fn finish(&mut self, revision: u64, served: Option<SocketAddr>) {
        self.busy = self.busy.saturating_sub(1);
        if let Some(taker) = served.filter(|_| revision == self.revision) {
            self.served.push_back(taker);
            if self.served.len() > MAX_NAMED {
                self.served.pop_front();
            }
        }
    }
}
