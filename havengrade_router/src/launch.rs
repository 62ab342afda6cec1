//! Launch of the router programs: settings, runtimes, signals and exit codes.

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

/// Exit code of a router that failed to start.
pub const EXIT_NOT_STARTED: u8 = 1;
/// Exit code for invalid settings.
pub const EXIT_FAULTY_SETTINGS: u8 = 3;
/// Exit code of a planned stop that reached its time limit.
pub const EXIT_DRAIN_TIMEOUT: u8 = 4;
/// Exit code of a planned stop that an interrupt cut short.
pub const EXIT_FORCED: u8 = 5;

/// Interval at which the settings file is checked for changes without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The initial settings of a program with their file.
pub struct LaunchSettings {
    /// Settings read from the file.
    pub settings: Settings,
    /// Settings file.
    pub file: SettingsFile,
}

/// Runs a program with its command line options; `serve` runs on this thread and gets a second runtime for traffic.
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
    log_panics();
    run(LaunchSettings { settings, file }, serve)
}

/// Starts the traffic runtime on its own threads and runs everything else on this thread.
/// Logs and counts each panic, with its place in the code.
fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        ::metrics::counter!("panics").increment(1);
        log::error!("{panic}");
    }));
}

fn run(start: LaunchSettings, serve: impl AsyncFnOnce(LaunchSettings, &Handle) -> ExitCode) -> ExitCode {
    let mut traffic = Builder::new_multi_thread();
    traffic.enable_all().thread_name("traffic");
    if start.settings.vm.traffic_threads > 0 {
        traffic.worker_threads(start.settings.vm.traffic_threads);
    }
    let control = Builder::new_current_thread().enable_all().build();
    let (Ok(traffic), Ok(control)) = (traffic.build(), control) else {
        log::error!("failed to create the async runtimes");
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    control.spawn(metrics::run_upkeep());
    let code = control.block_on(serve(start, traffic.handle()));
    // Traffic may still be writing to slow callers, so the shutdown of its runtime does not block the exit.
    thread::spawn(move || drop(traffic));
    code
}

/// Receiver of the signals that stop a router.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// The error of the operating system if a handler can't be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {},
            _ = self.interrupt.recv() => {},
        }
    }

    /// Calls `begin` at the first signal, to begin a planned stop, and returns at an interrupt during the stop, which ends
    /// it immediately. Supervisors may send the terminate signal again, so it does not shorten a stop.
    pub async fn wait_for_forced_stop(&mut self, begin: impl FnOnce()) -> ExitCode {
        self.next().await;
        begin();
        self.interrupt.recv().await;
        ExitCode::from(EXIT_FORCED)
    }
}

/// Returns the exit code of a planned stop by whether all requests ended in time.
pub fn drain_exit_code(is_complete: bool) -> ExitCode {
    if is_complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DRAIN_TIMEOUT) }
}

/// Reloads the settings file at each reload signal and when a periodic check finds it changed.
///
/// `apply` is called with valid settings only. Invalid ones are logged, and the current settings stay active.
pub async fn watch_settings(start: &mut LaunchSettings, mut hangup: Signal, apply: impl Fn(&Settings)) -> Infallible {
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(FILE_CHECK_INTERVAL) => false,
        };
        match start.file.reload() {
            Ok(Some(settings)) => {
                log_changes(&start.settings, &settings);
                logging::set_level(&settings.logging);
                apply(&settings);
                start.settings = settings;
            },
            Ok(None) if is_signal => log::info!("received a reload signal; settings are unchanged"),
            Ok(None) => {},
            Err(error) => log::error!("failed to reload the settings; keeping the current ones: {error}"),
        }
    }
}

fn log_changes(old: &Settings, new: &Settings) {
    for (key, is_live) in changed_keys(old, new) {
        let effect = if is_live { "now" } else { "at the next start" };
        log::info!(key = key.as_str(); "setting changed; takes effect {effect}");
    }
}
