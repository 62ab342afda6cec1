//! Supervision of services and tasks: one that ends by itself is started again, and is reported as down until then.

use std::{
    any::Any,
    collections::BTreeMap,
    panic::AssertUnwindSafe,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use futures::FutureExt as _;
use rand::RngExt as _;
use tokio::time::{Instant, sleep};

use crate::{clock::Clock, shared::lock};

/// Pause before the first restart of a service.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a restart; each restart of a service that ends soon doubles the pause.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(5);
/// Time after which a service that still runs counts as sound, so that its next restart comes early again.
const SOUND_AFTER: Duration = Duration::from_secs(30);
/// Share of a pause that is added at random: a cause that all VMs share ends their services at the same moment.
const RESTART_JITTER: f64 = 1.0;

/// The services and tasks of a router that have ended and run no more, or not for long enough to count as sound.
#[derive(Debug, Default)]
pub struct ServiceHealth {
    unsound_since: Mutex<BTreeMap<&'static str, SystemTime>>,
    ends: AtomicU64,
}

impl ServiceHealth {
    /// Records that a service has ended by itself.
    ///
    /// ```
    /// use std::time::SystemTime;
    /// use havengrade_router::supervision::ServiceHealth;
    ///
    /// let health = ServiceHealth::default();
    /// health.record_end("peers", SystemTime::UNIX_EPOCH);
    /// assert_eq!(health.unsound_services(), ["peers"]);
    /// health.record_sound("peers");
    /// assert!(health.unsound_services().is_empty());
    /// assert_eq!(health.ends(), 1);
    /// ```
    pub fn record_end(&self, service: &'static str, now: SystemTime) {
        metrics::counter!("service_ends", "service" => service).increment(1);
        metrics::gauge!("service_sound", "service" => service).set(0.0);
        self.ends.fetch_add(1, Ordering::Relaxed);
        lock(&self.unsound_since).entry(service).or_insert(now);
    }

    /// Records that a service runs again, and has done so for some time.
    pub fn record_sound(&self, service: &'static str) {
        if lock(&self.unsound_since).remove(service).is_some() {
            metrics::gauge!("service_sound", "service" => service).set(1.0);
            log::info!(service = service; "service is sound again");
        }
    }

    /// The names of the services that are not sound.
    pub fn unsound_services(&self) -> Vec<&'static str> {
        lock(&self.unsound_since).keys().copied().collect()
    }

    /// Number of times that any service has ended by itself.
    pub fn ends(&self) -> u64 {
        self.ends.load(Ordering::Relaxed)
    }
}

/// The pauses between the restarts of one service.
pub(crate) struct RestartPauses {
    next: Duration,
    started_at: Instant,
}

impl RestartPauses {
    pub(crate) fn new() -> Self {
        Self { next: MIN_RESTART_PAUSE, started_at: Instant::now() }
    }

    /// The pause before the restart of a service that has just ended or did not start.
    pub(crate) fn next(&mut self) -> Duration {
        if self.started_at.elapsed() >= SOUND_AFTER {
            self.next = MIN_RESTART_PAUSE;
        }
        let pause = self.next;
        self.next = (pause * 2).min(MAX_RESTART_PAUSE);
        pause.mul_f64(1.0 + RESTART_JITTER * rand::rng().random::<f64>())
    }

    /// Records that the service was started again.
    pub(crate) fn record_start(&mut self) {
        self.started_at = Instant::now();
    }

    /// Waits until a service that runs again counts as sound.
    pub(crate) async fn wait_until_sound(&self) {
        sleep(SOUND_AFTER.saturating_sub(self.started_at.elapsed())).await;
    }
}

/// Runs a task until it returns, and starts it again after each panic.
pub(crate) async fn run_supervised<F: Future<Output = ()>>(
    name: &'static str,
    health: &ServiceHealth,
    clock: &Clock,
    mut start: impl FnMut() -> F,
) {
    let mut pauses = RestartPauses::new();
    loop {
        let mut task = std::pin::pin!(AssertUnwindSafe(start()).catch_unwind());
        let ended = tokio::select! {
            biased;
            ended = task.as_mut() => ended,
            () = pauses.wait_until_sound() => {
                health.record_sound(name);
                task.await
            },
        };
        let Err(panic) = ended else { return };
        health.record_end(name, clock.now());
        let pause = pauses.next();
        log::error!(
            service = name, restart_ms = pause.as_millis() as u64;
            "task ended by a panic and is started again: {}", panic_message(&*panic)
        );
        sleep(pause).await;
        pauses.record_start();
    }
}

/// The message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}
