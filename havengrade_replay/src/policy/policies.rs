//! Policies: which versions a request tries, and at which engines.

use std::time::SystemTime;

use havengrade_core::{
    cascade::plan,
    config::{Account, Cascade, Catalog},
    endpoint_selection::{EndpointStates, SelectionContext, choose},
    evidence::EvidenceTotals,
    ids::{EndpointId, VersionId},
};
use rand::{Rng as _, RngExt as _};
use rand_chacha::ChaCha8Rng;

/// How versions are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Versions {
    /// By the evidence, as the router does.
    Evidence,
    /// Always the strongest.
    Strongest,
    /// Always the cheapest.
    Cheapest,
    /// All of the cascade, from cheap to strong.
    Cascade,
    /// The cheapest, and then the strongest.
    CheapThenStrong,
    /// Any.
    Random,
}

/// How engines are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Engines {
    /// The least loaded of a few, as the router does.
    FewDrawn,
    /// One after another.
    RoundRobin,
    /// The one with the least reported load.
    LeastReported,
    /// Any.
    Random,
}

/// A policy.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    versions: Versions,
    engines: Engines,
}

/// Our policy first, then the baselines.
pub const POLICIES: [Policy; 9] = [
    Policy { name: "ours", versions: Versions::Evidence, engines: Engines::FewDrawn },
    Policy { name: "strongest", versions: Versions::Strongest, engines: Engines::FewDrawn },
    Policy { name: "cheapest", versions: Versions::Cheapest, engines: Engines::FewDrawn },
    Policy { name: "cascade", versions: Versions::Cascade, engines: Engines::FewDrawn },
    Policy { name: "cheap_then_strong", versions: Versions::CheapThenStrong, engines: Engines::FewDrawn },
    Policy { name: "random", versions: Versions::Random, engines: Engines::Random },
    Policy { name: "round_robin", versions: Versions::Evidence, engines: Engines::RoundRobin },
    Policy { name: "least_reported", versions: Versions::Evidence, engines: Engines::LeastReported },
    Policy { name: "random_engine", versions: Versions::Evidence, engines: Engines::Random },
];

/// What a policy sees.
pub(crate) struct View<'a> {
    pub(crate) catalog: &'a Catalog,
    pub(crate) account: &'a Account,
    pub(crate) cascade: &'a Cascade,
    pub(crate) evidence: &'a EvidenceTotals,
}

impl Policy {
    /// The policy of a name.
    pub fn named(name: &str) -> Option<Self> {
        POLICIES.into_iter().find(|policy| policy.name == name)
    }

    /// The versions that a request tries, in order; each answer but the last is checked.
    pub(crate) fn ladder(&self, view: &View<'_>, class: &str, rng: &mut ChaCha8Rng) -> Vec<VersionId> {
        let steps = &view.cascade.steps;
        let (first, last) = (steps.first().cloned(), steps.last().cloned());
        match self.versions {
            Versions::Evidence => {
                let config = &view.catalog.config;
                plan(config, view.account, class, view.cascade, view.evidence, rng.next_u64()).versions
            },
            Versions::Strongest => last.into_iter().collect(),
            Versions::Cheapest => first.into_iter().collect(),
            Versions::Cascade => steps.clone(),
            Versions::CheapThenStrong => first.into_iter().chain(last).collect(),
            Versions::Random => steps.get(rng.random_range(0..steps.len())).cloned().into_iter().collect(),
        }
    }

    /// The engine for a version.
    pub(crate) fn engine(
        &self,
        view: &View<'_>,
        version: &str,
        states: &dyn EndpointStates,
        turn: usize,
        rng: &mut ChaCha8Rng,
    ) -> Option<EndpointId> {
        let candidates = view.catalog.engines_for(version);
        match self.engines {
            Engines::FewDrawn => {
                let wanted = SelectionContext { failure_domain: "", tried_endpoints: &[], now: SystemTime::UNIX_EPOCH };
                choose(view.catalog, candidates, states, wanted, rng).map(|endpoint| endpoint.id.clone())
            },
            Engines::RoundRobin => candidates.get(turn % candidates.len().max(1)).cloned(),
            Engines::LeastReported => candidates.iter().min_by_key(|id| states.state(id).reported).cloned(),
            Engines::Random => candidates.get(rng.random_range(0..candidates.len().max(1))).cloned(),
        }
    }
}
