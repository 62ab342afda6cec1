//! A request in execution, with the state that the steps of the execution share.

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

use crate::{
    kernel::Context,
    traffic::{
        refusal::answer_lost,
        request_table::{RequestEntry, RequestOutcome},
    },
};

/// Idempotency key of a request that may not be repeated, or whose outcome must outlive this VM.
#[derive(Clone, Debug)]
pub(crate) struct IdempotencyKey {
    pub(crate) claim_key: ClaimKey,
    /// Number of the caller's attempt; `None` if the caller doesn't count attempts.
    pub(crate) attempt: Option<Attempt>,
    pub(crate) body_digest: Digest,
}

impl IdempotencyKey {
    pub(crate) fn new(account: &str, key: &str, attempt: Option<Attempt>, body: &[u8]) -> Self {
        let claim_key = ClaimKey { account: account.to_owned(), key: key.to_owned() };
        Self { claim_key, attempt, body_digest: digest(body) }
    }

    /// Number of the caller's attempt, or 1 if the caller doesn't count attempts.
    pub(crate) fn attempt(&self) -> Attempt {
        self.attempt.unwrap_or(1)
    }
}

/// Tokens that a request has used so far, and their cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Consumption {
    pub(crate) usage: TokenUsage,
    pub(crate) cost: Micros,
}

/// A request whose route is decided and which was admitted. Dropping it ends the request, whatever ended its task, and
/// releases what the admission has taken.
pub(crate) struct ActiveRequest {
    pub(crate) cx: Context,
    pub(crate) entry: Arc<RequestEntry>,
    pub(crate) decision: RoutingDecision,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    pub(crate) body: Bytes,
    pub(crate) received_at: SystemTime,
    /// Whether the request may have reached an endpoint.
    pub(crate) is_sent: AtomicBool,
    /// Whether the log shows that this request holds the claim of its key.
    pub(crate) is_claimed: AtomicBool,
}

impl ActiveRequest {
    pub(crate) fn now(&self) -> SystemTime {
        self.cx.shared.clock.now()
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        (self.received_at + self.decision.deadline).duration_since(self.now()).unwrap_or_default()
    }

    /// Records that the request is about to be sent; returns whether it may have been sent before.
    pub(crate) fn mark_sent(&self) -> bool {
        self.is_sent.swap(true, Ordering::AcqRel)
    }

    /// Reverts [`Self::mark_sent`] after an attempt that provably sent or ran nothing.
    pub(crate) fn unmark_sent(&self) {
        self.is_sent.store(false, Ordering::Release);
    }

    pub(crate) fn may_have_been_sent(&self) -> bool {
        self.is_sent.load(Ordering::Acquire)
    }

    /// Whether the request may safely run twice.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.decision.class.repeatable
    }

    /// Chooses the endpoint for the next attempt.
    pub(crate) fn choose_endpoint(
        &self,
        version: Option<&VersionId>,
        tried_endpoints: &[EndpointId],
    ) -> Option<Endpoint> {
        let shared = &self.cx.shared;
        let catalog = shared.catalog.load();
        let failure_domain = &shared.settings.vm.failure_domain;
        let context = SelectionContext { failure_domain, tried_endpoints, now: self.now() };
        let mut rng = shared.rng();
        choose_endpoint(&catalog, &self.decision.route, version, &shared.endpoints, context, &mut *rng).cloned()
    }

    /// Time until the first eligible endpoint ends its backoff; `None` if one of them has no backoff.
    pub(crate) fn backoff_left(&self, version: Option<&VersionId>) -> Option<Duration> {
        let shared = &self.cx.shared;
        backoff_left(&shared.catalog.load(), &self.decision.route, version, &shared.endpoints, self.now())
    }

    /// Whether the configuration is still fresh and the version active; checked again right before each send.
    pub(crate) fn may_send(&self, version: Option<&VersionId>) -> bool {
        let shared = &self.cx.shared;
        let is_active = version.is_none_or(|version| shared.catalog.load().config.is_active(version));
        shared.is_fresh(self.now()) && is_active
    }

    /// Records the result of an attempt at an endpoint.
    pub(crate) fn record_attempt(&self, endpoint: &str, succeeded: bool) {
        let settings = &self.cx.shared.settings.endpoints;
        let Some(slot) = self.cx.shared.endpoints.slot(endpoint) else { return };
        if succeeded {
            slot.record_success(self.now());
        } else {
            slot.record_failure(settings.eject_after, Duration::from_millis(settings.eject_ms), self.now());
        }
    }

    /// Returns the claim for an attempt at an endpoint.
    pub(crate) fn claim(&self, idempotency_key: &IdempotencyKey, endpoint: &str) -> Claim {
        Claim {
            key: idempotency_key.claim_key.clone(),
            attempt: idempotency_key.attempt(),
            holder: self.cx.shared.incarnation,
            request_id: self.entry.id.clone(),
            class: self.decision.class.id.clone(),
            body_sha256: encode_body_digest(&idempotency_key.body_digest),
            endpoint: endpoint.to_owned(),
            at: self.now(),
        }
    }

    /// Returns the bill for the tokens used.
    pub(crate) fn bill(&self, version: Option<&VersionId>, endpoint: &str, consumption: Consumption) -> Bill {
        Bill {
            request_id: self.entry.id.clone(),
            account: self.entry.account.clone(),
            key: self.idempotency_key.as_ref().map(|key| key.claim_key.key.clone()),
            class: self.decision.class.id.clone(),
            version: version.cloned(),
            endpoint: endpoint.to_owned(),
            usage: consumption.usage,
            cost: consumption.cost,
            at: self.now(),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if self.entry.complete(RequestOutcome::Failed(answer_lost())) {
            log::warn!(request_id = self.entry.id.as_str(); "request ended without an outcome");
        }
        self.cx.shared.requests.finish(&self.entry.id);
        self.cx.shared.admission().release(&self.entry.account);
    }
}
