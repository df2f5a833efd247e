//! Requests to the table service for single rows and transactions.

use crate::http::{HttpClient, HttpError};
use fl_protocol::platform::{Row, Transaction, TransactionResponse};
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;

const NOT_FOUND: u16 = 404;

/// Returns the row with this key, or `None` if there is none.
pub(crate) async fn read_row(
    http: &HttpClient,
    table_service: SocketAddr,
    table: &str,
    key: &str,
    timeout: Duration,
) -> Result<Option<Row>, HttpError> {
    let uri = format!("http://{table_service}/v1/rows/{table}/{key}");
    match http.get_json(&uri, timeout).await {
        Ok(row) => Ok(Some(row)),
        Err(HttpError::Status(_, NOT_FOUND, _)) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Sends a transaction once, without retries.
pub(crate) async fn transact(
    http: &HttpClient,
    table_service: SocketAddr,
    transaction: &Transaction,
    timeout: Duration,
) -> Result<TransactionResponse, HttpError> {
    let uri = format!("http://{table_service}/v1/transactions");
    http.send_json(Method::POST, &uri, transaction, timeout).await
}
