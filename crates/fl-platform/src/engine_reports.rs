//! Client for the reports of engines: load, cache events and loaded models.

use crate::http::{ConnectionReuse, HttpClient, HttpError};
use fl_protocol::engine::{CacheEvents, EngineState, LoadReport};
use std::time::Duration;

/// Client for the reports of engines; calls are not retried.
#[derive(Debug, Clone)]
pub struct EngineReportClient {
    http: HttpClient,
    timeout: Duration,
}

impl EngineReportClient {
    /// Creates a client; `timeout` bounds each call.
    pub fn new(timeout: Duration) -> Self {
        EngineReportClient { http: HttpClient::new(ConnectionReuse::Pooled), timeout }
    }

    /// Reads the load report of the engine at `address` (`ip:port`).
    pub async fn read_load(&self, address: &str) -> Result<LoadReport, HttpError> {
        self.http.get_json(&format!("http://{address}/v1/load"), self.timeout).await
    }

    /// Reads the cache events with sequence numbers above `after` that the engine still keeps.
    pub async fn read_cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<CacheEvents, HttpError> {
        let uri = format!("http://{address}/v1/cache-events?after={after}");
        self.http.get_json(&uri, self.timeout).await
    }

    /// Reads which models the engine has loaded.
    pub async fn read_state(&self, address: &str) -> Result<EngineState, HttpError> {
        self.http.get_json(&format!("http://{address}/v1/state"), self.timeout).await
    }
}
