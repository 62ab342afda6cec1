//! Bills: one for each request, the first in offset order.

use std::{
    collections::{HashMap, HashSet},
    time::SystemTime,
};

use serde::{Deserialize, Serialize};

use crate::{
    cost::TokenUsage,
    ids::{AccountId, ClassId, EndpointId, Micros, RequestId, VersionId},
};

/// What a client account owes for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request that it is for.
    pub request_id: RequestId,
    /// Client account that owes it.
    pub account: AccountId,
    /// Idempotency key of the request, if it has one.
    pub key: Option<String>,
    /// Request class.
    pub class: ClassId,
    /// Version that gave the answer; none for plain services and scripts.
    pub version: Option<VersionId>,
    /// Endpoint that gave the answer.
    pub endpoint: EndpointId,
    /// Tokens used over all steps of the cascade.
    pub usage: TokenUsage,
    /// Amount owed over all steps of the cascade.
    pub cost: Micros,
    /// When the answer was complete.
    pub at: SystemTime,
}

/// The bills that count, gathered from the streams that carry them.
///
/// A bill stands in the stream of bills, or in the ledger with the outcome of its request. It may stand
/// there more than once, since an append whose answer was lost is repeated; and attempts with one key may
/// each leave one, since only the first in offset order counts.
///
/// ```
/// # use havengrade_core::{billing::{Bill, Bills}, cost::TokenUsage};
/// # let bill = |id: &str, key: Option<&str>| Bill {
/// #     request_id: id.into(), account: "gate".into(), key: key.map(str::to_owned), class: "pledge".into(),
/// #     version: None, endpoint: "e".into(), usage: TokenUsage::default(), cost: 1, at: std::time::SystemTime::UNIX_EPOCH,
/// # };
/// let mut bills = Bills::default();
/// assert!(bills.add(&bill("vm-1.a", Some("pledge-7"))));
/// assert!(!bills.add(&bill("vm-2.b", Some("pledge-7"))));
/// assert!(bills.add(&bill("vm-2.c", None)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Bills {
    by_request: HashMap<RequestId, Bill>,
    keys: HashSet<(AccountId, String)>,
}

impl Bills {
    /// Adds a bill unless its request, or its key, has one; tells whether it counts.
    pub fn add(&mut self, bill: &Bill) -> bool {
        let key = bill.key.as_ref().map(|key| (bill.account.clone(), key.clone()));
        let has_one = key.as_ref().is_some_and(|key| self.keys.contains(key));
        if has_one || self.by_request.contains_key(&bill.request_id) {
            return false;
        }
        self.keys.extend(key);
        self.by_request.insert(bill.request_id.clone(), bill.clone());
        true
    }

    /// The bill of a request.
    pub fn get(&self, request_id: &str) -> Option<&Bill> {
        self.by_request.get(request_id)
    }

    /// All bills.
    pub fn iter(&self) -> impl Iterator<Item = &Bill> {
        self.by_request.values()
    }

    /// Number of bills.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether there is no bill.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
