//! Datagram format: a truncated HMAC-SHA256 under the fleet key, then the postcard encoding.

use displaydoc::Display;
use fl_protocol::{ConfigurationVersion, DataCenterName, Member, VmName};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Size limit of a datagram, in bytes; small enough that no path between data centres fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length of the truncated HMAC, in bytes; 128 bits withstand forgery.
pub const TAG_BYTES: usize = 16;
/// Size limit of a piggybacked payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;

/// Number of a probe, unique at its sender.
pub type ProbeSequence = u32;

/// Content of a datagram between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Request or response.
    pub body: Body,
    /// Version of the configuration in force at the sender.
    pub configuration_version: ConfigurationVersion,
    /// Digest of the sender's member table; if it differs, the receiver adds table entries to its
    /// datagrams.
    pub table_digest: u32,
    /// Ages of the last contacts between the sender's data centre and each other one.
    pub contacts: Vec<ContactAge>,
    /// Entries of the member table: queued updates first, then a part of the table.
    pub updates: Vec<Member>,
    /// Piggybacked payloads of other services.
    pub payloads: Vec<PiggybackedPayload>,
}

/// Request or response of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A heartbeat that asks its target for an acknowledgement.
    Ping {
        /// Number of the probe at its sender.
        sequence: ProbeSequence,
        /// Member that must respond; another VM at the same address does not.
        target: VmName,
        /// Full entry of the sender, because the target may not know it.
        from: Member,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the probe that is acknowledged.
        sequence: ProbeSequence,
        /// Member that is alive.
        from: VmName,
    },
    /// Asks a peer to ping a target that did not answer the sender.
    IndirectPing {
        /// Number of the probe at its sender.
        sequence: ProbeSequence,
        /// Member to ping.
        target: VmName,
        /// Full entry of the sender.
        from: Member,
    },
    /// Asks for the whole member table; sent by a node that knows no other node.
    Join {
        /// Full entry of the sender.
        from: Member,
    },
    /// Carries a part of the member table in response to a join.
    Table {
        /// Full entry of the sender.
        from: Member,
    },
}

/// Age of the last contact with a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactAge {
    /// Name of the data centre.
    pub data_center: DataCenterName,
    /// Time since the contact, in milliseconds.
    pub age_ms: u32,
}

/// A small payload of another service that spreads on the heartbeats of its member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PiggybackedPayload {
    /// Member that set the payload.
    pub vm: VmName,
    /// Version, which grows with each change.
    pub version: u64,
    /// Content, at most [`MAX_PAYLOAD_BYTES`] long; membership does not interpret it.
    pub bytes: Vec<u8>,
}

/// Reason why a datagram was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// datagram of {0} bytes exceeds the 1200-byte limit; the sender is not a node of this fleet
    TooLong(usize),
    /// datagram is too short to hold an authentication tag; the sender is not a node of this fleet
    TooShort,
    /// datagram is not authenticated by the fleet key; set the same [fleet] key_hex on all nodes
    Unauthenticated,
    /// cannot decode a datagram; run the same release on all nodes
    Unreadable,
}

/// Encodes a datagram, with its authentication tag in front.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] for a datagram above [`MAX_DATAGRAM_BYTES`].
pub fn encode(key: &[u8], datagram: &Datagram) -> Result<Vec<u8>, CodecError> {
    let payload = postcard::to_stdvec(datagram).map_err(|_| CodecError::Unreadable)?;
    let tag = authentication_tag(key, &payload)?;
    let mut bytes = Vec::with_capacity(TAG_BYTES + payload.len());
    bytes.extend_from_slice(&tag);
    bytes.extend_from_slice(&payload);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Checks the authentication tag of a datagram and decodes it.
///
/// # Errors
///
/// Returns [`CodecError::Unauthenticated`] if the sender does not hold the fleet key.
pub fn decode(key: &[u8], bytes: &[u8]) -> Result<Datagram, CodecError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    let (tag, payload) = bytes.split_at_checked(TAG_BYTES).ok_or(CodecError::TooShort)?;
    let expected = authentication_tag(key, payload)?;
    if !bool::from(expected.as_slice().ct_eq(tag)) {
        return Err(CodecError::Unauthenticated);
    }
    postcard::from_bytes(payload).map_err(|_| CodecError::Unreadable)
}

/// Returns the number of bytes that a part adds to a datagram.
pub fn encoded_len<T: Serialize>(part: &T) -> usize {
    postcard::to_stdvec(part).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

fn authentication_tag(key: &[u8], payload: &[u8]) -> Result<[u8; TAG_BYTES], CodecError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| CodecError::Unauthenticated)?;
    mac.update(payload);
    let digest = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    Ok(tag)
}
