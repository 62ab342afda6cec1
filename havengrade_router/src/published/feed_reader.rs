//! The services that follow the feeds of the store: operators' events and the endpoint list.
//!
//! Readers poll the store continuously. The other VMs apply the events that the readers relay, and read the store
//! themselves if they miss events or get no answer.

use std::time::{Duration, SystemTime};

use async_trait::async_trait;
use havengrade_core::published::{
    directory::DirectoryEvent,
    relay::{Freshness, ISOLATED_AFTER, read_probability, turn_delay, turn_position},
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
        view_age::{EventSource, ViewAge, ViewAgeInputs},
    },
};

/// Name of the service that follows operators' events.
pub const OPERATOR_FEED: &str = "published-operators";
/// Name of the service that follows the endpoint list.
pub const ENDPOINT_FEED: &str = "published-endpoints";

/// Time between two checks whether the store must be read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after the first failed read; each further failure doubles it.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause of a reader after a failed read.
const MAX_READER_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of any other VM after a failed read.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1500);
/// Share of a pause that is added at random, to spread the retries of VMs that lost the store at the same time.
const RETRY_JITTER: f64 = 0.25;

/// Message to a feed's service.
pub(super) enum FeedMessage<T> {
    /// Check whether the store must be read.
    Poll,
    /// The store has new events: read it at the next check, without a long poll.
    RequestRead,
    /// The store may be read from now on.
    StartReading,
    /// Another VM relayed events that it read from the store.
    Relayed(RelayedEvents<T>),
}

/// Events that another VM read from the store.
pub(super) struct RelayedEvents<T> {
    /// Events since `from`.
    pub(super) events: Vec<T>,
    /// Position after which the events begin; none if they replace everything before them.
    pub(super) from: Option<u64>,
    /// Position after the events.
    pub(super) position: u64,
    /// Time at which `position` was the newest position.
    pub(super) at: SystemTime,
    /// The VM that sent the events.
    pub(super) source: EventSource,
}

/// Allows the services to read the store; they do so at once if no other VM has given them the active state.
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

/// The service of the feed with this name.
pub(super) fn find_service<T: Send + 'static>(cx: &PublishedContext, name: &str) -> Option<ActorRef<FeedMessage<T>>> {
    ractor::registry::where_is(cx.actor_name(name)).map(ActorRef::from)
}

/// Sends a message to the service of a feed.
pub(super) fn send<T: Send + 'static>(service: &ActorRef<FeedMessage<T>>, message: FeedMessage<T>) {
    if let Err(error) = service.cast(message) {
        log::debug!("message not sent, the service of a store feed has stopped: {error}");
    }
}

/// A service that follows a feed.
pub(super) struct FeedService<T> {
    name: &'static str,
    feed: Box<dyn Feed<T>>,
    new_consumer: fn() -> Box<dyn FeedConsumer<T>>,
}

impl FeedService<OperatorEvent> {
    /// The service that follows operators' events.
    pub(super) fn operators(feed: Box<dyn Feed<OperatorEvent>>) -> Self {
        Self { name: OPERATOR_FEED, feed, new_consumer: || Box::new(OperatorConsumer) }
    }
}

impl FeedService<DirectoryEvent> {
    /// The service that follows the endpoint list.
    pub(super) fn endpoints(feed: Box<dyn Feed<DirectoryEvent>>) -> Self {
        Self { name: ENDPOINT_FEED, feed, new_consumer: || Box::new(EndpointConsumer::default()) }
    }
}

#[async_trait]
impl<T: Send + 'static> Service<PublishedContext> for FeedService<T> {
    fn name(&self) -> &'static str {
        self.name
    }

    async fn start(&self, cx: &PublishedContext) -> Result<ActorCell, StartError> {
        let state = FeedReader {
            cx: cx.clone(),
            name: self.name,
            feed: self.feed.rewound(),
            consumer: (self.new_consumer)(),
            last_pause: None,
            freshness: Freshness::default(),
            view_age: ViewAge::default(),
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
    /// The pause after the last failed read; none while the store answers.
    last_pause: Option<Duration>,
    freshness: Freshness,
    view_age: ViewAge,
    /// Whether another VM reported new events.
    is_read_requested: bool,
    /// Earliest time of the next read.
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
                state.record_view_age();
                if state.must_read() {
                    state.read().await;
                }
                let pause = state.poll_delay();
                tokio::spawn(async move {
                    sleep(pause).await;
                    // Fails only if the service has stopped.
                    let _ = myself.cast(FeedMessage::Poll);
                });
            },
        }
        Ok(())
    }
}

