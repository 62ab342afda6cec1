//! The ledger: claims, refusals and outcomes with their bills, replayed in offset order.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::{
    billing::Bill,
    claim::{Claim, ClaimKey, KeyState, Outcome, Verdict},
    cost::Usage,
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
    pub fn abandoned(claim: &Claim, now: SystemTime) -> Self {
        let bill = Bill {
            request_id: claim.request_id.clone(),
            account: claim.key.account.clone(),
            class: claim.class.clone(),
            version: None,
            endpoint: claim.endpoint.clone(),
            usage: Usage::default(),
            cost: 0,
            at: now,
        };
        Self::Settle {
            key: claim.key.clone(),
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

/// A bill that counts, with the offset at which it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountedBill {
    /// Offset of its batch.
    pub offset: Offset,
    /// The bill.
    pub bill: Bill,
}

/// All that the request stream says, up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Offset after the last batch that was replayed.
    pub next_offset: Offset,
    /// The newest time in any batch.
    pub newest: Option<SystemTime>,
    #[serde(with = "key_list")]
    keys: HashMap<ClaimKey, KeyState>,
    requests: HashMap<RequestId, ClaimKey>,
    bills: HashMap<RequestId, CountedBill>,
    ages: BTreeMap<Offset, Vec<RequestId>>,
    last_seq: HashMap<Incarnation, u64>,
}

impl Ledger {
    /// Replays the batch at an offset and tells how each of its records fared.
    ///
    /// A batch that stands twice, or that its writer had given up before it wrote a later one, has no
    /// effect: `None`.
    pub fn replay(&mut self, offset: Offset, batch: &Batch) -> Option<Vec<Verdict>> {
        if offset < self.next_offset {
            return None;
        }
        self.next_offset = offset + 1;
        let last_seq = self.last_seq.entry(batch.writer).or_default();
        if batch.seq <= *last_seq {
            return None;
        }
        *last_seq = batch.seq;
        self.newest = self.newest.max(Some(batch.at));
        Some(batch.records.iter().map(|record| self.apply(offset, record)).collect())
    }

    fn apply(&mut self, offset: Offset, record: &LedgerRecord) -> Verdict {
        match record {
            LedgerRecord::Claim(claim) => self.apply_claim(offset, claim),
            LedgerRecord::Void { key, up_to, holder, request_id } => {
                self.keys.entry(key.clone()).or_default().void(*up_to, *holder, request_id)
            },
            LedgerRecord::Settle { key, request_id, outcome, bill } => {
                let verdict = self.keys.entry(key.clone()).or_default().settle(request_id, outcome);
                if verdict == Verdict::Effective
                    && let Some(bill) = bill
                {
                    self.count(offset, bill);
                }
                verdict
            },
            LedgerRecord::Ran { claim, outcome, bill } => self.apply_ran(offset, claim, outcome, bill),
            LedgerRecord::Bill(bill) => self.count(offset, bill),
        }
    }

    fn apply_ran(&mut self, offset: Offset, claim: &Claim, outcome: &Outcome, bill: &Bill) -> Verdict {
        let state = self.keys.entry(claim.key.clone()).or_default();
        // It is a fact that it ran, so a refusal that stands before it has no say; another claim has.
        let held = state.claim.get_or_insert_with(|| claim.clone());
        if held.request_id != claim.request_id {
            return Verdict::Claimed { holder: held.holder, request_id: held.request_id.clone() };
        }
        let verdict = state.settle(&claim.request_id, outcome);
        self.requests.insert(claim.request_id.clone(), claim.key.clone());
        self.count(offset, bill);
        verdict
    }

    fn apply_claim(&mut self, offset: Offset, claim: &Claim) -> Verdict {
        let verdict = self.keys.entry(claim.key.clone()).or_default().claim(claim);
        if verdict == Verdict::Effective {
            self.requests.insert(claim.request_id.clone(), claim.key.clone());
            self.ages.entry(offset).or_default().push(claim.request_id.clone());
        }
        verdict
    }

    fn count(&mut self, offset: Offset, bill: &Bill) -> Verdict {
        if self.bills.contains_key(&bill.request_id) {
            return Verdict::Unfounded;
        }
        self.bills.insert(bill.request_id.clone(), CountedBill { offset, bill: bill.clone() });
        self.ages.entry(offset).or_default().push(bill.request_id.clone());
        Verdict::Effective
    }

    /// What is known of a key.
    pub fn key(&self, key: &ClaimKey) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// What is known of the key that a request holds.
    pub fn request(&self, request_id: &str) -> Option<&KeyState> {
        let state = self.keys.get(self.requests.get(request_id)?)?;
        let holds = state.claim.as_ref().is_some_and(|claim| claim.request_id == request_id);
        holds.then_some(state)
    }

    /// The bill that counts for a request.
    pub fn bill(&self, request_id: &str) -> Option<&CountedBill> {
        self.bills.get(request_id)
    }

    /// All bills that count and are still remembered.
    pub fn bills(&self) -> impl Iterator<Item = &CountedBill> {
        self.bills.values()
    }

    /// Claims in effect that have no outcome yet.
    pub fn unsettled(&self) -> impl Iterator<Item = &Claim> {
        self.keys.values().filter(|state| state.outcome.is_none()).filter_map(|state| state.claim.as_ref())
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets what is older than the horizon, counted from the newest time in the stream.
    ///
    /// Unsettled claims are kept: to forget one would let its key run again.
    pub fn forget(&mut self, horizon: Duration) {
        let Some(cutoff) = self.newest.and_then(|newest| newest.checked_sub(horizon)) else {
            return;
        };
        let old = |ledger: &Self, id: &RequestId| {
            let claimed = ledger.request(id).map(|state| (state.claim.as_ref().map(|claim| claim.at), &state.outcome));
            let billed = ledger.bills.get(id).map(|counted| counted.bill.at);
            match claimed {
                Some((Some(at), Some(_))) => at < cutoff,
                Some(_) => false,
                None => billed.is_none_or(|at| at < cutoff),
            }
        };
        while let Some((offset, ids)) = self.ages.first_key_value().map(|(offset, ids)| (*offset, ids.clone())) {
            if !ids.iter().all(|id| old(self, id)) {
                return;
            }
            self.ages.remove(&offset);
            ids.iter().for_each(|id| self.forget_request(id));
        }
    }

    fn forget_request(&mut self, request_id: &str) {
        self.bills.remove(request_id);
        if let Some(key) = self.requests.remove(request_id) {
            self.keys.remove(&key);
        }
    }
}

/// Keys as a list, since JSON knows only strings as keys.
mod key_list {
    use std::collections::HashMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::claim::{ClaimKey, KeyState};

    pub(super) fn serialize<S: Serializer>(map: &HashMap<ClaimKey, KeyState>, to: S) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<HashMap<ClaimKey, KeyState>, D::Error> {
        Ok(Vec::<(ClaimKey, KeyState)>::deserialize(from)?.into_iter().collect())
    }
}
