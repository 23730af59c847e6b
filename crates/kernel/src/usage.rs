//! How full pools are, and were when they last granted a start to this VM.

use crate::ids::Millis;
use crate::map::Map;
use crate::pool::{self, Pool};

/// A fill heard longer ago than this says nothing, in milliseconds: a long answer takes ten seconds,
/// and a sixth of the engines may leave within three.
const MAX_AGE_MS: u64 = 5_000;
/// Pools of which the fill is remembered.
const POOLS_MAX: usize = 1_024;

/// Fills by pool, in thousandths.
#[derive(Debug, Default)]
pub struct PoolUsage {
    reports: Map<pool::Key, (u32, Millis)>,
}

impl PoolUsage {
    /// Remembers the fill of a pool.
    pub(crate) fn record(&mut self, pool: &pool::Key, usage: u32, now: Millis) {
        if let Some(report) = self.reports.get_mut(pool) {
            *report = (usage, now);
            return;
        }
        if self.reports.len() >= POOLS_MAX {
            self.reports.clear();
        }
        self.reports.insert(pool.clone(), (usage, now));
    }

    /// The fill of a pool, if it was heard lately.
    pub(crate) fn get(&self, pool: &pool::Key, now: Millis) -> Option<u32> {
        let report = self.reports.get(pool).filter(|(_, at)| now.since(*at) <= MAX_AGE_MS);
        report.map(|(usage, _)| *usage)
    }
}

impl Pool {
    /// Part of the targets' KV memory in use, or of their places without such, in thousandths.
    pub fn usage_permille(&self, now: Millis) -> u32 {
        let usable = self.targets.iter().filter(|slot| !slot.is_leaving());
        let sums = usable.map(|slot| match slot.kv_capacity() {
            0 => (u64::from(slot.running()), u64::from(slot.spec.warm_limit)),
            capacity => (slot.kv_use(now), capacity),
        });
        let (used, capacity) =
            sums.fold((0, 0), |(used, all), (more, size)| (used + more, all + size));
        let usage = (used * 1_000).checked_div(capacity).unwrap_or(0);
        u32::try_from(usage).unwrap_or(u32::MAX)
    }
}
