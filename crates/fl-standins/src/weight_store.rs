//! A stand-in for the weight store, whose bandwidth all readers share.

use crate::faults::{FaultSwitches, Outage};
use crate::http_server::{ConnectionId, HttpServer, RequestHandler};
use crate::http_util::*;
use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use futures::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const WEIGHTS_PATH: &str = "/v1/weights/";
const CHUNK_BYTES: u64 = 64 * 1024;

/// The options of the weight store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightStoreOptions {
    /// Bandwidth for all readers together, in bytes per second; 0 means no limit.
    pub rate_bytes_per_s: u64,
    /// Size of the weights of each model, in bytes.
    pub model_bytes: u64,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        WeightStoreOptions { rate_bytes_per_s: 16 * 1024 * 1024, model_bytes: 4 * 1024 * 1024 }
    }
}

/// The faults of the weight store. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WeightStoreFaults {
    /// The kind of outage.
    pub outage: Outage,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
}

/// A stand-in for the weight store. For any model name it serves a body filled with zeros.
pub struct WeightStore {
    options: WeightStoreOptions,
    switches: FaultSwitches<WeightStoreFaults>,
    /// When the bandwidth that is reserved so far has been used up.
    idle_at: Mutex<Option<Instant>>,
    sent_bytes: Mutex<u64>,
}

/// A handle to a running weight store. Dropping it stops the store.
pub struct WeightStoreHandle {
    server: HttpServer,
    weights: Arc<WeightStore>,
}

impl WeightStore {
    /// Starts a store; port 0 binds a free port.
    pub async fn start(
        address: SocketAddr,
        options: WeightStoreOptions,
    ) -> io::Result<WeightStoreHandle> {
        let weights = Arc::new(WeightStore {
            options,
            switches: FaultSwitches::default(),
            idle_at: Mutex::default(),
            sent_bytes: Mutex::default(),
        });
        let server = HttpServer::start(address, weights.clone()).await?;
        Ok(WeightStoreHandle { server, weights })
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let sent_bytes = *self.sent_bytes.lock();
        match handle_control_request(request, &self.switches, &sent_bytes).await {
            ControlOutcome::Responded(response) => response,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => self.serve(request).await,
        }
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(response) = outage_response(faults.outage).await {
            return response;
        }
        delay_ms(faults.slow_ms).await;
        let is_weights_path = request.uri().path().starts_with(WEIGHTS_PATH);
        if request.method() != Method::GET || !is_weights_path {
            return not_found();
        }
        let remaining_bytes = self.options.model_bytes;
        let chunks = stream::unfold((self, remaining_bytes), next_chunk);
        Ok(Response::new(StreamBody::new(chunks).boxed_unsync()))
    }

    /// Reserves bandwidth for a chunk and returns the wait until it has been sent.
    fn reserve(&self, chunk_bytes: u64) -> Duration {
        *self.sent_bytes.lock() += chunk_bytes;
        if self.options.rate_bytes_per_s == 0 {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let duration =
            Duration::from_secs_f64(chunk_bytes as f64 / self.options.rate_bytes_per_s as f64);
        let mut idle_at = self.idle_at.lock();
        let starts_at = idle_at.map_or(now, |idle_at| idle_at.max(now));
        *idle_at = Some(starts_at + duration);
        starts_at + duration - now
    }
}

type ChunkFrame = Result<Frame<Bytes>, Infallible>;

async fn next_chunk(
    state: (Arc<WeightStore>, u64),
) -> Option<(ChunkFrame, (Arc<WeightStore>, u64))> {
    let (weights, remaining_bytes) = state;
    if remaining_bytes == 0 {
        return None;
    }
    let chunk_bytes = remaining_bytes.min(CHUNK_BYTES);
    tokio::time::sleep(weights.reserve(chunk_bytes)).await;
    let frame = Frame::data(Bytes::from(vec![0; chunk_bytes as usize]));
    Some((Ok(frame), (weights, remaining_bytes - chunk_bytes)))
}

impl RequestHandler for WeightStore {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.respond(request).boxed()
    }
}

impl WeightStoreHandle {
    /// Returns the address that the weight store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> WeightStoreFaults {
        self.weights.switches.get()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: WeightStoreFaults) {
        self.weights.switches.set(faults);
    }

    /// Returns the bytes of weights sent since the start.
    pub fn sent_bytes(&self) -> u64 {
        *self.weights.sent_bytes.lock()
    }

    /// Stops the weight store and waits until its port is free.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the weight store has been stopped.
    pub async fn wait_stopped(&self) {
        self.server.wait_stopped().await;
    }
}
