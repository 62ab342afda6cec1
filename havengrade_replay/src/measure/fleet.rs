//! Whole fleets on a virtual clock: bytes and processor time of each router's control side.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use cpu_time::ProcessTime;
use havengrade_dev::{
    fabric::Pipes,
    fleet::{Fleet, FleetOptions, router_host},
};
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
    let bytes = |count: &u8| (f64::from(*count), idle(4, *count).bytes_per_second);
    slopes.add("report_bytes", "bytes a second read by a router", "endpoint", engines.iter().map(bytes).collect());
}

fn idle(routers: u8, engines: u8) -> Cost {
    let Ok(runtime) = Builder::new_current_thread().enable_all().start_paused(true).build() else {
        return Cost { bytes_per_second: 0.0, core_share: 0.0, log_reads_per_second: 0.0 };
    };
    runtime.block_on(async {
        let pipes = Pipes::default();
        let options = FleetOptions {
            fabric: Arc::new(pipes.clone()),
            routers,
            engines,
            seed: 1,
            origin: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            tune: |_| {},
        };
        let Ok(fleet) = Fleet::start(options).await else {
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
