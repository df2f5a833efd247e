//! A node with a stub platform, for tests of how it handles lists and replies.

// Each test file uses a part of this module.
#![allow(dead_code)]
#![allow(clippy::expect_used)]

use async_trait::async_trait;
use bytes::Bytes;
use fl_forward::log::Log;
use fl_forward::{Node, PlatformAdapters};
use fl_kernel::forward::{
    CallCodec, ForwardBounds, ForwardSettings, InvalidCall, PlatformDuties, PlatformError,
    PlatformStore, Refusal, ResponseHead, RouteTableRead, RouteTableResponse, SendOptions,
    ServerList, StoreRevision, StoredRow, WriteOutcome,
};
use fl_protocol::VmLimits;
use fl_protocol::forward::{CallHead, ResponseNotices, ServerEntry, ServerState, StoreVersion};
use http::{HeaderMap, Request, request, response};
use http_body_util::Full;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

struct StubCodec;

impl CallCodec for StubCodec {
    fn parse_request(&self, _: &request::Parts) -> Result<CallHead, InvalidCall> {
        Err(InvalidCall::Host)
    }

    fn forwarded_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }

    fn build_request(
        &self,
        _: &request::Parts,
        _: &HeaderMap,
        body: Bytes,
        _: &SendOptions,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::builder().body(Full::new(body))
    }

    fn parse_response(&self, _: &str, head: &response::Parts) -> ResponseHead {
        ResponseHead {
            status: head.status,
            matches_call: false,
            not_run: false,
            is_misdirected: false,
            is_signed: false,
            load: None,
            notices: ResponseNotices::default(),
            keep_alive: None,
        }
    }

    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }

    fn refusal_headers(&self, _: Option<&str>, _: &Refusal) -> HeaderMap {
        HeaderMap::new()
    }
}

fn refuse<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Refused("the stub store supports no such call".to_string()))
}

/// Returns the settings of a node in data centre `zone-a`.
pub fn settings(name: &str) -> ForwardSettings {
    let address = ([127, 0, 0, 1], 0).into();
    ForwardSettings {
        vm: name.to_string(),
        zone: "zone-a".to_string(),
        zones: vec!["zone-a".to_string()],
        caller_address: address,
        readiness_address: address,
        peer_address: ([127, 0, 0, 1], 7500).into(),
        metrics_address: address,
        is_first_start: true,
        server_heartbeat: Duration::from_millis(1200),
        reports_usage: false,
        orders_fleet: false,
        store_writes_per_s: 100.0,
        has_rollouts: false,
        vm_limits: VmLimits::default(),
        bounds: ForwardBounds::default(),
    }
}

/// Creates a node that has read nothing yet from its store.
pub fn node(name: &str, store: Arc<StubStore>) -> Node {
    node_with_store(name, store)
}

/// Creates a node like [`node`], with any store.
pub fn node_with_store(name: &str, store: Arc<dyn PlatformStore>) -> Node {
    node_with_adapters(settings(name), store, None)
}

/// Creates a node with any settings, store and API for duties.
pub fn node_with_adapters(
    settings: ForwardSettings,
    store: Arc<dyn PlatformStore>,
    duties: Option<Arc<dyn PlatformDuties>>,
) -> Node {
    let log = Log::to_stdout(&settings.vm, "zone-a").expect("a log");
    let platform = PlatformAdapters { codec: Arc::new(StubCodec), store, duties };
    Node::new(settings, platform, log)
}

/// A store that always returns the same list of servers, counts these reads and refuses every other
/// call.
#[derive(Default)]
pub struct StubStore {
    /// The list that every read returns.
    pub list: ServerList,
    /// Number of reads so far.
    pub reads: AtomicUsize,
}

#[async_trait]
impl PlatformStore for StubStore {
    async fn read_route_table(&self) -> Result<RouteTableRead, PlatformError> {
        refuse()
    }

    fn incarnation(&self) -> Option<u64> {
        Some(0)
    }

    async fn wait_for_route_table(
        &self,
        _: StoreVersion,
        _: Duration,
    ) -> Result<RouteTableResponse, PlatformError> {
        refuse()
    }

    async fn read_servers(&self) -> Result<ServerList, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.list.clone())
    }

    async fn read_rows(&self, _: &str) -> Result<Vec<StoredRow>, PlatformError> {
        refuse()
    }

    async fn read_row(&self, _: &str, _: &str) -> Result<Option<StoredRow>, PlatformError> {
        refuse()
    }

    async fn write_row(
        &self,
        _: &str,
        _: &str,
        _: &str,
        _: StoreRevision,
    ) -> Result<WriteOutcome, PlatformError> {
        refuse()
    }
}

/// Returns a version of a store that names no incarnation.
pub fn store_version(revision: u64) -> StoreVersion {
    StoreVersion { incarnation: 0, revision }
}

/// Returns the registry entry of a server that takes calls.
pub fn entry(name: &str, service: &str, slots: u32) -> ServerEntry {
    ServerEntry {
        name: name.to_string(),
        service: service.to_string(),
        address: ([127, 0, 0, 1], 8000).into(),
        zone: "zone-a".to_string(),
        slots,
        state: ServerState::Ready,
        reclaimable: false,
        born_ms: None,
        software_version: String::new(),
    }
}
