//! Bills: one for each request, the first in offset order.

use std::time::SystemTime;

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
