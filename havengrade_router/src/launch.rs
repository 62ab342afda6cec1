//! What the programs of the router share: settings, threads, signals and exit codes.

use std::{fs, io, path::Path, process::ExitCode, thread};

use tokio::{
    runtime::{Builder, Handle},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    cli::Options,
    logging, metrics,
    settings::{self, Settings},
};

/// The router did not start.
pub const NOT_STARTED: u8 = 1;
/// The settings have faults.
pub const FAULTY_SETTINGS: u8 = 3;
/// The planned stop reached its limit.
pub const STOPPED_LATE: u8 = 4;
/// A second signal cut the planned stop short.
pub const STOPPED_AT_ONCE: u8 = 5;

/// Does what the options say; `serve` runs on this thread, with another runtime for traffic at its side.
pub fn launch(options: &Options, serve: impl AsyncFnOnce(Settings, &Handle) -> ExitCode) -> ExitCode {
    if options.print_defaults {
        print!("{}", Settings::print_defaults());
        return ExitCode::SUCCESS;
    }
    let settings = match read(options.settings.as_deref().unwrap_or(Path::new(""))) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(FAULTY_SETTINGS);
        },
    };
    if options.check {
        println!("settings: no faults");
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.logging, &settings.vm.id);
    metrics::install();
    run(settings, serve)
}

fn read(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("--settings {}: {error}; name a file that can be read", path.display()))?;
    settings::parse(&text).map_err(|error| error.to_string())
}

/// Runs traffic on threads of its own and everything else on this one.
fn run(settings: Settings, serve: impl AsyncFnOnce(Settings, &Handle) -> ExitCode) -> ExitCode {
    let mut traffic = Builder::new_multi_thread();
    traffic.enable_all().thread_name("traffic");
    if settings.vm.traffic_threads > 0 {
        traffic.worker_threads(settings.vm.traffic_threads);
    }
    let control = Builder::new_current_thread().enable_all().build();
    let (Ok(traffic), Ok(control)) = (traffic.build(), control) else {
        log::error!("the threads could not be started");
        return ExitCode::from(NOT_STARTED);
    };
    let code = control.block_on(serve(settings, traffic.handle()));
    // Traffic may still write to callers who are slow; it is not waited for.
    thread::spawn(move || drop(traffic));
    code
}

/// The signals by which a router is told to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Begins to receive them.
    ///
    /// # Errors
    ///
    /// Those of the system, where signals can't be received.
    pub fn new() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next one.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {},
            _ = self.interrupt.recv() => {},
        }
    }

    /// The first signal begins a planned stop; the second ends it at once.
    pub async fn stop(&mut self, begin: impl FnOnce()) -> ExitCode {
        self.next().await;
        begin();
        self.next().await;
        ExitCode::from(STOPPED_AT_ONCE)
    }
}

/// Exit code of a planned stop by whether everything ended in time.
pub fn stopped(is_whole: bool) -> ExitCode {
    if is_whole { ExitCode::SUCCESS } else { ExitCode::from(STOPPED_LATE) }
}
