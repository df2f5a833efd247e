//! Both ends of a new connection prove that they hold the fleet key.
//!
//! Each end sends a fresh nonce and then an HMAC-SHA256 over both nonces and its own role, so that
//! neither a recorded nor a reflected proof is accepted. The bytes that follow are not encrypted:
//! the data centres' network is trusted with their content, not with who may speak.

use displaydoc::Display;
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;
use std::time::Duration;
use subtle::ConstantTimeEq as _;
use thiserror::Error;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// The key that all nodes of one fleet share.
pub type FleetKey = [u8; 32];

type Nonce = [u8; 32];
type Proof = [u8; 32];

const MAGIC: [u8; 4] = *b"FLP1";
const TIMEOUT: Duration = Duration::from_secs(2);
const CONNECTING_ROLE: &[u8] = b"connect";
const ACCEPTING_ROLE: &[u8] = b"accept";

/// Why a connection was not trusted.
#[derive(Debug, Display, Error)]
pub enum HandshakeError {
    /// the other end does not speak this protocol; check the port
    OtherProtocol,
    /// the other end does not hold the fleet key; give all nodes the same [fleet] key_hex
    WrongKey,
    /// the other end did not finish the handshake in time; check the network
    TimedOut,
    /// the connection broke during the handshake: {0}
    Broken(std::io::Error),
}

impl From<std::io::Error> for HandshakeError {
    fn from(error: std::io::Error) -> Self {
        HandshakeError::Broken(error)
    }
}

/// Proves the key as the connecting end and verifies the accepting end.
pub async fn connect(
    stream: &mut TcpStream,
    key: &FleetKey,
    nonce: Nonce,
) -> Result<(), HandshakeError> {
    let exchange = connect_steps(stream, key, nonce);
    tokio::time::timeout(TIMEOUT, exchange).await.map_err(|_| HandshakeError::TimedOut)?
}

/// Proves the key as the accepting end and verifies the connecting end.
pub async fn accept(
    stream: &mut TcpStream,
    key: &FleetKey,
    nonce: Nonce,
) -> Result<(), HandshakeError> {
    let exchange = accept_steps(stream, key, nonce);
    tokio::time::timeout(TIMEOUT, exchange).await.map_err(|_| HandshakeError::TimedOut)?
}

async fn connect_steps(
    stream: &mut TcpStream,
    key: &FleetKey,
    own_nonce: Nonce,
) -> Result<(), HandshakeError> {
    stream.write_all(&MAGIC).await?;
    stream.write_all(&own_nonce).await?;
    let mut other_nonce = Nonce::default();
    stream.read_exact(&mut other_nonce).await?;
    let mut other_proof = Proof::default();
    stream.read_exact(&mut other_proof).await?;
    let expected = proof(key, ACCEPTING_ROLE, &own_nonce, &other_nonce)?;
    verify(&expected, &other_proof)?;
    stream.write_all(&proof(key, CONNECTING_ROLE, &own_nonce, &other_nonce)?).await?;
    Ok(())
}

async fn accept_steps(
    stream: &mut TcpStream,
    key: &FleetKey,
    own_nonce: Nonce,
) -> Result<(), HandshakeError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::OtherProtocol);
    }
    let mut other_nonce = Nonce::default();
    stream.read_exact(&mut other_nonce).await?;
    stream.write_all(&own_nonce).await?;
    stream.write_all(&proof(key, ACCEPTING_ROLE, &other_nonce, &own_nonce)?).await?;
    let mut other_proof = Proof::default();
    stream.read_exact(&mut other_proof).await?;
    let expected = proof(key, CONNECTING_ROLE, &other_nonce, &own_nonce)?;
    verify(&expected, &other_proof)
}

fn proof(
    key: &FleetKey,
    role: &[u8],
    connecting_nonce: &Nonce,
    accepting_nonce: &Nonce,
) -> Result<Proof, HandshakeError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| HandshakeError::WrongKey)?;
    mac.update(role);
    mac.update(connecting_nonce);
    mac.update(accepting_nonce);
    Ok(mac.finalize().into_bytes().into())
}

fn verify(expected: &Proof, given: &Proof) -> Result<(), HandshakeError> {
    if bool::from(expected.ct_eq(given)) { Ok(()) } else { Err(HandshakeError::WrongKey) }
}
