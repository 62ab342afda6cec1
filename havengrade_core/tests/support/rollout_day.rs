//! A day of a roll-out to play, and what became of it.

use havengrade_core::published::rollout::RolloutOutcome;

/// How a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Badness {
    /// It is good.
    None,
    /// It fails a share of its requests.
    Errors(f64),
    /// A share of its answers takes eight times as long.
    Slow(f64),
    /// It fails a share of the requests of one route.
    OneRoute(f64),
    /// It fails a share of its requests while it has more than half of them.
    UnderLoad(f64),
}

/// What goes wrong beside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// VMs are restarted one after the other, from a time on, with a pause between, in milliseconds.
    Restarts { from: u64, gap: u64, count: u64 },
    /// All VMs are restarted at once.
    AllRestart { at: u64 },
    /// Endpoints of the new version are not listed until then.
    Unlisted { until: u64 },
    /// The store can't be reached.
    StoreAway { from: u64, until: u64 },
    /// A share of the reports between VMs is lost.
    ReportsLost { share: f64, from: u64, until: u64 },
    /// A share of the endpoints of all versions fails a share of its requests.
    Grey { share: f64, failing: f64, from: u64, until: u64 },
    /// One VM's requests fail on the way, whatever the endpoint.
    BadLinks { vm: usize, failing: f64, from: u64, until: u64 },
    /// Callers come so many times as often, and answers take as many times as long.
    Burst { times: f64, from: u64, until: u64 },
    /// VMs take all endpoints for idle, as after a start.
    LoadUnknown { from: u64, until: u64 },
}

/// A day to play.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    pub(crate) seed: u64,
    pub(crate) vms: usize,
    /// Endpoints of each version.
    pub(crate) endpoints: usize,
    /// Requests in a second.
    pub(crate) rate: f64,
    /// Time from the order until it should be done, in milliseconds.
    pub(crate) duration: u64,
    pub(crate) badness: Badness,
    /// When the version turns bad, in milliseconds from the order.
    pub(crate) turns: u64,
    pub(crate) faults: Vec<Fault>,
    /// How long the day is, in milliseconds.
    pub(crate) length: u64,
}

impl Day {
    pub(crate) fn new(seed: u64, badness: Badness, turns: u64, faults: &[Fault]) -> Self {
        Self {
            seed,
            vms: 9,
            endpoints: 18,
            rate: 96.0,
            duration: 16_000,
            badness,
            turns,
            faults: faults.to_vec(),
            length: 34_000,
        }
    }
}

/// What became of a day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Played {
    /// When the new version gave its fiftieth bad answer, in milliseconds.
    pub(crate) fiftieth: Option<u64>,
    /// Requests that it got later than is allowed after that.
    pub(crate) late: usize,
    /// Requests that it got until the deadline, beyond the share that is allowed; negative where there is room.
    pub(crate) beyond_share: f64,
    /// The states that were written, with their times.
    pub(crate) states: Vec<(u64, RolloutOutcome)>,
    /// Requests for which no version was left.
    pub(crate) refused: usize,
    /// Requests that the new version got.
    pub(crate) new: usize,
}

impl Played {
    pub(crate) fn state(&self) -> Option<RolloutOutcome> {
        self.states.last().map(|(_, outcome)| *outcome)
    }

    /// Whether the bounds on a bad version were kept.
    pub(crate) fn keeps_bounds(&self) -> bool {
        self.late == 0 && self.beyond_share <= 0.0
    }
}
