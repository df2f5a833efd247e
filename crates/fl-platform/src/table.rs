//! Client for the table service, with conditional writes of several rows.

use crate::http::{ConnectionReuse, HttpClient, HttpError};
use crate::rows::{read_row, transact};
use fl_protocol::platform::{Row, Transaction, TransactionResponse};
use std::net::SocketAddr;
use std::time::Duration;

/// Client for the table service; calls are not retried.
#[derive(Debug, Clone)]
pub struct TableClient {
    http: HttpClient,
    table_service: SocketAddr,
    timeout: Duration,
}

impl TableClient {
    /// Creates a client; `timeout` bounds each call.
    pub fn new(table_service: SocketAddr, timeout: Duration) -> Self {
        TableClient { http: HttpClient::new(ConnectionReuse::Pooled), table_service, timeout }
    }

    /// Sends a transaction; after an error it may still take effect, unless [`is_definite_failure`]
    /// holds.
    pub async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionResponse, HttpError> {
        transact(&self.http, self.table_service, transaction, self.timeout).await
    }

    /// Returns the row with this key, or `None` if there is none.
    pub async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, HttpError> {
        read_row(&self.http, self.table_service, table, key, self.timeout).await
    }

    /// Returns the rows of a table whose keys begin with a prefix.
    pub async fn scan(&self, table: &str, prefix: &str) -> Result<Vec<Row>, HttpError> {
        let uri = format!("http://{}/v1/rows/{table}?prefix={prefix}", self.table_service);
        self.http.get_json(&uri, self.timeout).await
    }
}

/// Returns whether a failed transaction will certainly never take effect.
///
/// A 503 does not prove that, since a proxy on the way may have generated it.
pub fn is_definite_failure(error: &HttpError) -> bool {
    const TOO_MANY_REQUESTS: u16 = 429;
    match error {
        HttpError::NotConnected(_) | HttpError::ConnectTimedOut(_) => true,
        HttpError::Status(_, status, _) => *status == TOO_MANY_REQUESTS,
        _ => false,
    }
}
