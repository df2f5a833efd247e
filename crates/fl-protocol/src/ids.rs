//! Type aliases for ids and names, and functions that derive, format and hash them.

use sha2::{Digest as _, Sha256};

/// Id of a request, the same on all nodes and for all attempts.
pub type RequestId = u128;
/// Name of a customer's workspace in the configuration.
pub type WorkspaceName = String;
/// Name that the platform gives to a VM, which runs a node or a backend server.
pub type VmName = String;
/// Name of a data centre, which the platform calls a zone.
pub type DataCenterName = String;
/// Name of a model or of one of its adapters, as `model` or `model:adapter`.
pub type ModelName = String;
/// Name of a plain service.
pub type ServiceName = String;
/// Random number that identifies one claim of a call that must run at most once.
///
/// The owner of the call chooses it. A restarted owner knows none of its earlier nonces and so
/// never reports on claims that it made before the restart.
pub type ClaimNonce = u128;
/// Version of the configuration; each accepted one has a greater version.
pub type ConfigurationVersion = u64;
/// Fencing token of a lease; each later holder has a greater one, so that orders of earlier holders
/// can be rejected.
pub type FencingToken = u64;
/// Number of a node's process; greater after each restart, so that messages about earlier processes
/// are ignored.
pub type Incarnation = u64;
/// Number of an attempt to run a request at a backend server.
pub type AttemptNumber = u32;
/// Number of an owner of a request; greater for each new owner.
pub type OwnerEpoch = u32;
/// Hash of a request's content, which does not depend on the sender.
pub type Fingerprint = u64;
/// Hash of a block of a prompt together with all blocks before it.
pub type BlockHash = u64;
/// Offset of a token in a response; the first token has offset 0.
pub type TokenOffset = u64;
/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMs = u64;

/// Formats a request id as 32 hexadecimal digits, as in headers and logs.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Parses a request id that [`format_request_id`] formatted.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}

/// Derives the request id of a call from its idempotency key.
///
/// The id depends only on the workspace and the key, so that every node finds the same owner and
/// guardian for a call that its caller retries.
pub fn derive_request_id(workspace: &str, key: &str) -> RequestId {
    let digest = Sha256::new()
        .chain_update(workspace.as_bytes())
        .chain_update([0])
        .chain_update(key.as_bytes())
        .finalize();
    let mut id_bytes = [0; 16];
    id_bytes.copy_from_slice(&digest[..16]);
    RequestId::from_be_bytes(id_bytes)
}

/// Returns a 64-bit hash of a sequence of byte strings.
///
/// Each string is hashed with its length, so that different sequences of the same bytes have
/// different hashes. Used for fingerprints, prompt blocks and rendezvous ranks.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix_bytes = [0; 8];
    prefix_bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix_bytes)
}

/// Returns the SHA-256 of bytes as 64 hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
