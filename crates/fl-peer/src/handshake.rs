//! Handshake in which both ends of a new connection prove that they hold the fleet key.
//!
//! Each end sends a fresh nonce and then an HMAC-SHA256 over both nonces and its own role, so that
//! neither a replayed nor a reflected proof is accepted. The connection is authenticated but not
//! encrypted: the network between the data centres is trusted to keep the content confidential, not
//! to admit only nodes of the fleet.

use displaydoc::Display;
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;
use std::time::Duration;
use subtle::ConstantTimeEq as _;
use thiserror::Error;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Secret key that all nodes of a fleet share.
pub type FleetKey = [u8; 32];

type Nonce = [u8; 32];
type Proof = [u8; 32];

/// First bytes of a connection, which identify the peer protocol and its version.
const MAGIC: [u8; 4] = *b"FLP1";
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECTING_ROLE: &[u8] = b"connect";
const ACCEPTING_ROLE: &[u8] = b"accept";

/// Reason why a handshake failed.
#[derive(Debug, Display, Error)]
pub enum HandshakeError {
    /// the remote end does not use the peer protocol; check that it connects to the right port
    OtherProtocol,
    /// the remote end does not hold the fleet key; set the same [fleet] key_hex on all nodes
    WrongKey,
    /// the remote end did not complete the handshake in time; check the network
    TimedOut,
    /// the connection failed during the handshake: {0}
    ConnectionLost(std::io::Error),
}

impl From<std::io::Error> for HandshakeError {
    fn from(error: std::io::Error) -> Self {
        HandshakeError::ConnectionLost(error)
    }
}

/// Performs the handshake as the connecting end.
///
/// # Errors
///
/// Returns an error if the accepting end does not prove the key within two seconds.
pub async fn connect(
    stream: &mut TcpStream,
    key: &FleetKey,
    nonce: Nonce,
) -> Result<(), HandshakeError> {
    let handshake = perform_connecting_side(stream, key, nonce);
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| HandshakeError::TimedOut)?
}

/// Performs the handshake as the accepting end.
///
/// # Errors
///
/// Returns an error if the connecting end does not prove the key within two seconds.
pub async fn accept(
    stream: &mut TcpStream,
    key: &FleetKey,
    nonce: Nonce,
) -> Result<(), HandshakeError> {
    let handshake = perform_accepting_side(stream, key, nonce);
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| HandshakeError::TimedOut)?
}

async fn perform_connecting_side(
    stream: &mut TcpStream,
    key: &FleetKey,
    own_nonce: Nonce,
) -> Result<(), HandshakeError> {
    stream.write_all(&MAGIC).await?;
    stream.write_all(&own_nonce).await?;
    let mut remote_nonce = Nonce::default();
    stream.read_exact(&mut remote_nonce).await?;
    let mut remote_proof = Proof::default();
    stream.read_exact(&mut remote_proof).await?;
    let expected = compute_proof(key, ACCEPTING_ROLE, &own_nonce, &remote_nonce)?;
    verify_proof(&expected, &remote_proof)?;
    stream.write_all(&compute_proof(key, CONNECTING_ROLE, &own_nonce, &remote_nonce)?).await?;
    Ok(())
}

async fn perform_accepting_side(
    stream: &mut TcpStream,
    key: &FleetKey,
    own_nonce: Nonce,
) -> Result<(), HandshakeError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::OtherProtocol);
    }
    let mut remote_nonce = Nonce::default();
    stream.read_exact(&mut remote_nonce).await?;
    stream.write_all(&own_nonce).await?;
    stream.write_all(&compute_proof(key, ACCEPTING_ROLE, &remote_nonce, &own_nonce)?).await?;
    let mut remote_proof = Proof::default();
    stream.read_exact(&mut remote_proof).await?;
    let expected = compute_proof(key, CONNECTING_ROLE, &remote_nonce, &own_nonce)?;
    verify_proof(&expected, &remote_proof)
}

fn compute_proof(
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

fn verify_proof(expected: &Proof, given: &Proof) -> Result<(), HandshakeError> {
    if bool::from(expected.ct_eq(given)) { Ok(()) } else { Err(HandshakeError::WrongKey) }
}
