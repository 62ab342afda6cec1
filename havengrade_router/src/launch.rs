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
    settings::{Settings, SettingsFile, changed_keys},
};

/// The router did not start.
pub const EXIT_NOT_STARTED: u8 = 1;
/// The settings have faults.
pub const EXIT_FAULTY_SETTINGS: u8 = 3;
/// The planned stop reached its limit.
pub const EXIT_DRAIN_TIMEOUT: u8 = 4;
/// A second signal cut the planned stop short.
pub const EXIT_FORCED: u8 = 5;

/// Time between two looks at whether the settings file has changed without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The settings that a program starts with, and the file that they came from.
pub struct LaunchSettings {
    /// The settings.
    pub settings: Settings,
    /// Their file.
    pub file: SettingsFile,
}

/// Does what the options say; `serve` runs on this thread, with another runtime for traffic at its side.
pub fn launch(options: &Options, serve: impl AsyncFnOnce(LaunchSettings, &Handle) -> ExitCode) -> ExitCode {
    if options.print_defaults {
        print!("{}", Settings::default_toml());
        return ExitCode::SUCCESS;
    }
    let (file, settings) = match SettingsFile::open(options.settings.as_deref().unwrap_or(Path::new(""))) {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_FAULTY_SETTINGS);
        },
    };
    if options.check {
        println!("settings: no faults");
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.logging, &settings.vm.id);
    metrics::install();
    run(LaunchSettings { settings, file }, serve)
}

/// Runs traffic on threads of its own and everything else on this one.
fn run(start: LaunchSettings, serve: impl AsyncFnOnce(LaunchSettings, &Handle) -> ExitCode) -> ExitCode {
    let mut traffic = Builder::new_multi_thread();
    traffic.enable_all().thread_name("traffic");
    if start.settings.vm.traffic_threads > 0 {
        traffic.worker_threads(start.settings.vm.traffic_threads);
    }
    let control = Builder::new_current_thread().enable_all().build();
    let (Ok(traffic), Ok(control)) = (traffic.build(), control) else {
        log::error!("the threads could not be started");
        return ExitCode::from(EXIT_NOT_STARTED);
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
    pub async fn wait_for_forced_stop(&mut self, begin: impl FnOnce()) -> ExitCode {
        self.next().await;
        begin();
        self.next().await;
        ExitCode::from(EXIT_FORCED)
    }
}

/// Exit code of a planned stop by whether everything ended in time.
pub fn drain_exit_code(is_complete: bool) -> ExitCode {
    if is_complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DRAIN_TIMEOUT) }
}

/// Reads the settings file again at each signal to reload, and now and then, since it may change without one.
///
/// `take` is given settings without faults; faulty ones are logged, and what is in force stays.
pub async fn watch_settings(start: &mut LaunchSettings, mut hangup: Signal, take: impl Fn(&Settings)) -> Infallible {
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(FILE_CHECK_INTERVAL) => false,
        };
        match start.file.reload() {
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
    for (key, is_live) in changed_keys(old, new) {
        let effect = if is_live { "now" } else { "with the next start" };
        log::info!(key = key.as_str(); "setting changed, it takes effect {effect}");
    }
}
