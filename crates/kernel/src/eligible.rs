//! Removes targets that must not take new work.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "eligible", rank: 10, stage: policy::Stage::Filter(filter) }
}

fn filter(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let slot = &view.pool.targets[target];
    !view.pool.zone_is_out
        && !slot.is_leaving()
        && slot.is_healthy(view.now)
        && !ask.exclude.contains(&slot.name)
        && slot.in_flight_count() < slot.spec.warm_limit
}
