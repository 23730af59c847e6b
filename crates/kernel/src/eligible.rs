//! Excludes targets that must not get new requests.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "eligible", rank: 10, stage: policy::Stage::Filter(filter) }
}

fn filter(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let target = &view.pool.targets[ix];
    !view.pool.zone_is_out
        && !target.is_leaving()
        && target.is_healthy(view.now)
        && !ask.exclude.contains(&target.name)
        && target.in_flight_count() < target.spec.warm_limit
}
