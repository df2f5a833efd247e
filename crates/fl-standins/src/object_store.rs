//! The object store: immutable or rewritten bodies by name.

use crate::faults::{FaultSwitches, Outage, consume_one};
use crate::http_server::{ConnectionId, HttpServer, RequestHandler};
use crate::http_util::*;
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

/// Faults of the object store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectStoreFaults {
    /// How it is out.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// Writes to come whose answer is lost after the effect.
    pub lose_answers: u64,
}

/// What the object store counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectStoreCounters {
    /// ObjectStore read.
    pub reads: u64,
    /// ObjectStore written.
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

/// The stand-in object store.
pub struct ObjectStore {
    switches: FaultSwitches<ObjectStoreFaults>,
    store: Mutex<Store>,
}

/// A running object store; dropping it ends it.
pub struct ObjectStoreHandle {
    server: HttpServer,
    objects: Arc<ObjectStore>,
}

impl ObjectStore {
    /// Starts an empty store; port 0 chooses a free one.
    pub async fn start(address: SocketAddr) -> io::Result<ObjectStoreHandle> {
        let objects =
            Arc::new(ObjectStore { switches: FaultSwitches::default(), store: Mutex::default() });
        let server = HttpServer::start(address, objects.clone()).await?;
        Ok(ObjectStoreHandle { server, objects })
    }

    async fn reply(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let counters = self.store.lock().counters;
        match handle_control_request(request, &self.switches, &counters).await {
            ControlOutcome::Responded(reply) => reply,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => self.serve(request).await,
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(reply) = outage_response(faults.outage).await {
            return reply;
        }
        delay_ms(faults.slow_ms).await;
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
        let found = self.objects.binary_search_by(|object| object.name.as_str().cmp(name));
        found.ok().map(|index| self.objects[index].body.clone())
    }
}

impl RequestHandler for ObjectStore {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.reply(request).boxed()
    }
}

impl ObjectStoreHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that are on.
    pub fn faults(&self) -> ObjectStoreFaults {
        self.objects.switches.get()
    }

    /// Sets the faults whole.
    pub fn set_faults(&self, faults: ObjectStoreFaults) {
        self.objects.switches.set(faults);
    }

    /// What it counted.
    pub fn counters(&self) -> ObjectStoreCounters {
        self.objects.store.lock().counters
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
