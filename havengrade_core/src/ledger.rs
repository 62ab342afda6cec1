//! The ledger: claims, refusals and outcomes with their bills, replayed in offset order.

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

/// A record of the ledger or of the stream of bills.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum LedgerRecord {
    /// A VM wants to run a request.
    Claim(Claim),
    /// A VM tells a caller "not run".
    Void {
        /// What is refused.
        key: ClaimKey,
        /// Attempts up to this one never run.
        up_to: Attempt,
        /// Run of the process that refuses.
        holder: Incarnation,
        /// Id of the request that is refused.
        request_id: RequestId,
    },
    /// The outcome of a claimed request, with its bill if something is owed.
    Settle {
        /// What is settled.
        key: ClaimKey,
        /// Id of the request.
        request_id: RequestId,
        /// The outcome.
        outcome: Outcome,
        /// The bill.
        bill: Option<Bill>,
    },
    /// A request that ran without a claim in the log, at an endpoint that recognises its key itself.
    Ran {
        /// The claim that would have been made.
        claim: Claim,
        /// The outcome.
        outcome: Outcome,
        /// The bill.
        bill: Bill,
    },
    /// The bill of a request without a claim; it stands in the stream of bills, which VMs don't read.
    Bill(Bill),
}

impl LedgerRecord {
    /// The request that the record is about.
    pub fn request_id(&self) -> Option<&RequestId> {
        match self {
            Self::Claim(claim) | Self::Ran { claim, .. } => Some(&claim.request_id),
            Self::Void { request_id, .. } | Self::Settle { request_id, .. } => Some(request_id),
            Self::Bill(bill) => Some(&bill.request_id),
        }
    }

    /// The bill that the record carries.
    pub fn bill(&self) -> Option<&Bill> {
        match self {
            Self::Claim(_) | Self::Void { .. } => None,
            Self::Settle { bill, .. } => bill.as_ref(),
            Self::Ran { bill, .. } | Self::Bill(bill) => Some(bill),
        }
    }

    /// The settlement of a claim whose holder is gone: it may have run, and owes nothing that is known.
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

/// Records that one process appended together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Run of the process.
    pub writer: Incarnation,
    /// Number of the batch, rising within a run.
    pub seq: u64,
    /// When the batch was appended.
    pub at: SystemTime,
    /// The records.
    pub records: Vec<LedgerRecord>,
}

/// What is known of a key, and when that last changed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    state: KeyState,
    changed: SystemTime,
}

/// All that the ledger says, up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Offset after the last batch that was replayed.
    pub next_offset: Offset,
    /// The newest time in any batch.
    pub newest_at: Option<SystemTime>,
    keys: HashMap<Arc<ClaimKey>, Entry>,
    requests: HashMap<RequestId, Arc<ClaimKey>>,
    /// Keys by when they were first seen, or found to have changed since.
    ages: VecDeque<(SystemTime, Arc<ClaimKey>)>,
    last_seq: HashMap<Incarnation, u64>,
}

impl Ledger {
    /// Replays the batch at an offset and tells how each of its records fared.
    ///
    /// A batch that stands twice, or that its writer had given up before it wrote a later one, has no
    /// effect: `None`.
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
                let verdict = self.entry(&claim.key, at).claim(claim);
                if verdict == ApplyResult::Applied {
                    self.record_request(claim);
                }
                verdict
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
        // It is a fact that it ran, so a refusal that stands before it has no say; another claim has.
        let held = state.claim.get_or_insert_with(|| ActiveClaim::from(claim));
        if held.request_id != claim.request_id {
            let verdict = ApplyResult::AlreadyClaimed { holder: held.holder, request_id: held.request_id.clone() };
            let first = held.request_id.clone();
            // The endpoint knows the key, so its answer is the one that the first request lost.
            state.settle(&first, outcome);
            return verdict;
        }
        let verdict = state.settle(&claim.request_id, outcome);
        self.record_request(claim);
        verdict
    }

    fn record_request(&mut self, claim: &Claim) {
        if let Some((key, _)) = self.keys.get_key_value(&claim.key) {
            self.requests.insert(claim.request_id.clone(), key.clone());
        }
    }

    /// The state of a key that a record is about.
    fn entry(&mut self, key: &ClaimKey, at: SystemTime) -> &mut KeyState {
        if !self.keys.contains_key(key) {
            let key = Arc::new(key.clone());
            self.ages.push_back((at, key.clone()));
            self.keys.insert(key, Entry { state: KeyState::default(), changed: at });
        }
        let entry = self.keys.get_mut(key).unwrap_or_else(|| unreachable!("it was just put there"));
        entry.changed = entry.changed.max(at);
        &mut entry.state
    }

    /// What is known of a key.
    pub fn key_state(&self, key: &ClaimKey) -> Option<&KeyState> {
        self.keys.get(key).map(|entry| &entry.state)
    }

    /// The key that a request holds, and what is known of it.
    pub fn claimed_request(&self, request_id: &str) -> Option<(&ClaimKey, &KeyState)> {
        let key = self.requests.get(request_id)?;
        let state = self.key_state(key)?;
        let holds = state.claim.as_ref().is_some_and(|claim| claim.request_id == request_id);
        holds.then_some((key, state))
    }

    /// Claims in effect that have no outcome yet.
    pub fn unsettled_claims(&self) -> impl Iterator<Item = (&ClaimKey, &ActiveClaim)> {
        self.keys.iter().filter_map(|(key, entry)| {
            let held = entry.state.claim.as_ref()?;
            entry.state.outcome.is_none().then_some((&**key, held))
        })
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets what has not changed within the horizon, counted from the newest time in the stream.
    ///
    /// Unsettled claims are kept, and what is younger than them: to forget one would let its key run again.
    pub fn evict_settled(&mut self, horizon: Duration) {
        let Some(cutoff) = self.newest_at.and_then(|newest| newest.checked_sub(horizon)) else {
            return;
        };
        while self.ages.front().is_some_and(|(at, _)| *at < cutoff) {
            let Some((_, key)) = self.ages.pop_front() else { return };
            let Some(entry) = self.keys.get(&key) else { continue };
            if entry.changed >= cutoff {
                self.ages.push_back((entry.changed, key));
                continue;
            }
            if entry.state.claim.is_some() && entry.state.outcome.is_none() {
                self.ages.push_front((entry.changed, key));
                return;
            }
            if let Some(held) = &entry.state.claim {
                self.requests.remove(&held.request_id);
            }
            self.keys.remove(&key);
        }
    }
}
