//! A monotonic clock that also advances while the VM is suspended.
//!
//! `std::time::Instant` does not advance during a suspension. If ages were measured with it, a VM
//! resumed after a long suspension would treat its old configuration as fresh.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// An instant of `CLOCK_BOOTTIME`, in milliseconds since the VM booted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(u64);

impl BootInstant {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the system has no `CLOCK_BOOTTIME`; every supported kernel has it.
    ///
    /// ```
    /// use hornbeamloom_daemon::clock::BootInstant;
    ///
    /// let before = BootInstant::now();
    /// assert!(BootInstant::now() >= before);
    /// ```
    pub fn now() -> BootInstant {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
        BootInstant(u64::try_from(Duration::from(time).as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the milliseconds elapsed since `earlier`, or zero if `earlier` is later.
    ///
    /// ```
    /// use hornbeamloom_daemon::clock::BootInstant;
    ///
    /// let now = BootInstant::now();
    /// assert_eq!(now.after(30).since(now), 30);
    /// assert_eq!(now.since(now.after(30)), 0);
    /// ```
    pub fn since(self, earlier: BootInstant) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `ms` milliseconds later.
    pub fn after(self, ms: u64) -> BootInstant {
        BootInstant(self.0.saturating_add(ms))
    }
}
