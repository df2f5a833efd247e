//! Clients of the platform's services and of backend servers.
//!
//! Every client speaks the published protocol of `fl_protocol::platform` or
//! `fl_protocol::engine` and never repeats a call by itself; repeating is the caller's decision.

pub mod configuration_store;
pub mod engine;
pub mod engine_reports;
pub mod http;
pub mod lease_store;
pub mod object_store;
pub mod orders;
mod rows;
pub mod service;
pub mod table;
pub mod vm_list;

pub use configuration_store::{ConfigurationHead, ConfigurationStore, PushError};
pub use engine_reports::EngineReportClient;
pub use http::{ConnectionReuse, HttpClient, HttpError};
pub use service::{ServiceClient, ServiceError};
pub use table::TableClient;
pub use vm_list::VmListClient;
