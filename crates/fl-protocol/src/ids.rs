//! Ids as type aliases, and the adapters that print them.

use sha2::{Digest as _, Sha256};

/// Names one accepted request over all nodes and attempts.
pub type RequestId = u128;
/// Names a customer's workspace, as the configuration declares it.
pub type WorkspaceName = String;
/// Names a VM, entry or backend server, as the platform does.
pub type VmName = String;
/// Names a data centre (the platform's zone).
pub type DataCenterName = String;
/// Names a model or one of its adapters (`model` or `model:adapter`).
pub type ModelName = String;
/// Names a plain service beside the model engines.
pub type ServiceName = String;
/// Names one claim of a call that may not be repeated, chosen at random by its owner.
///
/// An owner that was restarted knows none of its earlier life's nonces and so never answers for it.
pub type ClaimNonce = u128;
/// Counts accepted configurations; only ever grows.
pub type ConfigurationVersion = u64;
/// Orders the holders of one lease; a later holder has the greater number.
pub type FencingToken = u64;
/// Counts the lives of one VM's process, so that old news about it loses.
pub type Incarnation = u64;
/// Counts the tries of one request at backend servers.
pub type AttemptNumber = u32;
/// Counts the owners a request has had.
pub type OwnerEpoch = u32;
/// Identifies the content of a request, whoever sends it.
pub type Fingerprint = u64;
/// Identifies one block of a prompt together with all blocks before it.
pub type BlockHash = u64;
/// Counts tokens from the first of an answer, which has offset 0.
pub type TokenOffset = u64;
/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMs = u64;

/// Prints a request id the way headers and logs carry it: 32 hexadecimal digits.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Reads a request id written by [`format_request_id`].
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}

/// Derives the request id of a call with an idempotency key.
///
/// The id depends on the workspace and the key alone, so that every node finds the same owner and
/// guardian for a call that its caller sends again.
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

/// Hashes bytes to 64 bits; used for fingerprints, blocks and rendezvous ranks.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut head_bytes = [0; 8];
    head_bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head_bytes)
}

/// Prints the SHA-256 of bytes as 64 hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
