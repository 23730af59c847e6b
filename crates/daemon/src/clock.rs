//! Time that goes on while the machine is suspended.
//!
//! The clock of `std::time::Instant` stands still during a suspension. A VM that measured the age of
//! what it knows with it would take a configuration from before a long suspension for a fresh one.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// A point in time, in milliseconds since the machine started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(u64);

impl BootInstant {
    /// The present.
    ///
    /// # Panics
    ///
    /// The system lacks the clock, which every supported kernel has.
    ///
    /// ```
    /// use hornbeamloom_daemon::clock::BootInstant;
    ///
    /// let before = BootInstant::now();
    /// assert!(BootInstant::now() >= before);
    /// ```
    pub fn now() -> BootInstant {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock exists");
        BootInstant(u64::try_from(Duration::from(time).as_millis()).unwrap_or(u64::MAX))
    }

    /// Milliseconds from `earlier` to this; zero if it is not earlier.
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

    /// The moment `ms` milliseconds later.
    pub fn after(self, ms: u64) -> BootInstant {
        BootInstant(self.0.saturating_add(ms))
    }
}
