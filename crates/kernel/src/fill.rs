//! How full pools are, and were when they last granted a start to this VM.

use crate::ids::Millis;
use crate::map::Map;
use crate::pool::{self, Pool};

/// A fill heard longer ago than this says nothing, in milliseconds: a long answer takes ten seconds,
/// and a sixth of the engines may leave within three.
const AGE: u64 = 5_000;
/// Pools of which the fill is remembered.
const POOLS_MAX: usize = 1_024;

/// Fills by pool, in thousandths.
#[derive(Debug, Default)]
pub struct Fills {
    heard: Map<pool::Key, (u32, Millis)>,
}

impl Fills {
    /// Remembers the fill of a pool.
    pub(crate) fn note(&mut self, pool: &pool::Key, fill: u32, now: Millis) {
        if let Some(heard) = self.heard.get_mut(pool) {
            *heard = (fill, now);
            return;
        }
        if self.heard.len() >= POOLS_MAX {
            self.heard.clear();
        }
        self.heard.insert(pool.clone(), (fill, now));
    }

    /// The fill of a pool, if it was heard lately.
    pub(crate) fn get(&self, pool: &pool::Key, now: Millis) -> Option<u32> {
        let heard = self.heard.get(pool).filter(|(_, at)| now.since(*at) <= AGE);
        heard.map(|(fill, _)| *fill)
    }
}

impl Pool {
    /// Part of the targets' KV memory in use, or of their places without such, in thousandths.
    pub fn fill(&self, now: Millis) -> u32 {
        let usable = self.targets.iter().filter(|slot| !slot.is_leaving());
        let sums = usable.map(|slot| match slot.kv_capacity() {
            0 => (u64::from(slot.in_flight_count()), u64::from(slot.spec.warm_limit)),
            capacity => (slot.estimated_kv(now), capacity),
        });
        let (used, capacity) =
            sums.fold((0, 0), |(used, all), (more, size)| (used + more, all + size));
        let fill = (used * 1_000).checked_div(capacity).unwrap_or(0);
        u32::try_from(fill).unwrap_or(u32::MAX)
    }
}
