//! The handshake accepts only holders of the fleet key and refuses a replayed proof.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_peer::handshake::{HandshakeError, accept, connect};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const KEY: [u8; 32] = [7; 32];
const OTHER_KEY: [u8; 32] = [8; 32];
const CONNECTING_NONCE: [u8; 32] = [1; 32];
const ACCEPTING_NONCE: [u8; 32] = [2; 32];
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    (connected.unwrap(), accepted.unwrap().0)
}

#[tokio::test]
async fn same_key_accepted() {
    let (mut a, mut b) = connected_pair().await;
    let (connected, accepted) = tokio::join!(
        connect(&mut a, &KEY, CONNECTING_NONCE),
        accept(&mut b, &KEY, ACCEPTING_NONCE)
    );
    assert!(connected.is_ok() && accepted.is_ok(), "{connected:?} {accepted:?}");
}

#[tokio::test]
async fn other_key_refused() {
    let (mut a, mut b) = connected_pair().await;
    let connecting = async {
        let result = connect(&mut a, &OTHER_KEY, CONNECTING_NONCE).await;
        drop(a);
        result
    };
    let (connected, accepted) = tokio::join!(connecting, accept(&mut b, &KEY, ACCEPTING_NONCE));
    assert!(matches!(connected, Err(HandshakeError::WrongKey)), "{connected:?}");
    assert!(accepted.is_err());
}

#[tokio::test]
async fn other_protocol_refused() {
    let (mut a, mut b) = connected_pair().await;
    a.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let accepted = accept(&mut b, &KEY, ACCEPTING_NONCE).await;
    assert!(matches!(accepted, Err(HandshakeError::OtherProtocol)), "{accepted:?}");
}

#[tokio::test]
async fn silent_connection_times_out() {
    let (_a, mut b) = connected_pair().await;
    let accepted = accept(&mut b, &KEY, ACCEPTING_NONCE).await;
    assert!(matches!(accepted, Err(HandshakeError::TimedOut)), "{accepted:?}");
}

/// Returns the bytes that a connecting end sends, as recorded by a relay on the network.
async fn record_connecting_end() -> Vec<u8> {
    let (mut a, mut b) = connected_pair().await;
    let recording = async {
        let mut sent = vec![0; 4 + NONCE_BYTES + PROOF_BYTES];
        let (mut relay_a, mut relay_b) = connected_pair().await;
        let accepting = accept(&mut relay_b, &KEY, ACCEPTING_NONCE);
        let relaying = async {
            let head_bytes = 4 + NONCE_BYTES;
            b.read_exact(&mut sent[..head_bytes]).await.unwrap();
            relay_a.write_all(&sent[..head_bytes]).await.unwrap();
            let mut answer = [0; NONCE_BYTES + PROOF_BYTES];
            relay_a.read_exact(&mut answer).await.unwrap();
            b.write_all(&answer).await.unwrap();
            b.read_exact(&mut sent[head_bytes..]).await.unwrap();
            relay_a.write_all(&sent[head_bytes..]).await.unwrap();
        };
        let (accepted, ()) = tokio::join!(accepting, relaying);
        assert!(accepted.is_ok(), "{accepted:?}");
        sent
    };
    let (connected, sent) = tokio::join!(connect(&mut a, &KEY, CONNECTING_NONCE), recording);
    assert!(connected.is_ok(), "{connected:?}");
    sent
}

#[tokio::test]
async fn replayed_proof_refused() {
    let recorded = record_connecting_end().await;
    for (nonce, trusted) in [(ACCEPTING_NONCE, true), ([3; 32], false)] {
        let (mut a, mut b) = connected_pair().await;
        a.write_all(&recorded).await.unwrap();
        let accepted = accept(&mut b, &KEY, nonce).await;
        // The recording is valid for the same nonce only, and nonces are random.
        assert_eq!(accepted.is_ok(), trusted, "{accepted:?}");
    }
}
