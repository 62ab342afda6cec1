//! Evidence of answer quality per model version: monotonic counters that are merged over all VMs.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Incarnation, Permille, RolloutId, VersionId};

/// Counters for a version in a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Rated answers.
    pub rated: u64,
    /// Sum of the ratings, in thousandths.
    pub score: u64,
    /// Rated answers that reached the quality target of their class.
    pub passed: u64,
    /// Finished requests.
    pub ended: u64,
    /// Requests that failed because of the version or its endpoint.
    pub failed: u64,
}

impl Tally {
    /// Returns the sum of both tallies.
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

    /// Returns the share of rated answers that reach the quality target, smoothed by a weighted prior.
    pub fn pass_rate(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.passed as f64 + prior * prior_weight) / (self.rated as f64 + prior_weight).max(f64::MIN_POSITIVE)
    }

    /// Returns the mean rating, smoothed by a weighted prior.
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

/// Key of a tally.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TallyKey {
    /// Request class.
    pub class: ClassId,
    /// Model version.
    pub version: VersionId,
}

/// Tallies summed over all writers, that is, over all process incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceTotals {
    /// Roll-outs that the evidence halts; this VM applies the halt before the log contains it.
    pub halted_rollouts: BTreeSet<RolloutId>,
    by_class: HashMap<ClassId, HashMap<VersionId, Tally>>,
}

impl EvidenceTotals {
    /// Returns the tally of a version in a class.
    pub fn get(&self, class: &str, version: &str) -> Tally {
        self.by_class.get(class).and_then(|versions| versions.get(version)).copied().unwrap_or_default()
    }

    /// Sets a tally.
    pub fn set(&mut self, key: &TallyKey, tally: Tally) {
        self.by_class.entry(key.class.clone()).or_default().insert(key.version.clone(), tally);
    }
}

/// Tallies that were received from all VMs.
///
/// ```
/// use havengrade_core::evidence::{Evidence, TallyKey, Tally};
///
/// let key = TallyKey { class: "tag".into(), version: "swift@1".into() };
/// let mut evidence = Evidence::default();
/// evidence.record(&key, 1, Tally { ended: 2, ..Tally::default() });
/// evidence.merge(&key, 2, Tally { ended: 3, ..Tally::default() });
/// evidence.merge(&key, 2, Tally { ended: 1, ..Tally::default() });
/// assert_eq!(evidence.totals().get("tag", "swift@1").ended, 5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    by_writer: HashMap<TallyKey, HashMap<Incarnation, Tally>>,
    totals: EvidenceTotals,
}

impl Evidence {
    /// Merges a writer's tally; a tally older than the known one has no effect.
    pub fn merge(&mut self, key: &TallyKey, writer: Incarnation, tally: Tally) {
        let writers = self.by_writer.entry(key.clone()).or_default();
        let known = writers.entry(writer).or_default();
        if tally.ended + tally.rated <= known.ended + known.rated {
            return;
        }
        *known = tally;
        let total = writers.values().fold(Tally::default(), |sum, tally| sum.plus(tally));
        self.totals.set(key, total);
    }

    /// Adds counts to a writer's tally.
    pub fn record(&mut self, key: &TallyKey, writer: Incarnation, added: Tally) {
        let known = self.writer_tally(key, writer);
        self.merge(key, writer, known.plus(&added));
    }

    /// Returns a writer's tally.
    pub fn writer_tally(&self, key: &TallyKey, writer: Incarnation) -> Tally {
        let writers = self.by_writer.get(key);
        writers.and_then(|writers| writers.get(&writer)).copied().unwrap_or_default()
    }

    /// Returns the keys of all tallies.
    pub fn keys(&self) -> impl Iterator<Item = &TallyKey> {
        self.by_writer.keys()
    }

    /// Returns the number of processes whose tallies are known.
    pub fn writer_count(&self) -> usize {
        let writers: BTreeSet<&Incarnation> = self.by_writer.values().flat_map(HashMap::keys).collect();
        writers.len()
    }

    /// Returns the tallies summed over all writers.
    pub fn totals(&self) -> &EvidenceTotals {
        &self.totals
    }
}
