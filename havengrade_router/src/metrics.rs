//! Recorder of the process's metrics, rendered for a metrics collector.

use std::{convert::Infallible, sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time::sleep;

/// Upper bounds of the buckets of times, in seconds. A summary would take some hundred KB for each route.
const TIME_BUCKETS_S: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];
/// Interval at which recorded times are summed up.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process; later calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&TIME_BUCKETS_S);
        let recorder = builder.unwrap_or_else(|_| unreachable!("there are buckets")).build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is already installed");
        }
        handle
    });
}

/// Sums up the times that were recorded, over and over: until then, each of them is kept.
pub async fn run_upkeep() -> Infallible {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        if let Some(handle) = HANDLE.get() {
            handle.run_upkeep();
        }
    }
}

/// Renders all metrics in the Prometheus text format; empty if no recorder is installed.
pub fn render() -> String {
    HANDLE.get().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}
