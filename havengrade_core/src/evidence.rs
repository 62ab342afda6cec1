//! Evidence of how well versions answer: counters that only grow, merged over VMs.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Incarnation, Permille, RolloutId, VersionId};

/// What is counted for a version in a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that were rated.
    pub rated: u64,
    /// Sum of the ratings, in thousandths.
    pub score: u64,
    /// Rated answers that reached the quality target of their class.
    pub passed: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Requests that ended in an error of the version or its endpoint.
    pub failed: u64,
}

impl Tally {
    /// Both tallies together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            rated: self.rated + other.rated,
            score: self.score + other.score,
            passed: self.passed + other.passed,
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
        }
    }

    /// The share of answers that reach the quality target, once a prior of some weight is mixed in.
    pub fn pass_rate(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.passed as f64 + prior * prior_weight) / (self.rated as f64 + prior_weight).max(f64::MIN_POSITIVE)
    }

    /// The mean rating once a prior of some weight is mixed in.
    ///
    /// ```
    /// use havengrade_core::evidence::Tally;
    ///
    /// let tally = Tally { rated: 10, score: 9000, ..Tally::default() };
    /// assert_eq!(tally.quality(700, 10), 800);
    /// ```
    pub fn quality(&self, prior: Permille, prior_weight: u64) -> Permille {
        let weight = self.rated + prior_weight;
        if weight == 0 {
            return prior;
        }
        let sum = self.score + u64::from(prior) * prior_weight;
        Permille::try_from(sum / weight).unwrap_or(Permille::MAX)
    }
}

/// Which answers a tally is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TallyKey {
    /// The request class.
    pub class: ClassId,
    /// The version.
    pub version: VersionId,
}

/// Tallies summed over all writers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceTotals {
    /// Roll-outs that the evidence speaks against; they are halted here before the log says so.
    pub halted_rollouts: BTreeSet<RolloutId>,
    by_class: HashMap<ClassId, HashMap<VersionId, Tally>>,
}

impl EvidenceTotals {
    /// The tally of a version in a class.
    pub fn get(&self, class: &str, version: &str) -> Tally {
        self.by_class.get(class).and_then(|versions| versions.get(version)).copied().unwrap_or_default()
    }

    /// Sets the tally of a subject.
    pub fn set(&mut self, subject: &TallyKey, tally: Tally) {
        self.by_class.entry(subject.class.clone()).or_default().insert(subject.version.clone(), tally);
    }
}

/// The tallies of all VMs that have been heard from.
///
/// ```
/// use havengrade_core::evidence::{Evidence, TallyKey, Tally};
///
/// let subject = TallyKey { class: "tag".into(), version: "swift@1".into() };
/// let mut evidence = Evidence::default();
/// evidence.record(&subject, 1, Tally { ended: 2, ..Tally::default() });
/// evidence.merge(&subject, 2, Tally { ended: 3, ..Tally::default() });
/// evidence.merge(&subject, 2, Tally { ended: 1, ..Tally::default() });
/// assert_eq!(evidence.totals().get("tag", "swift@1").ended, 5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    by_writer: HashMap<TallyKey, HashMap<Incarnation, Tally>>,
    totals: EvidenceTotals,
}

impl Evidence {
    /// Takes a writer's tally; an older one than is known has no effect.
    pub fn merge(&mut self, subject: &TallyKey, writer: Incarnation, tally: Tally) {
        let writers = self.by_writer.entry(subject.clone()).or_default();
        let known = writers.entry(writer).or_default();
        if tally.ended + tally.rated <= known.ended + known.rated {
            return;
        }
        *known = tally;
        let total = writers.values().fold(Tally::default(), |sum, tally| sum.plus(tally));
        self.totals.set(subject, total);
    }

    /// Adds to a writer's own tally.
    pub fn record(&mut self, subject: &TallyKey, writer: Incarnation, more: Tally) {
        let known = self.writer_tally(subject, writer);
        self.merge(subject, writer, known.plus(&more));
    }

    /// A writer's own tally.
    pub fn writer_tally(&self, subject: &TallyKey, writer: Incarnation) -> Tally {
        let writers = self.by_writer.get(subject);
        writers.and_then(|writers| writers.get(&writer)).copied().unwrap_or_default()
    }

    /// What there are tallies of.
    pub fn keys(&self) -> impl Iterator<Item = &TallyKey> {
        self.by_writer.keys()
    }

    /// How many writers' tallies are known.
    pub fn writer_count(&self) -> usize {
        let writers: BTreeSet<&Incarnation> = self.by_writer.values().flat_map(HashMap::keys).collect();
        writers.len()
    }

    /// The sums over all writers.
    pub fn totals(&self) -> &EvidenceTotals {
        &self.totals
    }
}
