//! The program `havengrade-router`.

use std::{process::ExitCode, sync::Arc, time::SystemTime};

use clap::Parser as _;
use havengrade_router::{
    cli::Options,
    clock::Clock,
    launch::{NOT_STARTED, StopSignals, launch, stopped},
    net::TcpNetwork,
    router::{Parts, Router},
    settings::Settings,
};
use rand::Rng as _;
use tokio::runtime::Handle;

fn main() -> ExitCode {
    launch(&Options::parse(), serve)
}

async fn serve(settings: Settings, traffic: &Handle) -> ExitCode {
    let Ok(mut signals) = StopSignals::new() else {
        log::error!("signals can't be received");
        return ExitCode::from(NOT_STARTED);
    };
    let parts = Parts {
        network: Arc::new(TcpNetwork),
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
    let shared = router.context().shared.clone();
    let code = tokio::select! {
        biased;
        code = signals.stop(|| { shared.start_drain(); }) => code,
        is_whole = router.drained() => stopped(is_whole),
    };
    router.stop().await;
    code
}
