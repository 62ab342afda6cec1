//! Statistics of a service's new version beside those of the baseline, the versions before it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, SystemTime},
};

use crate::{
    ids::{Incarnation, ServiceId},
    published::{
        attempt_outcome::{AttemptOutcome, AttemptTime},
        attempt_stats::{AttemptStats, RequestKind, RouteEvidence, VersionStats},
        directory::SoftwareVersion,
        evidence_summary::VersionCounts,
        time_histogram::TimeHistogramByLoad,
    },
};

/// Version name that stands for the baseline, all versions but the new one, in evidence.
pub(super) const BASELINE: &str = "";
/// Statistics of a version of which nothing is known.
static EMPTY: AttemptStats = AttemptStats {
    ended: 0,
    failed: 0,
    errors: 0,
    first: TimeHistogramByLoad::new(),
    pace: TimeHistogramByLoad::new(),
};
/// Interval between reports of changed baseline counters; counters of the new version go into each report.
const BASELINE_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between reports of unchanged counters: a report may be lost, or go to other VMs.
const UNCHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(3000);

/// Statistics from all VMs on the new version of a service, and on the baseline.
#[derive(Clone, Debug)]
pub(super) struct VersionComparison {
    service: ServiceId,
    /// The new version's name.
    name: SoftwareVersion,
    new: VersionStats,
    baseline: VersionStats,
    /// Baseline statistics that another VM or the store had when this VM started. They are kept apart from `baseline`,
    /// since both count the same answers.
    transferred_baseline: BTreeMap<RequestKind, AttemptStats>,
    /// Statistics that were added for the new version since the last call of `take_unevaluated`.
    unevaluated: HashMap<RequestKind, AttemptStats>,
    /// For each of this VM's own counters, the number of values in the last report, and its time.
    reported: HashMap<(SoftwareVersion, RequestKind), (u64, SystemTime)>,
}

/// Statistics of the new version for a kind of request, and those of the baseline.
pub(super) type KindComparison<'a> = (&'a str, &'a AttemptStats, &'a AttemptStats);

impl VersionComparison {
    pub(super) fn new(service: ServiceId, name: SoftwareVersion) -> Self {
        Self {
            service,
            name,
            new: VersionStats::default(),
            baseline: VersionStats::default(),
            transferred_baseline: BTreeMap::new(),
            unevaluated: HashMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Counts the outcome of an attempt that this VM, of incarnation `own`, made.
    pub(super) fn record_outcome(&mut self, outcome: &AttemptOutcome<'_>, own: Incarnation) {
        self.add(outcome.kind, outcome.version, own, &outcome.stats());
    }

    /// Counts a time of an attempt that this VM, of incarnation `own`, made.
    pub(super) fn record_time(&mut self, time: &AttemptTime<'_>, own: Incarnation) {
        self.add(time.kind, time.version, own, &time.stats());
    }

    fn add(&mut self, kind: &str, version: &str, own: Incarnation, stats: &AttemptStats) {
        if version == self.name {
            self.new.add(kind, own, stats);
            self.unevaluated.entry(kind.to_owned()).or_default().merge(stats);
        } else {
            self.baseline.add(kind, own, stats);
        }
    }

    /// Merges another VM's counters; they only grow, so that older ones have no effect.
    pub(super) fn merge(&mut self, writer: Incarnation, evidence: &RouteEvidence) {
        if evidence.version == BASELINE {
            self.baseline.merge(&evidence.route, writer, &evidence.seen);
        } else if evidence.version == self.name
            && let Some(added) = self.new.merge(&evidence.route, writer, &evidence.seen)
        {
            self.unevaluated.entry(evidence.route.clone()).or_default().merge(&added);
        }
    }

    /// Whether this VM has statistics on the new version that it has not reported yet.
    pub(super) fn has_unreported(&self, own: Incarnation) -> bool {
        let last_report = |kind: &RequestKind| self.reported.get(&(self.name.clone(), kind.clone()));
        self.new
            .of_writer(own)
            .any(|(kind, stats)| last_report(kind).is_none_or(|(count, _)| *count < stats.value_count()))
    }

    /// This VM's own counters that are due for a report, the least recently reported first, at most `max_count`.
    pub(super) fn next_report(&mut self, own: Incarnation, max_count: usize, now: SystemTime) -> Vec<RouteEvidence> {
        let sides = [(self.name.as_str(), &self.new), (BASELINE, &self.baseline)];
        let mut due = Vec::new();
        for (version, version_stats) in sides {
            for (kind, stats) in version_stats.of_writer(own) {
                let last_report = self.reported.get(&(version.to_owned(), kind.clone())).copied();
                let interval = match last_report {
                    Some((count, _)) if count == stats.value_count() => UNCHANGED_REPORT_INTERVAL,
                    Some(_) if version == BASELINE => BASELINE_REPORT_INTERVAL,
                    _ => Duration::ZERO,
                };
                if last_report.is_none_or(|(_, at)| now >= at + interval) {
                    due.push((last_report.map(|(_, at)| at), version.to_owned(), kind.clone(), stats.clone()));
                }
            }
        }
        due.sort_by_key(|(at, ..)| *at);
        due.truncate(max_count);
        for (_, version, kind, stats) in &due {
            self.reported.insert((version.clone(), kind.clone()), (stats.value_count(), now));
        }
        let evidence =
            |(_, version, route, seen)| RouteEvidence { service: self.service.clone(), version, route, seen };
        due.into_iter().map(evidence).collect()
    }

    /// Returns and clears the statistics that were added for the new version since the last call.
    pub(super) fn take_unevaluated(&mut self) -> HashMap<RequestKind, AttemptStats> {
        std::mem::take(&mut self.unevaluated)
    }

    /// The given statistics of the new version beside those of the baseline.
    pub(super) fn compare<'a>(
        &'a self,
        new: impl Iterator<Item = (&'a RequestKind, &'a AttemptStats)>,
    ) -> impl Iterator<Item = KindComparison<'a>> {
        new.map(|(kind, stats)| (kind.as_str(), stats, self.baseline_of(kind)))
    }

