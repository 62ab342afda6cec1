//! The clock from which `now` is taken and handed to what decides.

use std::time::SystemTime;

use tokio::time::Instant;

/// A clock that never goes back: the wall time at its start plus the time since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: SystemTime,
    start: Instant,
}

impl Clock {
    /// A clock that shows `origin` now.
    pub fn starting_at(origin: SystemTime) -> Self {
        Self { origin, start: Instant::now() }
    }

    /// A clock that shows the machine's wall time.
    pub fn system() -> Self {
        Self::starting_at(SystemTime::now())
    }

    /// The present time.
    pub fn now(&self) -> SystemTime {
        self.origin + self.start.elapsed()
    }
}
