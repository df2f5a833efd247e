//! A plain service: stock look-ups, and bookings and deposits that count every run.

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
/// Pieces of one item that the stock look-up answers at most.
const STOCK_PIECES: u64 = 20;

/// How a plain service is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainServiceOptions {
    /// The VM it runs on.
    pub vm: String,
    /// Calls it runs side by side, as its load report says.
    pub slots: u32,
}

impl Default for PlainServiceOptions {
    fn default() -> Self {
        PlainServiceOptions { vm: "application-1".to_string(), slots: 64 }
    }
}

/// Faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainServiceFaults {
    /// How it is out.
    pub outage: Outage,
    /// Delay before the effect of a call, in milliseconds.
    pub delay_before_effect_ms: u64,
    /// Delay after the effect of a call, in milliseconds.
    pub delay_after_effect_ms: u64,
    /// Calls to come whose answer is lost after the effect.
    pub lose_answers: u64,
    /// Loses the answer of every call after the effect.
    pub lose_all_answers: bool,
    /// RequestHandler 500 before the effect.
    pub fail_before_effect: bool,
    /// RequestHandler 500 after the effect.
    pub fail_after_effect: bool,
    /// When its VM goes away, as its load report says.
    pub leaving_at_ms: Option<UnixMs>,
}

/// How often a call was run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The call's idempotency key; empty when it had none.
    pub key: String,
    /// How often.
    pub count: u64,
}

/// The answer to a booking or deposit; it names the call, so that its caller can check it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The call's idempotency key.
    pub key: String,
    /// The number of this run on this server, from 1.
    pub number: u64,
}

/// The answer to a stock look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stock {
    /// The item asked for.
    pub item: String,
    /// Pieces in stock; the same for the same item.
    pub pieces: u64,
}

#[derive(Default)]
struct State {
    runs: Vec<RunCount>,
    runs_total: u64,
    running: u32,
}

impl State {
    fn count(&mut self, key: &str) -> u64 {
        match self.runs.binary_search_by(|run| run.key.as_str().cmp(key)) {
            Ok(index) => self.runs[index].count += 1,
            Err(index) => self.runs.insert(index, RunCount { key: key.to_string(), count: 1 }),
        }
        self.runs_total += 1;
        self.runs_total
    }
}

/// The stand-in plain service.
pub struct PlainService {
    options: PlainServiceOptions,
    switches: FaultSwitches<PlainServiceFaults>,
    state: Mutex<State>,
}

/// A running plain service; dropping it ends it.
pub struct PlainServiceHandle {
    server: HttpServer,
    service: Arc<PlainService>,
}

impl PlainService {
    /// Starts a service; port 0 chooses a free one.
    pub async fn start(
        address: SocketAddr,
        options: PlainServiceOptions,
    ) -> io::Result<PlainServiceHandle> {
        let switches = FaultSwitches::default();
        let service = Arc::new(PlainService { options, switches, state: Mutex::default() });
        let server = HttpServer::start(address, service.clone()).await?;
        Ok(PlainServiceHandle { server, service })
    }

    async fn reply(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let runs = self.state.lock().runs.clone();
        match handle_control_request(request, &self.switches, &runs).await {
            ControlOutcome::Responded(reply) => reply,
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
        if let Some(reply) = outage_response(faults.outage).await {
            return reply;
        }
        if request.uri().path() == LOAD_PATH {
            return json_response(StatusCode::OK, &self.load(&faults));
        }
        self.state.lock().running += 1;
        let reply = self.run(request, &faults).await;
        self.state.lock().running -= 1;
        reply
    }

    async fn run(&self, request: Request<Incoming>, faults: &PlainServiceFaults) -> HandlerResult {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let key = header_text(&request, IDEMPOTENCY_KEY_HEADER);
        read_body(request).await?;
        delay_ms(faults.delay_before_effect_ms).await;
        if faults.fail_before_effect {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed before the effect\n");
        }
        let reply = match (&method, path.as_str()) {
            (&Method::POST, BOOKINGS_PATH | DEPOSITS_PATH) => {
                let number = self.state.lock().count(&key);
                json_response(StatusCode::CREATED, &Receipt { key, number })
            }
            (&Method::GET, path) => match path.strip_prefix(STOCK_PATH) {
                Some(item) => json_response(StatusCode::OK, &stock_of(item)),
                None => not_found(),
            },
            _ => not_found(),
        };
        delay_ms(faults.delay_after_effect_ms).await;
        self.answer_after_effect(reply, faults)
    }

    fn answer_after_effect(
        &self,
        reply: HandlerResult,
        faults: &PlainServiceFaults,
    ) -> HandlerResult {
        let lost = self.switches.update(|faults| consume_one(&mut faults.lose_answers));
        if lost || faults.lose_all_answers {
            return Err(CloseConnection);
        }
        if faults.fail_after_effect {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed after the effect\n");
        }
        reply
    }

    fn load(&self, faults: &PlainServiceFaults) -> LoadReport {
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

fn stock_of(item: &str) -> Stock {
    Stock { item: item.to_string(), pieces: hash64(&[item.as_bytes()]) % STOCK_PIECES }
}

fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

impl RequestHandler for PlainService {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.reply(request).boxed()
    }
}

impl PlainServiceHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The VM it runs on.
    pub fn vm(&self) -> &str {
        &self.service.options.vm
    }

    /// The faults that are on.
    pub fn faults(&self) -> PlainServiceFaults {
        self.service.switches.get()
    }

    /// Sets the faults whole.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        self.service.switches.set(faults);
    }

    /// How often each booking and deposit was run, sorted by key.
    pub fn runs(&self) -> Vec<RunCount> {
        self.service.state.lock().runs.clone()
    }

    /// How often the call with this key was run.
    pub fn run_count(&self, key: &str) -> u64 {
        let state = self.service.state.lock();
        let found = state.runs.binary_search_by(|run| run.key.as_str().cmp(key));
        found.map_or(0, |index| state.runs[index].count)
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
