//! A planned stop: what a VM still does while it leaves.

use std::time::{Duration, SystemTime};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// The VM serves.
    #[default]
    Serving,
    /// The VM finishes what is in progress and refuses the rest.
    Draining {
        /// When it began.
        since: SystemTime,
    },
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Serve on.
    Serve,
    /// Wait for what is in progress.
    Wait,
    /// Nothing is left; stop.
    Stop,
    /// The limit is over; stop although requests are in progress.
    StopAtDeadline,
}

impl DrainState {
    /// What to do with this many requests in progress and bills not yet in the log.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::drain::{DrainState, DrainStep};
    ///
    /// let since = SystemTime::UNIX_EPOCH;
    /// let state = DrainState::Draining { since };
    /// let limit = Duration::from_secs(60);
    /// assert_eq!(state.step(1, limit, since), DrainStep::Wait);
    /// assert_eq!(state.step(0, limit, since), DrainStep::Stop);
    /// assert_eq!(state.step(1, limit, since + limit), DrainStep::StopAtDeadline);
    /// ```
    pub fn step(&self, unfinished: usize, limit: Duration, now: SystemTime) -> DrainStep {
        match self {
            Self::Serving => DrainStep::Serve,
            Self::Draining { .. } if unfinished == 0 => DrainStep::Stop,
            Self::Draining { since } if now >= *since + limit => DrainStep::StopAtDeadline,
            Self::Draining { .. } => DrainStep::Wait,
        }
    }
}
