//! Measures the gaps between the events of a stream, for the control thread.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hornbeamloom_kernel::pace::Reading;

/// The gaps since the last reading; written by the traffic task and read by the control thread.
#[derive(Debug, Default)]
pub struct Meter {
    gaps: AtomicU32,
    total_ms: AtomicU32,
    worst_ms: AtomicU32,
}

impl Meter {
    /// Records the time between two events.
    pub(crate) fn record(&self, gap: Duration) {
        let ms = u32::try_from(gap.as_millis()).unwrap_or(u32::MAX);
        self.gaps.fetch_add(1, Ordering::Relaxed);
        self.total_ms.fetch_add(ms, Ordering::Relaxed);
        self.worst_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Returns the gaps since the last call. A gap that is recorded meanwhile may be counted with
    /// its time in the next reading.
    pub(crate) fn take(&self) -> Reading {
        Reading {
            gaps: self.gaps.swap(0, Ordering::Relaxed),
            total_ms: self.total_ms.swap(0, Ordering::Relaxed),
            worst_ms: self.worst_ms.swap(0, Ordering::Relaxed),
        }
    }
}
