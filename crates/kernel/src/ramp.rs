//! Limits the concurrent work of each target: cold targets strictly, warm ones by their limit.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "ramp", rank: 20, stage: policy::Stage::Filter(filter) }
}

fn filter(view: &policy::View<'_>, _ask: &Ask, target: usize) -> bool {
    let slot = &view.pool.targets[target];
    !slot.is_cold_rate_reached(view.now) && view.pool.occupied(target) < view.pool.limit(slot)
}
