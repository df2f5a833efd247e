//! Timeouts of the HTTP client: a response is read while its bytes arrive.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use fl_platform::http::build_json_request;
use fl_platform::{ConnectionReuse, HttpClient, HttpError};
use http::Method;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(300);
const PART: [u8; 10] = [b'x'; 10];

/// Starts a server that sends a head with a length and then parts of the body at an interval; it
/// keeps the connection open after the last part.
async fn start_server(body_bytes: usize, parts: usize, interval: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _ = socket.read(&mut request).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
        socket.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..parts {
            tokio::time::sleep(interval).await;
            socket.write_all(&PART).await.unwrap();
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn fetch(address: SocketAddr) -> Result<usize, HttpError> {
    let uri = format!("http://{address}/");
    let request = build_json_request(Method::GET, &uri, Bytes::new()).unwrap();
    let client = HttpClient::new(ConnectionReuse::Never);
    client.fetch(request, TIMEOUT).await.map(|response| response.body.len())
}

#[tokio::test]
async fn slow_body_read_whole() {
    let address = start_server(100, 10, Duration::from_millis(60)).await;
    assert_eq!(fetch(address).await, Ok(100));
}

#[rstest]
#[case::at_once(0)]
#[case::midway(4)]
#[tokio::test]
async fn stalled_body_abandoned(#[case] parts: usize) {
    let address = start_server(100, parts, Duration::from_millis(1)).await;
    let uri = format!("http://{address}/");
    assert_eq!(fetch(address).await, Err(HttpError::Stalled(uri, parts * PART.len(), TIMEOUT)));
}

#[tokio::test]
async fn deadline_bounds_whole() {
    let address = start_server(100, 10, Duration::from_millis(60)).await;
    let uri = format!("http://{address}/");
    let request = build_json_request(Method::GET, &uri, Bytes::new()).unwrap();
    let client = HttpClient::new(ConnectionReuse::Never);
    let result = client.fetch_within(request, TIMEOUT).await;
    assert!(matches!(result, Err(HttpError::TimedOut(..))), "{result:?}");
}
