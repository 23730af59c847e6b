//! Hand-written serde implementations for the types that make up most of the control traffic.
//!
//! They encode as sequences without field names, because volume is high: a progress entry is sent
//! twice a second for every running request, and a gossip entry or heartbeat up to 150 times per
//! round.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::{Incarnation, Revision};
use crate::peer::{Heartbeat, MemberEntry, Progress};

/// Encodes values as byte strings, which take half the space of number sequences.
pub(crate) mod bytes {
    use std::fmt;

    use serde::de::{self, SeqAccess, Visitor};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// A byte string inside an `Option`.
    struct Bytes<T>(T);

    impl Serialize for Bytes<&[u8]> {
        fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
            serializer.serialize_bytes(self.0)
        }
    }

    impl<'de> Deserialize<'de> for Bytes<Vec<u8>> {
        fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
            deserializer.deserialize_byte_buf(BytesVisitor).map(Bytes)
        }
    }

    struct BytesVisitor;

    impl<'de> Visitor<'de> for BytesVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }

    pub(crate) fn serialize<S: Serializer>(
        bytes: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        bytes.as_deref().map(Bytes).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let bytes: Option<Bytes<Vec<u8>>> = Option::deserialize(deserializer)?;
        Ok(bytes.map(|bytes| bytes.0))
    }
}

const PROGRESS_FIELDS: usize = 3;
const MEMBER_ENTRY_FIELDS: usize = 9;
const HEARTBEAT_FIELDS: usize = 4;

impl Serialize for Progress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(PROGRESS_FIELDS)?;
        tuple.serialize_element(&self.incarnation.0)?;
        tuple.serialize_element(&self.counter)?;
        tuple.serialize_element(&self.tokens)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Progress {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Progress, D::Error> {
        deserializer.deserialize_tuple(PROGRESS_FIELDS, ProgressVisitor)
    }
}

struct ProgressVisitor;

impl<'de> Visitor<'de> for ProgressVisitor {
    type Value = Progress;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("incarnation, counter and tokens")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Progress, A::Error> {
        Ok(Progress {
            incarnation: Incarnation(field(&mut seq, 0, &self)?),
            counter: field(&mut seq, 1, &self)?,
            tokens: field(&mut seq, 2, &self)?,
        })
    }
}

impl Serialize for MemberEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(MEMBER_ENTRY_FIELDS)?;
        tuple.serialize_element(&self.vm)?;
        tuple.serialize_element(&self.zone)?;
        tuple.serialize_element(&self.peer_address)?;
        tuple.serialize_element(&self.caller_address)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.heartbeat)?;
        tuple.serialize_element(&self.revision)?;
        tuple.serialize_element(&self.status)?;
        tuple.serialize_element(&self.pools)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for MemberEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberEntry, D::Error> {
        deserializer.deserialize_tuple(MEMBER_ENTRY_FIELDS, MemberEntryVisitor)
    }
}

struct MemberEntryVisitor;

impl<'de> Visitor<'de> for MemberEntryVisitor {
    type Value = MemberEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the fields of a membership entry in order")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<MemberEntry, A::Error> {
        Ok(MemberEntry {
            vm: field(&mut seq, 0, &self)?,
            zone: field(&mut seq, 1, &self)?,
            peer_address: field(&mut seq, 2, &self)?,
            caller_address: field(&mut seq, 3, &self)?,
            incarnation: field(&mut seq, 4, &self)?,
            heartbeat: field(&mut seq, 5, &self)?,
            revision: field(&mut seq, 6, &self)?,
            status: field(&mut seq, 7, &self)?,
            pools: field(&mut seq, 8, &self)?,
        })
    }
}

impl Serialize for Heartbeat {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(HEARTBEAT_FIELDS)?;
        tuple.serialize_element(&self.vm)?;
        tuple.serialize_element(&self.incarnation.0)?;
        tuple.serialize_element(&self.counter)?;
        tuple.serialize_element(&self.revision.0)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Heartbeat {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Heartbeat, D::Error> {
        deserializer.deserialize_tuple(HEARTBEAT_FIELDS, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = Heartbeat;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("VM, incarnation, heartbeat and revision")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Heartbeat, A::Error> {
        Ok(Heartbeat {
            vm: field(&mut seq, 0, &self)?,
            incarnation: Incarnation(field(&mut seq, 1, &self)?),
            counter: field(&mut seq, 2, &self)?,
            revision: Revision(field(&mut seq, 3, &self)?),
        })
    }
}

fn field<'de, T, A>(seq: &mut A, ix: usize, expected: &dyn de::Expected) -> Result<T, A::Error>
where
    T: Deserialize<'de>,
    A: SeqAccess<'de>,
{
    seq.next_element()?.ok_or_else(|| de::Error::invalid_length(ix, expected))
}
