//! Billing: each request is billed once, by its first bill in offset order.

use std::{
    collections::{HashMap, HashSet},
    time::SystemTime,
};

use serde::{Deserialize, Serialize};

use crate::{
    cost::TokenUsage,
    ids::{AccountId, ClassId, EndpointId, Micros, RequestId, VersionId},
};

/// Charge to a client account for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the billed request.
    pub request_id: RequestId,
    /// Client account that is charged.
    pub account: AccountId,
    /// Idempotency key of the request, if any.
    pub key: Option<String>,
    /// Request class.
    pub class: ClassId,
    /// Model version that answered; `None` for plain services and scripts.
    pub version: Option<VersionId>,
    /// Endpoint that answered.
    pub endpoint: EndpointId,
    /// Tokens used by all steps of the cascade.
    pub usage: TokenUsage,
    /// Total cost of all steps of the cascade.
    pub cost: Micros,
    /// Time at which the answer was complete.
    pub at: SystemTime,
}

/// Deduplicated bills from the log streams that carry them.
///
/// A bill is stored in the stream of bills, or in the ledger together with the outcome of its request.
/// It may occur more than once, since an append is repeated when its reply is lost. Several attempts with
/// the same key may also write one bill each. Only the first in offset order counts.
///
/// ```
/// # use havengrade_core::{billing::{Bill, Bills}, cost::TokenUsage};
/// # let bill = |id: &str, key: Option<&str>| Bill {
/// #     request_id: id.into(), account: "gate".into(), key: key.map(str::to_owned), class: "pledge".into(),
/// #     version: None, endpoint: "e".into(), usage: TokenUsage::default(), cost: 1,
/// #     at: std::time::SystemTime::UNIX_EPOCH,
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
    /// Adds a bill unless its request or its key has already been billed. Returns whether it was added.
    pub fn add(&mut self, bill: &Bill) -> bool {
        let key = bill.key.as_ref().map(|key| (bill.account.clone(), key.clone()));
        let is_key_billed = key.as_ref().is_some_and(|key| self.keys.contains(key));
        if is_key_billed || self.by_request.contains_key(&bill.request_id) {
            return false;
        }
        self.keys.extend(key);
        self.by_request.insert(bill.request_id.clone(), bill.clone());
        true
    }

    /// Returns the bill of a request.
    pub fn get(&self, request_id: &str) -> Option<&Bill> {
        self.by_request.get(request_id)
    }

    /// Returns all bills in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Bill> {
        self.by_request.values()
    }

    /// Returns the number of bills.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether there are no bills.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
