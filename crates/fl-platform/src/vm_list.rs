//! Reads the lagging VM list and the cloud's reclaim notices.

use crate::http::{HttpClient, HttpError, Reuse};
use fl_protocol::platform::{Price, ReclaimNotice, Vm};
use std::net::SocketAddr;
use std::time::Duration;

/// Reads what the platform says of VMs; each call is one try.
#[derive(Debug, Clone)]
pub struct VmListClient {
    http: HttpClient,
    vm_list: SocketAddr,
    cloud: SocketAddr,
    timeout: Duration,
}

impl VmListClient {
    /// Makes a client; `timeout` bounds each call.
    pub fn new(vm_list: SocketAddr, cloud: SocketAddr, timeout: Duration) -> Self {
        VmListClient { http: HttpClient::new(Reuse::Pooled), vm_list, cloud, timeout }
    }

    /// Reads the list of VMs, which lags.
    pub async fn vms(&self) -> Result<Vec<Vm>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/vms", self.vm_list), self.timeout).await
    }

    /// Reads the reclaim notices in force.
    pub async fn notices(&self) -> Result<Vec<ReclaimNotice>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/notices", self.cloud), self.timeout).await
    }

    /// Reads the prices of machine classes.
    pub async fn prices(&self) -> Result<Vec<Price>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/prices", self.cloud), self.timeout).await
    }
}
