//! The router of published routes: its start, planned stop and shutdown.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use havengrade_core::drain::{DrainState, DrainStep};
use snafu::{OptionExt as _, ResultExt as _};
use tokio::{
    runtime::Handle,
    sync::Mutex,
    time::{sleep, timeout},
};
use tokio_util::{
    sync::CancellationToken,
    task::{AbortOnDropHandle, TaskTracker},
};

use crate::{
    kernel::{BindSnafu, Kernel, Service, StartError, UnsetSnafu},
    net::SharedListener,
    published::{
        context::{PublishedContext, PublishedState},
        feed_reader::FeedService,
        peers::PeersService,
        ports::{Ports, Roster},
        quarantine::sync_quarantine_list,
        registration::maintain_registration,
        rollouts::RolloutService,
        server::{metrics_page, readiness, serve_callers, serve_page},
        shutdown::{BALANCER_NOTICE_TIME, shutdown_time_limit},
        state_server::serve_state,
    },
    router::RouterEnvironment,
    settings::Settings,
    supervision::run_supervised,
};

/// Interval between two checks whether a planned stop is complete.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last answers to be written before open connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of routers that were started in this process.
static ROUTER_COUNT: AtomicU64 = AtomicU64::new(0);

/// A running router of published routes.
pub struct PublishedRouter {
    cx: PublishedContext,
    kernel: Kernel,
    servers: Vec<AbortOnDropHandle<()>>,
}

impl PublishedRouter {
    /// Starts a router: its services in the current runtime, its traffic in `traffic`.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a port can't be opened or a service does not start.
    pub async fn start(
        settings: Settings,
        parts: RouterEnvironment,
        ports: Ports,
        traffic: &Handle,
    ) -> Result<Self, StartError> {
        let Ports { dialect, operators, endpoints, statuses, quarantine, roster, uses_state_transfer } = ports;
        let shared = PublishedState::new(settings, parts.clock, dialect, parts.network.clone(), parts.seed);
        let cx = PublishedContext {
            shared: Arc::new(shared),
            network: parts.network,
            quarantine_list: quarantine,
            forced_shutdown: CancellationToken::new(),
            traffic: traffic.clone(),
            graceful_shutdown: CancellationToken::new(),
            tracked_tasks: TaskTracker::new(),
            uses_state_transfer,
            router_number: ROUTER_COUNT.fetch_add(1, Ordering::Relaxed),
        };
        let settings = &cx.shared.settings;
        let address = settings.published.callers.context(UnsetSnafu { key: "published.callers" })?;
        let callers = bind(&cx, "published.callers", address).await?;
        let balancer = bind(&cx, "published.readiness", settings.published.readiness).await?;
        let metrics = bind(&cx, "published.metrics", settings.published.metrics).await?;
        let services: Vec<Box<dyn Service<PublishedContext>>> = vec![
            Box::new(RolloutService::new(statuses)),
            Box::new(FeedService::operators(operators)),
            Box::new(FeedService::endpoints(endpoints)),
            Box::new(PeersService),
        ];
        let kernel = Kernel::start(services, &cx).await?;
        let roster: Arc<dyn Roster> = Arc::from(roster);
        let registration =
            supervised(&cx, "published-registration", move |cx| maintain_registration(cx, roster.clone()));
        cx.tracked_tasks.spawn(cx.forced_shutdown.clone().run_until_cancelled_owned(registration));
        let quarantine = supervised(&cx, "published-quarantine", sync_quarantine_list);
        cx.tracked_tasks.spawn(cx.forced_shutdown.clone().run_until_cancelled_owned(quarantine));
        let mut servers = Vec::new();
        if uses_state_transfer {
            let state = bind(&cx, "listen.peers", cx.shared.settings.listen.peers).await?;
            let served = supervised(&cx, "published-state-server", move |cx| serve_state(cx, state.clone()));
            servers.push(AbortOnDropHandle::new(tokio::spawn(served)));
        }
        let callers = supervised(&cx, "published-callers", move |cx| serve_callers(cx, callers.clone()));
        let balancer = supervised(&cx, "published-readiness", move |cx| serve_page(cx, balancer.clone(), readiness));
        let metrics = supervised(&cx, "published-metrics", move |cx| serve_page(cx, metrics.clone(), metrics_page));
        servers.extend([
            AbortOnDropHandle::new(traffic.spawn(callers)),
            AbortOnDropHandle::new(tokio::spawn(balancer)),
            AbortOnDropHandle::new(tokio::spawn(metrics)),
        ]);
        log::info!(vm = cx.shared.settings.vm.id.as_str(); "router of published routes started");
        Ok(Self { cx, kernel, servers })
    }

