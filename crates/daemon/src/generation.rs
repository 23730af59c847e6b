//! What a stream of events is made of, and how an adapter reaches the targets that generate it.

use bytes::Bytes;

use crate::session::TargetReply;

/// One event of a stream.
#[derive(Debug, Clone)]
pub struct Event {
    /// Its place in the stream; grows by one.
    pub seq: u64,
    /// Tokens in it.
    pub tokens: u32,
    /// The bytes for the caller.
    pub bytes: Bytes,
}

/// The stream broke off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the stream broke off")]
pub struct Truncated;

/// A stream that a target has begun.
#[derive(Debug)]
pub struct OpenedStream<A, S> {
    /// The head of the answer.
    pub head: A,
    /// Its events; it ends without an error only if the target has said that it is complete.
    pub events: S,
}

/// What came of opening a stream.
#[derive(Debug)]
pub enum OpenResult<A, S> {
    /// It has begun.
    Stream(OpenedStream<A, S>),
    /// There is no stream.
    NoStream(TargetReply<A>),
}

/// The memory that a generation goes on from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvSource {
    /// A copy that was ordered, by its handle.
    Copy(String),
    /// The copy of the run that its standby holds.
    Standby,
}

/// Where a generation goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// `IP:port` of the target that the memory comes from.
    pub source: String,
    /// Which memory.
    pub kv: KvSource,
    /// The last event that the caller has.
    pub last_event: u64,
}

/// An order to copy the memory of a running generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyRequest {
    /// `IP:port` of the target that runs it.
    pub source: String,
    /// `IP:port` of the target that gets the copy.
    pub destination: String,
    /// The source stops the generation before it copies.
    pub stops_source: bool,
}

/// Memory that was copied, or is kept by a target that has stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCopy {
    /// Names the copy.
    pub handle: String,
    /// The last event that the source has made.
    pub last_generated: u64,
}

/// Why memory was not copied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyError {
    /// There is no room or no way; with a handle where the source has stopped and keeps the memory.
    Refused(Option<String>),
    /// No answer: the source may have stopped.
    Unknown,
}

/// How an adapter reaches targets.
///
/// `open` starts a stream or goes on from a point, `copy` carries out an order, `release` frees the
/// copy that a source's address and a handle name.
#[derive(Debug, Clone)]
pub struct TargetClient<O, C, R> {
    /// Starts a stream or goes on with it.
    pub open: O,
    /// Copies memory.
    pub copy: C,
    /// Frees a copy.
    pub release: R,
}
