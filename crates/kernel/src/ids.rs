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
///
/// A store that comes back from an older copy issues its numbers again. The upper bits of a revision
/// are therefore the number of such returns, the *era*, and a revision of a later era is higher than
/// all of earlier ones. A store that never came back, or does not tell, is in era 0, where the
/// revision is the number itself.
///
/// ```
/// use hornbeamloom_kernel::ids::Revision;
///
/// let restored = Revision::new(1, 40);
/// assert_eq!((restored.era(), restored.number()), (1, 40));
/// assert!(Revision::new(0, 70) < restored);
/// assert_eq!(Revision::new(0, 70), Revision(70));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Bits of a revision that hold its number within the era. The era fits into the 53 bits that JSON
/// clients can represent until the store has come back 8,191 times.
const NUMBER_BITS: u32 = 40;

impl Revision {
    /// The revision with a number that the store issued in `era`. Numbers that do not fit are
    /// replaced by the highest one that does.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Revision;
    ///
    /// assert!(Revision::new(0, u64::MAX) < Revision::new(1, 0));
    /// ```
    pub fn new(era: u64, number: u64) -> Revision {
        let max_number = (1 << NUMBER_BITS) - 1;
        Revision(era << NUMBER_BITS | number.min(max_number))
    }

    /// How often the store had come back from an older copy.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Revision;
    ///
    /// assert_eq!(Revision(7).era(), 0);
    /// ```
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// The number that the store issued.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Revision;
    ///
    /// assert_eq!(Revision::new(2, 7).number(), 7);
    /// ```
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

/// Identifies one start of the process on a VM; a restarted process has a higher incarnation.
///
/// Incarnations of different VMs are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
