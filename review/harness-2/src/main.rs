//! Cases of the second review, each a subcommand that the `run.sh` of its folder starts.

mod failing_endpoint;
mod fetched_figures;
mod http;
mod lost_machines;
mod names;
mod silent_streams;
mod site;
mod slow_callers;
mod store;
mod template;
mod vm;

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

/// Runs a case; its processes end with it, also if it is told to stop.
#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let mut stop = signal(SignalKind::terminate()).expect("a signal handler");
    tokio::select! {
        code = run(&case, &record) => code,
        _ = stop.recv() => ExitCode::from(2),
    }
}

async fn run(case: &str, record: &str) -> ExitCode {
    match case {
        "fetched-figures" => fetched_figures::run(record).await,
        "failing-endpoint" => failing_endpoint::run(record).await,
        "lost-machines" => lost_machines::run(record).await,
        "silent-streams" => silent_streams::run(record).await,
        "slow-callers" => slow_callers::run(record).await,
        _ => ExitCode::from(2),
    }
}
