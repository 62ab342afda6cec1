//! The services that follow what operators write and which endpoints are listed.
//!
//! A VM that reads for others asks the store all the time. The others take what the readers tell them, and
//! ask the store themselves where they miss something or hear nothing.

use std::{
    sync::Mutex,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use havengrade_core::published::{
    directory::DirectoryEvent,
    relay::{Freshness, read_probability, turn_delay, turn_position},
    startup::retry_delay,
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use rand::RngExt as _;
use tokio::time::{Instant, sleep};

use crate::{
    kernel::{Service, ServiceContext as _, StartError, spawn},
    published::{
        context::PublishedContext,
        feed_consumers::{EndpointConsumer, FeedConsumer, OperatorConsumer},
        ports::{Feed, OperatorEvent, StoreError},
    },
    shared::lock,
};

/// Name of the service that follows operators.
pub const OPERATOR_FEED: &str = "published-operators";
/// Name of the service that follows the list of endpoints.
pub const ENDPOINT_FEED: &str = "published-endpoints";

/// Time between two looks at whether the store must be asked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// First pause after a store that did not answer; each further one is twice as long.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause of a VM that reads for others.
const MAX_READER_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of a VM that others read for, while they don't answer.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1500);
/// Part of a pause by which VMs are spread that last_pause the store at the same time.
const RETRY_JITTER: f64 = 0.25;

/// What a service is told.
pub(super) enum FeedMessage<T> {
    /// Time to look whether the store must be asked.
    Poll,
    /// The store has something new.
    RequestRead,
    /// The store may be read from now on.
    StartReading,
    /// What another VM read, up to a position; it was the newest at a time.
    Relayed(RelayedEvents<T>),
}

/// What another VM read from the store.
pub(super) struct RelayedEvents<T> {
    /// Events since `from`.
    pub(super) events: Vec<T>,
    /// Position that was asked about; none where the events are the newest of everything.
    pub(super) from: Option<u64>,
    /// Position after the events.
    pub(super) position: u64,
    /// When nothing newer existed.
    pub(super) at: SystemTime,
}

/// Lets the services read the store, at once where nobody told what is in force.
pub(super) fn start_reading(cx: &PublishedContext) {
    if !cx.shared.store.allow_reads() {
        return;
    }
    if let Some(service) = find_service::<OperatorEvent>(cx, OPERATOR_FEED) {
        send(&service, FeedMessage::StartReading);
    }
    if let Some(service) = find_service::<DirectoryEvent>(cx, ENDPOINT_FEED) {
        send(&service, FeedMessage::StartReading);
    }
}

/// The service of a name that follows the store.
pub(super) fn find_service<T: Send + 'static>(cx: &PublishedContext, name: &str) -> Option<ActorRef<FeedMessage<T>>> {
    ractor::registry::where_is(cx.actor_name(name)).map(ActorRef::from)
}

/// Sends a message to a service that follows the store.
pub(super) fn send<T: Send + 'static>(service: &ActorRef<FeedMessage<T>>, message: FeedMessage<T>) {
    if let Err(error) = service.cast(message) {
        log::debug!("a service that follows the store is gone: {error}");
    }
}

/// A feed, and what takes its events.
type FeedParts<T> = (Box<dyn Feed<T>>, Box<dyn FeedConsumer<T>>);

/// A service that follows a feed.
pub(super) struct FeedService<T> {
    name: &'static str,
    parts: Mutex<Option<FeedParts<T>>>,
}

impl FeedService<OperatorEvent> {
    /// The service that follows operators.
    pub(super) fn operators(feed: Box<dyn Feed<OperatorEvent>>) -> Self {
        Self { name: OPERATOR_FEED, parts: Mutex::new(Some((feed, Box::new(OperatorConsumer)))) }
    }
}

