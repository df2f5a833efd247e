//! Reads the lagging VM list and the cloud's reclaim notices.

use crate::http::{ConnectionReuse, HttpClient, HttpError, build_json_request};
use bytes::Bytes;
use fl_protocol::platform::{Price, ReclaimNotice, Vm};
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, StatusCode};
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
        VmListClient { http: HttpClient::new(ConnectionReuse::Pooled), vm_list, cloud, timeout }
    }

    /// Reads the list of VMs, which lags; `None` when it is still the one that `known` names.
    ///
    /// At the size of `docs/CAPACITY.md` the list has 230 KB and changes a few hundred times a day, so
    /// it must not travel with each reading.
    pub async fn read_vms(
        &self,
        known: Option<&HeaderValue>,
    ) -> Result<Option<(Vec<Vm>, Option<HeaderValue>)>, HttpError> {
        let uri = format!("http://{}/v1/vms", self.vm_list);
        let mut request = build_json_request(Method::GET, &uri, Bytes::new())?;
        if let Some(tag) = known {
            request.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let reply = self.http.fetch(request, self.timeout).await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = reply.headers.get(ETAG).cloned();
        Ok(Some((crate::http::read_json(&uri, reply)?, tag)))
    }

    /// Reads the reclaim notices in force.
    pub async fn read_reclaim_notices(&self) -> Result<Vec<ReclaimNotice>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/notices", self.cloud), self.timeout).await
    }

    /// Reads the prices of machine classes.
    pub async fn read_prices(&self) -> Result<Vec<Price>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/prices", self.cloud), self.timeout).await
    }
}
