//! Microkernel that starts the services in order, finds them by name and stops them in reverse order.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use ractor::{ActorCell, ActorRef, Message, SpawnErr, registry};
use snafu::{ResultExt as _, Snafu};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{net::Network, platform, shared::SharedState};

/// A failure to start a router.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An actor could not be started.
    #[snafu(display("service {name} did not start: {source}"))]
    Spawn {
        /// Name of the service.
        name: &'static str,
        /// Error of the actor library.
        source: SpawnErr,
    },
    /// A port could not be opened.
    #[snafu(display("{key} = {address}: {source}; give an address of this VM with a free port"))]
    Bind {
        /// Key of the setting.
        key: &'static str,
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A required setting has no value.
    #[snafu(display("{key} is not set; give it a value"))]
    Unset {
        /// Key of the setting.
        key: &'static str,
    },
    /// A required service is not running.
    #[snafu(display("required service {name} is not running"))]
    Missing {
        /// Name of the service.
        name: &'static str,
    },
}

/// State and clients that all services share.
#[derive(Clone)]
pub struct Context {
    /// State shared with the traffic threads.
    pub shared: Arc<SharedState>,
    /// Network for all connections.
    pub network: Arc<dyn Network>,
    /// The platform's log service.
    pub log: Arc<dyn platform::LogService>,
    /// The platform's VM list.
    pub vm_list: Arc<dyn platform::VmList>,
    /// The rating service, if one is enabled.
    pub rating: Option<Arc<dyn platform::RatingService>>,
    /// The HTTP client for endpoints.
    pub http: crate::http::HttpClient,
    /// Cancelled to abort all traffic tasks.
    pub forced_shutdown: CancellationToken,
    /// Cancelled to close callers' connections after their current answers.
    pub graceful_shutdown: CancellationToken,
    /// Tasks that serve callers' connections.
    pub tracked_tasks: TaskTracker,
    /// Number of the router within the process, which makes its actors' names unique in the global registry.
    pub router_number: u64,
}

impl Context {
    /// Finds the actor of a service of this router by the name of the service.
    pub fn find<M: Message>(&self, name: &str) -> Option<ActorRef<M>> {
        registry::where_is(self.actor_name(name)).map(ActorRef::from)
    }

    /// Spawns a traffic task, which is aborted on a forced shutdown.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let forced_shutdown = self.forced_shutdown.clone();
        tokio::spawn(async move {
            forced_shutdown.run_until_cancelled(task).await;
        });
    }
}

/// Context that is passed to services and tells the routers of one process apart.
pub trait ServiceContext: Clone + Send + Sync + 'static {
    /// Name of a service's actor in the registry, which is global to the process.
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
    /// Name by which other services find this one.
    fn name(&self) -> &'static str;

    /// Starts the service's actor.
    async fn start(&self, cx: &C) -> Result<ActorCell, StartError>;
}

/// A service whose actor takes the context as its only argument.
struct ActorService<A> {
    name: &'static str,
    make: fn() -> A,
}

/// Creates a service whose actor takes the context as its only argument.
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

/// The running services, in the order of their start.
#[derive(Default)]
pub struct Kernel {
    running: Vec<(&'static str, ActorCell)>,
}

/// Time for a service to stop before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

impl Kernel {
    /// Starts services in order; after a failure, those already started are stopped.
    ///
    /// # Errors
    ///
    /// [`StartError`] of the first service that fails to start.
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

    /// Kills the services immediately, as a crash would.
    pub fn kill(&mut self) {
        self.running.drain(..).for_each(|(_, actor)| actor.kill());
    }
}

/// Starts an actor and registers it under the name of its service.
pub(crate) async fn spawn<C: ServiceContext, A: ractor::Actor>(
    name: &'static str,
    cx: &C,
    actor: A,
    arguments: A::Arguments,
) -> Result<ActorCell, StartError> {
    let started = ractor::Actor::spawn(Some(cx.actor_name(name)), actor, arguments).await;
    started.map(|(actor, _)| actor.get_cell()).context(SpawnSnafu { name })
}