impl FeedService<DirectoryEvent> {
    /// The service that follows the list of endpoints.
    pub(super) fn endpoints(feed: Box<dyn Feed<DirectoryEvent>>) -> Self {
        Self { name: ENDPOINT_FEED, parts: Mutex::new(Some((feed, Box::new(EndpointConsumer::default())))) }
    }
}

#[async_trait]
impl<T: Send + 'static> Service<PublishedContext> for FeedService<T> {
    fn name(&self) -> &'static str {
        self.name
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let parts = lock(&self.parts).take();
        let Some((feed, consumer)) = parts else { return Err(StartError::Missing { name: self.name }) };
        let state = FeedReader {
            cx: cx.clone(),
            name: self.name,
            feed,
            consumer,
            last_pause: None,
            freshness: Freshness::default(),
            is_read_requested: false,
            not_before: Instant::now(),
        };
        spawn(self.name, cx, FeedActor(std::marker::PhantomData), state).await
    }
}

struct FeedActor<T>(std::marker::PhantomData<fn() -> T>);

struct FeedReader<T> {
    cx: PublishedContext,
    name: &'static str,
    feed: Box<dyn Feed<T>>,
    consumer: Box<dyn FeedConsumer<T>>,
    /// The pause after the last failure, while the store does not answer.
    last_pause: Option<Duration>,
    freshness: Freshness,
    is_read_requested: bool,
    not_before: Instant,
}

impl<T: Send + 'static> Actor for FeedActor<T> {
    type Msg = FeedMessage<T>;
    type State = FeedReader<T>;
    type Arguments = FeedReader<T>;

    async fn pre_start(
        &self,
        myself: ActorRef<FeedMessage<T>>,
        state: FeedReader<T>,
    ) -> Result<FeedReader<T>, ActorProcessingErr> {
        myself.cast(FeedMessage::Poll)?;
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<FeedMessage<T>>,
        message: FeedMessage<T>,
        state: &mut FeedReader<T>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            FeedMessage::RequestRead => state.is_read_requested = true,
            FeedMessage::StartReading => {
                if state.must_read() {
                    state.read().await;
                }
            },
            FeedMessage::Relayed(relayed) => state.apply_relayed(relayed),
            FeedMessage::Poll => {
                if state.must_read() {
                    state.read().await;
                }
                let pause = state.poll_delay();
                tokio::spawn(async move {
                    sleep(pause).await;
                    // Where the service is gone there is nothing more to look at.
                    let _ = myself.cast(FeedMessage::Poll);
                });
            },
        }
        Ok(())
    }
}

