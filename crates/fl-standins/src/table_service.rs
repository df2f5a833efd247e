//! A stand-in for the transactional table service.

mod rows;

use crate::faults::{FaultSwitches, Outage, consume_one};
use crate::http_server::{ConnectionId, HttpServer, RequestHandler};
use crate::http_util::*;
use fl_protocol::platform::{Row, Transaction};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rows::Rows;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TRANSACTIONS_PATH: &str = "/v1/transactions";
const ROWS_PATH: &str = "/v1/rows/";
/// The window over which requests are counted against their rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The options of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableServiceOptions {
    /// Limit of transactions per second; 0 means no limit.
    pub writes_per_s: u64,
    /// Limit of reads per second; 0 means no limit.
    pub reads_per_s: u64,
}

impl Default for TableServiceOptions {
    fn default() -> Self {
        TableServiceOptions { writes_per_s: 500, reads_per_s: 2_000 }
    }
}

/// The faults of the table service. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TableServiceFaults {
    /// The kind of outage.
    pub outage: Outage,
    /// Delay before each request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay from the effect of a transaction to its response, in milliseconds.
    pub slow_after_effect_ms: u64,
    /// How many of the next transactions take effect without a response.
    pub lose_answers: u64,
    /// Whether every transaction takes effect without a response.
    pub lose_all_answers: bool,
    /// How many of the next transactions have their connection closed without any effect.
    pub lose_transactions: u64,
    /// Limit of transactions per second in place of the option; 0 keeps the option.
    pub writes_per_s: u64,
    /// Limit of reads per second in place of the option; 0 keeps the option.
    pub reads_per_s: u64,
}

/// The counters of the table service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableServiceCounters {
    /// Reads served.
    pub reads: u64,
    /// Transactions that committed.
    pub commits: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts: u64,
    /// Requests refused because of a rate limit.
    pub limited: u64,
    /// Responses withheld after the effect.
    pub lost_answers: u64,
}

/// A fixed-window rate limiter.
#[derive(Default)]
struct RateLimiter {
    window_start: Option<Instant>,
    used: u64,
}

impl RateLimiter {
    fn admit(&mut self, limit_per_s: u64, now: Instant) -> bool {
        if limit_per_s == 0 {
            return true;
        }
        let is_running =
            self.window_start.is_some_and(|start| now.duration_since(start) < RATE_WINDOW);
        if !is_running {
            *self = RateLimiter { window_start: Some(now), used: 0 };
        }
        self.used += 1;
        self.used <= limit_per_s
    }
}

#[derive(Default)]
struct State {
    rows: Rows,
    writes: RateLimiter,
    reads: RateLimiter,
    counters: TableServiceCounters,
}

/// A stand-in for the table service.
pub struct TableService {
    options: TableServiceOptions,
    switches: FaultSwitches<TableServiceFaults>,
    state: Mutex<State>,
}

/// A handle to a running table service. Dropping it stops the service.
pub struct TableServiceHandle {
    server: HttpServer,
    table: Arc<TableService>,
}

impl TableService {
    /// Starts a service without rows; port 0 binds a free port.
    pub async fn start(
        address: SocketAddr,
        options: TableServiceOptions,
    ) -> io::Result<TableServiceHandle> {
        let table = Arc::new(TableService {
            options,
            switches: FaultSwitches::default(),
            state: Mutex::default(),
        });
        let server = HttpServer::start(address, table.clone()).await?;
        Ok(TableServiceHandle { server, table })
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let counters = self.state.lock().counters;
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
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::POST, TRANSACTIONS_PATH) => match read_json(request).await? {
                Ok(transaction) => self.transact(&transaction, &faults).await,
                Err(response) => response,
            },
            (&Method::GET, path) => match path.strip_prefix(ROWS_PATH) {
                Some(location) => self.read(location, request.uri().query(), &faults),
                None => not_found(),
            },
            _ => not_found(),
        }
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        faults: &TableServiceFaults,
    ) -> HandlerResult {
        if self.switches.update(|faults| consume_one(&mut faults.lose_transactions)) {
            return Err(CloseConnection);
        }
        let limit_per_s = effective_limit(self.options.writes_per_s, faults.writes_per_s);
        let response = {
            let mut state = self.state.lock();
            if !state.writes.admit(limit_per_s, Instant::now()) {
                return state.refuse_over_limit();
            }
            let response = state.rows.apply(transaction);
            state.counters.commits += u64::from(response.committed);
            state.counters.conflicts += u64::from(!response.committed);
            response
        };
        delay_ms(faults.slow_after_effect_ms).await;
        let lose_response = self.switches.update(|faults| consume_one(&mut faults.lose_answers));
        if lose_response || faults.lose_all_answers {
            self.state.lock().counters.lost_answers += 1;
            return Err(CloseConnection);
        }
        json_response(StatusCode::OK, &response)
    }

    fn read(
        &self,
        location: &str,
        query: Option<&str>,
        faults: &TableServiceFaults,
    ) -> HandlerResult {
        let limit_per_s = effective_limit(self.options.reads_per_s, faults.reads_per_s);
        let mut state = self.state.lock();
        if !state.reads.admit(limit_per_s, Instant::now()) {
            return state.refuse_over_limit();
        }
        state.counters.reads += 1;
        match location.split_once('/') {
            Some((table, key)) => {
                match state.rows.find(&percent_decode(table), &percent_decode(key)) {
                    Some(row) => json_response(StatusCode::OK, row),
                    None => not_found(),
                }
            }
            None => {
                let prefix = query_value(query, "prefix").unwrap_or_default();
                json_response(
                    StatusCode::OK,
                    &state.rows.with_prefix(&percent_decode(location), &prefix),
                )
            }
        }
    }
}

impl State {
    fn refuse_over_limit(&mut self) -> HandlerResult {
        self.counters.limited += 1;
        text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded; retry in one second\n")
    }
}

/// Returns the limit per second in force: the one of the faults unless it is 0.
fn effective_limit(option_per_s: u64, fault_per_s: u64) -> u64 {
    if fault_per_s == 0 { option_per_s } else { fault_per_s }
}

impl RequestHandler for TableService {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.respond(request).boxed()
    }
}

impl TableServiceHandle {
    /// Returns the address that the table service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> TableServiceFaults {
        self.table.switches.get()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TableServiceFaults) {
        self.table.switches.set(faults);
    }

    /// Returns the counters.
    pub fn counters(&self) -> TableServiceCounters {
        self.table.state.lock().counters
    }

    /// Returns the rows of one table, sorted by key.
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.table.state.lock().rows.with_prefix(table, "")
    }

    /// Stops the table service and waits until its port is free.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the table service has been stopped.
    pub async fn wait_stopped(&self) {
        self.server.wait_stopped().await;
    }
}
