//! The cloud API and the lagging VM list.
//!
//! Besides the published protocol, a process can be steered by `PUT /control/vms` with `Vec<Vm>`,
//! `PUT /control/prices` with `Vec<Price>` and `POST /control/notices` with a `ReclaimNotice`.

mod inventory;

use crate::faults::{FaultSwitches, Outage, consume_one};
use crate::http_server::{ConnectionId, HttpServer, RequestHandler};
use crate::http_util::*;
use fl_protocol::platform::{Price, ReclaimNotice, StartVm, Vm};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use inventory::Inventory;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const VMS_PATH: &str = "/v1/vms";
const PRICES_PATH: &str = "/v1/prices";
const NOTICES_PATH: &str = "/v1/notices";
const CONTROL_VMS_PATH: &str = "/control/vms";
const CONTROL_PRICES_PATH: &str = "/control/prices";
const CONTROL_NOTICES_PATH: &str = "/control/notices";

/// How the cloud is set up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CloudOptions {
    /// How long the list shows a change late, in milliseconds.
    pub list_lag_ms: u64,
    /// How long a VM takes to start, in milliseconds.
    pub start_ms: u64,
}

/// Faults of the cloud.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CloudFaults {
    /// How it is out.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// How long the list shows a change late in place of the option, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Refuses to start any VM.
    pub refuse_starts: bool,
    /// Starts to come that are refused.
    pub refuse_next_starts: u64,
    /// Data centres that refuse to start VMs, sorted.
    pub refusing_data_centers: Vec<String>,
    /// Accepts a start, but the VM never appears.
    pub never_start: bool,
}

/// What the cloud counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudCounters {
    /// Reads of the list.
    pub list_reads: u64,
    /// VMs started.
    pub started: u64,
    /// Starts refused.
    pub refused: u64,
}

#[derive(Default)]
struct State {
    inventory: Inventory,
    prices: Vec<Price>,
    counters: CloudCounters,
}

/// The stand-in cloud.
pub struct Cloud {
    options: CloudOptions,
    switches: FaultSwitches<CloudFaults>,
    state: Mutex<State>,
}

/// A running cloud; dropping it ends it.
pub struct CloudHandle {
    server: HttpServer,
    cloud: Arc<Cloud>,
}

impl Cloud {
    /// Starts a cloud without VMs; port 0 chooses a free one.
    pub async fn start(address: SocketAddr, options: CloudOptions) -> io::Result<CloudHandle> {
        let cloud = Arc::new(Cloud {
            options,
            switches: FaultSwitches::default(),
            state: Mutex::default(),
        });
        let server = HttpServer::start(address, cloud.clone()).await?;
        Ok(CloudHandle { server, cloud })
    }

    async fn reply(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let counters = self.state.lock().counters;
        match handle_control_request(request, &self.switches, &counters).await {
            ControlOutcome::Responded(reply) => reply,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => match (request.method(), request.uri().path()) {
                (&Method::PUT, CONTROL_VMS_PATH) => {
                    self.steer(request, |state, vms| state.inventory.set(vms)).await
                }
                (&Method::PUT, CONTROL_PRICES_PATH) => {
                    self.steer(request, |state, prices| state.prices = prices).await
                }
                (&Method::POST, CONTROL_NOTICES_PATH) => {
                    self.steer(request, |state, notice| state.inventory.announce_reclaim(notice))
                        .await
                }
                _ => self.serve(request).await,
            },
        }
    }

    /// Applies a change that a test or a script asks for.
    async fn steer<T: serde::de::DeserializeOwned>(
        &self,
        request: Request<Incoming>,
        apply: impl FnOnce(&mut State, T),
    ) -> HandlerResult {
        match read_json(request).await? {
            Ok(value) => {
                apply(&mut self.state.lock(), value);
                text_response(StatusCode::OK, "")
            }
            Err(reply) => reply,
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(reply) = outage_response(faults.outage).await {
            return reply;
        }
        delay_ms(faults.slow_ms).await;
        match (request.method(), request.uri().path()) {
            (&Method::GET, VMS_PATH) => {
                let known_tag = request.headers().get(http::header::IF_NONE_MATCH);
                json_with_etag(known_tag, &self.listed(&faults))
            }
            (&Method::GET, PRICES_PATH) => json_response(StatusCode::OK, &self.state.lock().prices),
            (&Method::GET, NOTICES_PATH) => {
                json_response(StatusCode::OK, &self.state.lock().inventory.notices())
            }
            (&Method::POST, VMS_PATH) => match read_json(request).await? {
                Ok(order) => self.start_vm(&order, &faults),
                Err(reply) => reply,
            },
            _ => not_found(),
        }
    }

    fn listed(&self, faults: &CloudFaults) -> Vec<Vm> {
        let lag_ms = faults.list_lag_ms.unwrap_or(self.options.list_lag_ms);
        let mut state = self.state.lock();
        state.counters.list_reads += 1;
        state.inventory.listed(Instant::now(), Duration::from_millis(lag_ms))
    }

    fn start_vm(&self, order: &StartVm, faults: &CloudFaults) -> HandlerResult {
        let refused_once =
            self.switches.update(|faults| consume_one(&mut faults.refuse_next_starts));
        let refused_there = faults.refusing_data_centers.binary_search(&order.data_center).is_ok();
        let mut state = self.state.lock();
        if refused_once || refused_there || faults.refuse_starts {
            state.counters.refused += 1;
            return text_response(
                StatusCode::CONFLICT,
                "no capacity; try another data centre or class\n",
            );
        }
        state.counters.started += 1;
        let appears_at = Instant::now() + Duration::from_millis(self.options.start_ms);
        let appears_at = (!faults.never_start).then_some(appears_at);
        let vm = state.inventory.start(order, appears_at);
        json_response(StatusCode::OK, &vm)
    }
}

impl RequestHandler for Cloud {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.reply(request).boxed()
    }
}

impl CloudHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that are on.
    pub fn faults(&self) -> CloudFaults {
        self.cloud.switches.get()
    }

    /// Sets the faults whole.
    pub fn set_faults(&self, faults: CloudFaults) {
        self.cloud.switches.set(faults);
    }

    /// What it counted.
    pub fn counters(&self) -> CloudCounters {
        self.cloud.state.lock().counters
    }

    /// Sets the VMs; the list shows them after its lag, the first ones at once.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.cloud.state.lock().inventory.set(vms);
    }

    /// The VMs as they are now, whatever the list shows.
    pub fn vms(&self) -> Vec<Vm> {
        self.cloud.state.lock().inventory.now(Instant::now())
    }

    /// Sets the prices.
    pub fn set_prices(&self, prices: Vec<Price>) {
        self.cloud.state.lock().prices = prices;
    }

    /// Announces a reclaim; the notice shows at once, the list after its lag.
    pub fn announce_reclaim(&self, notice: ReclaimNotice) {
        self.cloud.state.lock().inventory.announce_reclaim(notice);
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