    /// All statistics of the new version beside those of the baseline.
    pub(super) fn compare_all(&self) -> impl Iterator<Item = KindComparison<'_>> {
        self.compare(self.new.sums().iter())
    }

    /// Attempts whose start was observed, of the new version and of all versions.
    pub(super) fn observed_starts(&self) -> (u64, u64) {
        let new = self.new.observed_starts();
        (new, new + self.baseline.observed_starts())
    }

    /// Number of VM incarnations that contributed statistics.
    pub(super) fn writer_count(&self) -> usize {
        let mut writers = self.new.writers();
        writers.extend(self.baseline.writers());
        writers.len()
    }

    /// Total counts of the new version and of the baseline.
    pub(super) fn total_counts(&self) -> (VersionCounts, VersionCounts) {
        let count = |version_stats: &VersionStats| {
            let mut counts = VersionCounts::default();
            for (kind, stats) in version_stats.sums() {
                counts.add(stats, self.baseline_of(kind));
            }
            counts
        };
        (count(&self.new), count(&self.baseline))
    }

    /// The baseline for a kind of request, from the source that has counted more.
    pub(super) fn baseline_of(&self, kind: &str) -> &AttemptStats {
        let (counted, transferred) = (self.baseline.sum(kind), self.transferred_baseline.get(kind));
        counted.into_iter().chain(transferred).max_by_key(|stats| stats.value_count()).unwrap_or(&EMPTY)
    }

    /// The baseline for all kinds of request, for a VM that starts.
    pub(super) fn baseline(&self) -> Vec<RouteEvidence> {
        let kinds: BTreeSet<&RequestKind> =
            self.baseline.sums().keys().chain(self.transferred_baseline.keys()).collect();
        let evidence = |kind: &RequestKind| RouteEvidence {
            service: self.service.clone(),
            version: BASELINE.to_owned(),
            route: kind.clone(),
            seen: self.baseline_of(kind).clone(),
        };
        kinds.into_iter().map(evidence).collect()
    }

    /// Merges the baseline of another VM or the store.
    pub(super) fn merge_baseline(&mut self, baseline: Vec<RouteEvidence>) {
        for evidence in baseline {
            let known = self.transferred_baseline.entry(evidence.route).or_default();
            let seen = evidence.seen.bounded();
            if known.value_count() < seen.value_count() {
                *known = seen;
            }
        }
    }
}
