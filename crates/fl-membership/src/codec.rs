//! The datagrams: postcard, preceded by a truncated HMAC-SHA256 under the fleet key.

use displaydoc::Display;
use fl_protocol::{ConfigurationVersion, DataCenterName, Member, VmName};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// The largest datagram, in bytes, so that no path between data centres fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes of the HMAC that are sent; 128 bits withstand forgery.
pub const TAG_BYTES: usize = 16;
/// The largest payload of a member, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;

/// Names one probe of one sender.
pub type ProbeSequence = u32;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// What is asked or answered.
    pub body: Body,
    /// The version of the configuration in force at the sender.
    pub configuration_version: ConfigurationVersion,
    /// Digest of the sender's member table; a difference asks for more entries.
    pub table_digest: u32,
    /// How long ago the sender's data centre heard from each other one.
    pub contacts: Vec<ContactAge>,
    /// Entries of the member table: news first, then parts of the table.
    pub updates: Vec<Member>,
    /// Small per-member payloads of other services.
    pub payloads: Vec<PiggybackedPayload>,
}

/// What a datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A heartbeat that asks its target for an acknowledgement.
    Ping {
        /// Names the probe at its sender.
        sequence: ProbeSequence,
        /// For whom it is; another VM at the same address does not answer.
        target: VmName,
        /// The sender, whole, since its target may not know it.
        from: Member,
    },
    /// Answers a ping.
    Ack {
        /// The probe that it answers.
        sequence: ProbeSequence,
        /// The member that is alive.
        from: VmName,
    },
    /// Asks a peer to probe a target that did not answer the sender.
    IndirectPing {
        /// Names the probe at its sender.
        sequence: ProbeSequence,
        /// The member to probe.
        target: VmName,
        /// The sender, whole.
        from: Member,
    },
    /// Asks for the whole table; sent by a node that knows nobody.
    Join {
        /// The sender, whole.
        from: Member,
    },
    /// A part of the table in answer to a join.
    Table {
        /// The sender, whole.
        from: Member,
    },
}

/// How long ago a data centre was heard from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactAge {
    /// The data centre.
    pub data_center: DataCenterName,
    /// The age of the contact, in milliseconds.
    pub age_ms: u32,
}

/// A small payload that one member spreads to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PiggybackedPayload {
    /// Whose it is.
    pub vm: VmName,
    /// Grows with each change.
    pub version: u64,
    /// At most [`MAX_PAYLOAD_BYTES`], opaque to membership.
    pub bytes: Vec<u8>,
}

/// Why a datagram was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// a datagram of {0} bytes is above the limit of 1200; the sender is no node of this fleet
    TooLong(usize),
    /// a datagram is too short to carry a proof; the sender is no node of this fleet
    TooShort,
    /// a datagram does not prove the fleet key; give all nodes the same [fleet] key_hex
    NotTrusted,
    /// a datagram cannot be read; run the same release on all nodes
    Unreadable,
}

/// Writes a datagram with its proof in front.
pub fn encode(key: &[u8], datagram: &Datagram) -> Result<Vec<u8>, CodecError> {
    let payload = postcard::to_stdvec(datagram).map_err(|_| CodecError::Unreadable)?;
    let tag = proof(key, &payload)?;
    let mut bytes = Vec::with_capacity(TAG_BYTES + payload.len());
    bytes.extend_from_slice(&tag);
    bytes.extend_from_slice(&payload);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Reads a datagram and refuses one whose sender does not prove the fleet key.
pub fn decode(key: &[u8], bytes: &[u8]) -> Result<Datagram, CodecError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    let (tag, payload) = bytes.split_at_checked(TAG_BYTES).ok_or(CodecError::TooShort)?;
    let expected = proof(key, payload)?;
    if !bool::from(expected.as_slice().ct_eq(tag)) {
        return Err(CodecError::NotTrusted);
    }
    postcard::from_bytes(payload).map_err(|_| CodecError::Unreadable)
}

/// Counts the bytes a part adds to a datagram.
pub fn encoded_bytes<T: Serialize>(part: &T) -> usize {
    postcard::to_stdvec(part).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

fn proof(key: &[u8], payload: &[u8]) -> Result<[u8; TAG_BYTES], CodecError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| CodecError::NotTrusted)?;
    mac.update(payload);
    let digest = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    Ok(tag)
}
