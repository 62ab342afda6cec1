//! The services of the control thread.

pub mod bills;
pub mod config;
pub mod endpoints;
pub mod evidence;
pub mod ledger;
pub mod members;
pub mod operators;
pub mod outbox;
pub mod peers;

use std::time::Duration;

use ractor::{ActorRef, Message};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::task::AbortOnDropHandle;

/// Time for which nothing is accepted after an error of the listener.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends a message to a service again and again, until the service is gone.
pub(crate) fn send_periodically<M: Message>(
    service: ActorRef<M>,
    every: Duration,
    message: impl Fn() -> M + Send + 'static,
) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if service.cast(message()).is_err() {
                return;
            }
        }
    }))
}
