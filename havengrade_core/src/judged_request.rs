//! What the quarantine judges of a request: the request as a whole, and the parts of its prompt.

use crate::fingerprint::{PartFingerprint, RequestFingerprint, SubjectFingerprint};

/// A request and the parts of its prompt that other requests may share, each of which is judged by itself.
///
/// ```
/// use havengrade_core::quarantine::JudgedRequest;
///
/// assert_eq!(JudgedRequest::from(7), JudgedRequest { request: 7, parts: Vec::new() });
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JudgedRequest {
    /// The request as a whole.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartFingerprint>,
}

impl From<RequestFingerprint> for JudgedRequest {
    /// A request without shared parts.
    fn from(request: RequestFingerprint) -> Self {
        Self { request, parts: Vec::new() }
    }
}

impl JudgedRequest {
    /// The request and its parts.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = SubjectFingerprint> {
        [self.request].into_iter().chain(self.parts.iter().copied())
    }
}
