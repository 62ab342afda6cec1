//! Time limits of a planned stop.

use std::time::{Duration, SystemTime};

use crate::published::context::PublishedContext;

/// Time that a load balancer takes to notice that this VM is no longer ready: two checks, a second apart.
pub(super) const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period at which the remaining connections are closed.
const CUT_MARGIN: Duration = Duration::from_millis(700);

/// Time from the beginning of a planned stop until the remaining connections are closed.
pub(super) fn shutdown_time_limit(cx: &PublishedContext) -> Duration {
    Duration::from_secs_f64(cx.shared.published_settings().grace_s).saturating_sub(CUT_MARGIN)
}

/// Whether a request that arrives now, and may take `longest`, could be cut by a planned stop.
///
/// Until the load balancer has noticed the stop, requests are accepted all the same: they have nowhere else to go.
pub(super) fn may_outlast_shutdown(cx: &PublishedContext, longest: Duration, now: SystemTime) -> bool {
    let since = cx.shared.drain_since();
    since.is_some_and(|since| now >= since + BALANCER_NOTICE_TIME && now + longest > since + shutdown_time_limit(cx))
}