impl<T: 'static> FeedReader<T> {
    fn must_read(&self) -> bool {
        let now = Instant::now();
        if !self.cx.shared.store.may_read() || now < self.not_before || self.cx.shared.store.is_paused(now) {
            return false;
        }
        self.cx.shared.store.is_reader()
            || ((self.is_read_requested || self.is_view_stale(self.cx.shared.clock.now()))
                && self.may_read_as_non_reader())
    }

    /// Whether this VM may read the store at this check although it is no reader.
    ///
    /// A VM without state always may: its startup decides when reads begin. So may a service that was started again and
    /// has read nothing, which other VMs do not know. So may one that hears no other VM, since the others have not lost
    /// their readers with it.
    fn may_read_as_non_reader(&self) -> bool {
        if !self.consumer.grows_with_fleet() || !self.cx.shared.knows_state() || self.feed.position().is_none() {
            return true;
        }
        let (vms, hears_others) = {
            let peers = self.cx.shared.peers();
            (peers.len() + 1, peers.has_report_within(ISOLATED_AFTER, self.cx.shared.clock.now()))
        };
        !hears_others || self.cx.shared.rng().random::<f64>() < read_probability(vms)
    }

    fn is_view_stale(&self, now: SystemTime) -> bool {
        // Checked first, since the position among the VMs of the failure domain is costly to compute.
        self.freshness.must_read_store(0, now) && self.freshness.must_read_store(own_turn_position(&self.cx), now)
    }

    /// Time until the next check.
    fn poll_delay(&self) -> Duration {
        let reads_continuously =
            self.cx.shared.store.may_read() && self.cx.shared.store.is_reader() && self.last_pause.is_none();
        if reads_continuously { self.consumer.read_interval(&self.cx) } else { POLL_INTERVAL }
    }

    async fn read(&mut self) {
        let asked_at = self.cx.shared.clock.now();
        if !self.cx.shared.knows_state() {
            self.cx.shared.store.start_initial_read(asked_at);
        }
        // After a failure the first read must return at once, since it tells what is active now.
        let may_wait = self.last_pause.is_none() && self.cx.shared.store.is_reader() && !self.is_read_requested;
        let wait = if may_wait { self.consumer.read_wait(&self.cx) } else { Duration::ZERO };
        match self.feed.next(wait).await {
            Ok(events) => {
                if self.last_pause.take().is_some() {
                    log::info!(feed = self.name; "store answers again");
                }
                self.cx.shared.store.set_paused_until(None);
                self.is_read_requested = false;
                // An answer that may lack events does not confirm that the view is up to date.
                let at = self.feed.confirmed_at(asked_at).unwrap_or(self.freshness.confirmed);
                let now = self.cx.shared.clock.now();
                if self.freshness.is_store_unreachable_for_peers(now) && !self.cx.shared.store.is_reader() {
                    self.cx.shared.store.set_fallback_reader(true, now);
                }
                self.freshness.confirmed = at;
                let position = self.feed.position().unwrap_or_default();
                self.consumer.apply(&self.cx, events, position, at, &EventSource::Store);
                self.record_view_age();
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
        // All feeds read the same store, so a failure of one pauses the others too, until a read succeeds.
        self.cx.shared.store.set_paused_until(Some(self.not_before));
    }

    /// Pause after a failed read; `last` is the pause after the failure before it.
    fn retry_pause(&self, last: Option<Duration>) -> Duration {
        if !self.cx.shared.knows_routes() {
            let uptime = self.cx.shared.uptime(self.cx.shared.clock.now());
            return retry_delay(uptime, &mut *self.cx.shared.rng());
        }
        if self.freshness.is_store_unreachable_for_peers(self.cx.shared.clock.now())
            && !self.cx.shared.store.is_reader()
        {
            return turn_delay(other_vms_in_domain(&self.cx) + 1).max(MAX_RETRY_PAUSE);
        }
        let max_pause = if self.cx.shared.store.is_reader() { MAX_READER_RETRY_PAUSE } else { MAX_RETRY_PAUSE };
        let jitter = 1.0 + RETRY_JITTER * self.cx.shared.rng().random::<f64>();
        last.map_or(INITIAL_RETRY_PAUSE, |pause| (pause * 2).min(max_pause)).mul_f64(jitter)
    }

    /// Applies events that another VM read, if they begin at the position of this VM.
    fn apply_relayed(&mut self, relayed: RelayedEvents<T>) {
        let known = self.feed.position();
        let is_contiguous = relayed.from.is_none() || known == relayed.from;
        if !is_contiguous || known.is_some_and(|known| relayed.position < known) {
            return;
        }
        self.is_read_requested &= relayed.from.is_some();
        self.feed.advance(relayed.position);
        self.freshness.record_answer(relayed.at, self.cx.shared.clock.now());
        self.consumer.apply(&self.cx, relayed.events, relayed.position, relayed.at, &relayed.source);
        self.record_view_age();
    }

    /// Logs when the view of the store grows old and when it is recent again.
    fn record_view_age(&mut self) {
        if !self.cx.shared.knows_state() {
            return;
        }
        let inputs = ViewAgeInputs {
            feed: self.name,
            freshness: self.freshness,
            is_reader: self.cx.shared.store.is_reader(),
            is_paused: self.cx.shared.store.is_paused(Instant::now()),
        };
        self.view_age.record(&inputs, || own_turn_position(&self.cx), self.cx.shared.clock.now());
    }
}

/// The number of VMs of the own failure domain whose turn to try the store comes before that of this VM.
fn own_turn_position(cx: &PublishedContext) -> usize {
    let vm = &cx.shared.settings.vm;
    let peers = cx.shared.peers();
    let same_domain = peers.all().filter(|peer| peer.failure_domain == vm.failure_domain);
    turn_position(same_domain.map(|peer| &peer.vm), &vm.id)
}

/// The number of other VMs in the own failure domain.
fn other_vms_in_domain(cx: &PublishedContext) -> usize {
    let domain = &cx.shared.settings.vm.failure_domain;
    cx.shared.peers().all().filter(|peer| peer.failure_domain == *domain).count()
}
