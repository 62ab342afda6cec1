//! Limits the state transfers that a VM serves at the same time, so that many VMs that ask at once do not queue at it.
//!
//! The load to withstand: a change, or a start of all VMs, makes some sixty VMs ask one VM within a few milliseconds,
//! and its link carries 20 Mbit/s. VMs that were served serve the others.

use std::{collections::VecDeque, net::SocketAddr};

/// VMs that are served at the same time: 20 KB for each takes 32 ms of a 20 Mbit/s link.
const MAX_TRANSFERS: usize = 4;
/// Served VMs that are remembered as targets of redirects.
const MAX_REDIRECT_TARGETS: usize = 32;

/// The answer to a VM that asks for the active state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// Transfer the state to it.
    Serve,
    /// Redirect it to this VM, which has received the same state.
    Redirect(SocketAddr),
    /// Let it wait: the link is busy, and no VM was served yet that it could be redirected to.
    Wait,
}

/// The number of running transfers, and the VMs that were served.
#[derive(Clone, Debug, Default)]
pub struct TransferLimiter {
    in_progress: usize,
    /// Revision of the state that the VMs in `served` received.
    revision: u64,
    served: VecDeque<SocketAddr>,
}

impl TransferLimiter {
    /// Decides on a VM that asks for the state at a revision.
    ///
    /// VMs that ask before any VM was served wait, so that they do not share one link.
    ///
    /// ```
    /// use havengrade_core::published::state_transfer::{TransferDecision, TransferLimiter};
    ///
    /// let mut limiter = TransferLimiter::default();
    /// let requester = "10.0.0.2:80".parse().unwrap();
    /// (0..4).for_each(|_| assert_eq!(limiter.admit(7), TransferDecision::Serve));
    /// assert_eq!(limiter.admit(7), TransferDecision::Wait);
    /// limiter.finish(7, Some(requester));
    /// assert_eq!(limiter.admit(7), TransferDecision::Serve);
    /// assert_eq!(limiter.admit(7), TransferDecision::Redirect(requester));
    /// assert_eq!(limiter.admit(8), TransferDecision::Wait, "no VM has the newer revision yet");
    /// ```
    pub fn admit(&mut self, revision: u64) -> TransferDecision {
        if revision != self.revision {
            self.revision = revision;
            self.served.clear();
        }
        if self.in_progress >= MAX_TRANSFERS {
            let Some(target) = self.served.pop_front() else { return TransferDecision::Wait };
            self.served.push_back(target);
            return TransferDecision::Redirect(target);
        }
        self.in_progress += 1;
        TransferDecision::Serve
    }

    /// Records the end of a transfer, with the VM that was served unless it disconnected before.
    pub fn finish(&mut self, revision: u64, served: Option<SocketAddr>) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(requester) = served.filter(|_| revision == self.revision) {
            self.served.push_back(requester);
            if self.served.len() > MAX_REDIRECT_TARGETS {
                self.served.pop_front();
            }
        }
    }
}
