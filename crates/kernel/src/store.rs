//! Operations on the platform's transactional table.

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, Incarnation, Name, Revision};
use crate::pool;

/// Matches an answer to its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One operation, answered by one `Event::Store`.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Chosen by the kernel.
    pub id: CallId,
    /// What to do.
    pub op: Op,
}

/// What to do at the table.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Read one record.
    Read(Key),
    /// Read every record of a family.
    List(Family),
    /// Conditional writes, each decided by itself, in one round trip.
    Write(Vec<Write>),
}

/// A conditional write or, without a value, a conditional deletion.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// Where.
    pub key: Key,
    /// When.
    pub condition: Condition,
    /// The new value; `None` deletes the record.
    pub value: Option<Value>,
}

/// When a write applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The record does not exist.
    Absent,
    /// The record has this version.
    Version(Revision),
    /// Always.
    Any,
}

/// Families of records that can be listed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Family {
    /// The leases of one availability zone.
    Leases {
        /// The zone.
        zone: Name,
    },
    /// All quarantine entries.
    Quarantine,
    /// All weight-store load slots.
    Slots,
}

/// The place of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Key {
    /// The lease of a pool.
    Lease(pool::Key),
    /// The claim of a call that runs at most once.
    Claim {
        /// Organisation of the caller.
        organisation: Name,
        /// Service called.
        service: Name,
        /// The idempotency key.
        key: Name,
    },
    /// A quarantined fingerprint.
    Quarantine(u64),
    /// A weight-store load slot.
    Slot(u32),
}

/// A typed record value.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Value {
    /// A lease.
    Lease(Lease),
    /// A claim.
    Claim(Claim),
    /// A quarantine entry.
    Quarantine(Quarantine),
    /// A load slot.
    Slot(Slot),
}

/// Who owns a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// Owner VM.
    pub vm: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Grows with every change of holder.
    pub fence: Fence,
    /// Grows with every renewal.
    pub renewal: u64,
    /// The holder gave the lease up.
    pub released: bool,
}

/// An at-most-once call.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Unique to the attempt; used to read back a lost answer.
    pub attempt: Name,
    /// VM that runs it.
    pub vm: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Fingerprint of the call.
    pub fingerprint: u64,
    /// The outcome, once known.
    pub outcome: Option<StoredResponse>,
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body, at most 64 KiB; `None` if it was larger.
    pub body: Option<Vec<u8>>,
}

/// A quarantined request body.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quarantine {
    /// Target deaths it was correlated with.
    pub deaths: u32,
    /// The organisation that sent it.
    pub organisation: Name,
    /// Service it was sent to.
    pub service: Name,
    /// Time left when it was written, in seconds.
    pub remaining_s: u64,
}

/// A weight-store load slot.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slot {
    /// Target that loads.
    pub target: Name,
    /// VM that ordered the load.
    pub vm: Name,
    /// Grows while the load goes on; a slot that stands still is free.
    pub renewal: u64,
}

/// A record that was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Where it stands.
    pub key: Key,
    /// Its version.
    pub version: Revision,
    /// Its value, or `None` where it could not be understood.
    pub value: Option<Value>,
}

/// The outcome of one write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// Applied; the record's new version.
    Applied(Revision),
    /// The condition did not hold; what stands there.
    Conflict(Option<Record>),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The record, if it exists.
    Read(Option<Record>),
    /// The records of the family.
    Listed(Vec<Record>),
    /// One outcome for each write, in order.
    Written(Vec<WriteResult>),
    /// The call had no effect.
    Unavailable,
    /// The answer was lost: a write may have been applied.
    Unknown,
}
