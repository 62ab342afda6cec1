//! Answers of the quarantine: whether a request may be sent, and which requests and parts became held or free.

use std::time::Duration;

use crate::{fingerprint::SubjectFingerprint, quarantine_entry::QuarantineEntry};

/// Time after which a request that two claims hold back may come back.
const TWO_CLAIMS_RETRY: Duration = Duration::from_millis(1000);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may be sent.
    Free,
    /// The decision is pending: reports of other VMs are in transit, or a trial is running.
    Pending {
        /// Time until the decision, unless further crashes are observed.
        decided_in: Duration,
    },
    /// The request must not be sent.
    Quarantined {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request was in progress at several crashes that other requests may have caused. It is sent once, by the
    /// first VM that claims this entry, and is quarantined until an endpoint answers it.
    Suspected(QuarantineEntry),
    /// The request is quarantined and a trial is due, for the first VM that claims it.
    TrialDue(QuarantineEntry),
}

impl QuarantineStatus {
    /// The status of a request of which two subjects have these. A send that needs two claims shows nothing.
    pub(crate) fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Free, status) | (status, Self::Free) => status,
            (Self::Quarantined { retry_after: one }, Self::Quarantined { retry_after: two }) => {
                Self::Quarantined { retry_after: one.max(two) }
            },
            (status @ Self::Quarantined { .. }, _) | (_, status @ Self::Quarantined { .. }) => status,
            (Self::Pending { decided_in: one }, Self::Pending { decided_in: two }) => {
                Self::Pending { decided_in: one.max(two) }
            },
            (status @ Self::Pending { .. }, _) | (_, status @ Self::Pending { .. }) => status,
            _ => Self::Quarantined { retry_after: TWO_CLAIMS_RETRY },
        }
    }
}

/// A change to the quarantine of a request or part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// This VM quarantined the request or part.
    Quarantined {
        /// The request or part.
        fingerprint: SubjectFingerprint,
        /// Number of crashes that are attributed to it.
        crashes: usize,
        /// Whether it is a part of prompts.
        is_part: bool,
    },
    /// Another VM or the stored list quarantined the request or part.
    Learned {
        /// The request or part.
        fingerprint: SubjectFingerprint,
    },
    /// The request or part was released, since an endpoint answered it.
    Released {
        /// The request or part.
        fingerprint: SubjectFingerprint,
    },
}
