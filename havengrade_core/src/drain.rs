//! Graceful shutdown of a VM.

use std::time::{Duration, SystemTime};

/// State of a VM with regard to a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// The VM accepts requests.
    #[default]
    Serving,
    /// The VM finishes requests in progress and refuses new ones.
    Draining {
        /// Start of the shutdown.
        since: SystemTime,
    },
}

/// Next step of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Keep accepting requests.
    Serve,
    /// Wait for requests in progress.
    Wait,
    /// Stop, since no work is left.
    Stop,
    /// Stop at the time limit although work is unfinished.
    StopAtDeadline,
}

impl DrainState {
    /// Returns the next step.
    ///
    /// `unfinished` is the number of requests in progress and of bills that aren't in the log yet.
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
