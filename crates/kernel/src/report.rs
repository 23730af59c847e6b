//! What a target reports about itself.

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// The readiness that a target reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// Starting: it can serve only few requests.
    #[default]
    Cold,
    /// Able to serve its full load.
    Warm,
    /// About to stop.
    Leaving,
}

/// A target's load report, which may be up to [`REPORT_LAG_MS`] old.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Identifies the target's process; it changes with every start.
    pub start_id: u64,
    /// Readiness.
    pub phase: Phase,
    /// Number of requests being served.
    pub running: u32,
    /// Number of requests accepted and not yet started.
    pub waiting: u32,
    /// KV cache in use, in tokens.
    pub kv_used: u64,
    /// KV cache size, in tokens; zero if it has none.
    pub kv_capacity: u64,
    /// Number of preemptions since the process started.
    pub preemptions: u64,
    /// The current role.
    pub role: Option<Name>,
    /// Models and adapters that are loaded.
    pub loaded: Vec<Name>,
    /// Models and adapters being loaded.
    pub loading: Vec<Name>,
    /// The highest fencing token of an order that it has accepted.
    pub fence: u64,
}

/// Why a poll gave no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PollError {
    /// The connection was refused or reset: no process listens.
    Refused,
    /// No answer within the deadline.
    Timeout,
    /// The answer could not be parsed.
    Malformed,
}

/// A batch of prefix-cache events of one engine.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CacheBatch {
    /// Sequence number of the first event; a gap to the previous batch means lost events.
    pub first: u64,
    /// Prefix hashes that were stored.
    pub stored: Vec<u64>,
    /// Prefix hashes that were evicted.
    pub evicted: Vec<u64>,
}
