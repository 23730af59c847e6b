//! Prefers the target whose KV memory and slots are the least used.

use crate::peer::Ask;
use crate::plugin::policy;

/// Score of a full target; scores are in thousandths of it.
const FULL_TARGET_SCORE: u64 = 1_000;

inventory::submit! {
    policy::Plugin { name: "kvload", rank: 10, stage: policy::Stage::Score(score) }
}

fn score(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> i64 {
    let target = &view.pool.targets[ix];
    let limit = u64::from(view.pool.concurrency_limit(target).max(1));
    let slots = u64::from(view.pool.occupancy(ix)) * FULL_TARGET_SCORE / limit;
    let memory = match target.kv_capacity() {
        0 => 0,
        capacity => target.estimated_kv(view.now) * FULL_TARGET_SCORE / capacity,
    };
    -i64::try_from(slots.max(memory)).unwrap_or(i64::MAX)
}
