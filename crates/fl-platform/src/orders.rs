//! Client for orders that change the fleet: models on engines, and new VMs from the cloud.

use crate::http::{ConnectionReuse, HttpClient, HttpError};
use displaydoc::Display;
use fl_protocol::engine::{EngineOrder, EngineState};
use fl_protocol::platform::{StartVm, Vm};
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const CONFLICT: u16 = 409;

/// Error of an order.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum OrderError {
    /// the engine has seen a greater fencing token; read the lease again before the next order
    StaleFencingToken,
    /// the cloud has no capacity for this VM; try another zone, then an on-demand VM
    NoCapacity,
    /// the outcome of the order is unknown: {0}; read the state back before the next order
    OutcomeUnknown(HttpError),
}

/// Client for orders; sends each order once, on a new connection.
#[derive(Debug, Clone)]
pub struct OrderClient {
    http: HttpClient,
    cloud: SocketAddr,
    timeout: Duration,
}

impl OrderClient {
    /// Creates a client with the address of the cloud; `timeout` bounds each order.
    pub fn new(cloud: SocketAddr, timeout: Duration) -> Self {
        OrderClient { http: HttpClient::new(ConnectionReuse::Never), cloud, timeout }
    }

    /// Sends an order to the engine at `address` (`ip:port`) and returns the engine's new state.
    pub async fn send_order(
        &self,
        address: &str,
        order: &EngineOrder,
    ) -> Result<EngineState, OrderError> {
        let uri = format!("http://{address}/v1/orders");
        let response = self.http.send_json(Method::POST, &uri, order, self.timeout).await;
        response.map_err(|error| order_error(error, OrderError::StaleFencingToken))
    }

    /// Requests a new VM from the cloud.
    pub async fn start_vm(&self, request: &StartVm) -> Result<Vm, OrderError> {
        let uri = format!("http://{}/v1/vms", self.cloud);
        let response = self.http.send_json(Method::POST, &uri, request, self.timeout).await;
        response.map_err(|error| order_error(error, OrderError::NoCapacity))
    }
}

fn order_error(error: HttpError, conflict_error: OrderError) -> OrderError {
    match error {
        HttpError::Status(_, CONFLICT, _) => conflict_error,
        error => OrderError::OutcomeUnknown(error),
    }
}
