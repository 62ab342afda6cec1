//! Checks whether this VM reaches any endpoint, after a failed connect or a silence of all of them.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use futures::future::join_all;
use havengrade_core::published::endpoint_reach::{EndpointReach, ReachChange, select_checked};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    endpoints::{from_millis, to_millis},
    published::context::PublishedContext,
    quarantine::{ProbeResult, probe},
    shared::lock,
};

/// Time without anything from any endpoint after which a waiting request starts a check; connects take a few
/// milliseconds.
const PATIENCE: Duration = Duration::from_millis(250);
/// Time limit for the connects of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two checks while no endpoint can be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// The reach of this VM, shared by all requests.
#[derive(Debug)]
pub struct ReachMonitor {
    reach: Mutex<EndpointReach>,
    is_lost: watch::Sender<bool>,
    /// Whether all endpoints of the last check were silent; one that refuses a connect can be reached, but may be down.
    is_silent: AtomicBool,
    /// Random numbers of checks and relays; separate, so that these change no choice of endpoints.
    rng: Mutex<ChaCha8Rng>,
    /// When anything last arrived from an endpoint, in milliseconds since the Unix epoch; 0 for never.
    heard_ms: AtomicU64,
}

impl ReachMonitor {
    /// Creates a monitor that assumes that endpoints can be reached.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            reach: Mutex::default(),
            is_lost: watch::Sender::new(false),
            is_silent: AtomicBool::new(false),
            heard_ms: AtomicU64::new(0),
        }
    }

    /// Locks the random number generator of checks and relays; hold the guard only briefly.
    pub(super) fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        lock(&self.rng)
    }

    /// Whether no endpoint can be reached, as far as is known.
    pub fn is_lost(&self) -> bool {
        *self.is_lost.borrow()
    }

    /// Whether it is certain that this VM can send nothing: no endpoint can be reached, and all of them are silent.
    pub fn is_silent(&self) -> bool {
        self.is_lost() && self.is_silent.load(Ordering::Acquire)
    }

    /// Records that something arrived from an endpoint on an open connection.
    pub fn record_heard(&self, now: SystemTime) {
        self.heard_ms.fetch_max(to_millis(now), Ordering::AcqRel);
    }

    /// Records a successful connect to an endpoint.
    pub fn record_connect(&self, now: SystemTime) {
        self.record_heard(now);
        lock(&self.reach).record_connect(now);
    }

    fn has_heard_since(&self, since: SystemTime) -> bool {
        from_millis(self.heard_ms.load(Ordering::Acquire)).is_some_and(|at| at >= since)
    }

    fn publish(&self, change: Option<ReachChange>) {
        match change {
            None => {},
            Some(ReachChange::Lost) => {
                log::warn!("no endpoint can be reached; sending requests through other VMs");
                self.is_lost.send_replace(true);
            },
            Some(ReachChange::Regained { lost_for }) => {
                log::info!(lost_ms = lost_for.as_millis() as u64; "endpoints can be reached again");
                self.is_lost.send_replace(false);
            },
        }
        metrics::gauge!("endpoints_reachable").set(if self.is_lost() { 0.0 } else { 1.0 });
    }
}

/// Starts a check unless one is running or an endpoint has just been connected to.
pub(super) fn start_check(cx: &PublishedContext) {
    let begins = lock(&cx.shared.reach.reach).begin_check(cx.shared.clock.now());
    if begins {
        tokio::spawn(cx.forced_shutdown.clone().run_until_cancelled_owned(check(cx.clone())));
    }
}

/// Connects to a few endpoints, again and again while none of them can be reached.
async fn check(cx: PublishedContext) {
    loop {
        let checked = checked_endpoints(&cx);
        // The connections are dropped: a request on one whose endpoint ends meanwhile would seem to be in progress there.
        let found = join_all(checked.iter().map(|address| probe(&*cx.network, *address, CHECK_TIMEOUT))).await;
        let connected = found.iter().filter(|(found, _)| *found == ProbeResult::Answers).count();
        let is_silent = found.iter().all(|(found, _)| *found == ProbeResult::Silent);
        cx.shared.reach.is_silent.store(is_silent, Ordering::Release);
        let now = cx.shared.clock.now();
        if connected > 0 {
            cx.shared.reach.record_heard(now);
        }
        let change = lock(&cx.shared.reach.reach).finish_check(checked.len(), connected, now);
        cx.shared.reach.publish(change);
        if !cx.shared.reach.is_lost() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn checked_endpoints(cx: &PublishedContext) -> Vec<SocketAddr> {
    let usable = cx.shared.usable_endpoints.load();
    let selected = select_checked(usable.values().flatten(), &mut *cx.shared.reach.rng());
    selected.into_iter().map(|endpoint| endpoint.address).collect()
}

/// Waits until it is known that no endpoint can be reached since all are silent, and nothing has arrived from any of them since `since`.
///
/// Starts checks while nothing arrives.
pub(super) async fn wait_until_unreachable(cx: &PublishedContext, since: SystemTime) {
    let reach = &cx.shared.reach;
    let mut lost = reach.is_lost.subscribe();
    loop {
        lost.borrow_and_update();
        if reach.is_silent() && !reach.has_heard_since(since) {
            return;
        }
        // The sender lives as long as the shared state.
        if timeout(PATIENCE, lost.changed()).await.is_err() && !reach.has_heard_since(since) {
            start_check(cx);
        }
    }
}
