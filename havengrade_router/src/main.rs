//! The program `havengrade-router`.

use std::{fs, path::Path, process::ExitCode, thread, time::SystemTime};

use clap::Parser as _;
use havengrade_router::{
    cli::Options,
    clock::Clock,
    logging, metrics,
    net::TcpNetwork,
    router::{Parts, Router},
    settings::{self, Settings},
};
use rand::Rng as _;
use tokio::{
    runtime::{Builder, Handle},
    signal::unix::{Signal, SignalKind, signal},
};

/// The router did not start.
const NOT_STARTED: u8 = 1;
/// The settings have faults.
const FAULTY_SETTINGS: u8 = 3;
/// The planned stop reached its limit.
const STOPPED_LATE: u8 = 4;
/// A second signal cut the planned stop short.
const STOPPED_AT_ONCE: u8 = 5;

fn main() -> ExitCode {
    let options = Options::parse();
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
    run(settings)
}

fn read(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("--settings {}: {error}; name a file that can be read", path.display()))?;
    settings::parse(&text).map_err(|error| error.to_string())
}

/// Runs traffic on threads of its own and everything else on this one.
fn run(settings: Settings) -> ExitCode {
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

async fn serve(settings: Settings, traffic: &Handle) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("signals can't be received");
        return ExitCode::from(NOT_STARTED);
    };
    let parts = Parts {
        network: std::sync::Arc::new(TcpNetwork),
        clock: Clock::starting_at(SystemTime::now()),
        seed: rand::rng().next_u64(),
    };
    let router = match Router::start(settings, parts, traffic).await {
        Ok(router) => router,
        Err(error) => {
            log::error!("{error}");
            return ExitCode::from(NOT_STARTED);
        },
    };
    let code = tokio::select! {
        biased;
        code = signalled(&router, &mut terminate, &mut interrupt) => code,
        is_whole = router.drained() => if is_whole { ExitCode::SUCCESS } else { ExitCode::from(STOPPED_LATE) },
    };
    router.stop().await;
    code
}

/// The first signal begins a planned stop; the second ends it at once.
async fn signalled(router: &Router, terminate: &mut Signal, interrupt: &mut Signal) -> ExitCode {
    let mut either = async || {
        tokio::select! {
            _ = terminate.recv() => {},
            _ = interrupt.recv() => {},
        }
    };
    either().await;
    router.context().shared.start_drain();
    either().await;
    ExitCode::from(STOPPED_AT_ONCE)
}
