//! Histories that break one promise each, and schedules that once broke one.

// The harness hands over what it read.
#![allow(clippy::needless_pass_by_value)]

use std::path::Path;

use havengrade_dev::{history::from_lines, schedule::Schedule};
use havengrade_replay::{
    check::{CHECKS, check},
    explore::violations,
};

/// The check that a history's file is named after, and it alone, finds a violation.
fn history_is_judged(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
    let expected = name.split('.').next().unwrap_or_default();
    let mut found: Vec<&str> = check(&from_lines(&text)?).iter().map(|violation| violation.check).collect();
    found.dedup();
    let wanted: Vec<&str> = if expected == "none" { Vec::new() } else { vec![expected] };
    if expected != "none" && !CHECKS.iter().any(|(check, _)| *check == expected) {
        return Err(format!("{expected} is no check").into());
    }
    if found == wanted { Ok(()) } else { Err(format!("found {found:?}, wanted {wanted:?}").into()) }
}

/// A schedule that once broke a promise no longer does.
fn schedule_holds(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let schedule: Schedule = toml::from_str(&text)?;
    let found = violations(&schedule);
    if found.is_empty() { Ok(()) } else { Err(format!("{found:?}").into()) }
}

datatest_stable::harness! {
    { test = history_is_judged, root = "tests/histories", pattern = r".*\.jsonl$" },
    { test = schedule_holds, root = "tests/schedules", pattern = r".*\.toml$" },
}
