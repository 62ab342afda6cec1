//! Applies the events of the store's feeds: configurations, roll-out orders, emptied failure domains and endpoints.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    ids::EndpointId,
    published::{
        directory::{Directory, DirectoryEvent, ListedEndpoint, is_future_start},
        emptied_domains::{DomainEvent, EmptiedDomains},
        endpoint_subset::EndpointSubset,
        position::era,
        rollout::RolloutOrder,
        route::{Publication, RouteTable},
    },
};

use crate::published::{
    context::{EndpointsByService, PublishedContext},
    ports::OperatorEvent,
    rollouts,
    view_age::EventSource,
};

/// Applies the events of a feed to the state of the VM.
pub(super) trait FeedConsumer<T>: Send + Sync + 'static {
    /// Maximum time that a reader's long poll waits for new events.
    fn read_wait(&self, cx: &PublishedContext) -> Duration;

    /// Time between two reads of a reader.
    fn read_interval(&self, cx: &PublishedContext) -> Duration;

    /// Whether the feed's size grows with the fleet, so that the store would be overloaded if every VM read it.
    fn grows_with_fleet(&self) -> bool {
        false
    }

    /// Applies the events up to a position, which was the newest one at `at`.
    fn apply(&mut self, cx: &PublishedContext, events: Vec<T>, position: u64, at: SystemTime, source: &EventSource);
}

/// Applies operators' configurations, roll-out orders and changes to the emptied failure domains.
pub(super) struct OperatorConsumer;

impl FeedConsumer<OperatorEvent> for OperatorConsumer {
    fn read_wait(&self, cx: &PublishedContext) -> Duration {
        Duration::from_millis(cx.shared.published_settings().config_wait_ms)
    }

    fn read_interval(&self, _cx: &PublishedContext) -> Duration {
        Duration::ZERO
    }

    fn apply(
        &mut self,
        cx: &PublishedContext,
        events: Vec<OperatorEvent>,
        position: u64,
        at: SystemTime,
        source: &EventSource,
    ) {
        let is_first_read = cx.shared.store.view().operators_position.is_none();
        let mut publications = Vec::new();
        let mut is_unreadable = cx.shared.store.view().is_config_unreadable;
        for event in events {
            match event {
                OperatorEvent::Publication(publication) => {
                    publications.push(publication);
                    is_unreadable = false;
                },
                OperatorEvent::UnreadablePublication => is_unreadable = true,
                OperatorEvent::Rollout(order) => apply_order(cx, order, is_first_read),
                OperatorEvent::Domains(event) => apply_domains(cx, event),
            }
        }
        // After the other events, since the VM accepts callers as soon as it has a configuration.
        advance_view(cx, publications, is_unreadable, position, at, source);
        cx.shared.store.record_era(era(position));
        if is_first_read {
            cx.shared.notify_state_learned();
        }
    }
}

/// Activates configurations and records that everything up to a position, the newest one at `at`, has been applied.
fn advance_view(
    cx: &PublishedContext,
    publications: Vec<Publication>,
    is_config_unreadable: bool,
    position: u64,
    at: SystemTime,
    source: &EventSource,
) {
    // Locked throughout, since other VMs are told the position together with its age.
    let mut view = cx.shared.store.view();
    // Keys may be withdrawn in a configuration that can't be decoded, so the one before it is not confirmed any more.
    let confirmed_at = if is_config_unreadable { cx.shared.config_confirmed_at() } else { Some(at) };
    let confirmed_at = confirmed_at.unwrap_or(SystemTime::UNIX_EPOCH);
    for publication in publications {
        activate(cx, publication, confirmed_at, source);
    }
    cx.shared.confirm_config(confirmed_at);
    if is_config_unreadable && !view.is_config_unreadable {
        let version = cx.shared.routes.load().version();
        log::error!(version = version; "the newest configuration can't be decoded; this one ages");
    }
    view.is_config_unreadable = is_config_unreadable;
    view.operators_position = Some(position);
    view.operators_confirmed_at = view.operators_confirmed_at.max(at);
    if *source == EventSource::Store {
        view.operators_read_at = at;
    }
}

/// Adds an order to roll out a version.
fn apply_order(cx: &PublishedContext, order: RolloutOrder, is_from_before_start: bool) {
    let line = format!("{} to {}", order.service, order.version);
    if cx.shared.rollouts().add_order(order, cx.shared.clock.now()) {
        log::info!(order = line.as_str(); "roll-out ordered");
    }
    if is_from_before_start {
        cx.shared.rollouts().set_has_earlier_orders();
        rollouts::evaluate_soon(cx);
    }
}

