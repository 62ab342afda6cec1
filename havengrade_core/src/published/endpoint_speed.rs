//! Speed of endpoints: how much longer work takes at each one than at an average endpoint of its service.

use crate::ids::EndpointId;

/// The speed of an endpoint, as an entry of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedSpeed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How much longer work takes there than at an average endpoint of the service; above 0.
    pub slowness: f64,
    /// Number of measurements.
    pub samples: u32,
}
