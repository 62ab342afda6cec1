//! The complete router: control services on one thread and traffic on others.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use havengrade_core::drain::{DrainState, DrainStep};
use ractor::{ActorRef, rpc::CallResult};
use snafu::ResultExt as _;
use tokio::{
    runtime::Handle,
    time::{sleep, timeout},
};
use tokio_util::{
    sync::CancellationToken,
    task::{AbortOnDropHandle, TaskTracker},
};

use crate::{
    clock::Clock,
    http::HttpClient,
    kernel::{BindSnafu, Context, Kernel, Service, StartError, service},
    net::Network,
    platform::{HttpLogService, HttpRatingService, HttpVmList, LogService, RatingService, VmList},
    published::{config_ports, router::PublishedRouter},
    services::{
        bills::{self, BillsActor, BillsMessage},
        config::{self, ConfigActor},
        endpoints::{self, EndpointsActor},
        evidence::{self, EvidenceActor},
        ledger::{self, LedgerActor, LedgerMessage},
        members::{self, MembersActor},
        operators::OperatorsService,
        peers::PeersService,
    },
    settings::Settings,
    shared::SharedState,
    traffic,
};

/// Interval at which a planned stop checks for unfinished work.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for callers to read their answers before their connections are closed.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of routers started in this process.
static ROUTER_COUNT: AtomicU64 = AtomicU64::new(0);

/// Network, clock and random seed of a router.
pub struct RouterEnvironment {
    /// Network for all connections.
    pub network: Arc<dyn Network>,
    /// Clock of the router.
    pub clock: Clock,
    /// Seed of the random number generator, which must differ between runs of the process.
    pub seed: u64,
}

/// A running router.
pub struct Router {
    cx: Context,
    kernel: Kernel,
    server: AbortOnDropHandle<()>,
    /// Router of published routes, if the settings enable it.
    published: Option<PublishedRouter>,
}

impl Router {
    /// Starts a router with its services in the current runtime and its traffic in `traffic`.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a port can't be opened or a service does not start.
    pub async fn start(
        settings: Settings,
        environment: RouterEnvironment,
        traffic: &Handle,
    ) -> Result<Self, StartError> {
        let published_environment = RouterEnvironment { network: environment.network.clone(), ..environment };
        let cx = context(settings, environment);
        let address = cx.shared.settings.listen.callers;
        let callers = cx.network.bind(address).await.context(BindSnafu { key: "listen.callers", address })?;
        let kernel = Kernel::start(services(), &cx).await?;
        let server = AbortOnDropHandle::new(traffic.spawn(traffic::serve(cx.clone(), callers)));
        let published = match cx.shared.settings.published.callers {
            Some(_) => {
                let settings = Settings::clone(&cx.shared.settings);
                Some(PublishedRouter::start(settings, published_environment, config_ports::ports(&cx), traffic).await?)
            },
            None => None,
        };
        log::info!(vm = cx.shared.vm().as_str(), callers = address.to_string().as_str(); "router started");
        Ok(Self { cx, kernel, server, published })
    }

    /// Context of the router's services.
    pub fn context(&self) -> &Context {
        &self.cx
    }

    /// Applies the settings that take effect without a restart.
    pub fn reload(&self, settings: &Settings) {
        if let Some(published) = &self.published {
            published.reload(settings);
        }
    }

    /// Waits for the end of a planned stop, which a signal or an operator begins.
    ///
    /// Returns whether all requests in progress ended before the limit.
    pub async fn wait_for_drain(&self) -> bool {
        match &self.published {
            Some(published) => {
                let (is_complete, is_published_complete) =
                    tokio::join!(self.wait_for_own_drain(), published.wait_for_drain());
                is_complete && is_published_complete
            },
            None => self.wait_for_own_drain().await,
        }
    }

