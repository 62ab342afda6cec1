//! The platform's list of VMs, including those about to shut down.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use havengrade_core::{ids::EndpointId, membership::ListedVm};
use serde::{Deserialize, Serialize};

use crate::http::{ConnectionReuse, HttpClient, HttpError, get};

/// An endpoint's VM as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Whether the platform is about to shut down the endpoint's VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The complete list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// VMs of the router.
    pub entries: Vec<ListedVm>,
    /// VMs that run endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The VM list.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the complete list.
    async fn read(&self) -> Result<VmListing, HttpError>;
}

/// The VM list over HTTP.
pub struct HttpVmList {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;

impl HttpVmList {
    /// A client of the VM list at an address; a read fails after `timeout`.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self { client, address, timeout }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn read(&self) -> Result<VmListing, HttpError> {
        let request = get(&format!("http://{}/vms", self.address));
        let answer =
            self.client.call(self.address, request, ConnectionReuse::Allowed, self.timeout, MAX_LIST_BYTES).await?;
        let body = answer.into_ok_body(self.address)?;
        serde_json::from_slice(&body)
            .map_err(|error| HttpError::InvalidBody { address: self.address, reason: error.to_string() })
    }
}
