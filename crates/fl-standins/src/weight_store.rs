//! The weight store, whose rate all readers share.

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

/// How the weight store is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightStoreOptions {
    /// Bytes a second for all readers together; 0 is no limit.
    pub rate_bytes_per_s: u64,
    /// Size of the weights of every model, in bytes.
    pub model_bytes: u64,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        WeightStoreOptions { rate_bytes_per_s: 16 * 1024 * 1024, model_bytes: 4 * 1024 * 1024 }
    }
}

/// Faults of the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WeightStoreFaults {
    /// How it is out.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
}

/// The stand-in weight store.
pub struct WeightStore {
    options: WeightStoreOptions,
    switches: FaultSwitches<WeightStoreFaults>,
    free_at: Mutex<Option<Instant>>,
    sent_bytes: Mutex<u64>,
}

/// A running weight store; dropping it ends it.
pub struct WeightStoreHandle {
    server: HttpServer,
    weights: Arc<WeightStore>,
}

impl WeightStore {
    /// Starts a store; port 0 chooses a free one.
    pub async fn start(
        address: SocketAddr,
        options: WeightStoreOptions,
    ) -> io::Result<WeightStoreHandle> {
        let weights = Arc::new(WeightStore {
            options,
            switches: FaultSwitches::default(),
            free_at: Mutex::default(),
            sent_bytes: Mutex::default(),
        });
        let server = HttpServer::start(address, weights.clone()).await?;
        Ok(WeightStoreHandle { server, weights })
    }

    async fn reply(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let sent_bytes = *self.sent_bytes.lock();
        match handle_control_request(request, &self.switches, &sent_bytes).await {
            ControlOutcome::Responded(reply) => reply,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => self.serve(request).await,
        }
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(reply) = outage_response(faults.outage).await {
            return reply;
        }
        delay_ms(faults.slow_ms).await;
        let known = request.uri().path().starts_with(WEIGHTS_PATH);
        if request.method() != Method::GET || !known {
            return not_found();
        }
        let left_bytes = self.options.model_bytes;
        let chunks = stream::unfold((self, left_bytes), next_chunk);
        Ok(Response::new(StreamBody::new(chunks).boxed_unsync()))
    }

    /// Reserves the time in which the chunk leaves and gives the wait until then.
    fn reserve(&self, chunk_bytes: u64) -> Duration {
        *self.sent_bytes.lock() += chunk_bytes;
        if self.options.rate_bytes_per_s == 0 {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let takes =
            Duration::from_secs_f64(chunk_bytes as f64 / self.options.rate_bytes_per_s as f64);
        let mut free_at = self.free_at.lock();
        let begins_at = free_at.map_or(now, |free_at| free_at.max(now));
        *free_at = Some(begins_at + takes);
        begins_at + takes - now
    }
}

type Chunk = Result<Frame<Bytes>, Infallible>;

async fn next_chunk(state: (Arc<WeightStore>, u64)) -> Option<(Chunk, (Arc<WeightStore>, u64))> {
    let (weights, left_bytes) = state;
    if left_bytes == 0 {
        return None;
    }
    let chunk_bytes = left_bytes.min(CHUNK_BYTES);
    tokio::time::sleep(weights.reserve(chunk_bytes)).await;
    let frame = Frame::data(Bytes::from(vec![0; chunk_bytes as usize]));
    Some((Ok(frame), (weights, left_bytes - chunk_bytes)))
}

impl RequestHandler for WeightStore {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.reply(request).boxed()
    }
}

impl WeightStoreHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that are on.
    pub fn faults(&self) -> WeightStoreFaults {
        self.weights.switches.get()
    }

    /// Sets the faults whole.
    pub fn set_faults(&self, faults: WeightStoreFaults) {
        self.weights.switches.set(faults);
    }

    /// Bytes sent since it started.
    pub fn sent_bytes(&self) -> u64 {
        *self.weights.sent_bytes.lock()
    }

    /// Stops it and waits until its port is free.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until it was stopped.
    pub async fn wait_stopped(&self) {
        self.server.wait_stopped().await;
    }
}