    async fn wait_for_own_drain(&self) -> bool {
        let limit = Duration::from_secs(self.cx.shared.settings.drain.limit_s);
        let mut state = DrainState::Serving;
        loop {
            let now = self.cx.shared.clock.now();
            if state == DrainState::Serving && self.cx.shared.is_draining() {
                state = DrainState::Draining { since: now };
                log::info!(vm = self.cx.shared.vm().as_str(); "drain begins");
                if let Some(published) = &self.published {
                    published.context().shared.start_drain(now);
                }
            }
            match state.step(self.unfinished_count().await, limit, now) {
                DrainStep::Serve | DrainStep::Wait => sleep(DRAIN_POLL_INTERVAL).await,
                DrainStep::Stop => return true,
                DrainStep::StopAtDeadline => return false,
            }
        }
    }

    /// Number of requests in progress, plus one while records wait to be written to the log.
    async fn unfinished_count(&self) -> usize {
        let in_progress = self.cx.shared.requests.in_progress();
        let (Some(ledger), Some(bills)) = (self.cx.find(ledger::NAME), self.cx.find(bills::NAME)) else {
            return in_progress;
        };
        let ledger: ActorRef<LedgerMessage> = ledger;
        let bills: ActorRef<BillsMessage> = bills;
        let ledger = ledger.call(LedgerMessage::IsEmpty, None).await;
        let bills = bills.call(BillsMessage::IsEmpty, None).await;
        let has_unwritten =
            matches!(ledger, Ok(CallResult::Success(false))) || matches!(bills, Ok(CallResult::Success(false)));
        in_progress + usize::from(has_unwritten)
    }

    /// Stops the router gracefully; each caller's connection closes after its current answer.
    pub async fn stop(self) {
        drop(self.server);
        self.cx.graceful_shutdown.cancel();
        self.cx.tracked_tasks.close();
        if timeout(CONNECTION_CLOSE_TIMEOUT, self.cx.tracked_tasks.wait()).await.is_err() {
            log::warn!(vm = self.cx.shared.vm().as_str(); "closing connections of callers that read too slowly");
        }
        if let Some(published) = self.published {
            published.stop().await;
        }
        self.cx.forced_shutdown.cancel();
        self.kernel.stop().await;
        log::info!(vm = self.cx.shared.vm().as_str(); "router stopped");
    }

    /// Stops the router immediately, as a crash would.
    pub fn kill(mut self) {
        self.cx.forced_shutdown.cancel();
        self.kernel.kill();
        if let Some(published) = self.published {
            published.kill();
        }
    }
}

fn services() -> Vec<Box<dyn Service>> {
    vec![
        service(evidence::NAME, || EvidenceActor),
        service(endpoints::NAME, || EndpointsActor),
        service(ledger::NAME, || LedgerActor),
        service(bills::NAME, || BillsActor),
        service(config::NAME, || ConfigActor),
        Box::new(PeersService),
        service(members::NAME, || MembersActor),
        Box::new(OperatorsService),
    ]
}

fn context(settings: Settings, environment: RouterEnvironment) -> Context {
    let connect_timeout = Duration::from_millis(settings.endpoints.connect_timeout_ms);
    let http = HttpClient::new(environment.network.clone(), connect_timeout);
    let log_timeout = Duration::from_millis(settings.log_service.timeout_ms);
    let log: Arc<dyn LogService> =
        Arc::new(HttpLogService::new(http.clone(), settings.log_service.address, log_timeout));
    let vm_list: Arc<dyn VmList> = Arc::new(HttpVmList::new(http.clone(), settings.vm_list.address, log_timeout));
    let rating_timeout = Duration::from_millis(settings.rating.timeout_ms);
    let rating: Option<Arc<dyn RatingService>> = settings.rating.enabled.then(|| {
        let rating = HttpRatingService::new(http.clone(), settings.rating.address, rating_timeout);
        Arc::new(rating) as Arc<dyn RatingService>
    });
    let shared = Arc::new(SharedState::new(Arc::new(settings), environment.clock, environment.seed));
    let router_number = ROUTER_COUNT.fetch_add(1, Ordering::Relaxed);
    Context {
        shared,
        network: environment.network,
        log,
        vm_list,
        rating,
        http: http.with_own_room(),
        forced_shutdown: CancellationToken::new(),
        graceful_shutdown: CancellationToken::new(),
        tracked_tasks: TaskTracker::new(),
        router_number,
    }
}
