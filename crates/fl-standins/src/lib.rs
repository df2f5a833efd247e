//! Small stand-ins for the platform's services and the backend servers.
//!
//! Each speaks the protocol that `fl-protocol` publishes, in real time, on one socket address, and
//! carries switches for the faults that the real one shows. They run inside a test or, through the
//! examples of this package, as processes of their own. They are no simulator.
//!
//! Every stand-in also serves `GET /faults`, `PUT /faults` and `GET /counters`, which work while
//! the faults are on.

mod clock;
pub mod cloud;
pub mod engine;
pub mod faults;
pub mod http_server;
pub mod http_util;
pub mod object_store;
pub mod plain_service;
mod silence;
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
