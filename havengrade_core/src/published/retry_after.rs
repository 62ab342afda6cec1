//! The retry delay for a caller whose request didn't run.
//!
//! Most callers retry once. A caller with too short a delay is rejected again and gives up; callers with the same delay
//! all retry at the same moment.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Why a request didn't run, as far as it determines when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// This VM can't serve the request, but another one can.
    VmUnavailable,
    /// No VM that was asked reaches an endpoint.
    EndpointsUnreachable,
    /// All endpoints are fully occupied.
    EndpointsFull,
    /// The only available version of the service was found to be bad; operators must deploy another one.
    BadVersion,
    /// No endpoint that could serve the request accepts another one now.
    EndpointsAtLimit {
        /// Time until the first of them does.
        retry_after: Duration,
    },
    /// All endpoints that could serve the request are shutting down; others may be listed soon.
    EndpointsShuttingDown,
    /// All endpoints that could serve the request are in failure domains that operators have emptied.
    DomainsEmptied {
        /// Time for which the domains are known to have been emptied.
        known_for: Duration,
    },
    /// The version of the session is gone; the session can start anew with another version once it has ended.
    SessionVersionGone {
        /// Time until the session ends.
        left: Duration,
    },
    /// The request is quarantined, since endpoints crashed while they served it.
    Quarantine {
        /// Time after which it may be released.
        retry_after: Duration,
    },
    /// The endpoints are short of capacity, and other requests are served first.
    Shortage {
        /// Time after which the request should be retried, with the random part.
        retry_after: Duration,
    },
    /// No VM can serve the request until the store is reachable again.
    StoreUnreachable {
        /// Time for which the store is known to have been unreachable.
        known_for: Duration,
    },
}

/// Retry delay if another VM can serve the request.
const OTHER_VM_DELAY: Duration = Duration::from_millis(50);
/// Time in which the queue of a full endpoint shortens.
const QUEUE_DELAY: Duration = Duration::from_millis(200);
/// Time in which a lost path to the endpoints, or another VM, may be available.
const REACH_DELAY: Duration = Duration::from_millis(500);
/// Time in which operators may deploy another version; most callers can't wait longer.
const VERSION_DELAY: Duration = Duration::from_secs(5);
/// Margin after the end of a session as a VM counts it. For the caller, the session ends a moment later, since the last
/// answer reached it later.
const SESSION_MARGIN: Duration = Duration::from_millis(100);
/// Lower bound on the expected remaining time of a store outage.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);
/// Upper bound on the delay for a store outage.
const MAX_OUTAGE: Duration = Duration::from_secs(5);
/// Upper bound on the delay for a limited endpoint; other endpoints may accept requests by then.
const MAX_LIMIT_DELAY: Duration = Duration::from_secs(5);
/// Time in which other endpoints are listed in place of those that are shutting down.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1000);
/// Lower bound on the expected remaining time for which a failure domain stays emptied.
const MIN_EMPTIED: Duration = Duration::from_millis(1000);
/// Upper bound on the delay for an emptied failure domain.
const MAX_EMPTIED: Duration = Duration::from_secs(5);
/// Share of the delay that is added at random at most, so that callers don't all retry at the same moment.
const JITTER: f64 = 0.5;

/// The delay after which a caller should retry.
///
/// How long an outage or an operator's order will last is unknown; it is expected to last as long again as it has so
/// far.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::retry_after::{RetryReason, retry_delay};
/// use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let delay = retry_delay(RetryReason::StoreUnreachable { known_for: Duration::from_secs(3) }, &mut rng);
/// assert!(delay >= Duration::from_secs(3) && delay < Duration::from_millis(4500));
/// ```
pub fn retry_delay(reason: RetryReason, rng: &mut dyn Rng) -> Duration {
    let mut with_jitter = |delay: Duration| delay.mul_f64(1.0 + JITTER * rng.random::<f64>());
    match reason {
        RetryReason::VmUnavailable => OTHER_VM_DELAY,
        RetryReason::EndpointsFull => QUEUE_DELAY,
        RetryReason::EndpointsUnreachable => with_jitter(REACH_DELAY),
        RetryReason::EndpointsAtLimit { retry_after } => {
            with_jitter(retry_after.clamp(OTHER_VM_DELAY, MAX_LIMIT_DELAY))
        },
        RetryReason::EndpointsShuttingDown => with_jitter(REPLACEMENT_DELAY),
        RetryReason::BadVersion => with_jitter(VERSION_DELAY),
        RetryReason::DomainsEmptied { known_for } => with_jitter(known_for.clamp(MIN_EMPTIED, MAX_EMPTIED)),
        RetryReason::SessionVersionGone { left } => left + SESSION_MARGIN,
        RetryReason::Quarantine { retry_after } | RetryReason::Shortage { retry_after } => retry_after,
        RetryReason::StoreUnreachable { known_for } => with_jitter(known_for.clamp(MIN_OUTAGE, MAX_OUTAGE)),
    }
}
