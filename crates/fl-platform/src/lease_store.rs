//! Store of lease rows in the table service.

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

/// Error of reading or writing a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LeaseStoreError {
    /// the table service did not answer: {0}; no orders are sent until it does
    Table(HttpError),
    /// the lease row cannot be parsed: {0}; run the same release on all nodes
    Unreadable(String),
}

/// A row with its revision, or `None` if nobody has held the lease yet.
pub type RowWithRevision<T> = Option<(u64, T)>;

/// Store of lease rows; calls are not retried.
#[derive(Debug, Clone)]
pub struct LeaseStore {
    table: TableClient,
}

impl LeaseStore {
    /// Creates a store on the table service at `table`; `timeout` bounds each call.
    pub fn new(table: SocketAddr, timeout: Duration) -> Self {
        LeaseStore { table: TableClient::new(table, timeout) }
    }

    /// Reads the row of the lease with this name.
    pub async fn read<T: DeserializeOwned>(
        &self,
        lease: &str,
    ) -> Result<RowWithRevision<T>, LeaseStoreError> {
        let row = self.table.read(TABLE, lease).await;
        row.map_err(LeaseStoreError::Table)?.as_ref().map(parse_row).transpose()
    }

    /// Writes the row if it still has `revision`, and returns the stored row after the call.
    ///
    /// The returned row is that of another holder if the revision had changed. After an error the
    /// write may have taken effect; read the row to find out.
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
        let response = self.table.transact(&transaction).await;
        let rows = response.map_err(LeaseStoreError::Table)?.rows;
        rows.first().map(parse_row).transpose()
    }
}

fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<(u64, T), LeaseStoreError> {
    let value = serde_json::from_str(&row.value).map_err(unreadable)?;
    Ok((row.revision, value))
}

fn unreadable(error: serde_json::Error) -> LeaseStoreError {
    LeaseStoreError::Unreadable(error.to_string())
}
