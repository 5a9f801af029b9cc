//! Rendezvous hashing: an order of nodes for each key that changes little when nodes are added or
//! removed.

use std::hash;
use std::hash::Hasher as _;

/// Returns a well-mixed hash that is the same in every process of the same build.
pub fn hash_of(value: &impl hash::Hash) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the weight of a node for a key; the node with the highest weight ranks first.
pub fn weight(key: u64, node: u64) -> u64 {
    mix(key ^ mix(node))
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