    /// Returns the context that the router's services share.
    pub fn context(&self) -> &PublishedContext {
        &self.cx
    }

    /// Applies the settings that can change while the router runs.
    pub fn reload(&self, settings: &Settings) {
        self.cx.shared.apply_settings(settings.published.clone());
    }

    /// Waits until a planned stop is complete, or its deadline has passed.
    ///
    /// Returns whether all requests in progress ended before the deadline.
    pub async fn wait_for_drain(&self) -> bool {
        let since = loop {
            match self.cx.shared.drain_since() {
                Some(since) => break since,
                None => sleep(DRAIN_CHECK_INTERVAL).await,
            }
        };
        self.wait_for_balancer(since).await;
        self.cx.graceful_shutdown.cancel();
        let state = DrainState::Draining { since };
        loop {
            let unfinished = self.cx.tracked_tasks.len().max(self.cx.shared.in_progress.load(Ordering::Acquire));
            match state.step(unfinished, shutdown_time_limit(&self.cx), self.cx.shared.clock.now()) {
                DrainStep::Serve | DrainStep::Wait => sleep(DRAIN_CHECK_INTERVAL).await,
                DrainStep::Stop => return true,
                DrainStep::StopAtDeadline => return false,
            }
        }
    }

    /// Continues to serve until the balancer has noticed that this VM is no longer ready.
    async fn wait_for_balancer(&self, since: SystemTime) {
        let notice_time = BALANCER_NOTICE_TIME.min(shutdown_time_limit(&self.cx));
        let elapsed = self.cx.shared.clock.now().duration_since(since).unwrap_or_default();
        sleep(notice_time.saturating_sub(elapsed)).await;
    }

    /// Stops the router immediately, as a crash would.
    pub fn kill(mut self) {
        self.cx.forced_shutdown.cancel();
        self.kernel.kill();
    }

    /// Stops the router gracefully; connections that are still open after a short time are closed.
    pub async fn stop(self) {
        drop(self.servers);
        self.cx.graceful_shutdown.cancel();
        self.cx.tracked_tasks.close();
        if timeout(CLOSE_TIMEOUT, self.cx.tracked_tasks.wait()).await.is_err() {
            log::warn!(
                open = self.cx.tracked_tasks.len();
                "closing connections that are still open at the end of the planned stop"
            );
        }
        self.cx.forced_shutdown.cancel();
        log::info!(vm = self.cx.shared.settings.vm.id.as_str(); "router of published routes stopped");
        drop(self.kernel);
    }
}

async fn bind(cx: &PublishedContext, key: &'static str, address: SocketAddr) -> Result<SharedListener, StartError> {
    let listener = cx.network.bind(address).await.context(BindSnafu { key, address })?;
    Ok(Arc::new(Mutex::new(listener)))
}

/// Returns a task that is started again after each panic.
fn supervised<F: Future<Output = ()> + Send + 'static>(
    cx: &PublishedContext,
    name: &'static str,
    start: impl Fn(PublishedContext) -> F + Send + Sync + 'static,
) -> impl Future<Output = ()> + Send + 'static {
    let cx = cx.clone();
    async move { run_supervised(name, &cx.shared.health, &cx.shared.clock, || start(cx.clone())).await }
}
