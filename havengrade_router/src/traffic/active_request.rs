//! A request on its way: what every step of carrying it out needs.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use havengrade_core::{
    billing::Bill,
    claim::{Claim, ClaimKey, encode_body_digest},
    config::Endpoint,
    cost::TokenUsage,
    endpoint_selection::SelectionContext,
    ids::{Attempt, EndpointId, Micros, VersionId},
    routing::{RoutingDecision, backoff_left, choose_endpoint},
    secret::{Digest, digest},
};

use crate::{kernel::Context, traffic::request_table::RequestEntry};

/// The key of a request that may not be repeated, or that outlives its VM.
#[derive(Clone, Debug)]
pub(crate) struct Keyed {
    pub(crate) key: ClaimKey,
    /// Number of the attempt; none where the caller does not count.
    pub(crate) attempt: Option<Attempt>,
    pub(crate) body: Digest,
}

impl Keyed {
    pub(crate) fn new(account: &str, key: &str, attempt: Option<Attempt>, body: &[u8]) -> Self {
        let key = ClaimKey { account: account.to_owned(), key: key.to_owned() };
        Self { key, attempt, body: digest(body) }
    }

    /// Number of the attempt, 1 where the caller does not count.
    pub(crate) fn attempt(&self) -> Attempt {
        self.attempt.unwrap_or(1)
    }
}

/// What a request costs so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spent {
    pub(crate) usage: TokenUsage,
    pub(crate) cost: Micros,
}

/// A request that has been decided.
pub(crate) struct Job {
    pub(crate) cx: Context,
    pub(crate) entry: Arc<RequestEntry>,
    pub(crate) decision: RoutingDecision,
    pub(crate) keyed: Option<Keyed>,
    pub(crate) body: Bytes,
    pub(crate) arrived: SystemTime,
    /// Whether anything may have reached an endpoint.
    pub(crate) is_sent: AtomicBool,
    /// Whether the log shows that this request holds its key.
    pub(crate) is_claimed: AtomicBool,
}

impl Job {
    pub(crate) fn now(&self) -> SystemTime {
        self.cx.shared.clock.now()
    }

    /// Time that is left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        (self.arrived + self.decision.deadline).duration_since(self.now()).unwrap_or_default()
    }

    /// Notes that something is about to be sent; tells whether something had been before.
    pub(crate) fn mark_sent(&self) -> bool {
        self.is_sent.swap(true, Ordering::AcqRel)
    }

    /// Takes that back, where it turned out that nothing was sent or run.
    pub(crate) fn unmark_sent(&self) {
        self.is_sent.store(false, Ordering::Release);
    }

    pub(crate) fn may_have_been_sent(&self) -> bool {
        self.is_sent.load(Ordering::Acquire)
    }

    /// Whether a second run would do no harm.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.decision.class.repeatable
    }

    /// Chooses the endpoint for the next try.
    pub(crate) fn choose(&self, version: Option<&VersionId>, tried: &[EndpointId]) -> Option<Endpoint> {
        let shared = &self.cx.shared;
        let catalog = shared.catalog.load();
        let failure_domain = &shared.settings.vm.failure_domain;
        let wanted = SelectionContext { failure_domain, tried, now: self.now() };
        let mut rng = shared.rng();
        choose_endpoint(&catalog, &self.decision.route, version, &shared.endpoints, wanted, &mut *rng).cloned()
    }

    /// Time until the first of the endpoints for the next try no longer wants rest; none where one of them wants none.
    pub(crate) fn rest_left(&self, version: Option<&VersionId>) -> Option<Duration> {
        let shared = &self.cx.shared;
        backoff_left(&shared.catalog.load(), &self.decision.route, version, &shared.endpoints, self.now())
    }

    /// Whether the configuration may still be relied on, looked at again right before something is sent.
    pub(crate) fn may_send(&self, version: Option<&VersionId>) -> bool {
        let shared = &self.cx.shared;
        let is_active = version.is_none_or(|version| shared.catalog.load().config.is_active(version));
        shared.is_fresh(self.now()) && is_active
    }

    /// Notes how a try at an endpoint went.
    pub(crate) fn note_try(&self, endpoint: &str, succeeded: bool) {
        let settings = &self.cx.shared.settings.endpoints;
        let Some(slot) = self.cx.shared.endpoints.slot(endpoint) else { return };
        if succeeded {
            slot.succeed(self.now());
        } else {
            slot.fail(settings.eject_after, Duration::from_millis(settings.eject_ms), self.now());
        }
    }

    /// The claim for a try at an endpoint.
    pub(crate) fn claim(&self, keyed: &Keyed, endpoint: &str) -> Claim {
        Claim {
            key: keyed.key.clone(),
            attempt: keyed.attempt(),
            holder: self.cx.shared.incarnation,
            request_id: self.entry.id.clone(),
            class: self.decision.class.id.clone(),
            body_sha256: encode_body_digest(&keyed.body),
            endpoint: endpoint.to_owned(),
            at: self.now(),
        }
    }

    /// The bill for what was spent.
    pub(crate) fn bill(&self, version: Option<&VersionId>, endpoint: &str, spent: Spent) -> Bill {
        Bill {
            request_id: self.entry.id.clone(),
            account: self.entry.account.clone(),
            key: self.keyed.as_ref().map(|keyed| keyed.key.key.clone()),
            class: self.decision.class.id.clone(),
            version: version.cloned(),
            endpoint: endpoint.to_owned(),
            usage: spent.usage,
            cost: spent.cost,
            at: self.now(),
        }
    }
}
