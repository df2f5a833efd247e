//! A small HTTP client that opens a new connection for each call.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpStream;

/// The time after which a test that hangs fails.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// Returns an address that no other test uses: a random loopback IP and a port chosen by the
/// system.
pub fn fresh_address() -> SocketAddr {
    let [b, c, d]: [u8; 3] = rand::random();
    SocketAddr::from((Ipv4Addr::new(127, b.max(1), c, d.clamp(1, 254)), 0))
}

/// Sends a request and returns the response once its head has arrived.
pub async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Response<Incoming>, String> {
    let socket = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    sender.send_request(request).await.map_err(|error| error.to_string())
}

/// Sends a request and reads the whole response; an error if the connection ended early.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), String> {
    let exchange = async {
        let response = open(address, method, path, headers, body).await?;
        let status = response.status();
        let collected = response.into_body().collect().await.map_err(|error| error.to_string())?;
        Ok((status, collected.to_bytes()))
    };
    tokio::time::timeout(DEADLINE, exchange).await.unwrap()
}

/// Sends a JSON body and returns the response status.
pub async fn send(address: SocketAddr, method: &str, path: &str, value: &impl Serialize) -> u16 {
    let body = serde_json::to_vec(value).unwrap();
    call(address, method, path, &[], body).await.unwrap().0.as_u16()
}

/// Gets a JSON value; panics on any status but 200.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let (status, body) = call(address, "GET", path, &[], Vec::new()).await.unwrap();
    assert_eq!(status, StatusCode::OK, "GET {path}");
    serde_json::from_slice(&body).unwrap()
}

/// Polls a condition until it holds; panics after [`DEADLINE`].
pub async fn wait_until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(DEADLINE, poll).await.unwrap();
}
