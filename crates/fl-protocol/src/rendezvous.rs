//! Rendezvous hashing: all nodes compute the same order of names for a key without communication.

use crate::ids::hash64;

/// Returns the rank of a name for a key; the name with the greatest rank is chosen first.
pub fn rank(key: &[u8], name: &str) -> u64 {
    hash64(&[key, name.as_bytes()])
}

/// Sorts items by their rank for a key, greatest first; items of equal rank are sorted by name.
pub fn sort_by_rank<T>(items: &mut [T], key: &[u8], name_of: impl Fn(&T) -> &str) {
    items.sort_by_cached_key(|item| {
        let name = name_of(item);
        (std::cmp::Reverse(rank(key, name)), name.to_string())
    });
}
