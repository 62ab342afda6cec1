//! The services that follow what operators write and which endpoints are listed.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use havengrade_core::published::{
    directory::{Directory, DirectoryEvent},
    route::{Publication, RouteTable},
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use tokio::time::sleep;

use crate::{
    kernel::{Service, StartError, spawn},
    published::{
        context::{EndpointsByService, PublishedContext},
        ports::{Feed, OperatorEvent, StoreError},
    },
    shared::lock,
};

/// Name of the service that follows operators.
pub const OPERATORS: &str = "published-operators";
/// Name of the service that follows the list of endpoints.
pub const ENDPOINTS: &str = "published-endpoints";

/// Time between two tries to reach a store that does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Takes what a feed brings.
trait Take<T>: Send + Sync + 'static {
    /// How long a call may wait for something new.
    fn wait(&self, cx: &PublishedContext) -> Duration;

    /// Takes events that were asked for at `asked`; gives the time until the next call.
    fn take(&mut self, cx: &PublishedContext, events: Vec<T>, asked: std::time::SystemTime) -> Duration;
}

/// A feed, and what takes its events.
type FollowParts<T> = (Box<dyn Feed<T>>, Box<dyn Take<T>>);

/// A service that follows a feed.
pub(super) struct FollowService<T> {
    name: &'static str,
    parts: std::sync::Mutex<Option<FollowParts<T>>>,
}

impl FollowService<OperatorEvent> {
    /// The service that follows operators.
    pub(super) fn operators(feed: Box<dyn Feed<OperatorEvent>>) -> Self {
        Self { name: OPERATORS, parts: std::sync::Mutex::new(Some((feed, Box::new(Operators)))) }
    }
}

impl FollowService<DirectoryEvent> {
    /// The service that follows the list of endpoints.
    pub(super) fn endpoints(feed: Box<dyn Feed<DirectoryEvent>>) -> Self {
        Self { name: ENDPOINTS, parts: std::sync::Mutex::new(Some((feed, Box::new(Endpoints::default())))) }
    }
}

#[async_trait]
impl<T: Send + 'static> Service<PublishedContext> for FollowService<T> {
    fn name(&self) -> &'static str {
        self.name
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let parts = lock(&self.parts).take();
        let Some((feed, taker)) = parts else { return Err(StartError::Missing { name: self.name }) };
        let state = Follower { cx: cx.clone(), name: self.name, feed, taker, is_lost: false };
        spawn(self.name, cx, FollowActor(std::marker::PhantomData), state).await
    }
}

/// Time to ask the feed.
struct Ask;

struct FollowActor<T>(std::marker::PhantomData<fn() -> T>);

struct Follower<T> {
    cx: PublishedContext,
    name: &'static str,
    feed: Box<dyn Feed<T>>,
    taker: Box<dyn Take<T>>,
    is_lost: bool,
}

impl<T: Send + 'static> Actor for FollowActor<T> {
    type Msg = Ask;
    type State = Follower<T>;
    type Arguments = Follower<T>;

    async fn pre_start(&self, myself: ActorRef<Ask>, state: Follower<T>) -> Result<Follower<T>, ActorProcessingErr> {
        myself.cast(Ask)?;
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Ask>,
        _ask: Ask,
        state: &mut Follower<T>,
    ) -> Result<(), ActorProcessingErr> {
        let pause = state.ask().await;
        sleep(pause).await;
        myself.cast(Ask)?;
        Ok(())
    }
}

impl<T: 'static> Follower<T> {
    async fn ask(&mut self) -> Duration {
        let asked = self.cx.shared.clock.now();
        // After a loss the first answer must come at once: it says what is in force now.
        let wait = if self.is_lost { Duration::ZERO } else { self.taker.wait(&self.cx) };
        match self.feed.next(wait).await {
            Ok(events) => {
                if std::mem::take(&mut self.is_lost) {
                    log::info!(feed = self.name; "store answers again");
                }
                self.taker.take(&self.cx, events, asked)
            },
            Err(error) => {
                self.lose(&error);
                RETRY_PAUSE
            },
        }
    }

    fn lose(&mut self, error: &StoreError) {
        metrics::counter!("store_errors", "feed" => self.name).increment(1);
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(feed = self.name; "store is lost: {error}");
        }
    }
}

