//! Evidence of how well versions answer: counters that only grow, merged over VMs.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Incarnation, Permille, VersionId};

/// What is counted for a version in a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that were rated.
    pub rated: u64,
    /// Sum of the ratings, in thousandths.
    pub score: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Requests that ended in an error of the version or its endpoint.
    pub failed: u64,
}

impl Tally {
    fn plus(&self, other: &Self) -> Self {
        Self {
            rated: self.rated + other.rated,
            score: self.score + other.score,
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
        }
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
pub struct Subject {
    /// The request class.
    pub class: ClassId,
    /// The version.
    pub version: VersionId,
}

/// The tallies of all VMs that have been heard from.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    by_writer: HashMap<Subject, HashMap<Incarnation, Tally>>,
    totals: HashMap<Subject, Tally>,
}

impl Evidence {
    /// Takes a writer's tally; an older one than is known has no effect.
    pub fn merge(&mut self, subject: &Subject, writer: Incarnation, tally: Tally) {
        let writers = self.by_writer.entry(subject.clone()).or_default();
        let known = writers.entry(writer).or_default();
        if tally.ended + tally.rated <= known.ended + known.rated {
            return;
        }
        *known = tally;
        let total = writers.values().fold(Tally::default(), |sum, tally| sum.plus(tally));
        self.totals.insert(subject.clone(), total);
    }

    /// Adds to a writer's own tally.
    pub fn record(&mut self, subject: &Subject, writer: Incarnation, more: Tally) {
        let known = self.own(subject, writer);
        self.merge(subject, writer, known.plus(&more));
    }

    /// A writer's own tally.
    pub fn own(&self, subject: &Subject, writer: Incarnation) -> Tally {
        let writers = self.by_writer.get(subject);
        writers.and_then(|writers| writers.get(&writer)).copied().unwrap_or_default()
    }

    /// All tallies of a writer.
    pub fn all_own(&self, writer: Incarnation) -> Vec<(Subject, Tally)> {
        let own = |(subject, writers): (&Subject, &HashMap<Incarnation, Tally>)| {
            writers.get(&writer).map(|tally| (subject.clone(), *tally))
        };
        self.by_writer.iter().filter_map(own).collect()
    }

    /// The tally over all writers.
    pub fn total(&self, class: &str, version: &str) -> Tally {
        let subject = Subject { class: class.to_owned(), version: version.to_owned() };
        self.totals.get(&subject).copied().unwrap_or_default()
    }
}
