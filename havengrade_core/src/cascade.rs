//! Cascades: where to start on the way from cheap to strong versions, and when to go on.

use crate::{
    config::{Account, Cascade, Config, ModelVersion},
    evidence::Totals,
    ids::{Permille, VersionId},
};

/// Ratings that a version's prior quality counts for.
pub const PRIOR_WEIGHT: u64 = 20;
/// Thousandths in a whole.
const WHOLE: u64 = 1000;

/// The versions of a cascade that a request may use, from where it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ladder {
    /// Versions to try, in order.
    pub versions: Vec<VersionId>,
}

/// Plans the versions that a request tries, in order.
///
/// It starts at the cheapest allowed version whose quality in the class reaches the cascade's target,
/// or else at the best. `draw` is a random number that decides about exploration.
pub fn plan(cfg: &Config, account: &Account, class: &str, cascade: &Cascade, evidence: &Totals, draw: u64) -> Ladder {
    let usable: Vec<&ModelVersion> = cascade
        .steps
        .iter()
        .filter(|version| account.allows(version) && cfg.is_active(version))
        .filter_map(|version| cfg.versions.get(version))
        .collect();
    let quality = |version: &ModelVersion| -> Permille {
        evidence.get(class, &version.id).quality(version.prior_quality, PRIOR_WEIGHT)
    };
    let good_enough = usable.iter().position(|version| quality(version) >= cascade.quality_target);
    let best = (0..usable.len()).max_by_key(|index| quality(usable[*index])).unwrap_or_default();
    let planned = good_enough.unwrap_or(best);
    let start = explore(planned, cascade.explore, draw);
    Ladder { versions: usable.iter().skip(start).map(|version| version.id.clone()).collect() }
}

/// A bounded share of requests starts one step cheaper, to learn whether that would do.
fn explore(planned: usize, share: Permille, draw: u64) -> usize {
    if draw % WHOLE < u64::from(share) { planned.saturating_sub(1) } else { planned }
}
