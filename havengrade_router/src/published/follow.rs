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
        ports::{Feed, OperatorEvent, StoreError},
        takers::{Endpoints, Operators, Take},
    },
    shared::lock,
};

/// Name of the service that follows operators.
pub const OPERATORS: &str = "published-operators";
/// Name of the service that follows the list of endpoints.
pub const ENDPOINTS: &str = "published-endpoints";

/// Time between two looks at whether the store must be asked.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// First pause after a store that did not answer; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause of a VM that reads for others.
const READER_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of a VM that others read for, while they don't answer.
const OTHER_PAUSE: Duration = Duration::from_millis(1500);
/// Part of a pause by which VMs are spread that lost the store at the same time.
const PAUSE_SPREAD: f64 = 0.25;

/// What a service is told.
pub(super) enum FollowMessage<T> {
    /// Time to look whether the store must be asked.
    Look,
    /// The store has something new.
    Hurry,
    /// The store may be read from now on.
    Begin,
    /// What another VM read, up to a position; it was the newest at a time.
    Relayed(Relayed<T>),
}

/// What another VM read from the store.
pub(super) struct Relayed<T> {
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
pub(super) fn begin(cx: &PublishedContext) {
    if !cx.shared.store.begin_following() {
        return;
    }
    if let Some(service) = find::<OperatorEvent>(cx, OPERATORS) {
        send(&service, FollowMessage::Begin);
    }
    if let Some(service) = find::<DirectoryEvent>(cx, ENDPOINTS) {
        send(&service, FollowMessage::Begin);
    }
}

/// The service of a name that follows the store.
pub(super) fn find<T: Send + 'static>(cx: &PublishedContext, name: &str) -> Option<ActorRef<FollowMessage<T>>> {
    ractor::registry::where_is(cx.actor_name(name)).map(ActorRef::from)
}

/// Sends a message to a service that follows the store.
pub(super) fn send<T: Send + 'static>(service: &ActorRef<FollowMessage<T>>, message: FollowMessage<T>) {
    if let Err(error) = service.cast(message) {
        log::debug!("a service that follows the store is gone: {error}");
    }
}

/// A feed, and what takes its events.
type FollowParts<T> = (Box<dyn Feed<T>>, Box<dyn Take<T>>);

/// A service that follows a feed.
pub(super) struct FollowService<T> {
    name: &'static str,
    parts: Mutex<Option<FollowParts<T>>>,
}

impl FollowService<OperatorEvent> {
    /// The service that follows operators.
    pub(super) fn operators(feed: Box<dyn Feed<OperatorEvent>>) -> Self {
        Self { name: OPERATORS, parts: Mutex::new(Some((feed, Box::new(Operators)))) }
    }
}

impl FollowService<DirectoryEvent> {
    /// The service that follows the list of endpoints.
    pub(super) fn endpoints(feed: Box<dyn Feed<DirectoryEvent>>) -> Self {
        Self { name: ENDPOINTS, parts: Mutex::new(Some((feed, Box::new(Endpoints::default())))) }
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
        let state = Follower {
            cx: cx.clone(),
            name: self.name,
            feed,
            taker,
            lost: None,
            freshness: Freshness::default(),
            is_hurried: false,
            not_before: Instant::now(),
        };
        spawn(self.name, cx, FollowActor(std::marker::PhantomData), state).await
    }
}

struct FollowActor<T>(std::marker::PhantomData<fn() -> T>);

struct Follower<T> {
    cx: PublishedContext,
    name: &'static str,
    feed: Box<dyn Feed<T>>,
    taker: Box<dyn Take<T>>,
    /// The pause after the last failure, while the store does not answer.
    lost: Option<Duration>,
    freshness: Freshness,
    is_hurried: bool,
    not_before: Instant,
}

impl<T: Send + 'static> Actor for FollowActor<T> {
    type Msg = FollowMessage<T>;
    type State = Follower<T>;
    type Arguments = Follower<T>;

    async fn pre_start(
        &self,
        myself: ActorRef<FollowMessage<T>>,
        state: Follower<T>,
    ) -> Result<Follower<T>, ActorProcessingErr> {
        myself.cast(FollowMessage::Look)?;
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<FollowMessage<T>>,
        message: FollowMessage<T>,
        state: &mut Follower<T>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            FollowMessage::Hurry => state.is_hurried = true,
            FollowMessage::Begin => {
                if state.must_ask() {
                    state.ask().await;
                }
            },
            FollowMessage::Relayed(relayed) => state.take_relayed(relayed),
            FollowMessage::Look => {
                if state.must_ask() {
                    state.ask().await;
                }
                let pause = state.pause();
                tokio::spawn(async move {
                    sleep(pause).await;
                    // Where the service is gone there is nothing more to look at.
                    let _ = myself.cast(FollowMessage::Look);
                });
            },
        }
        Ok(())
    }
}

