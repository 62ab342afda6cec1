//! Claims: a request that must not be repeated runs at most once.
//!
//! Only the holder of a key's first claim in offset order may send the request, and it sends it once.
//! Claims do not expire, so a holder that resumes after a pause can't cause a second run.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AccountId, Attempt, ClassId, EndpointId, Incarnation, RequestId},
    secret::{Digest, parse_digest},
};

/// Key of a claim: a client account and its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountId,
    /// Idempotency key that the caller chose.
    pub key: String,
}

/// A VM's claim to the exclusive right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key that is claimed.
    pub key: ClaimKey,
    /// Number of the attempt, counted by the caller from 1.
    pub attempt: Attempt,
    /// Incarnation of the process that claims the key.
    pub holder: Incarnation,
    /// Id of the request.
    pub request_id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Hexadecimal digest of the request's body.
    pub body_sha256: String,
    /// Endpoint that the holder will send to.
    pub endpoint: EndpointId,
    /// Time of the claim.
    pub at: SystemTime,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// The endpoint answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer.
        body: String,
    },
    /// The endpoint may have run the request, but the answer was lost.
    MayHaveRun,
}

/// Result of applying a ledger record in offset order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The record took effect.
    Applied,
    /// The key is already claimed.
    AlreadyClaimed {
        /// Incarnation of the process that holds the claim.
        holder: Incarnation,
        /// Id of the request that holds the claim.
        request_id: RequestId,
    },
    /// The attempt has already been voided, that is, declared not run.
    AlreadyVoided {
        /// The last voided attempt.
        up_to: Attempt,
    },
    /// The key was claimed for a different body.
    BodyMismatch,
    /// The record does not apply: there is no claim, or the outcome is already final.
    NotApplicable,
}

/// The claim that is in effect for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveClaim {
    /// Number of the attempt, counted by the caller from 1.
    pub attempt: Attempt,
    /// Incarnation of the process that holds the claim.
    pub holder: Incarnation,
    /// Id of the request.
    pub request_id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Endpoint that the holder sends to.
    pub endpoint: EndpointId,
    /// Digest of the request's body; `None` if the record's digest can't be parsed.
    pub body: Option<Digest>,
    /// Time of the claim.
    pub at: SystemTime,
}

impl From<&Claim> for ActiveClaim {
    fn from(claim: &Claim) -> Self {
        Self {
            attempt: claim.attempt,
            holder: claim.holder,
            request_id: claim.request_id.clone(),
            class: claim.class.clone(),
            endpoint: claim.endpoint.clone(),
            body: parse_digest(&claim.body_sha256),
            at: claim.at,
        }
    }
}

/// State of one key in the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyState {
    /// Last voided attempt; it and the attempts before it never run.
    pub voided_up_to: Attempt,
    /// The claim in effect.
    pub claim: Option<ActiveClaim>,
    /// The outcome, once the claim is settled.
    pub outcome: Option<Outcome>,
}

impl KeyState {
    /// Applies a claim, unless the key is already claimed or the attempt is voided.
    pub fn claim(&mut self, claim: &Claim) -> ApplyResult {
        if let Some(active) = &self.claim {
            if active.body != parse_digest(&claim.body_sha256) {
                return ApplyResult::BodyMismatch;
            }
            return ApplyResult::AlreadyClaimed { holder: active.holder, request_id: active.request_id.clone() };
        }
        if claim.attempt <= self.voided_up_to {
            return ApplyResult::AlreadyVoided { up_to: self.voided_up_to };
        }
        self.claim = Some(ActiveClaim::from(claim));
        ApplyResult::Applied
    }

    /// Voids the attempts up to `up_to`, which then never run.
    ///
    /// A claim in effect takes precedence, unless its own holder voids it. The holder knows that it has not
    /// sent the request and never will.
    pub fn void(&mut self, up_to: Attempt, holder: Incarnation, request_id: &str) -> ApplyResult {
        if let Some(active) = &self.claim {
            let is_own = active.holder == holder && active.request_id == request_id && self.outcome.is_none();
            if !is_own {
                return ApplyResult::AlreadyClaimed { holder: active.holder, request_id: active.request_id.clone() };
            }
            self.voided_up_to = self.voided_up_to.max(active.attempt);
            self.claim = None;
        }
        self.voided_up_to = self.voided_up_to.max(up_to);
        ApplyResult::Applied
    }

    /// Settles the claim in effect with its outcome.
    ///
    /// The first outcome is final, except that an answer replaces [`Outcome::MayHaveRun`].
    pub fn settle(&mut self, request_id: &str, outcome: &Outcome) -> ApplyResult {
        let Some(active) = &self.claim else {
            return ApplyResult::NotApplicable;
        };
        if active.request_id != request_id {
            return ApplyResult::AlreadyClaimed { holder: active.holder, request_id: active.request_id.clone() };
        }
        let supersedes = match self.outcome {
            None => true,
            Some(Outcome::MayHaveRun) => *outcome != Outcome::MayHaveRun,
            Some(Outcome::Answered { .. }) => false,
        };
        if !supersedes {
            return ApplyResult::NotApplicable;
        }
        self.outcome = Some(outcome.clone());
        ApplyResult::Applied
    }
}

/// Encodes the digest of a request's body for [`Claim::body_sha256`].
pub fn encode_body_digest(digest: &Digest) -> String {
    hex::encode(digest)
}
