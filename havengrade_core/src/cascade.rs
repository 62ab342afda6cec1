//! Cascades: where to start on the way from cheap to strong versions, and when to go on.

use crate::{
    config::{Account, Cascade, Config, ModelVersion},
    evidence::EvidenceTotals,
    ids::{Permille, VersionId},
};

/// Ratings that a version's prior quality counts for.
pub const PRIOR_WEIGHT: u64 = 20;
/// Share of its answers that must reach the target for a version to be tried before a stronger one.
///
/// A try that seldom passes saves little and makes the caller wait for all of it; see
/// docs/design/cascades.md for how the value was found.
const LEAST_PASSES: f64 = 0.35;
/// Thousandths in a whole.
const WHOLE: u64 = 1000;

/// The versions of a cascade that a request may use, from where it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CascadePlan {
    /// Versions to try, in order.
    pub versions: Vec<VersionId>,
}

/// Plans the versions that a request tries, in order.
///
/// Where answers are checked, it takes the versions with the lowest expected cost: one that seldom
/// passes is left out, since each of its tries costs and seldom saves. Otherwise it starts at the
/// cheapest version whose quality in the class reaches the cascade's target, or else at the best. `draw`
/// is a random number that decides about exploration.
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
    let explores = draw % WHOLE < u64::from(cascade.explore);
    let chosen = match (cascade.check_answers, explores) {
        (true, true) => usable,
        (true, false) => cheapest_way(&usable, class, evidence, cascade.quality_target),
        (false, explores) => from_start(usable, class, cascade, evidence, explores),
    };
    CascadePlan { versions: chosen.into_iter().map(|version| version.id.clone()).collect() }
}

/// The versions from the cheapest that is good enough on; while exploring, from one step before it.
fn from_start<'a>(
    usable: Vec<&'a ModelVersion>,
    class: &str,
    cascade: &Cascade,
    evidence: &EvidenceTotals,
    explores: bool,
) -> Vec<&'a ModelVersion> {
    let quality = |version: &ModelVersion| -> Permille {
        evidence.get(class, &version.id).quality(version.prior_quality, PRIOR_WEIGHT)
    };
    let good_enough = usable.iter().position(|version| quality(version) >= cascade.quality_target);
    let best = (0..usable.len()).max_by_key(|index| quality(usable[*index])).unwrap_or_default();
    let start = good_enough.unwrap_or(best);
    usable.into_iter().skip(start.saturating_sub(usize::from(explores))).collect()
}

/// The way to the last version with the lowest expected cost.
fn cheapest_way<'a>(
    usable: &[&'a ModelVersion],
    class: &str,
    evidence: &EvidenceTotals,
    target: Permille,
) -> Vec<&'a ModelVersion> {
    // Worked out from the last version back: what a way costs from each version on, and where it goes next.
    let mut ways: Vec<(f64, Vec<&'a ModelVersion>)> = Vec::new();
    for version in usable.iter().rev() {
        let rest = ways.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let passes = pass_rate(version, class, evidence, target);
        if rest.is_some() && passes < LEAST_PASSES {
            continue;
        }
        let fails = 1.0 - passes;
        let cost = relative_cost(version) + rest.map_or(0.0, |(cost, _)| fails * cost);
        let mut way = vec![*version];
        way.extend(rest.map(|(_, rest)| rest.clone()).unwrap_or_default());
        ways.push((cost, way));
    }
    // The last version must be on the way, which each way here has.
    ways.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, way)| way).unwrap_or_default()
}

/// How often the version's answers reach the target; a prior above it counts for half of them and more.
fn pass_rate(version: &ModelVersion, class: &str, evidence: &EvidenceTotals, target: Permille) -> f64 {
    let prior = f64::from(version.prior_quality) / f64::from(version.prior_quality + target).max(1.0);
    evidence.get(class, &version.id).pass_rate(prior, PRIOR_WEIGHT as f64)
}

fn relative_cost(version: &ModelVersion) -> f64 {
    (version.input_cost_micros + version.output_cost_micros) as f64
}
