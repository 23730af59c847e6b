//! Operations on the platform's transactional store.

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, Incarnation, Name, Revision};
use crate::{pool, rollout};

/// Correlates an answer with its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An operation, answered by exactly one `Event::StoreAnswered`.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Assigned by the kernel.
    pub id: CallId,
    /// The operation.
    pub op: Op,
}

/// An operation on the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Read one record.
    Read(Key),
    /// Read every record of a family.
    List(Family),
    /// Perform conditional writes in one round trip; each is applied or rejected on its own.
    Write(Vec<Write>),
}

/// A conditional write, or a conditional deletion if it has no value.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// The record to write.
    pub key: Key,
    /// The condition under which the write applies.
    pub condition: Condition,
    /// The new value; `None` deletes the record.
    pub value: Option<Value>,
}

/// The condition under which a write applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The record does not exist.
    Absent,
    /// The record has this version.
    Version(Revision),
    /// Always.
    Any,
}

/// A family of records that can be listed together.
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

/// The key of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Key {
    /// The lease of a pool.
    Lease(pool::Key),
    /// The claim of an at-most-once call.
    Claim {
        /// Organisation of the caller.
        organisation: Name,
        /// The called service.
        service: Name,
        /// The idempotency key.
        key: Name,
    },
    /// A quarantined fingerprint.
    Quarantine(u64),
    /// A weight-store load slot.
    Slot(u32),
    /// The lease of the VM that decides on the roll-out of a service.
    RolloutLease(Name),
    /// The status row of the roll-out of a service, which the operator reads.
    RolloutStatus(Name),
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
    /// The status of a roll-out.
    RolloutStatus(rollout::Status),
}

/// The ownership of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// The VM that holds the lease.
    pub vm: Name,
    /// Incarnation of that VM.
    pub incarnation: Incarnation,
    /// Increases whenever the lease changes hands.
    pub fence: Fence,
    /// Increases with every renewal.
    pub renewal: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// The claim of an at-most-once call.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Unique to the attempt; identifies this write when its answer was lost.
    pub attempt: Name,
    /// The VM that executes the call.
    pub vm: Name,
    /// Incarnation of that VM.
    pub incarnation: Incarnation,
    /// Fingerprint of the call.
    pub fingerprint: u64,
    /// The stored response, once the call has finished.
    pub outcome: Option<StoredResponse>,
}

/// A stored response, replayed to repeated calls.
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
    /// Number of target crashes it was correlated with.
    pub deaths: u32,
    /// The organisation that sent it.
    pub organisation: Name,
    /// The service it was sent to.
    pub service: Name,
    /// Remaining quarantine time when the record was written, in seconds.
    pub remaining_s: u64,
}

/// A weight-store load slot.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slot {
    /// The target that loads.
    pub target: Name,
    /// The VM that ordered the load.
    pub vm: Name,
    /// Increases while the load is in progress; a slot whose count no longer changes is free.
    pub renewal: u64,
}

/// A record as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: Revision,
    /// Its value, or `None` if it could not be decoded.
    pub value: Option<Value>,
}

/// The result of one write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// The write was applied; contains the record's new version.
    Applied(Revision),
    /// The condition did not hold; contains the existing record, if any.
    Conflict(Option<Record>),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The record, if it exists.
    Read(Option<Record>),
    /// The records of the listed family.
    Listed(Vec<Record>),
    /// One result per write, in the same order.
    Written(Vec<WriteResult>),
    /// The call failed without effect.
    Unavailable,
    /// The answer was lost; writes may or may not have been applied.
    Unknown,
}
