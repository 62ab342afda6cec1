//! Microkernel that starts the services in order, finds them by name, starts those that end by themselves again, and
//! stops them in reverse order.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use ractor::{ActorCell, ActorRef, Message, SpawnErr, registry};
use snafu::{ResultExt as _, Snafu};
use tokio::time::sleep;
use tokio_util::{
    sync::CancellationToken,
    task::{AbortOnDropHandle, TaskTracker},
};

use crate::{
    clock::Clock,
    net::Network,
    platform,
    shared::{SharedState, lock},
    supervision::{RestartPauses, ServiceHealth},
};

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

    /// The services that have ended by themselves.
    fn health(&self) -> &ServiceHealth;

    /// Clock of the router.
    fn clock(&self) -> &Clock;
}

impl ServiceContext for Context {
    fn actor_name(&self, service: &str) -> String {
        format!("{}/{}/{service}", self.shared.vm(), self.router_number)
    }

    fn health(&self) -> &ServiceHealth {
        &self.shared.health
    }

    fn clock(&self) -> &Clock {
        &self.shared.clock
    }
}

/// A service of the control thread.
#[async_trait]
pub trait Service<C: ServiceContext = Context>: Send + Sync + 'static {
    /// Name by which other services find this one.
    fn name(&self) -> &'static str;

    /// Starts the service's actor; called again if the actor ends by itself.
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

/// A running service.
struct RunningService {
    name: &'static str,
    /// The actor, which changes with each restart.
    actor: Arc<Mutex<ActorCell>>,
    supervisor: AbortOnDropHandle<()>,
}

/// The running services, in the order of their start.
#[derive(Default)]
pub struct Kernel {
    running: Vec<RunningService>,
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
                Ok(actor) => kernel.running.push(RunningService::supervise(service, actor, cx.clone())),
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
        while let Some(RunningService { name, actor, supervisor }) = self.running.pop() {
            drop(supervisor);
            let actor = lock(&actor).clone();
            if let Err(error) = actor.stop_and_wait(None, Some(STOP_TIMEOUT)).await {
                log::warn!(service = name; "service did not stop in time: {error}");
                actor.kill();
            }
        }
    }

    /// Kills the services immediately, as a crash would.
    pub fn kill(&mut self) {
        for RunningService { actor, supervisor, .. } in self.running.drain(..) {
            drop(supervisor);
            lock(&actor).kill();
        }
    }
}

impl RunningService {
    fn supervise<C: ServiceContext>(service: Box<dyn Service<C>>, actor: ActorCell, cx: C) -> Self {
        let name = service.name();
        let actor = Arc::new(Mutex::new(actor));
        let supervisor = AbortOnDropHandle::new(tokio::spawn(restart_when_ended(service, actor.clone(), cx)));
        Self { name, actor, supervisor }
    }
}

/// Starts the actor of a service again whenever it has ended, until this task is aborted.
async fn restart_when_ended<C: ServiceContext>(service: Box<dyn Service<C>>, actor: Arc<Mutex<ActorCell>>, cx: C) {
    let name = service.name();
    let mut pauses = RestartPauses::new();
    loop {
        let running = lock(&actor).clone();
        tokio::select! {
            biased;
            _ = running.wait(None) => {},
            () = pauses.wait_until_sound() => {
                cx.health().record_sound(name);
                // Without a timeout the wait does not fail.
                let _ = running.wait(None).await;
            },
        }
        cx.health().record_end(name, cx.clock().now());
        loop {
            let pause = pauses.next();
            log::error!(service = name, restart_ms = pause.as_millis() as u64; "service has ended and is started again");
            sleep(pause).await;
            match service.start(&cx).await {
                Ok(restarted) => {
                    *lock(&actor) = restarted;
                    pauses.record_start();
                    break;
                },
                Err(error) => log::error!(service = name; "service did not start again: {error}"),
            }
        }
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
