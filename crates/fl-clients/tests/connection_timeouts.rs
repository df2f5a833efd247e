//! A new idle timeout applies from the next response on.

use fl_clients::{ConnectionTimer, TimedConnection};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const LONG: Duration = Duration::from_secs(3600);
const SHORT: Duration = Duration::from_millis(10);

#[tokio::test]
async fn shorter_idle_timeout_applies() {
    let (connection, _caller) = tokio::io::duplex(64);
    let timer = ConnectionTimer::new(LONG, LONG);
    let mut connection = TimedConnection::new(connection, timer.clone());
    let request = timer.on_head_read();
    timer.set_timeouts(LONG, SHORT);
    drop(request);
    let read = connection.read_u8().await;
    assert_eq!(read.map_err(|error| error.kind()), Err(ErrorKind::TimedOut));
}

#[tokio::test]
async fn longer_idle_timeout_applies() {
    let (connection, mut caller) = tokio::io::duplex(64);
    let timer = ConnectionTimer::new(LONG, SHORT);
    let mut connection = TimedConnection::new(connection, timer.clone());
    let request = timer.on_head_read();
    timer.set_timeouts(LONG, LONG);
    drop(request);
    let write_later = async {
        tokio::time::sleep(SHORT * 3).await;
        caller.write_u8(7).await
    };
    let (read, written) = tokio::join!(connection.read_u8(), write_later);
    assert!(written.is_ok());
    assert_eq!(read.ok(), Some(7));
}
