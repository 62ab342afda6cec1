//! Bills: one for each request, the first in offset order.

use std::{collections::HashMap, time::SystemTime};

use serde::{Deserialize, Serialize};

use crate::{
    cost::Usage,
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
    pub usage: Usage,
    /// Amount owed over all steps of the cascade.
    pub cost: Micros,
    /// When the answer was complete.
    pub at: SystemTime,
}

/// The bills that count, gathered from the streams that carry them.
///
/// A bill stands in the stream of bills, or in the ledger with the outcome of its request. It may stand
/// there more than once, since an append whose answer was lost is repeated.
#[derive(Clone, Debug, Default)]
pub struct Bills {
    by_request: HashMap<RequestId, Bill>,
}

impl Bills {
    /// Adds a bill unless its request has one; tells whether it counts.
    pub fn add(&mut self, bill: &Bill) -> bool {
        let is_first = !self.by_request.contains_key(&bill.request_id);
        if is_first {
            self.by_request.insert(bill.request_id.clone(), bill.clone());
        }
        is_first
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
