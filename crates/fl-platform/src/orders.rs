//! Orders to engines and to the cloud: what changes the fleet.

use crate::http::{ConnectionReuse, HttpClient, HttpError};
use displaydoc::Display;
use fl_protocol::engine::{EngineOrder, EngineState};
use fl_protocol::platform::{StartVm, Vm};
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const CONFLICT: u16 = 409;

/// Why an order brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum OrderError {
    /// the engine has seen a greater fencing number; read the lease again before any order
    StaleFencingToken,
    /// the cloud has no capacity there; try another zone, then on demand
    NoCapacity,
    /// no answer: {0}; read the state back before the next order
    OutcomeUnknown(HttpError),
}

/// Gives orders; each call is one try on a connection of its own.
#[derive(Debug, Clone)]
pub struct OrderClient {
    http: HttpClient,
    cloud: SocketAddr,
    timeout: Duration,
}

impl OrderClient {
    /// Makes a client; `timeout` bounds each order.
    pub fn new(cloud: SocketAddr, timeout: Duration) -> Self {
        OrderClient { http: HttpClient::new(ConnectionReuse::Never), cloud, timeout }
    }

    /// Orders an engine to hold what the order says.
    pub async fn send_order(
        &self,
        address: &str,
        order: &EngineOrder,
    ) -> Result<EngineState, OrderError> {
        let uri = format!("http://{address}/v1/orders");
        let answer = self.http.send_json(Method::POST, &uri, order, self.timeout).await;
        answer.map_err(|error| refused(error, OrderError::StaleFencingToken))
    }

    /// Asks the cloud for a VM.
    pub async fn start_vm(&self, wanted: &StartVm) -> Result<Vm, OrderError> {
        let uri = format!("http://{}/v1/vms", self.cloud);
        let answer = self.http.send_json(Method::POST, &uri, wanted, self.timeout).await;
        answer.map_err(|error| refused(error, OrderError::NoCapacity))
    }
}

fn refused(error: HttpError, on_conflict: OrderError) -> OrderError {
    match error {
        HttpError::Status(_, CONFLICT, _) => on_conflict,
        error => OrderError::OutcomeUnknown(error),
    }
}
