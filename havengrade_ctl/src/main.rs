//! Entry point of `havengradectl`.

use std::process::ExitCode;

use clap::Parser as _;
use havengrade_ctl::{cli::Options, command::run};

fn main() -> ExitCode {
    match run(&Options::parse()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        },
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        },
    }
}
