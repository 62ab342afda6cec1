//! Ledger of claims, voided attempts and outcomes with their bills, replayed in offset order.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::{
    billing::Bill,
    claim::{ActiveClaim, ApplyResult, Claim, ClaimKey, KeyState, Outcome},
    cost::TokenUsage,
    ids::{Attempt, Incarnation, Offset, RequestId},
};

/// Record of the ledger or of the stream of bills.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum LedgerRecord {
    /// A VM claims a key in order to run a request.
    Claim(Claim),
    /// A VM voids attempts before it answers the caller that the request was not run.
    Void {
        /// Key of the refused request.
        key: ClaimKey,
        /// Attempts up to this one never run.
        up_to: Attempt,
        /// Incarnation of the process that refuses the request.
        holder: Incarnation,
        /// Id of the refused request.
        request_id: RequestId,
    },
    /// Outcome of a claimed request, with its bill if there is a charge.
    Settle {
        /// Key of the settled claim.
        key: ClaimKey,
        /// Id of the request.
        request_id: RequestId,
        /// The outcome.
        outcome: Outcome,
        /// The bill.
        bill: Option<Bill>,
    },
    /// Request that ran without a claim in the log, at an endpoint that deduplicates by key.
    Ran {
        /// The claim that would have been appended.
        claim: Claim,
        /// The outcome.
        outcome: Outcome,
        /// The bill.
        bill: Bill,
    },
    /// Bill of a request without a claim, stored in the stream of bills, which VMs don't read.
    Bill(Bill),
}

impl LedgerRecord {
    /// Returns the id of the request that the record refers to.
    pub fn request_id(&self) -> Option<&RequestId> {
        match self {
            Self::Claim(claim) | Self::Ran { claim, .. } => Some(&claim.request_id),
            Self::Void { request_id, .. } | Self::Settle { request_id, .. } => Some(request_id),
            Self::Bill(bill) => Some(&bill.request_id),
        }
    }

    /// Returns the bill in the record, if any.
    pub fn bill(&self) -> Option<&Bill> {
        match self {
            Self::Claim(_) | Self::Void { .. } => None,
            Self::Settle { bill, .. } => bill.as_ref(),
            Self::Ran { bill, .. } | Self::Bill(bill) => Some(bill),
        }
    }

    /// Settles a claim whose holder is gone.
    ///
    /// The request may have run, and its cost is unknown, so its bill is zero.
    pub fn settle_abandoned(key: &ClaimKey, claim: &ActiveClaim, now: SystemTime) -> Self {
        let bill = Bill {
            request_id: claim.request_id.clone(),
            account: key.account.clone(),
            key: Some(key.key.clone()),
            class: claim.class.clone(),
            version: None,
            endpoint: claim.endpoint.clone(),
            usage: TokenUsage::default(),
            cost: 0,
            at: now,
        };
        Self::Settle {
            key: key.clone(),
            request_id: claim.request_id.clone(),
            outcome: Outcome::MayHaveRun,
            bill: Some(bill),
        }
    }
}

/// Records that a process appended together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Incarnation of the process.
    pub writer: Incarnation,
    /// Sequence number of the batch, which increases within an incarnation.
    pub seq: u64,
    /// Time at which the batch was appended.
    pub at: SystemTime,
    /// The records.
    pub records: Vec<LedgerRecord>,
}

/// State of a key and the time of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    state: KeyState,
    changed_at: SystemTime,
}

/// State of the ledger up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Offset after the last replayed batch.
    pub next_offset: Offset,
    /// Newest time of all batches.
    pub newest_at: Option<SystemTime>,
    keys: HashMap<Arc<ClaimKey>, Entry>,
    keys_by_request: HashMap<RequestId, Arc<ClaimKey>>,
    /// Queue for eviction: keys with the time of their first record or, once requeued, of their last change.
    eviction_queue: VecDeque<(SystemTime, Arc<ClaimKey>)>,
    last_seq: HashMap<Incarnation, u64>,
}

impl Ledger {
    /// Replays the batch at an offset and returns the result for each of its records.
    ///
    /// Returns `None` for a batch without effect: one that occurs twice, or that was appended after a later
    /// batch of the same writer, which had given it up.
    pub fn replay(&mut self, offset: Offset, batch: &Batch) -> Option<Vec<ApplyResult>> {
        if offset < self.next_offset {
            return None;
        }
        self.next_offset = offset + 1;
        let last_seq = self.last_seq.entry(batch.writer).or_default();
        if batch.seq <= *last_seq {
            return None;
        }
        *last_seq = batch.seq;
        self.newest_at = self.newest_at.max(Some(batch.at));
        Some(batch.records.iter().map(|record| self.apply(record, batch.at)).collect())
    }

