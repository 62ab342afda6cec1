//! Runs one case of the review against routers that run as processes of their own.
//!
//! Exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disturbance is left out.

mod cases;
mod client;
mod endpoint;
mod record;
#[allow(dead_code, clippy::unwrap_used)]
#[path = "../../../platform/tests/support/store.rs"]
mod store;
mod wire;
mod world;

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    time::timeout,
};

use crate::record::Record;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);
/// Exit code of a case that couldn't run.
const NOT_RUN: u8 = 2;

/// Why a case couldn't run.
type Fault = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, directory] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE DIRECTORY");
        return ExitCode::from(NOT_RUN);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(directory).join("record.txt"));
    let (Ok(record), Ok(runtime)) = (record, Builder::new_multi_thread().worker_threads(4).enable_all().build()) else {
        eprintln!("the record can't be written, or no runtime can be built");
        return ExitCode::from(NOT_RUN);
    };
    record.note(&format!("case {case}, disturbance {}", if is_troubled { "on" } else { "off" }));
    match runtime.block_on(run(case, is_troubled, &record)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            record.note(&format!("the case couldn't run: {fault}"));
            ExitCode::from(NOT_RUN)
        },
    }
}

/// Runs a case until its time is over or a signal ends it; in any case the routers end with it.
async fn run(case: &str, is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        ended = timeout(TIME_LIMIT, cases::run(case, is_troubled, record)) => ended?,
        _ = terminate.recv() => Err("it was terminated".into()),
        _ = interrupt.recv() => Err("it was interrupted".into()),
    }
}
