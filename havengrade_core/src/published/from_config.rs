//! Conversion of the router's own configuration to published routes and endpoints.

use std::time::Duration;

use crate::{
    config::{Account, Config, Endpoint, EndpointKind, Route, RouteAnswers},
    published::{
        directory::ListedEndpoint,
        route::{AnswerShape, CallerLimits, Publication, PublishedAccount, PublishedRoute, Repeat, RouteTarget},
    },
};

/// The published part of a configuration; client account keys are given as digests.
///
/// ```
/// use havengrade_core::{config::Config, published::{from_config::publication, route::CallerLimits}};
///
/// let limits = CallerLimits::default();
/// assert_eq!(publication(&Config::default(), limits).version, 0);
/// ```
pub fn publication(cfg: &Config, limits: CallerLimits) -> Publication {
    Publication {
        // Versions start at 1, and offsets at 0.
        version: cfg.revision.map_or(0, |offset| offset + 1),
        routes: cfg.routes.values().map(route).collect(),
        // A plain service has no settings of its own.
        services: Vec::new(),
        accounts: Some(cfg.accounts.values().map(account).collect()),
        limits,
    }
}

fn route(item: &Route) -> PublishedRoute {
    let shape = match item.answers {
        RouteAnswers::Whole => AnswerShape::Whole,
        RouteAnswers::Events => AnswerShape::Events { is_resumable: false },
        RouteAnswers::ResumableEvents => AnswerShape::Events { is_resumable: true },
    };
    PublishedRoute {
        name: item.id.clone(),
        host: item.host.clone(),
        path_prefix: item.path_prefix.clone(),
        repeat: if item.repeatable { Repeat::Allowed } else { Repeat::Never },
        shape,
        time_limit: Duration::from_millis(item.time_limit_ms),
        target: Duration::from_millis(item.target_ms),
        pause_target: item.pause_target_ms.map(Duration::from_millis),
        priority: item.priority,
        targets: vec![RouteTarget { service: item.service.clone(), weight: 1 }],
        max_tries: item.max_tries,
        is_public: item.public,
        models: Vec::new(),
    }
}

fn account(item: &Account) -> PublishedAccount {
    PublishedAccount { name: item.id.clone(), keys: vec![item.key_sha256.to_ascii_lowercase()], priority: None }
}

/// The endpoints of plain services.
pub fn endpoints(cfg: &Config) -> Vec<ListedEndpoint> {
    cfg.endpoints.values().filter_map(endpoint).collect()
}

fn endpoint(item: &Endpoint) -> Option<ListedEndpoint> {
    let EndpointKind::Service { service } = &item.kind else { return None };
    Some(ListedEndpoint {
        id: item.id.clone(),
        service: service.clone(),
        address: item.address,
        failure_domain: item.failure_domain.clone(),
        version: String::new(),
        slots: item.capacity,
        is_leaving: false,
        cold_for: Duration::ZERO,
        start: None,
    })
}