/// Updates the set of emptied failure domains.
fn apply_domains(cx: &PublishedContext, event: DomainEvent) {
    let mut domains = EmptiedDomains::clone(&cx.shared.emptied_domains.load());
    let (emptied, refilled) = domains.apply(event, cx.shared.clock.now());
    cx.shared.emptied_domains.store(Arc::new(domains));
    for domain in emptied {
        log::info!(domain = domain.as_str(); "failure domain is emptied: its endpoints receive no requests");
    }
    for domain in refilled {
        log::info!(domain = domain.as_str(); "failure domain is taken back: its endpoints may be cold");
    }
}

/// Activates a configuration, unless the active one is at least as new.
fn activate(cx: &PublishedContext, publication: Publication, at: SystemTime, source: &EventSource) {
    let known = cx.shared.routes.load().version();
    if publication.version <= known {
        return;
    }
    let routes = publication.routes.len();
    let age = cx.shared.clock.now().duration_since(at).unwrap_or_default();
    log::info!(
        version = publication.version,
        before = known,
        routes = routes,
        age_ms = age.as_millis() as u64,
        source = source.to_string().as_str();
        "configuration in force"
    );
    metrics::gauge!("configuration_version").set(publication.version as f64);
    cx.shared.set_routes(RouteTable::new(publication), at);
}

/// Applies changes to the endpoint list.
///
/// Of a large service, only a subset is used for traffic and sent to other VMs.
#[derive(Default)]
pub(super) struct EndpointConsumer {
    directory: Directory,
    subset: EndpointSubset,
}

impl FeedConsumer<DirectoryEvent> for EndpointConsumer {
    fn read_wait(&self, _cx: &PublishedContext) -> Duration {
        // Endpoints write all the time, so a long poll would return at once; reads are spaced by an interval instead.
        Duration::ZERO
    }

    fn read_interval(&self, cx: &PublishedContext) -> Duration {
        Duration::from_millis(cx.shared.published_settings().endpoints_poll_ms)
    }

    fn grows_with_fleet(&self) -> bool {
        true
    }

    fn apply(
        &mut self,
        cx: &PublishedContext,
        events: Vec<DirectoryEvent>,
        position: u64,
        at: SystemTime,
        source: &EventSource,
    ) {
        let now = cx.shared.clock.now();
        log_future_starts(&events, now);
        let removed = self.removed_in_use(&events);
        let renewal_interval = Duration::from_millis(cx.shared.published_settings().endpoint_renewal_ms);
        let evidence = source.outage_evidence(renewal_interval);
        let (changes, has_changed) = self.directory.apply_with_evidence(events, evidence, at, now);
        let is_resized = has_changed && self.resize(cx);
        let changes = self.changes_in_use(changes, &removed, is_resized, now);
        {
            let mut view = cx.shared.store.view();
            if !changes.is_empty() || has_changed {
                let used = self.directory.listed(now).into_iter().filter(|endpoint| self.subset.includes(endpoint));
                view.listed_endpoints = used.collect();
            }
            let listed = view.listed_endpoints.len();
            view.endpoint_changes.record(&changes, position, listed);
            view.is_restoring = self.directory.is_restoring(now);
            view.relist_grace_until = now + self.directory.relist_grace(now);
            view.endpoints_confirmed_at = view.endpoints_confirmed_at.max(at);
            if *source == EventSource::Store {
                view.endpoints_read_at = at;
            }
        }
        if has_changed {
            self.publish_usable(cx, at, source);
            cx.shared.send_limits().retain_listed(self.directory.all(), now);
        }
        cx.shared.set_endpoints_known();
        let directory = &self.directory;
        cx.shared.connection_pool.prune(|id| directory.get(id).is_some(), now);
        cx.shared.rollouts().prune_sessions(cx.shared.rollout_bounds().session_idle_timeout, now);
    }
}

impl EndpointConsumer {
    /// Adjusts the size of the subset to the fleet; returns whether it changed.
    fn resize(&mut self, cx: &PublishedContext) -> bool {
        let next = self.subset.resized(self.directory.all(), cx.shared.peers().len() + 1);
        let is_resized = next != self.subset;
        if is_resized {
            log_subset(&self.directory, &next);
        }
        self.subset = next;
        is_resized
    }

    /// The endpoints of the subset that these events remove.
    fn removed_in_use(&self, events: &[DirectoryEvent]) -> HashSet<EndpointId> {
        let removed = events.iter().filter_map(|event| match event {
            DirectoryEvent::Gone(id) => self.directory.get(id),
            DirectoryEvent::Seen(_) | DirectoryEvent::All(_) | DirectoryEvent::Restored(_) => None,
        });
        removed.filter(|endpoint| self.subset.includes(endpoint)).map(|endpoint| endpoint.id.clone()).collect()
    }

