//! Stand-ins for the services of the platform and for the backend servers, for tests.
//!
//! Each serves the protocol that `fl-protocol` publishes, in real time, on one socket address, and
//! can inject the faults that occur with the real service. They run inside a test or, through the
//! examples of this package, as separate processes. Simulated time is not supported.
//!
//! Every stand-in also serves `GET /faults`, `PUT /faults` and `GET /counters`, which work
//! regardless of the faults.

mod clock;
pub mod cloud;
pub mod engine;
pub mod faults;
pub mod http_server;
pub mod http_util;
pub mod object_store;
pub mod packet_filter;
pub mod plain_service;
mod silenceable_stream;
pub mod slow_body;
pub mod table_service;
pub mod weight_store;

pub use cloud::{Cloud, CloudCounters, CloudFaults, CloudHandle, CloudOptions};
pub use engine::{Engine, EngineCounters, EngineFaults, EngineHandle, EngineOptions, FencingMode};
pub use faults::Outage;
pub use object_store::{ObjectStore, ObjectStoreCounters, ObjectStoreFaults, ObjectStoreHandle};
pub use plain_service::{
    PlainService, PlainServiceFaults, PlainServiceHandle, PlainServiceOptions, Receipt, RunCount,
    Stock,
};
pub use table_service::{
    TableService, TableServiceCounters, TableServiceFaults, TableServiceHandle, TableServiceOptions,
};
pub use weight_store::{WeightStore, WeightStoreFaults, WeightStoreHandle, WeightStoreOptions};
