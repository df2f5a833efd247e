//! The transactional table service.

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
/// The span over which the rates are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How the table service is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableServiceOptions {
    /// Transactions with writes a second at most; 0 is no limit.
    pub writes_per_s: u64,
    /// Reads a second at most; 0 is no limit.
    pub reads_per_s: u64,
}

impl Default for TableServiceOptions {
    fn default() -> Self {
        TableServiceOptions { writes_per_s: 500, reads_per_s: 2_000 }
    }
}

/// Faults of the table service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TableServiceFaults {
    /// How it is out.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds, before the effect.
    pub slow_ms: u64,
    /// Delay of each answer, in milliseconds, after the effect.
    pub slow_after_effect_ms: u64,
    /// Transactions to come whose answer is lost after the effect.
    pub lose_answers: u64,
    /// Loses the answer of every transaction after the effect.
    pub lose_all_answers: bool,
    /// Transactions to come whose connection closes before the effect.
    pub lose_transactions: u64,
    /// Writes a second at most in place of the option; 0 keeps the option.
    pub writes_per_s: u64,
    /// Reads a second at most in place of the option; 0 keeps the option.
    pub reads_per_s: u64,
}

/// What the table service counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableServiceCounters {
    /// Reads served.
    pub reads: u64,
    /// Transactions that committed.
    pub commits: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts: u64,
    /// Requests refused for their rate.
    pub limited: u64,
    /// RequestHandler lost after the effect.
    pub lost_answers: u64,
}

/// Requests within the running second.
#[derive(Default)]
struct RateWindow {
    began_at: Option<Instant>,
    used: u64,
}

impl RateWindow {
    fn admit(&mut self, limit_per_s: u64, now: Instant) -> bool {
        if limit_per_s == 0 {
            return true;
        }
        let running = self.began_at.is_some_and(|began| now.duration_since(began) < RATE_WINDOW);
        if !running {
            *self = RateWindow { began_at: Some(now), used: 0 };
        }
        self.used += 1;
        self.used <= limit_per_s
    }
}

#[derive(Default)]
struct State {
    rows: Rows,
    writes: RateWindow,
    reads: RateWindow,
    counters: TableServiceCounters,
}

/// The stand-in table service.
pub struct TableService {
    options: TableServiceOptions,
    switches: FaultSwitches<TableServiceFaults>,
    state: Mutex<State>,
}

/// A running table service; dropping it ends it.
pub struct TableServiceHandle {
    server: HttpServer,
    table: Arc<TableService>,
}

impl TableService {
    /// Starts an empty service; port 0 chooses a free one.
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

    async fn reply(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let counters = self.state.lock().counters;
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
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::POST, TRANSACTIONS_PATH) => match read_json(request).await? {
                Ok(transaction) => self.transact(&transaction, &faults).await,
                Err(reply) => reply,
            },
            (&Method::GET, path) => match path.strip_prefix(ROWS_PATH) {
                Some(place) => self.read(place, request.uri().query(), &faults),
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
        let limit_per_s = override_of(self.options.writes_per_s, faults.writes_per_s);
        let answer = {
            let mut state = self.state.lock();
            if !state.writes.admit(limit_per_s, Instant::now()) {
                return state.limited();
            }
            let answer = state.rows.apply(transaction);
            state.counters.commits += u64::from(answer.committed);
            state.counters.conflicts += u64::from(!answer.committed);
            answer
        };
        delay_ms(faults.slow_after_effect_ms).await;
        let lost = self.switches.update(|faults| consume_one(&mut faults.lose_answers));
        if lost || faults.lose_all_answers {
            self.state.lock().counters.lost_answers += 1;
            return Err(CloseConnection);
        }
        json_response(StatusCode::OK, &answer)
    }

    fn read(&self, place: &str, query: Option<&str>, faults: &TableServiceFaults) -> HandlerResult {
        let limit_per_s = override_of(self.options.reads_per_s, faults.reads_per_s);
        let mut state = self.state.lock();
        if !state.reads.admit(limit_per_s, Instant::now()) {
            return state.limited();
        }
        state.counters.reads += 1;
        match place.split_once('/') {
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
                    &state.rows.with_prefix(&percent_decode(place), &prefix),
                )
            }
        }
    }
}

impl State {
    fn limited(&mut self) -> HandlerResult {
        self.counters.limited += 1;
        text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate; come back in a second\n")
    }
}

fn override_of(option_per_s: u64, fault_per_s: u64) -> u64 {
    if fault_per_s == 0 { option_per_s } else { fault_per_s }
}

impl RequestHandler for TableService {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.reply(request).boxed()
    }
}

impl TableServiceHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that are on.
    pub fn faults(&self) -> TableServiceFaults {
        self.table.switches.get()
    }

    /// Sets the faults whole.
    pub fn set_faults(&self, faults: TableServiceFaults) {
        self.table.switches.set(faults);
    }

    /// What it counted.
    pub fn counters(&self) -> TableServiceCounters {
        self.table.state.lock().counters
    }

    /// The rows of one table, sorted by key.
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.table.state.lock().rows.with_prefix(table, "")
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