    /// The changes that other VMs receive: those within the subset, or the whole subset after it was resized.
    fn changes_in_use(
        &self,
        changes: Vec<DirectoryEvent>,
        removed: &HashSet<EndpointId>,
        is_resized: bool,
        now: SystemTime,
    ) -> Vec<DirectoryEvent> {
        if self.subset.is_all() && !is_resized {
            return changes;
        }
        let is_list = |event: &DirectoryEvent| matches!(event, DirectoryEvent::All(_) | DirectoryEvent::Restored(_));
        if is_resized || changes.iter().any(is_list) {
            let used = self.directory.listed(now).into_iter().filter(|endpoint| self.subset.includes(endpoint));
            return vec![DirectoryEvent::All(used.collect())];
        }
        let is_used = |event: &DirectoryEvent| match event {
            DirectoryEvent::Seen(endpoint) => self.subset.includes(endpoint),
            DirectoryEvent::Gone(id) => removed.contains(id),
            DirectoryEvent::All(_) | DirectoryEvent::Restored(_) => true,
        };
        changes.into_iter().filter(is_used).collect()
    }

    /// Publishes the usable endpoints of the subset to traffic.
    fn publish_usable(&self, cx: &PublishedContext, at: SystemTime, source: &EventSource) {
        let now = cx.shared.clock.now();
        cx.shared.send_limits().cold.set(self.directory.cold(now));
        let used = || self.directory.all().filter(|endpoint| self.subset.includes(endpoint));
        cx.shared.endpoint_states.update_endpoints(used().map(|endpoint| &endpoint.id));
        cx.shared.endpoint_speeds().retain_listed(used(), now);
        let mut usable: EndpointsByService = HashMap::new();
        for endpoint in used().filter(|endpoint| !endpoint.is_leaving) {
            if let Some(slot) = cx.shared.endpoint_states.slot(&endpoint.id) {
                slot.record_activity(now);
            }
            usable.entry(endpoint.service.clone()).or_default().push(endpoint.clone());
        }
        let before = cx.shared.usable_endpoints.swap(Arc::new(usable));
        let age = now.duration_since(at).unwrap_or_default();
        log_changes(&before, &cx.shared.usable_endpoints.load(), age, source);
    }
}

/// Logs the entries that the directory leaves out, since their endpoints claim to start in the future.
fn log_future_starts(events: &[DirectoryEvent], now: SystemTime) {
    let seen = events.iter().flat_map(|event| match event {
        DirectoryEvent::Seen(endpoint) => std::slice::from_ref(endpoint),
        DirectoryEvent::All(endpoints) | DirectoryEvent::Restored(endpoints) => endpoints.as_slice(),
        DirectoryEvent::Gone(_) => &[],
    });
    for endpoint in seen.filter(|endpoint| is_future_start(endpoint.start, now)) {
        let start_unix_ms = endpoint.start.unwrap_or_default();
        log::error!(
            key = endpoint.id.as_str(), field = "start", start_unix_ms;
            "malformed entry left out: the endpoint claims to start in the future"
        );
    }
}

/// Logs the size of the subset if it is smaller than the list.
///
/// A VM that received only a subset from another VM uses all of it.
fn log_subset(directory: &Directory, subset: &EndpointSubset) {
    let used = directory.all().filter(|endpoint| subset.includes(endpoint)).count();
    if used < directory.len() {
        log::info!(listed = directory.len(), used = used; "subset of the endpoint list resized");
    }
}

/// Maximum number of endpoints that one log line names: for a large fleet, the line would be as long as the list.
const MAX_LOGGED_ENDPOINTS: usize = 64;

fn log_changes(before: &EndpointsByService, after: &EndpointsByService, age: Duration, source: &EventSource) {
    let (gained, gained_more) = endpoints_missing_in(before, after);
    let (lost, lost_more) = endpoints_missing_in(after, before);
    log::info!(
        gained = gained.as_str(),
        lost = lost.as_str(),
        gained_more = gained_more,
        lost_more = lost_more,
        age_ms = age.as_millis() as u64,
        source = source.to_string().as_str();
        "endpoints changed"
    );
}

/// The endpoints of `other` that are missing in `known`: the names of the first ones, and the number of the rest.
fn endpoints_missing_in(known: &EndpointsByService, other: &EndpointsByService) -> (String, usize) {
    let known: HashSet<&str> = known.values().flatten().map(|endpoint| endpoint.id.as_str()).collect();
    let missing: Vec<&ListedEndpoint> =
        other.values().flatten().filter(|endpoint| !known.contains(endpoint.id.as_str())).collect();
    let named = missing.iter().take(MAX_LOGGED_ENDPOINTS);
    let names: Vec<String> = named.map(|endpoint| format!("{}@{}", endpoint.id, endpoint.version)).collect();
    (names.join(","), missing.len() - names.len())
}
