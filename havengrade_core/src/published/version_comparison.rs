//! What VMs saw of the new version of a service and of the one before, side by side.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, SystemTime},
};

use crate::{
    ids::{Incarnation, ServiceId},
    published::{
        attempt_outcome::{AttemptOutcome, AttemptTime},
        attempt_stats::{AttemptStats, Kind, RouteEvidence, VersionStats},
        directory::SoftwareVersion,
        evidence_summary::VersionCounts,
        time_histogram::TimeHistogramByLoad,
    },
};

/// Stands for all versions but the new one in evidence.
pub(super) const OLD: &str = "";
/// Stands for a version of which nothing is known.
static NOTHING: AttemptStats = AttemptStats {
    ended: 0,
    failed: 0,
    errors: 0,
    first: TimeHistogramByLoad::new(),
    pace: TimeHistogramByLoad::new(),
};
/// Time after which counters of the old version are told again; those of the new one are told with each report.
const TELL_OLD: Duration = Duration::from_millis(1000);
/// Time after which counters are told again although they are the same: a report may be lost, or go to others.
const TELL_AGAIN: Duration = Duration::from_millis(3000);

/// What all VMs saw of the new version of a service, and of all others together.
#[derive(Clone, Debug)]
pub(super) struct VersionComparison {
    service: ServiceId,
    /// The new version's name.
    name: SoftwareVersion,
    new: VersionStats,
    old: VersionStats,
    /// What another VM, or the store, knew of the old version when this VM started; kept apart from `old`, since both tell of the
    /// same answers.
    handed: BTreeMap<Kind, AttemptStats>,
    /// What was seen of the new version since it was last taken.
    fresh: HashMap<Kind, AttemptStats>,
    /// How much of this VM's own counters was told, and when.
    told: HashMap<(SoftwareVersion, Kind), (u64, SystemTime)>,
}

/// What was seen of the new version in a kind of request, and what is usual there.
pub(super) type Compared<'a> = (&'a str, &'a AttemptStats, &'a AttemptStats);

impl VersionComparison {
    pub(super) fn new(service: ServiceId, name: SoftwareVersion) -> Self {
        Self {
            service,
            name,
            new: VersionStats::default(),
            old: VersionStats::default(),
            handed: BTreeMap::new(),
            fresh: HashMap::new(),
            told: HashMap::new(),
        }
    }

    /// Counts the end of a try that this VM, of run `own`, made.
    pub(super) fn note(&mut self, sample: &AttemptOutcome<'_>, own: Incarnation) {
        self.add(sample.kind, sample.version, own, &sample.stats());
    }

    /// Counts a time of a try that this VM, of run `own`, made.
    pub(super) fn note_time(&mut self, note: &AttemptTime<'_>, own: Incarnation) {
        self.add(note.kind, note.version, own, &note.stats());
    }

    fn add(&mut self, kind: &str, version: &str, own: Incarnation, seen: &AttemptStats) {
        if version == self.name {
            self.new.add(kind, own, seen);
            self.fresh.entry(kind.to_owned()).or_default().merge(seen);
        } else {
            self.old.add(kind, own, seen);
        }
    }

    /// Takes another VM's counters; they only grow, so older ones have no effect.
    pub(super) fn merge(&mut self, writer: Incarnation, evidence: &RouteEvidence) {
        if evidence.version == OLD {
            self.old.merge(&evidence.route, writer, &evidence.seen);
        } else if evidence.version == self.name
            && let Some(news) = self.new.merge(&evidence.route, writer, &evidence.seen)
        {
            self.fresh.entry(evidence.route.clone()).or_default().merge(&news);
        }
    }

    /// Whether this VM saw something of the new version that the others were not told yet.
    pub(super) fn has_news(&self, own: Incarnation) -> bool {
        let is_told = |kind: &Kind| self.told.get(&(self.name.clone(), kind.clone()));
        self.new.own(own).any(|(kind, seen)| is_told(kind).is_none_or(|(weight, _)| *weight < seen.weight()))
    }

