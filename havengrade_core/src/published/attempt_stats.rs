//! What VMs saw of the versions of a service: counters of each run that only grow, and their sums.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, ServiceId},
    published::{directory::SoftwareVersion, route::RouteId, time_histogram::TimeHistogramByLoad},
};

/// Stands in the name of a kind of request between the route and the model.
pub const KIND_SEPARATOR: char = '/';

/// A kind of request, whose answers are compared with each other: a route, and the model where it has several.
pub(super) type Kind = String;

/// The route of a kind.
pub(super) fn route_of(kind: &str) -> &str {
    kind.split_once(KIND_SEPARATOR).map_or(kind, |(route, _)| route)
}

/// What was seen of a version in one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStats {
    /// Tries that ended, with an answer or without one.
    pub ended: u64,
    /// Tries that ended in an error or a broken answer.
    pub failed: u64,
    /// Tries that ended in an error which is surely the endpoint's own; they are counted as failed as well.
    pub errors: u64,
    /// TimeHistogram to the first byte, for the size of the work; where a try was given up, the time that was waited.
    pub first: TimeHistogramByLoad,
    /// TimeHistogram between two events of a stream.
    pub pace: TimeHistogramByLoad,
}

impl AttemptStats {
    /// A number that grows with each count.
    pub(super) fn weight(&self) -> u64 {
        self.ended + self.first.total() + self.pace.total()
    }

    /// Tries of which it is known how they began: with a first byte, after some waiting, or with an error. A stream that still
    /// runs is among them.
    pub(super) fn begun(&self) -> u64 {
        self.first.total() + self.errors
    }

    /// Adds what was seen elsewhere.
    pub(super) fn merge(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.errors += other.errors;
        self.first.merge(&other.first);
        self.pace.merge(&other.pace);
    }

    /// What was seen since an earlier state of the same counters.
    #[must_use]
    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            errors: self.errors.saturating_sub(earlier.errors),
            first: self.first.since(&earlier.first),
            pace: self.pace.since(&earlier.pace),
        }
    }
}

/// What a run of a VM saw of a version of a service in one kind of request, since the roll-out was ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The service.
    pub service: ServiceId,
    /// The new version, or an empty text for all others.
    pub version: SoftwareVersion,
    /// The kind of request.
    pub route: RouteId,
    /// Its counters.
    pub seen: AttemptStats,
}

/// What all runs that are known saw of one version, by kind of request.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionStats {
    by_writer: HashMap<Kind, HashMap<Incarnation, AttemptStats>>,
    sums: BTreeMap<Kind, AttemptStats>,
}

impl VersionStats {
    /// Takes the counters of a run; gives what is new in them, since they only grow and older ones say nothing.
    pub(super) fn merge(&mut self, kind: &str, writer: Incarnation, seen: &AttemptStats) -> Option<AttemptStats> {
        let writers = self.by_writer.entry(kind.to_owned()).or_default();
        let known = writers.entry(writer).or_default();
        if seen.weight() <= known.weight() {
            return None;
        }
        let news = seen.since(known);
        *known = seen.clone();
        self.sums.entry(kind.to_owned()).or_default().merge(&news);
        Some(news)
    }

    /// Adds to a run's own counters.
    pub(super) fn add(&mut self, kind: &str, writer: Incarnation, more: &AttemptStats) {
        let writers = self.by_writer.entry(kind.to_owned()).or_default();
        writers.entry(writer).or_default().merge(more);
        self.sums.entry(kind.to_owned()).or_default().merge(more);
    }

    /// The sums over all runs, by kind.
    pub(super) fn sums(&self) -> &BTreeMap<Kind, AttemptStats> {
        &self.sums
    }

    /// The sum of a kind.
    pub(super) fn sum(&self, kind: &str) -> Option<&AttemptStats> {
        self.sums.get(kind)
    }

    /// Tries of all kinds of which it is known how they began.
    pub(super) fn begun(&self) -> u64 {
        self.sums.values().map(AttemptStats::begun).sum()
    }

    /// A run's own counters, by kind.
    pub(super) fn own(&self, writer: Incarnation) -> impl Iterator<Item = (&Kind, &AttemptStats)> {
        self.by_writer.iter().filter_map(move |(kind, writers)| Some((kind, writers.get(&writer)?)))
    }

    /// The runs whose counters are known.
    pub(super) fn writers(&self) -> HashSet<Incarnation> {
        self.by_writer.values().flat_map(HashMap::keys).copied().collect()
    }
}
