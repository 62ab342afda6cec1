//! Whole fleets on a virtual clock: bytes and processor time of each router's control side.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use cpu_time::ProcessTime;
use havengrade_dev::{
    fabric::Pipes,
    fleet::{Fleet, FleetOptions, router_host},
    scenario::CHEAP,
};
use havengrade_router::platform::LogStream;
use tokio::{runtime::Builder, time::sleep};

use super::Slopes;

/// Virtual time that is measured.
const SPAN: Duration = Duration::from_secs(20);

/// What each router of an idle fleet costs.
struct Cost {
    bytes_per_second: f64,
    core_share: f64,
    log_reads_per_second: f64,
}

pub(super) fn measure(slopes: &mut Slopes) {
    let sizes = [4_u8, 8, 16, 32, 64, 128];
    let costs: Vec<(f64, Cost)> = sizes.iter().map(|size| (f64::from(*size), idle(*size, 6))).collect();
    let points = |of: fn(&Cost) -> f64| costs.iter().map(|(size, cost)| (*size, of(cost))).collect();
    slopes.add("idle_bytes", "bytes a second read by a router", "VM", points(|cost| cost.bytes_per_second));
    slopes.add("idle_core", "share of a core a router", "VM", points(|cost| cost.core_share));
    slopes.add("idle_log_reads", "reads of the log a second, all VMs", "VM", points(|cost| cost.log_reads_per_second));
    let engines = [3_u8, 30, 60];
    let bytes = |count: &u8| (f64::from(*count), idle(1, *count).bytes_per_second);
    slopes.add("poll_bytes", "bytes a second read by a VM alone", "endpoint", engines.iter().map(bytes).collect());
    slopes.add("in_force", "milliseconds, 99th of 100", "VM", [2, 4, 8].iter().map(in_force).collect());
}

/// Time from a change's append until all of so many routers have it in force, on the wall clock.
fn in_force(routers: &u8) -> (f64, f64) {
    const CHANGES: usize = 100;
    const LOOK: Duration = Duration::from_micros(200);
    const LOOKS: usize = 10_000;
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return (0.0, 0.0) };
    let mut times: Vec<f64> = runtime.block_on(async {
        let Ok(fleet) = Fleet::start(options(Pipes::default(), *routers, 3)).await else { return Vec::new() };
        let mut times = Vec::new();
        for number in 0..CHANGES {
            let started = Instant::now();
            fleet.withdraw_at_once(&format!("change-{number}"), CHEAP);
            let target = fleet.log.records(LogStream::Config).len() as u64;
            let all_have_it = || fleet.routers.values().all(|router| router.context().shared.config_next() >= target);
            for _ in 0..LOOKS {
                if all_have_it() {
                    break;
                }
                sleep(LOOK).await;
            }
            times.push(started.elapsed().as_secs_f64() * 1e3);
        }
        times
    });
    times.sort_by(f64::total_cmp);
    (f64::from(*routers), times.get(CHANGES * 99 / 100).copied().unwrap_or_default())
}

fn options(pipes: Pipes, routers: u8, engines: u8) -> FleetOptions {
    FleetOptions {
        fabric: Arc::new(pipes),
        routers,
        engines,
        seed: 1,
        origin: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
        tune: |_| {},
    }
}

fn idle(routers: u8, engines: u8) -> Cost {
    let Ok(runtime) = Builder::new_current_thread().enable_all().start_paused(true).build() else {
        return Cost { bytes_per_second: 0.0, core_share: 0.0, log_reads_per_second: 0.0 };
    };
    runtime.block_on(async {
        let pipes = Pipes::default();
        let Ok(fleet) = Fleet::start(options(pipes.clone(), routers, engines)).await else {
            return Cost { bytes_per_second: 0.0, core_share: 0.0, log_reads_per_second: 0.0 };
        };
        sleep(SPAN / 2).await;
        let read = || (0..routers).map(|index| pipes.bytes_read(router_host(index))).sum::<u64>();
        let (bytes, reads, started) = (read(), fleet.log.calls().reads, ProcessTime::now());
        sleep(SPAN).await;
        let per_router_second = f64::from(routers) * SPAN.as_secs_f64();
        Cost {
            bytes_per_second: (read() - bytes) as f64 / per_router_second,
            core_share: started.elapsed().as_secs_f64() / per_router_second,
            log_reads_per_second: (fleet.log.calls().reads - reads) as f64 / SPAN.as_secs_f64(),
        }
    })
}
