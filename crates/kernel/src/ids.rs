//! Small value types shared by every module.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared, immutable name of a VM, zone, organisation, service or target.
///
/// Function signatures take `&str`; this type is used only where a name is stored.
pub type Name = Arc<str>;

/// Monotonic time in milliseconds since the process started.
///
/// ```
/// use hornbeamloom_kernel::ids::Millis;
///
/// let sent = Millis(1_000);
/// assert_eq!(Millis(1_250).since(sent), 250);
/// assert_eq!(sent.since(Millis(1_250)), 0);
/// assert_eq!(sent.after(50), Millis(1_050));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `ms` milliseconds after `self`.
    pub fn after(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }
}

/// A fencing token. It increases whenever a lease changes hands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// A revision of the store: totally ordered, and never decreasing on one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Identifies one start of the process on a VM; a restarted process has a higher incarnation.
///
/// Incarnations of different VMs are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
