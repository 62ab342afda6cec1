//! Services of the control thread, each an actor that is looked up by its name.

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

/// Delay before a listener accepts again after an error.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends a message to a service at a fixed interval until the service stops or the handle is dropped.
pub(crate) fn send_periodically<M: Message>(
    service: ActorRef<M>,
    period: Duration,
    message: impl Fn() -> M + Send + 'static,
) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if service.cast(message()).is_err() {
                return;
            }
        }
    }))
}
