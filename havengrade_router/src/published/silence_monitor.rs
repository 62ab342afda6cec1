//! What is due from the endpoints of each service, and when they were last heard.

use std::{collections::HashMap, sync::Mutex, time::SystemTime};

use havengrade_core::{
    ids::{EndpointId, ServiceId},
    published::{
        common_silence::{ServiceSilence, Silence},
        directory::ListedEndpoint,
    },
};

use crate::{published::context::PublishedContext, shared::lock};

/// The silences of all services from which anything is due.
#[derive(Debug, Default)]
pub struct SilenceMonitor {
    by_service: Mutex<HashMap<ServiceId, ServiceSilence>>,
}

impl SilenceMonitor {
    /// Records events or an answer of an endpoint of a service.
    pub(super) fn record_heard(&self, service: &str, now: SystemTime) {
        if let Some(silence) = lock(&self.by_service).get_mut(service) {
            silence.record_heard(now);
        }
    }

    /// Whether a silent endpoint may be replaced; see [`ServiceSilence::may_replace`].
    pub(super) fn may_replace(&self, service: &str, silence: Silence<'_>, now: SystemTime) -> bool {
        lock(&self.by_service).get(service).is_none_or(|known| known.may_replace(silence, now))
    }

    fn begin_wait(&self, service: &str, endpoint: &str, now: SystemTime) {
        lock(&self.by_service).entry(service.to_owned()).or_default().begin_wait(endpoint, now);
    }

    fn end_wait(&self, service: &str, endpoint: &str) {
        let mut by_service = lock(&self.by_service);
        if let Some(silence) = by_service.get_mut(service) {
            silence.end_wait(endpoint);
            if !silence.is_awaiting() {
                by_service.remove(service);
            }
        }
    }
}

/// Events or an answer that are due from an endpoint until this is dropped.
pub(super) struct DueAnswer {
    cx: PublishedContext,
    service: ServiceId,
    endpoint: EndpointId,
}

impl DueAnswer {
    /// Begins the wait for an endpoint.
    pub(super) fn new(cx: &PublishedContext, endpoint: &ListedEndpoint) -> Self {
        cx.shared.silences.begin_wait(&endpoint.service, &endpoint.id, cx.shared.clock.now());
        Self { cx: cx.clone(), service: endpoint.service.clone(), endpoint: endpoint.id.clone() }
    }
}

impl Drop for DueAnswer {
    fn drop(&mut self) {
        self.cx.shared.silences.end_wait(&self.service, &self.endpoint);
    }
}
