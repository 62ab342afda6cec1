//! The process's metrics, rendered for whoever collects them.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process; later calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another recorder of metrics was installed before ours");
        }
        handle
    });
}

/// All metrics in the text format of Prometheus; empty where none are recorded.
pub fn render() -> String {
    HANDLE.get().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}