impl<T: 'static> FeedReader<T> {
    fn must_read(&self) -> bool {
        let at = Instant::now();
        if !self.cx.shared.store.may_read() || at < self.not_before || self.cx.shared.store.is_paused(at) {
            return false;
        }
        self.cx.shared.store.is_reader()
            || ((self.is_read_requested || self.is_view_stale(self.cx.shared.clock.now()))
                && self.may_read_as_non_reader())
    }

    /// Whether this VM reads the store at this look although others read it for all.
    ///
    /// One that knows nothing yet reads in its turn of the start.
    fn may_read_as_non_reader(&self) -> bool {
        if !self.consumer.grows_with_fleet() || !self.cx.shared.knows_state() {
            return true;
        }
        let vms = self.cx.shared.peers().len() + 1;
        self.cx.shared.rng().random::<f64>() < read_probability(vms)
    }

    fn is_view_stale(&self, now: SystemTime) -> bool {
        // Where a VM stands is worked out only where it matters.
        self.freshness.must_read_store(0, now) && self.freshness.must_read_store(own_turn_position(&self.cx), now)
    }

    /// Time until the next look.
    fn poll_delay(&self) -> Duration {
        let is_reading =
            self.cx.shared.store.may_read() && self.cx.shared.store.is_reader() && self.last_pause.is_none();
        if is_reading { self.consumer.read_interval(&self.cx) } else { POLL_INTERVAL }
    }

    async fn read(&mut self) {
        let asked = self.cx.shared.clock.now();
        if !self.cx.shared.knows_state() {
            self.cx.shared.store.start_initial_read(asked);
        }
        // After a loss the first answer must come at once: it says what is in force now.
        let may_wait = self.last_pause.is_none() && self.cx.shared.store.is_reader() && !self.is_read_requested;
        let wait = if may_wait { self.consumer.read_wait(&self.cx) } else { Duration::ZERO };
        match self.feed.next(wait).await {
            Ok(events) => {
                if self.last_pause.take().is_some() {
                    log::info!(feed = self.name; "store answers again");
                }
                self.cx.shared.store.set_paused_until(None);
                self.is_read_requested = false;
                // What may be missing does not make the view any newer.
                let at = self.feed.confirmed_at(asked).unwrap_or(self.freshness.confirmed);
                if self.freshness.is_store_unreachable_for_peers(self.cx.shared.clock.now())
                    && !self.cx.shared.store.is_reader()
                {
                    self.cx.shared.store.set_fallback_reader(true);
                }
                self.freshness.confirmed = at;
                let position = self.feed.position().unwrap_or_default();
                self.consumer.apply(&self.cx, events, position, at);
            },
            Err(error) => self.record_failure(&error),
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.cx.shared.store.fail_initial_read();
        metrics::counter!("store_errors", "feed" => self.name).increment(1);
        if self.last_pause.is_none() {
            log::warn!(feed = self.name; "store is lost: {error}");
        }
        let pause = self.retry_pause(self.last_pause);
        self.last_pause = Some(pause);
        self.not_before = Instant::now() + pause;
        // All feeds read one store, so that what one of them finds holds for the others, until one is answered.
        self.cx.shared.store.set_paused_until(Some(self.not_before));
    }

    /// Time for which the store is left alone after it did not answer; `last` is the time before that.
    fn retry_pause(&self, last: Option<Duration>) -> Duration {
        if !self.cx.shared.knows_routes() {
            let waited = self.cx.shared.uptime(self.cx.shared.clock.now());
            return retry_delay(waited, &mut *self.cx.shared.rng());
        }
        if self.freshness.is_store_unreachable_for_peers(self.cx.shared.clock.now())
            && !self.cx.shared.store.is_reader()
        {
            return turn_delay(other_vms_in_domain(&self.cx) + 1).max(MAX_RETRY_PAUSE);
        }
        let longest = if self.cx.shared.store.is_reader() { MAX_READER_RETRY_PAUSE } else { MAX_RETRY_PAUSE };
        let spread = 1.0 + RETRY_JITTER * self.cx.shared.rng().random::<f64>();
        last.map_or(INITIAL_RETRY_PAUSE, |pause| (pause * 2).min(longest)).mul_f64(spread)
    }

    /// Takes what another VM read, if it begins where this VM's view ends.
    fn apply_relayed(&mut self, relayed: RelayedEvents<T>) {
        let known = self.feed.position();
        let follows = relayed.from.is_none() || known == relayed.from;
        if !follows || known.is_some_and(|known| relayed.position < known) {
            return;
        }
        self.is_read_requested &= relayed.from.is_some();
        self.feed.advance(relayed.position);
        self.freshness.record_answer(relayed.at, self.cx.shared.clock.now());
        self.consumer.apply(&self.cx, relayed.events, relayed.position, relayed.at);
    }
}

/// VMs of the own failure domain that try the store before this one, where others don't reach it.
fn own_turn_position(cx: &PublishedContext) -> usize {
    let vm = &cx.shared.settings.vm;
    let peers = cx.shared.peers();
    let near = peers.all().filter(|peer| peer.failure_domain == vm.failure_domain);
    turn_position(near.map(|peer| &peer.vm), &vm.id)
}

/// How many other VMs stand in the own failure domain.
fn other_vms_in_domain(cx: &PublishedContext) -> usize {
    let domain = &cx.shared.settings.vm.failure_domain;
    cx.shared.peers().all().filter(|peer| peer.failure_domain == *domain).count()
}
