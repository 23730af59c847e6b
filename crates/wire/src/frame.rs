//! Frames between daemons: a CBOR array of version, sender, message kind and message.
//!
//! The version and the kind precede the message, so that a frame of another version or with an
//! unknown kind of message is recognised without decoding the message.

use std::fmt;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::peer::Message;
use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};

/// Version of encoded frames. Readers skip frames of other versions.
pub const VERSION: u16 = 1;

/// Size limit of an encoded frame in bytes (1 MiB).
pub const MAX_BYTES: usize = 1 << 20;

/// Position of the major type in the initial byte of a CBOR data item (RFC 8949, section 3).
const CBOR_MAJOR_SHIFT: u8 = 5;
/// Major type of a CBOR array.
const CBOR_ARRAY: u8 = 4;

/// Kinds of message that this version decodes.
pub const KINDS: [&str; 23] = [
    "gossip",
    "delta",
    "pull",
    "ask",
    "ack",
    "grant",
    "refuse",
    "withdraw",
    "progress",
    "release",
    "hello",
    "inventory",
    "handover",
    "death",
    "quarantine",
    "targets",
    "departing",
    "backpressure",
    "subscribe",
    "table_updates",
    "load",
    "rollout_report",
    "rollout_phase",
];

/// A decoded frame.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// The VM that sent it.
    pub sender: Name,
    /// The message.
    pub message: Message,
}

/// Why a frame was not encoded or decoded. Readers count these and skip the frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The frame has an unsupported version.
    #[error("frame version {0} is not supported")]
    Version(u64),
    /// The message is of an unknown kind.
    #[error("message kind {0:?} is not known")]
    Kind(String),
    /// The bytes are not a frame.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// The frame is larger than [`MAX_BYTES`].
    #[error("frame of {0} bytes is over the limit of {MAX_BYTES}")]
    Oversized(usize),
}

impl Error {
    /// Stable name of the error, used as a metric label.
    ///
    /// ```
    /// use hornbeamloom_wire::frame::Error;
    ///
    /// assert_eq!(Error::Version(9).as_str(), "frame_version");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Error::Version(_) => "frame_version",
            Error::Kind(_) => "frame_kind",
            Error::Malformed(_) => "frame_malformed",
            Error::Oversized(_) => "frame_oversized",
        }
    }
}

/// Kind of a message, as written in frames and used as a metric label.
///
/// ```
/// use hornbeamloom_kernel::ids::Revision;
/// use hornbeamloom_kernel::peer::Message;
/// use hornbeamloom_wire::frame;
///
/// assert_eq!(frame::kind(&Message::Pull { from: Revision(3) }), "pull");
/// ```
pub fn kind(message: &Message) -> &'static str {
    match message {
        Message::Gossip(_) => "gossip",
        Message::Delta(_) => "delta",
        Message::Pull { .. } => "pull",
        Message::Ask(_) => "ask",
        Message::Ack { .. } => "ack",
        Message::Grant(_) => "grant",
        Message::Refuse { .. } => "refuse",
        Message::Withdraw { .. } => "withdraw",
        Message::Progress { .. } => "progress",
        Message::Release(_) => "release",
        Message::Hello { .. } => "hello",
        Message::Inventory { .. } => "inventory",
        Message::Handover(_) => "handover",
        Message::Death(_) => "death",
        Message::Quarantine { .. } => "quarantine",
        Message::Targets { .. } => "targets",
        Message::Subscribe { .. } => "subscribe",
        Message::TableUpdates { .. } => "table_updates",
        Message::RolloutReport { .. } => "rollout_report",
        Message::RolloutPhase { .. } => "rollout_phase",
        Message::Departing { .. } => "departing",
        Message::Load { .. } => "load",
        Message::Backpressure { .. } => "backpressure",
    }
}

/// Encodes a message in a frame from `sender`.
///
/// # Errors
///
/// [`Error::Oversized`] if the frame would be larger than [`MAX_BYTES`].
///
/// ```
/// use hornbeamloom_kernel::ids::Revision;
/// use hornbeamloom_kernel::peer::Message;
/// use hornbeamloom_wire::frame;
///
/// let message = Message::Pull { from: Revision(3) };
/// let bytes = frame::encode("entry-1", &message).unwrap();
/// let frame = frame::decode(&bytes).unwrap();
/// assert_eq!(&*frame.sender, "entry-1");
/// assert_eq!(frame.message, message);
/// ```
pub fn encode(sender: &str, message: &Message) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&(VERSION, sender, kind(message), message), &mut bytes)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    if bytes.len() > MAX_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes one frame.
///
/// # Errors
///
/// An [`Error`] if the frame has to be skipped.
///
/// ```
/// use hornbeamloom_wire::frame::{self, Error};
///
/// // An array that starts with version 9.
/// assert_eq!(frame::decode(&[0x82, 0x09, 0x00]), Err(Error::Version(9)));
/// assert!(matches!(frame::decode(b"GET"), Err(Error::Malformed(_))));
/// ```
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    // ciborium would also decode a byte string as a sequence of numbers.
    if bytes.first().map(|first| first >> CBOR_MAJOR_SHIFT) != Some(CBOR_ARRAY) {
        return Err(Error::Malformed("not an array".to_owned()));
    }
    match ciborium::from_reader(bytes) {
        Ok(Parsed::Frame(frame)) => Ok(*frame),
        Ok(Parsed::Version(version)) => Err(Error::Version(version)),
        Ok(Parsed::Kind(kind)) => Err(Error::Kind(kind)),
        Err(error) => Err(Error::Malformed(error.to_string())),
    }
}

/// Result of decoding a frame up to the first field that rules it out.
enum Parsed {
    Frame(Box<Frame>),
    Version(u64),
    Kind(String),
}

impl<'de> Deserialize<'de> for Parsed {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Parsed, D::Error> {
        deserializer.deserialize_seq(ParsedVisitor)
    }
}

struct ParsedVisitor;

impl<'de> Visitor<'de> for ParsedVisitor {
    type Value = Parsed;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("version, sender, kind and message")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Parsed, A::Error> {
        let missing = |ix| de::Error::invalid_length(ix, &self);
        let version: u64 = seq.next_element()?.ok_or_else(|| missing(0))?;
        if version != u64::from(VERSION) {
            return Ok(Parsed::Version(version));
        }
        let sender: Name = seq.next_element()?.ok_or_else(|| missing(1))?;
        let kind_name: String = seq.next_element()?.ok_or_else(|| missing(2))?;
        if !KINDS.contains(&kind_name.as_str()) {
            return Ok(Parsed::Kind(kind_name));
        }
        let message: Message = seq.next_element()?.ok_or_else(|| missing(3))?;
        if kind(&message) != kind_name {
            return Err(de::Error::custom("the message is not of the announced kind"));
        }
        Ok(Parsed::Frame(Box::new(Frame { sender, message })))
    }
}
