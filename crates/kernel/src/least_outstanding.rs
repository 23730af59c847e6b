//! Prefers the target with the fewest requests in flight.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "least-outstanding", rank: 30, stage: policy::Stage::Score(score) }
}

fn score(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> i64 {
    -i64::from(view.pool.targets[ix].in_flight_count())
}
