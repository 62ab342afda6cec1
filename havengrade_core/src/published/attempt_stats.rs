//! Statistics of a service's versions: counters of each VM incarnation that only grow, and their sums.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, ServiceId},
    published::{directory::SoftwareVersion, route::RouteId, time_histogram::TimeHistogramByLoad},
};

/// Separates the route from the model in the name of a request kind.
pub const KIND_SEPARATOR: char = '/';

/// Largest counter that is accepted from outside: a hundred thousand requests per second for four months.
const MAX_COUNT: u64 = 1 << 40;

/// A kind of request, within which answers are compared: a route, and the model where the route has several.
pub(super) type RequestKind = String;

/// The route of a request kind.
pub(super) fn route_of(kind: &str) -> &str {
    kind.split_once(KIND_SEPARATOR).map_or(kind, |(route, _)| route)
}

/// Statistics of the attempts at a version for one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStats {
    /// Attempts that ended, with or without an answer.
    pub ended: u64,
    /// Attempts that ended in an error or a broken answer.
    pub failed: u64,
    /// Attempts that ended in an error which the endpoint certainly caused itself; they are counted in `failed` as
    /// well.
    pub errors: u64,
    /// Times to the first byte per unit of work. An attempt that was given up counts with the time that was waited.
    pub first: TimeHistogramByLoad,
    /// Times between two events of a stream.
    pub pace: TimeHistogramByLoad,
}

impl AttemptStats {
    /// Number of counted values, which grows with each update.
    pub(super) fn value_count(&self) -> u64 {
        self.ended + self.first.total() + self.pace.total()
    }

    /// Attempts whose start was observed: a first byte, a wait that was given up, or an error. They include streams
    /// that are still in progress.
    pub(super) fn observed_starts(&self) -> u64 {
        self.first.total() + self.errors
    }

    /// These statistics, from outside the process, with counters whose sums can't overflow.
    pub(super) fn bounded(&self) -> Self {
        Self {
            ended: self.ended.min(MAX_COUNT),
            failed: self.failed.min(MAX_COUNT),
            errors: self.errors.min(MAX_COUNT),
            first: self.first.clone(),
            pace: self.pace.clone(),
        }
    }

    /// Adds other statistics.
    pub(super) fn merge(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.errors += other.errors;
        self.first.merge(&other.first);
        self.pace.merge(&other.pace);
    }

    /// The difference to an earlier state of the same counters.
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

/// Statistics that one VM incarnation has gathered on a version for one kind of request, since the roll-out was
/// ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The service.
    pub service: ServiceId,
    /// The new version, or an empty string for all other versions.
    pub version: SoftwareVersion,
    /// The kind of request.
    pub route: RouteId,
    /// The statistics.
    pub seen: AttemptStats,
}

/// Statistics of one version from all known VM incarnations, by kind of request.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionStats {
    by_writer: HashMap<RequestKind, HashMap<Incarnation, AttemptStats>>,
    sums: BTreeMap<RequestKind, AttemptStats>,
}

impl VersionStats {
    /// Replaces the counters of an incarnation and returns what was added to them. Counters only grow, so that older
    /// ones have no effect.
    pub(super) fn merge(&mut self, kind: &str, writer: Incarnation, stats: &AttemptStats) -> Option<AttemptStats> {
        let writers = self.by_writer.entry(kind.to_owned()).or_default();
        let known = writers.entry(writer).or_default();
        let stats = &stats.bounded();
        if stats.value_count() <= known.value_count() {
            return None;
        }
        let added = stats.since(known);
        *known = stats.clone();
        self.sums.entry(kind.to_owned()).or_default().merge(&added);
        Some(added)
    }

    /// Adds to the counters of an incarnation.
    pub(super) fn add(&mut self, kind: &str, writer: Incarnation, more: &AttemptStats) {
        let writers = self.by_writer.entry(kind.to_owned()).or_default();
        writers.entry(writer).or_default().merge(more);
        self.sums.entry(kind.to_owned()).or_default().merge(more);
    }

    /// The sums over all incarnations, by kind.
    pub(super) fn sums(&self) -> &BTreeMap<RequestKind, AttemptStats> {
        &self.sums
    }

    /// The sum for one kind.
    pub(super) fn sum(&self, kind: &str) -> Option<&AttemptStats> {
        self.sums.get(kind)
    }

    /// Attempts of all kinds whose start was observed.
    pub(super) fn observed_starts(&self) -> u64 {
        self.sums.values().map(AttemptStats::observed_starts).sum()
    }

    /// The counters of one incarnation, by kind.
    pub(super) fn of_writer(&self, writer: Incarnation) -> impl Iterator<Item = (&RequestKind, &AttemptStats)> {
        self.by_writer.iter().filter_map(move |(kind, writers)| Some((kind, writers.get(&writer)?)))
    }

    /// The incarnations whose counters are known.
    pub(super) fn writers(&self) -> HashSet<Incarnation> {
        self.by_writer.values().flat_map(HashMap::keys).copied().collect()
    }
}
