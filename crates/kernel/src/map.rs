//! Hash collections with a fast hasher.
//!
//! Iteration order depends only on the keys and the insertion history, so the kernel stays
//! deterministic; code whose outcome depends on order still sorts.

/// A hash map with the `rustc-hash` hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the `rustc-hash` hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
