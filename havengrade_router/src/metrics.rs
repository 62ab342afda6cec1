//! Recorder of the process's metrics, rendered for a metrics collector.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process; later calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is already installed");
        }
        handle
    });
}

/// Renders all metrics in the Prometheus text format; empty if no recorder is installed.
pub fn render() -> String {
    HANDLE.get().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}
