//! When a caller whose request did not run should come back.
//!
//! Most callers come back once. Told too early, they are refused again and are lost; told all the same time,
//! they come all at once.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Why a request was not run, as far as it matters to when it may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// This VM can't serve it, another one can.
    VmUnavailable,
    /// No endpoint has room.
    EndpointsFull,
    /// The only version of the service that is there was found to be bad; operators must bring another one.
    BadVersion,
    /// No endpoint that could serve it takes another request now.
    EndpointsAtLimit {
        /// Time until the first of them does.
        retry_after: Duration,
    },
    /// All endpoints that could serve it leave; others may be listed soon.
    EndpointsShuttingDown,
    /// All endpoints that could serve it stand in failure domains that operators have emptied.
    DomainsEmptied {
        /// Time for which they have been, as far as is known.
        known_for: Duration,
    },
    /// The version of its session is gone, and a session that has ended may begin anew with another one.
    SessionVersionGone {
        /// Time until the session ends.
        left: Duration,
    },
    /// Endpoints end under the request.
    Quarantine {
        /// Time after which it may be free again.
        retry_after: Duration,
    },
    /// No VM can serve it until the store is back.
    StoreUnreachable {
        /// Time for which the store has not been reached, as far as is known.
        known_for: Duration,
    },
}

/// Time to come back to another VM.
const OTHER_VM_DELAY: Duration = Duration::from_millis(50);
/// Time in which the queue of a full endpoint gets shorter.
const QUEUE_DELAY: Duration = Duration::from_millis(200);
/// Time in which operators may bring another version; most callers can't wait longer.
const VERSION_DELAY: Duration = Duration::from_secs(5);
/// Time after the end of a session, as a VM counts it, from which it has ended for its caller too, who had the last answer a moment later.
const SESSION_SLACK: Duration = Duration::from_millis(100);
/// Least time that an outage of the store is expected to last on.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);
/// Most time that a caller is told to wait for the store.
const MAX_OUTAGE: Duration = Duration::from_secs(5);
/// Most time that a caller is told to wait for an endpoint that takes few requests; others may have room by then.
const MAX_LIMIT_DELAY: Duration = Duration::from_secs(5);
/// Time in which other endpoints are listed in place of those that leave.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1000);
/// Least time that an order to empty a failure domain is expected to stand on.
const MIN_EMPTIED: Duration = Duration::from_millis(1000);
/// Most time that a caller is told to wait for a domain to be taken back.
const MAX_EMPTIED: Duration = Duration::from_secs(5);
/// Part of the time by which callers are with_jitter.
const JITTER: f64 = 0.5;

/// Time after which a caller should come back.
///
/// Nothing tells how long an outage or an order of operators will last; it is expected to last as long again as it has lasted.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::retry_after::{RetryReason, retry_delay};
/// use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let wait = retry_delay(RetryReason::StoreUnreachable { known_for: Duration::from_secs(3) }, &mut rng);
/// assert!(wait >= Duration::from_secs(3) && wait < Duration::from_millis(4500));
/// ```
pub fn retry_delay(reason: RetryReason, rng: &mut dyn Rng) -> Duration {
    let mut with_jitter = |time: Duration| time.mul_f64(1.0 + JITTER * rng.random::<f64>());
    match reason {
        RetryReason::VmUnavailable => OTHER_VM_DELAY,
        RetryReason::EndpointsFull => QUEUE_DELAY,
        RetryReason::EndpointsAtLimit { retry_after } => {
            with_jitter(retry_after.clamp(OTHER_VM_DELAY, MAX_LIMIT_DELAY))
        },
        RetryReason::EndpointsShuttingDown => with_jitter(REPLACEMENT_DELAY),
        RetryReason::BadVersion => with_jitter(VERSION_DELAY),
        RetryReason::DomainsEmptied { known_for } => with_jitter(known_for.clamp(MIN_EMPTIED, MAX_EMPTIED)),
        RetryReason::SessionVersionGone { left } => left + SESSION_SLACK,
        RetryReason::Quarantine { retry_after } => retry_after,
        RetryReason::StoreUnreachable { known_for } => with_jitter(known_for.clamp(MIN_OUTAGE, MAX_OUTAGE)),
    }
}
