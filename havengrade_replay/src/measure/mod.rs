//! Slopes: what one more of something costs, measured at three sizes or more.

mod fit;
mod fleet;
mod memory;
mod messages;
mod sample;
mod time;

use std::collections::BTreeMap;

use havengrade_core::config::{BaseRevision, Change, Config, ConfigRecord, ScopedChange};
use serde::{Deserialize, Serialize};

pub use self::fit::{Line, fit};

/// What one more of something costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Unit of the cost.
    pub unit: String,
    /// What there is one more of.
    pub per: String,
    /// Cost of none of it.
    pub base: f64,
    /// Cost of each.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the point.
    pub residual: f64,
    /// The points: how many, and what they cost.
    pub points: Vec<(f64, f64)>,
}

/// All slopes by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The slopes.
    pub slopes: BTreeMap<String, Slope>,
}

impl Slopes {
    /// The cost of each, or 0 for a name that is not known.
    pub fn per(&self, name: &str) -> f64 {
        self.slopes.get(name).map_or(0.0, |slope| slope.slope)
    }

    /// The cost of so many of them.
    pub fn at(&self, name: &str, count: f64) -> f64 {
        self.slopes.get(name).map_or(0.0, |slope| slope.base + slope.slope * count)
    }

    pub(crate) fn add(&mut self, name: &str, unit: &str, per: &str, points: Vec<(f64, f64)>) {
        let Line { base, slope, residual } = fit(&points);
        let slope = Slope { unit: unit.to_owned(), per: per.to_owned(), base, slope, residual, points };
        self.slopes.insert(name.to_owned(), slope);
    }
}

/// A small sample configuration.
pub(crate) fn sample_config() -> Config {
    sample::config(1, 1)
}

/// A record that puts new items.
pub(crate) fn record_of(changes: Vec<Change>) -> ConfigRecord {
    let absent = |change| ScopedChange { base: BaseRevision::Absent, change };
    sample::change_record("first", changes.into_iter().map(absent).collect())
}

/// Measures everything; takes about a minute.
pub fn run() -> Slopes {
    let mut slopes = Slopes::default();
    messages::measure(&mut slopes);
    memory::measure(&mut slopes);
    time::measure(&mut slopes);
    fleet::measure(&mut slopes);
    slopes
}
