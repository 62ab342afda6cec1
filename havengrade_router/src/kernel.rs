//! The micro-kernel: starts services in order, knows them by name only, stops them in reverse.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use ractor::{ActorCell, ActorRef, Message, SpawnErr, registry};
use snafu::{ResultExt as _, Snafu};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{net::Network, platform, shared::SharedState};

/// Why a router did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An actor could not be started.
    #[snafu(display("service {name} did not start: {source}"))]
    Spawn {
        /// Name of the service.
        name: &'static str,
        /// What the actor library says.
        source: SpawnErr,
    },
    /// A port could not be opened.
    #[snafu(display("{key} = {address}: {source}; give an address of this VM with a free port"))]
    Bind {
        /// Key of the setting.
        key: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// A setting that is needed has no value.
    #[snafu(display("{key} is not set; give it a value"))]
    Unset {
        /// Key of the setting.
        key: &'static str,
    },
    /// A service that another one needs is not there.
    #[snafu(display("service {name} is not there"))]
    Missing {
        /// Name of the service.
        name: &'static str,
    },
}

/// What every service is given.
#[derive(Clone)]
pub struct Context {
    /// State shared with traffic.
    pub shared: Arc<SharedState>,
    /// The network.
    pub network: Arc<dyn Network>,
    /// The platform's log.
    pub log: Arc<dyn platform::LogService>,
    /// The platform's VM list.
    pub vm_list: Arc<dyn platform::VmList>,
    /// The rating service, where there is one.
    pub rating: Option<Arc<dyn platform::RatingService>>,
    /// The HTTP client for endpoints.
    pub http: crate::http::HttpClient,
    /// Ends the tasks of traffic.
    pub forced_shutdown: CancellationToken,
    /// Makes callers' connections end with the answer that they are at.
    pub graceful_shutdown: CancellationToken,
    /// Callers' connections.
    pub tracked_tasks: TaskTracker,
    /// Number of the router within the process, since the registry of actors is the process's.
    pub router_number: u64,
}

impl Context {
    /// Finds a service of this VM by its name.
    pub fn find<M: Message>(&self, name: &str) -> Option<ActorRef<M>> {
        registry::where_is(self.actor_name(name)).map(ActorRef::from)
    }

    /// Starts a task of traffic, which ends at the latest when the router does.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let forced_shutdown = self.forced_shutdown.clone();
        tokio::spawn(async move {
            forced_shutdown.run_until_cancelled(task).await;
        });
    }
}

/// What services are given, and what tells the routers of one process apart.
pub trait ServiceContext: Clone + Send + Sync + 'static {
    /// The name under which a service's actor is registered; the registry is global to the process.
    fn actor_name(&self, service: &str) -> String;
}

impl ServiceContext for Context {
    fn actor_name(&self, service: &str) -> String {
        format!("{}/{}/{service}", self.shared.vm(), self.router_number)
    }
}

/// A service of the control thread.
#[async_trait]
pub trait Service<C: ServiceContext = Context>: Send {
    /// Name under which others find it.
    fn name(&self) -> &'static str;

    /// Starts its actor.
    async fn start(&self, cx: &C) -> Result<ActorCell, StartError>;
}

/// A service that is an actor and needs nothing but the context.
struct ActorService<A> {
    name: &'static str,
    make: fn() -> A,
}

/// A service whose actor is given the context and nothing else.
pub(crate) fn service<C, A>(name: &'static str, make: fn() -> A) -> Box<dyn Service<C>>
where
    C: ServiceContext,
    A: ractor::Actor<Arguments = C>,
{
    Box::new(ActorService { name, make })
}

#[async_trait]
impl<C: ServiceContext, A: ractor::Actor<Arguments = C>> Service<C> for ActorService<A> {
    fn name(&self) -> &'static str {
        self.name
    }

    async fn start(&self, cx: &C) -> Result<ActorCell, StartError> {
        spawn(self.name, cx, (self.make)(), cx.clone()).await
    }
}

/// The services that have been started.
#[derive(Default)]
pub struct Kernel {
    running: Vec<(&'static str, ActorCell)>,
}

/// Time that a service has to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

impl Kernel {
    /// Starts services in order; on failure those that run are stopped again.
    ///
    /// # Errors
    ///
    /// [`StartError`] of the first service that did not start.
    pub async fn start<C: ServiceContext>(services: Vec<Box<dyn Service<C>>>, cx: &C) -> Result<Self, StartError> {
        let mut kernel = Self::default();
        for service in services {
            match service.start(cx).await {
                Ok(actor) => kernel.running.push((service.name(), actor)),
                Err(error) => {
                    kernel.stop().await;
                    return Err(error);
                },
            }
        }
        Ok(kernel)
    }

    /// Stops the services in reverse order.
    pub async fn stop(mut self) {
        while let Some((name, actor)) = self.running.pop() {
            if let Err(error) = actor.stop_and_wait(None, Some(STOP_TIMEOUT)).await {
                log::warn!(service = name; "service did not stop in time: {error}");
                actor.kill();
            }
        }
    }

    /// Ends the services at once, as a crash would.
    pub fn kill(&mut self) {
        self.running.drain(..).for_each(|(_, actor)| actor.kill());
    }
}

/// Starts an actor under its service's name.
pub(crate) async fn spawn<C: ServiceContext, A: ractor::Actor>(
    name: &'static str,
    cx: &C,
    actor: A,
    arguments: A::Arguments,
) -> Result<ActorCell, StartError> {
    let started = ractor::Actor::spawn(Some(cx.actor_name(name)), actor, arguments).await;
    started.map(|(actor, _)| actor.get_cell()).context(SpawnSnafu { name })
}
