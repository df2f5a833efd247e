//! Protocols of the platform's services, in HTTP and JSON.
//!
//! Table service: `POST /v1/transactions` with [`Transaction`] returns [`TransactionResponse`];
//! `GET /v1/rows/{table}/{key}` returns [`Row`] or 404; `GET /v1/rows/{table}?prefix=P` returns
//! `Vec<Row>`; 429 beyond its rate, 503 in an outage.
//!
//! Object store: `PUT /v1/objects/{name}`, `GET /v1/objects/{name}`; a name may be written again.
//!
//! VM list: `GET /v1/vms` returns `Vec<Vm>`, which lags behind, with an `ETag`; 304 to a reader
//! whose `If-None-Match` names the list as it still is.
//!
//! Cloud: `GET /v1/prices` returns `Vec<Price>`; `GET /v1/notices` returns `Vec<ReclaimNotice>`;
//! `POST /v1/vms` with [`StartVm`] returns [`Vm`], or 409 when there is no capacity.
//!
//! Weight store: `GET /v1/weights/{model}` returns the weights at a limited rate.

use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Conditions and writes that take effect atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes that take effect if they do.
    pub puts: Vec<Put>,
}

/// Condition on the revision of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Expected revision of the row; 0 expects that there is no such row.
    pub revision: u64,
}

/// Write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: String,
}

/// Response to a transaction that was committed or rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Whether the conditions held and the writes took effect.
    pub committed: bool,
    /// Rows of the conditions and writes, as they are after the transaction.
    pub rows: Vec<Row>,
}

/// Row of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Revision: the number of writes to the row.
    pub revision: u64,
    /// Value of the row.
    pub value: String,
}

/// VM, as the VM list and the cloud show it; the list lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: VmName,
    /// Kind of program that runs on the VM.
    pub kind: VmKind,
    /// Pool of the VM: `entry`, a pool of runners, or a pool of application servers.
    pub pool: String,
    /// Data centre of the VM.
    pub data_center: DataCenterName,
    /// Address of its service, as `ip:port`; for entry VMs that of the peer port.
    pub address: String,
    /// Machine class of the VM.
    pub machine_class: String,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

/// Kind of program that runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// Node of this system.
    Entry,
    /// Model engine.
    Runner,
    /// Application server of a plain service.
    Application,
}

/// Announcement that the cloud will reclaim a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Name of the VM.
    pub vm: VmName,
    /// Time at which the VM is reclaimed.
    pub leaving_at_ms: UnixMs,
}

/// Price of a machine class in a data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Data centre of the VMs.
    pub data_center: DataCenterName,
    /// Machine class of the VMs.
    pub machine_class: String,
    /// Whether the price is for reclaimable VMs.
    pub reclaimable: bool,
    /// Price of one VM per hour, in thousandths of a cent.
    pub price_millicents_per_h: u64,
}

/// Request to the cloud to start a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartVm {
    /// Kind of program to run on the VM.
    pub kind: VmKind,
    /// Pool that the VM joins.
    pub pool: String,
    /// Data centre of the VM.
    pub data_center: DataCenterName,
    /// Machine class of the VM.
    pub machine_class: String,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
}
