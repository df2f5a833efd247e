//! A stand-in for the cloud API and the VM list, which shows changes late.
//!
//! Besides the published protocol it serves requests by which a test or a script changes its state:
//! `PUT /control/vms` with `Vec<Vm>`, `PUT /control/prices` with `Vec<Price>` and
//! `POST /control/notices` with a `ReclaimNotice`.

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

/// The options of the cloud.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CloudOptions {
    /// Delay until the VM list shows a change, in milliseconds.
    pub list_lag_ms: u64,
    /// Time from the order of a VM until it appears, in milliseconds.
    pub start_ms: u64,
}

/// The faults of the cloud. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CloudFaults {
    /// The kind of outage.
    pub outage: Outage,
    /// Delay before each request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay until the VM list shows a change, in milliseconds, in place of the option.
    pub list_lag_ms: Option<u64>,
    /// Whether every order of a VM is refused.
    pub refuse_starts: bool,
    /// How many of the next orders of a VM are refused.
    pub refuse_next_starts: u64,
    /// Data centres in which orders of VMs are refused, sorted.
    pub refusing_data_centers: Vec<String>,
    /// Whether orders are accepted although the VM never appears.
    pub never_start: bool,
}

/// The counters of the cloud.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudCounters {
    /// Reads of the VM list.
    pub list_reads: u64,
    /// Orders of a VM that were accepted.
    pub started: u64,
    /// Orders of a VM that were refused.
    pub refused: u64,
}

#[derive(Default)]
struct State {
    inventory: Inventory,
    prices: Vec<Price>,
    counters: CloudCounters,
}

/// A stand-in for the cloud API and the VM list.
pub struct Cloud {
    options: CloudOptions,
    switches: FaultSwitches<CloudFaults>,
    state: Mutex<State>,
}

/// A handle to a running cloud. Dropping it stops the cloud.
pub struct CloudHandle {
    server: HttpServer,
    cloud: Arc<Cloud>,
}

impl Cloud {
    /// Starts a cloud without VMs; port 0 binds a free port.
    pub async fn start(address: SocketAddr, options: CloudOptions) -> io::Result<CloudHandle> {
        let cloud = Arc::new(Cloud {
            options,
            switches: FaultSwitches::default(),
            state: Mutex::default(),
        });
        let server = HttpServer::start(address, cloud.clone()).await?;
        Ok(CloudHandle { server, cloud })
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let counters = self.state.lock().counters;
        match handle_control_request(request, &self.switches, &counters).await {
            ControlOutcome::Responded(response) => response,
            ControlOutcome::SetFaults(faults) => {
                self.switches.set(faults);
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => match (request.method(), request.uri().path()) {
                (&Method::PUT, CONTROL_VMS_PATH) => {
                    self.apply_control(request, |state, vms| state.inventory.set(vms)).await
                }
                (&Method::PUT, CONTROL_PRICES_PATH) => {
                    self.apply_control(request, |state, prices| state.prices = prices).await
                }
                (&Method::POST, CONTROL_NOTICES_PATH) => {
                    self.apply_control(request, |state, notice| state.inventory.add_notice(notice))
                        .await
                }
                _ => self.serve(request).await,
            },
        }
    }

    /// Applies a change of the state that a test or a script requests.
    async fn apply_control<T: serde::de::DeserializeOwned>(
        &self,
        request: Request<Incoming>,
        apply: impl FnOnce(&mut State, T),
    ) -> HandlerResult {
        match read_json(request).await? {
            Ok(value) => {
                apply(&mut self.state.lock(), value);
                text_response(StatusCode::OK, "")
            }
            Err(response) => response,
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> HandlerResult {
        let faults = self.switches.get();
        if let Some(response) = outage_response(faults.outage).await {
            return response;
        }
        delay_ms(faults.slow_ms).await;
        match (request.method(), request.uri().path()) {
            (&Method::GET, VMS_PATH) => {
                let known_tag = request.headers().get(http::header::IF_NONE_MATCH);
                json_with_etag(known_tag, &self.list_vms(&faults))
            }
            (&Method::GET, PRICES_PATH) => json_response(StatusCode::OK, &self.state.lock().prices),
            (&Method::GET, NOTICES_PATH) => {
                json_response(StatusCode::OK, &self.state.lock().inventory.notices())
            }
            (&Method::POST, VMS_PATH) => match read_json(request).await? {
                Ok(order) => self.start_vm(&order, &faults),
                Err(response) => response,
            },
            _ => not_found(),
        }
    }

    fn list_vms(&self, faults: &CloudFaults) -> Vec<Vm> {
        let lag_ms = faults.list_lag_ms.unwrap_or(self.options.list_lag_ms);
        let mut state = self.state.lock();
        state.counters.list_reads += 1;
        state.inventory.list_delayed(Instant::now(), Duration::from_millis(lag_ms))
    }

    fn start_vm(&self, order: &StartVm, faults: &CloudFaults) -> HandlerResult {
        let refuse_next =
            self.switches.update(|faults| consume_one(&mut faults.refuse_next_starts));
        let refuse_data_center =
            faults.refusing_data_centers.binary_search(&order.data_center).is_ok();
        let mut state = self.state.lock();
        if refuse_next || refuse_data_center || faults.refuse_starts {
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
        self.respond(request).boxed()
    }
}

impl CloudHandle {
    /// Returns the address that the cloud listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> CloudFaults {
        self.cloud.switches.get()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: CloudFaults) {
        self.cloud.switches.set(faults);
    }

    /// Returns the counters.
    pub fn counters(&self) -> CloudCounters {
        self.cloud.state.lock().counters
    }

    /// Replaces the VMs. The list shows them after its delay, the first ones at once.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.cloud.state.lock().inventory.set(vms);
    }

    /// Returns the VMs at this moment, without the delay of the list.
    pub fn vms(&self) -> Vec<Vm> {
        self.cloud.state.lock().inventory.current(Instant::now())
    }

    /// Replaces the prices; they are served at once.
    pub fn set_prices(&self, prices: Vec<Price>) {
        self.cloud.state.lock().prices = prices;
    }

    /// Announces a reclaim. The notice is served at once; the list marks the VM as leaving after
    /// its delay.
    pub fn announce_reclaim(&self, notice: ReclaimNotice) {
        self.cloud.state.lock().inventory.add_notice(notice);
    }

    /// Stops the cloud and waits until its port is free.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the cloud has been stopped.
    pub async fn wait_stopped(&self) {
        self.server.wait_stopped().await;
    }
}
