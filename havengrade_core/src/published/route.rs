//! The published configuration, and the lookup of a request's route in it.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AccountId, ModelId, ServiceId},
    published::bounded_time,
    secret::uniform_hash,
};

/// Name of a published route.
pub type RouteId = String;

/// Whether and how a request of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run more than once.
    Allowed,
    /// The request runs at most once each time its caller sends it.
    Never,
}

/// The shape of a route's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerShape {
    /// One body, forwarded once it is complete.
    Whole,
    /// A stream of numbered events, forwarded as they arrive.
    Events {
        /// Whether a broken stream may continue at another endpoint.
        is_resumable: bool,
    },
}

/// One of the services that a route's requests are divided among.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceId,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route that is published to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRoute {
    /// Name of the route.
    pub name: RouteId,
    /// Host of the requests, without a port.
    pub host: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Shape of the answers.
    pub shape: AnswerShape,
    /// Longest time that a request may take.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub time_limit: Duration,
    /// Time in which an answer, or the first event of a stream, should arrive.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub target: Duration,
    /// Longest pause between two events that counts as in time.
    #[serde(default, deserialize_with = "bounded_time::deserialize_optional")]
    pub pause_target: Option<Duration>,
    /// Priority; 0 is served before 1.
    pub priority: u8,
    /// Services that serve the requests, divided by their weights.
    pub targets: Vec<RouteTarget>,
    /// Highest number of endpoints that one request is sent to.
    pub max_tries: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Models that the router chooses among, smallest first; empty if callers name the model.
    pub models: Vec<ModelId>,
}

impl PublishedRoute {
    /// The service for a request; every VM chooses the same one for the same request.
    pub fn service_for(&self, request: &str) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = uniform_hash(&[&self.name, request]) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// A model that the endpoints of a service run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelPrice {
    /// Name of the model.
    pub name: ModelId,
    /// Cost of a thousand generated tokens, in the value of an average answer.
    pub cost: f64,
}

/// Properties of a service as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedService {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that one of its endpoints accepts from all VMs together.
    pub max_connections: u32,
    /// Models and their costs; empty for a plain service.
    pub models: Vec<ModelPrice>,
    /// Requests per second that a cold endpoint accepts from all VMs together; 0 if it has no special limit.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Tokens that fit into the memory of one of its endpoints; 0 if it is not known.
    #[serde(default)]
    pub memory_tokens: u32,
}

impl PublishedService {
    /// Connections to one endpoint that each VM of a fleet with this number of VMs may have; none if there is no limit.
    ///
    /// ```
    /// use havengrade_core::published::route::PublishedService;
    ///
    /// let service = PublishedService { max_connections: 100, ..PublishedService::default() };
    /// assert_eq!(service.connection_share(9), Some(11));
    /// assert_eq!(service.connection_share(390), Some(1));
    /// assert_eq!(PublishedService::default().connection_share(9), None);
    /// ```
    pub fn connection_share(&self, vms: usize) -> Option<u32> {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX).max(1);
        (self.max_connections > 0).then(|| (self.max_connections / vms).max(1))
    }

    /// The work that a token of a model takes, relative to the most expensive model.
    ///
    /// The work is estimated by the model's cost, since nothing else is known of it.
    ///
    /// ```
    /// use havengrade_core::published::route::{ModelPrice, PublishedService};
    ///
    /// let models = vec![
    ///     ModelPrice { name: "small".into(), cost: 0.1 },
    ///     ModelPrice { name: "large".into(), cost: 0.4 },
    /// ];
    /// let service = PublishedService { models, ..PublishedService::default() };
    /// assert_eq!(service.relative_work(Some("small")), 0.25);
    /// assert_eq!(service.relative_work(None), 1.0);
    /// ```
    pub fn relative_work(&self, model: Option<&str>) -> f64 {
        let highest_cost = self.models.iter().map(|model| model.cost).fold(0.0, f64::max);
        let named = self.models.iter().find(|known| Some(known.name.as_str()) == model);
        named.filter(|_| highest_cost > 0.0).map_or(1.0, |known| known.cost / highest_cost)
    }
}

