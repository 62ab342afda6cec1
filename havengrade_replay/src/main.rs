//! The program `havengrade-replay`.

use std::{fs, path::Path, process::ExitCode};

use clap::Parser as _;
use havengrade_dev::{
    history,
    schedule::{self, Schedule},
};
use havengrade_replay::{
    capacity, check,
    cli::{Command, Format, Options},
    explore, measure,
    policy::{self, Policy},
    rollout::{Leader, Trial, summarise},
};
use serde::de::DeserializeOwned;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::runtime::Builder;

/// Counts what is allocated, so that memory is measured and not guessed.
#[global_allocator]
static GLOBAL: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let result = match Options::parse().command {
        Command::Measure { format } => Ok(print_slopes(&measure::run(), format)),
        Command::Capacity { sizes, slopes } => tables(&sizes, &slopes),
        Command::Record { schedule } => record(&schedule),
        Command::Check { history } => check_file(&history),
        Command::Rollout { trial, seeds } => try_rollout(&trial, seeds),
        Command::Generate { profile, seconds, seed } => Ok(lines(&policy::generate(profile, seconds, seed))),
        Command::Run { trace, policy, engines, seed } => replay(&trace, policy.as_deref(), engines.into(), seed),
        Command::Explore { seed, count, faults } => explore_all(seed, count, faults.into()),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        },
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        },
    }
}

fn print_slopes(slopes: &measure::Slopes, format: Format) -> String {
    match format {
        Format::Toml => toml::to_string(slopes).unwrap_or_default(),
        Format::Json => serde_json::to_string_pretty(slopes).unwrap_or_default(),
    }
}

fn tables(sizes: &[std::path::PathBuf], slopes: &Path) -> Result<String, String> {
    let slopes = read(slopes)?;
    let sizes = sizes.iter().map(|path| read(path)).collect::<Result<Vec<_>, _>>()?;
    Ok(capacity::tables(&slopes, &sizes))
}

fn record(path: &Path) -> Result<String, String> {
    let schedule: Schedule = read(path)?;
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let history = runtime.block_on(schedule::run(&schedule)).map_err(|error| error.to_string())?;
    Ok(history::to_lines(&history))
}

fn explore_all(seed: u64, count: u64, faults: usize) -> Result<String, String> {
    let failing = explore::explore(seed..seed + count, faults);
    if failing.is_empty() {
        return Ok(format!("{count} schedules of {faults} faults, no violation\n"));
    }
    let describe = |(schedule, found): &(Schedule, Vec<check::Violation>)| {
        let found: Vec<String> = found.iter().map(|it| format!("# {}: {}", it.check, it.detail)).collect();
        format!("{}\n{}", found.join("\n"), toml::to_string(schedule).unwrap_or_default())
    };
    Err(failing.iter().map(describe).collect::<Vec<_>>().join("\n"))
}

fn try_rollout(path: &Path, seeds: u64) -> Result<String, String> {
    let trial: Trial = read(path)?;
    let by_evidence = summarise(&trial, Leader::Evidence, seeds);
    let by_schedule = summarise(&trial, Leader::Schedule, seeds);
    let report = serde_json::json!({ "evidence": by_evidence, "schedule": by_schedule });
    Ok(format!("{report:#}\n"))
}

fn lines(trace: &[policy::Request]) -> String {
    trace.iter().map(|request| serde_json::to_string(request).unwrap_or_default() + "\n").collect()
}

fn replay(path: &Path, name: Option<&str>, engines: usize, seed: u64) -> Result<String, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let trace = policy::parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let chosen: Vec<Policy> = match name {
        None => policy::POLICIES.to_vec(),
        Some(name) => {
            let known: Vec<&str> = policy::POLICIES.iter().map(|policy| policy.name).collect();
            let unknown = || format!("--policy {name}: must be one of {}", known.join(", "));
            vec![Policy::named(name).ok_or_else(unknown)?]
        },
    };
    let reports: Vec<policy::Report> =
        chosen.into_iter().map(|policy| policy::replay(&trace, policy, engines, seed)).collect();
    Ok(format!("{}\n", serde_json::to_string_pretty(&reports).unwrap_or_default()))
}

fn check_file(path: &Path) -> Result<String, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let history = history::from_lines(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let violations = check::check(&history);
    if violations.is_empty() {
        return Ok(format!("{} events, {} checks, no violation\n", history.len(), check::CHECKS.len()));
    }
    let lines: Vec<String> = violations.iter().map(|it| format!("{}: {}", it.check, it.detail)).collect();
    Err(lines.join("\n"))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    toml::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}
