//! Scenarios of the roll-out simulation, and their results.

use havengrade_core::published::rollout::RolloutOutcome;

/// The fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Badness {
    /// No fault.
    None,
    /// Fails a share of its requests.
    Errors(f64),
    /// Takes eight times as long for a share of its answers.
    Slow(f64),
    /// Fails a share of the requests of one route.
    OneRoute(f64),
    /// Fails a share of its requests while it gets more than half of all requests.
    UnderLoad(f64),
}

/// A fault that does not come from the new version. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// `count` restarts, of one VM after the other, at intervals of `gap`.
    Restarts { from: u64, gap: u64, count: u64 },
    /// A simultaneous restart of all VMs.
    AllRestart { at: u64 },
    /// The endpoints of the new version are missing from the endpoint list until then.
    Unlisted { until: u64 },
    /// The store is unreachable.
    StoreUnreachable { from: u64, until: u64 },
    /// A share of the reports between VMs is lost.
    ReportsLost { share: f64, from: u64, until: u64 },
    /// A share of the endpoints of all versions fails a share of the requests.
    Grey { share: f64, failing: f64, from: u64, until: u64 },
    /// A share of one VM's requests is lost on the network, to any endpoint.
    BadLinks { vm: usize, failing: f64, from: u64, until: u64 },
    /// The request rate and the response times are multiplied by `times`.
    Burst { times: f64, from: u64, until: u64 },
    /// VMs do not know the load of endpoints and count all as lightly loaded, as after a start.
    LoadUnknown { from: u64, until: u64 },
}

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) vms: usize,
    /// Number of endpoints of each version.
    pub(crate) endpoints: usize,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time from the order to its deadline, in milliseconds.
    pub(crate) duration: u64,
    pub(crate) badness: Badness,
    /// When the fault of the version begins, in milliseconds from the order.
    pub(crate) bad_from: u64,
    pub(crate) faults: Vec<Fault>,
    /// Length of the simulation, in milliseconds.
    pub(crate) length: u64,
}

impl Scenario {
    pub(crate) fn new(seed: u64, badness: Badness, bad_from: u64, faults: &[Fault]) -> Self {
        Self {
            seed,
            vms: 9,
            endpoints: 18,
            rate: 96.0,
            duration: 16_000,
            badness,
            bad_from,
            faults: faults.to_vec(),
            length: 34_000,
        }
    }
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulationResult {
    /// Time of the fiftieth bad answer of the new version, in milliseconds.
    pub(crate) fiftieth_bad_at: Option<u64>,
    /// Requests to the new version after the time that is allowed from its fiftieth bad answer.
    pub(crate) late_requests: usize,
    /// Requests to the new version until the deadline, minus the allowed number.
    pub(crate) excess_requests: f64,
    /// The written outcomes, with their times in milliseconds.
    pub(crate) outcomes: Vec<(u64, RolloutOutcome)>,
    /// Requests that were refused, since no endpoint of an allowed version was listed.
    pub(crate) refused: usize,
    /// All requests to the new version.
    pub(crate) new_requests: usize,
}

impl SimulationResult {
    pub(crate) fn last_outcome(&self) -> Option<RolloutOutcome> {
        self.outcomes.last().map(|(_, outcome)| *outcome)
    }

    /// Whether the bounds on the requests of a bad version were kept.
    pub(crate) fn is_within_bounds(&self) -> bool {
        self.late_requests == 0 && self.excess_requests <= 0.0
    }
}
