//! Assigns the nodes that read the platform's store on behalf of the other nodes.
//!
//! Each read of the store costs money, and in a large fleet all nodes read the same few rows. A few
//! nodes therefore read often, and every other node queries one of them. Each node computes the
//! assignment from the peers that it hears from. If two nodes disagree for a moment, the only
//! effect is a redundant read.

use crate::rendezvous::rank;
use fl_protocol::hash64;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of nodes per reader. Each of them sends three queries per second, a small load for the
/// reader.
const NODES_PER_READER: usize = 16;
/// Key for rendezvous hashing by which nodes are ranked as readers.
const READER_KEY: u64 = 0;

/// Shortest interval at which a node reads the list of nodes, to find those whose datagrams never
/// arrived.
const LIST_INTERVAL_MIN: Duration = Duration::from_secs(15);
/// Reads of the list of nodes per second that all nodes make together in a large fleet.
const LIST_READS_PER_S: f64 = 2.0;

/// Returns the interval at which each of `nodes` nodes that hear each other reads the list of nodes.
///
/// A node that is cut off from most of a large fleet hears few, so it soon finds the others again,
/// and they hear of it by its datagrams.
pub fn list_interval(nodes: usize) -> Duration {
    LIST_INTERVAL_MIN.max(Duration::from_secs_f64(nodes as f64 / LIST_READS_PER_S))
}

/// Returns the node that `own` queries, or `None` if `own` reads the store itself.
///
/// `fresh_peers` are the peers that were heard from recently and whose copy of the rows is current.
pub fn assigned_reader(own: SocketAddr, fresh_peers: &[SocketAddr]) -> Option<SocketAddr> {
    let readers = readers(own, fresh_peers);
    if readers.contains(&own) {
        return None;
    }
    let own_hash = address_hash(own);
    readers.into_iter().max_by_key(|reader| rank(own_hash, address_hash(*reader)))
}

/// Returns whether `own` is one of the readers of its fleet, whose other nodes are `peers`, if the
/// store answers them all alike.
pub fn is_reader(own: SocketAddr, peers: &[SocketAddr]) -> bool {
    readers(own, peers).contains(&own)
}

/// Returns the nodes with the highest ranks, as many as have to read for all.
fn readers(own: SocketAddr, peers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = peers
        .iter()
        .chain([&own])
        .map(|address| (rank(READER_KEY, address_hash(*address)), *address))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.truncate(ranked.len().div_ceil(NODES_PER_READER));
    ranked.into_iter().map(|(_, address)| address).collect()
}

fn address_hash(address: SocketAddr) -> u64 {
    hash64(&[address.to_string().as_bytes()])
}
