//! Runs of a fleet under a schedule of faults, on a paused clock, recorded as a history.

mod causes;
mod faults;
mod traffic;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime},
};

use futures::future::join_all;
use havengrade_router::settings::Settings;
use tokio::{sync::Mutex, time::sleep};

pub use self::faults::{Fault, FaultKind, Schedule};
use crate::{
    fabric::{Host, Pipes},
    fleet::{Fleet, FleetError, FleetOptions},
    history::{Event, Recorder},
};

/// Host from which callers call.
const CALLERS: Host = 250;

/// A run in progress.
struct Run {
    schedule: Schedule,
    pipes: Pipes,
    fleet: Mutex<Fleet>,
    recorder: Recorder,
    origin: tokio::time::Instant,
    next_id: AtomicU64,
}

/// Time after the span in which requests that are still open may be asked again.
const AFTERMATH: Duration = Duration::from_secs(60);

/// Runs a schedule; the clock must be paused for it to take no time.
///
/// # Errors
///
/// [`FleetError`] where the fleet does not start.
pub async fn run(schedule: &Schedule) -> Result<Vec<Event>, FleetError> {
    let pipes = Pipes::default();
    let options = FleetOptions {
        fabric: Arc::new(pipes.clone()),
        routers: schedule.vms,
        engines: 6,
        seed: schedule.seed,
        origin: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
        tune,
    };
    let fleet = Fleet::start(options).await?;
    // Heartbeats go round once before anything goes wrong.
    sleep(Duration::from_secs(2)).await;
    let run = Arc::new(Run {
        schedule: schedule.clone(),
        pipes,
        fleet: Mutex::new(fleet),
        recorder: Recorder::default(),
        origin: tokio::time::Instant::now(),
        next_id: AtomicU64::new(0),
    });
    run.note_allowed();
    let faults = join_all(schedule.fault.iter().map(|fault| run.cause(fault.clone())));
    let requests = join_all((0..schedule.requests).map(|number| run.request(number)));
    let watch = run.watch();
    tokio::join!(faults, requests, watch);
    Ok(run.finish().await)
}

fn tune(settings: &mut Settings) {
    settings.claims.abandoned_s = 10;
    settings.drain.limit_s = 120;
}

impl Run {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn note_allowed(&self) {
        for account in ["gate", "archive", "harvest"] {
            let versions = vec!["swift@*".to_owned(), "sage@*".to_owned()];
            self.recorder.note(Event::Allowed { account: account.to_owned(), versions });
        }
    }

    /// Watches what each VM has in force, until the end of the run.
    async fn watch(&self) {
        const LOOK: Duration = Duration::from_millis(250);
        let end = Duration::from_millis(self.schedule.span_ms) + AFTERMATH;
        while self.origin.elapsed() < end {
            let fleet = self.fleet.lock().await;
            let now = fleet.clock().now();
            for (vm, router) in &fleet.routers {
                let shared = &router.context().shared;
                self.recorder.note(Event::InForce {
                    at_ms: self.now_ms(),
                    vm: vm.clone(),
                    run: shared.incarnation,
                    next: shared.config_next(),
                    open: shared.not_serving_reason(now).is_none(),
                });
            }
            drop(fleet);
            sleep(LOOK).await;
        }
    }

    /// Ends the run and adds what endpoints and the log saw.
    async fn finish(&self) -> Vec<Event> {
        self.pipes.mend();
        sleep(AFTERMATH).await;
        let fleet = self.fleet.lock().await;
        for service in fleet.services.values() {
            for run in service.runs().into_iter().filter(|run| !run.key.is_empty()) {
                self.recorder.note(Event::Ran { key: run.key, request_id: run.request_id });
            }
        }
        for (endpoint, engine) in &fleet.engines {
            for started in engine.started() {
                let at_ms = u64::try_from(started.at.duration_since(self.origin).as_millis()).unwrap_or_default();
                let request_id = started.stream.rsplit_once('.').map_or("", |(id, _)| id).to_owned();
                let (endpoint, version) = (endpoint.clone(), started.version);
                self.recorder.note(Event::Started { at_ms, endpoint, request_id, version });
            }
        }
        for bill in fleet.log.bills().iter() {
            self.recorder.note(Event::Billed { bill: bill.clone() });
        }
        self.recorder.take()
    }
}
