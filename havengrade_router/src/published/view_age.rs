//! Logs when a VM's view of the store grows old, with what delays its own read, and when the view is recent again.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::VmId,
    published::{
        directory::OutageEvidence,
        relay::{Freshness, MAX_RELAYED_AGE},
    },
};

/// Where the events of a feed came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    /// Read from the store by this VM.
    Store,
    /// Sent by another VM in answer to a query.
    Answer {
        vm: VmId,
        /// Time for which that VM keeps endpoints that were removed in an outage; none if it did not say.
        relist_grace: Option<Duration>,
    },
    /// Transferred by another VM over a connection.
    Transfer {
        sender: SocketAddr,
        /// As in an answer.
        relist_grace: Option<Duration>,
    },
}

impl EventSource {
    /// What the source tells about an outage of the store.
    pub(super) fn outage_evidence(&self, renewal_interval: Duration) -> OutageEvidence {
        match self {
            Self::Store => OutageEvidence::Log { renewal_interval },
            Self::Answer { relist_grace, .. } | Self::Transfer { relist_grace, .. } => {
                relist_grace.map_or(OutageEvidence::None, |relist_grace| OutageEvidence::Reported { relist_grace })
            },
        }
    }
}

impl fmt::Display for EventSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Answer { vm, .. } => f.write_str(vm),
            Self::Transfer { sender, .. } => write!(f, "{sender}"),
        }
    }
}

/// What decides whether a VM reads the store itself.
pub(super) struct ViewAgeInputs {
    pub(super) feed: &'static str,
    pub(super) freshness: Freshness,
    pub(super) is_reader: bool,
    /// Whether reads are paused after a failed one.
    pub(super) is_paused: bool,
}

/// The greatest age of a view that has grown old; none while it is recent.
#[derive(Debug, Default)]
pub(super) struct ViewAge {
    greatest: Option<Duration>,
}

impl ViewAge {
    /// Records the age of the view and logs if it has grown old or is recent again.
    ///
    /// `turn` computes the number of VMs of the failure domain that read the store before this one.
    pub(super) fn record(&mut self, inputs: &ViewAgeInputs, turn: impl Fn() -> usize, now: SystemTime) {
        let since = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let millis = |duration: Duration| duration.as_millis() as u64;
        let age = since(inputs.freshness.confirmed);
        if age < MAX_RELAYED_AGE {
            if let Some(greatest) = self.greatest.take() {
                log::info!(feed = inputs.feed, greatest_age_ms = millis(greatest); "view of the store is recent again");
            }
            return;
        }
        let was_recent = self.greatest.is_none();
        self.greatest = self.greatest.max(Some(age));
        if was_recent {
            log::warn!(
                feed = inputs.feed,
                age_ms = millis(age),
                since_answer_ms = inputs.freshness.last_answer.map(|at| millis(since(at))).unwrap_or_default(),
                answer_age_ms = millis(inputs.freshness.answer_age),
                turn = turn(),
                is_reader = u64::from(inputs.is_reader),
                is_paused = u64::from(inputs.is_paused);
                "view of the store is old"
            );
        }
    }
}
