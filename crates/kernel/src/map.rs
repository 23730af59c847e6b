//! Hash collections with a fast, unseeded hasher.
//!
//! Iteration order depends only on the keys and the insertion history, so the kernel stays
//! deterministic. Code whose result depends on the order still sorts.

/// A hash map with the `rustc-hash` hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the `rustc-hash` hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
