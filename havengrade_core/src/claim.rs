//! Claims: a request that may not be repeated runs at most once.
//!
//! The first claim of a key in offset order is the only one that may ever send, and sends once.
//! Claims do not lapse, so a holder that pauses does no harm.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AccountId, Attempt, ClassId, EndpointId, Incarnation, RequestId},
    secret::{Digest, parse_digest},
};

/// What a claim is about: a client account's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: String,
}

/// A VM's claim to be the one that runs a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// The caller's number of this attempt, from 1.
    pub attempt: Attempt,
    /// Run of the process that claims.
    pub holder: Incarnation,
    /// Id of the request.
    pub request_id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Digest of the request's body, in hexadecimal.
    pub body_sha256: String,
    /// Endpoint that the holder will send to.
    pub endpoint: EndpointId,
    /// When the claim was made.
    pub at: SystemTime,
}

/// An answer that is kept with its claim.
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
    /// The endpoint may have run the request, but its answer is lost.
    MayHaveRun,
}

/// How a claim, a void or a settlement fared in offset order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It took effect.
    Applied,
    /// A claim by this holder stands before it.
    AlreadyClaimed {
        /// Run of the process that holds the claim.
        holder: Incarnation,
        /// Id of the request that holds it.
        request_id: RequestId,
    },
    /// Attempts up to this one have been declared not run.
    AlreadyVoided {
        /// The last such attempt.
        up_to: Attempt,
    },
    /// The key stands for another body.
    BodyMismatch,
    /// Nothing is there that it could apply to.
    NotApplicable,
}

/// What is kept of a claim in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveClaim {
    /// The caller's number of the attempt.
    pub attempt: Attempt,
    /// Run of the process that holds it.
    pub holder: Incarnation,
    /// Id of the request.
    pub request_id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Endpoint that the holder sends to.
    pub endpoint: EndpointId,
    /// Digest of the request's body; none where the record's could not be read.
    pub body: Option<Digest>,
    /// When the claim was made.
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

/// All that is known of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyState {
    /// Attempts up to this one never run.
    pub voided_up_to: Attempt,
    /// The claim in effect.
    pub claim: Option<ActiveClaim>,
    /// The outcome, once it is settled.
    pub outcome: Option<Outcome>,
}

impl KeyState {
    /// Applies a claim.
    pub fn claim(&mut self, claim: &Claim) -> ApplyResult {
        if let Some(held) = &self.claim {
            if held.body != parse_digest(&claim.body_sha256) {
                return ApplyResult::BodyMismatch;
            }
            return ApplyResult::AlreadyClaimed { holder: held.holder, request_id: held.request_id.clone() };
        }
        if claim.attempt <= self.voided_up_to {
            return ApplyResult::AlreadyVoided { up_to: self.voided_up_to };
        }
        self.claim = Some(ActiveClaim::from(claim));
        ApplyResult::Applied
    }

    /// Applies a refusal: attempts up to this one never run.
    ///
    /// A claim in effect wins over it, unless its own holder, who knows that it has not sent and never
    /// will, gives the refusal.
    pub fn void(&mut self, up_to: Attempt, holder: Incarnation, request_id: &str) -> ApplyResult {
        if let Some(held) = &self.claim {
            let own = held.holder == holder && held.request_id == request_id && self.outcome.is_none();
            if !own {
                return ApplyResult::AlreadyClaimed { holder: held.holder, request_id: held.request_id.clone() };
            }
            self.voided_up_to = self.voided_up_to.max(held.attempt);
            self.claim = None;
        }
        self.voided_up_to = self.voided_up_to.max(up_to);
        ApplyResult::Applied
    }

    /// Applies the outcome of the claim in effect.
    ///
    /// The first outcome stands, but an answer goes over "may have run", since it tells more.
    pub fn settle(&mut self, request_id: &str, outcome: &Outcome) -> ApplyResult {
        let Some(held) = &self.claim else {
            return ApplyResult::NotApplicable;
        };
        if held.request_id != request_id {
            return ApplyResult::AlreadyClaimed { holder: held.holder, request_id: held.request_id.clone() };
        }
        let tells_more = match self.outcome {
            None => true,
            Some(Outcome::MayHaveRun) => *outcome != Outcome::MayHaveRun,
            Some(Outcome::Answered { .. }) => false,
        };
        if !tells_more {
            return ApplyResult::NotApplicable;
        }
        self.outcome = Some(outcome.clone());
        ApplyResult::Applied
    }
}

/// The digest of a request's body as a claim carries it.
pub fn encode_body_digest(digest: &Digest) -> String {
    hex::encode(digest)
}