/// Takes operators' configurations and orders.
struct Operators;

impl Take<OperatorEvent> for Operators {
    fn wait(&self, cx: &PublishedContext) -> Duration {
        Duration::from_millis(cx.shared.settings.published.config_wait_ms)
    }

    fn take(&mut self, cx: &PublishedContext, events: Vec<OperatorEvent>, asked: std::time::SystemTime) -> Duration {
        for event in events {
            match event {
                OperatorEvent::Publication(publication) => publish(cx, publication),
                OperatorEvent::Rollout(order) => {
                    let line = format!("{} to {}", order.service, order.version);
                    if cx.shared.rollouts().order(order, cx.shared.clock.now()) {
                        log::info!(order = line.as_str(); "roll-out ordered");
                    }
                },
            }
        }
        cx.shared.confirm(asked);
        Duration::ZERO
    }
}

/// Puts a configuration in force, unless a newer one is.
fn publish(cx: &PublishedContext, publication: Publication) {
    let known = cx.shared.routes.load().version();
    if publication.version <= known {
        return;
    }
    log::info!(version = publication.version, before = known, routes = publication.routes.len(); "configuration in force");
    metrics::gauge!("configuration_version").set(publication.version as f64);
    cx.shared.routes.store(Arc::new(RouteTable::new(publication)));
}

/// Takes changes of the list of endpoints.
#[derive(Default)]
struct Endpoints {
    directory: Directory,
}

impl Take<DirectoryEvent> for Endpoints {
    fn wait(&self, _cx: &PublishedContext) -> Duration {
        // Endpoints write all the time, so that a call would hardly wait; calls are paused in between instead.
        Duration::ZERO
    }

    fn take(&mut self, cx: &PublishedContext, events: Vec<DirectoryEvent>, _asked: std::time::SystemTime) -> Duration {
        let now = cx.shared.clock.now();
        if self.directory.apply(events, now) {
            self.show(cx);
        }
        cx.shared.set_endpoints_known();
        let directory = &self.directory;
        cx.shared.channels.prune(|id| directory.all().any(|endpoint| endpoint.id == id), now);
        cx.shared.rollouts().prune(cx.shared.rollout_bounds().session_time, now);
        Duration::from_millis(cx.shared.settings.published.endpoints_poll_ms)
    }
}

impl Endpoints {
    /// Shows the endpoints to traffic.
    fn show(&self, cx: &PublishedContext) {
        let now = cx.shared.clock.now();
        cx.shared.states.configure(self.directory.all().map(|endpoint| &endpoint.id));
        let mut usable: EndpointsByService = HashMap::new();
        for endpoint in self.directory.usable() {
            if let Some(slot) = cx.shared.states.slot(&endpoint.id) {
                slot.hear(now);
            }
            usable.entry(endpoint.service.clone()).or_default().push(endpoint.clone());
        }
        let before = cx.shared.usable.swap(Arc::new(usable));
        let after = cx.shared.usable.load();
        log_changes(&before, &after);
    }
}

fn log_changes(before: &EndpointsByService, after: &EndpointsByService) {
    let list = |of: &EndpointsByService, other: &EndpointsByService| -> Vec<String> {
        let known: std::collections::HashSet<&str> = other.values().flatten().map(|e| e.id.as_str()).collect();
        let all = of.values().flatten().filter(|endpoint| !known.contains(endpoint.id.as_str()));
        all.map(|endpoint| format!("{}@{}", endpoint.id, endpoint.version)).collect()
    };
    let (gained, lost) = (list(after, before).join(","), list(before, after).join(","));
    log::info!(gained = gained.as_str(), lost = lost.as_str(); "endpoints changed");
}
