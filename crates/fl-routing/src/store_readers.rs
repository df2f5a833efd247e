//! Which nodes read the platform's store for the others.
//!
//! Every read is paid for, and in a large fleet all nodes read the same few rows. So a few nodes read
//! often, and each other node asks one of them. All nodes choose alike from the peers they hear; two
//! that choose differently for a moment read once too often and nothing else.

use crate::rendezvous::rank;
use fl_protocol::hash64;
use std::net::SocketAddr;

/// Nodes that one reader answers; at three questions a second each costs it little.
const NODES_PER_READER: usize = 16;
/// The key by which nodes are ranked as readers.
const READER_KEY: u64 = 0;

/// The node that `own` asks; none if it reads the store itself.
///
/// `fresh_peers` are the peers that were heard lately and whose own knowledge is fresh.
pub fn assigned_reader(own: SocketAddr, fresh_peers: &[SocketAddr]) -> Option<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = fresh_peers
        .iter()
        .chain([&own])
        .map(|address| (rank(READER_KEY, address_hash(*address)), *address))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    let readers = &ranked[..ranked.len().div_ceil(NODES_PER_READER)];
    if readers.iter().any(|(_, address)| *address == own) {
        return None;
    }
    let own_hash = address_hash(own);
    let chosen = readers.iter().max_by_key(|(_, reader)| rank(own_hash, address_hash(*reader)));
    chosen.map(|(_, reader)| *reader)
}

fn address_hash(address: SocketAddr) -> u64 {
    hash64(&[address.to_string().as_bytes()])
}
