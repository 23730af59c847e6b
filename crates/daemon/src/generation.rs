//! Event streams of generations, and the interface through which adapters reach targets.

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;

use crate::session::TargetReply;

/// One event of a stream.
#[derive(Debug, Clone)]
pub struct Event {
    /// Sequence number; increases by one with each event.
    pub seq: u64,
    /// Number of tokens in the event.
    pub tokens: u32,
    /// The encoded event, as it is forwarded to the caller.
    pub bytes: Bytes,
}

/// How a stream of events ended that its target did not mark as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream ended before it was complete.
    Truncated,
    /// The target closed the connection in order between two events, and nothing else marks the
    /// end of this stream. It is complete unless the target was told to stop it.
    Closed,
}

/// The stream ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("event stream ended before it was complete")]
pub struct Truncated;

/// A stream that a target has started.
#[derive(Debug)]
pub struct OpenedStream<A, S> {
    /// Head of the response.
    pub head: A,
    /// The events, up to a [`StreamEnd`] unless the target marked the stream as complete.
    pub events: S,
}

/// Outcome of opening a stream.
#[derive(Debug)]
pub enum OpenResult<A, S> {
    /// The target started the stream.
    Stream(OpenedStream<A, S>),
    /// The target did not start a stream.
    NoStream(TargetReply<A>),
}

/// The copy of its KV cache from which a generation resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvSource {
    /// A copy made on request.
    Copy {
        /// `IP:port` of the target that the KV cache is read from.
        source: String,
        /// Identifies the copy.
        handle: String,
    },
    /// The copy that the standby of the generation already holds.
    Standby {
        /// `IP:port` of the standby.
        source: String,
    },
}

/// The point from which a generation resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// The copy to resume from; without one, the target processes the prompt again.
    pub kv: Option<KvSource>,
    /// Sequence number of the last event delivered to the caller.
    pub last_event: u64,
}

/// A stream of a resumable route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resumable {
    /// Sequence number of the last event that the caller has from an earlier response.
    pub last_event: Option<u64>,
}

/// A request to copy the KV cache of a running generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyRequest {
    /// Name of the target that runs the generation.
    pub source_target: Name,
    /// Its `IP:port`.
    pub source: String,
    /// `IP:port` of the target that receives the copy.
    pub destination: String,
    /// Whether the source stops the generation before it copies.
    pub stops_source: bool,
}

/// A KV cache that was copied, or that a stopped target retains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCopy {
    /// Identifies the copy at its source.
    pub handle: String,
    /// Sequence number of the last event that the source has generated.
    pub last_generated: u64,
}

/// Why a KV cache was not copied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyError {
    /// The source does not run the generation.
    NotRunning,
    /// There is no room for the copy or no way to make it. Contains a handle if the source has
    /// stopped and retains the KV cache.
    Refused(Option<String>),
    /// There was no response, or an invalid one, so the source may have stopped.
    Unknown,
}

/// The calls through which an adapter reaches targets.
///
/// `open` starts a stream or resumes one from a point, `copy` carries out a copy request, `release`
/// frees the copy identified by its source and its handle, and `is_running` asks a target whether it
/// runs the request.
#[derive(Debug, Clone)]
pub struct TargetClient<O, C, R, Q> {
    /// Starts or resumes a stream.
    pub open: O,
    /// Copies a KV cache.
    pub copy: C,
    /// Frees a copy.
    pub release: R,
    /// Asks whether a target runs the request; `None` if it does not tell.
    pub is_running: Q,
}
