//! A stand-in for a plain service on an application server: stock look-ups, and bookings and
//! deposits whose runs are counted by idempotency key.

use crate::clock::unix_ms;
use crate::faults::{FaultSwitches, Outage, consume_one};
use crate::http_server::{ConnectionId, HttpServer, RequestHandler};
use crate::http_util::*;
use fl_protocol::UnixMs;
use fl_protocol::chat::IDEMPOTENCY_KEY_HEADER;
use fl_protocol::engine::LoadReport;
use fl_protocol::hash64;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const STOCK_PATH: &str = "/stock/";
const BOOKINGS_PATH: &str = "/bookings";
const DEPOSITS_PATH: &str = "/deposits";
const RUNS_PATH: &str = "/runs";
const LOAD_PATH: &str = "/v1/load";
/// The bound below which the stock of an item lies, in pieces.
const STOCK_LIMIT_PIECES: u64 = 20;

/// The options of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainServiceOptions {
    /// The name of the VM that the service claims to run on.
    pub vm: String,
    /// Concurrent calls that the load report states as the capacity; more are run all the same.
    pub slots: u32,
}

impl Default for PlainServiceOptions {
    fn default() -> Self {
        PlainServiceOptions { vm: "application-1".to_string(), slots: 64 }
    }
}

/// The faults of a plain service. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainServiceFaults {
    /// The kind of outage.
    pub outage: Outage,
    /// Delay before a call takes effect, in milliseconds.
    pub delay_before_effect_ms: u64,
    /// Delay from the effect of a call to its response, in milliseconds.
    pub delay_after_effect_ms: u64,
    /// How many of the next calls take effect without a response.
    pub lose_answers: u64,
    /// Whether every call takes effect without a response.
    pub lose_all_answers: bool,
    /// Whether calls fail with status 500 without any effect.
    pub fail_before_effect: bool,
    /// Whether calls fail with status 500 after they took effect.
    pub fail_after_effect: bool,
    /// The time at which the VM goes away, as the load report states it.
    pub leaving_at_ms: Option<UnixMs>,
}

/// How often the call with one idempotency key was run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The idempotency key of the call; empty for calls without one.
    pub key: String,
    /// Runs since the start of the service.
    pub count: u64,
}

/// The response to a booking or deposit. It names the call, so that the caller can check that the
/// response is its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The idempotency key of the call.
    pub key: String,
    /// The number of this run among all runs of this server, counted from 1.
    pub number: u64,
}

/// The response to a stock look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stock {
    /// The name of the item.
    pub item: String,
    /// Pieces in stock; derived from the name, so that it is always the same for an item.
    pub pieces: u64,
}

#[derive(Default)]
struct State {
    runs: Vec<RunCount>,
    runs_total: u64,
    running: u32,
}

impl State {
    /// Counts a run and returns its number.
    fn record_run(&mut self, key: &str) -> u64 {
        match self.runs.binary_search_by(|run| run.key.as_str().cmp(key)) {
            Ok(index) => self.runs[index].count += 1,
            Err(index) => self.runs.insert(index, RunCount { key: key.to_string(), count: 1 }),
        }
        self.runs_total += 1;
        self.runs_total
    }
}

/// A stand-in for a plain service.
pub struct PlainService {
    options: PlainServiceOptions,
    switches: FaultSwitches<PlainServiceFaults>,
    state: Mutex<State>,
}

/// A handle to a running plain service. Dropping it stops the service.
pub struct PlainServiceHandle {
    server: HttpServer,
    service: Arc<PlainService>,
}

impl PlainService {
    /// Starts a service without any runs; port 0 binds a free port.
    pub async fn start(
        address: SocketAddr,
        options: PlainServiceOptions,
    ) -> io::Result<PlainServiceHandle> {
        let switches = FaultSwitches::default();
        let service = Arc::new(PlainService { options, switches, state: Mutex::default() });
        let server = HttpServer::start(address, service.clone()).await?;
        Ok(PlainServiceHandle { server, service })
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let runs = self.state.lock().runs.clone();
        match handle_control_request(request, &self.switches, &runs).await {
            ControlOutcome::Responded(response) => response,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) if request.uri().path() == RUNS_PATH => {
                json_response(StatusCode::OK, &runs)
            }
            ControlOutcome::NotControl(request) => self.serve(request).await,
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(response) = outage_response(faults.outage).await {
            return response;
        }
        if request.uri().path() == LOAD_PATH {
            return json_response(StatusCode::OK, &self.load_report(&faults));
        }
        self.state.lock().running += 1;
        let response = self.run(request, &faults).await;
        self.state.lock().running -= 1;
        response
    }

    async fn run(&self, request: Request<Incoming>, faults: &PlainServiceFaults) -> HandlerResult {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let key = read_header(&request, IDEMPOTENCY_KEY_HEADER);
        read_body(request).await?;
        delay_ms(faults.delay_before_effect_ms).await;
        if faults.fail_before_effect {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed before the effect\n");
        }
        let response = match (&method, path.as_str()) {
            (&Method::POST, BOOKINGS_PATH | DEPOSITS_PATH) => {
                let number = self.state.lock().record_run(&key);
                json_response(StatusCode::CREATED, &Receipt { key, number })
            }
            (&Method::GET, path) => match path.strip_prefix(STOCK_PATH) {
                Some(item) => json_response(StatusCode::OK, &look_up_stock(item)),
                None => not_found(),
            },
            _ => not_found(),
        };
        delay_ms(faults.delay_after_effect_ms).await;
        self.respond_after_effect(response, faults)
    }

    fn respond_after_effect(
        &self,
        response: HandlerResult,
        faults: &PlainServiceFaults,
    ) -> HandlerResult {
        let lose_response = self.switches.update(|faults| consume_one(&mut faults.lose_answers));
        if lose_response || faults.lose_all_answers {
            return Err(CloseConnection);
        }
        if faults.fail_after_effect {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed after the effect\n");
        }
        response
    }

    fn load_report(&self, faults: &PlainServiceFaults) -> LoadReport {
        let running = self.state.lock().running;
        LoadReport {
            as_of_ms: unix_ms(),
            running,
            slots: self.options.slots,
            leaving_at_ms: faults.leaving_at_ms,
            ..LoadReport::default()
        }
    }
}

fn look_up_stock(item: &str) -> Stock {
    Stock { item: item.to_string(), pieces: hash64(&[item.as_bytes()]) % STOCK_LIMIT_PIECES }
}

fn read_header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

impl RequestHandler for PlainService {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.respond(request).boxed()
    }
}

impl PlainServiceHandle {
    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the name of the VM that the service claims to run on.
    pub fn vm(&self) -> &str {
        &self.service.options.vm
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> PlainServiceFaults {
        self.service.switches.get()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        self.service.switches.set(faults);
    }

    /// Returns how often each booking and deposit was run, sorted by key.
    pub fn runs(&self) -> Vec<RunCount> {
        self.service.state.lock().runs.clone()
    }

    /// Returns how often the call with this key was run.
    pub fn run_count(&self, key: &str) -> u64 {
        let state = self.service.state.lock();
        let found = state.runs.binary_search_by(|run| run.key.as_str().cmp(key));
        found.map_or(0, |index| state.runs[index].count)
    }

    /// Stops the service and waits until its port is free.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the service has been stopped.
    pub async fn wait_stopped(&self) {
        self.server.wait_stopped().await;
    }
}
