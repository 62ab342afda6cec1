//! What the programs of the router share: settings, threads, signals and exit codes.

use std::{convert::Infallible, io, path::Path, process::ExitCode, thread, time::Duration};

use tokio::{
    runtime::{Builder, Handle},
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

use crate::{
    cli::Options,
    logging, metrics,
    settings::{Settings, SettingsFile, differences},
};

/// The router did not start.
pub const NOT_STARTED: u8 = 1;
/// The settings have faults.
pub const FAULTY_SETTINGS: u8 = 3;
/// The planned stop reached its limit.
pub const STOPPED_LATE: u8 = 4;
/// A second signal cut the planned stop short.
pub const STOPPED_AT_ONCE: u8 = 5;

/// Time between two looks at whether the settings file has changed without a signal.
const FILE_LOOK: Duration = Duration::from_secs(5);

/// The settings that a program starts with, and the file that they came from.
pub struct Start {
    /// The settings.
    pub settings: Settings,
    /// Their file.
    pub file: SettingsFile,
}

/// Does what the options say; `serve` runs on this thread, with another runtime for traffic at its side.
pub fn launch(options: &Options, serve: impl AsyncFnOnce(Start, &Handle) -> ExitCode) -> ExitCode {
    if options.print_defaults {
        print!("{}", Settings::print_defaults());
        return ExitCode::SUCCESS;
    }
    let (file, settings) = match SettingsFile::open(options.settings.as_deref().unwrap_or(Path::new(""))) {
        Ok(opened) => opened,
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
    run(Start { settings, file }, serve)
}

/// Runs traffic on threads of its own and everything else on this one.
fn run(start: Start, serve: impl AsyncFnOnce(Start, &Handle) -> ExitCode) -> ExitCode {
    let mut traffic = Builder::new_multi_thread();
    traffic.enable_all().thread_name("traffic");
    if start.settings.vm.traffic_threads > 0 {
        traffic.worker_threads(start.settings.vm.traffic_threads);
    }
    let control = Builder::new_current_thread().enable_all().build();
    let (Ok(traffic), Ok(control)) = (traffic.build(), control) else {
        log::error!("the threads could not be started");
        return ExitCode::from(NOT_STARTED);
    };
    let code = control.block_on(serve(start, traffic.handle()));
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

/// Reads the settings file again at each signal to reload, and now and then, since it may change without one.
///
/// `take` is given settings without faults; faulty ones are logged, and what is in force stays.
pub async fn follow_settings(start: &mut Start, mut hangup: Signal, take: impl Fn(&Settings)) -> Infallible {
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(FILE_LOOK) => false,
        };
        match start.file.changed() {
            Ok(Some(settings)) => {
                log_differences(&start.settings, &settings);
                logging::set_level(&settings.logging);
                take(&settings);
                start.settings = settings;
            },
            Ok(None) if is_signal => log::info!("signal to reload: the settings are the same"),
            Ok(None) => {},
            Err(error) => log::error!("the settings in force stay: {error}"),
        }
    }
}

fn log_differences(old: &Settings, new: &Settings) {
    for (key, is_live) in differences(old, new) {
        let effect = if is_live { "now" } else { "with the next start" };
        log::info!(key = key.as_str(); "setting changed, it takes effect {effect}");
    }
}
