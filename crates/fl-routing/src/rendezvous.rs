//! Rendezvous hashing, by which all nodes compute the same ranking of servers for a key without
//! exchanging messages.

use fl_protocol::hash64;

/// Hashes a name. The hash is computed once, so that ranking the name for many keys stays cheap.
pub fn name_hash(name: &str) -> u64 {
    hash64(&[name.as_bytes()])
}

/// Returns the rank of a server for a key. The server with the highest rank is the key's home.
///
/// The finaliser of SplitMix64 spreads both inputs over all bits within a few nanoseconds per call.
pub fn rank(key: u64, server: u64) -> u64 {
    let mut mixed = key ^ server.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns whether `own` has one of the `count` highest ranks for a key among itself and `others`.
pub fn is_among_highest(key: u64, own: u64, others: &[u64], count: usize) -> bool {
    let own_rank = rank(key, own);
    others.iter().filter(|other| rank(key, **other) > own_rank).count() < count
}

/// Returns the indexes of the `count` servers with the highest ranks for a key, highest first.
pub fn highest_ranked(key: u64, servers: &[u64], count: usize) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for (index, server) in servers.iter().enumerate() {
        let ranked = (rank(key, *server), index);
        let place = best.partition_point(|other| *other > ranked);
        if place < count {
            best.insert(place, ranked);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}
