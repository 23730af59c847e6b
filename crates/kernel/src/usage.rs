//! Usage of pools, as computed by their owners and as last reported with a grant to this VM.

use crate::ids::Millis;
use crate::map::Map;
use crate::pool::{self, Pool};

/// Age from which a reported usage is ignored, in milliseconds. A long answer takes ten seconds,
/// and a sixth of the engines may leave within three.
const MAX_AGE_MS: u64 = 5_000;
/// Limit on the pools whose usage is stored.
const MAX_POOLS: usize = 1_024;

/// Last reported usage by pool, in thousandths.
#[derive(Debug, Default)]
pub struct PoolUsage {
    reports: Map<pool::Key, (u32, Millis)>,
}

impl PoolUsage {
    /// Records the usage of a pool.
    pub(crate) fn record(&mut self, pool: &pool::Key, usage: u32, now: Millis) {
        if let Some(report) = self.reports.get_mut(pool) {
            *report = (usage, now);
            return;
        }
        if self.reports.len() >= MAX_POOLS {
            self.reports.clear();
        }
        self.reports.insert(pool.clone(), (usage, now));
    }

    /// The usage of a pool, if it was reported recently.
    pub(crate) fn get(&self, pool: &pool::Key, now: Millis) -> Option<u32> {
        let report = self.reports.get(pool).filter(|(_, at)| now.since(*at) <= MAX_AGE_MS);
        report.map(|(usage, _)| *usage)
    }
}

impl Pool {
    /// Part of the KV memory of the targets that is in use, in thousandths. Targets without KV
    /// memory count their request slots instead.
    pub fn usage_permille(&self, now: Millis) -> u32 {
        let usable = self.targets.iter().filter(|slot| !slot.is_leaving());
        let sums = usable.map(|slot| match slot.kv_capacity() {
            0 => (u64::from(slot.in_flight_count()), u64::from(slot.spec.warm_limit)),
            capacity => (slot.estimated_kv(now), capacity),
        });
        let (used, capacity) =
            sums.fold((0, 0), |(used, all), (more, size)| (used + more, all + size));
        let usage = (used * 1_000).checked_div(capacity).unwrap_or(0);
        u32::try_from(usage).unwrap_or(u32::MAX)
    }
}
