//! The clock that supplies `now` to all decisions.

use std::time::SystemTime;

use tokio::time::Instant;

/// A monotonic clock: the wall time at its start plus the time elapsed since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: SystemTime,
    start: Instant,
}

impl Clock {
    /// Creates a clock whose current time is `origin`.
    pub fn starting_at(origin: SystemTime) -> Self {
        Self { origin, start: Instant::now() }
    }

    /// Creates a clock that starts at the system's wall time.
    pub fn system() -> Self {
        Self::starting_at(SystemTime::now())
    }

    /// Current time.
    pub fn now(&self) -> SystemTime {
        self.origin + self.start.elapsed()
    }
}
