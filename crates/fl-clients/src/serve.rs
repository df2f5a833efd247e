//! Serves a connection until its client, the node or the need for room ends it.

use crate::connection_table::ConnectionSlot;
use hyper_util::server::graceful::GracefulConnection;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long a connection that makes room may still write the refusal of its request.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Serves a connection until it ends. Once `closing` is cancelled, the current response is completed
/// first; once `cancel` is cancelled, it ends at once.
///
/// A connection that has to make room ends at once, unless a request is being received on it, which
/// is refused first.
pub async fn serve_until_closed<C: GracefulConnection>(
    connection: C,
    slot: ConnectionSlot,
    closing: &CancellationToken,
    cancel: &CancellationToken,
) {
    tokio::pin!(connection);
    let is_draining = tokio::select! {
        _ = &mut connection => return,
        () = slot.closing().cancelled() => false,
        () = closing.cancelled() => true,
    };
    if is_draining {
        connection.as_mut().graceful_shutdown();
        let rest = cancel.run_until_cancelled(&mut connection);
        if slot.closing().run_until_cancelled(rest).await.is_some() {
            return;
        }
    }
    if slot.timer().is_reading_body() {
        // Whatever is not written by then is lost, as the client does not read it.
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
    }
}
