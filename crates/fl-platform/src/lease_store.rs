//! The rows of leases in the table service.

use crate::http::HttpError;
use crate::table::TableClient;
use displaydoc::Display;
use fl_protocol::platform::{Condition, Put, Row, Transaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const TABLE: &str = "leases";

/// Why a lease row was not read or written.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LeaseStoreError {
    /// the table service did not answer: {0}; no order is given until it does
    Table(HttpError),
    /// the lease row cannot be read: {0}; run the same release everywhere
    Unreadable(String),
}

/// A row with its revision; `None` while nobody ever held the lease.
pub type RowWithRevision<T> = Option<(u64, T)>;

/// Reads and writes lease rows; each call is one try.
#[derive(Debug, Clone)]
pub struct LeaseStore {
    table: TableClient,
}

impl LeaseStore {
    /// Makes a client; `timeout` bounds each call.
    pub fn new(table: SocketAddr, timeout: Duration) -> Self {
        LeaseStore { table: TableClient::new(table, timeout) }
    }

    /// Reads the row of a lease.
    pub async fn read<T: DeserializeOwned>(
        &self,
        lease: &str,
    ) -> Result<RowWithRevision<T>, LeaseStoreError> {
        let row = self.table.read(TABLE, lease).await;
        row.map_err(LeaseStoreError::Table)?.as_ref().map(parse).transpose()
    }

    /// Writes the row if it still has the revision, and gives it as it is then.
    ///
    /// An error leaves open whether the write took effect; read the row to learn it.
    pub async fn write<T: Serialize + DeserializeOwned>(
        &self,
        lease: &str,
        revision: u64,
        row: &T,
    ) -> Result<RowWithRevision<T>, LeaseStoreError> {
        let value = serde_json::to_string(row).map_err(unreadable)?;
        let (table, key) = (TABLE.to_string(), lease.to_string());
        let condition = Condition { table: table.clone(), key: key.clone(), revision };
        let puts = vec![Put { table, key, value }];
        let transaction = Transaction { conditions: vec![condition], puts };
        let answer = self.table.transact(&transaction).await;
        let rows = answer.map_err(LeaseStoreError::Table)?.rows;
        rows.first().map(parse).transpose()
    }
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<(u64, T), LeaseStoreError> {
    let value = serde_json::from_str(&row.value).map_err(unreadable)?;
    Ok((row.revision, value))
}

fn unreadable(error: serde_json::Error) -> LeaseStoreError {
    LeaseStoreError::Unreadable(error.to_string())
}
