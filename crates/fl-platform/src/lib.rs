//! Clients for the platform's services and for backend servers.
//!
//! The clients use the protocols of `fl_protocol::platform` and `fl_protocol::engine`. They do not
//! retry calls, except for [`ConfigurationStore::push`]; whether a call may be retried is known to
//! the caller only.

pub mod abandonable;
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
pub use object_store::{ObjectError, ObjectStoreClient};
pub use service::{ServiceClient, ServiceError};
pub use table::TableClient;
pub use vm_list::VmListClient;
