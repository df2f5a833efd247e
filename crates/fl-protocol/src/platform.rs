//! The published protocols of the platform, in HTTP and JSON.
//!
//! Table service: `POST /v1/transactions` with [`Transaction`] answers [`TransactionResponse`];
//! `GET /v1/rows/{table}/{key}` answers [`Row`] or 404; `GET /v1/rows/{table}?prefix=P` answers
//! `Vec<Row>`; 429 beyond its rate, 503 in an outage.
//!
//! Object store: `PUT /v1/objects/{name}`, `GET /v1/objects/{name}`; a name may be written again.
//!
//! VM list: `GET /v1/vms` answers `Vec<Vm>`, which lags, with an `ETag`; 304 to a reader whose
//! `If-None-Match` names the list as it still is.
//!
//! Cloud: `GET /v1/prices` answers `Vec<Price>`; `GET /v1/notices` answers `Vec<ReclaimNotice>`;
//! `POST /v1/vms` with [`StartVm`] answers [`Vm`], or 409 when there is no capacity.
//!
//! Weight store: `GET /v1/weights/{model}` answers at a limited rate.

use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Conditions and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written then.
    pub puts: Vec<Put>,
}

/// What must hold of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The table.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The row's revision; 0 means that there is no such row.
    pub revision: u64,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The table.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The new value.
    pub value: String,
}

/// The answer to a transaction that was decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Whether the conditions held and the writes took effect.
    pub committed: bool,
    /// The rows named in the conditions and writes as they are after the decision.
    pub rows: Vec<Row>,
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The table.
    pub table: String,
    /// Its key.
    pub key: String,
    /// Grows by one with each write; the first write makes it 1.
    pub revision: u64,
    /// Its value.
    pub value: String,
}

/// A VM, as the lagging list and the cloud show it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: VmName,
    /// What runs on it.
    pub kind: VmKind,
    /// The pool it belongs to: `entry`, a pool of runners, or a pool of application servers.
    pub pool: String,
    /// Its data centre.
    pub data_center: DataCenterName,
    /// Its service address, `ip:port`; for entry VMs the address of the peer port.
    pub address: String,
    /// Its machine class.
    pub machine_class: String,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A node of this system.
    Entry,
    /// A model engine.
    Runner,
    /// A plain service.
    Application,
}

/// The announcement that a VM will be taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// The VM.
    pub vm: VmName,
    /// When it goes away.
    pub leaving_at_ms: UnixMs,
}

/// The price of one machine class in one data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The data centre.
    pub data_center: DataCenterName,
    /// The machine class.
    pub machine_class: String,
    /// Whether the price is for VMs the cloud may take back.
    pub reclaimable: bool,
    /// Price of one VM, in thousandths of a cent an hour.
    pub price_millicents_per_h: u64,
}

/// Asks the cloud for a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartVm {
    /// What shall run on it.
    pub kind: VmKind,
    /// The pool.
    pub pool: String,
    /// Where.
    pub data_center: DataCenterName,
    /// The machine class.
    pub machine_class: String,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
}
