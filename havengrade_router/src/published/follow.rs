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
    relay::{TOLD_LIMIT, must_read},
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use tokio::time::{Instant, sleep};

use crate::{
    kernel::{Service, StartError, spawn},
    published::{
        context::PublishedContext,
        ports::{Feed, OperatorEvent, StoreError},
        takers::{Endpoints, Operators},
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
/// Pause of a VM that does not know yet where requests go: until it does, it refuses all callers.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of a VM that reads for others.
const READER_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of a VM that others read for.
const OTHER_PAUSE: Duration = Duration::from_millis(1500);

/// What a service is told.
pub(super) enum FollowMessage<T> {
    /// Time to look whether the store must be asked.
    Look,
    /// The store has something new.
    Hurry,
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

/// Takes what a feed brings.
pub(super) trait Take<T>: Send + Sync + 'static {
    /// How long a call of a reader may wait for something new.
    fn wait(&self, cx: &PublishedContext) -> Duration;

    /// Time between two calls of a reader.
    fn pause(&self, cx: &PublishedContext) -> Duration;

    /// Takes events, up to a position; nothing newer existed at `at`.
    fn take(&mut self, cx: &PublishedContext, events: Vec<T>, position: u64, at: SystemTime);
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
            viewed: SystemTime::UNIX_EPOCH,
            told: None,
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
    /// When nothing newer than this VM's view existed.
    viewed: SystemTime,
    /// When another VM last told what is new enough.
    told: Option<SystemTime>,
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
        let is_old = must_read(self.viewed, self.told, self.cx.shared.clock.now());
        let is_wanted = self.cx.shared.is_reader() || self.is_hurried || is_old;
        let at = Instant::now();
        is_wanted && at >= self.not_before && !self.cx.shared.leaves_store_alone(at)
    }

    /// Time until the next look.
    fn pause(&self) -> Duration {
        match (self.lost, self.cx.shared.is_reader()) {
            (None, true) => self.taker.pause(&self.cx),
            _ => LOOK_EVERY,
        }
    }

    async fn ask(&mut self) {
        let asked = self.cx.shared.clock.now();
        // After a loss the first answer must come at once: it says what is in force now.
        let may_wait = self.lost.is_none() && self.cx.shared.is_reader() && !self.is_hurried;
        let wait = if may_wait { self.taker.wait(&self.cx) } else { Duration::ZERO };
        match self.feed.next(wait).await {
            Ok(events) => {
                if self.lost.take().is_some() {
                    log::info!(feed = self.name; "store answers again");
                }
                self.cx.shared.pause_store(None);
                self.is_hurried = false;
                let at = self.feed.known_at(asked);
                self.viewed = at;
                let position = self.feed.position().unwrap_or_default();
                self.taker.take(&self.cx, events, position, at);
            },
            Err(error) => self.lose(&error),
        }
    }

    fn lose(&mut self, error: &StoreError) {
        metrics::counter!("store_errors", "feed" => self.name).increment(1);
        if self.lost.is_none() {
            log::warn!(feed = self.name; "store is lost: {error}");
        }
        let pause = self.pause_after(self.lost);
        self.lost = Some(pause);
        self.not_before = Instant::now() + pause;
        // All feeds read one store, so that what one of them finds holds for the others, until one is answered.
        self.cx.shared.pause_store(Some(self.not_before));
    }

    /// Time for which the store is left alone after it did not answer; `last` is the time before that.
    fn pause_after(&self, last: Option<Duration>) -> Duration {
        if !self.cx.shared.knows_routes() {
            return START_PAUSE;
        }
        let longest = if self.cx.shared.is_reader() { READER_PAUSE } else { OTHER_PAUSE };
        last.map_or(FIRST_PAUSE, |pause| (pause * 2).min(longest))
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
        let now = self.cx.shared.clock.now();
        if now < relayed.at + TOLD_LIMIT {
            self.told = Some(now);
        }
        self.viewed = self.viewed.max(relayed.at);
        self.taker.take(&self.cx, relayed.events, relayed.position, relayed.at);
    }
}
