//! Client for the VM list, the reclaim notices and the prices of the cloud.

use crate::http::{ConnectionReuse, HttpClient, HttpError, build_json_request};
use bytes::Bytes;
use fl_protocol::platform::{Price, ReclaimNotice, Vm};
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Client for the VM list and the cloud; calls are not retried.
#[derive(Debug, Clone)]
pub struct VmListClient {
    http: HttpClient,
    vm_list: SocketAddr,
    cloud: SocketAddr,
    timeout: Duration,
}

impl VmListClient {
    /// Creates a client; `timeout` bounds each call.
    pub fn new(vm_list: SocketAddr, cloud: SocketAddr, timeout: Duration) -> Self {
        VmListClient { http: HttpClient::new(ConnectionReuse::Pooled), vm_list, cloud, timeout }
    }

    /// Returns the VM list with its entity tag, or `None` if it still has the tag `known_tag`.
    ///
    /// The list lags behind the cloud. At the size of `docs/CAPACITY.md` it has 230 KB and changes a
    /// few hundred times a day, so it must not be transferred on every read.
    pub async fn read_vms(
        &self,
        known_tag: Option<&HeaderValue>,
    ) -> Result<Option<(Vec<Vm>, Option<HeaderValue>)>, HttpError> {
        let uri = format!("http://{}/v1/vms", self.vm_list);
        let mut request = build_json_request(Method::GET, &uri, Bytes::new())?;
        if let Some(tag) = known_tag {
            request.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let response = self.http.fetch(request, self.timeout).await?;
        if response.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = response.headers.get(ETAG).cloned();
        Ok(Some((crate::http::read_json(&uri, response)?, tag)))
    }

    /// Returns the reclaim notices in force.
    pub async fn read_reclaim_notices(&self) -> Result<Vec<ReclaimNotice>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/notices", self.cloud), self.timeout).await
    }

    /// Returns the prices of all machine classes.
    pub async fn read_prices(&self) -> Result<Vec<Price>, HttpError> {
        self.http.get_json(&format!("http://{}/v1/prices", self.cloud), self.timeout).await
    }
}
