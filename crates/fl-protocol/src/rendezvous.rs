//! Rendezvous hashing: all nodes agree on an order of names for a key without a message.

use crate::ids::hash64;

/// The rank of a name for a key; the greatest rank wins.
pub fn rank(key: &[u8], name: &str) -> u64 {
    hash64(&[key, name.as_bytes()])
}

/// Sorts items by their rank for a key, the highest first; equal ranks fall back on the name.
pub fn sort_by_rank<T>(items: &mut [T], key: &[u8], name_of: impl Fn(&T) -> &str) {
    items.sort_by_cached_key(|item| {
        let name = name_of(item);
        (std::cmp::Reverse(rank(key, name)), name.to_string())
    });
}