    fn apply(&mut self, record: &LedgerRecord, at: SystemTime) -> ApplyResult {
        match record {
            LedgerRecord::Claim(claim) => {
                let result = self.entry(&claim.key, at).claim(claim);
                if result == ApplyResult::Applied {
                    self.record_request(claim);
                }
                result
            },
            LedgerRecord::Void { key, up_to, holder, request_id } => {
                self.entry(key, at).void(*up_to, *holder, request_id)
            },
            LedgerRecord::Settle { key, request_id, outcome, .. } => self.entry(key, at).settle(request_id, outcome),
            LedgerRecord::Ran { claim, outcome, .. } => self.apply_ran(claim, outcome, at),
            LedgerRecord::Bill(_) => ApplyResult::NotApplicable,
        }
    }

    fn apply_ran(&mut self, claim: &Claim, outcome: &Outcome, at: SystemTime) -> ApplyResult {
        let state = self.entry(&claim.key, at);
        // The request did run, so an earlier void can't prevent it. An earlier claim takes precedence.
        let active = state.claim.get_or_insert_with(|| ActiveClaim::from(claim));
        if active.request_id != claim.request_id {
            let result = ApplyResult::AlreadyClaimed { holder: active.holder, request_id: active.request_id.clone() };
            let first = active.request_id.clone();
            // The endpoint deduplicates by key, so this is also the answer that the first request lost.
            state.settle(&first, outcome);
            return result;
        }
        let result = state.settle(&claim.request_id, outcome);
        self.record_request(claim);
        result
    }

    fn record_request(&mut self, claim: &Claim) {
        if let Some((key, _)) = self.keys.get_key_value(&claim.key) {
            self.keys_by_request.insert(claim.request_id.clone(), key.clone());
        }
    }

    /// Returns the state of a record's key and updates the time of its last change.
    fn entry(&mut self, key: &ClaimKey, at: SystemTime) -> &mut KeyState {
        if !self.keys.contains_key(key) {
            let key = Arc::new(key.clone());
            self.eviction_queue.push_back((at, key.clone()));
            self.keys.insert(key, Entry { state: KeyState::default(), changed_at: at });
        }
        let entry = self.keys.get_mut(key).unwrap_or_else(|| unreachable!("it was just inserted"));
        entry.changed_at = entry.changed_at.max(at);
        &mut entry.state
    }

    /// Returns the state of a key.
    pub fn key_state(&self, key: &ClaimKey) -> Option<&KeyState> {
        self.keys.get(key).map(|entry| &entry.state)
    }

    /// Returns the key that a request holds a claim on, and the key's state.
    pub fn claimed_request(&self, request_id: &str) -> Option<(&ClaimKey, &KeyState)> {
        let key = self.keys_by_request.get(request_id)?;
        let state = self.key_state(key)?;
        let is_holder = state.claim.as_ref().is_some_and(|claim| claim.request_id == request_id);
        is_holder.then_some((key, state))
    }

    /// Returns the claims in effect that have no outcome yet.
    pub fn unsettled_claims(&self) -> impl Iterator<Item = (&ClaimKey, &ActiveClaim)> {
        self.keys.iter().filter_map(|(key, entry)| {
            let active = entry.state.claim.as_ref()?;
            entry.state.outcome.is_none().then_some((&**key, active))
        })
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Evicts keys that haven't changed within `horizon`, counted from the newest time in the stream.
    ///
    /// Unsettled claims are kept, as are the keys behind them in the queue: evicting an unsettled claim would
    /// let its key run again.
    pub fn evict_expired(&mut self, horizon: Duration) {
        let Some(cutoff) = self.newest_at.and_then(|newest| newest.checked_sub(horizon)) else {
            return;
        };
        while self.eviction_queue.front().is_some_and(|(at, _)| *at < cutoff) {
            let Some((_, key)) = self.eviction_queue.pop_front() else { return };
            let Some(entry) = self.keys.get(&key) else { continue };
            if entry.changed_at >= cutoff {
                self.eviction_queue.push_back((entry.changed_at, key));
                continue;
            }
            if entry.state.claim.is_some() && entry.state.outcome.is_none() {
                self.eviction_queue.push_front((entry.changed_at, key));
                return;
            }
            if let Some(active) = &entry.state.claim {
                self.keys_by_request.remove(&active.request_id);
            }
            self.keys.remove(&key);
        }
    }
}
