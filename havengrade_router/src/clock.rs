//! The clock that supplies `now` to all decisions.

use std::time::{Duration, SystemTime};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Returns the time since a fixed point in the past; it never goes back.
pub type Timer = fn() -> Duration;

/// A clock that never goes back: the wall time at its start plus the time elapsed since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: SystemTime,
    elapsed: Elapsed,
}

/// How the time since the start of a clock is measured.
#[derive(Clone, Copy, Debug)]
enum Elapsed {
    /// By the async runtime, whose time tests can pause. It stands still while the machine is suspended.
    Runtime { start: Instant },
    /// By a timer.
    Timer { timer: Timer, start: Duration },
}

impl Clock {
    /// Creates a clock whose current time is `origin`, on the time of the async runtime.
    pub fn starting_at(origin: SystemTime) -> Self {
        Self { origin, elapsed: Elapsed::Runtime { start: Instant::now() } }
    }

    /// Creates a clock whose current time is `origin`, on a timer.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_router::clock::Clock;
    ///
    /// let origin = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    /// let clock = Clock::with_timer(origin, || Duration::from_secs(7));
    /// assert_eq!(clock.now(), origin);
    /// ```
    pub fn with_timer(origin: SystemTime, timer: Timer) -> Self {
        Self { origin, elapsed: Elapsed::Timer { timer, start: timer() } }
    }

    /// Creates a clock that starts at the system's wall time and goes on while the machine is suspended.
    pub fn system() -> Self {
        let origin = SystemTime::now();
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(_) => Self::with_timer(origin, time_since_boot),
            Err(error) => {
                log::warn!("no clock counts the time while the machine is suspended: {error}");
                Self::starting_at(origin)
            },
        }
    }

    /// Current time.
    pub fn now(&self) -> SystemTime {
        let elapsed = match self.elapsed {
            Elapsed::Runtime { start } => start.elapsed(),
            Elapsed::Timer { timer, start } => timer().saturating_sub(start),
        };
        self.origin + elapsed
    }
}

/// Time since the machine started, including the time for which it was suspended.
fn time_since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
