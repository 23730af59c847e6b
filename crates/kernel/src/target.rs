//! A target's own account of itself and its state at the pool's owner.

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// What a target says about its readiness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// In cold start: it carries only a little.
    #[default]
    Cold,
    /// Able to carry its full load.
    Warm,
    /// About to leave.
    Leaving,
}

/// A target's load report. It lags what the target does.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Changes with every start of the target's process.
    pub start_id: u64,
    /// Readiness.
    pub phase: Phase,
    /// Requests being served.
    pub running: u32,
    /// Requests accepted and not yet started.
    pub waiting: u32,
    /// KV cache in use, in tokens.
    pub kv_used: u64,
    /// KV cache size, in tokens; zero if it has none.
    pub kv_capacity: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Role in use.
    pub role: Option<Name>,
    /// Models and adapters that are loaded.
    pub loaded: Vec<Name>,
    /// Models and adapters being loaded.
    pub loading: Vec<Name>,
    /// The highest fencing token it has obeyed.
    pub fence: u64,
}

/// Why no report could be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Silence {
    /// The connection was refused or reset: no process listens.
    Refused,
    /// No answer within the deadline.
    Timeout,
    /// An answer that could not be read.
    Malformed,
}

/// A batch of prefix-cache events of one engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Sequence number of the first event; a jump means lost events.
    pub first: u64,
    /// Prefix hashes that were stored.
    pub stored: Vec<u64>,
    /// Prefix hashes that were evicted.
    pub evicted: Vec<u64>,
}