impl<T: 'static> Follower<T> {
    fn must_ask(&self) -> bool {
        let at = Instant::now();
        if !self.cx.shared.store.follows() || at < self.not_before || self.cx.shared.store.is_left_alone(at) {
            return false;
        }
        self.cx.shared.store.is_reader()
            || ((self.is_hurried || self.is_old(self.cx.shared.clock.now())) && self.may_read_for_itself())
    }

    /// Whether this VM reads the store at this look although others read it for all.
    ///
    /// One that knows nothing yet reads in its turn of the start.
    fn may_read_for_itself(&self) -> bool {
        if !self.taker.grows_with_fleet() || !self.cx.shared.knows_state() {
            return true;
        }
        let vms = self.cx.shared.peers().len() + 1;
        self.cx.shared.rng().random::<f64>() < read_probability(vms)
    }

    fn is_old(&self, now: SystemTime) -> bool {
        // Where a VM stands is worked out only where it matters.
        self.freshness.must_read_store(0, now) && self.freshness.must_read_store(place(&self.cx), now)
    }

    /// Time until the next look.
    fn pause(&self) -> Duration {
        let reads_on = self.cx.shared.store.follows() && self.cx.shared.store.is_reader() && self.lost.is_none();
        if reads_on { self.taker.pause(&self.cx) } else { LOOK_EVERY }
    }

    async fn ask(&mut self) {
        let asked = self.cx.shared.clock.now();
        if !self.cx.shared.knows_state() {
            self.cx.shared.store.begin_reading(asked);
        }
        // After a loss the first answer must come at once: it says what is in force now.
        let may_wait = self.lost.is_none() && self.cx.shared.store.is_reader() && !self.is_hurried;
        let wait = if may_wait { self.taker.wait(&self.cx) } else { Duration::ZERO };
        match self.feed.next(wait).await {
            Ok(events) => {
                if self.lost.take().is_some() {
                    log::info!(feed = self.name; "store answers again");
                }
                self.cx.shared.store.pause(None);
                self.is_hurried = false;
                // What may be missing does not make the view any newer.
                let at = self.feed.confirmed_at(asked).unwrap_or(self.freshness.confirmed);
                if self.freshness.is_store_unreachable_for_peers(self.cx.shared.clock.now())
                    && !self.cx.shared.store.is_reader()
                {
                    self.cx.shared.store.set_volunteer(true);
                }
                self.freshness.confirmed = at;
                let position = self.feed.position().unwrap_or_default();
                self.taker.take(&self.cx, events, position, at);
            },
            Err(error) => self.lose(&error),
        }
    }

    fn lose(&mut self, error: &StoreError) {
        self.cx.shared.store.fail_reading();
        metrics::counter!("store_errors", "feed" => self.name).increment(1);
        if self.lost.is_none() {
            log::warn!(feed = self.name; "store is lost: {error}");
        }
        let pause = self.pause_after(self.lost);
        self.lost = Some(pause);
        self.not_before = Instant::now() + pause;
        // All feeds read one store, so that what one of them finds holds for the others, until one is answered.
        self.cx.shared.store.pause(Some(self.not_before));
    }

    /// Time for which the store is left alone after it did not answer; `last` is the time before that.
    fn pause_after(&self, last: Option<Duration>) -> Duration {
        if !self.cx.shared.knows_routes() {
            let waited = self.cx.shared.uptime(self.cx.shared.clock.now());
            return retry_delay(waited, &mut *self.cx.shared.rng());
        }
        if self.freshness.is_store_unreachable_for_peers(self.cx.shared.clock.now())
            && !self.cx.shared.store.is_reader()
        {
            return turn_delay(near(&self.cx) + 1).max(OTHER_PAUSE);
        }
        let longest = if self.cx.shared.store.is_reader() { READER_PAUSE } else { OTHER_PAUSE };
        let spread = 1.0 + PAUSE_SPREAD * self.cx.shared.rng().random::<f64>();
        last.map_or(FIRST_PAUSE, |pause| (pause * 2).min(longest)).mul_f64(spread)
    }

    /// Takes what another VM read, if it begins where this VM's view ends.
    fn take_relayed(&mut self, relayed: Relayed<T>) {
        let known = self.feed.position();
        let follows = relayed.from.is_none() || known == relayed.from;
        if !follows || known.is_some_and(|known| relayed.position < known) {
            return;
        }
        self.is_hurried &= relayed.from.is_some();
        self.feed.advance(relayed.position);
        self.freshness.record_answer(relayed.at, self.cx.shared.clock.now());
        self.taker.take(&self.cx, relayed.events, relayed.position, relayed.at);
    }
}

/// VMs of the own failure domain that try the store before this one, where others don't reach it.
fn place(cx: &PublishedContext) -> usize {
    let vm = &cx.shared.settings.vm;
    let peers = cx.shared.peers();
    let near = peers.all().filter(|peer| peer.failure_domain == vm.failure_domain);
    turn_position(near.map(|peer| &peer.vm), &vm.id)
}

/// How many other VMs stand in the own failure domain.
fn near(cx: &PublishedContext) -> usize {
    let domain = &cx.shared.settings.vm.failure_domain;
    cx.shared.peers().all().filter(|peer| peer.failure_domain == *domain).count()
}
