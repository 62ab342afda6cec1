//! Roll-outs end as is stated beside them.

use std::{fs, path::Path};

use havengrade_replay::rollout::{Leader, Trial, summarise};
use serde::Deserialize;

/// Runs of each trial.
const SEEDS: u64 = 60;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Stated {
    halted: [u64; 2],
    share_of_schedule: f64,
}

fn trial_ends_as_stated(path: &Path) -> datatest_stable::Result<()> {
    let trial: Trial = toml::from_str(&fs::read_to_string(path)?)?;
    let stated: Stated = toml::from_str(&fs::read_to_string(path.with_extension("outcome.toml"))?)?;
    let by_evidence = summarise(&trial, Leader::Evidence, SEEDS);
    let by_schedule = summarise(&trial, Leader::Schedule, SEEDS);
    if !(stated.halted[0]..=stated.halted[1]).contains(&by_evidence.halted) {
        return Err(format!("{} runs were halted", by_evidence.halted).into());
    }
    let share = by_evidence.after_evidence_median as f64 / by_schedule.after_evidence_median.max(1) as f64;
    if share > stated.share_of_schedule {
        return Err(format!("the bad version served {share:.3} of what a schedule would").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = trial_ends_as_stated, root = "../traces/rollouts", pattern = r"^[^.]+\.toml$" },
}
