//! A stand-in for the object store, which holds bodies by name. A write replaces the body.

use crate::faults::{FaultSwitches, Outage, consume_one};
use crate::http_server::{ConnectionId, HttpServer, RequestHandler};
use crate::http_util::*;
use crate::slow_body::limit_rate;
use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const OBJECTS_PATH: &str = "/v1/objects/";

/// The faults of the object store. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectStoreFaults {
    /// The kind of outage.
    pub outage: Outage,
    /// Delay before each request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Rate at which the body of each response is sent; 0 is no limit.
    pub body_bytes_per_s: u64,
    /// How many of the next writes take effect without a response.
    pub lose_answers: u64,
}

/// The counters of the object store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectStoreCounters {
    /// Reads, including those of unknown objects.
    pub reads: u64,
    /// Objects written.
    pub writes: u64,
}

struct Object {
    name: String,
    body: Bytes,
}

#[derive(Default)]
struct Store {
    objects: Vec<Object>,
    counters: ObjectStoreCounters,
}

/// A stand-in for the object store.
pub struct ObjectStore {
    switches: FaultSwitches<ObjectStoreFaults>,
    store: Mutex<Store>,
}

/// A handle to a running object store. Dropping it stops the store.
pub struct ObjectStoreHandle {
    server: HttpServer,
    objects: Arc<ObjectStore>,
}

impl ObjectStore {
    /// Starts an empty store; port 0 binds a free port.
    pub async fn start(address: SocketAddr) -> io::Result<ObjectStoreHandle> {
        let objects =
            Arc::new(ObjectStore { switches: FaultSwitches::default(), store: Mutex::default() });
        let server = HttpServer::start(address, objects.clone()).await?;
        Ok(ObjectStoreHandle { server, objects })
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let counters = self.store.lock().counters;
        match handle_control_request(request, &self.switches, &counters).await {
            ControlOutcome::Responded(response) => response,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => self.serve(request).await,
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(response) = outage_response(faults.outage).await {
            return response;
        }
        delay_ms(faults.slow_ms).await;
        let response = self.read_or_write(request).await?;
        Ok(limit_rate(response, faults.body_bytes_per_s).await)
    }

    async fn read_or_write(&self, request: Request<Incoming>) -> HandlerResult {
        let Some(name) = request.uri().path().strip_prefix(OBJECTS_PATH).map(percent_decode) else {
            return not_found();
        };
        match *request.method() {
            Method::PUT => self.put(name, read_body(request).await?),
            Method::GET => self.get(&name),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT\n"),
        }
    }

    fn put(&self, name: String, body: Bytes) -> HandlerResult {
        self.store.lock().put(name, body);
        if self.switches.update(|faults| consume_one(&mut faults.lose_answers)) {
            return Err(CloseConnection);
        }
        text_response(StatusCode::OK, "")
    }

    fn get(&self, name: &str) -> HandlerResult {
        match self.store.lock().get(name) {
            Some(body) => build_response(StatusCode::OK, "application/octet-stream", body),
            None => not_found(),
        }
    }
}

impl Store {
    fn put(&mut self, name: String, body: Bytes) {
        self.counters.writes += 1;
        match self.objects.binary_search_by(|object| object.name.cmp(&name)) {
            Ok(index) => self.objects[index].body = body,
            Err(index) => self.objects.insert(index, Object { name, body }),
        }
    }

    fn get(&mut self, name: &str) -> Option<Bytes> {
        self.counters.reads += 1;
        let index = self.objects.binary_search_by(|object| object.name.as_str().cmp(name));
        index.ok().map(|index| self.objects[index].body.clone())
    }
}

impl RequestHandler for ObjectStore {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.respond(request).boxed()
    }
}

impl ObjectStoreHandle {
    /// Returns the address that the object store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> ObjectStoreFaults {
        self.objects.switches.get()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ObjectStoreFaults) {
        self.objects.switches.set(faults);
    }

    /// Returns the counters.
    pub fn counters(&self) -> ObjectStoreCounters {
        self.objects.store.lock().counters
    }

    /// Stops the object store and waits until its port is free.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the object store has been stopped.
    pub async fn wait_stopped(&self) {
        self.server.wait_stopped().await;
    }
}
