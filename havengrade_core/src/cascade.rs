//! Cascades: which model versions a request tries, from cheap to strong.

use crate::{
    config::{Account, Cascade, Config, ModelVersion},
    evidence::EvidenceTotals,
    ids::{Permille, VersionId},
};

/// Weight of a version's prior quality, as a number of ratings.
pub const PRIOR_WEIGHT: u64 = 20;
/// Minimum share of a version's answers that reach the target for it to be tried before a stronger one.
///
/// A try that seldom passes saves little, and the caller waits for all of its answer.
const MIN_PASS_RATE: f64 = 0.35;
/// Thousandths in a whole.
const PERMILLE_SCALE: u64 = 1000;

/// Versions of a cascade that a request tries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CascadePlan {
    /// The versions, in the order in which they are tried.
    pub versions: Vec<VersionId>,
}

/// Plans which versions a request tries, in order.
///
/// If answers are checked, the plan is the path with the lowest expected cost. It leaves out versions
/// that seldom reach the target, since each of their tries costs and seldom saves a stronger one.
/// Otherwise the plan starts at the cheapest version whose quality in the class reaches the cascade's
/// target, or at the best one if none does. `draw` is a random number that selects requests for
/// exploration.
pub fn plan(
    cfg: &Config,
    account: &Account,
    class: &str,
    cascade: &Cascade,
    evidence: &EvidenceTotals,
    draw: u64,
) -> CascadePlan {
    let usable: Vec<&ModelVersion> = cascade
        .steps
        .iter()
        .filter(|version| account.allows(version) && cfg.is_active(version))
        .filter_map(|version| cfg.versions.get(version))
        .collect();
    let is_exploring = draw % PERMILLE_SCALE < u64::from(cascade.explore);
    let chosen = match (cascade.check_answers, is_exploring) {
        (true, true) => usable,
        (true, false) => cheapest_path(&usable, class, evidence, cascade.quality_target),
        (false, is_exploring) => from_first_sufficient(usable, class, cascade, evidence, is_exploring),
    };
    CascadePlan { versions: chosen.into_iter().map(|version| version.id.clone()).collect() }
}

/// Returns the versions from the cheapest sufficient one on, or from the step before it while exploring.
fn from_first_sufficient<'a>(
    usable: Vec<&'a ModelVersion>,
    class: &str,
    cascade: &Cascade,
    evidence: &EvidenceTotals,
    is_exploring: bool,
) -> Vec<&'a ModelVersion> {
    let quality = |version: &ModelVersion| -> Permille {
        evidence.get(class, &version.id).quality(version.prior_quality, PRIOR_WEIGHT)
    };
    let first_sufficient = usable.iter().position(|version| quality(version) >= cascade.quality_target);
    let best = (0..usable.len()).max_by_key(|index| quality(usable[*index])).unwrap_or_default();
    let start = first_sufficient.unwrap_or(best);
    usable.into_iter().skip(start.saturating_sub(usize::from(is_exploring))).collect()
}

/// Returns the path to the last version that has the lowest expected cost.
fn cheapest_path<'a>(
    usable: &[&'a ModelVersion],
    class: &str,
    evidence: &EvidenceTotals,
    target: Permille,
) -> Vec<&'a ModelVersion> {
    // Dynamic programming from the last version backwards: the cheapest path from each version on.
    let mut paths: Vec<(f64, Vec<&'a ModelVersion>)> = Vec::new();
    for version in usable.iter().rev() {
        let next = paths.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let pass_probability = pass_rate(version, class, evidence, target);
        if next.is_some() && pass_probability < MIN_PASS_RATE {
            continue;
        }
        let fail_probability = 1.0 - pass_probability;
        let cost = relative_cost(version) + next.map_or(0.0, |(cost, _)| fail_probability * cost);
        let mut path = vec![*version];
        path.extend(next.map(|(_, next)| next.clone()).unwrap_or_default());
        paths.push((cost, path));
    }
    // A plan must contain the last version, and each of these paths ends there.
    paths.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, path)| path).unwrap_or_default()
}

/// Returns the estimated share of the version's answers that reach the target.
///
/// The prior share is at least one half if the prior quality reaches the target.
fn pass_rate(version: &ModelVersion, class: &str, evidence: &EvidenceTotals, target: Permille) -> f64 {
    let prior = f64::from(version.prior_quality) / f64::from(version.prior_quality + target).max(1.0);
    evidence.get(class, &version.id).pass_rate(prior, PRIOR_WEIGHT as f64)
}

fn relative_cost(version: &ModelVersion) -> f64 {
    (version.input_cost_micros + version.output_cost_micros) as f64
}