/// A client account and the keys that identify its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedAccount {
    /// Name of the account.
    pub name: AccountId,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Priority of all its requests, which overrides that of the routes.
    pub priority: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time in which a request head must arrive.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A published configuration as operators wrote it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<PublishedRoute>,
    /// Services.
    pub services: Vec<PublishedService>,
    /// Client accounts; none if requests need no key.
    pub accounts: Option<Vec<PublishedAccount>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// The routes of a host, as indexes into the configuration.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, usize>,
    /// Length of the longest prefix, in bytes.
    longest_prefix: usize,
}

/// A published configuration with indexes for lookups, and the time at which it was last known to be the newest.
///
/// That time is part of the table, so that a confirmation of a newer configuration never vouches for what was looked up
/// in an older one.
#[derive(Debug, Default)]
pub struct RouteTable {
    publication: Publication,
    /// Time of the last confirmation, in milliseconds since the Unix epoch; 0 for never.
    confirmed_ms: AtomicU64,
    by_host: HashMap<String, HostRoutes>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<ServiceId, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(publication: Publication) -> Self {
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for (index, route) in publication.routes.iter().enumerate() {
            let routes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            routes.longest_prefix = routes.longest_prefix.max(route.path_prefix.len());
            routes.by_prefix.insert(route.path_prefix.clone(), index);
        }
        let mut by_key = HashMap::new();
        for (index, account) in publication.accounts.iter().flatten().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        let named = publication.services.iter().enumerate();
        let by_service = named.map(|(index, service)| (service.name.clone(), index)).collect();
        Self { publication, confirmed_ms: AtomicU64::new(0), by_host, by_key, by_service }
    }

    /// Records that this configuration was the newest at `at`.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::route::{Publication, RouteTable};
    ///
    /// let table = RouteTable::new(Publication::default());
    /// let at = SystemTime::UNIX_EPOCH + Duration::from_secs(9);
    /// table.confirm(at);
    /// table.confirm(at - Duration::from_secs(1));
    /// assert_eq!(table.confirmed_at(), Some(at));
    /// assert_eq!(table.age(at + Duration::from_secs(2)), Some(Duration::from_secs(2)));
    /// ```
    pub fn confirm(&self, at: SystemTime) {
        let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        self.confirmed_ms.fetch_max(millis, Ordering::AcqRel);
    }

    /// The last time at which this configuration was known to be the newest.
    pub fn confirmed_at(&self) -> Option<SystemTime> {
        let millis = self.confirmed_ms.load(Ordering::Acquire);
        (millis > 0).then(|| SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
    }

    /// Time since this configuration was last known to be the newest.
    pub fn age(&self, now: SystemTime) -> Option<Duration> {
        self.confirmed_at().map(|at| now.duration_since(at).unwrap_or_default())
    }

    /// Version of the configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.publication.version
    }

    /// The configuration itself.
    pub fn publication(&self) -> &Publication {
        &self.publication
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.publication.limits
    }

    /// Whether requests of non-public routes need a key.
    pub fn needs_keys(&self) -> bool {
        self.publication.accounts.is_some()
    }

    /// The client account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&PublishedAccount> {
        let index = *self.by_key.get(key)?;
        self.publication.accounts.as_ref()?.get(index)
    }

    /// The properties of a service.
    pub fn service(&self, name: &str) -> Option<&PublishedService> {
        self.publication.services.get(*self.by_service.get(name)?)
    }

    /// The route of a request: the one with the longest matching path prefix among the routes of the host.
    ///
    /// ```
    /// use havengrade_core::published::route::{Publication, RouteTable};
    ///
    /// let table = RouteTable::new(Publication::default());
    /// assert!(table.find("office.example", "/tag/").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&PublishedRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?;
        let index = path_prefixes(path, routes.longest_prefix).find_map(|prefix| routes.by_prefix.get(prefix))?;
        self.publication.routes.get(*index)
    }
}

/// The prefixes of a path that end with a slash and have at most so many bytes, longest first.
///
/// Callers choose how many slashes a path has, so that longer ones are left out before they are looked up.
///
/// ```
/// use havengrade_core::published::route::path_prefixes;
///
/// assert_eq!(path_prefixes("/tag/lot/7", 5).collect::<Vec<_>>(), ["/tag/", "/"]);
/// ```
pub fn path_prefixes(path: &str, longest: usize) -> impl Iterator<Item = &str> {
    let bytes = path.as_bytes();
    let ends = (1..=bytes.len().min(longest)).rev().filter(|end| bytes.get(end - 1) == Some(&b'/'));
    ends.filter_map(|end| path.get(..end))
}