    /// This VM's own counters that the others don't know yet, or were told long ago; the oldest first, at most so many.
    pub(super) fn tell(&mut self, own: Incarnation, most: usize, now: SystemTime) -> Vec<RouteEvidence> {
        let sides = [(self.name.as_str(), &self.new), (OLD, &self.old)];
        let mut due = Vec::new();
        for (version, record) in sides {
            for (kind, seen) in record.own(own) {
                let told = self.told.get(&(version.to_owned(), kind.clone())).copied();
                let pause = match told {
                    Some((weight, _)) if weight == seen.weight() => TELL_AGAIN,
                    Some(_) if version == OLD => TELL_OLD,
                    _ => Duration::ZERO,
                };
                if told.is_none_or(|(_, at)| now >= at + pause) {
                    due.push((told.map(|(_, at)| at), version.to_owned(), kind.clone(), seen.clone()));
                }
            }
        }
        due.sort_by_key(|(at, ..)| *at);
        due.truncate(most);
        for (_, version, kind, seen) in &due {
            self.told.insert((version.clone(), kind.clone()), (seen.weight(), now));
        }
        let evidence =
            |(_, version, route, seen)| RouteEvidence { service: self.service.clone(), version, route, seen };
        due.into_iter().map(evidence).collect()
    }

    /// What was seen of the new version since the last call.
    pub(super) fn take_fresh(&mut self) -> HashMap<Kind, AttemptStats> {
        std::mem::take(&mut self.fresh)
    }

    /// Some of the new version's counters beside what is usual.
    pub(super) fn compare<'a>(
        &'a self,
        new: impl Iterator<Item = (&'a Kind, &'a AttemptStats)>,
    ) -> impl Iterator<Item = Compared<'a>> {
        new.map(|(kind, seen)| (kind.as_str(), seen, self.usual_of(kind)))
    }

    /// All that was seen of the new version beside what is usual.
    pub(super) fn compared(&self) -> impl Iterator<Item = Compared<'_>> {
        self.compare(self.new.sums().iter())
    }

    /// Tries of the new version of which it is known how they began, and those of all versions.
    pub(super) fn begun(&self) -> (u64, u64) {
        let new = self.new.begun();
        (new, new + self.old.begun())
    }

    /// How many runs of VMs told something.
    pub(super) fn writers(&self) -> usize {
        let mut writers = self.new.writers();
        writers.extend(self.old.writers());
        writers.len()
    }

    /// What was counted of the new version and of the old one.
    pub(super) fn counted(&self) -> (VersionCounts, VersionCounts) {
        let count = |record: &VersionStats| {
            let mut counted = VersionCounts::default();
            for (kind, seen) in record.sums() {
                counted.add(seen, self.usual_of(kind));
            }
            counted
        };
        (count(&self.new), count(&self.old))
    }

    /// What is known of the old version in a kind of request, from whichever side tells more.
    pub(super) fn usual_of(&self, kind: &str) -> &AttemptStats {
        let (seen, handed) = (self.old.sum(kind), self.handed.get(kind));
        seen.into_iter().chain(handed).max_by_key(|seen| seen.weight()).unwrap_or(&NOTHING)
    }

    /// What is known of the old version in all kinds of request, for a VM that starts.
    pub(super) fn usual(&self) -> Vec<RouteEvidence> {
        let kinds: BTreeSet<&Kind> = self.old.sums().keys().chain(self.handed.keys()).collect();
        let evidence = |kind: &Kind| RouteEvidence {
            service: self.service.clone(),
            version: OLD.to_owned(),
            route: kind.clone(),
            seen: self.usual_of(kind).clone(),
        };
        kinds.into_iter().map(evidence).collect()
    }

    /// Takes what another VM knows of the old version.
    pub(super) fn merge_baseline(&mut self, usual: Vec<RouteEvidence>) {
        for evidence in usual {
            let known = self.handed.entry(evidence.route).or_default();
            if known.weight() < evidence.seen.weight() {
                *known = evidence.seen;
            }
        }
    }
}
