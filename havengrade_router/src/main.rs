//! The program `havengrade-router`.

use std::{process::ExitCode, sync::Arc, time::SystemTime};

use clap::Parser as _;
use havengrade_router::{
    cli::Options,
    clock::Clock,
    launch::{NOT_STARTED, Start, StopSignals, follow_settings, launch, stopped},
    net::TcpNetwork,
    router::{Parts, Router},
};
use rand::Rng as _;
use tokio::{
    runtime::Handle,
    signal::unix::{SignalKind, signal},
};

fn main() -> ExitCode {
    launch(&Options::parse(), serve)
}

async fn serve(mut start: Start, traffic: &Handle) -> ExitCode {
    let (Ok(mut signals), Ok(hangup)) = (StopSignals::new(), signal(SignalKind::hangup())) else {
        log::error!("signals can't be received");
        return ExitCode::from(NOT_STARTED);
    };
    let parts = Parts {
        network: Arc::new(TcpNetwork),
        clock: Clock::starting_at(SystemTime::now()),
        seed: rand::rng().next_u64(),
    };
    let router = match Router::start(start.settings.clone(), parts, traffic).await {
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
        never = follow_settings(&mut start, hangup, |settings| router.reload(settings)) => match never {},
        is_whole = router.drained() => stopped(is_whole),
    };
    router.stop().await;
    code
}
